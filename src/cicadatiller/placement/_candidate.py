"""The targets that a prompt may be placed on, and what a prefill there costs others."""

import functools
import math
from dataclasses import dataclass

from ..routes import EngineModel
from ._board import TargetLoad
from ._engine import max_prefill_in_pass_s, pass_s
from ._lateness import gap_late_probability, late_probability, poisson_at_least

KV_USABLE_SHARE = 0.95


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


class CandidateView:
    """A candidate with the values derived from its load that placements are rated by."""

    def __init__(self, candidate: Candidate, model: EngineModel, now_s: float) -> None:
        load = candidate.load
        self.candidate = candidate
        self.target_id = candidate.target_id
        self.model = model
        self.now_s = now_s
        self.load = load
        use = load.use()
        self.decoding = use.decoding
        self.awaiting_prefill = use.awaiting_prefill
        self.may_host = use.in_flight < model.slots and candidate.may_host
        self.no_slot = poisson_at_least(candidate.unknown_requests, model.slots - use.in_flight)
        self.may_help = use.helped_prompts < model.slots and candidate.may_help
        self.free_kv_tokens = int(model.kv_capacity_tokens * KV_USABLE_SHARE) - use.kv_tokens
        self.wait_s = load.prefill_wait_s(now_s)
        self.pass_s = load.pace * pass_s(model, len(self.decoding), use.context_tokens)
        self.max_prefill_in_pass_s = max_prefill_in_pass_s(model)
        self._waiting_in_pass_s = self._pass_prefill_s(self.wait_s)
        self.event_gap_s = self.pass_s + self._waiting_in_pass_s
        # Worth per second of the expected streams that a long prefill here would delay, and their
        # event gap limit.
        self.expected_worth_per_s = 0.0
        self.expected_max_gap_s = math.inf

    def loss_to_others(self, part_s: float) -> float:
        """Return the expected loss to others if this target prefills a part of `part_s`."""
        part_s *= self.load.pace
        added_gap_s = self._pass_prefill_s(self.wait_s + part_s) - self._waiting_in_pass_s
        lost = 0.0
        if added_gap_s:
            gap_s = self.event_gap_s + added_gap_s
            for worth, max_gap_s, before in self._delayed_streams:
                lost += worth * (gap_late_probability(gap_s, max_gap_s) - before)
        for worth, needed_s, left_s, before in self._delayed_prefills:
            lost += worth * (late_probability(needed_s + part_s, left_s) - before)
        if self.expected_worth_per_s:
            late = gap_late_probability(self.pass_s + added_gap_s, self.expected_max_gap_s)
            lost += self.expected_worth_per_s * part_s * late
        return lost

    @functools.cached_property
    def _delayed_streams(self) -> list[tuple[float, float, float]]:
        """Return worth, longest gap and probability to be late of the streams here.

        Those that are late in any case are left out.
        """
        streams = []
        for work in self.decoding:
            before = gap_late_probability(self.event_gap_s, work.max_gap_s)
            if before < 1.0:
                streams.append((work.worth, work.max_gap_s, before))
        return streams

    @functools.cached_property
    def _delayed_prefills(self) -> list[tuple[float, float, float, float]]:
        """Return worth, time needed, time left and probability to be late of the prefills here.

        Those that are late in any case are left out.
        """
        prefills = []
        for work in self.awaiting_prefill:
            if not work.writes:
                continue
            left_s = work.placed_s + work.due_in_s - self.now_s
            needed_s = max(0.0, work.prefill_end_s - self.now_s) + self.pass_s
            before = late_probability(needed_s, left_s)
            if before < 1.0:
                prefills.append((work.worth, needed_s, left_s, before))
        return prefills

    def prefill_starts_in_s(self) -> float:
        """Return the time until this target can start another prefill."""
        return self.wait_s + (self.pass_s / 2 if self.decoding else 0.0)

    def _pass_prefill_s(self, queued_s: float) -> float:
        return min(queued_s, self.max_prefill_in_pass_s)
