"""Tests of the evidence on which parts of prompts are refused, and of how it is forgotten."""

import collections
import unittest

from cicadatiller.fleet import (
    FingerprintBreakers,
    OpenBreaker,
    RequestLoss,
    label_workspace_part,
)
from cicadatiller.fleet._fingerprint import PART_RULE
from cicadatiller.fleet._fingerprint_breakers import (
    FORGET_AFTER_DELAYS,
    MAX_PROBE_DELAY_S,
    MIN_PROBE_DELAY_S,
    OBJECTION_S,
)
from cicadatiller.fleet._losses import MAX_LOSS_AGE_S

LOSSES_TO_OPEN = PART_RULE.steps
LOSSES_TO_OPEN_KNOWN = PART_RULE.steps_if_known
LOSS_MAX_AGE_S = PART_RULE.max_age_s
# A common part, that of a subject, and one under which targets crash.
COMMON, SUBJECT, CRASHING = "5a", "5b", "bad"
PARTS = (COMMON, CRASHING, SUBJECT)


class Recorder:
    """Records what a `FingerprintBreakers` announces."""

    def __init__(self):
        self.losses, self.opened, self.cleared = [], [], []

    def request_lost(self, loss):
        self.losses.append(loss)

    def breaker_opened(self, opened):
        self.opened.append(opened)

    def fingerprint_cleared(self, part, cleared_s):
        self.cleared.append(part)


def make_loss(lost_s, *fingerprints, request, target, sent_s=None):
    return RequestLoss(
        target_id=target,
        request=request,
        fingerprints=fingerprints,
        sent_s=lost_s - 0.1 if sent_s is None else sent_s,
        lost_s=lost_s,
    )


class BreakersCase(unittest.TestCase):
    def setUp(self):
        self.recorder = Recorder()
        self.breakers = FingerprintBreakers(listener=self.recorder)
        self.numbers = iter(range(10_000))

    def lose(self, lost_s, *fingerprints, request=None, target=None, sent_s=None, is_weighed=True):
        number = next(self.numbers)
        loss = make_loss(
            lost_s,
            *fingerprints,
            request=request or f"f{number}",
            target=target or f"t-{number}",
            sent_s=sent_s,
        )
        self.breakers.record_loss(loss, lost_s)
        if is_weighed:
            self.breakers.weigh(lost_s)
        return loss

    def open_breakers(self):
        return [opened.fingerprint for opened in self.breakers.open_breakers]


