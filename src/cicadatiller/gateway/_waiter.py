"""Requests that wait for a target, and the grants that assign targets to them."""

import asyncio
import math
from dataclasses import dataclass

from ..fleet import Target
from ..placement import Placement, Prompt, min_first_event_s, queue_sort_key, write_s
from ..routes import Route, RouteKind, Service
from ._job import Job

# Callers abandon a stream, also before its first event, after the longest of these: a fixed time,
# and multiples of the route's latency target and of its longest gap between events.
ABANDON_MIN_S = 2.0
ABANDON_LATENCY_FACTOR = 4
ABANDON_GAP_FACTOR = 8


@dataclass(frozen=True, kw_only=True, slots=True)
class Grant:
    """The targets that are assigned to a request.

    Attributes:
        work_id: Id of its work on the load board.
        host: The target that receives the request.
        helpers: Targets that prefill parts of the prompt.
        placement: The placement decision; None for a plain service.
        host_in_flight: Requests in flight on the host when assigned, including this one.
        host_pace: Last known slowdown of the host relative to its engine model.
        host_wait_s: Estimated time until the host finishes the prefills that were queued before.
        host_call_s: Recent duration of calls at the host; 0 if it is not known.
    """

    work_id: str
    host: Target
    helpers: tuple[Target, ...] = ()
    placement: Placement | None = None
    host_in_flight: int = 0
    host_pace: float = 1.0
    host_wait_s: float = 0.0
    host_call_s: float = 0.0

    @property
    def target_ids(self) -> tuple[str, ...]:
        """Return the ids of the host and the helpers."""
        return (self.host.instance_id, *(helper.instance_id for helper in self.helpers))


@dataclass(kw_only=True, slots=True)
class Waiter:
    """A request that has no target yet. Times ending in `_at_s` are loop times.

    Attributes:
        job: The request.
        prompt: Its prompt as of arrival; None for a call of a plain service.
        waiting_since_s: Loop time since which the caller waits for its next event.
        is_resumed: Whether the request resumes a stream of which the caller already has events.
        min_first_event_s: Minimum time from placement to its first event.
        min_rest_s: Minimum time from its first event to the end of the response.
        excluded: Targets that must not receive it.
        only: The only targets that may receive it; None for no restriction.
        future: Receives the grant, or the error with which the request is refused.
    """

    job: Job
    prompt: Prompt | None
    waiting_since_s: float
    is_resumed: bool
    min_first_event_s: float
    min_rest_s: float
    excluded: frozenset[str]
    only: frozenset[str] | None
    future: asyncio.Future[Grant]

    @property
    def caller_leaves_at_s(self) -> float:
        """Return the loop time at which the caller stops waiting for its next event or response."""
        return min(self.job.deadline_s, self.waiting_since_s + stream_patience_s(self.job.route))

    @property
    def min_response_s(self) -> float:
        """Return the minimum time from placement to the end of the response."""
        return self.min_first_event_s + self.min_rest_s

    @property
    def expires_at_s(self) -> float:
        """Return the loop time from which on no response can come before the caller leaves."""
        return self.latest_first_event_at_s - self.min_first_event_s

    @property
    def latest_first_event_at_s(self) -> float:
        """Return the loop time until which the caller awaits its first event and can get the rest."""
        return min(self.caller_leaves_at_s, self.job.deadline_s - self.min_rest_s)

    def order(self, now_s: float) -> tuple[int, bool, float]:
        """Return the sort key that orders the queue; smaller keys are served first."""
        priority = self.job.route.priority
        if self.job.workspace is not None and self.job.workspace.priority is not None:
            priority = self.job.workspace.priority
        return priority, *self._time_key(now_s)

    def is_late(self, now_s: float) -> bool:
        """Return whether its first event will be late in any case."""
        is_late, _ = self._time_key(now_s)
        return is_late

    def _time_key(self, now_s: float) -> tuple[bool, float]:
        return queue_sort_key(due_in_s=self.due_in_s(now_s), min_latency_s=self.min_first_event_s)

    def due_in_s(self, now_s: float) -> float:
        """Return the time until its next event is due; zero or less for a resumed stream."""
        allowed_s = 0.0 if self.is_resumed else self.job.route.target_latency_s
        return self.waiting_since_s + allowed_s - now_s


def stream_patience_s(route: Route) -> float:
    """Return how long a caller awaits an event; infinite for calls, which only a deadline ends."""
    if route.kind is not RouteKind.STREAM:
        return math.inf
    return max(
        ABANDON_MIN_S,
        ABANDON_LATENCY_FACTOR * route.target_latency_s,
        ABANDON_GAP_FACTOR * (route.max_gap_s or 0.0),
    )


def estimate_min_first_event_s(prompt: Prompt | None, service: Service | None) -> float:
    """Estimate the minimum time from placement to the first event; 0 for a plain service."""
    if prompt is None or service is None or service.engine is None:
        return 0.0
    return min_first_event_s(service.engine, prompt.tokens)


def estimate_min_rest_s(prompt: Prompt | None, service: Service | None) -> float:
    """Estimate the minimum time from the first event to the end; 0 for a plain service."""
    if prompt is None or service is None or service.engine is None:
        return 0.0
    return write_s(service.engine, prompt.output_tokens, 1, prompt.tokens)
