"""Plays drawn schedules of callers and of targets that depart from the protocol on one entry."""

import unittest

from hypothesis import example, given

from .support.wire_schedules import SCHEDULES, Answer, Cut, Schedule, Step, Surplus
from .support.wire_search import check, fixed_settings, search

EXAMPLES = 600
PLANTED_EXAMPLES = 1000
PLANTED = (
    "any-status",
    "b-unmatched-answer",
    "d-second-send",
    "early-end",
    "resumed-event-without-id",
)

# A response whose status states that the request did not run, though it ran (found by seed 1).
BUSY_AFTER_RUN = Schedule(steps=(Step(kind="safe", answers=(Answer(form="busy"),)),))
# Bytes that belong to no exchange, in place of the response to an order (found by seed 2).
NOISE_BEFORE_ORDER = Schedule(
    steps=(
        Step(kind="safe"),
        Step(kind="reserve", answers=(Answer(before=Surplus(source="unmatched 404")),)),
    )
)
# A response with the id of a request, then noise, both in answer to an order (found by seed 4).
NOISE_AFTER_ORDER = Schedule(
    steps=(
        Step(
            kind="reserve",
            answers=(Answer(bears="other", after=Surplus(source="unmatched 404", delay_s=0.02)),),
        ),
    )
)
# Bytes behind the answer to a request, which the report after it reads (found by seed 121).
NOISE_BEFORE_REPORT = Schedule(
    steps=(
        *[Step(kind="safe")] * 4,
        Step(kind="safe", answers=(Answer(after=Surplus(source="unmatched 404", delay_s=0.02)),)),
        Step(kind="report"),
    ),
    pools=1,
    engines=2,
)
# Bytes that are no response, behind the answer to a request, which a report reads (seed 510).
GARBAGE_BEFORE_REPORT = Schedule(
    steps=(
        Step(kind="safe", answers=(Answer(after=Surplus(source="garbage", delay_s=0.02)),)),
        Step(kind="report"),
    ),
    pools=1,
    engines=2,
)
# A body whose end is the first bytes of another head, which came in two reads (found by seed 301).
HEAD_IN_TWO_READS = Schedule(
    steps=(Step(answers=(Answer(cut=Cut(at_byte=76, by="silence", filler=Surplus(splits=(1,)))),)),)
)
# A head that is cut in the signature, and filled up by bytes without an id (found by seed 301).
HEAD_WITH_NOISE = Schedule(
    steps=(
        Step(),
        Step(),
        Step(answers=(Answer(cut=Cut(at_byte=49, filler=Surplus(source="unmatched answer"))),)),
    )
)
# A refused response without a length, and the end of the connection (found by seed 301).
END_AFTER_REFUSAL = Schedule(
    steps=(
        Step(answers=(Answer(framing="none", cut=Cut(at_byte=-1, by="close", filler=Surplus())),)),
    )
)


class WireFuzzerTest(unittest.TestCase):
    @fixed_settings(EXAMPLES)
    @given(SCHEDULES)
    @example(BUSY_AFTER_RUN)
    @example(NOISE_BEFORE_ORDER)
    @example(NOISE_AFTER_ORDER)
    @example(NOISE_BEFORE_REPORT)
    @example(GARBAGE_BEFORE_REPORT)
    @example(HEAD_IN_TWO_READS)
    @example(HEAD_WITH_NOISE)
    @example(END_AFTER_REFUSAL)
    def test_callers_and_entry_believe_only_what_targets_answered(self, drawn):
        check(drawn)


class PlantedFaultTest(unittest.TestCase):
    def test_planted_faults_are_found(self):
        for plant in PLANTED:
            with self.subTest(plant):
                found = search(PLANTED_EXAMPLES, 1, plant=plant, shrinks=False)
                self.assertIsNotNone(found.schedule)
