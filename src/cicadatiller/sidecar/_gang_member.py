"""Holds the memory and prefills the segments of gangs on one engine."""

import asyncio
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial

from ..kernel import ErrorKind, Event, FailureError, TaskSet, fail, failure, log_event
from ..peer import (
    LoadReport,
    Prefill,
    Prefilled,
    Release,
    Released,
    Reserve,
    Reserved,
    TargetEndedError,
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
RENEW_INTERVAL_S = 1.0
RETRY_DELAY_S = 0.2
CLOSE_TIMEOUT_S = 1.0
MAX_ENDED_HOLDS = 1000
RESERVE_RETRY_AFTER_S = 0.5


@dataclass
class _Hold:
    """A reservation and the prefills that run or are exported under it."""

    hold_id: str
    expires_s: float
    ended: asyncio.Event = field(default_factory=asyncio.Event)
    freed: asyncio.Event = field(default_factory=asyncio.Event)
    lost_reason: str = ""
    prefills: dict[str, asyncio.Task[None]] = field(default_factory=dict)


class GangMember:
    """Maintains the holds on one engine until they are released, expire or lose the engine.

    Args:
        driver: Runs streams on the engine.
        engine: Renews and releases exports.
        scheduler: The engine's memory and prefill.
        chunk_tokens: Returns the maximum prefill tokens between two decode steps.
        is_leaving: Returns whether new holds are refused.
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
        """Return whether an export belongs to a current hold."""
        return any(export_id in hold.prefills for hold in self._holds.values())

    def has_ended(self, export_id: str) -> bool:
        """Return whether an export belongs to a hold that was released or has expired here."""
        hold_id = export_id.rpartition("/")[0]
        return hold_id in self._ended and hold_id not in self._holds

    async def handle(
        self, message: Reserve | Prefill | Release, load: Callable[[], LoadReport]
    ) -> Reserved | Prefilled | Released:
        """Process a coordinator's message and return the reply; raises `FailureError`."""
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

    def reserve(
        self, hold_id: str, kv_tokens: int, ttl_s: float, *, is_coordinator: bool = False
    ) -> str:
        """Reserve memory, or renew a hold; return the engine's address.

        Args:
            hold_id: Chosen by the coordinator.
            kv_tokens: The KV memory to hold.
            ttl_s: The hold expires this long after the last renewal.
            is_coordinator: Whether this sidecar coordinates the gang. The hold is then granted even
                while the sidecar is leaving, as the request was admitted before.

        Raises:
            FailureError: OVERLOADED if the memory is not free yet; it is then claimed for
                `CLAIM_TTL_S`. TARGET_LOST if the hold has ended or the engine lost a segment.
                TARGET_LEAVING if the sidecar accepts no new holds. NO_TARGET if the engine is
                unreachable or does not support gangs.
        """
        expires_s = asyncio.get_running_loop().time() + ttl_s
        hold = self._holds.get(hold_id)
        if hold is not None and not hold.ended.is_set():
            if hold.lost_reason:
                raise fail(ErrorKind.TARGET_LOST, hold.lost_reason)
            hold.expires_s = expires_s
            return self._info().address
        if hold is not None or hold_id in self._ended:
            raise fail(ErrorKind.TARGET_LOST, f"hold {hold_id} has ended")
        self._acquire(hold_id, kv_tokens, is_coordinator)
        hold = _Hold(hold_id=hold_id, expires_s=expires_s)
        self._holds[hold_id] = hold
        self._tasks.start(self._maintain(hold), name=f"hold {hold_id}")
        return self._info().address

    async def prefill(self, message: Prefill) -> None:
        """Prefill a segment into an export; a repeated message waits for the same prefill.

        Raises:
            FailureError: TARGET_LOST if the hold has ended or the engine was lost.
        """
        hold = self._holds.get(message.hold_id)
        if hold is None or hold.ended.is_set() or hold.lost_reason:
            raise fail(ErrorKind.TARGET_LOST, f"hold {message.hold_id} has ended")
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
            raise fail(
                ErrorKind.TARGET_LOST,
                f"hold {message.hold_id} ended before the prefill was finished",
            )
        task.result()

    async def release(self, hold_id: str) -> None:
        """End a hold and wait until the engine has freed its memory. Idempotent."""
        self._record_ended(hold_id)
        hold = self._holds.get(hold_id)
        if hold is None:
            self._scheduler.release_hold(hold_id)
            return
        hold.ended.set()
        await hold.freed.wait()

    async def wait_until_idle(self) -> None:
        """Wait until all holds have ended."""
        while self._holds:
            await next(iter(self._holds.values())).freed.wait()

    async def close(self) -> None:
        """End all holds; waits up to `CLOSE_TIMEOUT_S` for the engine."""
        holds = list(self._holds.values())
        for hold in holds:
            hold.ended.set()
        if holds:
            waiters = [asyncio.ensure_future(hold.freed.wait()) for hold in holds]
            _, unfinished = await asyncio.wait(waiters, timeout=CLOSE_TIMEOUT_S)
            for wait in unfinished:
                wait.cancel()
        await self._tasks.close()

    def _info(self) -> EngineInfo:
        if self._driver.info is None:
            raise fail(
                ErrorKind.NO_TARGET,
                "the sidecar has not connected to its engine yet",
                retry_after_s=1.0,
            )
        return self._driver.info

    def _acquire(self, hold_id: str, kv_tokens: int, is_coordinator: bool) -> None:
        if self._is_leaving() and not is_coordinator:
            raise fail(
                ErrorKind.TARGET_LEAVING,
                "the target is leaving and accepts no new holds",
                retry_after_s=1.0,
            )
        if not self._driver.reachable or not self._info().supports_gang:
            raise fail(
                ErrorKind.NO_TARGET,
                "the engine is unreachable or does not support gangs",
                retry_after_s=1.0,
            )
        if not self._scheduler.hold(hold_id, kv_tokens):
            raise fail(
                ErrorKind.OVERLOADED,
                f"{kv_tokens} tokens of the engine's memory are not free yet",
                retry_after_s=RESERVE_RETRY_AFTER_S,
            )

    async def _prefill(self, spec: StreamSpec) -> None:
        outputs: asyncio.Queue[StreamOutput | None] = asyncio.Queue()
        self._scheduler.prefill_started(spec.stream_id, spec.prompt_tokens - spec.first_token)
        epoch = "" if self._driver.info is None else self._driver.info.epoch
        try:
            await self._driver.execute(spec, outputs, may_resubmit=False)
            while True:
                output = await outputs.get()
                if output is None:
                    raise self._lost_error(spec, epoch)
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

    def _lost_error(self, spec: StreamSpec, epoch: str) -> FailureError:
        reason = failure(
            ErrorKind.TARGET_LOST, f"the engine was lost during the prefill of {spec.stream_id}"
        )
        if not self._driver.has_ended(epoch):
            return FailureError(reason)
        return TargetEndedError(reason, run=epoch, ended_s=self._driver.lost_s)

    async def _maintain(self, hold: _Hold) -> None:
        loop = asyncio.get_running_loop()
        try:
            while not hold.ended.is_set() and loop.time() < hold.expires_s:
                await self._renew_exports(hold)
                await _wait(
                    hold.ended, min(RENEW_INTERVAL_S, max(0.0, hold.expires_s - loop.time()))
                )
            hold.ended.set()
            self._record_ended(hold.hold_id)
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
                hold.lost_reason = f"the engine lost a segment: {error}"
            except TargetUnreachableError:
                continue

    async def _free(self, hold: _Hold) -> None:
        for task in hold.prefills.values():
            task.cancel()
        deadline_s = asyncio.get_running_loop().time() + EXPORT_LEASE_S
        for export_id in hold.prefills:
            await _retry_until_confirmed(partial(self._engine.cancel, export_id), deadline_s)
            await _retry_until_confirmed(
                partial(self._engine.release_export, export_id), deadline_s
            )

    def _record_ended(self, hold_id: str) -> None:
        self._ended[hold_id] = None
        while len(self._ended) > MAX_ENDED_HOLDS:
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


async def _retry_until_confirmed(ask: Callable[[], Awaitable[bool]], deadline_s: float) -> None:
    """Retry a call until the engine responds or the lease on the export has expired."""
    while asyncio.get_running_loop().time() < deadline_s:
        try:
            await ask()
            return
        except TargetUnreachableError:
            log_event(Event.CANCEL_RETRIED)
            await asyncio.sleep(RETRY_DELAY_S)
        except TargetRefusedError:
            return
