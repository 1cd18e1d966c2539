"""Plays a load of prompts on engines that work in passes, without a network.

The engines follow the model in `EngineModel`: a pass makes one event for each stream and reads
chunks of prompts beside it; parts of prompts that are read together go ahead of others.
"""

import heapq
import itertools
import math
import random
from dataclasses import dataclass, field

from cicadatiller.placement import (
    Backlog,
    Candidate,
    LoadBoard,
    Placing,
    Prompt,
    Verdict,
    Work,
    expected_demand,
    judge,
    least_first_s,
    place_prompt,
    queue_turn,
    read_s,
)
from cicadatiller.routes import EngineModel

RECHECK_S = 0.02
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


@dataclass(frozen=True, kw_only=True)
class PromptKind:
    """A kind of request.

    Attributes:
        name: The kind.
        per_s: How many come in a second.
        mean_tokens: The mean prompt; lengths are spread log-normally.
        spread: The standard deviation of the logarithm of the length.
        max_tokens: The longest.
        events: The events of an answer.
        target_latency_s: When the first event is due.
        max_gap_s: The longest pause between events.
        worth: What a request is worth if it is on time.
    """

    name: str
    per_s: float
    mean_tokens: float
    spread: float
    max_tokens: int
    events: int
    target_latency_s: float
    max_gap_s: float
    worth: float


@dataclass
class PlayedRequest:
    """A request and what became of it."""

    kind: PromptKind
    arrived_s: float
    tokens: int
    events: int
    first_s: float | None = None
    last_event_s: float = 0.0
    longest_gap_s: float = 0.0
    ended_s: float | None = None
    refused: bool = False
    left: bool = False
    waited_s: float = 0.0

    @property
    def on_time(self):
        """Tell whether it earned its whole worth."""
        if self.ended_s is None or self.first_s is None:
            return False
        is_soon = self.first_s - self.arrived_s <= self.kind.target_latency_s
        return is_soon and self.longest_gap_s <= self.kind.max_gap_s


@dataclass
class _Read:
    work_id: str
    tokens: int
    done: float = 0.0
    is_part: bool = False


@dataclass
class _Writer:
    work_id: str
    request: PlayedRequest
    context: int
    left: int


@dataclass
class PlayedEngine:
    """One engine."""

    name: str
    reads: list = field(default_factory=list)
    writers: list = field(default_factory=list)
    is_running: bool = False
    slowness: float = 1.0


