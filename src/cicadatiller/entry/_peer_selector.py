"""Selects the sidecars that an entry stays connected to."""

import asyncio

from ..backing import Instance, InstanceKind
from ..membership import InstanceView, choose_subset, rendezvous_order
from ._peers import PeerPool

EXTRA_PEERS_PER_STEP = 8
MAX_EXTRA_PEERS = 64
EXTRA_PEER_LIFETIME_S = 60.0


class PeerSelector:
    """Keeps the pool connected to a bounded subset of the sidecars.

    Adds further sidecars for `EXTRA_PEER_LIFETIME_S` if no connected one has a model or service.

    Args:
        name: Name of the entry.
        data_centre: Data centre of the entry.
        view: The instances that the entry knows.
        pool: The connections to sidecars.
    """

    def __init__(self, *, name: str, data_centre: str, view: InstanceView, pool: PeerPool) -> None:
        self._name = name
        self._data_centre = data_centre
        self._view = view
        self._pool = pool
        self._extra_since_s: dict[str, float] = {}
        view.subscribe(self.refresh)

    def refresh(self) -> None:
        """Apply the current list of instances to the pool."""
        now_s = asyncio.get_running_loop().time()
        instances = {t.address: t.instance for t in self._view.targets()}
        chosen = choose_subset(self._name, self._data_centre, instances.values())
        for address, added_s in list(self._extra_since_s.items()):
            if address not in instances or now_s - added_s > EXTRA_PEER_LIFETIME_S:
                del self._extra_since_s[address]
        subset = {instance.address for pool in chosen.values() for instance in pool}
        self._pool.keep(subset | set(self._extra_since_s))

    def widen(self, deployment: str, wanted: str) -> None:
        """Connect to up to `EXTRA_PEERS_PER_STEP` more targets that may have a model or service.

        Args:
            deployment: The deployment.
            wanted: The model or service that no connected target has.
        """
        now_s = asyncio.get_running_loop().time()
        others = [
            target.instance
            for target in self._view.targets()
            if target.load is None and _may_have(target.instance, deployment, wanted)
        ]
        room = MAX_EXTRA_PEERS - len(self._extra_since_s)
        for instance in rendezvous_order(wanted, others)[: min(EXTRA_PEERS_PER_STEP, max(0, room))]:
            self._extra_since_s[instance.address] = now_s
        self.refresh()


def _may_have(instance: Instance, deployment: str, wanted: str) -> bool:
    if instance.deployment != deployment:
        return False
    return instance.kind is InstanceKind.ENGINE or instance.service == wanted
