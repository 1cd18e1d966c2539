"""Chooses where a prompt is read and its output written.

Answers loads that swing between mostly short and mostly long prompts. A long read holds up the
streams beside it, so each choice is weighed by what it loses: the chance that the request comes late,
and the chance that it makes others late.
"""

import enum
import math
from collections.abc import Sequence
from dataclasses import dataclass

from ..routes import EngineModel
from ._board import TargetLoad
from ._demand import SHORT_GAP_PASSES, Demand
from ._engine import most_read_in_pass_s, pass_s, read_s
from ._prompt import Prompt

MAX_HELPERS = 16
GANG_SIZES = (1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17)
MIN_PART_TOKENS = 2048

# The chance of being late rises from 0 to 1 between these shares of the time that is allowed.
LATE_FROM_RATIO = 0.7
LATE_UNTIL_RATIO = 1.1
GAP_LATE_FROM_RATIO = 0.75
GAP_LATE_UNTIL_RATIO = 1.05
# What makes one choice better than another that loses as much, in units of worth.
FINISH_WEIGHT = 0.25
MEMBER_COST = 0.02
OPENING_COST = 0.1
TICKET_COST = 0.3
FAR_COST = 0.005
KV_USABLE_SHARE = 0.95
USABLE_SLOTS_SHARE = 0.75
# How much others may lose for what a prompt gains, and for one that is late.
HARM_FOR_GAIN = 0.6
HARM_FOR_LATE = 0.1
# What an answer is worth that comes late, as a share of what is lost by coming late.
LATE_WORTH = 0.33
# Later than at this share of the time until its caller leaves, a first event is too unsure.
STAY_SHARE = 0.6
# Reading is free below this share of the targets' time; above, a second of it costs so much worth.
FREE_READ_LOAD = 0.5
READ_PRICE = 3.0
FULL_READ_LOAD = 1.0

NOTHING_EXPECTED = Demand()


@dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """A target that may take work.

    Attributes:
        target_id: The target.
        load: What it has to do.
        is_near: Whether it is in this entry's data centre.
        may_host: Whether it may get the request itself.
        may_help: Whether it may read parts of others' prompts.
    """

    target_id: str
    load: TargetLoad
    is_near: bool = False
    may_host: bool = True
    may_help: bool = True


@dataclass(frozen=True, kw_only=True, slots=True)
class TicketShare:
    """A part of a prompt's memory at a helper."""

    target_id: str
    tokens: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Placing:
    """Where a prompt goes.

    Attributes:
        host_id: The target that gets the request and writes the output.
        helper_ids: The targets that read parts of the prompt.
        shares: The memory that helpers keep, in the order in which it is filled.
        host_kv_tokens: The memory that the host needs.
        part_read_s: The time that each member reads.
        first_in_s: When the first event is expected, from now on.
        own_loss: What the prompt itself is expected to lose.
        harm: What others are expected to lose by it.
        cost: What the choice is weighed by: both, and what makes it unhandy.
    """

    host_id: str
    helper_ids: tuple[str, ...] = ()
    shares: tuple[TicketShare, ...] = ()
    host_kv_tokens: int = 0
    part_read_s: float = 0.0
    first_in_s: float = 0.0
    own_loss: float = 0.0
    harm: float = 0.0
    cost: float = 0.0


class Verdict(enum.Enum):
    """What becomes of a prompt."""

    PLACE = "place"
    WAIT = "wait"
    REFUSE = "refuse"


def late_chance(needed_s: float, allowed_s: float) -> float:
    """Return the chance that something comes late."""
    if allowed_s <= 0:
        return 1.0
    return _ramp(needed_s / allowed_s, LATE_FROM_RATIO, LATE_UNTIL_RATIO)


def gap_late_chance(pause_s: float, max_gap_s: float) -> float:
    """Return the chance that a pause between events is too long."""
    return _ramp(pause_s / max_gap_s, GAP_LATE_FROM_RATIO, GAP_LATE_UNTIL_RATIO)


def judge(placing: Placing, prompt: Prompt, demand: Demand, *, is_settled: bool = False) -> Verdict:
    """Tell whether a prompt starts now, waits for a better moment, or is not served at all.

    It starts if it gains more than others lose. One that is late anyway can wait for a moment in
    which it harms nobody. Where reading is in short supply, one that needs much of it for what it
    is worth waits, too. One that would begin only after its caller has left is refused.

    Args:
        placing: The best choice.
        prompt: The prompt.
        demand: What is expected to come.
        is_settled: Whether it has waited for so long that it starts now or not at all.
    """
    if placing.first_in_s >= STAY_SHARE * prompt.ends_in_s:
        return Verdict.REFUSE
    gain = prompt.worth - placing.own_loss
    work_s = placing.part_read_s * (1 + len(placing.helper_ids))
    price = READ_PRICE * max(0.0, demand.read_load - FREE_READ_LOAD) * work_s
    loss = placing.harm + price
    if loss <= HARM_FOR_GAIN * gain + HARM_FOR_LATE * prompt.worth:
        return Verdict.PLACE
    # What is late already gains nothing by waiting while more comes than can be read.
    waits_in_vain = prompt.due_in_s <= 0 and demand.read_load > FULL_READ_LOAD
    if not is_settled and not waits_in_vain:
        return Verdict.WAIT
    return Verdict.PLACE if loss <= gain + LATE_WORTH * prompt.worth else Verdict.REFUSE


