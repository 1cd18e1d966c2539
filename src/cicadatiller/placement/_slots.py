"""Forecasts how often slots become free for one entry."""

import math
from collections.abc import Iterable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ._board import TargetLoad

# The time constant of the exponential decay of counts and use.
SLOT_USE_DECAY_S = 3.0


class SlotUse:
    """The recent use of one target's slots; all of it decays with `SLOT_USE_DECAY_S`.

    Attributes:
        ends: The number of requests that ended and left a slot.
        peer_ends: Those of them that peers had placed.
        reused_by_peers: Those of the latter whose slot the peer gave to another request at once.
        used_s: The time for which slots were in use, in seconds, summed over the slots.
    """

    def __init__(self) -> None:
        self.ends = 0.0
        self.peer_ends = 0.0
        self.reused_by_peers = 0.0
        self.used_s = 0.0
        self._updated_s = -math.inf

    def advance(self, in_flight: int, now_s: float) -> None:
        """Apply the decay and the use since the last call.

        Args:
            in_flight: The number of requests in that time.
            now_s: The loop time.
        """
        passed_s = now_s - self._updated_s
        if passed_s <= 0:
            return
        decay = math.exp(-passed_s / SLOT_USE_DECAY_S)
        self.ends *= decay
        self.peer_ends *= decay
        self.reused_by_peers *= decay
        self.used_s = decay * self.used_s + (1.0 - decay) * SLOT_USE_DECAY_S * in_flight
        self._updated_s = now_s


def expected_slot_interval_s(loads: Iterable["TargetLoad"], owner: str, now_s: float) -> float:
    """Return the expected time until the next slot becomes free for an entry, in seconds.

    Each slot in use becomes free at the recent rate. The entry gets its own slots, as it is the
    first to know of their ends, and those of its peers except for the share that these use again.

    Args:
        loads: The loads of all targets that may take the entry's requests.
        owner: The owner of the entry's own work.
        now_s: The time on the event loop's clock.

    Returns:
        Infinity if no slot is in use.
    """
    ends = used_s = peer_ends = reused = 0.0
    in_use = own = 0
    for load in loads:
        use = load.slot_use(now_s)
        ends += use.ends
        used_s += use.used_s
        peer_ends += use.peer_ends
        reused += use.reused_by_peers
        hosted = [work for work in load.works.values() if work.writes]
        in_use += len(hosted)
        own += sum(work.owner == owner for work in hosted)
    if not used_s or not in_use:
        return math.inf
    # One more end is expected than was seen: none yet does not mean never.
    ends_per_slot_s = (ends + 1.0) / used_s
    left_share = 1.0 - reused / (peer_ends + 1.0)
    return 1.0 / (ends_per_slot_s * (own + left_share * (in_use - own)))
