"""Carries out the faults of a schedule."""

import asyncio
import contextlib
import signal
from collections.abc import Iterator
from dataclasses import replace

from bench.soak.answer_actions import ANSWER_ACTIONS
from bench.soak.configuration import IDLE_LIMITS_MS, SERVICES, TIMEOUTS_MS
from bench.soak.degraded_actions import DEGRADED_ACTIONS
from bench.soak.entries import DRAIN_S, EntryProcess
from bench.soak.record import Disturbance, Evacuation, Shutdown
from bench.soak.relay import Direction, Relay
from bench.soak.schedule import Fault, FaultKind
from bench.soak.system import Action, System
from tests.support.gateways import ZONES

LINK_DELAY_S = 0.7
OLDER_COPY_S = 2.0
REWRITE_DELAY_S = 0.3
# How long the registration of a crashed target stays, and its address is not used again.
REGISTRATION_S = 3.0
REUSE_S = 2.0
REFUSED = 503
UNREADABLE_VALUES = (b"[" * 100_000, b"\xff\xfe", b'{"slots": 1' + b"0" * 400 + b"}", b"7")


async def carry_out(system: System, faults: tuple[Fault, ...]) -> None:
    """Carry out faults, each at its time."""
    began_s = asyncio.get_running_loop().time()
    await asyncio.gather(*(_carry_out_at(system, fault, began_s) for fault in faults))


async def _carry_out_at(system: System, fault: Fault, began_s: float) -> None:
    await asyncio.sleep(began_s + fault.at_s - asyncio.get_running_loop().time())
    system.note(f"{fault.kind.value} {fault.subject} for {fault.for_s} s")
    await ACTIONS[fault.kind](system, fault)


@contextlib.contextmanager
def _until_end(system: System, disturbance: Disturbance) -> Iterator[None]:
    try:
        yield
    finally:
        disturbance.ended_s = system.now_s


async def _stop_entry(system: System, fault: Fault) -> None:
    entry = system.entries[fault.subject]
    if entry.is_busy or not entry.is_running:
        return
    disturbance = system.timeline.disturb_entry(entry.number, system.now_s)
    with _until_end(system, disturbance), entry.changing():
        system.timeline.shutdowns.append(Shutdown(entry=entry.number, began_s=system.now_s))
        if not await entry.stop():
            system.timeline.kills.append((entry.number, system.now_s))
        await asyncio.sleep(fault.for_s)
        entry.start()
        await entry.wait_until_ready()


async def _kill_entry(system: System, fault: Fault) -> None:
    entry = system.entries[fault.subject]
    if entry.is_busy or not entry.is_running:
        return
    disturbance = system.timeline.disturb_entry(entry.number, system.now_s)
    with _until_end(system, disturbance), entry.changing():
        system.timeline.kills.append((entry.number, system.now_s))
        await entry.kill()
        await asyncio.sleep(fault.for_s)
        entry.start()
        await entry.wait_until_ready()


async def _kill_all_entries(system: System, fault: Fault) -> None:
    """Kill all entries at the same moment; those that another fault restarts are left to it."""
    if all(entry.is_running and not entry.is_busy for entry in system.entries):
        system.timeline.joint_kills.append(system.now_s)
    kills = (replace(fault, subject=entry.number) for entry in system.entries)
    await asyncio.gather(*(_kill_entry(system, kill) for kill in kills))


async def _freeze_entry(system: System, fault: Fault) -> None:
    entry = system.entries[fault.subject]
    freeze = system.timeline.freeze(entry.number, system.now_s)
    disturbance = system.timeline.disturb_entry(entry.number, system.now_s)
    with _until_end(system, freeze), _until_end(system, disturbance):
        entry.signal(signal.SIGSTOP)
        await asyncio.sleep(fault.for_s)
        entry.signal(signal.SIGCONT)


async def _reload_entry(system: System, fault: Fault) -> None:
    await _reload(system.entries[fault.subject], fault, are_valid=True)


async def _reload_bad_settings(system: System, fault: Fault) -> None:
    await _reload(system.entries[fault.subject], fault, are_valid=False)


async def _reload(entry: EntryProcess, fault: Fault, *, are_valid: bool) -> None:
    if entry.is_busy or not entry.is_running:
        return
    with entry.changing():
        entry.write_settings(are_valid=are_valid)
        entry.signal(signal.SIGHUP)
        await asyncio.sleep(fault.for_s)
        entry.write_settings()
        entry.signal(signal.SIGHUP)


