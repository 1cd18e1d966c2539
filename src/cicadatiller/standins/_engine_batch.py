"""Continuous batching in the engine stand-in: waiting, running and finished streams."""

import hashlib
import heapq
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from ..targets import ExportRef, StreamOutput, StreamSpec
from ._engine_cache import CACHE_BLOCK_CHARACTERS, PrefixCache, prefix_blocks
from ._engine_memory import EngineMemory
from ._engine_model import EngineModel

MAX_FINISHED_STREAMS = 2000


@dataclass(eq=False)
class EngineStream:
    """A stream and its progress."""

    spec: StreamSpec
    sequence: int
    digest: str
    blocks: tuple[str, ...]
    prefill_next: int
    texts: list[str] = field(default_factory=list)
    started: bool = False
    finished: bool = False
    error: str = ""

    @property
    def kv_tokens(self) -> int:
        """Return the KV memory that it uses once started, in tokens."""
        return self.spec.prompt_tokens - self.spec.first_token + self.spec.max_output_tokens

    @property
    def prefilling(self) -> bool:
        """Return whether prompt tokens are left to prefill."""
        return self.prefill_next < self.spec.prompt_tokens

    @property
    def order(self) -> tuple[int, int]:
        """Return the sort key: priority, then arrival."""
        return self.spec.priority, self.sequence

    def output(self, texts: tuple[str, ...]) -> StreamOutput:
        """Return its newest tokens and its state as output."""
        return StreamOutput(
            stream_id=self.spec.stream_id,
            first_index=len(self.spec.delivered) + len(self.texts) - len(texts),
            texts=texts,
            finished=self.finished,
            error=self.error,
        )


