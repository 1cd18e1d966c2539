"""The scenarios of the bench, loaded from YAML files."""

import math
from dataclasses import dataclass
from pathlib import Path

from returns.result import Success

from cicadatiller.load import LengthBand, Mix, WorkspaceShare
from cicadatiller.settings import load_settings
from cicadatiller.standins import EngineModel

LARGE_WORKSPACE_WEIGHT = 5.0
DECODE_BATCH = 16

# One worker of the target size: 1,000 workers serve 3,600 requests/s, one in fifty with over 100k
# tokens, so a worker prefills 80,000 tokens/s.
ENGINE_MODEL = EngineModel(
    kv_capacity_tokens=400_000,
    step_base_s=0.012,
    step_per_stream_s=0.0002,
    prefill_token_s=1 / 80_000,
    prefill_quadratic_s=1 / 80_000 / 1_000_000,
)


@dataclass(frozen=True, kw_only=True)
class Phase:
    """One run of the load generator.

    Attributes:
        name: Name in the results.
        load: Offered load as a share of the emulated capacity for the whole mix.
        longest_prompt_tokens: Longer prompts of the same plan are omitted; zero for no limit.
    """

    name: str
    load: float
    longest_prompt_tokens: int = 0


@dataclass(frozen=True, kw_only=True)
class Variant:
    """The policies of one variant: fields of `PolicyWeights`."""

    routing: str
    queue: str
    prefill_chunk_tokens: int
    long_share: float = 0.3
    long_in_flight_tokens: int = 300_000
    prefill_in_flight_tokens: int = 16_384
    long_chunk_tokens: int = 1024
    short_prompt_tokens: int = 4_000
    long_prompt_tokens: int = 32_000
    ageing_s: float = 5.0


@dataclass(frozen=True, kw_only=True)
class MixPart:
    """The fields of a mix that a scenario sets."""

    duration_s: float
    lengths: tuple[LengthBand, ...]
    warm_up_s: float = 0.0
    call_share: float = 0.0
    shared_prefix_share: float = 0.0
    retries: int = 0
    seed: int = 1


@dataclass(frozen=True, kw_only=True)
class Scenario:
    """A fleet, its load, and the policies to compare."""

    name: str
    data_centres: tuple[str, ...]
    entries: int
    engines: int
    services: int
    workspaces: int
    large_workspaces: int
    one_way_s: float
    variants: dict[str, Variant]
    phases: tuple[Phase, ...]
    mix: MixPart

    def capacity_per_s(self) -> float:
        """Return the highest rate of requests that the emulated engines can serve."""
        weights = sum(band.weight for band in self.mix.lengths)
        engine_s = sum(band.weight * _engine_s(band) for band in self.mix.lengths) / weights
        return self.engines / engine_s / (1 - self.mix.call_share)

    def make_mix(self, phase: Phase, entries: tuple[str, ...], model: str, service: str) -> Mix:
        """Return the mix of one phase."""
        workspaces = tuple(
            WorkspaceShare(
                name=f"workspace-{number}",
                key=f"workspace-{number}-key",
                weight=LARGE_WORKSPACE_WEIGHT if number < self.large_workspaces else 1.0,
            )
            for number in range(self.workspaces)
        )
        return Mix(
            entries=entries,
            model=model,
            service=service,
            workspaces=workspaces,
            lengths=self.mix.lengths,
            requests_per_s=phase.load * self.capacity_per_s(),
            duration_s=self.mix.duration_s,
            warm_up_s=self.mix.warm_up_s,
            call_share=self.mix.call_share,
            shared_prefix_share=self.mix.shared_prefix_share,
            retries=self.mix.retries,
            seed=self.mix.seed,
            longest_prompt_tokens=phase.longest_prompt_tokens,
            check_standin_answers=True,
        )


def load_scenario(path: Path) -> Scenario:
    """Load a scenario; raise ValueError with all problems of the file."""
    loaded = load_settings(path, Scenario)
    if not isinstance(loaded, Success):
        raise ValueError("\n".join(loaded.failure()))
    return loaded.unwrap()


def _engine_s(band: LengthBand) -> float:
    """Return the mean engine time of a request of a band whose prompt is prefilled alone."""
    ratio = band.max_tokens / band.min_tokens
    mean = (band.max_tokens - band.min_tokens) / math.log(ratio) if ratio > 1 else band.min_tokens
    square = (band.max_tokens**2 - band.min_tokens**2) / 2 / math.log(ratio) if ratio > 1 else 0.0
    model = ENGINE_MODEL
    chunks_s = mean / model.max_chunk_tokens * model.step_base_s
    prefill_s = mean * model.prefill_token_s + square / 2 * model.prefill_quadratic_s + chunks_s
    outputs = (band.min_output_tokens + band.max_output_tokens) / 2
    return prefill_s + outputs * (model.step_per_stream_s + model.step_base_s / DECODE_BATCH)