async def _disturb_link(relay: Relay, kind: str, fault: Fault) -> None:
    if kind == "reset":
        relay.reset()
        return
    if kind == "delay":
        relay.delay_s = LINK_DELAY_S
        await asyncio.sleep(fault.for_s)
        relay.delay_s = 0.0
        return
    relay.drop_data(Direction.TO_CLIENT if kind == "one_way" else Direction.BOTH)
    await asyncio.sleep(fault.for_s)
    # Else a connection that was silenced could still break a request long after this fault.
    relay.reset_dropping()


def _disturb_store_link(kind: str) -> Action:
    async def action(system: System, fault: Fault) -> None:
        disturbance = system.timeline.disturb_entry(fault.subject, system.now_s)
        with _until_end(system, disturbance):
            await _disturb_link(system.store_relays[fault.subject], kind, fault)

    return action


def _disturb_target_link(kind: str) -> Action:
    async def action(system: System, fault: Fault) -> None:
        disturbance = system.timeline.disturb_target(fault.subject, system.now_s)
        with _until_end(system, disturbance):
            await _disturb_link(system.slots[fault.subject].relay, kind, fault)

    return action


def _disturb_store(attribute: str) -> Action:
    async def action(system: System, fault: Fault) -> None:
        with _until_end(system, system.timeline.disturb_store(system.now_s)):
            setattr(system.store, attribute, True)
            await asyncio.sleep(fault.for_s)
            setattr(system.store, attribute, False)
            system.store.end_lost_calls()

    return action


async def _refuse_entry(system: System, fault: Fault) -> None:
    disturbance = system.timeline.disturb_entry(fault.subject, system.now_s)
    with _until_end(system, disturbance):
        system.store.refused_entries.append(fault.subject)
        await asyncio.sleep(fault.for_s)
        system.store.refused_entries.remove(fault.subject)


async def _drop_history(system: System, fault: Fault) -> None:
    with _until_end(system, system.timeline.disturb_store(system.now_s)):
        system.store.drop_all_history()


async def _return_older_copy(system: System, fault: Fault) -> None:
    with _until_end(system, system.timeline.disturb_store(system.now_s)):
        system.store.return_to(system.now_s - OLDER_COPY_S)
        await asyncio.sleep(REWRITE_DELAY_S)
        system.publish()
        for data_centre in {one.data_centre for one in system.timeline.evacuations}:
            system.publish_evacuation(data_centre)
        for slot in system.slots:
            slot.register()


async def _silence_target(system: System, fault: Fault) -> None:
    target = system.slots[fault.subject].target
    if target is None:
        return
    target.be_silent(True)
    await asyncio.sleep(fault.for_s)
    target.be_silent(False)


async def _crash_target(system: System, fault: Fault) -> None:
    slot = system.slots[fault.subject]
    disturbance = system.timeline.disturb_target(slot.number, system.now_s)
    with _until_end(system, disturbance):
        target = await slot.crash()
        if target is None:
            return
        await asyncio.sleep(max(REUSE_S, fault.for_s))
        await slot.start()
        await asyncio.sleep(REGISTRATION_S - REUSE_S)
        slot.unregister(target.instance_id)


async def _reborn_target(system: System, fault: Fault) -> None:
    slot = system.slots[fault.subject]
    disturbance = system.timeline.disturb_target(slot.number, system.now_s)
    with _until_end(system, disturbance):
        target = await slot.crash()
        if target is not None:
            await asyncio.sleep(fault.for_s)
            await slot.start(target.instance_id)


async def _drain_target(system: System, fault: Fault) -> None:
    slot = system.slots[fault.subject]
    target = slot.target
    if target is None:
        return
    slot.announce_leaving()
    await asyncio.sleep(DRAIN_S + fault.for_s)
    if slot.target is not target:
        return
    disturbance = system.timeline.disturb_target(slot.number, system.now_s)
    with _until_end(system, disturbance):
        await slot.crash()
        slot.unregister(target.instance_id)
        await asyncio.sleep(REUSE_S)
        await slot.start()


async def _garble_target(system: System, fault: Fault) -> None:
    slot = system.slots[fault.subject]
    with _until_end(system, system.timeline.disturb_target(slot.number, system.now_s)):
        slot.relay.garbles = True
        await asyncio.sleep(fault.for_s)
        slot.relay.garbles = False


async def _script_target(system: System, fault: Fault, step: int | str) -> None:
    target = system.slots[fault.subject].target
    if target is None:
        return
    target.script = lambda headers, number: step
    await asyncio.sleep(fault.for_s)
    target.script = None


async def _refuse_requests(system: System, fault: Fault) -> None:
    await _script_target(system, fault, REFUSED)


