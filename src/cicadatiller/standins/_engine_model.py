"""The constants and the expected output of the engine stand-in."""

import hashlib
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, kw_only=True)
class EngineModel:
    """The constants of the emulated engine.

    They are the same for every routing policy that is measured.

    Attributes:
        kv_capacity_tokens: The capacity of the KV cache.
        step_base_s: The fixed time of a step.
        step_per_stream_s: The time that each decoding stream adds to a step.
        prefill_token_s: The time that each prompt token adds to a step.
        prefill_quadratic_s: The time that each prompt token adds per token before it.
        max_chunk_tokens: The maximum number of prefill tokens in a step; a stream may set a lower
            one.
        load_lag_s: The age of load reports.
        cache_event_lag_s: The delay after which cache events are visible.
        model_load_s: The time to load a model.
    """

    kv_capacity_tokens: int = 400_000
    step_base_s: float = 0.012
    step_per_stream_s: float = 0.0002
    prefill_token_s: float = 1 / 40_000
    prefill_quadratic_s: float = 1 / 40_000 / 1_000_000
    max_chunk_tokens: int = 8192
    load_lag_s: float = 0.3
    cache_event_lag_s: float = 0.5
    model_load_s: float = 0.2


class ExportHolder(Protocol):
    """Another engine whose exports a stream of this engine reads."""

    def holds_export(self, export_id: str) -> bool:
        """Return whether the engine holds an export."""


def expected_answer(prompt: str, token_count: int) -> tuple[str, ...]:
    """Return the output tokens that the engine stand-in generates for a prompt."""
    digest = hashlib.blake2b(prompt.encode(), digest_size=3).hexdigest()
    return tuple(f"{digest}-{index} " for index in range(token_count))
