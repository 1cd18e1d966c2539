"""Injects random pairs of faults, each pair into a request of its own.

The environment variables `N` and `SEED` set the number of pairs and the seed.
"""

import os
import random
import sys

from .support import Fault, PausedCase, Step
from .support.cells import HARMLESS_FAULTS, KEY_BINDING_STEPS, Cell, CellRun, Ending, RequestType

SEED = int(os.environ.get("SEED", "1"))
PAIRS = int(os.environ.get("N", "300"))
DELAYS_S = (0.0, 0.01, 0.1, 0.5, 1.5, 3.0)
GENERATION_ONLY_STEPS = (Step.QUEUED, Step.FIRST_TOKEN, Step.MID_STREAM, Step.EXPORT, Step.IMPORT)
LOG_FAULTS = frozenset({Fault.PLATFORM_DOWN, Fault.PLATFORM_SLOW})
CALLER_GONE_FAULTS = frozenset({Fault.CALLER_VANISHES, Fault.ENTRY_DIES})


def draw_cell(generator: random.Random) -> Cell:
    """Return a random cell with two faults."""
    work = generator.choice(list(RequestType))
    not_applicable = (Step.CANCEL, *GENERATION_ONLY_STEPS) if work.is_call else (Step.CANCEL,)
    steps = [step for step in Step if step not in not_applicable]
    step = generator.choice(steps)
    fault, second = generator.sample(list(Fault), 2)
    return Cell(
        work=work,
        step=step,
        fault=fault,
        endings=endings(work, step, frozenset({fault, second})),
        second=second,
        second_delay_s=generator.choice(DELAYS_S),
        second_on_other_sidecar=generator.random() < 0.3,
    )


def endings(work: RequestType, step: Step, faults: frozenset[Fault]) -> frozenset[Ending]:
    """Return the allowed endings of a request under a set of faults."""
    reply_lost = work.is_call and step is Step.REPLY_LOST
    log_lost = work is RequestType.KEYED and step in KEY_BINDING_STEPS and faults & LOG_FAULTS
    if faults <= HARMLESS_FAULTS and not reply_lost and not log_lost:
        return frozenset({Ending.COMPLETE})
    if faults & CALLER_GONE_FAULTS:
        return frozenset(Ending)
    return frozenset({Ending.COMPLETE, Ending.FAILED})


class FaultPairsTest(PausedCase):
    def test_pairs(self):
        generator = random.Random(SEED)
        for number in range(PAIRS):
            cell = draw_cell(generator)
            with self.subTest(seed=SEED, number=number, cell=cell):
                self.run_paused(CellRun(self, cell).run())
        sys.__stderr__.write(f"fault pairs: {PAIRS} drawn with seed {SEED}\n")
