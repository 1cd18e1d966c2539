"""Forecasts demand from recent arrivals."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from ..routes import EngineModel
from ._board import TargetLoad
from ._engine import pass_s, read_s
from ._prompt import Prompt

DEMAND_WINDOW_S = 3.0
SHORT_GAP_PASSES = 8.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Demand:
    """Expected demand: the arrival of short-gap streams, and the prefill load of all prompts.

    A short-gap stream is one whose `max_gap_s` is below the time of `SHORT_GAP_PASSES` passes.

    Attributes:
        streams_per_s: Arrival rate of short-gap streams.
        mean_stream_s: Mean decode time of one such stream.
        max_gap_s: The smallest event gap limit among these streams.
        worth: Mean value lost if such a stream is late.
        prefill_load: Share of the targets' time that prefill of all prompts takes; above 1.0 the
            targets can't keep up.
    """

    streams_per_s: float = 0.0
    mean_stream_s: float = 0.0
    max_gap_s: float = math.inf
    worth: float = 0.0
    prefill_load: float = 0.0


def expected_demand(
    loads: Iterable[TargetLoad], waiting: Iterable[Prompt], model: EngineModel, now_s: float
) -> Demand:
    """Return the expected demand, from recently placed work and waiting prompts.

    Args:
        loads: The loads of all targets of a service.
        waiting: The prompts in the queue, without a target.
        model: The engine model of the targets.
        now_s: The time on the event loop's clock.
    """
    target_loads = list(loads)
    works = [work for load in target_loads for work in load.recent(now_s - DEMAND_WINDOW_S)]
    prompts = list(waiting)
    prefill_total_s = sum(work.read_s for work in works)
    prefill_total_s += sum(read_s(model, prompt.tokens) for prompt in prompts)
    short_gap_limit_s = SHORT_GAP_PASSES * pass_s(model, 1, 0)
    short_gap = [work for work in works if work.writes and work.max_gap_s < short_gap_limit_s]
    short_gap_waiting = [prompt for prompt in prompts if prompt.max_gap_s < short_gap_limit_s]
    prefill_load = prefill_total_s / DEMAND_WINDOW_S / max(1, len(target_loads))
    if not short_gap:
        return Demand(prefill_load=prefill_load)
    return Demand(
        streams_per_s=(len(short_gap) + len(short_gap_waiting)) / DEMAND_WINDOW_S,
        mean_stream_s=sum(work.write_s for work in short_gap) / len(short_gap),
        max_gap_s=min(work.max_gap_s for work in short_gap),
        worth=sum(work.worth for work in short_gap) / len(short_gap),
        prefill_load=prefill_load,
    )
