"""Scheduling of requests onto targets, and the queue of requests that wait for a free slot."""

import asyncio
import itertools
import math
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import Protocol

from ..fleet import Target
from ..kernel import ErrorKind, FailureError, fail
from ..placement import (
    Ahead,
    Backlog,
    Demand,
    LoadBoard,
    Placement,
    Prompt,
    TargetLoad,
    Verdict,
    Work,
    evaluate_placement,
    expected_demand,
    expected_slot_interval_s,
    place_call,
    place_prompt,
)
from ..routes import EngineModel, Service
from ._candidates import CandidateTargets
from ._job import Job
from ._prompts import describe_prompt, explain_refusal, split_work, with_remaining_time
from ._retry_after import expected_free_s, quiet_retry_after_s, retry_after_s
from ._waiter import Grant, Waiter, estimate_min_first_event_s, estimate_min_rest_s
from ._weights import WorthWeights

RECHECK_INTERVAL_S = 0.01
FORECAST_MAX_AGE_S = 0.1


class WorkListener(Protocol):
    """Receives the start, first event and end of each request that this entry places."""

    def work_added(self, works: tuple[Work, ...]) -> None:
        """Handle a request that was placed; `works` has one item for each target."""

    def work_begun(self, work_id: str) -> None:
        """Handle the first event of a request."""

    def work_ended(self, work_id: str) -> None:
        """Handle the end of a request."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _Forecast:
    """What is expected of a service.

    Attributes:
        demand: The requests that are expected.
        slot_interval_s: The expected time until the next slot becomes free; infinite if unknown.
        computed_at_s: The loop time of the forecast.
    """

    demand: Demand
    slot_interval_s: float
    computed_at_s: float


class Scheduler:
    """Assigns requests to targets and queues those for which no target has a free slot.

    Args:
        owner: Id of this run of the entry, unique in the fleet; prefixes its work ids.
        candidates: Selects and describes the targets that may receive a request.
        board: The load of each target.
        services: Looks up a service by name in the current configuration.
        listener: Receives the start, first event and end of each placed request.
        reservation_risk: Returns the probability that a memory reservation fails.
        weights: Value of a request and its loss when late.
    """

    def __init__(
        self,
        *,
        owner: str,
        candidates: CandidateTargets,
        board: LoadBoard,
        services: Callable[[str], Service | None],
        listener: WorkListener,
        reservation_risk: Callable[[], float] = lambda: 0.0,
        weights: WorthWeights | None = None,
    ) -> None:
        self._owner = owner
        self._candidates = candidates
        self._board = board
        self._services = services
        self._listener = listener
        self._reservation_risk = reservation_risk
        self._weights = weights or WorthWeights()
        self._waiters: list[Waiter] = []
        self._backlogs: dict[str, Backlog] = {}
        self._forecasts: dict[str, _Forecast] = {}
        self._counter = itertools.count(1)
        self._loop = asyncio.get_running_loop()
        self._recheck_handle: asyncio.Handle | None = None

    @property
    def waiting(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiters)

    async def acquire(
        self,
        job: Job,
        *,
        excluded: Iterable[str] = (),
        only: frozenset[str] | None = None,
        is_resumed: bool = False,
    ) -> Grant:
        """Wait until targets have room for a request and assign it to them.

        Args:
            job: The request.
            excluded: Targets that must not receive it.
            only: The only targets that may receive it; None for no restriction.
            is_resumed: Whether this resumes a stream: its caller already has events, so its waiting
                time starts anew.

        Raises:
            FailureError: If no target is available, or the request can't be served in time. It was
                not sent in either case.
        """
        service = self._services(job.service)
        prompt = describe_prompt(job, service, self._weights)
        waiter = Waiter(
            job=job,
            prompt=prompt,
            waiting_since_s=self._loop.time() if is_resumed else job.request.read_at_s,
            is_resumed=is_resumed,
            min_first_event_s=estimate_min_first_event_s(prompt, service),
            # How much of a resumed stream is left is not known.
            min_rest_s=0.0 if is_resumed else estimate_min_rest_s(prompt, service),
            excluded=frozenset(excluded),
            only=only,
            future=self._loop.create_future(),
        )
        grant = self._try_place(waiter, self._count_ahead(waiter))
        if grant is not None:
            return grant
        self._waiters.append(waiter)
        self._schedule_recheck(RECHECK_INTERVAL_S)
        try:
            return await waiter.future
        except asyncio.CancelledError:
            if waiter.future.done() and not waiter.future.cancelled():
                self.release(waiter.future.result())
            raise
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    def record_first_event(self, grant: Grant) -> None:
        """Record the first event of a request."""
        self._board.record_first_event(grant.work_id, grant.target_ids, self._loop.time())
        self._listener.work_begun(grant.work_id)
        self.wake()

    def record_call(self, grant: Grant, duration_s: float) -> None:
        """Record the duration of a call to a target of a plain service."""
        load = self._board.load(grant.host.instance_id)
        load.record_call(duration_s, self._loop.time())

    def release(self, grant: Grant) -> None:
        """Release the slots of a request that has ended."""
        self._board.remove(grant.work_id, grant.target_ids, self._loop.time())
        # Waking first puts the end of this request and its local successor, if any, into the same
        # update to peers.
        self.wake()
        self._listener.work_ended(grant.work_id)

    def retry_after_s(self, job: Job) -> float:
        """Return when the caller of a request that a target refused should retry, in seconds."""
        now_s = self._loop.time()
        usable_from_s = self._candidates.usable_from_s(job.service, now_s)
        if now_s < usable_from_s < math.inf:
            return quiet_retry_after_s(usable_from_s, now_s)
        needed_s = self._min_response_s(job, self._services(job.service))
        return retry_after_s(job, self._expected_free_s(job.service), now_s, needed_s=needed_s)

    def refuse_waiting(self, refusal: Callable[[Job], FailureError | None]) -> None:
        """Refuse the waiting requests for which `refusal` returns an error."""
        for waiter in self._waiters:
            error = refusal(waiter.job)
            if error is not None and not waiter.future.done():
                waiter.future.set_exception(error)

    def wake(self) -> None:
        """Schedule a check of the waiting requests after a change of load or targets."""
        if self._waiters:
            self._schedule_recheck(0.0)

    def _schedule_recheck(self, delay_s: float) -> None:
        if self._recheck_handle is not None:
            if delay_s > 0:
                return
            self._recheck_handle.cancel()
        if delay_s > 0:
            self._recheck_handle = self._loop.call_later(delay_s, self._check_waiters)
        else:
            self._recheck_handle = self._loop.call_soon(self._check_waiters)

    def _check_waiters(self) -> None:
        self._recheck_handle = None
        now_s = self._loop.time()
        ahead: defaultdict[str, Ahead] = defaultdict(Ahead)
        for waiter in sorted(self._waiters, key=lambda waiter: waiter.order(now_s)):
            service = waiter.job.service
            if not waiter.future.done():
                self._check_waiter(waiter, ahead[service], now_s)
            if waiter.future.done():
                self._waiters.remove(waiter)
            else:
                ahead[service] = ahead[service].followed_by(is_late=waiter.is_late(now_s))
        if self._waiters:
            self._schedule_recheck(RECHECK_INTERVAL_S)

    def _check_waiter(self, waiter: Waiter, ahead: Ahead, now_s: float) -> None:
        try:
            grant = self._try_place(waiter, ahead)
        except Exception as error:
            waiter.future.set_exception(error)
            return
        if grant is not None:
            self._backlog(waiter).record_grant(now_s, is_late=waiter.is_late(now_s))
            waiter.future.set_result(grant)
        elif now_s >= waiter.expires_at_s:
            waited_s = now_s - waiter.waiting_since_s
            reason = f"no suitable target had a free slot within {waited_s:.1f} s"
            waiter.future.set_exception(self._refusal(waiter, reason))

    def _count_ahead(self, waiter: Waiter) -> Ahead:
        now_s = self._loop.time()
        own_key = waiter.order(now_s)
        ahead = Ahead()
        for other in self._waiters:
            if other.job.service == waiter.job.service and other.order(now_s) < own_key:
                ahead = ahead.followed_by(is_late=other.is_late(now_s))
        return ahead

    def _backlog(self, waiter: Waiter) -> Backlog:
        return self._backlogs.setdefault(waiter.job.service, Backlog())

    def _try_place(self, waiter: Waiter, ahead: Ahead) -> Grant | None:
        """Return the targets of a request, or None if it has to wait.

        Raises:
            FailureError: If no target is available or the request is refused.
        """
        now_s = self._loop.time()
        pool = self._candidates.select(waiter, now_s)
        service = self._services(waiter.job.service)
        if service is None or service.engine is None or waiter.prompt is None:
            if waiter.only is not None:
                pool = [target for target in pool if target.instance_id in waiter.only]
            grant = self._place_call(pool, now_s)
        elif not self._has_free_slot(pool, service.engine):
            grant = None
        else:
            prompt = with_remaining_time(waiter, now_s)
            placement = place_prompt(
                prompt,
                self._candidates.describe(waiter, pool, service.engine, now_s),
                service.engine,
                now_s,
                reservation_risk=self._reservation_risk(),
                demand=self._forecast(waiter.job.service, now_s).demand,
            )
            if placement is not None:
                return self._apply_verdict(waiter, prompt, placement, service.engine, pool, now_s)
            grant = None
        if grant is None and waiter.only is None:
            self._queue_or_refuse(waiter, ahead, now_s)
        return grant

    def _has_free_slot(self, pool: list[Target], model: EngineModel) -> bool:
        return any(self._board.load(t.instance_id).in_flight < model.slots for t in pool)

    def _queue_or_refuse(self, waiter: Waiter, ahead: Ahead, now_s: float) -> None:
        """Let a request wait, or refuse it if it would not be served before its caller leaves.

        A resumed stream is never refused for that, as how much of it is left is not known.

        Raises:
            FailureError: If it is refused.
        """
        backlog = self._backlog(waiter)
        backlog.record_waiting(now_s, is_late=waiter.is_late(now_s))
        if waiter.is_resumed or not backlog.is_lasting(now_s):
            return
        wait_s = backlog.expected_wait_s(
            now_s,
            ahead,
            is_late=waiter.is_late(now_s),
            slot_interval_s=self._forecast(waiter.job.service, now_s).slot_interval_s,
        )
        left_s = waiter.expires_at_s - now_s
        if wait_s > left_s:
            reason = f"{ahead.count} requests are ahead, its turn is expected in {wait_s:.2f} s"
            raise self._refusal(waiter, f"{reason}, and it has to begin in {left_s:.2f} s")

    def _refusal(self, waiter: Waiter, reason: str) -> FailureError:
        job = waiter.job
        now_s = self._loop.time()
        # What did not end while it was held will hardly end sooner.
        expected_s = max(self._expected_free_s(job.service), now_s - waiter.waiting_since_s)
        return fail(
            ErrorKind.OVERLOADED,
            f"the targets of service {job.service} are overloaded: {reason}",
            retry_after_s=retry_after_s(job, expected_s, now_s, needed_s=waiter.min_response_s),
        )

    def _expected_free_s(self, service: str) -> float:
        """Return the expected time until the targets of a service have room, in seconds."""
        now_s = self._loop.time()
        return expected_free_s(
            self._candidates.loads(service, now_s),
            now_s,
            slot_interval_s=self._forecast(service, now_s).slot_interval_s,
            backlog_age_s=self._backlogs.setdefault(service, Backlog()).lasted_s(now_s),
        )

    def _min_response_s(self, job: Job, service: Service | None) -> float:
        prompt = describe_prompt(job, service, self._weights)
        first_event_s = estimate_min_first_event_s(prompt, service)
        return first_event_s + estimate_min_rest_s(prompt, service)

    def _place_call(self, pool: list[Target], now_s: float) -> Grant | None:
        host_id = place_call(self._candidates.describe_for_call(pool), now_s)
        if host_id is None:
            return None
        host = next(target for target in pool if target.instance_id == host_id)
        work = Work(
            work_id=self._new_work_id(),
            owner=self._owner,
            target_id=host_id,
            placed_s=now_s,
        )
        return self._commit_grant(Grant(work_id=work.work_id, host=host), (work,))

    def _apply_verdict(
        self,
        waiter: Waiter,
        prompt: Prompt,
        placement: Placement,
        model: EngineModel,
        pool: list[Target],
        now_s: float,
    ) -> Grant | None:
        verdict = self._evaluate(waiter, placement, prompt, now_s)
        if verdict is Verdict.REFUSE:
            raise self._refusal(waiter, explain_refusal(placement, prompt))
        if verdict is Verdict.WAIT:
            return None
        by_id = {target.instance_id: target for target in pool}
        works = split_work(
            prompt,
            placement,
            model,
            work_id=self._new_work_id(),
            owner=self._owner,
            now_s=now_s,
        )
        grant = Grant(
            work_id=works[0].work_id,
            host=by_id[placement.host_id],
            helpers=tuple(by_id[helper_id] for helper_id in placement.helper_ids),
            placement=placement,
        )
        return self._commit_grant(grant, works)

    def _evaluate(
        self, waiter: Waiter, placement: Placement, prompt: Prompt, now_s: float
    ) -> Verdict:
        # A resumed stream may wait as long as its caller, as its rest has value even when late.
        is_late = prompt.due_in_s <= 0 and not waiter.is_resumed
        is_late_in_backlog = is_late and self._backlog(waiter).is_lasting(now_s)
        demand = self._forecast(waiter.job.service, now_s).demand
        must_decide = is_late_in_backlog or self._will_wait_in_vain(waiter, now_s)
        return evaluate_placement(placement, prompt, demand, must_decide=must_decide)

    def _will_wait_in_vain(self, waiter: Waiter, now_s: float) -> bool:
        """Return whether what a prompt waits for is not expected within its caller's time.

        What has not come for a time is not expected any sooner than after as long again. Two more
        checks of the queue may pass until the caller is told.
        """
        next_check_s = now_s + 2 * RECHECK_INTERVAL_S
        return next_check_s - waiter.waiting_since_s >= waiter.expires_at_s - next_check_s

    def _forecast(self, service: str, now_s: float) -> _Forecast:
        """Return the forecast of a service, cached for `FORECAST_MAX_AGE_S`."""
        cached = self._forecasts.get(service)
        if cached is None or now_s - cached.computed_at_s >= FORECAST_MAX_AGE_S:
            loads = self._candidates.loads(service, now_s)
            cached = _Forecast(
                demand=self._expected_demand(service, loads, now_s),
                slot_interval_s=expected_slot_interval_s(loads, self._owner, now_s),
                computed_at_s=now_s,
            )
            self._forecasts[service] = cached
        return cached

    def _expected_demand(self, name: str, loads: list[TargetLoad], now_s: float) -> Demand:
        service = self._services(name)
        if service is None or service.engine is None:
            return Demand()
        waiting = [w.prompt for w in self._waiters if w.job.service == name and w.prompt]
        return expected_demand(loads, waiting, service.engine, now_s)

    def _commit_grant(self, grant: Grant, works: tuple[Work, ...]) -> Grant:
        now_s = self._loop.time()
        load = self._board.load(grant.host.instance_id)
        wait_s = load.prefill_wait_s(now_s)
        grant.host.breaker.record_dispatch(now_s)
        grant.host.availability.record_send(now_s, is_own=True)
        self._board.add(works)
        self._listener.work_added(works)
        return replace(
            grant,
            host_in_flight=load.in_flight,
            host_pace=load.pace,
            host_wait_s=wait_s,
            host_call_s=load.smoothed_call_s,
        )

    def _new_work_id(self) -> str:
        return f"{self._owner}-{next(self._counter)}"
