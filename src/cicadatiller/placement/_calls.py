"""Selects the target of a call to a plain service.

Targets are ranked by recent call duration and current load, so that one slow target in a small
pool gets fewer calls.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from ._board import TargetLoad

CALL_TIME_MAX_AGE_S = 3.0


@dataclass(frozen=True, kw_only=True, slots=True)
class CallCandidate:
    """A target that may be assigned a call.

    Attributes:
        target_id: The target's instance id.
        load: The target's current load.
        slots: The number of calls that the target processes concurrently.
        is_near: Whether the target is in this entry's data centre.
    """

    target_id: str
    load: TargetLoad
    slots: int
    is_near: bool = False


def place_call(candidates: Sequence[CallCandidate], now_s: float) -> str | None:
    """Return the id of the target expected to respond first; None if no slot is free."""
    free = [c for c in candidates if c.load.in_flight < c.slots]
    if not free:
        return None
    known = [c.load.smoothed_call_s for c in candidates if _is_known(c, now_s)]
    # A target without a recent call duration is assumed to be as fast as the fastest, so that it
    # gets calls and is measured again.
    fastest_s = min(known, default=1.0)

    def rank(candidate: CallCandidate) -> tuple[float, bool]:
        expected_s = candidate.load.smoothed_call_s if _is_known(candidate, now_s) else fastest_s
        utilization = (candidate.load.in_flight + 1) / candidate.slots
        return expected_s * (1 + utilization), not candidate.is_near

    return min(free, key=rank).target_id


def _is_known(candidate: CallCandidate, now_s: float) -> bool:
    return now_s - candidate.load.last_call_end_s < CALL_TIME_MAX_AGE_S