async def _lose_answers(system: System, fault: Fault) -> None:
    with _until_end(system, system.timeline.disturb_target(fault.subject, system.now_s)):
        await _script_target(system, fault, "lose")


async def _move_route(system: System, fault: Fault) -> None:
    moved = SERVICES[system.history.newest.moving_service == SERVICES[0]]
    system.change_configuration(moving_service=moved)


async def _toggle_route(system: System, fault: Fault) -> None:
    system.change_configuration(has_toggled_route=not system.history.newest.has_toggled_route)


async def _change_timeout(system: System, fault: Fault) -> None:
    changed = TIMEOUTS_MS[system.history.newest.timeout_ms == TIMEOUTS_MS[0]]
    system.change_configuration(timeout_ms=changed)


async def _change_idle_limit(system: System, fault: Fault) -> None:
    changed = IDLE_LIMITS_MS[system.history.newest.idle_limit_ms == IDLE_LIMITS_MS[0]]
    system.change_configuration(idle_limit_ms=changed)


async def _toggle_key(system: System, fault: Fault) -> None:
    system.change_configuration(has_spare_key=not system.history.newest.has_spare_key)


async def _evacuate_zone(system: System, fault: Fault) -> None:
    evacuation = Evacuation(data_centre=ZONES[fault.subject], began_s=system.now_s)
    system.timeline.evacuations.append(evacuation)
    system.publish_evacuation(evacuation.data_centre)
    await asyncio.sleep(fault.for_s)
    evacuation.ended_s = system.now_s
    system.publish_evacuation(evacuation.data_centre)


async def _write_unreadable(system: System, fault: Fault) -> None:
    value = fault.choose(UNREADABLE_VALUES)
    name = f"0-{fault.number:x}"
    system.store.write("keyed.servers", name, value)
    await asyncio.sleep(fault.for_s)
    system.store.write("keyed.servers", name, None)


ACTIONS: dict[FaultKind, Action] = {
    FaultKind.ENTRY_STOP: _stop_entry,
    FaultKind.ENTRY_KILL: _kill_entry,
    FaultKind.ENTRIES_KILL: _kill_all_entries,
    FaultKind.ENTRY_FREEZE: _freeze_entry,
    FaultKind.ENTRY_RELOAD: _reload_entry,
    FaultKind.ENTRY_BAD_SETTINGS: _reload_bad_settings,
    FaultKind.STORE_LINK_DELAY: _disturb_store_link("delay"),
    FaultKind.STORE_LINK_RESET: _disturb_store_link("reset"),
    FaultKind.STORE_LINK_ONE_WAY: _disturb_store_link("one_way"),
    FaultKind.STORE_LINK_SILENT: _disturb_store_link("silent"),
    FaultKind.STORE_SLOW: _disturb_store("is_slow"),
    FaultKind.STORE_SILENT: _disturb_store("is_silent"),
    FaultKind.STORE_REFUSES_ENTRY: _refuse_entry,
    FaultKind.STORE_LOSES_ANSWERS: _disturb_store("loses_answers"),
    FaultKind.STORE_DROPS_HISTORY: _drop_history,
    FaultKind.STORE_OLDER_COPY: _return_older_copy,
    FaultKind.TARGET_LINK_DELAY: _disturb_target_link("delay"),
    FaultKind.TARGET_LINK_RESET: _disturb_target_link("reset"),
    FaultKind.TARGET_LINK_ONE_WAY: _disturb_target_link("one_way"),
    FaultKind.TARGET_LINK_SILENT: _disturb_target_link("silent"),
    FaultKind.TARGET_SILENT: _silence_target,
    FaultKind.TARGET_CRASH: _crash_target,
    FaultKind.TARGET_REBORN: _reborn_target,
    FaultKind.TARGET_DRAIN: _drain_target,
    FaultKind.TARGET_GARBLE: _garble_target,
    FaultKind.TARGET_REFUSES: _refuse_requests,
    FaultKind.TARGET_LOSES_ANSWERS: _lose_answers,
    **ANSWER_ACTIONS,
    **DEGRADED_ACTIONS,
    FaultKind.ROUTE_MOVE: _move_route,
    FaultKind.ROUTE_TOGGLE: _toggle_route,
    FaultKind.TIMEOUT_CHANGE: _change_timeout,
    FaultKind.IDLE_LIMIT_CHANGE: _change_idle_limit,
    FaultKind.KEY_TOGGLE: _toggle_key,
    FaultKind.ZONE_EVACUATE: _evacuate_zone,
    FaultKind.STORE_UNREADABLE: _write_unreadable,
}
