"""Holds requests until a target has room for them."""

import asyncio
import itertools
import random
import statistics
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import Protocol

from ..fleet import Target, TargetDirectory, eject_failing, eject_slow, usable_targets
from ..kernel import ErrorKind, FailureError, fail
from ..placement import (
    Backlog,
    CallCandidate,
    Candidate,
    Demand,
    LoadBoard,
    Placing,
    Prompt,
    TargetLoad,
    Verdict,
    Work,
    expected_demand,
    judge,
    place_call,
    place_prompt,
)
from ..routes import EngineModel, Service
from ._job import Job
from ._prompts import describe_prompt, explain_refusal, split_work, with_time_left
from ._waiter import Grant, Waiter, caller_leaves_s, least_begin_s, least_work_s
from ._weights import WorthWeights

RECHECK_S = 0.01
NO_TARGET_RETRY_S = 1.0
MAX_RETRY_AFTER_S = 5.0
RETRY_SPREAD = 0.5
# A backlog that has lasted for a time is over after so many times that, in most cases.
BACKLOG_AGES = 2.5
RETRY_SHARE_OF_TIME = 0.6
# For this share of the time that a prompt may wait, it waits for a place that harms others little.
SETTLE_SHARE = 0.7
DEMAND_MAX_AGE_S = 0.1


MayTake = Callable[[str, TargetLoad, int, float], bool]


