"""Sends the orders that make an engine load and unload models."""

import asyncio
import random
from dataclasses import dataclass

from ..backing import PlatformUnavailableError, WeightStore
from ..config import ConfigStore
from ..kernel import Event, log_event
from ..targets import (
    Engine,
    EngineInfo,
    EngineOrder,
    ModelRef,
    TargetRefusedError,
    TargetUnreachableError,
)
from ._engine_driver import EngineDriver
from ._orders_fence import Authority, Fence
from ._orders_guard import AvailabilityGuard, RolloutDecision
from ._orders_plan import Plan, Planner, WantedModel

STEP_INTERVAL_S = 0.2
DESCRIBE_INTERVAL_S = 5.0
GUARD_INTERVAL_S = 1.0
UNLOAD_DELAY_S = 3.0
FIRST_RETRY_S = 1.0
RETRY_LIMIT_S = 60.0
# The key of errors and retries of orders that load no model.
OTHER_ORDERS = "order"


@dataclass(frozen=True, kw_only=True)
class OrderStep:
    """One order: the complete list of models to serve after it.

    Attributes:
        models: The models to serve.
        load_ref: The model whose weights have to be fetched; None if no weights are needed.
        additive: Whether the order unloads nothing.
    """

    models: tuple[ModelRef, ...]
    load_ref: ModelRef | None
    additive: bool


class _Backoff:
    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        self._delay_s = 0.0
        self.until_s = 0.0

    def failed(self, now_s: float) -> None:
        self._delay_s = min(RETRY_LIMIT_S, max(FIRST_RETRY_S, self._delay_s * 2))
        self.until_s = now_s + self._delay_s * (0.5 + self._random.random())


