"""Tests of the at-most-once ledger."""

import asyncio

from cicadatiller.kernel import ErrorKind, FailureError, RequestState, RunState, failure
from cicadatiller.peer import AnswerChecksum, GenerateWork, Submit
from cicadatiller.request_ids import new_request_id
from cicadatiller.sidecar import _ledger
from cicadatiller.sidecar._ledger import Ledger

from .support import PausedCase

WORKSPACE = "depots"


def submission(request_id="", **changes) -> Submit:
    work = GenerateWork(
        model="m", version="1", adapter="", prompt="p" * 100, prompt_tokens=25, max_output_tokens=9
    )
    fields = {
        "call": 1,
        "request_id": request_id,
        "attempt": 1,
        "workspace": WORKSPACE,
        "deployment": "north",
        "budget_s": 10.0,
        "generate": work,
    }
    return Submit(**(fields | changes))


class LedgerTest(PausedCase):
    def ledger(self, replay_bytes=1_000_000) -> Ledger:
        return Ledger(address="10.0.0.1:9100", incarnation="aa" * 16, replay_bytes=replay_bytes)

    def run_ledger(self, scenario, **options):
        async def run():
            await scenario(self.ledger(**options))

        self.run_paused(run())

    def assert_refused(self, kind: ErrorKind, operation, *arguments):
        with self.assertRaises(FailureError) as raised:
            operation(*arguments)
        self.assertIs(raised.exception.failure.kind, kind)
        return raised.exception.failure

    def test_an_id_runs_once_and_later_submissions_attach(self):
        async def scenario(ledger):
            entry = ledger.open(WORKSPACE)
            message = submission(entry.request_id, repeatable=False)
            self.assertEqual(ledger.submit(message, 10.0), (entry, True))
            self.assertEqual(ledger.submit(message, 10.0), (entry, False))
            entry.add_texts(0, ("a", "b"))
            entry.finish()
            ledger.record_end(entry)
            self.assertEqual(ledger.submit(message, 10.0), (entry, False))

        self.run_ledger(scenario)

    def test_requests_with_evicted_responses_never_run_again(self):
        async def scenario(ledger):
            ids = []
            for _ in range(20):
                entry, _ = ledger.submit(submission(), 10.0)
                entry.add_texts(0, ("text",) * 10)
                entry.finish()
                ledger.record_end(entry)
                ids.append(entry.request_id)
            self.assertLessEqual(ledger.kept_bytes, 8_000)
            self.assertLess(len(ledger.entries()), 20)
            refusal = self.assert_refused(
                ErrorKind.REPLAY_EXPIRED, ledger.submit, submission(ids[0]), 10.0
            )
            self.assertIs(refusal.run_state, RunState.OUTCOME_UNKNOWN)

        self.run_ledger(scenario, replay_bytes=8_000)

    def test_responses_expire_by_age_but_not_while_read(self):
        async def scenario(ledger):
            entries = []
            for _ in range(2):
                entry, _ = ledger.submit(submission(), 10.0)
                entry.finish()
                ledger.record_end(entry)
                entries.append(entry)
            entries[1].readers = 1
            await asyncio.sleep(_ledger.REPLAY_TTL_S + 1)
            last, _ = ledger.submit(submission(), 10.0)
            last.finish()
            ledger.record_end(last)
            self.assertEqual(ledger.entries(), (entries[1], last))

        self.run_ledger(scenario)

    def test_unused_ids_are_bounded_and_never_run_after_eviction(self):
        async def scenario(ledger):
            first = ledger.open(WORKSPACE)
            for _ in range(_ledger.MAX_OPENED):
                ledger.open(WORKSPACE)
            self.assertEqual(len(ledger.entries()), _ledger.MAX_OPENED)
            self.assert_refused(
                ErrorKind.REPLAY_EXPIRED, ledger.submit, submission(first.request_id), 10.0
            )
            await asyncio.sleep(_ledger.OPENED_TTL_S + 1)
            ledger.open(WORKSPACE)
            self.assertEqual(len(ledger.entries()), 1)

        self.run_ledger(scenario)

    def test_a_withdrawn_id_never_runs(self):
        async def scenario(ledger):
            opened = ledger.open(WORKSPACE)
            queued, _ = ledger.submit(submission(), 10.0)
            refused, _ = ledger.submit(submission(), 10.0)
            refused.end(failure(ErrorKind.TARGET_LEAVING, "leaving"))
            for entry in (opened, queued, refused):
                with self.subTest(state=entry.state):
                    ledger.tombstone(entry.request_id, WORKSPACE)
                    self.assertIs(entry.run_state, RunState.NOT_RUN)
                    again = submission(entry.request_id)
                    self.assert_refused(ErrorKind.TOMBSTONED, ledger.submit, again, 10.0)

        self.run_ledger(scenario)

    def test_a_sent_request_is_not_withdrawn(self):
        async def scenario(ledger):
            entry, _ = ledger.submit(submission(), 10.0)
            entry.sent = True
            entry.state = RequestState.RUNNING
            ledger.tombstone(entry.request_id, WORKSPACE)
            self.assertIs(entry.state, RequestState.RUNNING)
            self.assertIs(entry.run_state, RunState.OUTCOME_UNKNOWN)

        self.run_ledger(scenario)

    def test_a_request_that_ran_is_retried_only_by_a_newer_repeatable_attempt(self):
        async def scenario(ledger):
            for repeatable, attempt, runs in ((True, 1, False), (True, 2, True), (False, 2, False)):
                with self.subTest(repeatable=repeatable, attempt=attempt):
                    entry, _ = ledger.submit(submission(repeatable=repeatable), 10.0)
                    reason = failure(ErrorKind.TARGET_LOST, "lost", run_state=RunState.RAN)
                    entry.end(reason)
                    message = submission(entry.request_id, attempt=attempt, repeatable=repeatable)
                    self.assertEqual(ledger.submit(message, 10.0), (entry, runs))

        self.run_ledger(scenario)

    def test_a_request_of_another_incarnation_resumes_after_delivered_output(self):
        async def scenario(ledger):
            foreign = str(
                new_request_id(
                    address="10.0.0.2:9100", incarnation="bb" * 16, workspace=WORKSPACE, sequence=1
                )
            )
            self.assert_refused(
                ErrorKind.INCARNATION_GONE, ledger.submit, submission(foreign), 10.0
            )
            resumed = submission(foreign, attempt=2, delivered=("a", "b"))
            other_workspace = submission(foreign, attempt=2, workspace="other")
            self.assert_refused(ErrorKind.UNKNOWN_REQUEST, ledger.submit, other_workspace, 10.0)
            entry, run_now = ledger.submit(resumed, 10.0)
            self.assertTrue(run_now)
            self.assertTrue(entry.add_texts(2, ("c",)))
            self.assertFalse(entry.add_texts(4, ("e",)))
            self.assertEqual(entry.checksum(), AnswerChecksum(("a", "b", "c")).value())

        self.run_ledger(scenario)
