"""The targets that may receive a request, as the placement policy sees them."""

import functools
import math
from collections.abc import Callable, Sequence

from ..fleet import Target, eject_failing, eject_slow, select_open, select_usable, usable_from_s
from ..kernel import MAX_RENDEZVOUS_WEIGHT, ErrorKind, fail, rendezvous_weight
from ..placement import CallCandidate, Candidate, LoadBoard, TargetLoad
from ..routes import EngineModel
from ._retry_after import NO_TARGET_RETRY_S, quiet_retry_after_s
from ._waiter import Waiter

# More than the targets that one entry uses at a time.
MAX_PREFERENCES = 4096

MayPlace = Callable[[str, TargetLoad, int, float], bool]
UnknownRequests = Callable[[str, TargetLoad, float], float]


class CandidateTargets:
    """Selects the targets that may receive a request and describes them.

    Args:
        owner: Id of this run of the entry, by which it ranks targets that are otherwise equal.
        data_centre: Data centre of this entry.
        targets: Returns the targets of a service that this entry uses and that do not leave.
        spare_targets: Returns all targets of a service that do not leave; used if none of the
            others is left for a request.
        board: The load of each target.
        unknown_requests: Returns the expected number of requests on a target that other entries
            have placed and this entry does not know of, from the target's id, load and the time.
        may_place: Returns whether this entry may place one more request on a target now, from the
            target's id, load and slots and the time.
    """

    def __init__(
        self,
        *,
        owner: str,
        data_centre: str,
        targets: Callable[[str], list[Target]],
        spare_targets: Callable[[str], list[Target]],
        board: LoadBoard,
        unknown_requests: UnknownRequests = lambda target_id, load, now_s: 0.0,
        may_place: MayPlace = lambda target_id, load, slots, now_s: True,
    ) -> None:
        self._owner = owner
        self._data_centre = data_centre
        self._targets = targets
        self._spare_targets = spare_targets
        self._board = board
        self._unknown_requests = unknown_requests
        self._may_place = may_place
        self._preference = functools.lru_cache(MAX_PREFERENCES)(self._make_preference)

    def loads(self, service: str, now_s: float) -> list[TargetLoad]:
        """Return the load of each target of a service that this entry may use now."""
        pool = select_open(self._targets(service), now_s)
        return [self._board.load(target.instance_id) for target in pool]

    def usable_from_s(self, service: str, now_s: float) -> float:
        """Return when the first target of a service may be used, `now_s` if one may be already."""
        return usable_from_s(self._spare_targets(service), now_s)

    def select(self, waiter: Waiter, now_s: float) -> list[Target]:
        """Return the targets of a request's service that may be tried now.

        Returns:
            At least one target; none if the request may wait until a target can be used.

        Raises:
            FailureError: If there is none.
        """
        job = waiter.job
        pool = self._targets(job.service) or self._spare_targets(job.service)
        if not pool:
            raise fail(
                ErrorKind.NO_TARGET,
                f"service {job.service} has no ready target",
                retry_after_s=NO_TARGET_RETRY_S,
            )
        eject_failing(pool, now_s)
        eject_slow(pool, now_s)
        untried = _untried(waiter, select_usable(pool, now_s))
        if not untried or not _has_permitted(waiter, untried):
            untried = _untried(waiter, select_open(self._spare_targets(job.service), now_s))
        if not _has_permitted(waiter, untried):
            self._check_wait(waiter, now_s)
            return []
        return untried

    def _check_wait(self, waiter: Waiter, now_s: float) -> None:
        """Check that a request may wait until a target can be used that can't be now.

        All may wait for a target that only limits its rate, and resumed streams for one that wants
        no requests.

        Raises:
            FailureError: If it may not: its caller is told at once.
        """
        job = waiter.job
        pool = self._spare_targets(job.service)
        if waiter.only is not None:
            pool = [target for target in pool if target.instance_id in waiter.only]
        untried = _untried(waiter, pool)
        if not waiter.is_resumed:
            untried = [target for target in untried if target.is_usable(now_s)]
        if _can_wait_for(waiter, untried, now_s):
            return
        from_s = usable_from_s(pool, now_s)
        if from_s <= now_s or from_s == math.inf:
            raise fail(
                ErrorKind.NO_TARGET,
                f"all ready targets of service {job.service} were already tried",
            )
        raise fail(
            ErrorKind.OVERLOADED,
            f"all targets of service {job.service} want no requests for {from_s - now_s:.1f} s",
            retry_after_s=quiet_retry_after_s(from_s, now_s),
        )

    def describe(
        self, waiter: Waiter, pool: list[Target], model: EngineModel, now_s: float
    ) -> list[Candidate]:
        """Describe targets with engines."""
        return [self._describe(waiter, target, model, now_s) for target in pool]

    def describe_for_call(self, pool: list[Target]) -> list[CallCandidate]:
        """Describe targets of a plain service."""
        return [
            CallCandidate(
                target_id=target.instance_id,
                load=self._board.load(target.instance_id),
                slots=target.record.slots,
                is_near=target.record.data_centre == self._data_centre,
            )
            for target in pool
        ]

    def _describe(
        self, waiter: Waiter, target: Target, model: EngineModel, now_s: float
    ) -> Candidate:
        target_id = target.instance_id
        load = self._board.load(target_id)
        is_allowed = waiter.only is None or target_id in waiter.only
        return Candidate(
            target_id=target_id,
            load=load,
            is_near=target.record.data_centre == self._data_centre,
            may_host=is_allowed and self._may_place(target_id, load, model.slots, now_s),
            may_help=target.may_help(now_s),
            unknown_requests=self._unknown_requests(target_id, load, now_s),
            preference=self._preference(target_id),
        )

    def _make_preference(self, target_id: str) -> float:
        return rendezvous_weight(self._owner, target_id) / MAX_RENDEZVOUS_WEIGHT


def _can_wait_for(waiter: Waiter, pool: Sequence[Target], now_s: float) -> bool:
    return usable_from_s(pool, now_s) < waiter.expires_at_s


def _untried(waiter: Waiter, pool: Sequence[Target]) -> list[Target]:
    return [target for target in pool if target.instance_id not in waiter.excluded]


def _has_permitted(waiter: Waiter, pool: Sequence[Target]) -> bool:
    """Return whether a request may be sent to a target of a pool."""
    if waiter.only is None:
        return bool(pool)
    return any(target.instance_id in waiter.only for target in pool)
