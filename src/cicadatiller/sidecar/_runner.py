"""Runs a request on the target, from the queue to its end."""

import asyncio
from typing import Protocol

from ..config import ConfigStore
from ..kernel import (
    ErrorKind,
    Event,
    FailureError,
    RequestState,
    RunState,
    fail,
    failure,
    log_event,
)
from ..peer import GenerateWork
from ..targets import (
    ModelRef,
    PlainService,
    ServiceCall,
    StreamOutput,
    StreamSpec,
    TargetRefusedError,
    TargetUnreachableError,
)
from ._engine_driver import EngineDriver
from ._gang_coordinator import GangCoordinator
from ._ledger_entry import LedgerEntry
from ._queue import LONG_CLASS, Ticket, chunk_limit
from ._rates import StreamProgress
from ._scheduler import Scheduler
from ._service_runs import ServiceRuns


class Runner(Protocol):
    """Runs a request on the target."""

    async def run(self, entry: LedgerEntry) -> None:
        """Run a request to its end and store the response in its entry.

        Raises:
            FailureError: If the request fails.
        """


class EngineRunner:
    """Runs generation requests on an engine.

    Args:
        driver: Sends requests to the engine.
        scheduler: The request queue and the memory accounting of the engine.
        store: The current configuration.
        incarnation: The id of this run of the sidecar; prefixes its stream ids.
        gang: Runs requests whose KV exceeds the capacity of one engine.
    """

    def __init__(
        self,
        *,
        driver: EngineDriver,
        scheduler: Scheduler,
        store: ConfigStore,
        incarnation: str,
        gang: GangCoordinator,
    ) -> None:
        self._driver = driver
        self._scheduler = scheduler
        self._store = store
        self._incarnation = incarnation
        self._gang = gang

    async def run(self, entry: LedgerEntry) -> None:
        """Queue a request, run it on the engine and store its output in the entry."""
        if entry.submit is None or entry.submit.generate is None:
            raise fail(
                ErrorKind.INVALID_REQUEST,
                "the target is an engine and runs generation requests only",
            )
        work = entry.submit.generate
        ticket = self._make_ticket(entry, work)
        stream_id = f"{self._incarnation}/{entry.request_id}/{entry.attempt}"
        if ticket.kv_tokens > self._scheduler.capacity_tokens:
            spec = self._make_spec(stream_id, entry, work, LONG_CLASS)
            await self._gang.run(entry, spec, self._run_stream)
            return
        await self._scheduler.acquire(ticket)
        try:
            spec = self._make_spec(stream_id, entry, work, self._scheduler.engine_priority(ticket))
            await self._run_stream(entry, spec)
        finally:
            self._driver.cancel(stream_id)
            self._scheduler.release(ticket)

    async def _run_stream(self, entry: LedgerEntry, spec: StreamSpec) -> None:
        outputs: asyncio.Queue[StreamOutput | None] = asyncio.Queue()
        entry.sent = True
        entry.state = RequestState.RUNNING
        epoch = "" if self._driver.info is None else self._driver.info.epoch
        try:
            await self._read_stream(entry, spec, outputs)
        except FailureError as error:
            if error.failure.kind is ErrorKind.TARGET_LOST and self._driver.has_ended(epoch):
                entry.record_ended_run(epoch, self._driver.lost_s)
            raise

    async def _read_stream(
        self, entry: LedgerEntry, spec: StreamSpec, outputs: "asyncio.Queue[StreamOutput | None]"
    ) -> None:
        progress = StreamProgress(scheduler=self._scheduler, request_id=entry.request_id)
        await self._driver.execute(
            spec, outputs, may_resubmit=entry.repeatable, is_bound=not entry.repeatable
        )
        info = self._driver.info
        if info is not None:
            self._driver.watch_refusals(
                spec.stream_id,
                lambda: entry.record_ended_run(info.epoch, self._driver.lost_s),
            )
        while True:
            output = await outputs.get()
            if output is None:
                raise fail(
                    ErrorKind.TARGET_LOST,
                    "the engine restarted or became unreachable",
                    run_state=RunState.RAN,
                )
            if output.first_index < 0 or not entry.add_texts(output.first_index, output.texts):
                output = await self._driver.resume(spec.stream_id, len(entry.texts))
                entry.add_texts(output.first_index, output.texts)
            progress.observe(len(entry.texts) - len(spec.delivered), finished=output.finished)
            if output.error:
                raise fail(ErrorKind.TARGET_LOST, output.error, run_state=RunState.RAN)
            if output.finished:
                entry.finish()
                return

    def _make_ticket(self, entry: LedgerEntry, work: GenerateWork) -> Ticket:
        workspace = self._store.state.workspace(entry.workspace)
        return Ticket(
            request_id=entry.request_id,
            workspace=entry.workspace,
            weight=1.0 if workspace is None else workspace.weight,
            prompt_tokens=work.prompt_tokens,
            kv_tokens=work.prompt_tokens + work.max_output_tokens,
            queued_s=asyncio.get_running_loop().time(),
            deadline_s=entry.deadline_s,
        )

    def _make_spec(
        self, stream_id: str, entry: LedgerEntry, work: GenerateWork, priority: int
    ) -> StreamSpec:
        deployment = entry.submit.deployment if entry.submit else ""
        settings = self._store.state.deployment(deployment)
        chunk_tokens = 0 if settings is None else chunk_limit(work.prompt_tokens, settings.policy)
        return StreamSpec(
            stream_id=stream_id,
            model=ModelRef(model=work.model, version=work.version, adapter=work.adapter),
            prompt=work.prompt,
            prompt_tokens=work.prompt_tokens,
            max_output_tokens=work.max_output_tokens,
            priority=priority,
            prefill_chunk_tokens=chunk_tokens,
            delivered=tuple(entry.texts),
        )


