"""The entries that use a target."""

from collections.abc import Callable

from ..fleet import TargetDirectory, TargetSubset


class TargetUsers:
    """Tells which entries use a target, and how much of its rate this one may count on.

    Args:
        name: Name of this entry.
        subset: The targets that entries use.
        connected_peers: Returns the names of the connected peers.
    """

    def __init__(
        self, *, name: str, subset: TargetSubset, connected_peers: Callable[[], tuple[str, ...]]
    ) -> None:
        self._name = name
        self._subset = subset
        self._connected_peers = connected_peers

    def connected(self, target_id: str) -> list[str]:
        """Return the connected entries that use a target, this one included."""
        return self._subset.users(target_id, (self._name, *self._connected_peers()))

    def count(self, target_id: str) -> tuple[int, int]:
        """Return how many connected entries use a target, at least 1, and how many entries do."""
        users = len(self._subset.users(target_id, self._subset.entries))
        return max(1, len(self.connected(target_id))), users

    def share_stated_rates(self, directory: TargetDirectory, now_s: float) -> None:
        """Leave to the entries that are not connected their part of what targets take."""
        for target in directory.limited():
            connected, users = self.count(target.instance_id)
            share = connected / max(connected, users)
            target.availability.rate.set_connected_share(share, now_s)
