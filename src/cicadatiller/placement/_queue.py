"""The order in which requests that wait are looked at."""

import math

from ..routes import EngineModel
from ._engine import pass_s, read_s

# A prompt waits for the pass that runs, is read in one, and seen after one more.
LEAST_PASSES = 3.5
LEAST_PART_TOKENS = 8192
MOST_PARTS = 8
# A backlog is no burst after so long, and over once nobody has waited for so long.
LASTING_S = 0.4
REST_S = 1.0
INTERVAL_GAIN = 0.1


def least_first_s(model: EngineModel, tokens: int) -> float:
    """Return about the least time to the first event of a prompt, once it has a place."""
    parts = max(1, min(MOST_PARTS, tokens // LEAST_PART_TOKENS))
    busy_pass_s = pass_s(model, model.slots, 0)
    return read_s(model, tokens) / parts + LEAST_PASSES * busy_pass_s


def queue_turn(*, due_in_s: float, least_s: float) -> tuple[bool, float]:
    """Return the turn of a request; smaller ones come first.

    Those that can still be on time go first, in the order in which they are due; those that will
    be late anyway follow. In first-come order an overload of a few in a hundred makes all late.

    Args:
        due_in_s: Until its answer, or its first event, is due.
        least_s: The least time that it takes once it has a place.
    """
    return due_in_s < least_s, due_in_s


class Backlog:
    """The requests of a service that wait for room, as one entry sees them.

    A burst that is over soon is best waited out. While more come than can be served, what can't be
    on time any more would wait in vain.

    Attributes:
        interval_s: The smoothed time from one that finds room to the next.
    """

    def __init__(self) -> None:
        self._since_s: float | None = None
        self._seen_s = -math.inf
        self._granted_s = -math.inf
        self.interval_s = 0.0

    def note_waiting(self, now_s: float) -> None:
        """Note that a request found no room."""
        if self._since_s is None or now_s - self._seen_s > REST_S:
            self._since_s = now_s
            self._granted_s = now_s
        self._seen_s = now_s

    def note_grant(self, now_s: float) -> None:
        """Note that a request that had waited found room."""
        taken_s = now_s - self._granted_s
        self.interval_s += INTERVAL_GAIN * (taken_s - self.interval_s)
        self._granted_s = now_s

    def is_lasting(self, now_s: float) -> bool:
        """Tell whether requests have been waiting for so long that it is no burst."""
        return self.lasted_s(now_s) >= LASTING_S

    def waits_in_vain(self, now_s: float, *, due_in_s: float, least_s: float, ahead: int) -> bool:
        """Tell whether a request should be refused instead of waiting.

        Args:
            now_s: The time.
            due_in_s: Until it is due.
            least_s: The least time that it takes once it has a place.
            ahead: How many have their turn before it.
        """
        if not self.is_lasting(now_s):
            return False
        return due_in_s - least_s < (ahead + 1) * self.interval_s

    def lasted_s(self, now_s: float) -> float:
        """Return for how long requests have been waiting; as long again is to be expected."""
        if self._since_s is None or now_s - self._seen_s > REST_S:
            return 0.0
        return now_s - self._since_s
