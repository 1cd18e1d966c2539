"""Decides which entry may use a target's last free slot first."""

from collections.abc import Callable, Sequence

from ..kernel import rendezvous_weight
from ..placement import TargetLoad

# Longer than an update about a placed request takes to reach the peers.
TURN_DELAY_S = 0.004


class SlotArbiter:
    """Prevents entries from placing requests on the same freed slot at once.

    All entries with waiting requests learn at the same time that a peer's request has ended. They
    may use the slot one after the other, `TURN_DELAY_S` apart, in an order that differs between
    targets.

    Args:
        name: Name of this entry.
        users: Returns the names of the connected entries that use a target, this one included, from
            the target's id.
    """

    def __init__(self, *, name: str, users: Callable[[str], Sequence[str]]) -> None:
        self._name = name
        self._users = users

    def may_place(self, target_id: str, load: TargetLoad, slots: int, now_s: float) -> bool:
        """Return whether this entry may place one more request on a target now.

        Args:
            target_id: The target.
            load: Its load.
            slots: The number of requests that it serves at a time.
            now_s: The loop time.
        """
        if load.in_flight < slots - 1:
            return True
        users = self._users(target_id)
        freed_for_s = now_s - load.freed_by_peer_s
        if freed_for_s >= (len(users) - 1) * TURN_DELAY_S:
            return True
        return freed_for_s >= self._rank(target_id, users) * TURN_DELAY_S

    def _rank(self, target_id: str, users: Sequence[str]) -> int:
        own = rendezvous_weight(target_id, self._name)
        return sum(rendezvous_weight(target_id, user) > own for user in users)
