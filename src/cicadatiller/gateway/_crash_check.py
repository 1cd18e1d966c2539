"""Tells a target that ended from one that only closed a connection."""

import asyncio

from ..egress import ConnectionPool, EgressError
from ..fleet import Target

DIAL_TIMEOUT_S = 0.5


class CrashCheck:
    """Dials targets that closed connections.

    A target may drop idle connections without notice, or reset some; only one that ended accepts
    none.

    Args:
        pool: Opens the connections, and keeps those that are accepted.
    """

    def __init__(self, *, pool: ConnectionPool) -> None:
        self._pool = pool
        self._dials: dict[str, asyncio.Task[bool]] = {}

    async def has_ended(self, target: Target) -> bool:
        """Return whether a target accepts no connection; concurrent checks share one dial."""
        dial = self._dials.get(target.instance_id)
        if dial is None:
            dial = asyncio.get_running_loop().create_task(self._is_refused(target))
            self._dials[target.instance_id] = dial
            dial.add_done_callback(lambda _: self._dials.pop(target.instance_id, None))
        return await asyncio.shield(dial)

    async def _is_refused(self, target: Target) -> bool:
        try:
            connection = await self._pool.open(target.record.address, timeout_s=DIAL_TIMEOUT_S)
        except EgressError:
            return True
        self._pool.add_idle(connection)
        return False