class EvidenceTest(BreakersCase):
    def test_part_of_three_requests_that_were_lost_one_after_the_other_is_refused(self):
        self.lose(1.0, COMMON, CRASHING, "5c")
        self.breakers.record_finished((COMMON,), 1.5)
        self.lose(2.0, COMMON, CRASHING, "5d")
        self.assertEqual(self.open_breakers(), [])
        self.lose(3.0, COMMON, CRASHING, "5e")
        self.assertEqual(self.open_breakers(), [CRASHING])
        self.assertIsNone(self.breakers.find_open((COMMON, CRASHING), 3.0))
        late_s = 3.0 + OBJECTION_S
        self.assertIsNotNone(self.breakers.find_open((COMMON, CRASHING), late_s))
        self.assertIsNone(self.breakers.find_open((COMMON, "5e"), late_s))

    def test_known_part_is_not_refused_for_parts_that_crash_targets_at_the_same_time(self):
        """The common part was in all requests, and none could finish meanwhile."""
        self.breakers.record_finished((COMMON,), 0.9)
        for second in range(4):
            self.lose(1.0 + second, COMMON, f"5{second}", "request:1")
        for number, crashing in enumerate(("bad1", "bad2", "bad1", "bad1", "bad2")):
            self.lose(5.0 + 0.1 * number, COMMON, crashing, f"5{number}", is_weighed=False)
        self.breakers.weigh(6.0)
        self.assertEqual(self.open_breakers(), ["request:1", "bad1"])

    def test_failure_of_all_targets_at_once_is_no_evidence(self):
        for _ in range(16):
            self.lose(1.0, *PARTS)
        # Retries that were under way when the rest of the targets failed.
        for _ in range(16):
            self.lose(1.4, *PARTS, sent_s=0.9)
        self.assertEqual(self.open_breakers(), [])

    def test_request_that_is_lost_again_and_again_alone_is_no_evidence(self):
        for second in range(8):
            self.lose(float(second), *PARTS, request="f-one")
        self.assertEqual(self.open_breakers(), [])

    def test_losses_with_one_target_count_once(self):
        for second in range(8):
            self.lose(float(second), *PARTS, target="t-one")
        self.assertEqual(self.open_breakers(), [])

    def test_parts_of_requests_with_output_in_between_are_not_refused(self):
        for second in range(8):
            self.lose(float(second), *PARTS)
            self.breakers.record_finished(PARTS, second + 0.5)
        self.assertEqual(self.open_breakers(), [])

    def test_sound_part_that_is_often_lost_beside_the_other_is_not_refused(self):
        for second in range(8):
            self.lose(float(second), COMMON, CRASHING, SUBJECT)
            self.breakers.record_finished((COMMON,), second + 0.5)
            self.lose(second + 0.6, COMMON, SUBJECT, target=f"u-{second}")
            self.breakers.record_finished((COMMON, SUBJECT), second + 0.9)
        self.assertEqual(self.open_breakers(), [CRASHING])

    def test_of_parts_with_the_same_evidence_the_most_specific_one_is_refused(self):
        for second in range(4):
            self.lose(float(second), COMMON, CRASHING)
        self.assertEqual(self.open_breakers(), [CRASHING])

    def test_part_that_goes_on_crashing_without_the_first_suspect_is_refused_next(self):
        for second in range(3):
            self.lose(float(second), COMMON, CRASHING, SUBJECT)
        self.assertEqual(self.open_breakers(), [SUBJECT])
        self.breakers.record_finished((COMMON,), 3.5)
        for second in range(4, 7):
            self.lose(float(second), COMMON, CRASHING, f"5{second}")
        self.assertEqual(self.open_breakers(), [SUBJECT, CRASHING])
        self.breakers.record_finished((COMMON, SUBJECT), 8.0)
        self.assertEqual(self.open_breakers(), [CRASHING])

    # Each session's shared part was blamed in its turn, and the part that all of them had never was.
    def test_part_of_all_lost_sessions_is_refused_after_the_first_session_was(self):
        for second in range(3):
            self.lose(float(second), COMMON, CRASHING, "5c1")
            self.breakers.record_finished((COMMON,), second + 0.5)
        self.assertEqual(self.open_breakers(), ["5c1"])
        self.lose(4.0, COMMON, CRASHING, "5c2")
        self.assertEqual(self.open_breakers(), ["5c1", CRASHING])

    def test_parts_that_had_output_before_a_storm_in_which_nothing_has_any_are_not_refused(self):
        self.breakers.record_finished((COMMON, SUBJECT, "5c"), 0.5)
        for second in range(1, 10):
            target = f"t-{second}"
            for sound in ((COMMON, SUBJECT), (COMMON, "5c")):
                self.lose(float(second), *sound, target=target)
            if second % 2:
                self.lose(float(second), COMMON, CRASHING, SUBJECT, target=target)
        self.assertEqual(self.open_breakers(), [CRASHING])

    def test_requests_that_are_lost_with_a_target_that_another_part_ended_are_explained(self):
        for second in range(1, LOSSES_TO_OPEN + 1):
            self.lose(float(second), COMMON, CRASHING, f"5{second}")
            self.breakers.record_finished((COMMON,), second + 0.5)
        # Of a subject that never had output, beside further crashes under the part.
        for second in range(10, 20):
            target = f"t-at-{second}"
            self.lose(float(second), COMMON, CRASHING, "5c", target=target)
            self.lose(second + 0.001, COMMON, SUBJECT, target=target, sent_s=second - 0.5)
        self.assertEqual(self.open_breakers(), [CRASHING])

    def test_subject_that_is_lost_with_the_same_targets_as_the_part_is_not_refused(self):
        # Streams on a subject, lost 0.1 to 0.7 s after they were sent, and on the part.
        for second in range(1, 4):
            target, sent_s = f"t-at-{second}", second - 0.3 * second + 0.2
            self.lose(
                float(second), COMMON, SUBJECT, target=target, sent_s=sent_s, is_weighed=False
            )
            self.lose(float(second), COMMON, CRASHING, f"5{second}", target=target)
        self.assertEqual(self.open_breakers(), [CRASHING])

    def test_prompt_without_shared_parts_is_never_refused(self):
        for second in range(8):
            self.lose(float(second))
        self.assertEqual((self.open_breakers(), self.recorder.losses), ([], []))

    def test_losses_are_forgotten(self):
        self.lose(0.0, *PARTS)
        self.lose(1.0, *PARTS)
        self.lose(LOSS_MAX_AGE_S + 1.5, *PARTS)
        self.assertEqual(self.open_breakers(), [])
        self.lose(LOSS_MAX_AGE_S + MAX_LOSS_AGE_S + 1.0, *PARTS)
        self.assertEqual((self.open_breakers(), len(self.breakers.losses)), ([], 2))


