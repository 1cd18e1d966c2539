"""Estimates how many requests an entry does not know of, which others have placed on a target.

Serves loads in which many entries place short streams on the same targets: each learns of the
placements of the others some milliseconds late, or not at all while it is cut off from them, so the
last free slots of a target may be taken already.
"""

from collections.abc import Callable, Sequence

from ..placement import TargetLoad

# An entry that was not heard for longer is taken to be gone.
MAX_UNHEARD_S = 15.0


class Contention:
    """Estimates the requests of other entries that this entry has not learnt of.

    Args:
        owner: The owner of this entry's own work.
        view_age_s: Returns the age of this entry's view of its peers' work.
        unheard_s: Returns the time since the link of each peer timed out, by name.
        users: Returns those of some entries that use a target, from the target's id.
        own_requests: Returns the number of requests that this entry has in flight.
        own_targets: Returns the number of targets that this entry uses.
    """

    def __init__(
        self,
        *,
        owner: str,
        view_age_s: Callable[[], float],
        unheard_s: Callable[[], dict[str, float]],
        users: Callable[[str, Sequence[str]], Sequence[str]],
        own_requests: Callable[[], int],
        own_targets: Callable[[], int],
    ) -> None:
        self._owner = owner
        self._view_age_s = view_age_s
        self._unheard_s = unheard_s
        self._users = users
        self._own_requests = own_requests
        self._own_targets = own_targets

    def unknown_requests(self, target_id: str, load: TargetLoad, now_s: float) -> float:
        """Return the expected number of requests on a target that this entry does not know of.

        Args:
            target_id: The target.
            load: Its load as far as this entry knows.
            now_s: The time on the event loop's clock.
        """
        requests = self._requests_of_unheard(target_id)
        rate_per_s = load.recent_rate_of_others_per_s(self._owner, now_s)
        return requests + rate_per_s * self._view_age_s() if rate_per_s else requests

    def _requests_of_unheard(self, target_id: str) -> float:
        """Return the load by peers that may still work, though no update of theirs arrives.

        They are taken to have as many requests as this entry, evenly on their targets.
        """
        unheard = [name for name, time_s in self._unheard_s().items() if time_s < MAX_UNHEARD_S]
        if not unheard:
            return 0.0
        requests_per_target = self._own_requests() / max(1, self._own_targets())
        return len(self._users(target_id, unheard)) * requests_per_target