class WorkListener(Protocol):
    """Is told what this entry gives targets to do."""

    def work_added(self, works: tuple[Work, ...]) -> None:
        """Take the parts of a request that was placed."""

    def work_begun(self, work_id: str) -> None:
        """Take a request whose first event was seen."""

    def work_ended(self, work_id: str) -> None:
        """Take a request that is over."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _DatedDemand:
    demand: Demand
    worked_out_s: float


class Scheduler:
    """Places requests on targets, or has them wait their turn.

    Args:
        owner: This entry's name in the fleet.
        data_centre: Where it is.
        directory: The targets.
        board: What they have to do.
        services: Returns a service of the configuration in force.
        listener: Is told what is placed.
        ticket_risk: Returns the chance that a reservation of memory fails.
        weights: How requests are weighed.
        may_take: Tells whether this entry may give a target one more request now.
    """

    def __init__(
        self,
        *,
        owner: str,
        data_centre: str,
        directory: TargetDirectory,
        board: LoadBoard,
        services: Callable[[str], Service | None],
        listener: WorkListener,
        ticket_risk: Callable[[], float] = lambda: 0.0,
        weights: WorthWeights | None = None,
        may_take: MayTake = lambda target_id, load, slots, now_s: True,
    ) -> None:
        self._owner = owner
        self._data_centre = data_centre
        self._directory = directory
        self._board = board
        self._services = services
        self._listener = listener
        self._ticket_risk = ticket_risk
        self._weights = weights or WorthWeights()
        self._may_take = may_take
        self._waiters: list[Waiter] = []
        self._backlogs: dict[str, Backlog] = {}
        self._demands: dict[str, _DatedDemand] = {}
        self._counter = itertools.count(1)
        self._loop = asyncio.get_running_loop()
        self._recheck: asyncio.Handle | None = None

    @property
    def waiting(self) -> int:
        """Return how many requests wait."""
        return len(self._waiters)

    async def acquire(
        self,
        job: Job,
        *,
        excluded: Iterable[str] = (),
        only: frozenset[str] | None = None,
        is_begun: bool = False,
    ) -> Grant:
        """Return targets for a request, once they have room for it.

        Args:
            job: The request.
            excluded: Targets that it must not go to.
            only: The only targets that it may go to; None for any.
            is_begun: Whether its caller has events of it already, and so waits anew.

        Raises:
            FailureError: If it can't be served in time; it was not sent then.
        """
        service = self._services(job.service)
        since_s = self._loop.time() if is_begun else job.request.read_at_s
        leaves_s = caller_leaves_s(job, since_s)
        give_up_s = leaves_s - least_work_s(job, service)
        prompt = describe_prompt(job, service, self._weights)
        waiter = Waiter(
            job=job,
            prompt=prompt,
            since_s=since_s,
            is_begun=is_begun,
            least_s=least_begin_s(prompt, service),
            excluded=frozenset(excluded),
            only=only,
            settle_s=since_s + SETTLE_SHARE * (give_up_s - since_s),
            give_up_s=give_up_s,
            leaves_s=leaves_s,
            future=self._loop.create_future(),
        )
        grant = self._try(waiter, self._ahead_of(waiter))
        if grant is not None:
            return grant
        self._waiters.append(waiter)
        self._schedule_recheck(RECHECK_S)
        try:
            return await waiter.future
        except asyncio.CancelledError:
            if waiter.future.done() and not waiter.future.cancelled():
                self.release(waiter.future.result())
            raise
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    def begin(self, grant: Grant) -> None:
        """Note the first event of a request."""
        self._board.begin(grant.work_id, grant.target_ids, self._loop.time())
        self._listener.work_begun(grant.work_id)
        self.wake()

    def note_call(self, grant: Grant, taken_s: float) -> None:
        """Take how long a target of a plain service took for a whole answer."""
        load = self._board.load(grant.host.instance_id)
        load.note_call(taken_s, self._loop.time())

    def release(self, grant: Grant) -> None:
        """Note that a request is over at its targets."""
        self._board.remove(grant.work_id, grant.target_ids, self._loop.time())
        # Peers hear of the place that is free together with who takes it here, if anyone does.
        self.wake()
        self._listener.work_ended(grant.work_id)

    def wake(self) -> None:
        """Have waiting requests looked at, as something has changed."""
        if self._waiters:
            self._schedule_recheck(0.0)

    def _schedule_recheck(self, delay_s: float) -> None:
        if self._recheck is not None:
            if delay_s > 0:
                return
            self._recheck.cancel()
        if delay_s > 0:
            self._recheck = self._loop.call_later(delay_s, self._check_waiters)
        else:
            self._recheck = self._loop.call_soon(self._check_waiters)

    def _check_waiters(self) -> None:
        self._recheck = None
        now_s = self._loop.time()
        ahead: Counter[str] = Counter()
        for waiter in sorted(self._waiters, key=lambda waiter: waiter.order(now_s)):
            service = waiter.job.service
            if not waiter.future.done():
                self._check(waiter, ahead[service], now_s)
            if waiter.future.done():
                self._waiters.remove(waiter)
            else:
                ahead[service] += 1
        if self._waiters:
            self._schedule_recheck(RECHECK_S)

    def _check(self, waiter: Waiter, ahead: int, now_s: float) -> None:
        try:
            grant = self._try(waiter, ahead)
        except Exception as error:
            waiter.future.set_exception(error)
            return
        if grant is not None:
            self._backlog(waiter).note_grant(now_s)
            waiter.future.set_result(grant)
        elif now_s >= waiter.give_up_s:
            waited_s = now_s - waiter.since_s
            reason = f"it found no good place within {waited_s:.1f} s"
            waiter.future.set_exception(self._refusal(waiter, reason))

    def _ahead_of(self, waiter: Waiter) -> int:
        now_s = self._loop.time()
        turn = waiter.order(now_s)
        service = waiter.job.service
        return sum(w.job.service == service and w.order(now_s) < turn for w in self._waiters)

    def _backlog(self, waiter: Waiter) -> Backlog:
        return self._backlogs.setdefault(waiter.job.service, Backlog())

    def _try(self, waiter: Waiter, ahead: int) -> Grant | None:
        """Return targets for a request, or None if it is to wait.

        Raises:
            FailureError: If it can't be served.
        """
        now_s = self._loop.time()
        pool = self._pool_for(waiter, now_s)
        service = self._services(waiter.job.service)
        if service is None or service.engine is None or waiter.prompt is None:
            if waiter.only is not None:
                pool = [target for target in pool if target.instance_id in waiter.only]
            grant = self._place_call(pool, now_s)
        elif not self._has_slot(pool, service.engine):
            grant = None
        else:
            prompt = with_time_left(waiter, now_s)
            placing = self._choose(waiter, prompt, service.engine, pool, now_s)
            if placing is not None:
                return self._settle(waiter, prompt, placing, service.engine, pool, now_s)
            grant = None
        if grant is None and waiter.only is None:
            self._wait_for_room(waiter, ahead, now_s)
        return grant

    def _pool_for(self, waiter: Waiter, now_s: float) -> list[Target]:
        job = waiter.job
        pool = self._directory.targets_of(job.service)
        if not pool:
            raise fail(
                ErrorKind.NO_TARGET,
                f"no target of {job.service} is ready",
                retry_after_s=NO_TARGET_RETRY_S,
            )
        eject_failing(pool, now_s)
        eject_slow(pool, now_s)
        usable = usable_targets(pool, now_s)
        untried = [target for target in usable if target.instance_id not in waiter.excluded]
        if not untried:
            untried = [target for target in pool if target.instance_id not in waiter.excluded]
        if not untried:
            raise fail(ErrorKind.NO_TARGET, f"all targets of {job.service} were tried")
        return untried

    def _has_slot(self, pool: list[Target], model: EngineModel) -> bool:
        return any(self._board.load(t.instance_id).in_flight < model.slots for t in pool)

    def _wait_for_room(self, waiter: Waiter, ahead: int, now_s: float) -> None:
        """Have a request wait, or refuse it if others will have taken all room until it is due."""
        backlog = self._backlog(waiter)
        backlog.note_waiting(now_s)
        due_in_s = waiter.due_in_s(now_s)
        if not waiter.is_begun and backlog.waits_in_vain(
            now_s, due_in_s=due_in_s, least_s=waiter.least_s, ahead=ahead
        ):
            reason = f"{ahead} waiting before it, room for one every {backlog.interval_s:.2f} s"
            raise self._refusal(waiter, f"{reason}, and it is due in {due_in_s:.2f} s")

    def _refusal(self, waiter: Waiter, reason: str) -> FailureError:
        return fail(
            ErrorKind.OVERLOADED,
            f"the targets of {waiter.job.service} are overloaded: {reason}",
            retry_after_s=self._retry_after_s(waiter, self._loop.time()),
        )

    def _place_call(self, pool: list[Target], now_s: float) -> Grant | None:
        candidates = [
            CallCandidate(
                target_id=target.instance_id,
                load=self._board.load(target.instance_id),
                slots=target.record.slots,
                is_near=target.record.data_centre == self._data_centre,
            )
            for target in pool
        ]
        host_id = place_call(candidates, now_s)
        if host_id is None:
            return None
        host = next(target for target in pool if target.instance_id == host_id)
        work = Work(
            work_id=self._new_work_id(),
            owner=self._owner,
            target_id=host_id,
            placed_s=now_s,
        )
        return self._grant(Grant(work_id=work.work_id, host=host), (work,))

    def _choose(
        self,
        waiter: Waiter,
        prompt: Prompt,
        model: EngineModel,
        pool: list[Target],
        now_s: float,
    ) -> Placing | None:
        candidates = [
            Candidate(
                target_id=target.instance_id,
                load=self._board.load(target.instance_id),
                is_near=target.record.data_centre == self._data_centre,
                may_host=self._may_host(waiter, target, model, now_s),
                may_help=target.may_help(now_s),
            )
            for target in pool
        ]
        return place_prompt(
            prompt,
            candidates,
            model,
            now_s,
            ticket_risk=self._ticket_risk(),
            demand=self._demand(waiter.job.service, model, now_s),
        )

    def _settle(
        self,
        waiter: Waiter,
        prompt: Prompt,
        placing: Placing,
        model: EngineModel,
        pool: list[Target],
        now_s: float,
    ) -> Grant | None:
        verdict = self._judge(waiter, placing, prompt, model, now_s)
        if verdict is Verdict.REFUSE:
            raise self._refusal(waiter, explain_refusal(placing, prompt))
        if verdict is Verdict.WAIT:
            return None
        by_id = {target.instance_id: target for target in pool}
        works = split_work(
            prompt,
            placing,
            model,
            work_id=self._new_work_id(),
            owner=self._owner,
            now_s=now_s,
        )
        grant = Grant(
            work_id=works[0].work_id,
            host=by_id[placing.host_id],
            helpers=tuple(by_id[helper_id] for helper_id in placing.helper_ids),
            placing=placing,
        )
        return self._grant(grant, works)

    def _may_host(self, waiter: Waiter, target: Target, model: EngineModel, now_s: float) -> bool:
        if waiter.only is not None and target.instance_id not in waiter.only:
            return False
        load = self._board.load(target.instance_id)
        return self._may_take(target.instance_id, load, model.slots, now_s)

    def _judge(
        self, waiter: Waiter, placing: Placing, prompt: Prompt, model: EngineModel, now_s: float
    ) -> Verdict:
        # A stream that broke off waits as long as its caller: the rest is worth something late, too.
        is_late = prompt.due_in_s <= 0 and not waiter.is_begun
        is_in_vain = is_late and self._backlog(waiter).is_lasting(now_s)
        demand = self._demand(waiter.job.service, model, now_s)
        is_settled = is_in_vain or now_s >= waiter.settle_s
        return judge(placing, prompt, demand, is_settled=is_settled)

    def _demand(self, service: str, model: EngineModel, now_s: float) -> Demand:
        """Return what to expect of a service's callers; not worked out anew for every request."""
        dated = self._demands.get(service)
        if dated is None or now_s - dated.worked_out_s >= DEMAND_MAX_AGE_S:
            pool = self._directory.targets_of(service)
            loads = [self._board.load(target.instance_id) for target in pool]
            waiting = [w.prompt for w in self._waiters if w.job.service == service and w.prompt]
            demand = expected_demand(loads, waiting, model, now_s)
            dated = _DatedDemand(demand=demand, worked_out_s=now_s)
            self._demands[service] = dated
        return dated.demand

    def _grant(self, grant: Grant, works: tuple[Work, ...]) -> Grant:
        now_s = self._loop.time()
        load = self._board.load(grant.host.instance_id)
        wait_s = load.read_wait_s(now_s)
        grant.host.breaker.note_use(now_s)
        self._board.add(works)
        self._listener.work_added(works)
        return replace(
            grant, host_in_flight=load.in_flight, host_pace=load.pace, host_wait_s=wait_s
        )

    def _retry_after_s(self, waiter: Waiter, now_s: float) -> float:
        """Return when there should be room.

        How long a backlog will last is not known, but the older it is, the longer; a caller that
        comes back too soon is refused again.
        """
        job = waiter.job
        pool = self._directory.targets_of(job.service)
        waits_s = [self._board.load(t.instance_id).read_wait_s(now_s) for t in pool]
        expected_s = max(
            statistics.median(waits_s) if waits_s else NO_TARGET_RETRY_S,
            BACKLOG_AGES * self._backlog(waiter).lasted_s(now_s),
            job.route.target_latency_s / 2,
        )
        # Callers that come back all at once would be a burst of their own.
        spread_s = expected_s * random.uniform(1.0, 1.0 + RETRY_SPREAD)
        time_left_s = RETRY_SHARE_OF_TIME * (job.caller_limit_s - now_s)
        return round(max(0.0, min(MAX_RETRY_AFTER_S, spread_s, time_left_s)), 3)

    def _new_work_id(self) -> str:
        return f"{self._owner}-{next(self._counter)}"
