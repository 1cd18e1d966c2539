"""What is expected to come, judged by what came lately."""

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
    """What is expected to come: streams with short gaps, and reading of any prompts.

    Attributes:
        per_s: How many streams with short gaps come in a second.
        lasts_s: How long one is in work.
        max_gap_s: The longest pause that their callers want.
        worth: What is lost if one comes late.
        read_load: The share of the targets' time that the reading of all prompts takes.
    """

    per_s: float = 0.0
    lasts_s: float = 0.0
    max_gap_s: float = math.inf
    worth: float = 0.0
    read_load: float = 0.0


def expected_demand(
    loads: Iterable[TargetLoad], waiting: Iterable[Prompt], model: EngineModel, now_s: float
) -> Demand:
    """Return what to expect, from the work that came lately and the prompts that wait.

    Args:
        loads: Those of all targets of a service.
        waiting: Prompts without a target.
        model: How fast the targets are.
        now_s: The time.
    """
    known = list(loads)
    works = [work for load in known for work in load.recent(now_s - DEMAND_WINDOW_S)]
    prompts = list(waiting)
    read_total_s = sum(work.read_s for work in works)
    read_total_s += sum(read_s(model, prompt.tokens) for prompt in prompts)
    longest_gap_s = SHORT_GAP_PASSES * pass_s(model, 1, 0)
    short = [work for work in works if work.writes and work.max_gap_s < longest_gap_s]
    short_waiting = [prompt for prompt in prompts if prompt.max_gap_s < longest_gap_s]
    read_load = read_total_s / DEMAND_WINDOW_S / max(1, len(known))
    if not short:
        return Demand(read_load=read_load)
    return Demand(
        per_s=(len(short) + len(short_waiting)) / DEMAND_WINDOW_S,
        lasts_s=sum(work.write_s for work in short) / len(short),
        max_gap_s=min(work.max_gap_s for work in short),
        worth=sum(work.worth for work in short) / len(short),
        read_load=read_load,
    )
