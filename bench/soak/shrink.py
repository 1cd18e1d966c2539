"""Finds a smaller schedule that still breaks the same promise."""

from collections.abc import Awaitable, Callable

from bench.soak.schedule import Schedule

Fails = Callable[[Schedule], Awaitable[bool]]


async def shrink(schedule: Schedule, fails: Fails, max_runs: int) -> Schedule:
    """Drop faults as long as the run still fails.

    Halves of the faults are tried first, then ever smaller parts.

    Args:
        schedule: A schedule that failed.
        fails: Plays a schedule and returns whether it fails in the same way.
        max_runs: The most schedules to play.

    Returns:
        The smallest schedule that failed.
    """
    part = max(1, len(schedule.faults) // 2)
    runs = 0
    while True:
        shrunk = False
        start = 0
        while start < len(schedule.faults):
            if runs == max_runs:
                return schedule
            candidate = schedule.without(schedule.faults[start : start + part])
            runs += 1
            if await fails(candidate):
                schedule = candidate
                shrunk = True
            else:
                start += part
        if part == 1 and not shrunk:
            return schedule
        part = max(1, part // 2)
