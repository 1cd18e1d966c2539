"""Notices that this process stood still."""

import time
from collections.abc import Callable

SUSPENDED_S = 0.5


def boot_clock_s() -> float:
    """Return a time that goes on while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class ClockWatch:
    """Compares the loop's clock with one that goes on while the machine is suspended.

    Args:
        loop_time_s: Returns the loop's time.
        boot_time_s: Returns the other clock.
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
        """Return for how long the machine was suspended since the last call; 0 if it was not."""
        offset_s = self._boot_time_s() - self._loop_time_s()
        lost_s = offset_s - self._offset_s
        self._offset_s = offset_s
        return lost_s if lost_s >= SUSPENDED_S else 0.0
