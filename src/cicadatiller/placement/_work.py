"""One request's share of the load on one target."""

import math
from dataclasses import dataclass

DECODE_TIME_MARGIN = 1.3


@dataclass(kw_only=True, slots=True)
class Work:
    """The load that one request puts on one target, as entries report it to their peers.

    Attributes:
        work_id: Unique in the fleet; the same on all targets of one request.
        owner: The name of the entry that placed the request.
        target_id: The instance id of the target.
        read_s: The prefill time of this target's part of the prompt, as modelled.
        read_tokens: The prompt tokens in that part.
        kv_tokens: The KV cache tokens that the request will need on the target.
        context_tokens: The context that each decode step attends to on this target; 0 for a helper
            that keeps none of the KV cache.
        writes: Whether the target is the host, which decodes the output.
        max_gap_s: The longest event gap within the caller's latency target.
        due_in_s: When the first event is due, relative to `placed_s`.
        worth: The value lost if the response is late.
        write_s: The expected decode time.
        placed_s: When the request was placed, on the clock of the entry that holds this object.
        has_begun: Whether the first event was seen.
        prefill_begin_s: When the prefill of this part is expected to begin, on the same clock.
        prefill_end_s: When it is expected to end.
    """

    work_id: str
    owner: str
    target_id: str
    read_s: float = 0.0
    read_tokens: int = 0
    kv_tokens: int = 0
    context_tokens: int = 0
    writes: bool = True
    max_gap_s: float = math.inf
    due_in_s: float = math.inf
    worth: float = 1.0
    write_s: float = 0.0
    placed_s: float = 0.0
    has_begun: bool = False
    prefill_begin_s: float = 0.0
    prefill_end_s: float = 0.0

    @property
    def expected_end_s(self) -> float:
        """Return when the work is expected to end, on the same clock as `placed_s`."""
        return max(self.placed_s, self.prefill_end_s) + DECODE_TIME_MARGIN * self.write_s
