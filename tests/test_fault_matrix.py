"""Injects every fault at every step of a request and checks the expected endings."""

import sys
from collections import Counter
from itertools import product

from .support import Fault, PausedCase, Step
from .support.cells import KEY_BINDING_STEPS, Cell, CellRun, Ending, RequestType

COMPLETE = frozenset({Ending.COMPLETE})
FAILED = frozenset({Ending.FAILED})
EITHER = frozenset({Ending.COMPLETE, Ending.FAILED})

# Allowed endings of a repeatable request; the cell fails at any other ending.
REPEATABLE_ENDINGS = dict.fromkeys(Fault, COMPLETE) | {
    Fault.TIME_LIMIT: EITHER,
    Fault.CALLER_VANISHES: frozenset({Ending.CALLER_GONE}),
}
# A request that is not repeatable may also fail if the engine or sidecar that ran it died.
AT_MOST_ONCE_ENDINGS = REPEATABLE_ENDINGS | {
    Fault.ENGINE_DIES: EITHER,
    Fault.SIDECAR_DIES: EITHER,
    Fault.LIST_STALE: EITHER,
}
# Answers kept for replay are lost when their sidecar dies.
REPLAY_ENDINGS = {Fault.SIDECAR_DIES: EITHER, Fault.LIST_STALE: EITHER}
# A cancel that reaches the sidecar ends the request. A lost one fails for its caller, who may retry
# it; the request then completes, unless its sidecar died and it is not repeatable.
CANCEL_ENDINGS = dict.fromkeys(Fault, FAILED) | {
    Fault.CALLER_VANISHES: frozenset({Ending.CALLER_GONE}),
    Fault.SIDECAR_DIES: COMPLETE,
    Fault.ENTRY_DIES: COMPLETE,
    Fault.SILENT_TO_SIDECAR: COMPLETE,
    Fault.SILENT: COMPLETE,
    Fault.RESET: COMPLETE,
    Fault.PAUSED: COMPLETE,
    Fault.LIST_STALE: COMPLETE,
    Fault.SECOND_FAULT: COMPLETE,
    Fault.CLOCK_JUMP: COMPLETE,
}
CANCEL_AT_MOST_ONCE_ENDINGS = CANCEL_ENDINGS | {
    Fault.SIDECAR_DIES: FAILED,
    Fault.LIST_STALE: FAILED,
}
# An idempotency key is bound on the platform's log before the request is sent to a target.
KEYED_ENDINGS = {
    Fault.PLATFORM_DOWN: FAILED,
    Fault.PLATFORM_SLOW: FAILED,
    Fault.CLOCK_JUMP: FAILED,
}

# A prompt that needs several engines also depends on the connections between their sidecars.
GANG_ENDINGS = dict.fromkeys(
    (
        Fault.SILENT_TO_SIDECAR,
        Fault.SILENT_TO_ENTRY,
        Fault.SILENT,
        Fault.RESET,
        Fault.PAUSED,
        Fault.SECOND_FAULT,
        Fault.CLOCK_JUMP,
    ),
    EITHER,
)

NOT_APPLICABLE = {
    (RequestType.ORDER, Step.EXPORT): "a call to a plain service has no KV",
    (RequestType.ORDER, Step.IMPORT): "a call to a plain service has no KV",
    (RequestType.ORDER, Step.QUEUED): "a sidecar has no queue in front of a plain service",
    (RequestType.ORDER, Step.FIRST_TOKEN): "a call to a plain service has no tokens",
    (RequestType.ORDER, Step.MID_STREAM): "a call to a plain service has no tokens",
}


def exclusion_reason(work: RequestType, step: Step, fault: Fault) -> str:
    """Return why a cell is excluded; empty if it is run."""
    if step is Step.REPLAY and fault is Fault.TIME_LIMIT:
        return "the complete answer is stored, so its replay takes no time"
    return NOT_APPLICABLE.get((RequestType.ORDER if work.is_call else work, step), "")


def endings(work: RequestType, step: Step, fault: Fault) -> frozenset[Ending]:
    """Return the allowed endings of the request of a cell."""
    if step is Step.CANCEL:
        return (CANCEL_ENDINGS if work is RequestType.REPEATABLE else CANCEL_AT_MOST_ONCE_ENDINGS)[
            fault
        ]
    if step is Step.REPLAY and fault in REPLAY_ENDINGS:
        return REPLAY_ENDINGS[fault]
    if work is RequestType.REPEATABLE:
        return REPEATABLE_ENDINGS[fault]
    if step in (Step.EXPORT, Step.IMPORT) and fault in GANG_ENDINGS:
        return GANG_ENDINGS[fault]
    if work is RequestType.KEYED and step in KEY_BINDING_STEPS and fault in KEYED_ENDINGS:
        return KEYED_ENDINGS[fault]
    if step is Step.REPLY_LOST and work.is_call:
        return AT_MOST_ONCE_ENDINGS[fault] | EITHER
    return AT_MOST_ONCE_ENDINGS[fault]


def all_cells() -> tuple[list[Cell], Counter[str]]:
    """Return the cells to run and the number of excluded cells per reason."""
    cells = []
    left_out: Counter[str] = Counter()
    for work, step, fault in product(RequestType, Step, Fault):
        reason = exclusion_reason(work, step, fault)
        if reason:
            left_out[reason] += 1
            continue
        allowed = endings(work, step, fault)
        cells.append(Cell(work=work, step=step, fault=fault, endings=allowed))
    return cells, left_out


class FaultMatrixTest(PausedCase):
    def test_matrix(self):
        cells, left_out = all_cells()
        for cell in cells:
            with self.subTest(work=cell.work.name, step=cell.step.value, fault=cell.fault.value):
                self.run_paused(CellRun(self, cell).run())
        sys.__stderr__.write(f"fault matrix: {len(cells)} cells run\n")
        for reason, count in left_out.items():
            sys.__stderr__.write(f"fault matrix: {count} cells excluded: {reason}\n")
