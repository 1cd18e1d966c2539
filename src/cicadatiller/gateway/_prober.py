"""Periodic probes of the engines; each engine is probed by one entry only."""

import asyncio
from collections.abc import Callable, Iterable

from ..fleet import Target, TargetDirectory
from ..kernel import TaskSet, rendezvous_weight
from ._orders import EngineClient

PROBE_INTERVAL_S = 1.5


class EngineProber:
    """Fetches the reports of the engines that are assigned to this entry.

    Requests show the pace of the engine that serves them, but not that of engines that only
    prefill parts of prompts or have been idle for a while.

    Args:
        name: Name of this entry.
        directory: The known targets.
        orders: Fetches the reports.
        tasks: Runs the calls.
        is_engine: Returns whether the targets of a service are engines.
        users: Returns the names of the connected entries that use a target, this one included, from
            the target's id.
        on_pace: Called with the instance id and the pace of an engine that reported.
        on_unresponsive: Called with an engine that did not report.
    """

    def __init__(
        self,
        *,
        name: str,
        directory: TargetDirectory,
        orders: EngineClient,
        tasks: TaskSet,
        is_engine: Callable[[str], bool],
        users: Callable[[str], Iterable[str]],
        on_pace: Callable[[str, float], None],
        on_unresponsive: Callable[[Target], None],
    ) -> None:
        self._name = name
        self._directory = directory
        self._orders = orders
        self._tasks = tasks
        self._is_engine = is_engine
        self._users = users
        self._on_pace = on_pace
        self._on_unresponsive = on_unresponsive
        self._pending_checks: dict[str, asyncio.Task[bool]] = {}

    async def run(self) -> None:
        """Probe the assigned engines every `PROBE_INTERVAL_S` until cancelled."""
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            for target in self._assigned_targets():
                self._tasks.start(self._probe(target), name=f"report of {target.instance_id}")

    async def is_alive(self, target: Target) -> bool:
        """Return whether an engine responds to a liveness check; concurrent checks share one call.

        One that wants no requests has lately responded, and counts as alive.
        """
        if _is_quiet(target):
            return True
        check = self._pending_checks.get(target.instance_id)
        if check is None:
            check = asyncio.get_running_loop().create_task(self._run_liveness_check(target))
            self._pending_checks[target.instance_id] = check
            check.add_done_callback(lambda _: self._pending_checks.pop(target.instance_id, None))
        return await asyncio.shield(check)

    async def _run_liveness_check(self, target: Target) -> bool:
        report = await self._orders.report(target.record.address)
        if report is None and _is_quiet(target):
            return True
        if report is None:
            self._on_unresponsive(target)
            return False
        self._on_pace(target.instance_id, report.pace)
        return True

    def _assigned_targets(self) -> list[Target]:
        now_s = asyncio.get_running_loop().time()
        return [
            target
            for target in self._directory.targets()
            if target.is_usable(now_s) and not target.breaker.is_unreachable
            # Its reports would take what requests may use.
            and not target.availability.rate.is_limited
            and self._is_engine(target.record.service)
            and self._name == self._responsible_entry(target)
        ]

    def _responsible_entry(self, target: Target) -> str:
        return max(
            self._users(target.instance_id),
            key=lambda name: rendezvous_weight(name, target.instance_id),
            default="",
        )

    async def _probe(self, target: Target) -> None:
        await self.is_alive(target)


def _is_quiet(target: Target) -> bool:
    return target.availability.is_quiet(asyncio.get_running_loop().time())
