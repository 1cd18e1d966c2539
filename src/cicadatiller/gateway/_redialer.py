"""Dials unreachable targets in the background, so that no request has to try them."""

import asyncio

from ..egress import ConnectionPool, EgressError
from ..fleet import Target, TargetDirectory
from ..kernel import TaskSet

DIAL_INTERVAL_S = 0.4
DIAL_TIMEOUT_S = 0.5


class Redialer:
    """Dials targets whose circuit breaker is open because they were unreachable.

    The breaker of a target that accepts a connection is closed, and the connection kept.

    Args:
        directory: The known targets.
        pool: Opens and keeps the connections.
        tasks: Runs the dials.
    """

    def __init__(self, *, directory: TargetDirectory, pool: ConnectionPool, tasks: TaskSet) -> None:
        self._directory = directory
        self._pool = pool
        self._tasks = tasks
        self._dialing: set[str] = set()

    async def run(self) -> None:
        """Dial unreachable targets every `DIAL_INTERVAL_S` until cancelled."""
        while True:
            await asyncio.sleep(DIAL_INTERVAL_S)
            for target in list(self._directory.targets()):
                if self._should_dial(target):
                    self._dialing.add(target.instance_id)
                    self._tasks.start(self._dial(target), name=f"dial {target.instance_id}")

    def _should_dial(self, target: Target) -> bool:
        is_usable = target.is_usable(asyncio.get_running_loop().time())
        is_dialing = target.instance_id in self._dialing
        return target.breaker.is_unreachable and is_usable and not is_dialing

    async def _dial(self, target: Target) -> None:
        try:
            connection = await self._pool.open(target.record.address, timeout_s=DIAL_TIMEOUT_S)
        except EgressError:
            return
        finally:
            self._dialing.discard(target.instance_id)
        self._pool.add_idle(connection)
        target.breaker.record_reachable(asyncio.get_running_loop().time())
