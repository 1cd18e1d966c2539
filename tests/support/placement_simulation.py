"""Discrete-event simulation of prompt placement on engines that run in passes.

The engines follow `EngineModel`: a pass generates one event for each stream and prefills chunks of
prompts. The parts of prompts with helpers are prefilled before other prompts.
"""

import heapq
import itertools
import math
import random
from collections import Counter
from dataclasses import replace

from cicadatiller.placement import (
    Ahead,
    Backlog,
    Candidate,
    LoadBoard,
    Placement,
    Prompt,
    Verdict,
    Work,
    evaluate_placement,
    expected_demand,
    expected_slot_interval_s,
    min_first_event_s,
    place_prompt,
    queue_sort_key,
    read_s,
)

from .simulated_engines import ENGINE, SimulatedEngine, SimulatedPrefill, SimulatedWriter
from .simulated_requests import SimulatedRequest, patience_s

RECHECK_S = 0.02


class PlacementSimulation:
    """Simulates entries that place the requests of a generated load.

    Each entry knows its own placements at once, and those of the others after a delay.

    Args:
        engines: The number of engines.
        policy: Called with (prompt, candidates, model, now_s); returns a `Placement`, or None to
            keep the prompt waiting.
        seed: The seed of the generated load.
        model: The engine model.
        entries: The number of entries; each request arrives at a random one.
        delays_s: The shortest and longest time after which an entry learns of others' work.
        subsets: The names of the engines that each entry uses; None if all use all.
        cut_off: The numbers of the entries that neither tell others of their work nor hear of it.
        describe: Called with (entry, engine, load, now_s, age in s of the entry's view); returns
            further fields of a `Candidate`.
    """

    def __init__(
        self,
        *,
        engines,
        policy=place_prompt,
        seed=1,
        model=ENGINE,
        entries=1,
        delays_s=(0.0, 0.0),
        subsets=None,
        cut_off=(),
        describe=None,
    ):
        self.model = model
        self.policy = policy
        self.engines = {f"e{number}": SimulatedEngine(f"e{number}") for number in range(engines)}
        self.boards = [LoadBoard() for _ in range(entries)]
        self._entry_random = random.Random(f"entries {seed}")
        self._delays_s = [self._entry_random.uniform(*delays_s) for _ in range(entries)]
        self._subsets = subsets or [list(self.engines)] * entries
        used = [set(names) for names in self._subsets]
        self._sharing = [
            [
                other
                for other in range(entries)
                if other != entry and used[other] & used[entry] and not {entry, other} & {*cut_off}
            ]
            for entry in range(entries)
        ]
        self._describe = describe or (lambda *_: {})
        self.requests = []
        self.now_s = 0.0
        self._random = random.Random(seed)
        self._events = []
        self._sequence = itertools.count()
        self._waiting = []
        self._recheck_set = False
        self._backlogs = [Backlog() for _ in range(entries)]
        self._placements = {}
        self._request_by_work = {}
        self._remaining_parts = {}

    def run(self, phases):
        """Simulate phases, each (kinds, seconds), until all requests end; return the requests."""
        start_s = 0.0
        for kinds, length_s in phases:
            for kind in kinds:
                self._generate_arrivals(kind, start_s, length_s)
            start_s += length_s
        while self._events:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        return self.requests

    def _schedule(self, time_s, action):
        heapq.heappush(self._events, (time_s, next(self._sequence), action))

    def _generate_arrivals(self, kind, start_s, length_s):
        time_s = start_s
        while kind.arrivals_per_s > 0:
            time_s += self._random.expovariate(kind.arrivals_per_s)
            if time_s >= start_s + length_s:
                return
            mu = math.log(kind.mean_tokens) - kind.length_sigma**2 / 2
            tokens = int(min(kind.max_tokens, self._random.lognormvariate(mu, kind.length_sigma)))
            events = max(1, int(self._random.lognormvariate(math.log(kind.events) - 0.12, 0.5)))
            entry = self._entry_random.randrange(len(self.boards))
            request = SimulatedRequest(kind, time_s, max(16, tokens), events, entry)
            self.requests.append(request)
            self._schedule(time_s, lambda request=request: self._on_arrival(request))

    def _on_arrival(self, request):
        self._waiting.append(request)
        self._schedule(
            request.arrived_s + patience_s(request.kind), lambda: self._on_caller_left(request)
        )
        self._place_waiting()

    def _on_caller_left(self, request):
        """Abandon a request whose first event did not arrive within its caller's patience."""
        if request.first_s is not None or request.refused or request.ended_s is not None:
            return
        request.caller_left = True
        if request in self._waiting:
            self._waiting.remove(request)
            return
        work_id = next(key for key, other in self._request_by_work.items() if other is request)
        placement = self._placements.pop(work_id)
        members = (placement.host_id, *placement.helper_ids)
        self._tell(request.entry, lambda board, now_s: board.remove(work_id, members, now_s))
        self._free_slot(self.engines[placement.host_id], work_id)
        for name in members:
            engine = self.engines[name]
            engine.queue = [queued for queued in engine.queue if queued[0] != work_id]
            engine.prefills = [prefill for prefill in engine.prefills if prefill.work_id != work_id]
            engine.writers = [writer for writer in engine.writers if writer.work_id != work_id]

    def _place_waiting(self):
        """Decide on all waiting requests, and again after `RECHECK_S`.

        A decision can depend on time alone, without any event in between.
        """
        ahead = Counter()
        for request in sorted(self._waiting, key=self._sort_key):
            is_late = self._is_late(request)
            waiting = Ahead(on_time=ahead[request.entry, False], late=ahead[request.entry, True])
            placement = self._decide(request, waiting)
            if isinstance(placement, Placement):
                self._waiting.remove(request)
                request.waited_s = self.now_s - request.arrived_s
                if request.waited_s:
                    self._backlogs[request.entry].record_grant(self.now_s, is_late=is_late)
                self._start(request, placement)
            elif placement is Verdict.REFUSE:
                self._waiting.remove(request)
                request.waited_s = self.now_s - request.arrived_s
                request.refused = True
            else:
                ahead[request.entry, is_late] += 1
        if self._waiting and not self._recheck_set:
            self._recheck_set = True
            self._schedule(self.now_s + RECHECK_S, self._recheck)

    def _is_late(self, request):
        due_s = request.arrived_s + request.kind.target_latency_s
        return due_s - self.now_s < min_first_event_s(self.model, request.tokens)

    def _sort_key(self, request):
        if self.policy is not place_prompt:
            return request.arrived_s
        due_s = request.arrived_s + request.kind.target_latency_s
        min_latency_s = min_first_event_s(self.model, request.tokens)
        return queue_sort_key(due_in_s=due_s - self.now_s, min_latency_s=min_latency_s)

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
            late_worth=0.25 * kind.worth,
        )

    def _decide(self, request, ahead):
        """Return a placement; without one, the verdict, or None from a baseline policy."""
        prompt = self._prompt(request)
        candidates = self._candidates(request.entry)
        if self.policy is not place_prompt:
            return self.policy(prompt, candidates, self.model, self.now_s)
        demand = self._demand(request.entry)
        backlog = self._backlogs[request.entry]
        placement = place_prompt(prompt, candidates, self.model, self.now_s, demand=demand)
        if placement is None:
            return self._wait_or_refuse(request, ahead)
        waited_s = self.now_s - request.arrived_s
        waiting_is_futile = prompt.due_in_s <= 0 and backlog.is_lasting(self.now_s)
        must_decide = waiting_is_futile or waited_s >= self._left_s(request)
        verdict = evaluate_placement(placement, prompt, demand, must_decide=must_decide)
        return placement if verdict is Verdict.PLACE else verdict

    def _left_s(self, request):
        """Return the time for which a prompt may wait and still begin before its caller leaves."""
        waited_s = self.now_s - request.arrived_s
        return patience_s(request.kind) - waited_s - min_first_event_s(self.model, request.tokens)

    def _wait_or_refuse(self, request, ahead):
        backlog = self._backlogs[request.entry]
        is_late = self._is_late(request)
        backlog.record_waiting(self.now_s, is_late=is_late)
        if not backlog.is_lasting(self.now_s):
            return Verdict.WAIT
        wait_s = backlog.expected_wait_s(
            self.now_s,
            ahead,
            is_late=is_late,
            slot_interval_s=self._slot_interval_s(request.entry),
        )
        return Verdict.REFUSE if wait_s > self._left_s(request) else Verdict.WAIT

    def _candidates(self, entry):
        board = self.boards[entry]
        candidates = []
        for name in self._subsets[entry]:
            load = board.load(name)
            further = self._describe(entry, name, load, self.now_s, self._delays_s[entry])
            candidates.append(Candidate(target_id=name, load=load, **further))
        return candidates

    def _demand(self, entry):
        """Return the demand that an entry expects."""
        loads = [self.boards[entry].load(name) for name in self._subsets[entry]]
        waiting = [self._prompt(request) for request in self._waiting if request.entry == entry]
        return expected_demand(loads, waiting, self.model, self.now_s)

    def _slot_interval_s(self, entry):
        """Return the interval at which an entry expects slots to become free."""
        loads = [self.boards[entry].load(name) for name in self._subsets[entry]]
        return expected_slot_interval_s(loads, f"entry {entry}", self.now_s)

    def _start(self, request, placement):
        work_id = f"w{next(self._sequence)}"
        self._placements[work_id] = placement
        self._request_by_work[work_id] = request
        members = (placement.host_id, *placement.helper_ids)
        self._remaining_parts[work_id] = len(members)
        reserved_tokens = {share.target_id: share.tokens for share in placement.shares}
        part = math.ceil(request.tokens / len(members))
        works = []
        for name in members:
            writes = name == placement.host_id
            works.append(
                Work(
                    work_id=work_id,
                    owner=f"entry {request.entry}",
                    target_id=name,
                    read_s=read_s(self.model, request.tokens) / len(members),
                    read_tokens=part,
                    kv_tokens=placement.host_kv_tokens if writes else reserved_tokens.get(name, 0),
                    context_tokens=request.tokens if writes else 0,
                    writes=writes,
                    max_gap_s=request.kind.max_gap_s if writes else math.inf,
                    due_in_s=request.kind.target_latency_s + request.arrived_s - self.now_s,
                    worth=0.75 * request.kind.worth,
                    placed_s=self.now_s,
                )
            )
            engine = self.engines[name]
            if writes and len(engine.hosted) >= self.model.slots:
                request.place_was_taken = True
                engine.queue.append((work_id, part, len(members) > 1))
                continue
            if writes:
                engine.hosted.add(work_id)
            self._add_prefill(engine, work_id, part, is_gang_part=len(members) > 1)
        self._tell(request.entry, lambda board, now_s: board.add([replace(w) for w in works]))

    def _tell(self, entry, action):
        """Apply a change to the board of its entry, and to the others when they learn of it."""
        action(self.boards[entry], self.now_s)
        for other in self._sharing[entry]:
            due_s = self.now_s + self._delays_s[other]
            board = self.boards[other]
            self._schedule(due_s, lambda board=board: action(board, self.now_s))

    def _free_slot(self, engine, work_id):
        """Free the slot of a request, and give it to the first one that waits at the engine."""
        engine.hosted.discard(work_id)
        if engine.queue and len(engine.hosted) < self.model.slots:
            queued_id, part, is_gang_part = engine.queue.pop(0)
            engine.hosted.add(queued_id)
            self._add_prefill(engine, queued_id, part, is_gang_part=is_gang_part)

    def _add_prefill(self, engine, work_id, tokens, *, is_gang_part):
        prefill = SimulatedPrefill(work_id, tokens, is_gang_part=is_gang_part)
        if is_gang_part:
            place = sum(1 for other in engine.prefills if other.is_gang_part)
            engine.prefills.insert(place, prefill)
        else:
            engine.prefills.append(prefill)
        if not engine.is_running:
            self._run_pass(engine)

    def _run_pass(self, engine):
        engine.is_running = bool(engine.prefills or engine.writers)
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
        while engine.prefills and chunk > 0:
            prefill = engine.prefills[0]
            prefill_total_s = read_s(model, self._request_by_work[prefill.work_id].tokens)
            share = prefill_total_s / self._request_by_work[prefill.work_id].tokens
            prefilled_tokens = min(chunk, prefill.tokens - prefill.done)
            length_s += prefilled_tokens * share
            prefill.done += prefilled_tokens
            chunk -= prefilled_tokens
            if prefill.done >= prefill.tokens:
                done.append(engine.prefills.pop(0))
        writers = list(engine.writers)
        end_s = self.now_s + length_s * engine.pace
        self._schedule(end_s, lambda: self._end_pass(engine, done, writers))

    def _end_pass(self, engine, done, writers):
        for writer in writers:
            if not writer.request.caller_left:
                self._emit_event(engine, writer)
        for prefill in done:
            self._end_prefill(prefill.work_id)
        self._run_pass(engine)
        self._place_waiting()

    def _emit_event(self, engine, writer):
        request = writer.request
        if request.first_s is None:
            request.first_s = self.now_s
            placement = self._placements[writer.work_id]
            members = (placement.host_id, *placement.helper_ids)
            self._tell(
                request.entry,
                lambda board, now_s: board.record_first_event(writer.work_id, members, now_s),
            )
        else:
            gap_s = self.now_s - request.last_event_s
            request.longest_gap_s = max(request.longest_gap_s, gap_s)
        request.last_event_s = self.now_s
        writer.remaining_events -= 1
        if writer.remaining_events == 0:
            engine.writers.remove(writer)
            request.ended_s = self.now_s
            placement = self._placements.pop(writer.work_id)
            members = (placement.host_id, *placement.helper_ids)
            self._tell(
                request.entry,
                lambda board, now_s: board.remove(writer.work_id, members, now_s),
            )
            self._free_slot(engine, writer.work_id)

    def _end_prefill(self, work_id):
        self._remaining_parts[work_id] -= 1
        if self._remaining_parts[work_id]:
            return
        request = self._request_by_work[work_id]
        if request.caller_left:
            return
        host = self.engines[self._placements[work_id].host_id]
        host.writers.append(SimulatedWriter(work_id, request, request.tokens, request.events))
        if not host.is_running:
            self._run_pass(host)
