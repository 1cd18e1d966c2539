"""Carries out the faults of answers."""

import asyncio
import contextlib
from collections.abc import Iterator
from typing import Any

from bench.soak.answer_faults import (
    AnswerFault,
    CopyTime,
    CutHeads,
    DropId,
    DropSignature,
    RepeatAnswers,
)
from bench.soak.record import Disturbance, UnnamedTime
from bench.soak.schedule import Fault, FaultKind
from bench.soak.system import Action, System
from bench.soak.target_slots import TargetSlot
from bench.soak.targets import ENDLESS_BLOCKS, EndlessAnswer, Manner, WrongRest

ERROR_TEXT = b"error: the engine is overloaded\n\n"
WRONG_RESTS = (
    WrongRest(body=ERROR_TEXT, is_signed=True),
    WrongRest(body=ERROR_TEXT, is_signed=False),
    WrongRest(body=b"", is_signed=True),
    WrongRest(body=b"", is_signed=False),
)
EVENTS_BEFORE = (1, 2, 3)


def slots_beside(system: System, fault: Fault) -> list[TargetSlot]:
    """Return the places of all targets of the subject's service."""
    service = system.slots[fault.subject].service
    return [slot for slot in system.slots if slot.service == service]


@contextlib.contextmanager
def _faulty(slots: list[TargetSlot], answers: AnswerFault) -> Iterator[None]:
    for slot in slots:
        slot.answers.active.append(answers)
    try:
        yield
    finally:
        for slot in slots:
            slot.answers.active.remove(answers)


@contextlib.contextmanager
def _unsound(system: System, slots: list[TargetSlot]) -> Iterator[None]:
    disturbances = [system.timeline.disturb_target(slot.number, system.now_s) for slot in slots]
    try:
        yield
    finally:
        for disturbance in disturbances:
            disturbance.ended_s = system.now_s


@contextlib.contextmanager
def _behaving(slots: list[TargetSlot], **changes: Any) -> Iterator[None]:
    """Change how the targets answer that serve now, for a time."""
    manners = [slot.target.manner for slot in slots if slot.target is not None]
    _set_all(manners, changes)
    try:
        yield
    finally:
        _set_all(manners, {name: getattr(Manner(), name) for name in changes})


def _set_all(manners: list[Manner], values: dict[str, Any]) -> None:
    for manner in manners:
        for name, value in values.items():
            setattr(manner, name, value)


async def _repeat_answers(system: System, fault: Fault) -> None:
    """Let all targets repeat answers while callers send more prompts that need reservations."""
    slots = system.slots
    copy_time = fault.choose(tuple(CopyTime))
    with _behaving(slots, has_little_room=True), _faulty(slots, RepeatAnswers(copy_time=copy_time)):
        await asyncio.sleep(fault.for_s)


async def _repeat_refusals(system: System, fault: Fault) -> None:
    """Let all targets of a service refuse some requests at first, and repeat their refusals."""
    slots = slots_beside(system, fault)
    copy_time = fault.choose((CopyTime.WITH_NEXT, CopyTime.LATE))
    repeat = RepeatAnswers(copy_time=copy_time, only_refusals=True)
    with _behaving(slots, blamed=system.unused_address), _faulty(slots, repeat):
        await asyncio.sleep(fault.for_s)


async def _cut_heads(system: System, fault: Fault) -> None:
    await _spoil(system, fault, CutHeads(resets=fault.choose((False, True))))


async def _drop_ids(system: System, fault: Fault) -> None:
    unnamed = UnnamedTime(target=fault.subject, began_s=system.now_s)
    system.timeline.unnamed.append(unnamed)
    await _spoil(system, fault, DropId())
    unnamed.ended_s = system.now_s


async def _drop_signatures(system: System, fault: Fault) -> None:
    await _spoil(system, fault, DropSignature())


async def _spoil(system: System, fault: Fault, answers: AnswerFault) -> None:
    slots = [system.slots[fault.subject]]
    with _unsound(system, slots), _faulty(slots, answers):
        await asyncio.sleep(fault.for_s)


async def _send_endless(system: System, fault: Fault) -> None:
    """Let an engine answer streams, or only those that it is to go on with, by blocks without end."""
    engines = [slot for slot in system.slots if slot.service == "engines"]
    slots = [engines[fault.subject % len(engines)]]
    endless = EndlessAnswer(
        block=fault.choose(ENDLESS_BLOCKS),
        only_resumed=fault.choose((True, False, False)),
    )
    time = Disturbance(began_s=system.now_s)
    system.timeline.endless.append(time)
    # Streams that break off are resumed at any engine.
    unsound = engines if endless.only_resumed else slots
    with _unsound(system, unsound), _behaving(unsound, endless=endless):
        await asyncio.sleep(fault.for_s)
    time.ended_s = system.now_s


async def _answer_wrong_rest(system: System, fault: Fault) -> None:
    """Let an engine break off streams, and all engines answer a resumed one with no rest of it."""
    engines = [slot for slot in system.slots if slot.service == "engines"]
    breaking = [engines[fault.subject % len(engines)]]
    rest = fault.choose(WRONG_RESTS)
    breaks_after = fault.choose(EVENTS_BEFORE)
    with (
        _unsound(system, engines),
        _behaving(engines, wrong_rest=rest),
        _behaving(breaking, breaks_after=breaks_after),
    ):
        await asyncio.sleep(fault.for_s)


ANSWER_ACTIONS: dict[FaultKind, Action] = {
    FaultKind.TARGET_REPEATS_ANSWERS: _repeat_answers,
    FaultKind.TARGET_REPEATS_REFUSALS: _repeat_refusals,
    FaultKind.TARGET_CUTS_HEADS: _cut_heads,
    FaultKind.TARGET_UNNAMED: _drop_ids,
    FaultKind.TARGET_UNSIGNED: _drop_signatures,
    FaultKind.TARGET_WRONG_REST: _answer_wrong_rest,
    FaultKind.TARGET_ENDLESS: _send_endless,
}
