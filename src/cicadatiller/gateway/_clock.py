"""Detection of machine suspensions."""

import time
from collections.abc import Callable

MIN_SUSPENSION_S = 0.5


def boot_clock_s() -> float:
    """Return `CLOCK_BOOTTIME`, which advances while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class ClockWatch:
    """Compares the loop clock with one that advances while the machine is suspended.

    Args:
        loop_time_s: Returns the loop time.
        boot_time_s: Returns the time of the clock that advances during suspensions.
    """

    def __init__(
        self,
        *,
        loop_time_s: Callable[[], float],
        boot_time_s: Callable[[], float] = boot_clock_s,
    ) -> None:
        self._loop_time_s = loop_time_s
        self._boot_time_s = boot_time_s
        self._offset_s = boot_time_s() - loop_time_s()

    def suspended_s(self) -> float:
        """Return how long the machine was suspended since the last call.

        Differences below `MIN_SUSPENSION_S` count as 0.
        """
        offset_s = self._boot_time_s() - self._loop_time_s()
        lost_s = offset_s - self._offset_s
        self._offset_s = offset_s
        return lost_s if lost_s >= MIN_SUSPENSION_S else 0.0