class WorkspaceTest(BreakersCase):
    """One workspace can't make the entries refuse the requests of another."""

    def lose_part(self, lost_s, workspace, request=None):
        names = (
            COMMON,
            CRASHING,
            *(label_workspace_part(p, workspace) for p in (COMMON, CRASHING)),
        )
        return self.lose(lost_s, *names, request=request)

    def test_part_is_refused_to_the_only_workspace_whose_requests_were_lost(self):
        for second in range(20):
            self.lose_part(float(second), "reef")
        self.assertEqual(self.open_breakers(), [label_workspace_part(CRASHING, "reef")])

    def test_part_is_refused_to_all_once_another_workspace_loses_a_request(self):
        for second in range(3):
            self.lose_part(float(second), "reef")
        self.breakers.record_finished((COMMON,), 3.5)
        self.lose_part(4.0, "lagoon")
        self.assertEqual(self.open_breakers(), [label_workspace_part(CRASHING, "reef"), CRASHING])

    def test_part_of_several_workspaces_is_refused_to_all_at_once(self):
        for second, workspace in enumerate(("reef", "lagoon", "reef")):
            self.lose_part(float(second), workspace)
        self.assertEqual(self.open_breakers(), [CRASHING])


class ProbeTest(BreakersCase):
    def open_part(self, now_s=0.0):
        opened = OpenBreaker(
            fingerprint=CRASHING,
            losses=LOSSES_TO_OPEN_KNOWN,
            since_s=now_s,
            opens_s=now_s,
            probe_from_s=now_s + MIN_PROBE_DELAY_S,
            probe_delay_s=MIN_PROBE_DELAY_S,
        )
        self.breakers.record_open(opened, now_s)

    def test_time_between_probes_doubles_up_to_its_limit(self):
        self.open_part()
        delays_s, now_s = [], 0.0
        for _ in range(8):
            opened = self.breakers.find_open((CRASHING,), now_s)
            now_s = opened.probe_from_s
            self.breakers.record_probe(opened, now_s)
            delays_s.append(self.breakers.open_breakers[0].probe_delay_s)
        self.assertEqual(delays_s[:3], [120.0, 240.0, 480.0])
        self.assertEqual(delays_s[-1], MAX_PROBE_DELAY_S)

    def test_probe_with_output_clears_the_part(self):
        self.open_part()
        self.breakers.record_finished((CRASHING,), 70.0)
        self.assertEqual((self.open_breakers(), self.recorder.cleared), ([], [CRASHING]))

    def test_part_that_no_request_has_any_more_is_forgotten(self):
        self.open_part()
        late_s = MIN_PROBE_DELAY_S * (1 + FORGET_AFTER_DELAYS)
        self.assertIsNotNone(self.breakers.find_open((CRASHING,), late_s - 1))
        self.assertIsNone(self.breakers.find_open((CRASHING,), late_s + 1))

    def test_part_that_peers_refuse_is_defended_by_an_entry_that_saw_its_output_since(self):
        self.lose(1.0, *PARTS)
        self.breakers.record_finished((CRASHING,), 2.0)
        self.open_part(now_s=1.0)
        self.assertEqual((self.open_breakers(), self.recorder.cleared), ([], [CRASHING]))

    def test_copies_of_one_breaker_are_objected_to_once_and_newer_output_again(self):
        def open_part():
            opened = OpenBreaker(
                fingerprint=COMMON,
                losses=LOSSES_TO_OPEN,
                since_s=1.0,
                opens_s=3.0,
                probe_from_s=60.0,
                probe_delay_s=60.0,
            )
            self.breakers.record_open(opened, 3.0)

        told = []
        for output_s in (0.5, 2.0, 2.001):
            self.breakers.record_finished((COMMON,), output_s)
            open_part()
            open_part()
            told.append(len(self.recorder.cleared))
        self.assertEqual((told, self.open_breakers()), ([1, 2, 2], []))

    def test_part_that_began_to_crash_targets_later_is_refused_all_the_same(self):
        self.lose(1.0, *PARTS)
        self.breakers.record_finished(PARTS, 2.0)
        for second in range(3, 3 + LOSSES_TO_OPEN_KNOWN):
            self.assertEqual(self.open_breakers(), [])
            self.lose(float(second), *PARTS)
            self.breakers.record_finished((COMMON, SUBJECT), second + 0.5)
        self.assertEqual(self.open_breakers(), [CRASHING])


