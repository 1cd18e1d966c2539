"""Selects the targets that prefill a prompt and the one that decodes its output.

Designed for loads that alternate between mostly short and mostly long prompts. A long prefill
delays the streams on the same target, so each placement is rated by its expected loss: the
probability that the request itself is late, and the probability that it makes others late.
"""

import heapq
import math
from collections.abc import Sequence

from ..routes import EngineModel
from ._candidate import Candidate, CandidateView
from ._demand import SHORT_GAP_PASSES, Demand
from ._engine import read_s
from ._lateness import gap_late_probability, late_probability
from ._memory import fits_host, reserve_at_host, share_memory
from ._placement import Placement
from ._prompt import Prompt

# The most engines that a request may list: its helpers, and its host if that reserves memory.
MAX_LISTED_ENGINES = 16
GANG_SIZES = (1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17)
MIN_PART_TOKENS = 2048

# Costs, in units of worth, that decide between placements with a similar expected loss.
LATENCY_WEIGHT = 0.25
HELPER_COST = 0.02
NEW_SHORT_GAP_HOST_COST = 0.1
RESERVATION_COST = 0.3
REMOTE_COST = 0.005
SPREAD_COST = 0.1
USABLE_SLOTS_SHARE = 0.75

NO_DEMAND = Demand()


def place_prompt(
    prompt: Prompt,
    candidates: Sequence[Candidate],
    model: EngineModel,
    now_s: float,
    *,
    reservation_risk: float = 0.0,
    demand: Demand = NO_DEMAND,
) -> Placement | None:
    """Choose the targets of a prompt; None if there is no capacity for it now.

    Args:
        prompt: The prompt to place.
        candidates: The targets to choose from.
        model: The engine model of the targets.
        now_s: The time on the event loop's clock.
        reservation_risk: The probability that a reservation fails.
        demand: The expected demand, of which the short-gap streams count.
    """
    views = [CandidateView(candidate, model, now_s) for candidate in candidates]
    _assign_demand(demand, views, model)
    prefill_total_s = read_s(model, prompt.tokens)
    best: Placement | None = None
    hosting_costs: dict[str, float] = {}
    for size in _gang_sizes(prompt, len(views)):
        placement = _place_in_gang(
            prompt, views, model, prefill_total_s, size, reservation_risk, hosting_costs
        )
        if placement is not None and (best is None or placement.cost < best.cost):
            best = placement
    return best