def place_prompt(
    prompt: Prompt,
    candidates: Sequence[Candidate],
    model: EngineModel,
    now_s: float,
    *,
    ticket_risk: float = 0.0,
    demand: Demand = NOTHING_EXPECTED,
) -> Placing | None:
    """Choose the targets of a prompt; None if none has room for it now.

    Args:
        prompt: What is to be placed.
        candidates: The targets.
        model: How fast they are.
        now_s: The time.
        ticket_risk: The chance that a reservation fails.
        demand: The streams with short gaps that are expected.
    """
    views = [_View(candidate, model, now_s) for candidate in candidates]
    _expect(demand, views, model)
    total_s = read_s(model, prompt.tokens)
    best: Placing | None = None
    for size in _gang_sizes(prompt, len(views)):
        placing = _place_in_gang(prompt, views, model, total_s, size, ticket_risk)
        if placing is not None and (best is None or placing.cost < best.cost):
            best = placing
    return best


def _gang_sizes(prompt: Prompt, available: int) -> list[int]:
    largest = min(available, MAX_HELPERS + 1, max(1, prompt.tokens // MIN_PART_TOKENS))
    return [size for size in GANG_SIZES if size <= largest]


class _View:
    """A candidate with what its choice is weighed by."""

    def __init__(self, candidate: Candidate, model: EngineModel, now_s: float) -> None:
        load = candidate.load
        self.candidate = candidate
        self.target_id = candidate.target_id
        self.model = model
        self.now_s = now_s
        self.load = load
        self.writers = load.writers()
        self.unread = load.unread()
        self.may_host = load.in_flight < model.slots and candidate.may_host
        self.may_help = load.helping < model.slots and candidate.may_help
        self.free_kv_tokens = int(model.kv_capacity_tokens * KV_USABLE_SHARE) - load.kv_tokens
        self.wait_s = load.read_wait_s(now_s)
        self.pass_s = load.pace * pass_s(model, len(self.writers), load.context_tokens)
        self.most_read_in_pass_s = most_read_in_pass_s(model)
        self.pause_s = self.pass_s + self._longest_in_pass(self.wait_s)
        # What comes to this target in a second that a long read would make late, and its gap.
        self.expected_worth_per_s = 0.0
        self.expected_gap_s = math.inf

    def harm(self, part_s: float) -> float:
        """Return what others lose if this target reads a part of so long."""
        part_s *= self.load.pace
        more_s = self._longest_in_pass(self.wait_s + part_s) - self._longest_in_pass(self.wait_s)
        lost = 0.0
        for work in self.writers:
            before = gap_late_chance(self.pause_s, work.max_gap_s)
            after = gap_late_chance(self.pause_s + more_s, work.max_gap_s)
            lost += work.worth * (after - before)
        for work in self.unread:
            if not work.writes:
                continue
            left_s = work.placed_s + work.due_in_s - self.now_s
            needed_s = max(0.0, work.read_ends_s - self.now_s) + self.pass_s
            before = late_chance(needed_s, left_s)
            after = late_chance(needed_s + part_s, left_s)
            lost += work.worth * (after - before)
        if self.expected_worth_per_s:
            late = gap_late_chance(self.pass_s + more_s, self.expected_gap_s)
            lost += self.expected_worth_per_s * part_s * late
        return lost

    def begins_in(self) -> float:
        """Return when this target can start to read something new."""
        return self.wait_s + (self.pass_s / 2 if self.writers else 0.0)

    def _longest_in_pass(self, reading_s: float) -> float:
        return min(reading_s, self.most_read_in_pass_s)


def _expect(demand: Demand, views: list[_View], model: EngineModel) -> None:
    """Spread the streams that are expected over the targets that will have to take them."""
    wanted = math.ceil(demand.per_s * demand.lasts_s / (USABLE_SLOTS_SHARE * model.slots))
    if wanted <= 0 or not views:
        return

    def hosts(view: _View) -> tuple[bool, float]:
        has_some = any(work.max_gap_s <= demand.max_gap_s for work in view.writers)
        return not has_some, view.wait_s

    takers = sorted(views, key=hosts)[:wanted]
    for view in takers:
        view.expected_worth_per_s = demand.worth * demand.per_s / len(takers)
        view.expected_gap_s = demand.max_gap_s


def _place_in_gang(
    prompt: Prompt,
    views: list[_View],
    model: EngineModel,
    total_s: float,
    size: int,
    ticket_risk: float,
) -> Placing | None:
    part_s = total_s / size
    costs = {view.target_id: _reading_cost(view, prompt, part_s) for view in views}
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
    members = [host, *helpers]
    reading_s = max(view.begins_in() + part_s * view.load.pace for view in members)
    first_s = reading_s + model.steps_per_pass * model.step_s * host.load.pace
    harm = sum(view.harm(part_s) for view in members)
    own_loss = prompt.worth * late_chance(first_s, prompt.due_in_s)
    own_loss += prompt.worth * gap_late_chance(host.pause_s, prompt.max_gap_s)
    unserved = LATE_WORTH * prompt.worth * late_chance(first_s, prompt.ends_in_s)
    unhandy = prompt.worth * FINISH_WEIGHT * first_s / _scale(prompt)
    unhandy += MEMBER_COST * (size - 1) + _opening_cost(host, prompt)
    unhandy += len(shares) * (TICKET_COST + ticket_risk * prompt.worth)
    return Placing(
        host_id=host.target_id,
        helper_ids=tuple(view.target_id for view in helpers),
        shares=shares,
        host_kv_tokens=host_kv_tokens,
        part_read_s=part_s,
        first_in_s=first_s,
        own_loss=min(prompt.worth, own_loss),
        harm=harm,
        cost=harm + own_loss + unserved + unhandy,
    )


def _reading_cost(view: _View, prompt: Prompt, part_s: float) -> float:
    ends_s = view.begins_in() + part_s * view.load.pace
    late = late_chance(ends_s, prompt.due_in_s)
    return view.harm(part_s) + prompt.worth * (late + FINISH_WEIGHT * ends_s / _scale(prompt))


def _best_host(
    prompt: Prompt, views: list[_View], costs: dict[str, float], size: int
) -> _View | None:
    """Choose the target that writes; a prompt that is read alone is read there too.

    Args:
        prompt: What is to be placed.
        views: The targets.
        costs: What speaks against reading a part, by target.
        size: How many targets read.
    """
    fitting = [view for view in views if view.may_host and _fits(prompt, view, size)]
    if not fitting:
        return None
    return min(fitting, key=lambda view: costs[view.target_id] + _hosting_cost(view, prompt))


def _fits(prompt: Prompt, view: _View, size: int) -> bool:
    needed = prompt.tokens + prompt.output_tokens
    if size == 1:
        return view.free_kv_tokens >= needed
    return view.free_kv_tokens >= min(needed, prompt.output_tokens + prompt.tokens // size)


def _hosting_cost(view: _View, prompt: Prompt) -> float:
    late = prompt.worth * gap_late_chance(view.pause_s, prompt.max_gap_s)
    return late + _opening_cost(view, prompt)


def _opening_cost(view: _View, prompt: Prompt) -> float:
    """Return what speaks against a host beside what is lost at once.

    A stream with short gaps on a target that has none yet keeps long reads away from one more.
    """
    cost = 0.0 if view.candidate.is_near else FAR_COST
    is_tight = prompt.max_gap_s < SHORT_GAP_PASSES * view.pass_s
    if is_tight and not any(
        work.max_gap_s <= prompt.max_gap_s for work in view.load.works.values()
    ):
        cost += OPENING_COST
    return cost


def _scale(prompt: Prompt) -> float:
    return max(prompt.due_in_s, prompt.max_gap_s)


def _share_memory(
    prompt: Prompt, host: _View, helpers: list[_View]
) -> tuple[int, tuple[TicketShare, ...]] | None:
    """Return the memory of the host and the shares of helpers; None if it does not fit."""
    needed = prompt.tokens + prompt.output_tokens
    if host.free_kv_tokens >= needed:
        return needed, ()
    by_room = sorted(helpers, key=lambda view: view.free_kv_tokens, reverse=True)
    for holders in range(1, len(by_room) + 1):
        even = math.ceil(prompt.tokens / (holders + 1))
        shares = []
        rest = prompt.tokens
        for view in by_room[:holders]:
            tokens = min(even, view.free_kv_tokens)
            if tokens <= 0:
                break
            shares.append(TicketShare(target_id=view.target_id, tokens=tokens))
            rest -= tokens
        if rest + prompt.output_tokens <= host.free_kv_tokens:
            return rest + prompt.output_tokens, tuple(shares)
    return None


def _ramp(ratio: float, begin: float, end: float) -> float:
    return min(1.0, max(0.0, (ratio - begin) / (end - begin)))
