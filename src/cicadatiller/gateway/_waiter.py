"""Requests that wait for a target, and the targets that they get."""

import asyncio
from dataclasses import dataclass

from ..fleet import Target
from ..placement import Placing, Prompt, least_first_s, pass_s, queue_turn, read_s
from ..routes import Service
from ._job import Job

PATIENCE_MIN_S = 2.0
PATIENCE_LATENCIES = 4
PATIENCE_GAPS = 8


@dataclass(frozen=True, kw_only=True, slots=True)
class Grant:
    """The targets that a request was given.

    Attributes:
        work_id: Its work on the board.
        host: The target that gets the request.
        helpers: Targets that read parts of the prompt.
        placing: How it was placed; None for a plain service.
        host_in_flight: How many requests the host had, this one included.
        host_pace: How much slower the host was than its model says, as last known.
        host_wait_s: How long the host still had to read for others, as far as was known.
    """

    work_id: str
    host: Target
    helpers: tuple[Target, ...] = ()
    placing: Placing | None = None
    host_in_flight: int = 0
    host_pace: float = 1.0
    host_wait_s: float = 0.0

    @property
    def target_ids(self) -> tuple[str, ...]:
        """Return all targets that have a part."""
        return (self.host.instance_id, *(helper.instance_id for helper in self.helpers))


@dataclass(kw_only=True, slots=True)
class Waiter:
    """A request without a target.

    Attributes:
        job: The request.
        prompt: Its prompt at its arrival; None for a call of a plain service.
        since_s: Since when its caller has been waiting for its next event.
        is_begun: Whether its caller has events of it already.
        least_s: The least time to its first event, once it has a place.
        excluded: Targets that it must not go to.
        only: The only targets that it may go to; None for any.
        settle_s: From then on it starts at the best place there is, or not at all.
        give_up_s: From then on it can't be answered before its caller leaves.
        leaves_s: When its caller leaves.
        future: Takes its targets, or why it gets none.
    """

    job: Job
    prompt: Prompt | None
    since_s: float
    is_begun: bool
    least_s: float
    excluded: frozenset[str]
    only: frozenset[str] | None
    settle_s: float
    give_up_s: float
    leaves_s: float
    future: asyncio.Future[Grant]

    def order(self, now_s: float) -> tuple[int, bool, float]:
        """Return its turn; smaller ones come first."""
        priority = self.job.route.priority
        if self.job.workspace is not None and self.job.workspace.priority is not None:
            priority = self.job.workspace.priority
        is_late, due_in_s = queue_turn(due_in_s=self.due_in_s(now_s), least_s=self.least_s)
        return priority, is_late, due_in_s

    def due_in_s(self, now_s: float) -> float:
        """Return until when its answer is due; a stream that broke off is late already."""
        allowed_s = 0.0 if self.is_begun else self.job.route.target_latency_s
        return self.since_s + allowed_s - now_s


def least_begin_s(prompt: Prompt | None, service: Service | None) -> float:
    """Return about the least time to the first event of a request, once it has a place."""
    if prompt is None or service is None or service.engine is None:
        return 0.0
    return least_first_s(service.engine, prompt.tokens)


def caller_leaves_s(job: Job, since_s: float) -> float:
    """Return when the caller stops waiting for the next part of an answer."""
    route = job.route
    patience_s = max(
        PATIENCE_MIN_S,
        PATIENCE_LATENCIES * route.target_latency_s,
        PATIENCE_GAPS * (route.max_gap_s or 0.0),
    )
    return min(job.limit_s, since_s + patience_s)


def least_work_s(job: Job, service: Service | None) -> float:
    """Return the least time in which a request that was placed is answered."""
    if service is None or service.engine is None:
        return job.route.target_latency_s / 2
    model = service.engine
    return read_s(model, job.fields.prompt_tokens) / 4 + pass_s(model, 1, 0)
