"""The state of engines that run in passes, as `EngineModel` describes them."""

from dataclasses import dataclass, field

from cicadatiller.routes import EngineModel

from .simulated_requests import SimulatedRequest

ENGINE = EngineModel(
    slots=8,
    kv_capacity_tokens=232_000,
    step_s=0.00102,
    step_per_sequence_s=4.5e-6,
    step_per_context_token_s=4.3e-9,
    prefill_tokens_per_s=206_000.0,
    prefill_pair_s=1.38e-10,
    chunk_tokens=2048,
    steps_per_pass=43,
)


@dataclass
class SimulatedPrefill:
    """The part of a prompt that one engine prefills."""

    work_id: str
    tokens: int
    done: float = 0.0
    is_gang_part: bool = False


@dataclass
class SimulatedWriter:
    """A request that is decoding."""

    work_id: str
    request: SimulatedRequest
    context: int
    remaining_events: int


@dataclass
class SimulatedEngine:
    """The state of one engine.

    Attributes:
        name: The engine's target id.
        prefills: The parts of prompts that wait for prefill or are in prefill, in this order.
        writers: The requests that are decoding.
        hosted: The work ids of the requests that occupy a slot.
        queue: The requests that wait for a slot, as (work id, part in tokens, whether in a gang).
        is_running: Whether a pass is in progress.
        pace: Slowdown factor against the engine model.
    """

    name: str
    hosted: set = field(default_factory=set)
    queue: list = field(default_factory=list)
    prefills: list = field(default_factory=list)
    writers: list = field(default_factory=list)
    is_running: bool = False
    pace: float = 1.0
