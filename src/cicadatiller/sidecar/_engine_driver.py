"""Runs streams on the engine of this sidecar."""

import asyncio
import contextlib
from collections.abc import Callable

from ..kernel import (
    ErrorKind,
    Event,
    FailureError,
    RunState,
    StrayAction,
    StrayResponse,
    fail,
    log_event,
    log_stray,
)
from ..targets import (
    Engine,
    EngineInfo,
    ExportStatus,
    StreamOutput,
    StreamSpec,
    StreamStatus,
    TargetRefusedError,
    TargetUnreachableError,
)

RETRY_DELAY_S = 0.2
# An engine that gives no response for this time counts as lost for streams that may run elsewhere.
ENGINE_LOST_AFTER_S = 3.0
# Refused connections in a row, `RETRY_DELAY_S` apart, after which an engine has probably ended. One
# that restarts its server refuses some, too, so its streams are not given up yet.
MIN_REFUSALS_OF_ENDED = 2
# As long as an entry waits for a sidecar that is silent.
ENGINE_SILENT_LIMIT_S = 15.0
CANCEL_TIMEOUT_S = 30.0


class EngineDriver:
    """Sends streams to the engine and distributes their output.

    Nothing but this sidecar communicates with the engine.

    Attributes:
        info: The engine's description from the last connection; None before the first one.
        lost_s: The event loop's time at which the engine was lost last.
    """

    def __init__(self, *, engine: Engine) -> None:
        self._engine = engine
        self._streams: dict[str, asyncio.Queue[StreamOutput | None]] = {}
        # The streams that may not run elsewhere, so that a silent engine is waited for.
        self._bound: set[str] = set()
        self._connected = asyncio.Event()
        self._unreachable_since_s: float | None = None
        self._is_refused = False
        self._refusals = 0
        self._on_refused: dict[str, Callable[[], None]] = {}
        self._cancel_tasks: set[asyncio.Task[None]] = set()
        self._cancelling: set[str] = set()
        self.info: EngineInfo | None = None
        self.lost_s = float("-inf")

    @property
    def reachable(self) -> bool:
        """Return whether the engine responded to the last attempt to connect."""
        return self._connected.is_set()

    def has_ended(self, epoch: str) -> bool:
        """Return whether a run of the engine has ended; one that is only silent has not."""
        is_replaced = self.info is not None and self.info.epoch != epoch
        return is_replaced or self._is_refused

    async def run(self) -> None:
        """Connect to the engine and read its output; reconnects after a loss, until cancelled."""
        while True:
            try:
                await self._connect()
                async for step in self._engine.outputs():
                    for output in step:
                        self._route(output)
            except TargetUnreachableError as error:
                self._record_connect_failure(is_refused=error.is_refused)
                self._record_unreachable()
            except TargetRefusedError:
                self._is_refused = False
                self._record_unreachable()
            await asyncio.sleep(RETRY_DELAY_S)

    async def execute(
        self,
        spec: StreamSpec,
        outputs: "asyncio.Queue[StreamOutput | None]",
        *,
        may_resubmit: bool,
        is_bound: bool = False,
    ) -> None:
        """Submit a stream whose output is put into a queue; None means that the engine is lost.

        Args:
            spec: The stream.
            outputs: Receives the output.
            may_resubmit: Whether the stream may be submitted again if the engine did not respond.
                If not, the engine is only asked whether it has the stream.
            is_bound: Whether the stream may not run elsewhere. An engine that is only silent is then
                waited for up to `ENGINE_SILENT_LIMIT_S`.

        Raises:
            FailureError: TARGET_REFUSED if the engine rejected the stream, TARGET_LOST if the
                engine may have accepted it.
        """
        self._streams[spec.stream_id] = outputs
        if is_bound:
            self._bound.add(spec.stream_id)
        try:
            await self._submit(spec, may_resubmit)
        except FailureError:
            self.forget(spec.stream_id)
            raise

    async def _submit(self, spec: StreamSpec, may_resubmit: bool) -> None:
        try:
            await self._engine.submit(spec)
        except TargetRefusedError as error:
            raise fail(ErrorKind.TARGET_REFUSED, str(error)) from error
        except TargetUnreachableError:
            await self._resolve_submit(spec, may_resubmit)

    async def _resolve_submit(self, spec: StreamSpec, may_resubmit: bool) -> None:
        """Determine the state of a stream whose submission got no response."""
        epoch = self.info.epoch if self.info else ""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        while (
            self._is_awaited(spec.stream_id, loop.time() - started_s)
            and self.info is not None
            and self.info.epoch == epoch
        ):
            try:
                if may_resubmit:
                    await self._engine.submit(spec)
                else:
                    self._route(await self._read_output(spec.stream_id, len(spec.delivered)))
                return
            except TargetRefusedError as error:
                raise fail(
                    ErrorKind.TARGET_LOST, f"the engine did not confirm the stream: {error}"
                ) from error
            except TargetUnreachableError:
                await asyncio.sleep(RETRY_DELAY_S)
        raise fail(ErrorKind.TARGET_LOST, "the engine was lost before it confirmed the stream")

    async def resume(self, stream_id: str, next_index: int) -> StreamOutput:
        """Resume a stream from a token index, after a gap in its output.

        Raises:
            FailureError: TARGET_LOST if the engine no longer has it.
        """
        while True:
            try:
                return await self._read_output(stream_id, next_index)
            except TargetRefusedError as error:
                raise _lost(error) from error
            except TargetUnreachableError as error:
                # Removed once the engine counts as lost.
                if stream_id not in self._bound:
                    raise _lost(error) from error
            await asyncio.sleep(RETRY_DELAY_S)

    async def _read_output(self, stream_id: str, next_index: int) -> StreamOutput:
        """Return the output of a stream from a token index on, as the engine has it.

        Raises:
            TargetRefusedError: If the engine does not have the stream.
            TargetUnreachableError: If the engine does not respond, or with other output.
        """
        output = await self._engine.resume(stream_id, next_index)
        if output.stream_id == stream_id and 0 <= output.first_index <= next_index:
            return output
        log_stray(
            StrayResponse(
                address="" if self.info is None else self.info.address,
                exchange="resume",
                action=StrayAction.REFUSED,
                received=f"{output.stream_id} {output.first_index}".encode(),
                expected=f"{stream_id} {next_index}".encode(),
            )
        )
        raise TargetUnreachableError("the engine returned other output than was asked for")

    def watch_refusals(self, stream_id: str, on_refused: Callable[[], None]) -> None:
        """Call a function each time that the engine has probably ended, until a stream is forgotten.

        Args:
            stream_id: The stream.
            on_refused: Called after `MIN_REFUSALS_OF_ENDED` refused connections in a row.
        """
        if stream_id in self._streams:
            self._on_refused[stream_id] = on_refused

    def stream_ids(self) -> frozenset[str]:
        """Return the ids of the streams in use."""
        return frozenset(self._streams)

    def request_resume(self, stream_id: str) -> None:
        """Make the consumer of a stream resume it, which fails if the engine lost the stream."""
        self._route(StreamOutput(stream_id=stream_id, first_index=-1, texts=()))

    def forget(self, stream_id: str) -> None:
        """Discard further output of a stream."""
        self._streams.pop(stream_id, None)
        self._on_refused.pop(stream_id, None)
        self._bound.discard(stream_id)

    def owns(self, stream_id: str) -> bool:
        """Return whether a stream is in use or being cancelled."""
        return stream_id in self._streams or stream_id in self._cancelling

    async def list_streams(self) -> tuple[StreamStatus, ...]:
        """Return the streams that the engine lists; raises `TargetUnreachableError`."""
        return await self._engine.list_streams()

    async def list_exports(self) -> tuple[ExportStatus, ...]:
        """Return the exports that the engine lists; raises `TargetUnreachableError`."""
        return await self._engine.list_exports()

    async def release_export(self, export_id: str) -> None:
        """Release an export; raises `TargetUnreachableError`."""
        with contextlib.suppress(TargetRefusedError):
            await self._engine.release_export(export_id)

    def cancel(self, stream_id: str) -> None:
        """Cancel a stream; retried for `CANCEL_TIMEOUT_S` until the engine confirms it."""
        self.forget(stream_id)
        if stream_id in self._cancelling:
            return
        self._cancelling.add(stream_id)
        task = asyncio.get_running_loop().create_task(self._cancel(stream_id))
        self._cancel_tasks.add(task)
        task.add_done_callback(self._cancel_tasks.discard)

    async def close(self) -> None:
        """Wait up to one second for pending cancels, then close the engine client."""
        if self._cancel_tasks:
            await asyncio.wait(self._cancel_tasks, timeout=1.0)
        for task in list(self._cancel_tasks):
            task.cancel()
        await self._engine.close()

    async def _cancel(self, stream_id: str) -> None:
        # If the engine has not confirmed by then, the Reconciler cancels the stream.
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CANCEL_TIMEOUT_S):
                    await self._cancel_until_confirmed(stream_id)
        finally:
            self._cancelling.discard(stream_id)

    async def _cancel_until_confirmed(self, stream_id: str) -> None:
        while True:
            try:
                await self._engine.cancel(stream_id)
                return
            except (TargetRefusedError, TargetUnreachableError):
                log_event(Event.CANCEL_RETRIED, stream_id=stream_id)
                await asyncio.sleep(RETRY_DELAY_S)

    async def _connect(self) -> None:
        info = await self._engine.describe()
        restarted = self.info is not None and self.info.epoch != info.epoch
        self.info = info
        self._is_refused = False
        self._refusals = 0
        if restarted and self._unreachable_since_s is None:
            self.lost_s = asyncio.get_running_loop().time()
        self._unreachable_since_s = None
        self._connected.set()
        log_event(Event.TARGET_ATTACHED, epoch=info.epoch)
        if restarted:
            for stream_id in list(self._streams):
                self._fail_stream(stream_id)
            return
        for stream_id, outputs in list(self._streams.items()):
            outputs.put_nowait(StreamOutput(stream_id=stream_id, first_index=-1, texts=()))

    def _record_connect_failure(self, *, is_refused: bool) -> None:
        self._is_refused = is_refused
        self._refusals = self._refusals + 1 if is_refused else 0
        if self._refusals == MIN_REFUSALS_OF_ENDED:
            for on_refused in list(self._on_refused.values()):
                on_refused()

    def _record_unreachable(self) -> None:
        now_s = asyncio.get_running_loop().time()
        if self._unreachable_since_s is None:
            self._unreachable_since_s = now_s
            self.lost_s = now_s
            self._connected.clear()
            log_event(Event.TARGET_LOST)
        silent_s = now_s - self._unreachable_since_s
        for stream_id in list(self._streams):
            if not self._is_awaited(stream_id, silent_s):
                self._fail_stream(stream_id)

    def _is_awaited(self, stream_id: str, silent_s: float) -> bool:
        """Return whether a stream waits for the engine that gives no response for a time."""
        is_bound = stream_id in self._bound and not self._is_refused
        return silent_s <= (ENGINE_SILENT_LIMIT_S if is_bound else ENGINE_LOST_AFTER_S)

    def _fail_stream(self, stream_id: str) -> None:
        self._streams[stream_id].put_nowait(None)
        self.forget(stream_id)

    def _route(self, output: StreamOutput) -> None:
        outputs = self._streams.get(output.stream_id)
        if outputs is not None:
            outputs.put_nowait(output)


def _lost(error: Exception) -> FailureError:
    return fail(ErrorKind.TARGET_LOST, f"the stream was lost: {error}", run_state=RunState.RAN)
