"""Selects the targets that prefill a prompt and the one that decodes its output.

Designed for loads that alternate between mostly short and mostly long prompts. A long prefill
delays the streams on the same target, so each placement is rated by its expected loss: the
probability that the request itself is late, and the probability that it makes others late.
"""

import enum
import math
from collections.abc import Sequence
from dataclasses import dataclass

from ..routes import EngineModel
from ._board import TargetLoad
from ._demand import SHORT_GAP_PASSES, Demand
from ._engine import max_prefill_in_pass_s, pass_s, read_s
from ._prompt import Prompt

# The most engines that a request may list: its helpers, and its host if that reserves memory.
MAX_LISTED_ENGINES = 16
GANG_SIZES = (1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17)
MIN_PART_TOKENS = 2048

# The probability of being late rises from 0 to 1 between these ratios of needed to allowed time.
LATE_FROM_RATIO = 0.7
LATE_UNTIL_RATIO = 1.1
GAP_LATE_FROM_RATIO = 0.75
GAP_LATE_UNTIL_RATIO = 1.05
# Costs, in units of worth, that decide between placements with a similar expected loss.
LATENCY_WEIGHT = 0.25
HELPER_COST = 0.02
NEW_SHORT_GAP_HOST_COST = 0.1
RESERVATION_COST = 0.3
REMOTE_COST = 0.005
SPREAD_COST = 0.1
KV_USABLE_SHARE = 0.95
# A gang's host reserves its own part of the KV cache if that takes this share of its capacity.
RESERVED_KV_SHARE = 0.15
USABLE_SLOTS_SHARE = 0.75
# A prompt is placed if the loss to others is at most the sum of these shares of its gain and of its
# worth. A late prompt gains nothing, so only the second share applies to it.
MAX_LOSS_PER_GAIN = 0.6
MAX_LOSS_PER_WORTH = 0.1
# The value of a late response, as a share of the value that is lost by being late.
LATE_VALUE_SHARE = 0.33
# A prompt is refused if the expected time to its first event reaches this share of the time until
# its caller leaves. The estimate is too uncertain to use more of that time.
MAX_PATIENCE_SHARE = 0.6
# Prefill costs nothing while it takes less than `FREE_PREFILL_LOAD` of the targets' time. Above,
# the cost in worth of a second of prefill is `PREFILL_PRICE` times the excess. From
# `FULL_PREFILL_LOAD` on, prefill demand exceeds the capacity.
FREE_PREFILL_LOAD = 0.5
PREFILL_PRICE = 3.0
FULL_PREFILL_LOAD = 1.0

NO_DEMAND = Demand()


@dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """A target that may be assigned work.

    Attributes:
        target_id: The target's instance id.
        load: The target's current load.
        is_near: Whether the target is in this entry's data centre.
        may_host: Whether the request itself may be sent to the target.
        may_help: Whether the target may prefill parts of prompts hosted elsewhere.
        unknown_requests: The expected number of requests that other entries have placed on the
            target and that this entry has not learnt of yet.
        preference: A number from 0 to 1 by which this entry ranks targets of equal cost; it differs
            between entries.
    """

    target_id: str
    load: TargetLoad
    is_near: bool = False
    may_host: bool = True
    may_help: bool = True
    unknown_requests: float = 0.0
    preference: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class ReservationShare:
    """The part of a prompt's KV cache to reserve at one member of its gang."""

    target_id: str
    tokens: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Placement:
    """The targets chosen for a prompt, with the expected effects.

    Attributes:
        host_id: The target that gets the request and decodes the output.
        helper_ids: The targets that prefill parts of the prompt; with the host, they are its gang.
        shares: The KV cache tokens to reserve, in the order in which they are filled: at the host if
            it needs much of its memory, then at helpers.
        host_kv_tokens: The KV cache tokens that the host needs.
        part_prefill_s: The prefill time of each member's part, as modelled.
        first_event_in_s: The expected time until the first event.
        own_loss: The value that the prompt itself is expected to lose by being late.
        loss_to_others: The value that other requests are expected to lose because of this one.
        cost: What placements are compared by: both losses, the expected loss if the caller leaves
            before the first event, and the costs that decide between similar losses.
    """

    host_id: str
    helper_ids: tuple[str, ...] = ()
    shares: tuple[ReservationShare, ...] = ()
    host_kv_tokens: int = 0
    part_prefill_s: float = 0.0
    first_event_in_s: float = 0.0
    own_loss: float = 0.0
    loss_to_others: float = 0.0
    cost: float = 0.0


