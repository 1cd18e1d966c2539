"""Asks engines how fast they are, each engine by one entry."""

import asyncio
from collections.abc import Callable, Iterable

from ..fleet import Target, TargetDirectory
from ..kernel import TaskSet, rendezvous_weight
from ._orders import EngineOrders

INTERVAL_S = 1.5


class EngineProber:
    """Asks for the reports of the engines that fall to this entry.

    A request shows how fast its own engine is, but not the engines that only read parts of prompts,
    nor one that nothing was sent to for a while.

    Args:
        name: This entry.
        directory: The targets.
        orders: Asks engines.
        tasks: Runs the calls.
        is_engine: Tells whether a service's targets are engines.
        peers: Returns the other entries that are heard.
        on_pace: Takes an engine's id and its pace.
        on_silent: Takes an engine that did not answer.
    """

    def __init__(
        self,
        *,
        name: str,
        directory: TargetDirectory,
        orders: EngineOrders,
        tasks: TaskSet,
        is_engine: Callable[[str], bool],
        peers: Callable[[], Iterable[str]],
        on_pace: Callable[[str, float], None],
        on_silent: Callable[[Target], None],
    ) -> None:
        self._name = name
        self._directory = directory
        self._orders = orders
        self._tasks = tasks
        self._is_engine = is_engine
        self._peers = peers
        self._on_pace = on_pace
        self._on_silent = on_silent
        self._asked: dict[str, asyncio.Task[bool]] = {}

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            await asyncio.sleep(INTERVAL_S)
            for target in self._own_targets():
                self._tasks.start(self._ask(target), name=f"report of {target.instance_id}")

    async def is_alive(self, target: Target) -> bool:
        """Ask an engine whether it lives; questions at the same time share one call.

        Targets that are no engines can't be asked, and count as dead.
        """
        if not self._is_engine(target.record.service):
            return False
        asking = self._asked.get(target.instance_id)
        if asking is None:
            asking = asyncio.get_running_loop().create_task(self._ask_once(target))
            self._asked[target.instance_id] = asking
            asking.add_done_callback(lambda _: self._asked.pop(target.instance_id, None))
        return await asyncio.shield(asking)

    async def _ask_once(self, target: Target) -> bool:
        report = await self._orders.report(target.record.address)
        if report is None:
            self._on_silent(target)
            return False
        self._on_pace(target.instance_id, report.pace)
        return True

    def _own_targets(self) -> list[Target]:
        entries = [self._name, *self._peers()]
        return [
            target
            for target in self._directory.targets()
            if target.takes_work
            and not target.breaker.is_unreachable
            and self._is_engine(target.record.service)
            and self._name == _entry_for(target, entries)
        ]

    async def _ask(self, target: Target) -> None:
        await self.is_alive(target)


def _entry_for(target: Target, entries: list[str]) -> str:
    return max(entries, key=lambda entry: rendezvous_weight(entry, target.instance_id))