class FleetCase(unittest.TestCase):
    """Entries on a ring, each of which tells its neighbours what is new to it."""

    def spread(self, entries, neighbours, losses, *, sound=None):
        """Let entries see losses one after the other; return the breakers and the messages sent.

        Shortly after each loss, the entry `sound[0]` sees output of the part `sound[1]`.
        """
        queue, sent = collections.deque(), collections.Counter()

        def listener(index):
            recorder = Recorder()
            peers = [(index + step) % entries for step in range(-neighbours, neighbours + 1)]
            peers = sorted(set(peers) - {index})

            def tell(kind, *news):
                for peer in peers:
                    sent[index] += 1
                    queue.append((peer, kind, news))

            recorder.request_lost = lambda loss: tell("loss", loss)
            recorder.breaker_opened = lambda opened: tell("open", opened)
            recorder.fingerprint_cleared = lambda part, cleared_s: tell("cleared", part, cleared_s)
            return recorder

        fleet = [FingerprintBreakers(listener=listener(index)) for index in range(entries)]
        for index, loss in losses:
            fleet[index].record_loss(loss, loss.lost_s)
            while queue:
                self.deliver(fleet, queue, loss.lost_s)
                for breakers in fleet:
                    breakers.weigh(loss.lost_s)
            if sound is not None:
                fleet[sound[0]].record_finished((sound[1],), loss.lost_s + 0.3)
        return fleet, sent

    def deliver(self, fleet, queue, now_s):
        """Apply all messages, and those that they lead to."""
        while queue:
            peer, kind, news = queue.popleft()
            if kind == "loss":
                fleet[peer].record_loss(news[0], now_s)
            elif kind == "open":
                fleet[peer].record_open(news[0], now_s)
            else:
                fleet[peer].record_cleared(*news)


class LargeFleetTest(FleetCase):
    def test_losses_at_three_of_355_entries_are_known_to_all_by_few_messages(self):
        losses = [
            RequestLoss(
                target_id=f"t-{index}",
                request=f"f{index}",
                fingerprints=(COMMON, f"5{index}", CRASHING),
                sent_s=float(index),
                lost_s=index + 0.5,
            )
            for index in (0, 120, 240)
        ]
        for entries, neighbours in ((4, 7), (355, 7)):
            with self.subTest(entries=entries):
                own = [(int(loss.sent_s) % entries, loss) for loss in losses]
                fleet, sent = self.spread(entries, neighbours, own)
                refused = [[opened.fingerprint for opened in b.open_breakers] for b in fleet]
                self.assertEqual(refused, [[CRASHING]] * entries)
                # Three losses and one breaker, once to each neighbour.
                self.assertLessEqual(max(sent.values()), 4 * 2 * neighbours)

    def test_common_part_of_a_wave_of_crashes_is_never_refused_while_any_entry_sees_its_output(
        self,
    ):
        # At each of three moments several targets end; the entries that lose requests have no
        # other requests, and one far away has.
        losses = [
            RequestLoss(
                target_id=f"t-{number}",
                request=f"f{number}",
                fingerprints=(COMMON, f"5{number}"),
                sent_s=moment + 0.9,
                lost_s=moment + 1.0,
            )
            for number, moment in enumerate((0, 0, 0, 1, 1, 1, 2, 2, 2))
        ]
        own = [(30 * number, loss) for number, loss in enumerate(losses)]
        fleet, sent = self.spread(355, 7, own, sound=(177, COMMON))
        opened = [b.find_open((COMMON,), 3.0 + OBJECTION_S) for b in fleet]
        self.assertEqual(set(opened), {None})
        self.assertLessEqual(max(sent.values()), (len(losses) + 2) * 14)