class ServiceRunner:
    """Runs calls to a plain service.

    Args:
        service: The service.
        runs: Tells whether a run of the service has ended.
        incarnation: The id of this run of the sidecar; prefixes its call ids.
    """

    def __init__(self, *, service: PlainService, runs: ServiceRuns, incarnation: str) -> None:
        self._service = service
        self._runs = runs
        self._incarnation = incarnation

    async def run(self, entry: LedgerEntry) -> None:
        """Make the call once; if its response is lost, the outcome is unknown."""
        if entry.submit is None or entry.submit.invoke is None:
            raise fail(
                ErrorKind.INVALID_REQUEST, "the target is a plain service and runs calls only"
            )
        work = entry.submit.invoke
        call = ServiceCall(
            call_id=f"{self._incarnation}/{entry.request_id}/{entry.attempt}",
            method=work.method,
            payload=work.payload,
            timeout_s=max(0.0, entry.deadline_s - asyncio.get_running_loop().time()),
        )
        entry.sent = True
        entry.state = RequestState.RUNNING
        epoch = self._runs.current
        try:
            entry.finish(await self._service.call(call))
        except TargetRefusedError as error:
            raise fail(ErrorKind.TARGET_REFUSED, str(error)) from error
        except TargetUnreachableError as error:
            lost_s = asyncio.get_running_loop().time()
            if await self._runs.has_ended(epoch):
                entry.record_ended_run(epoch, lost_s)
            raise fail(ErrorKind.TARGET_LOST, f"the service did not respond: {error}") from error


async def run_to_end(runner: Runner, entry: LedgerEntry) -> None:
    """Run a request until its deadline at the latest and record how it ended."""
    try:
        async with asyncio.timeout_at(entry.deadline_s):
            await runner.run(entry)
    except TimeoutError:
        entry.end(
            failure(
                ErrorKind.DEADLINE_EXCEEDED,
                "the time limit expired before the response was complete",
                run_state=_current_run_state(entry),
            )
        )
    except FailureError as error:
        if error.failure.run_state is RunState.NOT_RUN:
            entry.sent = False
        entry.end(error.failure)
    except Exception as error:
        log_event(Event.TASK_FAILED, task=f"run {entry.request_id}", error=repr(error))
        entry.end(
            failure(
                ErrorKind.INTERNAL,
                "the request failed with an unexpected error; see the log of the sidecar",
            )
        )
    except asyncio.CancelledError:
        entry.end(
            failure(
                ErrorKind.CANCELLED,
                "the request was cancelled",
                run_state=_current_run_state(entry),
            )
        )
        raise


def _current_run_state(entry: LedgerEntry) -> RunState:
    if not entry.sent:
        return RunState.NOT_RUN
    delivered = len(entry.submit.delivered) if entry.submit else 0
    return RunState.RAN if len(entry.texts) > delivered else RunState.OUTCOME_UNKNOWN