class LoadPlay:
    """Plays a load.

    Args:
        engines: How many there are.
        policy: Takes (prompt, candidates, model, now_s) and returns a `Placing` or None to wait.
        seed: Draws the load.
        settle_share: For this share of its patience a prompt waits for a place that harms little.
    """

    def __init__(self, *, engines, policy=place_prompt, seed=1, model=ENGINE, settle_share=0.7):
        self.model = model
        self.policy = policy
        self.engines = {f"e{number}": PlayedEngine(f"e{number}") for number in range(engines)}
        self.board = LoadBoard()
        self.requests = []
        self.now_s = 0.0
        self._settle_share = settle_share
        self._random = random.Random(seed)
        self._events = []
        self._order = itertools.count()
        self._waiting = []
        self._recheck_set = False
        self._backlog = Backlog()
        self._placings = {}
        self._by_work = {}
        self._parts_left = {}

    def run(self, phases):
        """Play phases, each (kinds, seconds), and what is left of them; returns the requests."""
        begin_s = 0.0
        for kinds, length_s in phases:
            for kind in kinds:
                self._draw(kind, begin_s, length_s)
            begin_s += length_s
        while self._events:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        return self.requests

    def _at(self, time_s, action):
        heapq.heappush(self._events, (time_s, next(self._order), action))

    def _draw(self, kind, begin_s, length_s):
        time_s = begin_s
        while kind.per_s > 0:
            time_s += self._random.expovariate(kind.per_s)
            if time_s >= begin_s + length_s:
                return
            scale = math.log(kind.mean_tokens) - kind.spread**2 / 2
            tokens = int(min(kind.max_tokens, self._random.lognormvariate(scale, kind.spread)))
            events = max(1, int(self._random.lognormvariate(math.log(kind.events) - 0.12, 0.5)))
            request = PlayedRequest(kind, time_s, max(16, tokens), events)
            self.requests.append(request)
            self._at(time_s, lambda request=request: self._arrive(request))

    def _arrive(self, request):
        self._waiting.append(request)
        self._at(request.arrived_s + patience_s(request.kind), lambda: self._leave(request))
        self._place_waiting()

    def _leave(self, request):
        """A caller that has seen no event goes away."""
        if request.first_s is not None or request.refused or request.ended_s is not None:
            return
        request.left = True
        if request in self._waiting:
            self._waiting.remove(request)
            return
        work_id = next(key for key, other in self._by_work.items() if other is request)
        placing = self._placings.pop(work_id)
        members = (placing.host_id, *placing.helper_ids)
        self.board.remove(work_id, members, self.now_s)
        for name in members:
            engine = self.engines[name]
            engine.reads = [read for read in engine.reads if read.work_id != work_id]
            engine.writers = [writer for writer in engine.writers if writer.work_id != work_id]

    def _place_waiting(self):
        """Look at all that wait; later again, as what they wait for may be time alone."""
        ahead = 0
        for request in sorted(self._waiting, key=self._turn):
            placing = self._choose(request, ahead)
            if isinstance(placing, Placing):
                self._waiting.remove(request)
                request.waited_s = self.now_s - request.arrived_s
                if request.waited_s:
                    self._backlog.note_grant(self.now_s)
                self._begin(request, placing)
            elif placing is Verdict.REFUSE:
                self._waiting.remove(request)
                request.waited_s = self.now_s - request.arrived_s
                request.refused = True
            else:
                ahead += 1
        if self._waiting and not self._recheck_set:
            self._recheck_set = True
            self._at(self.now_s + RECHECK_S, self._recheck)

    def _turn(self, request):
        if self.policy is not place_prompt:
            return request.arrived_s
        due_s = request.arrived_s + request.kind.target_latency_s
        least_s = least_first_s(self.model, request.tokens)
        return queue_turn(due_in_s=due_s - self.now_s, least_s=least_s)

    def _recheck(self):
        self._recheck_set = False
        self._place_waiting()

    def _prompt(self, request):
        kind = request.kind
        return Prompt(
            tokens=request.tokens,
            output_tokens=request.events * self.model.steps_per_pass,
            due_in_s=kind.target_latency_s - (self.now_s - request.arrived_s),
            max_gap_s=kind.max_gap_s,
            worth=0.75 * kind.worth,
        )

    def _choose(self, request, ahead):
        """Return a placing, or what becomes of a request that gets none now."""
        prompt = self._prompt(request)
        candidates = [
            Candidate(target_id=name, load=self.board.load(name)) for name in self.engines
        ]
        if self.policy is not place_prompt:
            return self.policy(prompt, candidates, self.model, self.now_s)
        demand = self._demand()
        placing = place_prompt(prompt, candidates, self.model, self.now_s, demand=demand)
        if placing is None:
            self._backlog.note_waiting(self.now_s)
            in_vain = self._backlog.waits_in_vain(
                self.now_s,
                due_in_s=prompt.due_in_s,
                least_s=least_first_s(self.model, prompt.tokens),
                ahead=ahead,
            )
            return Verdict.REFUSE if in_vain else Verdict.WAIT
        settles_s = request.arrived_s + self._settle_share * patience_s(request.kind)
        is_in_vain = prompt.due_in_s <= 0 and self._backlog.is_lasting(self.now_s)
        is_settled = is_in_vain or self.now_s >= settles_s
        verdict = judge(placing, prompt, demand, is_settled=is_settled)
        return placing if verdict is Verdict.PLACE else verdict

    def _demand(self):
        """Return what is to be expected."""
        loads = [self.board.load(name) for name in self.engines]
        waiting = [self._prompt(request) for request in self._waiting]
        return expected_demand(loads, waiting, self.model, self.now_s)

    def _begin(self, request, placing):
        work_id = f"w{next(self._order)}"
        self._placings[work_id] = placing
        self._by_work[work_id] = request
        members = (placing.host_id, *placing.helper_ids)
        self._parts_left[work_id] = len(members)
        kept = {share.target_id: share.tokens for share in placing.shares}
        part = math.ceil(request.tokens / len(members))
        works = []
        for name in members:
            writes = name == placing.host_id
            works.append(
                Work(
                    work_id=work_id,
                    owner="play",
                    target_id=name,
                    read_s=read_s(self.model, request.tokens) / len(members),
                    read_tokens=part,
                    kv_tokens=placing.host_kv_tokens if writes else kept.get(name, 0),
                    context_tokens=request.tokens if writes else 0,
                    writes=writes,
                    max_gap_s=request.kind.max_gap_s if writes else math.inf,
                    due_in_s=request.kind.target_latency_s + request.arrived_s - self.now_s,
                    worth=0.75 * request.kind.worth,
                    placed_s=self.now_s,
                )
            )
            self._add_read(self.engines[name], work_id, part, is_part=len(members) > 1)
        self.board.add(works)

    def _add_read(self, engine, work_id, tokens, *, is_part):
        read = _Read(work_id, tokens, is_part=is_part)
        if is_part:
            place = sum(1 for other in engine.reads if other.is_part)
            engine.reads.insert(place, read)
        else:
            engine.reads.append(read)
        if not engine.is_running:
            self._run_pass(engine)

    def _run_pass(self, engine):
        engine.is_running = bool(engine.reads or engine.writers)
        if not engine.is_running:
            return
        model = self.model
        context = sum(writer.context for writer in engine.writers)
        step_s = model.step_s + len(engine.writers) * model.step_per_sequence_s
        step_s += context * model.step_per_context_token_s
        steps = model.steps_per_pass if engine.writers else 1
        length_s = steps * step_s
        done = []
        chunk = model.chunk_tokens * steps
        while engine.reads and chunk > 0:
            read = engine.reads[0]
            total_s = read_s(model, self._by_work[read.work_id].tokens)
            share = total_s / self._by_work[read.work_id].tokens
            taken = min(chunk, read.tokens - read.done)
            length_s += taken * share
            read.done += taken
            chunk -= taken
            if read.done >= read.tokens:
                done.append(engine.reads.pop(0))
        writers = list(engine.writers)
        end_s = self.now_s + length_s * engine.slowness
        self._at(end_s, lambda: self._end_pass(engine, done, writers))

    def _end_pass(self, engine, done, writers):
        for writer in writers:
            if not writer.request.left:
                self._write(engine, writer)
        for read in done:
            self._end_part(read.work_id)
        self._run_pass(engine)
        self._place_waiting()

    def _write(self, engine, writer):
        request = writer.request
        if request.first_s is None:
            request.first_s = self.now_s
            placing = self._placings[writer.work_id]
            members = (placing.host_id, *placing.helper_ids)
            self.board.begin(writer.work_id, members, self.now_s)
        else:
            gap_s = self.now_s - request.last_event_s
            request.longest_gap_s = max(request.longest_gap_s, gap_s)
        request.last_event_s = self.now_s
        writer.left -= 1
        if writer.left == 0:
            engine.writers.remove(writer)
            request.ended_s = self.now_s
            placing = self._placings.pop(writer.work_id)
            members = (placing.host_id, *placing.helper_ids)
            self.board.remove(writer.work_id, members, self.now_s)

    def _end_part(self, work_id):
        self._parts_left[work_id] -= 1
        if self._parts_left[work_id]:
            return
        request = self._by_work[work_id]
        if request.left:
            return
        host = self.engines[self._placings[work_id].host_id]
        host.writers.append(_Writer(work_id, request, request.tokens, request.events))
        if not host.is_running:
            self._run_pass(host)