class EngineController:
    """Brings the models that an engine serves to the plan, one order at a time.

    Args:
        engine: The engine.
        driver: Holds the engine's description and whether it is reachable.
        store: The current configuration.
        weights: The platform's weight store.
        planner: Computes the models that the engine should serve.
        fence: Decides whether an order may be sent.
        guard: Decides whether enough other engines serve a model to replace or unload it here.
        seed: Seeds the jitter of retries.

    Attributes:
        errors: Why orders failed, by the model that was to be loaded.
    """

    def __init__(
        self,
        *,
        engine: Engine,
        driver: EngineDriver,
        store: ConfigStore,
        weights: WeightStore,
        planner: Planner,
        fence: Fence,
        guard: AvailabilityGuard,
        seed: str,
    ) -> None:
        self._engine = engine
        self._driver = driver
        self._store = store
        self._weights = weights
        self._planner = planner
        self._fence = fence
        self._guard = guard
        self._random = random.Random(seed)
        self._backoffs: dict[str, _Backoff] = {}
        self._last_described_s = 0.0
        self._next_guard_s = 0.0
        self._guard_due = False
        self._surplus: frozenset[ModelRef] = frozenset()
        self._surplus_since_s = 0.0
        self._reissued_epoch: str | None = None
        self.errors: dict[str, str] = {}

    def error(self) -> str:
        """Return why orders currently fail; empty if they do not."""
        if self._fence.superseded:
            return "a newer sidecar holds this slot"
        return "; ".join(self.errors.values())

    async def run(self) -> None:
        """Send orders until cancelled."""
        while True:
            await self.step()
            await asyncio.sleep(STEP_INTERVAL_S)

    async def step(self) -> None:
        """Send at most one order."""
        info = self._driver.info
        if info is None or not self._driver.reachable or self._fence.superseded:
            return
        plan = self._planner.plan(self._store.state, info.loaded)
        if plan is None:
            return
        self._forget_unwanted(plan)
        info = await self._refresh_info(info)
        if info is None:
            return
        step = await self._next_step(plan, info)
        if step is not None:
            await self._send_step(step, info)
        elif plan.is_reached(info.loaded):
            self.errors.clear()
            self._backoffs.clear()
            self._guard.end_rollouts()

    def _forget_unwanted(self, plan: Plan) -> None:
        """Drop the errors of models that are not to be loaded any more."""
        wanted = {str(ref) for item in plan.wanted for ref in item.refs}
        for key in set(self.errors) - wanted - {OTHER_ORDERS}:
            del self.errors[key]

    async def _refresh_info(self, info: EngineInfo) -> EngineInfo | None:
        """Return the engine's description, refreshed every `DESCRIBE_INTERVAL_S`.

        Returns None if the engine does not respond or has restarted.
        """
        now_s = asyncio.get_running_loop().time()
        if now_s - self._last_described_s < DESCRIBE_INTERVAL_S:
            return info
        try:
            fresh = await self._engine.describe()
        except (TargetUnreachableError, TargetRefusedError):
            return None
        self._last_described_s = now_s
        if fresh.epoch != info.epoch:
            return None
        self._driver.info = fresh
        return fresh

    async def _next_step(self, plan: Plan, info: EngineInfo) -> OrderStep | None:
        self._guard_due = self._guard_is_due()
        for item in plan.wanted:
            step = await self._load_step(item, info.loaded)
            if step is not None:
                return step
        step = await self._unload_step(plan, info.loaded)
        if step is None and self._must_reissue(info):
            return OrderStep(models=info.loaded, load_ref=None, additive=True)
        return step

    def _must_reissue(self, info: EngineInfo) -> bool:
        """Return whether an older holder's last order may still have to be overridden."""
        return not info.checks_fencing and self._reissued_epoch != info.epoch

    async def _load_step(self, item: WantedModel, loaded: tuple[ModelRef, ...]) -> OrderStep | None:
        missing = tuple(ref for ref in item.refs if ref not in loaded)
        if not missing or self._is_backing_off(str(item.refs[0])):
            return None
        load_ref = item.refs[0] if item.refs[0] in missing else None
        older = {ref for ref in loaded if ref.model == item.name and ref not in item.refs}
        added = OrderStep(models=loaded + missing, load_ref=load_ref, additive=True)
        if not older or load_ref is None:
            return added
        decision = (
            await self._guard.rollout_decision(item) if self._guard_due else RolloutDecision.WAIT
        )
        if decision is not RolloutDecision.SWAP:
            return added if decision is RolloutDecision.OVERLAP else None
        kept = tuple(ref for ref in loaded if ref not in older)
        return OrderStep(models=kept + missing, load_ref=load_ref, additive=False)

    async def _unload_step(self, plan: Plan, loaded: tuple[ModelRef, ...]) -> OrderStep | None:
        wanted = {ref for item in plan.wanted for ref in item.refs}
        surplus = frozenset(ref for ref in loaded if ref not in wanted)
        now_s = asyncio.get_running_loop().time()
        if surplus != self._surplus:
            self._surplus = surplus
            self._surplus_since_s = now_s
        if not surplus or now_s - self._surplus_since_s < UNLOAD_DELAY_S or not self._guard_due:
            return None
        unloadable = {ref for ref in surplus if await self._may_unload(ref, plan, loaded)}
        if not unloadable:
            return None
        kept = tuple(ref for ref in loaded if ref not in unloadable)
        return OrderStep(models=kept, load_ref=None, additive=False)

    async def _may_unload(self, ref: ModelRef, plan: Plan, loaded: tuple[ModelRef, ...]) -> bool:
        item = plan.find(ref.model)
        if item is None or item.refs[0] in loaded and item in plan.wanted:
            return True
        if item in plan.wanted:
            return False
        return await self._guard.may_unload(item)

    def _guard_is_due(self) -> bool:
        now_s = asyncio.get_running_loop().time()
        if now_s < self._next_guard_s:
            return False
        self._next_guard_s = now_s + GUARD_INTERVAL_S * (0.5 + self._random.random())
        return True

    async def _send_step(self, step: OrderStep, info: EngineInfo) -> None:
        key = str(step.load_ref) if step.load_ref else OTHER_ORDERS
        if self._is_backing_off(key):
            return
        if step.load_ref is not None and not await self._has_permit(step.load_ref, key):
            return
        authority = await self._fence.authorise(engine_checks=info.checks_fencing)
        if authority is Authority.NONE:
            return
        if authority is Authority.ADDITIVE and not step.additive:
            return
        needs_lease = authority is Authority.FULL and not info.checks_fencing
        if needs_lease and not self._fence.has_lease():
            return
        await self._send_order(step, info, key, authority)

    async def _send_order(
        self, step: OrderStep, info: EngineInfo, key: str, authority: Authority
    ) -> None:
        order = EngineOrder(models=step.models, role=info.role, fence=self._fence.number)
        log_event(Event.ORDER_SENT, models=[str(ref) for ref in step.models], fence=order.fence)
        try:
            await self._engine.order(order)
        except TargetRefusedError as error:
            self._record_refusal(error, key)
            return
        except TargetUnreachableError as error:
            self._record_failure(key, str(error))
            return
        self.errors.pop(key, None)
        self._backoffs.pop(key, None)
        self._last_described_s = 0.0
        if authority is Authority.FULL:
            self._reissued_epoch = info.epoch
        await self._refresh_info(info)

    async def _has_permit(self, ref: ModelRef, key: str) -> bool:
        """Request a permit to load; the wait is jittered to spread the sidecars' requests."""
        try:
            wait_s = await self._weights.acquire(ref.model, ref.version)
        except PlatformUnavailableError as error:
            self._record_failure(key, str(error))
            return False
        if wait_s <= 0:
            return True
        await asyncio.sleep(wait_s * (1 + self._random.random()))
        return False

    def _record_refusal(self, error: TargetRefusedError, key: str) -> None:
        if error.reason == "stale-fence":
            self._fence.superseded = True
            log_event(Event.ORDER_REFUSED, error=str(error))
            return
        self._record_failure(key, str(error))

    def _record_failure(self, key: str, reason: str) -> None:
        now_s = asyncio.get_running_loop().time()
        self._backoffs.setdefault(key, _Backoff(self._random)).failed(now_s)
        self.errors[key] = f"{key}: {reason}"
        self._last_described_s = 0.0
        log_event(Event.ORDER_FAILED, order=key, error=reason)

    def _is_backing_off(self, key: str) -> bool:
        backoff = self._backoffs.get(key)
        return backoff is not None and asyncio.get_running_loop().time() < backoff.until_s
