"""A stand-in for a model engine with continuous batching."""

import asyncio
from collections import Counter, deque
from collections.abc import AsyncIterator, Callable

from ..targets import (
    CacheEvents,
    EngineInfo,
    EngineLoad,
    EngineOrder,
    ExportRef,
    ExportStatus,
    ModelRef,
    StreamOutput,
    StreamSpec,
    StreamStatus,
    TargetRefusedError,
    TargetUnreachableError,
)
from ._engine_batch import Batch
from ._engine_cache import PrefixCache
from ._engine_memory import EngineMemory
from ._engine_model import EngineModel, ExportHolder

CACHE_CAPACITY_DIVISOR = 4


class EngineStandin:
    """Emulates prefill cost, batching, KV capacity, priorities, prefix cache and exports.

    Implements `Engine`. The output of a prompt is what `expected_answer` returns for it.

    Attributes:
        executions: The number of streams started per prompt, without prefills for export.
        down: Whether every call fails and no steps run.
        crash_texts: Texts in prompts under which it crashes once it has started one of them.
        crash_steps: The number of steps for which it runs such a prompt before it crashes.
        crash_restart_s: The time after which it runs again.
        crashed_s: The loop times at which it crashed in this way.
    """

    def __init__(
        self,
        *,
        address: str,
        model: EngineModel | None = None,
        loaded: tuple[ModelRef, ...] = (),
        checks_fencing: bool = True,
        epoch: str = "engine-1",
        peers: Callable[[str], ExportHolder | None] | None = None,
    ) -> None:
        self.address = address
        self.executions: Counter[str] = Counter()
        self.down = False
        self.crash_texts: tuple[str, ...] = ()
        self.crash_steps = 1
        self.crash_restart_s = 2.0
        self.crashed_s: list[float] = []
        self._crash_step = 0
        self._model = model or EngineModel()
        self._epoch = epoch
        self._loaded = loaded
        self._role = "mixed"
        self._checks_fencing = checks_fencing
        self._fence = 0
        self._peers = peers
        self._memory = EngineMemory(capacity_tokens=self._model.kv_capacity_tokens)
        self._cache = PrefixCache(
            capacity_tokens=self._model.kv_capacity_tokens // CACHE_CAPACITY_DIVISOR,
            event_lag_s=self._model.cache_event_lag_s,
        )
        self._batch = Batch(
            model=self._model,
            memory=self._memory,
            cache=self._cache,
            holds_export=self._is_export_held,
            on_start=self._record_execution,
        )
        self._feeds: set[asyncio.Queue[tuple[StreamOutput, ...] | None]] = set()
        self._load_history: deque[tuple[float, EngineLoad]] = deque()
        self._work_available = asyncio.Event()

    async def run(self) -> None:
        """Run batch steps until cancelled."""
        while True:
            if self.down or not self._batch.has_work():
                self._work_available.clear()
                await self._work_available.wait()
                continue
            await asyncio.sleep(self._batch.begin_step())
            if self.down:
                continue
            step = self._batch.end_step()
            if self._is_crashing():
                await self._crash_and_restart()
                continue
            self._publish(step)

    def _is_crashing(self) -> bool:
        """Count the steps with a prompt under which the engine crashes; return if it does now."""
        if not self.crash_texts:
            return False
        prompts = [stream.spec.prompt for stream in self._batch.streams.values() if stream.started]
        is_crashing = any(text in prompt for prompt in prompts for text in self.crash_texts)
        self._crash_step = self._crash_step + 1 if is_crashing else 0
        return is_crashing and self._crash_step >= self.crash_steps

    async def _crash_and_restart(self) -> None:
        self.crashed_s.append(asyncio.get_running_loop().time())
        self._crash_step = 0
        self.crash()
        await asyncio.sleep(self.crash_restart_s)
        self.restart(f"{self._epoch}+")

    def crash(self) -> None:
        """Lose all streams, exports and cache content, end the output feeds and fail all calls."""
        self.down = True
        self._batch.clear()
        self._memory.clear()
        self._cache.clear()
        for feed in self._feeds:
            feed.put_nowait(None)

    def restart(self, epoch: str) -> None:
        """Crash and run again under a new epoch; the loaded models and the role stay."""
        self.crash()
        self._load_history.clear()
        self._epoch = epoch
        self._fence = 0
        self.down = False
        self._work_available.set()

    def kv_used_tokens(self) -> int:
        """Return the KV memory that streams and exports use, in tokens."""
        return self._memory.used_tokens()

    async def describe(self) -> EngineInfo:
        """Return the engine's description."""
        self._require_up()
        return EngineInfo(
            epoch=self._epoch,
            kv_capacity_tokens=self._model.kv_capacity_tokens,
            checks_fencing=self._checks_fencing,
            loaded=self._loaded,
            role=self._role,
            fence=self._fence,
            address=self.address,
        )

    async def load(self) -> EngineLoad:
        """Return the load as of the newest call that is at least `load_lag_s` old.

        Without such a call, return the load as of the first call.
        """
        self._require_up()
        now_s = asyncio.get_running_loop().time()
        self._load_history.append((now_s, self._current_load()))
        while (
            len(self._load_history) > 1
            and self._load_history[1][0] <= now_s - self._model.load_lag_s
        ):
            self._load_history.popleft()
        return self._load_history[0][1]

    async def submit(self, spec: StreamSpec) -> None:
        """Start a stream once its memory fits; does nothing if a stream with this id exists."""
        self._require_up()
        if spec.stream_id in self._batch.streams:
            return
        if spec.model not in self._loaded:
            raise TargetRefusedError("unknown-model", f"the model {spec.model} is not loaded")
        if spec.prompt_tokens < 0 or spec.max_output_tokens < 0:
            raise TargetRefusedError(
                "invalid", "prompt_tokens and max_output_tokens must not be negative"
            )
        kv_tokens = spec.prompt_tokens - spec.first_token + spec.max_output_tokens
        if kv_tokens > self._model.kv_capacity_tokens:
            raise TargetRefusedError(
                "memory",
                f"the stream needs {kv_tokens} tokens of KV memory;"
                f" the capacity is {self._model.kv_capacity_tokens}",
            )
        self._batch.add(spec)
        self._work_available.set()

    async def outputs(self) -> AsyncIterator[tuple[StreamOutput, ...]]:
        """Yield the new output of all streams after each step, until the engine crashes."""
        self._require_up()
        feed: asyncio.Queue[tuple[StreamOutput, ...] | None] = asyncio.Queue()
        self._feeds.add(feed)
        try:
            while True:
                step = await feed.get()
                if step is None:
                    raise TargetUnreachableError("the engine crashed")
                yield step
        finally:
            self._feeds.discard(feed)

    async def resume(self, stream_id: str, next_index: int) -> StreamOutput:
        """Return the output of a stream, starting at a token index."""
        self._require_up()
        stream = self._batch.streams.get(stream_id)
        if stream is None:
            raise TargetRefusedError("unknown-stream", f"there is no stream {stream_id}")
        first = len(stream.spec.delivered)
        return StreamOutput(
            stream_id=stream_id,
            first_index=next_index,
            texts=tuple(stream.texts[max(0, next_index - first) :]),
            finished=stream.finished,
            error=stream.error,
        )

    async def cancel(self, stream_id: str) -> bool:
        """End a stream and free its memory; return whether it existed."""
        self._require_up()
        return self._batch.cancel(stream_id)

    async def list_streams(self) -> tuple[StreamStatus, ...]:
        """Return all streams."""
        self._require_up()
        return tuple(
            StreamStatus(
                stream_id=stream_id,
                kv_tokens=stream.kv_tokens if stream.started and not stream.finished else 0,
                finished=stream.finished,
            )
            for stream_id, stream in self._batch.streams.items()
        )

    async def list_exports(self) -> tuple[ExportStatus, ...]:
        """Return all exports."""
        self._require_up()
        return self._memory.exports()

    async def renew_export(self, export_id: str, lease_s: float) -> None:
        """Extend the lease on an export."""
        self._require_up()
        if not self._memory.renew(export_id, lease_s):
            raise TargetRefusedError("unknown-export", f"there is no export {export_id}")

    async def release_export(self, export_id: str) -> bool:
        """Free an export; return whether it existed."""
        self._require_up()
        existed = self._memory.release(export_id)
        self._work_available.set()
        return existed

    async def order(self, order: EngineOrder) -> None:
        """Set the models and the role of the engine; return once they are in effect.

        Loading new models takes `model_load_s`. An old fencing number is refused if the engine
        checks fencing.
        """
        self._require_up()
        if self._checks_fencing and order.fence < self._fence:
            raise TargetRefusedError(
                "stale-fence", f"fencing number {order.fence} is older than {self._fence}"
            )
        if self._checks_fencing:
            self._fence = order.fence
        if set(order.models) - set(self._loaded):
            await asyncio.sleep(self._model.model_load_s)
            self._require_up()
        self._loaded = order.models
        self._role = order.role

    async def cache_events(self, next_sequence: int) -> CacheEvents:
        """Return the cache events from a sequence number on, or a snapshot if it is too old."""
        self._require_up()
        return self._cache.events(next_sequence)

    async def stream_progress(self) -> tuple[StreamOutput, ...]:
        """Return the next index and the state of each stream, without texts."""
        self._require_up()
        return tuple(stream.output(()) for stream in self._batch.streams.values())

    async def close(self) -> None:
        """Do nothing; there are no connections to close."""

    def holds_export(self, export_id: str) -> bool:
        """Return whether the engine is up and holds an export."""
        return not self.down and self._memory.holds(export_id)

    def _publish(self, step: tuple[StreamOutput, ...]) -> None:
        if step:
            for feed in self._feeds:
                feed.put_nowait(step)

    def _require_up(self) -> None:
        if self.down:
            raise TargetUnreachableError("the engine is down", is_refused=True)

    def _is_export_held(self, segment: ExportRef) -> bool:
        holder = self._peers(segment.engine_address) if self._peers else None
        return holder is not None and holder.holds_export(segment.export_id)

    def _record_execution(self, spec: StreamSpec) -> None:
        if not spec.export_id:
            self.executions[spec.prompt] += 1

    def _current_load(self) -> EngineLoad:
        decoding = self._batch.decoding()
        step_s = self._model.step_base_s + decoding * self._model.step_per_stream_s
        return EngineLoad(
            kv_used_tokens=self._memory.used_tokens(),
            running_streams=self._batch.running(),
            waiting_prefill_tokens=self._batch.waiting_prefill_tokens(),
            decode_tokens_per_s=1 / step_s,
            prefill_tokens_per_s=1 / self._model.prefill_token_s,
        )
