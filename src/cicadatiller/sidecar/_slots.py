"""The engine slots of a deployment and their order of preference for each model."""

from collections.abc import Iterable
from dataclasses import dataclass

from ..backing import Instance, InstanceKind, InstanceState
from ..kernel import rendezvous_weight

# The list lags and may omit instances for a while; a slot is removed only after this time.
GONE_AFTER_S = 10.0


@dataclass(frozen=True, kw_only=True)
class Slot:
    """An engine's place in a deployment.

    Attributes:
        name: The name of the engine's instance.
        address: The peer address of its sidecar.
    """

    name: str
    address: str


class SlotView:
    """The engine slots of one deployment, kept up to date from the platform's list.

    Args:
        own: The slot of this sidecar, which is always included.
        deployment: The name of the deployment.

    Attributes:
        synced: Whether the list was read at least once.
    """

    def __init__(self, *, own: Slot, deployment: str) -> None:
        self._own = own
        self._deployment = deployment
        self._seen: dict[str, tuple[Slot, float]] = {}
        self.synced = False

    def update_instances(self, listed: Iterable[Instance], now_s: float) -> None:
        """Apply the platform's list of instances; an empty one, as in an outage, is ignored."""
        instances = tuple(listed)
        if not instances:
            return
        self.synced = True
        for instance in instances:
            if instance.kind is not InstanceKind.ENGINE:
                continue
            if instance.deployment != self._deployment:
                continue
            if instance.state is InstanceState.LEAVING:
                self._seen.pop(instance.name, None)
                continue
            slot = Slot(name=instance.name, address=instance.address)
            self._seen[instance.name] = (slot, now_s)
        gone = [name for name, (_, at_s) in self._seen.items() if now_s - at_s > GONE_AFTER_S]
        for name in gone:
            del self._seen[name]

    def slots(self) -> tuple[Slot, ...]:
        """Return all slots, including that of this sidecar."""
        slots = {name: slot for name, (slot, _) in self._seen.items()}
        slots[self._own.name] = self._own
        return tuple(slots.values())


def rank_slots(model: str, slots: Iterable[Slot]) -> tuple[Slot, ...]:
    """Return the slots in their order of preference for a model, by rendezvous hash."""
    return tuple(sorted(slots, key=lambda slot: (rendezvous_weight(model, slot.name), slot.name)))
