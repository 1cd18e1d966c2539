"""Runs requests on the engine beside this sidecar."""

import asyncio
import contextlib

from ..kernel import ErrorKind, Event, FailureError, RunState, fail, log_event
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

RETRY_S = 0.2
LOST_AFTER_S = 3.0
CANCEL_TIMEOUT_S = 30.0


class EngineDriver:
    """The only one in the system that talks to its engine.

    Attributes:
        info: What the engine said of itself when it was last met; None before.
    """

    def __init__(self, *, engine: Engine) -> None:
        self._engine = engine
        self._streams: dict[str, asyncio.Queue[StreamOutput | None]] = {}
        self._met = asyncio.Event()
        self._unreachable_since_s: float | None = None
        self._cancels: set[asyncio.Task[None]] = set()
        self._cancelling: set[str] = set()
        self.info: EngineInfo | None = None

    @property
    def reachable(self) -> bool:
        """Tell whether the engine answered when it was last asked."""
        return self._met.is_set()

    async def run(self) -> None:
        """Meet the engine, read its output and meet it again when it is lost; until cancelled."""
        while True:
            try:
                await self._meet()
                async for step in self._engine.outputs():
                    for output in step:
                        self._route(output)
            except TargetUnreachableError:
                self._note_unreachable()
            await asyncio.sleep(RETRY_S)

    async def execute(
        self,
        spec: StreamSpec,
        outputs: "asyncio.Queue[StreamOutput | None]",
        *,
        may_resubmit: bool,
    ) -> None:
        """Submit a stream whose output is put into a queue; None says that the engine is lost.

        Args:
            spec: The stream.
            outputs: Takes its output.
            may_resubmit: Whether it may be submitted again if the engine did not answer. If not,
                the engine is only asked whether it has the stream.

        Raises:
            FailureError: TARGET_REFUSED if the engine did not take it, TARGET_LOST if it may have.
        """
        self._streams[spec.stream_id] = outputs
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
            await self._settle_submit(spec, may_resubmit)

    async def _settle_submit(self, spec: StreamSpec, may_resubmit: bool) -> None:
        """Find out about a stream whose submission the engine did not answer."""
        epoch = self.info.epoch if self.info else ""
        loop = asyncio.get_running_loop()
        give_up_s = loop.time() + LOST_AFTER_S
        while loop.time() < give_up_s and self.info is not None and self.info.epoch == epoch:
            try:
                if may_resubmit:
                    await self._engine.submit(spec)
                else:
                    self._route(await self._engine.resume(spec.stream_id, len(spec.delivered)))
                return
            except TargetRefusedError as error:
                raise fail(ErrorKind.TARGET_LOST, f"the stream was lost: {error}") from error
            except TargetUnreachableError:
                await asyncio.sleep(RETRY_S)
        raise fail(ErrorKind.TARGET_LOST, "the engine was lost before it took the stream")

    async def resume(self, stream_id: str, next_index: int) -> StreamOutput:
        """Read a stream again from an index, after a gap.

        Raises:
            FailureError: TARGET_LOST if the engine no longer has it.
        """
        try:
            return await self._engine.resume(stream_id, next_index)
        except (TargetRefusedError, TargetUnreachableError) as error:
            raise fail(
                ErrorKind.TARGET_LOST, f"the stream was lost: {error}", run_state=RunState.RAN
            ) from error

    def stream_ids(self) -> frozenset[str]:
        """Return the streams in use."""
        return frozenset(self._streams)

    def read_again(self, stream_id: str) -> None:
        """Let the user of a stream read it again, and learn so if the engine lost it."""
        self._route(StreamOutput(stream_id=stream_id, first_index=-1, texts=()))

    def forget(self, stream_id: str) -> None:
        """Drop further output of a stream."""
        self._streams.pop(stream_id, None)

    def owns(self, stream_id: str) -> bool:
        """Tell whether a stream is in use or being cancelled."""
        return stream_id in self._streams or stream_id in self._cancelling

    async def list_streams(self) -> tuple[StreamStatus, ...]:
        """Return the engine's own list of streams; raises `TargetUnreachableError`."""
        return await self._engine.list_streams()

    async def list_exports(self) -> tuple[ExportStatus, ...]:
        """Return the engine's own list of exports; raises `TargetUnreachableError`."""
        return await self._engine.list_exports()

    async def release_export(self, export_id: str) -> None:
        """Free an export; raises `TargetUnreachableError`."""
        with contextlib.suppress(TargetRefusedError):
            await self._engine.release_export(export_id)

    def cancel(self, stream_id: str) -> None:
        """End a stream; tried again until the engine confirms it."""
        self.forget(stream_id)
        if stream_id in self._cancelling:
            return
        self._cancelling.add(stream_id)
        task = asyncio.get_running_loop().create_task(self._cancel(stream_id))
        self._cancels.add(task)
        task.add_done_callback(self._cancels.discard)

    async def close(self) -> None:
        """Wait a little for open cancels, then close the engine client."""
        if self._cancels:
            await asyncio.wait(self._cancels, timeout=1.0)
        for task in list(self._cancels):
            task.cancel()
        await self._engine.close()

    async def _cancel(self, stream_id: str) -> None:
        # What is not confirmed by then is left to the reconciliation.
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
            except TargetUnreachableError:
                log_event(Event.CANCEL_RETRIED, stream_id=stream_id)
                await asyncio.sleep(RETRY_S)

    async def _meet(self) -> None:
        info = await self._engine.describe()
        restarted = self.info is not None and self.info.epoch != info.epoch
        self.info = info
        self._unreachable_since_s = None
        self._met.set()
        log_event(Event.TARGET_ATTACHED, epoch=info.epoch)
        if restarted:
            self._lose_streams()
            return
        for stream_id, outputs in list(self._streams.items()):
            outputs.put_nowait(StreamOutput(stream_id=stream_id, first_index=-1, texts=()))

    def _note_unreachable(self) -> None:
        now_s = asyncio.get_running_loop().time()
        if self._unreachable_since_s is None:
            self._unreachable_since_s = now_s
            self._met.clear()
            log_event(Event.TARGET_LOST)
        if now_s - self._unreachable_since_s > LOST_AFTER_S:
            self._lose_streams()

    def _lose_streams(self) -> None:
        for outputs in self._streams.values():
            outputs.put_nowait(None)
        self._streams.clear()

    def _route(self, output: StreamOutput) -> None:
        outputs = self._streams.get(output.stream_id)
        if outputs is not None:
            outputs.put_nowait(output)
