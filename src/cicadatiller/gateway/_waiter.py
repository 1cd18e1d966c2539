"""Requests that wait for a target, and the grants that assign targets to them."""

import asyncio
from dataclasses import dataclass

from ..fleet import Target
from ..placement import Placement, Prompt, min_first_event_s, pass_s, queue_sort_key, read_s
from ..routes import Service
from ._job import Job

MIN_PATIENCE_S = 2.0
PATIENCE_LATENCY_FACTOR = 4
PATIENCE_GAP_FACTOR = 8


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
    """

    work_id: str
    host: Target
    helpers: tuple[Target, ...] = ()
    placement: Placement | None = None
    host_in_flight: int = 0
    host_pace: float = 1.0
    host_wait_s: float = 0.0

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
        excluded: Targets that must not receive it.
        only: The only targets that may receive it; None for no restriction.
        decide_at_s: From then on the best target with a free slot is used, or the request refused;
            waiting for a smaller loss to others ends.
        expires_at_s: From then on no response can arrive before its caller leaves.
        caller_leaves_at_s: When its caller is expected to stop waiting.
        future: Receives the grant, or the error with which the request is refused.
    """

    job: Job
    prompt: Prompt | None
    waiting_since_s: float
    is_resumed: bool
    min_first_event_s: float
    excluded: frozenset[str]
    only: frozenset[str] | None
    decide_at_s: float
    expires_at_s: float
    caller_leaves_at_s: float
    future: asyncio.Future[Grant]

    def order(self, now_s: float) -> tuple[int, bool, float]:
        """Return the sort key that orders the queue; smaller keys are served first."""
        priority = self.job.route.priority
        if self.job.workspace is not None and self.job.workspace.priority is not None:
            priority = self.job.workspace.priority
        is_late, due_in_s = queue_sort_key(
            due_in_s=self.due_in_s(now_s), min_latency_s=self.min_first_event_s
        )
        return priority, is_late, due_in_s

    def due_in_s(self, now_s: float) -> float:
        """Return the time until its next event is due; zero or less for a resumed stream."""
        allowed_s = 0.0 if self.is_resumed else self.job.route.target_latency_s
        return self.waiting_since_s + allowed_s - now_s


def estimate_min_first_event_s(prompt: Prompt | None, service: Service | None) -> float:
    """Estimate the minimum time from placement to the first event; 0 for a plain service."""
    if prompt is None or service is None or service.engine is None:
        return 0.0
    return min_first_event_s(service.engine, prompt.tokens)


def estimate_caller_leaves_at_s(job: Job, waiting_since_s: float) -> float:
    """Estimate the loop time at which the caller stops waiting for the next part of a response."""
    route = job.route
    patience_s = max(
        MIN_PATIENCE_S,
        PATIENCE_LATENCY_FACTOR * route.target_latency_s,
        PATIENCE_GAP_FACTOR * (route.max_gap_s or 0.0),
    )
    return min(job.deadline_s, waiting_since_s + patience_s)


def estimate_min_service_s(job: Job, service: Service | None) -> float:
    """Estimate the minimum time from placement to the response."""
    if service is None or service.engine is None:
        return job.route.target_latency_s / 2
    model = service.engine
    return read_s(model, job.fields.prompt_tokens) / 4 + pass_s(model, 1, 0)