class Verdict(enum.Enum):
    """What to do with a prompt now."""

    PLACE = "place"
    WAIT = "wait"
    REFUSE = "refuse"


def late_probability(needed_s: float, allowed_s: float) -> float:
    """Return the probability that something that needs `needed_s` is late."""
    if allowed_s <= 0:
        return 1.0
    return _ramp(needed_s / allowed_s, LATE_FROM_RATIO, LATE_UNTIL_RATIO)


def gap_late_probability(event_gap_s: float, max_gap_s: float) -> float:
    """Return the probability that the gap between two events exceeds `max_gap_s`."""
    return _ramp(event_gap_s / max_gap_s, GAP_LATE_FROM_RATIO, GAP_LATE_UNTIL_RATIO)


def evaluate_placement(
    placement: Placement, prompt: Prompt, demand: Demand, *, must_decide: bool = False
) -> Verdict:
    """Decide whether to place a prompt now, keep it waiting, or refuse it.

    A prompt is placed if its gain outweighs the loss to others. One that is late already gains
    nothing and waits until its placement delays hardly anyone. While prefill capacity is scarce,
    one that needs much prefill for its worth waits, too. One whose first event is expected after
    its caller has left is refused.

    Args:
        placement: The best placement.
        prompt: The prompt.
        demand: The expected demand.
        must_decide: Whether the prompt may not wait any longer and must be placed or refused.
    """
    if placement.first_event_in_s >= MAX_PATIENCE_SHARE * prompt.caller_leaves_in_s:
        return Verdict.REFUSE
    gain = prompt.worth - placement.own_loss
    prefill_s = placement.part_prefill_s * (1 + len(placement.helper_ids))
    prefill_cost = PREFILL_PRICE * max(0.0, demand.prefill_load - FREE_PREFILL_LOAD) * prefill_s
    loss = placement.loss_to_others + prefill_cost
    if loss <= MAX_LOSS_PER_GAIN * gain + MAX_LOSS_PER_WORTH * prompt.worth:
        return Verdict.PLACE
    # A late prompt gains nothing by waiting while prefill demand exceeds the capacity.
    waiting_is_futile = prompt.due_in_s <= 0 and demand.prefill_load > FULL_PREFILL_LOAD
    if not must_decide and not waiting_is_futile:
        return Verdict.WAIT
    return Verdict.PLACE if loss <= gain + LATE_VALUE_SHARE * prompt.worth else Verdict.REFUSE


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
    views = [_CandidateView(candidate, model, now_s) for candidate in candidates]
    _assign_demand(demand, views, model)
    prefill_total_s = read_s(model, prompt.tokens)
    best: Placement | None = None
    for size in _gang_sizes(prompt, len(views)):
        placement = _place_in_gang(prompt, views, model, prefill_total_s, size, reservation_risk)
        if placement is not None and (best is None or placement.cost < best.cost):
            best = placement
    return best


