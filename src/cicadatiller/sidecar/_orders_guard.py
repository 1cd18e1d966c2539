"""Decides when an engine may replace or unload a model, from what other sidecars report."""

import asyncio
import enum

from ..targets import ModelRef
from ._orders_plan import WantedModel
from ._peers import SidecarPeers
from ._slots import Slot

MAX_PROBES = 8
SKIP_ABSENT_AFTER_S = 60.0
SLOTS_PER_SWAP = 4


class RolloutDecision(enum.Enum):
    """How a slot may change to a new version of a model."""

    WAIT = "others come first"
    SWAP = "give up the old version for the new one"
    OVERLAP = "keep the old version until the new one serves"


class AvailabilityGuard:
    """Keeps a model available while its versions roll out and while it is unloaded.

    Other sidecars are asked which models they serve only while a decision depends on it. A version
    rolls out in the order of the slots. A slot swaps once the number of earlier slots without the
    new version is below the number that may swap at the same time. An earlier slot counts as
    updated only after it has reported the version, so outdated information delays a swap and never
    allows too many. A version that fails to load stops the rollout at that slot. Where too few
    other slots serve the model, the slot keeps the old version until the new one serves.

    Args:
        own_name: The slot of this sidecar.
        peers: The connections to other sidecars.
    """

    def __init__(self, *, own_name: str, peers: SidecarPeers) -> None:
        self._own_name = own_name
        self._peers = peers
        self._updated_slots: dict[ModelRef, set[str]] = {}
        self._absent_since_s: dict[str, float] = {}

    async def rollout_decision(self, item: WantedModel) -> RolloutDecision:
        """Return how this slot may replace an older version now."""
        target = item.refs[0]
        self._end_other_rollouts(target)
        names = [slot.name for slot in item.slots]
        if self._own_name not in names:
            return RolloutDecision.SWAP
        earlier = item.slots[: names.index(self._own_name)]
        others = len(item.slots) - 1
        max_swaps = max(
            1, min(len(item.slots) // SLOTS_PER_SWAP, others + 1 - item.model.min_available)
        )
        await self._probe(earlier, target)
        updated = self._updated_slots.setdefault(target, set())
        pending = [
            slot for slot in earlier if slot.name not in updated and not self._is_skipped(slot)
        ]
        if len(pending) >= max_swaps:
            return RolloutDecision.WAIT
        serving = await self._serving(item, any_version=True)
        return (
            RolloutDecision.SWAP if serving >= item.model.min_available else RolloutDecision.OVERLAP
        )

    def end_rollouts(self) -> None:
        """Forget which slots were updated: a version may be rolled back and rolled out again."""
        self._updated_slots.clear()

    def _end_other_rollouts(self, target: ModelRef) -> None:
        for ref in list(self._updated_slots):
            if ref.model == target.model and ref != target:
                del self._updated_slots[ref]

    async def may_unload(self, item: WantedModel) -> bool:
        """Return whether enough of the slots that should serve a model do so."""
        needed = min(len(item.slots), max(1, item.model.min_available))
        return await self._serving(item, any_version=False) >= needed

    async def _probe(self, slots: tuple[Slot, ...], target: ModelRef) -> None:
        updated = self._updated_slots.setdefault(target, set())
        unseen = [slot for slot in slots if slot.name not in updated][:MAX_PROBES]
        served = await asyncio.gather(*(self._loaded_models(slot) for slot in unseen))
        for slot, models in zip(unseen, served, strict=True):
            if str(target) in models:
                updated.add(slot.name)
            self._record_absence(slot, not _serves_any(target.model, models))

    async def _serving(self, item: WantedModel, *, any_version: bool) -> int:
        """Count other slots that serve a model, up to `min_available` or 1 if that is zero."""
        target = str(item.refs[0])
        count = 0
        for slot in item.slots:
            if count >= max(1, item.model.min_available):
                break
            if slot.name == self._own_name:
                continue
            models = await self._loaded_models(slot)
            if any_version:
                count += _serves_any(item.name, models)
            else:
                count += target in models
        return count

    async def _loaded_models(self, slot: Slot) -> tuple[str, ...]:
        load = await self._peers.load(slot.address)
        return () if load is None or load.leaving else load.loaded

    def _record_absence(self, slot: Slot, absent: bool) -> None:
        if absent:
            now_s = asyncio.get_running_loop().time()
            self._absent_since_s.setdefault(slot.name, now_s)
        else:
            self._absent_since_s.pop(slot.name, None)

    def _is_skipped(self, slot: Slot) -> bool:
        """Return whether a rollout no longer waits for a slot.

        That is so once the slot has served no version for `SKIP_ABSENT_AFTER_S`.
        """
        since_s = self._absent_since_s.get(slot.name)
        now_s = asyncio.get_running_loop().time()
        return since_s is not None and now_s - since_s > SKIP_ABSENT_AFTER_S


def _serves_any(model: str, served: tuple[str, ...]) -> bool:
    return any(name.startswith(f"{model}@") for name in served)
