"""Holds a part of a huge prompt for the sidecar that coordinates it."""

import asyncio
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial

from ..kernel import ErrorKind, Event, TaskSet, fail, log_event
from ..peer import (
    LoadReport,
    Prefill,
    Prefilled,
    Release,
    Released,
    Reserve,
    Reserved,
)
from ..targets import (
    Engine,
    EngineInfo,
    StreamOutput,
    StreamSpec,
    TargetRefusedError,
    TargetUnreachableError,
)
from ._engine_driver import EngineDriver
from ._scheduler import Scheduler
from ._segments import export_spec

EXPORT_LEASE_S = 6.0
RENEW_S = 1.0
RETRY_S = 0.2
CLOSE_TIMEOUT_S = 1.0
KEPT_ENDED_HOLDS = 1000
RESERVE_RETRY_S = 0.5


@dataclass
class _Hold:
    """A reservation and what it keeps in the engine."""

    hold_id: str
    expires_s: float
    ended: asyncio.Event = field(default_factory=asyncio.Event)
    freed: asyncio.Event = field(default_factory=asyncio.Event)
    broken: str = ""
    prefills: dict[str, asyncio.Task[None]] = field(default_factory=dict)


class GangMember:
    """Keeps holds, each until it is released, expires or loses its engine.

    Args:
        driver: The engine's output.
        engine: The engine.
        scheduler: The memory ledger.
        chunk_tokens: Returns the longest run of prefill between two decode steps.
        is_leaving: Tells whether new holds are refused.
    """

    def __init__(
        self,
        *,
        driver: EngineDriver,
        engine: Engine,
        scheduler: Scheduler,
        chunk_tokens: Callable[[], int],
        is_leaving: Callable[[], bool],
    ) -> None:
        self._driver = driver
        self._engine = engine
        self._scheduler = scheduler
        self._chunk_tokens = chunk_tokens
        self._is_leaving = is_leaving
        self._holds: dict[str, _Hold] = {}
        self._ended: OrderedDict[str, None] = OrderedDict()
        self._tasks = TaskSet()

    def owns_export(self, export_id: str) -> bool:
        """Tell whether a hold keeps an export."""
        return any(export_id in hold.prefills for hold in self._holds.values())

    def has_ended(self, export_id: str) -> bool:
        """Tell whether an export belongs to a hold that was released or has expired here."""
        hold_id = export_id.rpartition("/")[0]
        return hold_id in self._ended and hold_id not in self._holds

    async def handle(
        self, message: Reserve | Prefill | Release, load: Callable[[], LoadReport]
    ) -> Reserved | Prefilled | Released:
        """Response a coordinator; raises `FailureError`."""
        match message:
            case Reserve():
                address = self.reserve(message.hold_id, message.kv_tokens, message.ttl_s)
                return Reserved(call=message.call, engine_address=address, load=load())
            case Prefill():
                await self.prefill(message)
                return Prefilled(call=message.call, load=load())
            case Release():
                await self.release(message.hold_id)
                return Released(call=message.call, load=load())

    def reserve(self, hold_id: str, kv_tokens: int, ttl_s: float, *, own: bool = False) -> str:
        """Take or renew a hold and return the engine's address.

        Args:
            hold_id: Chosen by the coordinator.
            kv_tokens: How much to hold.
            ttl_s: The hold expires after so long unless renewed.
            own: Whether this sidecar coordinates, having admitted the request before it leaves.

        Raises:
            FailureError: OVERLOADED if the memory is not free yet; the engine is then claimed for
                a while. TARGET_LOST if the hold has ended. TARGET_LEAVING or NO_TARGET.
        """
        expires_s = asyncio.get_running_loop().time() + ttl_s
        hold = self._holds.get(hold_id)
        if hold is not None and not hold.ended.is_set():
            if hold.broken:
                raise fail(ErrorKind.TARGET_LOST, hold.broken)
            hold.expires_s = expires_s
            return self._info().address
        if hold is not None or hold_id in self._ended:
            raise fail(ErrorKind.TARGET_LOST, "the hold has ended")
        self._take(hold_id, kv_tokens, own)
        hold = _Hold(hold_id=hold_id, expires_s=expires_s)
        self._holds[hold_id] = hold
        self._tasks.start(self._keep(hold), name=f"hold {hold_id}")
        return self._info().address

    async def prefill(self, message: Prefill) -> None:
        """Prefill a segment into an export; asking again waits for the same work.

        Raises:
            FailureError: TARGET_LOST if the hold or the engine is gone.
        """
        hold = self._holds.get(message.hold_id)
        if hold is None or hold.ended.is_set() or hold.broken:
            raise fail(ErrorKind.TARGET_LOST, "the hold has ended")
        export_id = message.segment.export_id
        task = hold.prefills.get(export_id)
        if task is None:
            spec = export_spec(message, self._chunk_tokens(), EXPORT_LEASE_S)
            task = asyncio.get_running_loop().create_task(self._prefill(spec))
            task.add_done_callback(_retrieve_error)
            hold.prefills[export_id] = task
        ended = asyncio.ensure_future(hold.ended.wait())
        try:
            await asyncio.wait((task, ended), return_when=asyncio.FIRST_COMPLETED)
        finally:
            ended.cancel()
        if not task.done() or task.cancelled():
            raise fail(ErrorKind.TARGET_LOST, "the hold ended before the prefill did")
        task.result()

    async def release(self, hold_id: str) -> None:
        """End a hold and wait until the engine's memory is free. Idempotent."""
        self._remember_ended(hold_id)
        hold = self._holds.get(hold_id)
        if hold is None:
            self._scheduler.release_hold(hold_id)
            return
        hold.ended.set()
        await hold.freed.wait()

    async def wait_until_idle(self) -> None:
        """Wait until no hold is left."""
        while self._holds:
            await next(iter(self._holds.values())).freed.wait()

    async def close(self) -> None:
        """End all holds, waiting a little for the engine."""
        holds = list(self._holds.values())
        for hold in holds:
            hold.ended.set()
        if holds:
            waits = [asyncio.ensure_future(hold.freed.wait()) for hold in holds]
            _, late = await asyncio.wait(waits, timeout=CLOSE_TIMEOUT_S)
            for wait in late:
                wait.cancel()
        await self._tasks.close()

    def _info(self) -> EngineInfo:
        if self._driver.info is None:
            raise fail(ErrorKind.NO_TARGET, "the engine has not been met yet", retry_after_s=1.0)
        return self._driver.info

    def _take(self, hold_id: str, kv_tokens: int, own: bool) -> None:
        if self._is_leaving() and not own:
            raise fail(ErrorKind.TARGET_LEAVING, "the target takes no new work", retry_after_s=1.0)
        if not self._driver.reachable or not self._info().supports_gang:
            raise fail(ErrorKind.NO_TARGET, "the engine can't take part now", retry_after_s=1.0)
        if not self._scheduler.hold(hold_id, kv_tokens):
            raise fail(
                ErrorKind.OVERLOADED,
                "the engine's memory is not free yet",
                retry_after_s=RESERVE_RETRY_S,
            )

    async def _prefill(self, spec: StreamSpec) -> None:
        outputs: asyncio.Queue[StreamOutput | None] = asyncio.Queue()
        self._scheduler.prefill_started(spec.stream_id, spec.prompt_tokens - spec.first_token)
        try:
            await self._driver.execute(spec, outputs, may_resubmit=False)
            while True:
                output = await outputs.get()
                if output is None:
                    raise fail(ErrorKind.TARGET_LOST, "the engine was lost")
                if output.first_index < 0:
                    output = await self._driver.resume(spec.stream_id, 0)
                if output.error:
                    raise fail(ErrorKind.TARGET_LOST, output.error)
                if output.finished:
                    self._scheduler.prefill_ended(spec.stream_id)
                    return
        finally:
            self._driver.forget(spec.stream_id)
            self._scheduler.prefill_ended(spec.stream_id, finished=False)

    async def _keep(self, hold: _Hold) -> None:
        loop = asyncio.get_running_loop()
        try:
            while not hold.ended.is_set() and loop.time() < hold.expires_s:
                await self._renew_exports(hold)
                await _wait(hold.ended, min(RENEW_S, max(0.0, hold.expires_s - loop.time())))
            hold.ended.set()
            self._remember_ended(hold.hold_id)
            await self._free(hold)
        finally:
            self._holds.pop(hold.hold_id, None)
            self._scheduler.release_hold(hold.hold_id)
            hold.freed.set()

    async def _renew_exports(self, hold: _Hold) -> None:
        for export_id, task in list(hold.prefills.items()):
            if not task.done() or task.cancelled() or task.exception() is not None:
                continue
            try:
                await self._engine.renew_export(export_id, EXPORT_LEASE_S)
            except TargetRefusedError as error:
                hold.broken = f"the engine lost a segment: {error}"
            except TargetUnreachableError:
                continue

    async def _free(self, hold: _Hold) -> None:
        for task in hold.prefills.values():
            task.cancel()
        end_s = asyncio.get_running_loop().time() + EXPORT_LEASE_S
        for export_id in hold.prefills:
            await _confirm(partial(self._engine.cancel, export_id), end_s)
            await _confirm(partial(self._engine.release_export, export_id), end_s)

    def _remember_ended(self, hold_id: str) -> None:
        self._ended[hold_id] = None
        while len(self._ended) > KEPT_ENDED_HOLDS:
            self._ended.popitem(last=False)


def _retrieve_error(task: asyncio.Task[None]) -> None:
    if not task.cancelled():
        task.exception()


async def _wait(event: asyncio.Event, timeout_s: float) -> None:
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return


async def _confirm(ask: Callable[[], Awaitable[bool]], end_s: float) -> None:
    """Ask the engine until it answers, at most until the lease on the export has lapsed."""
    while asyncio.get_running_loop().time() < end_s:
        try:
            await ask()
            return
        except TargetUnreachableError:
            log_event(Event.CANCEL_RETRIED)
            await asyncio.sleep(RETRY_S)
        except TargetRefusedError:
            return
