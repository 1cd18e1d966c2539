"""Carries out the faults of degraded targets: limits that they state, what crashes them, cold starts."""

import asyncio
import itertools

from bench.soak.answer_actions import slots_beside
from bench.soak.record import ColdTime, StatedLimit
from bench.soak.schedule import Fault, FaultKind
from bench.soak.system import Action, System
from bench.soak.target_slots import TargetSlot
from tests.support.gateways import ZONES

# How soon a fault of a target is carried over to its next run.
RUN_CHECK_INTERVAL_S = 0.02
ENGINES = "engines"
REQUEST_KINDS = ("safe", "unsafe", "stream")
EVENTS_BEFORE = (0, 1, 2)
LIMITS_PER_S = (0.0, 0.5, 1.0, 1.2, 3.0)
# Of limits that vary: low enough that callers want more, and above one request a second.
VARYING_LIMITS_PER_S = (2.0, 3.0)
# Of the limit, in each answer; the highest is the limit itself.
CONSTANT = (1.0,)
LIMIT_SHARES = (CONSTANT, (1.0, 0.97, 0.95, 0.98), (0.7, 1.0, 0.8))


async def _limit_target(system: System, fault: Fault) -> None:
    """Let a target limit its requests; if its limit varies, all targets of a plain service.

    Callers want more than these take, and one of several would get less than its limit anyway.
    """
    slot = system.slots[fault.subject]
    shares = fault.choose_by_duration(LIMIT_SHARES)
    end_s = system.now_s + fault.for_s
    if shares is CONSTANT:
        await _limit_slot(system, slot, fault.choose(LIMITS_PER_S), shares, end_s)
        return
    limit_per_s = fault.choose(VARYING_LIMITS_PER_S)
    slots = [slot] if slot.service == ENGINES else slots_beside(system, fault)
    await asyncio.gather(*(_limit_slot(system, one, limit_per_s, shares, end_s) for one in slots))


async def _limit_slot(
    system: System, slot: TargetSlot, limit_per_s: float, shares: tuple[float, ...], end_s: float
) -> None:
    """Let each run of a target that is up until then limit its requests."""
    while system.now_s < end_s:
        if slot.target is not None:
            await _limit_run(system, slot, limit_per_s, shares, end_s)
        await asyncio.sleep(RUN_CHECK_INTERVAL_S)


async def _limit_run(
    system: System,
    slot: TargetSlot,
    limit_per_s: float,
    shares: tuple[float, ...],
    end_s: float,
) -> None:
    """Let a run of a target state a share of the limit in each answer, in turn."""
    target = slot.target
    assert target is not None
    turn = itertools.cycle(shares)
    target.limit = lambda: b"%.2f" % (limit_per_s * next(turn))
    stated = StatedLimit(
        instance_id=target.instance_id,
        target=slot.number,
        rate_per_s=limit_per_s,
        began_s=system.now_s,
    )
    system.timeline.limits.append(stated)
    while slot.target is target and system.now_s < end_s:
        await asyncio.sleep(RUN_CHECK_INTERVAL_S)
    target.limit = None
    stated.ended_s = system.now_s


async def _crash_by_prompt(system: System, fault: Fault) -> None:
    part = f"bad{fault.number:x}"
    if fault.choose((False, True)):
        system.crash_causes.one_session.add(part)
    await _crash_by(system, fault, system.crash_causes.parts, part)


async def _crash_by_request(system: System, fault: Fault) -> None:
    kind = fault.choose(REQUEST_KINDS)
    await _crash_by(system, fault, system.crash_causes.paths, f"/{kind}/bad{fault.number:x}")


async def _crash_by(system: System, fault: Fault, causes: set[str], cause: str) -> None:
    """Let targets crash for a time, some of them before any event of a stream."""
    system.crash_causes.events_before[cause] = fault.choose_by_duration(EVENTS_BEFORE)
    causes.add(cause)
    await asyncio.sleep(fault.for_s)
    causes.discard(cause)
    for slot in system.slots:
        await slot.wait_for_restarts()


async def _turn_zone_cold(system: System, fault: Fault) -> None:
    slots = [slot for slot in system.slots if slot.data_centre == ZONES[fault.subject]]
    await asyncio.gather(*(_turn_slot_cold(system, slot, fault.for_s) for slot in slots))


async def _turn_slot_cold(system: System, slot: TargetSlot, for_s: float) -> None:
    """Let the run of a target that is up register as cold; another run says for itself."""
    target = slot.target
    if target is None:
        return
    slot.register(cold_remaining_ms=round(for_s * 1000))
    cold = ColdTime(
        instance_id=target.instance_id, began_s=system.now_s, ended_s=system.now_s + for_s
    )
    system.timeline.cold.append(cold)
    while slot.target is target and system.now_s < cold.ended_s:
        await asyncio.sleep(RUN_CHECK_INTERVAL_S)
    cold.ended_s = min(cold.ended_s, system.now_s)


DEGRADED_ACTIONS: dict[FaultKind, Action] = {
    FaultKind.TARGET_LIMIT: _limit_target,
    FaultKind.PROMPT_CRASH: _crash_by_prompt,
    FaultKind.REQUEST_CRASH: _crash_by_request,
    FaultKind.ZONE_COLD: _turn_zone_cold,
}
