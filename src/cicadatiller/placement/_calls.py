"""Chooses the target of a call to a plain service.

Answers loads in which one target of a few turns slow: the time that calls took at each target
decides, with those that are there already.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from ._board import TargetLoad

FRESH_S = 3.0


@dataclass(frozen=True, kw_only=True, slots=True)
class CallCandidate:
    """A target that may take a call.

    Attributes:
        target_id: The target.
        load: What it has to do.
        slots: The calls that it works on at once.
        is_near: Whether it is in this entry's data centre.
    """

    target_id: str
    load: TargetLoad
    slots: int
    is_near: bool = False


def place_call(candidates: Sequence[CallCandidate], now_s: float) -> str | None:
    """Return the id of the target that will answer first; None if all are full."""
    free = [c for c in candidates if c.load.in_flight < c.slots]
    if not free:
        return None
    known = [c.load.call_s for c in candidates if _is_known(c, now_s)]
    # A target that was not tried lately is taken for as fast as the fastest, so that it is tried.
    fastest_s = min(known, default=1.0)

    def rank(candidate: CallCandidate) -> tuple[float, bool]:
        call_s = candidate.load.call_s if _is_known(candidate, now_s) else fastest_s
        busy = (candidate.load.in_flight + 1) / candidate.slots
        return call_s * (1 + busy), not candidate.is_near

    return min(free, key=rank).target_id


def _is_known(candidate: CallCandidate, now_s: float) -> bool:
    return now_s - candidate.load.call_at_s < FRESH_S