def _gang_sizes(prompt: Prompt, available: int) -> list[int]:
    largest = min(available, MAX_LISTED_ENGINES + 1, max(1, prompt.tokens // MIN_PART_TOKENS))
    return [size for size in GANG_SIZES if size <= largest]


def _assign_demand(demand: Demand, views: list[CandidateView], model: EngineModel) -> None:
    """Assign the expected short-gap streams to the targets that will have to host them."""
    wanted = math.ceil(
        demand.streams_per_s * demand.mean_stream_s / (USABLE_SLOTS_SHARE * model.slots)
    )
    if wanted <= 0 or not views:
        return

    def rank(view: CandidateView) -> tuple[bool, float]:
        has_short_gap_stream = any(work.max_gap_s <= demand.max_gap_s for work in view.decoding)
        return not has_short_gap_stream, view.wait_s

    chosen = sorted(views, key=rank)[:wanted]
    for view in chosen:
        view.expected_worth_per_s = demand.worth * demand.streams_per_s / len(chosen)
        view.expected_max_gap_s = demand.max_gap_s


def _place_in_gang(
    prompt: Prompt,
    views: list[CandidateView],
    model: EngineModel,
    prefill_total_s: float,
    size: int,
    reservation_risk: float,
    hosting_costs: dict[str, float],
) -> Placement | None:
    part_s = prefill_total_s / size
    costs = {view.target_id: _prefill_cost(view, prompt, part_s) for view in views}
    host = _best_host(prompt, views, costs, hosting_costs, size)
    if host is None:
        return None
    helpers = _best_helpers(host, views, costs, size - 1)
    if len(helpers) < size - 1:
        return None
    memory = share_memory(prompt, host, helpers)
    if memory is None:
        return None
    host_kv_tokens, shares = memory
    host_shares = reserve_at_host(prompt, host, host_kv_tokens, size)
    if len(host_shares) + len(helpers) > MAX_LISTED_ENGINES:
        return None
    members = [host, *helpers]
    prefill_ends_in_s = max(
        view.prefill_starts_in_s() + part_s * view.load.pace for view in members
    )
    first_s = prefill_ends_in_s + model.steps_per_pass * model.step_s * host.load.pace
    others_loss = sum(view.loss_to_others(part_s) for view in members)
    own_loss = prompt.worth * late_probability(first_s, prompt.due_in_s)
    own_loss += prompt.worth * gap_late_probability(host.event_gap_s, prompt.max_gap_s)
    abandonment_loss = prompt.late_worth * late_probability(first_s, prompt.latest_first_event_in_s)
    preference_cost = prompt.worth * LATENCY_WEIGHT * first_s / _time_scale_s(prompt)
    preference_cost += HELPER_COST * (size - 1) + _host_preference_cost(host, prompt)
    preference_cost += len(shares) * (RESERVATION_COST + reservation_risk * prompt.worth)
    return Placement(
        host_id=host.target_id,
        helper_ids=tuple(view.target_id for view in helpers),
        shares=(*host_shares, *shares),
        host_kv_tokens=host_kv_tokens,
        part_prefill_s=part_s,
        first_event_in_s=first_s,
        own_loss=min(prompt.worth, own_loss),
        loss_to_others=others_loss,
        cost=others_loss + own_loss + abandonment_loss + preference_cost,
    )


def _prefill_cost(view: CandidateView, prompt: Prompt, part_s: float) -> float:
    prefill_ends_in_s = view.prefill_starts_in_s() + part_s * view.load.pace
    late = late_probability(prefill_ends_in_s, prompt.due_in_s)
    return view.loss_to_others(part_s) + prompt.worth * (
        late + LATENCY_WEIGHT * prefill_ends_in_s / _time_scale_s(prompt)
    )


def _best_helpers(
    host: CandidateView, views: list[CandidateView], costs: dict[str, float], count: int
) -> list[CandidateView]:
    """Return the cheapest targets beside the host; fewer if not enough may help."""
    if count == 0:
        return []
    able = (view for view in views if view is not host and view.may_help)
    return heapq.nsmallest(count, able, key=lambda view: costs[view.target_id])


def _best_host(
    prompt: Prompt,
    views: list[CandidateView],
    costs: dict[str, float],
    hosting_costs: dict[str, float],
    size: int,
) -> CandidateView | None:
    """Choose the target that decodes; a prompt without helpers is prefilled there, too.

    Args:
        prompt: The prompt to place.
        views: The candidates.
        costs: The cost of prefilling one part, by target id.
        hosting_costs: The cost of hosting the prompt, by target id, which does not depend on the
            size; missing ones are added.
        size: The number of targets in the gang.
    """

    def total_cost(view: CandidateView) -> float:
        hosting_cost = hosting_costs.get(view.target_id)
        if hosting_cost is None:
            hosting_cost = hosting_costs[view.target_id] = _hosting_cost(view, prompt)
        return costs[view.target_id] + hosting_cost

    fitting = [view for view in views if view.may_host and fits_host(prompt, view, size)]
    return min(fitting, key=total_cost, default=None)


def _hosting_cost(view: CandidateView, prompt: Prompt) -> float:
    late = prompt.worth * gap_late_probability(view.event_gap_s, prompt.max_gap_s)
    return late + _host_preference_cost(view, prompt)


def _host_preference_cost(view: CandidateView, prompt: Prompt) -> float:
    """Return the cost of a host apart from its expected loss.

    Long prefills avoid targets that host short-gap streams, so placing such a stream on a target
    that has none yet leaves one target less for long prefills.
    """
    cost = 0.0 if view.candidate.is_near else REMOTE_COST
    cost += prompt.worth * view.no_slot + SPREAD_COST * view.candidate.preference
    has_short_gap = prompt.max_gap_s < SHORT_GAP_PASSES * view.pass_s
    if has_short_gap and not any(
        work.max_gap_s <= prompt.max_gap_s for work in view.load.works.values()
    ):
        cost += NEW_SHORT_GAP_HOST_COST
    return cost


def _time_scale_s(prompt: Prompt) -> float:
    return max(prompt.due_in_s, prompt.max_gap_s)
