"""How long to wait for a connection, judged by how long connections took."""

MAX_DIAL_TIMEOUT_S = 0.5
MIN_DIAL_TIMEOUT_S = 0.12
MEAN_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
DEVIATIONS = 4


class DialTimer:
    """Bounds the time to open a connection.

    The bound follows the mean and the deviation of what was seen, as TCP's retransmission timer
    does. It doubles with each timeout, so that a network that has become slow is not given up.

    Attributes:
        timeout_s: The bound for the next connection.
    """

    def __init__(self) -> None:
        self.timeout_s = MAX_DIAL_TIMEOUT_S
        self._mean_s: float | None = None
        self._deviation_s = 0.0

    def note_opened(self, taken_s: float) -> None:
        """Take how long it took to open a connection."""
        if self._mean_s is None:
            self._mean_s = taken_s
            self._deviation_s = taken_s / 2
        else:
            off_s = abs(taken_s - self._mean_s)
            self._deviation_s += DEVIATION_GAIN * (off_s - self._deviation_s)
            self._mean_s += MEAN_GAIN * (taken_s - self._mean_s)
        wanted_s = self._mean_s + DEVIATIONS * self._deviation_s
        self.timeout_s = min(MAX_DIAL_TIMEOUT_S, max(MIN_DIAL_TIMEOUT_S, wanted_s))

    def note_timeout(self) -> None:
        """Note that a connection could not be opened in time."""
        self.timeout_s = min(MAX_DIAL_TIMEOUT_S, 2 * self.timeout_s)
