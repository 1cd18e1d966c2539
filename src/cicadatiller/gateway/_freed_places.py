"""Which entry takes a target's last place when it becomes free."""

from collections.abc import Callable, Sequence

from ..kernel import rendezvous_weight
from ..placement import TargetLoad

# Longer than peers take to tell each other what they placed.
STEP_S = 0.004


class FreedPlaces:
    """Keeps entries from taking the same place.

    All that have requests waiting hear at the same time that a peer's request is over. They take
    the place one after the other, in an order that is another one for each target.

    Args:
        name: This entry.
        peers: Returns the other entries that are heard.
    """

    def __init__(self, *, name: str, peers: Callable[[], Sequence[str]]) -> None:
        self._name = name
        self._peers = peers

    def may_take(self, target_id: str, load: TargetLoad, slots: int, now_s: float) -> bool:
        """Tell whether this entry may give a target one more request now."""
        if load.in_flight < slots - 1:
            return True
        peers = self._peers()
        free_for_s = now_s - load.freed_by_peer_s
        if free_for_s >= len(peers) * STEP_S:
            return True
        return free_for_s >= self._rank(target_id, peers) * STEP_S

    def _rank(self, target_id: str, peers: Sequence[str]) -> int:
        own = rendezvous_weight(target_id, self._name)
        return sum(rendezvous_weight(target_id, peer) > own for peer in peers)