class Batch:
    """Schedules streams in steps: prefill chunks by priority, and a token per decoding stream.

    A step may contain up to `max_chunk_tokens` of prefill. Waiting streams start in order of
    priority once their KV memory fits; one that does not fit blocks those behind it.

    Args:
        model: The constants of the emulated engine.
        memory: The KV memory.
        cache: The prefix cache.
        holds_export: Returns whether another engine still holds an export.
        on_start: Called with each stream that starts.
    """

    def __init__(
        self,
        *,
        model: EngineModel,
        memory: EngineMemory,
        cache: PrefixCache,
        holds_export: Callable[[ExportRef], bool],
        on_start: Callable[[StreamSpec], None],
    ) -> None:
        self._model = model
        self._memory = memory
        self._cache = cache
        self._holds_export = holds_export
        self._on_start = on_start
        self._waiting: list[tuple[tuple[int, int], EngineStream]] = []
        self._running: dict[str, EngineStream] = {}
        self._finished: OrderedDict[str, None] = OrderedDict()
        self._sequence = 0
        self._chunks: list[tuple[EngineStream, int]] = []
        self._decoding: list[EngineStream] = []
        self.streams: dict[str, EngineStream] = {}

    def add(self, spec: StreamSpec) -> None:
        """Queue a stream."""
        self._sequence += 1
        stream = EngineStream(
            spec=spec,
            sequence=self._sequence,
            digest=hashlib.blake2b(spec.prompt.encode(), digest_size=3).hexdigest(),
            blocks=prefix_blocks(spec.prompt),
            prefill_next=spec.first_token,
        )
        self.streams[spec.stream_id] = stream
        heapq.heappush(self._waiting, (stream.order, stream))

    def cancel(self, stream_id: str) -> bool:
        """End a stream and free its memory; return whether it existed."""
        stream = self.streams.pop(stream_id, None)
        if stream is None:
            return False
        self._finished.pop(stream_id, None)
        self._release(stream)
        return True

    def clear(self) -> None:
        """Drop all streams."""
        self.streams.clear()
        self._waiting.clear()
        self._running.clear()
        self._finished.clear()
        self._chunks = []
        self._decoding = []

    def has_work(self) -> bool:
        """Return whether streams are waiting or running."""
        self._skip_cancelled()
        return bool(self._waiting or self._running)

    def running(self) -> int:
        """Return the number of running streams."""
        return len(self._running)

    def decoding(self) -> int:
        """Return the number of decoding streams."""
        return sum(1 for stream in self._running.values() if not stream.prefilling)

    def waiting_prefill_tokens(self) -> int:
        """Return the prompt tokens that are not prefilled yet."""
        running = sum(s.spec.prompt_tokens - s.prefill_next for s in self._running.values())
        waiting = sum(s.spec.prompt_tokens - s.prefill_next for _, s in self._waiting)
        return running + waiting

    def begin_step(self) -> float:
        """Start waiting streams, plan the next step and return its duration in seconds."""
        self._start_waiting()
        self._decoding = [s for s in self._running.values() if not s.prefilling]
        cost_s = self._model.step_base_s + len(self._decoding) * self._model.step_per_stream_s
        self._chunks = []
        budget = self._model.max_chunk_tokens
        prefilling = [s for s in self._running.values() if s.prefilling]
        for stream in sorted(prefilling, key=lambda item: item.order):
            budget = min(budget, stream.spec.prefill_chunk_tokens or budget)
            if budget <= 0:
                break
            chunk = min(budget, stream.spec.prompt_tokens - stream.prefill_next)
            budget -= chunk
            cost_s += chunk * self._prefill_cost_s(stream)
            self._chunks.append((stream, chunk))
        return cost_s

    def end_step(self) -> tuple[StreamOutput, ...]:
        """Apply the planned step and return its output."""
        step: list[StreamOutput] = []
        for stream, chunk in self._chunks:
            stream.prefill_next += chunk
            if not stream.prefilling and self._is_current(stream):
                self._store_prefix(stream)
                self._finish_prefill(stream, step)
        for stream in self._decoding:
            if self._is_current(stream):
                self._decode(stream, step)
        return tuple(step)

    def _is_current(self, stream: EngineStream) -> bool:
        return self.streams.get(stream.spec.stream_id) is stream

    def _prefill_cost_s(self, stream: EngineStream) -> float:
        quadratic_s = stream.prefill_next * self._model.prefill_quadratic_s
        return self._model.prefill_token_s + quadratic_s

    def _skip_cancelled(self) -> None:
        while self._waiting and not self._is_current(self._waiting[0][1]):
            heapq.heappop(self._waiting)

    def _start_waiting(self) -> None:
        self._skip_cancelled()
        while self._waiting:
            stream = self._waiting[0][1]
            if not self._memory.fits(stream.kv_tokens):
                return
            heapq.heappop(self._waiting)
            self._start(stream)
            self._skip_cancelled()

    def _start(self, stream: EngineStream) -> None:
        stream.started = True
        self._running[stream.spec.stream_id] = stream
        self._memory.allocate(stream.kv_tokens)
        cached = min(self._cache.cached_tokens(stream.blocks), stream.spec.prompt_tokens - 1)
        stream.prefill_next = max(stream.prefill_next, cached)
        self._on_start(stream.spec)

    def _release(self, stream: EngineStream) -> None:
        if self._running.get(stream.spec.stream_id) is stream:
            del self._running[stream.spec.stream_id]
            self._memory.free(stream.kv_tokens)

    def _finish(self, stream: EngineStream, texts: tuple[str, ...]) -> StreamOutput:
        stream.finished = True
        self._release(stream)
        self._finished[stream.spec.stream_id] = None
        while len(self._finished) > MAX_FINISHED_STREAMS:
            oldest, _ = self._finished.popitem(last=False)
            self.streams.pop(oldest, None)
        return stream.output(texts)

    def _finish_prefill(self, stream: EngineStream, step: list[StreamOutput]) -> None:
        spec = stream.spec
        if not spec.export_id:
            self._decode(stream, step)
            return
        if self._fail_if_segment_lost(stream, step):
            return
        step.append(self._finish(stream, ()))
        self._memory.export(spec.export_id, spec.prompt_tokens - spec.first_token, spec.lease_s)

    def _decode(self, stream: EngineStream, step: list[StreamOutput]) -> None:
        if self._fail_if_segment_lost(stream, step):
            return
        index = len(stream.spec.delivered) + len(stream.texts)
        texts: tuple[str, ...] = ()
        if index < stream.spec.max_output_tokens:
            texts = (f"{stream.digest}-{index} ",)
            stream.texts.extend(texts)
            index += 1
        if index >= stream.spec.max_output_tokens:
            step.append(self._finish(stream, texts))
        else:
            step.append(stream.output(texts))

    def _fail_if_segment_lost(self, stream: EngineStream, step: list[StreamOutput]) -> bool:
        for segment in stream.spec.remote_segments:
            if not self._holds_export(segment):
                stream.error = f"the export {segment.export_id} is gone"
                step.append(self._finish(stream, ()))
                return True
        return False

    def _store_prefix(self, stream: EngineStream) -> None:
        if not stream.blocks:
            return
        spec = stream.spec
        tokens = spec.prompt_tokens * CACHE_BLOCK_CHARACTERS // max(1, len(spec.prompt))
        self._cache.store(stream.blocks, tokens)