def patience_s(kind):
    """Return how long a caller waits for its first event."""
    return max(2.0, 4 * kind.target_latency_s, 8 * kind.max_gap_s)


def least_in_flight(prompt, candidates, model, now_s):
    """Place on the target with the fewest requests; the baseline of the tests."""
    free = [c for c in candidates if c.load.in_flight < model.slots]
    fitting = [
        c
        for c in free
        if c.load.kv_tokens + prompt.tokens + prompt.output_tokens <= model.kv_capacity_tokens
    ]
    if not fitting:
        return None
    best = min(fitting, key=lambda c: c.load.in_flight)
    return Placing(
        host_id=best.target_id,
        host_kv_tokens=prompt.tokens + prompt.output_tokens,
        part_read_s=read_s(model, prompt.tokens),
    )


def round_robin():
    """Return a policy that takes the targets in turn, and waits while they are full."""
    turns = itertools.count()

    def place(prompt, candidates, model, now_s):
        first = next(turns)
        for number in range(len(candidates)):
            candidate = candidates[(first + number) % len(candidates)]
            placing = least_in_flight(prompt, [candidate], model, now_s)
            if placing is not None:
                return placing
        return None

    return place


def at_least_loss(prompt, candidates, model, now_s):
    """Place at once where least is lost, whatever is still to come."""
    return place_prompt(prompt, candidates, model, now_s)


def share_on_time(requests, kind_name):
    """Return the share of a kind's requests that were on time."""
    of_kind = [request for request in requests if request.kind.name == kind_name]
    if not of_kind:
        return 1.0
    return sum(request.on_time for request in of_kind) / len(of_kind)


def share_of_worth(requests):
    """Return the share of all worth that was earned."""
    owed = sum(request.kind.worth for request in requests)
    earned = sum(
        request.kind.worth * (1.0 if request.on_time else 0.25 if request.ended_s else 0.0)
        for request in requests
    )
    return earned / owed
