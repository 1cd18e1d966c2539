"""Tells targets that ended together with their sidecars from those whose sidecar alone was lost.

A lost connection says nothing of the target. The next report of the sidecar shows whether the
target's run is still the same.
"""

from collections import OrderedDict

from ..fleet import FingerprintBreakers, RequestLoss
from ..membership import InstanceView

MAX_WAITING_LOSSES = 256


class LostSidecars:
    """Keeps the losses of requests whose sidecars were lost until the next reports of these.

    Args:
        breakers: The breakers of fingerprints.
        view: The instances that the entry knows.
    """

    def __init__(self, *, breakers: FingerprintBreakers, view: InstanceView) -> None:
        self._breakers = breakers
        self._view = view
        # By the sidecar's address, the target's run and the request.
        self._waiting: OrderedDict[tuple[str, str, str], RequestLoss] = OrderedDict()

    def run_at(self, address: str) -> str:
        """Return the run of the target at a sidecar; empty if it is not known."""
        target = self._view.target_at(address)
        return "" if target is None or target.load is None else target.load.target_run

    def add(self, address: str, run: str, loss: RequestLoss) -> None:
        """Keep a loss, which counts if the sidecar's next report names another run of the target."""
        self._waiting[(address, run, loss.request)] = loss
        if len(self._waiting) > MAX_WAITING_LOSSES:
            self._waiting.popitem(last=False)

    def observe(self, address: str, run: str, now_s: float) -> None:
        """Record the losses for which a sidecar's report shows that its target ended.

        Args:
            address: The sidecar's address.
            run: The run of its target; empty if it does not know it.
            now_s: The loop time.
        """
        if not self._waiting or not run:
            return
        for key in [key for key in self._waiting if key[0] == address]:
            loss = self._waiting.pop(key)
            _, earlier_run, _ = key
            if earlier_run != run:
                self._breakers.record_loss(loss, now_s)
