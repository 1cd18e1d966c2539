"""Read timeouts that tell a busy target from a dead one by a liveness check."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from ..egress import EgressConnection, EgressError

T = TypeVar("T")


class TargetUnresponsiveError(EgressError):
    """The target sent no data before the timeout, or did not respond to the liveness check."""


async def read_with_liveness_check(
    read: Callable[[], Awaitable[T]],
    connection: EgressConnection,
    *,
    probe_after_s: float | None,
    give_up_after_s: float,
    is_alive: Callable[[], Awaitable[bool]],
) -> T:
    """Read from a target, and check whether it is alive if it sends nothing.

    A target that is busy with a long prefill sends nothing, as a dead one does, but still responds
    to a liveness check. After a stall of this process a timeout may fire although data has arrived,
    so a timeout counts only if the connection has no unread data.

    Args:
        read: Reads the connection.
        connection: The connection that `read` uses.
        probe_after_s: Check the target after this time without data; None to wait without a limit.
        give_up_after_s: Give up after this time without data even if the target is alive; the time
            of the liveness check does not count.
        is_alive: Runs the liveness check.

    Returns:
        The result of `read`.

    Raises:
        TargetUnresponsiveError: If the target sent nothing in time, or did not respond to the
            check.
        EgressError: If the connection ends.
    """
    if probe_after_s is None:
        return await read()
    try:
        return await _read_within(read, connection, probe_after_s)
    except TimeoutError:
        pass
    if not await is_alive():
        raise TargetUnresponsiveError(
            f"the target sent no data for {probe_after_s:.1f} s "
            "and did not respond to the liveness check"
        )
    try:
        return await _read_within(read, connection, max(0.0, give_up_after_s - probe_after_s))
    except TimeoutError:
        raise TargetUnresponsiveError(
            f"the target sent no data for {give_up_after_s:.1f} s"
        ) from None


async def _read_within(
    read: Callable[[], Awaitable[T]], connection: EgressConnection, timeout_s: float
) -> T:
    try:
        async with asyncio.timeout(timeout_s):
            return await read()
    except TimeoutError:
        if connection.is_readable:
            return await read()
        raise
