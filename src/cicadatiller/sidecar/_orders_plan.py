"""Computes which models one engine should serve."""

from dataclasses import dataclass

from ..config import ConfigState, Model
from ..targets import ModelRef
from ._slots import Slot, SlotView, rank_slots

# A slot that serves a model keeps it while it ranks at most this far below the last replica.
HYSTERESIS_SLOTS = 1


@dataclass(frozen=True, kw_only=True)
class WantedModel:
    """A model that this slot should serve.

    Attributes:
        name: The model.
        model: Its configuration.
        refs: The model without an adapter, then with each adapter.
        slots: The slots that should serve it, by rank.
    """

    name: str
    model: Model
    refs: tuple[ModelRef, ...]
    slots: tuple[Slot, ...]


@dataclass(frozen=True, kw_only=True)
class Plan:
    """The models of the deployment, divided into those for this slot and the others.

    Attributes:
        wanted: The models to serve here.
        elsewhere: The models that other slots should serve.
    """

    wanted: tuple[WantedModel, ...]
    elsewhere: tuple[WantedModel, ...]

    def is_reached(self, loaded: tuple[ModelRef, ...]) -> bool:
        """Return whether the engine serves exactly the models that it should."""
        return set(loaded) == {ref for item in self.wanted for ref in item.refs}

    def find(self, name: str) -> WantedModel | None:
        """Return a model of the deployment, or None if it has no such model."""
        models = self.wanted + self.elsewhere
        return next((item for item in models if item.name == name), None)


class Planner:
    """Computes the plan for this slot.

    The models are collected from the configuration only when its offset has changed.

    Args:
        deployment: The deployment.
        own_name: The slot of this sidecar.
        view: The slots of the deployment.
    """

    def __init__(self, *, deployment: str, own_name: str, view: SlotView) -> None:
        self._deployment = deployment
        self._own_name = own_name
        self._view = view
        self._models_offset = -1
        self._models: tuple[tuple[str, Model], ...] = ()

    def plan(self, state: ConfigState, loaded: tuple[ModelRef, ...]) -> Plan | None:
        """Return the plan; None while the configuration or the slots are not known yet.

        The slots are needed only if a model limits its replicas.
        """
        if state.deployment(self._deployment) is None:
            return None
        self._find_models(state)
        if not self._view.synced and any(model.replicas for _, model in self._models):
            return None
        slots = self._view.slots()
        wanted = []
        elsewhere = []
        for name, model in self._models:
            serves_now = any(ref.model == name for ref in loaded)
            item = self._assign(name, model, slots)
            if self._is_assigned_here(item, slots, serves_now):
                wanted.append(item)
            else:
                elsewhere.append(item)
        return Plan(wanted=tuple(wanted), elsewhere=tuple(elsewhere))

    def _find_models(self, state: ConfigState) -> None:
        if state.offset == self._models_offset:
            return
        self._models_offset = state.offset
        self._models = tuple(
            (name, item.value)
            for (_, name), item in sorted(state.objects.items())
            if isinstance(item.value, Model) and item.value.deployment == self._deployment
        )

    def _assign(self, name: str, model: Model, slots: tuple[Slot, ...]) -> WantedModel:
        ranked = rank_slots(name, slots)
        refs = [ModelRef(model=name, version=model.version)]
        refs += [ModelRef(model=name, version=model.version, adapter=a) for a in model.adapters]
        chosen = ranked[: model.replicas] if model.replicas else ranked
        return WantedModel(name=name, model=model, refs=tuple(refs), slots=chosen)

    def _is_assigned_here(
        self, item: WantedModel, slots: tuple[Slot, ...], serves_now: bool
    ) -> bool:
        if any(slot.name == self._own_name for slot in item.slots):
            return True
        if not serves_now:
            return False
        names = [slot.name for slot in rank_slots(item.name, slots)]
        return names.index(self._own_name) < item.model.replicas + HYSTERESIS_SLOTS
