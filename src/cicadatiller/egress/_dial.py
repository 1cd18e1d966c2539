"""Adapts the connect timeout to the connect times of the network."""

MAX_CONNECT_TIMEOUT_S = 0.5
MIN_CONNECT_TIMEOUT_S = 0.12
MEAN_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
DEVIATION_FACTOR = 4


class ConnectTimeoutEstimator:
    """Estimates a connect timeout.

    The timeout follows the mean and the deviation of the observed connect times, like the
    retransmission timeout of TCP. It doubles with each timeout, so that connections succeed again
    on a network that has become slower.

    Attributes:
        timeout_s: The timeout for the next connection.
    """

    def __init__(self) -> None:
        self.timeout_s = MAX_CONNECT_TIMEOUT_S
        self._mean_s: float | None = None
        self._deviation_s = 0.0

    def record_connect(self, elapsed_s: float) -> None:
        """Record the time that it took to open a connection."""
        if self._mean_s is None:
            self._mean_s = elapsed_s
            self._deviation_s = elapsed_s / 2
        else:
            error_s = abs(elapsed_s - self._mean_s)
            self._deviation_s += DEVIATION_GAIN * (error_s - self._deviation_s)
            self._mean_s += MEAN_GAIN * (elapsed_s - self._mean_s)
        bound_s = self._mean_s + DEVIATION_FACTOR * self._deviation_s
        self.timeout_s = min(MAX_CONNECT_TIMEOUT_S, max(MIN_CONNECT_TIMEOUT_S, bound_s))

    def record_timeout(self) -> None:
        """Double the timeout after a connection that was not opened in time."""
        self.timeout_s = min(MAX_CONNECT_TIMEOUT_S, 2 * self.timeout_s)