def _gang_sizes(prompt: Prompt, available: int) -> list[int]:
    largest = min(available, MAX_LISTED_ENGINES + 1, max(1, prompt.tokens // MIN_PART_TOKENS))
    return [size for size in GANG_SIZES if size <= largest]


class _CandidateView:
    """A candidate with the values derived from its load that placements are rated by."""

    def __init__(self, candidate: Candidate, model: EngineModel, now_s: float) -> None:
        load = candidate.load
        self.candidate = candidate
        self.target_id = candidate.target_id
        self.model = model
        self.now_s = now_s
        self.load = load
        self.decoding = load.decoding()
        self.awaiting_prefill = load.awaiting_prefill()
        self.may_host = load.in_flight < model.slots and candidate.may_host
        self.no_slot = poisson_at_least(candidate.unknown_requests, model.slots - load.in_flight)
        self.may_help = load.helped_prompts < model.slots and candidate.may_help
        self.free_kv_tokens = int(model.kv_capacity_tokens * KV_USABLE_SHARE) - load.kv_tokens
        self.wait_s = load.prefill_wait_s(now_s)
        self.pass_s = load.pace * pass_s(model, len(self.decoding), load.context_tokens)
        self.max_prefill_in_pass_s = max_prefill_in_pass_s(model)
        self.event_gap_s = self.pass_s + self._pass_prefill_s(self.wait_s)
        # Worth per second of the expected streams that a long prefill here would delay, and their
        # event gap limit.
        self.expected_worth_per_s = 0.0
        self.expected_max_gap_s = math.inf

    def loss_to_others(self, part_s: float) -> float:
        """Return the expected loss to others if this target prefills a part of `part_s`."""
        part_s *= self.load.pace
        added_gap_s = self._pass_prefill_s(self.wait_s + part_s) - self._pass_prefill_s(self.wait_s)
        lost = 0.0
        for work in self.decoding:
            before = gap_late_probability(self.event_gap_s, work.max_gap_s)
            after = gap_late_probability(self.event_gap_s + added_gap_s, work.max_gap_s)
            lost += work.worth * (after - before)
        for work in self.awaiting_prefill:
            if not work.writes:
                continue
            left_s = work.placed_s + work.due_in_s - self.now_s
            needed_s = max(0.0, work.prefill_end_s - self.now_s) + self.pass_s
            before = late_probability(needed_s, left_s)
            after = late_probability(needed_s + part_s, left_s)
            lost += work.worth * (after - before)
        if self.expected_worth_per_s:
            late = gap_late_probability(self.pass_s + added_gap_s, self.expected_max_gap_s)
            lost += self.expected_worth_per_s * part_s * late
        return lost

    def prefill_starts_in_s(self) -> float:
        """Return the time until this target can start another prefill."""
        return self.wait_s + (self.pass_s / 2 if self.decoding else 0.0)

    def _pass_prefill_s(self, queued_s: float) -> float:
        return min(queued_s, self.max_prefill_in_pass_s)


def _assign_demand(demand: Demand, views: list[_CandidateView], model: EngineModel) -> None:
    """Assign the expected short-gap streams to the targets that will have to host them."""
    wanted = math.ceil(
        demand.streams_per_s * demand.mean_stream_s / (USABLE_SLOTS_SHARE * model.slots)
    )
    if wanted <= 0 or not views:
        return

    def rank(view: _CandidateView) -> tuple[bool, float]:
        has_short_gap_stream = any(work.max_gap_s <= demand.max_gap_s for work in view.decoding)
        return not has_short_gap_stream, view.wait_s

    chosen = sorted(views, key=rank)[:wanted]
    for view in chosen:
        view.expected_worth_per_s = demand.worth * demand.streams_per_s / len(chosen)
        view.expected_max_gap_s = demand.max_gap_s


def _place_in_gang(
    prompt: Prompt,
    views: list[_CandidateView],
    model: EngineModel,
    prefill_total_s: float,
    size: int,
    reservation_risk: float,
) -> Placement | None:
    part_s = prefill_total_s / size
    costs = {view.target_id: _prefill_cost(view, prompt, part_s) for view in views}
    ranked = sorted(views, key=lambda view: costs[view.target_id])
    host = _best_host(prompt, views, costs, size)
    if host is None:
        return None
    helpers = [view for view in ranked if view is not host and view.may_help][: size - 1]
    if len(helpers) < size - 1:
        return None
    memory = _share_memory(prompt, host, helpers)
    if memory is None:
        return None
    host_kv_tokens, shares = memory
    host_share = _host_share(prompt, host, host_kv_tokens, size)
    if len(host_share) + len(helpers) > MAX_LISTED_ENGINES:
        return None
    members = [host, *helpers]
    prefill_ends_in_s = max(
        view.prefill_starts_in_s() + part_s * view.load.pace for view in members
    )
    first_s = prefill_ends_in_s + model.steps_per_pass * model.step_s * host.load.pace
    others_loss = sum(view.loss_to_others(part_s) for view in members)
    own_loss = prompt.worth * late_probability(first_s, prompt.due_in_s)
    own_loss += prompt.worth * gap_late_probability(host.event_gap_s, prompt.max_gap_s)
    abandonment_loss = (
        LATE_VALUE_SHARE * prompt.worth * late_probability(first_s, prompt.caller_leaves_in_s)
    )
    preference_cost = prompt.worth * LATENCY_WEIGHT * first_s / _time_scale_s(prompt)
    preference_cost += HELPER_COST * (size - 1) + _host_preference_cost(host, prompt)
    preference_cost += len(shares) * (RESERVATION_COST + reservation_risk * prompt.worth)
    return Placement(
        host_id=host.target_id,
        helper_ids=tuple(view.target_id for view in helpers),
        shares=(*host_share, *shares),
        host_kv_tokens=host_kv_tokens,
        part_prefill_s=part_s,
        first_event_in_s=first_s,
        own_loss=min(prompt.worth, own_loss),
        loss_to_others=others_loss,
        cost=others_loss + own_loss + abandonment_loss + preference_cost,
    )


def _prefill_cost(view: _CandidateView, prompt: Prompt, part_s: float) -> float:
    prefill_ends_in_s = view.prefill_starts_in_s() + part_s * view.load.pace
    late = late_probability(prefill_ends_in_s, prompt.due_in_s)
    return view.loss_to_others(part_s) + prompt.worth * (
        late + LATENCY_WEIGHT * prefill_ends_in_s / _time_scale_s(prompt)
    )


def _best_host(
    prompt: Prompt, views: list[_CandidateView], costs: dict[str, float], size: int
) -> _CandidateView | None:
    """Choose the target that decodes; a prompt without helpers is prefilled there, too.

    Args:
        prompt: The prompt to place.
        views: The candidates.
        costs: The cost of prefilling one part, by target id.
        size: The number of targets in the gang.
    """
    fitting = [view for view in views if view.may_host and _fits(prompt, view, size)]
    if not fitting:
        return None
    return min(fitting, key=lambda view: costs[view.target_id] + _hosting_cost(view, prompt))


def _fits(prompt: Prompt, view: _CandidateView, size: int) -> bool:
    needed = prompt.tokens + prompt.output_tokens
    if size == 1:
        return view.free_kv_tokens >= needed
    return view.free_kv_tokens >= min(needed, prompt.output_tokens + prompt.tokens // size)


def _hosting_cost(view: _CandidateView, prompt: Prompt) -> float:
    late = prompt.worth * gap_late_probability(view.event_gap_s, prompt.max_gap_s)
    return late + _host_preference_cost(view, prompt)


def _host_preference_cost(view: _CandidateView, prompt: Prompt) -> float:
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


def poisson_at_least(mean: float, count: int) -> float:
    """Return the probability that a Poisson variable is at least `count`."""
    if mean <= 0 or count <= 0:
        return 0.0 if count > 0 else 1.0
    term = math.exp(-mean)
    below = 0.0
    for number in range(count):
        below += term
        term *= mean / (number + 1)
    return max(0.0, 1.0 - below)


def _time_scale_s(prompt: Prompt) -> float:
    return max(prompt.due_in_s, prompt.max_gap_s)


def _host_share(
    prompt: Prompt, host: _CandidateView, host_kv_tokens: int, size: int
) -> tuple[ReservationShare, ...]:
    """Return what to reserve at the host of a gang; empty if it needs little of its memory.

    Without a reservation, a prompt that another entry has just placed there would make this one
    wait in the host's queue until the memory is free again.
    """
    tokens = host_kv_tokens - prompt.output_tokens
    if size == 1 or tokens < RESERVED_KV_SHARE * host.model.kv_capacity_tokens:
        return ()
    return (ReservationShare(target_id=host.target_id, tokens=tokens),)


def _share_memory(
    prompt: Prompt, host: _CandidateView, helpers: list[_CandidateView]
) -> tuple[int, tuple[ReservationShare, ...]] | None:
    """Return the KV cache tokens of the host and the helpers' shares; None if they don't fit."""
    needed = prompt.tokens + prompt.output_tokens
    if host.free_kv_tokens >= needed:
        return needed, ()
    by_free_memory = sorted(helpers, key=lambda view: view.free_kv_tokens, reverse=True)
    for holder_count in range(1, len(by_free_memory) + 1):
        even_tokens = math.ceil(prompt.tokens / (holder_count + 1))
        shares = []
        remaining_tokens = prompt.tokens
        for view in by_free_memory[:holder_count]:
            tokens = min(even_tokens, view.free_kv_tokens)
            if tokens <= 0:
                break
            shares.append(ReservationShare(target_id=view.target_id, tokens=tokens))
            remaining_tokens -= tokens
        if remaining_tokens + prompt.output_tokens <= host.free_kv_tokens:
            return remaining_tokens + prompt.output_tokens, tuple(shares)
    return None


def _ramp(ratio: float, begin: float, end: float) -> float:
    return min(1.0, max(0.0, (ratio - begin) / (end - begin)))
