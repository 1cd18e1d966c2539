"""All that was seen in a run, for the checks."""

from collections import defaultdict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from bench.soak.configuration import CONVERGE_S, History, Version
from bench.soak.entries import Exit
from bench.soak.record import Attempt, Timeline, UnheldTicket
from bench.soak.schedule import Deployment
from bench.soak.target_slots import LostOnLink
from bench.soak.targets import Arrival, IdleTicket

# Added to each bound of time, as the machine may be busy.
MACHINE_SLACK_S = 1.0
# An entry is held to bounds of time once it was undisturbed for this long.
CONTACT_S = 3.0
# An answer is due this long after the deadline or the route's time limit.
END_SLACK_S = 0.5
# The load goes on for this long once entries have to serve again.
RECOVERY_LOAD_S = 10.0


def recovered_s(timeline: Timeline, faults_ended_s: float) -> float:
    """Return when entries had the contact time after the last fault and disturbance."""
    return max(faults_ended_s, timeline.last_end_s()) + CONTACT_S


@dataclass(frozen=True, kw_only=True)
class Observations:
    """All that was seen in a run.

    Attributes:
        attempts: The requests of callers.
        runs: What each target ran, by the number of the target.
        services: The service of each target.
        arrivals: The requests that reached targets.
        lost_on_links: The requests that links discarded on their way to targets.
        left_s: When the store learned that an instance leaves or is gone, by instance id.
        idle_tickets: How long reservations were idle when they ended.
        unheld_tickets: The reservations that requests named and that were not held.
        held_tickets: Reservations that are still held at the end.
        exits: How entries ended.
        strays: The number of an entry and bytes from it that belong to no request.
        timeline: When which part was disturbed.
        history: The versions of the configuration.
        deployment: The deployment.
        resident_bytes: The most memory that each entry had, by its number.
        faults_ended_s: When the last fault had been carried out.
    """

    attempts: list[Attempt]
    runs: dict[int, list[Any]]
    services: dict[int, str]
    arrivals: list[Arrival]
    lost_on_links: list[LostOnLink]
    left_s: dict[str, float]
    idle_tickets: list[IdleTicket]
    unheld_tickets: list[UnheldTicket]
    held_tickets: list[str]
    exits: list[Exit]
    strays: list[tuple[int, bytes]]
    timeline: Timeline
    history: History
    deployment: Deployment
    resident_bytes: Mapping[int, int] = field(default_factory=dict)
    faults_ended_s: float = 0.0

    def __post_init__(self) -> None:
        by_id = defaultdict(list)
        for arrival in self.arrivals:
            by_id[arrival.request_id].append(arrival)
        runs_by_id = defaultdict(list)
        for number, runs in self.runs.items():
            for run in runs:
                runs_by_id[run.request_id].append((number, run))
        lost_by_id = defaultdict(set)
        for lost in self.lost_on_links:
            lost_by_id[lost.request_id].add(lost.target)
        object.__setattr__(self, "_arrivals_by_id", by_id)
        object.__setattr__(self, "_lost_by_id", lost_by_id)
        object.__setattr__(self, "_runs_by_id", runs_by_id)

    def arrivals_of(self, attempt: Attempt) -> list[Arrival]:
        """Return where a request arrived."""
        return self._arrivals_by_id[attempt.request_id]

    def runs_of(self, attempt: Attempt) -> list[tuple[int, Any]]:
        """Return where a request ran, with the number of the target."""
        return self._runs_by_id[attempt.request_id]

    def are_targets_sound(self, attempt: Attempt) -> bool:
        """Return whether no target that a request was sent to broke off answers meanwhile."""
        begin_s, end_s = attempt.sent_s - CONTACT_S, attempt.ended_s + END_SLACK_S
        targets = {arrival.target for arrival in self.arrivals_of(attempt)}
        targets |= self._lost_by_id[attempt.request_id]
        return all(self.timeline.is_target_sound(target, begin_s, end_s) for target in targets)

    @property
    def recovered_s(self) -> float:
        """Return from when on entries have to serve as before the faults."""
        return recovered_s(self.timeline, self.faults_ended_s)

    def limit_s(self, attempt: Attempt, choose: Callable[[list[int]], int]) -> float:
        """Return when a request is out of time; `choose` picks from the routes' limits."""
        versions = self.versions_for(attempt)
        timeout_s = choose([version.timeout_ms for version in versions]) / 1000
        return min(attempt.deadline_s, attempt.sent_s + timeout_s)

    def versions_for(self, attempt: Attempt) -> list[Version]:
        """Return the versions of the configuration that may be in force for a request."""
        is_calm = self.timeline.is_calm(attempt.entry, attempt.sent_s - CONTACT_S, attempt.ended_s)
        converge_s = CONVERGE_S + MACHINE_SLACK_S if is_calm else float("inf")
        return self.history.in_force(attempt.sent_s, attempt.ended_s, converge_s)
