"""Idempotency keys of callers."""

import asyncio
import time
from dataclasses import replace
from unittest import mock

from cicadatiller.backing import LogRecord
from cicadatiller.entry._claim_table import (
    KEY_SKEW_MS,
    KEY_VALID_MS,
    MAX_CACHED_CLAIMS,
    SEGMENT_CLAIMS,
    Claim,
    ClaimBatch,
    ClaimTable,
    digest,
)
from cicadatiller.entry._claims import APPENDS_PER_S, CLAIM_TIMEOUT_S
from cicadatiller.kernel import ErrorKind, RunState
from cicadatiller.request_ids import parse_request_id
from cicadatiller.sidecar._service import LATE_SUBMISSION_GRACE_S

from .support import Fleet, PausedCase


def make_key(name: str = "order-17", *, age_ms: int = 0) -> str:
    """Return a key with the time of the log stand-in's clock."""
    return f"{int(time.time() * 1000) - age_ms}-{name}"


def order(fleet, key: str, payload: bytes = b"two pallets", **changes):
    return fleet.service_call(payload, idempotency_key=key, **changes)


class ClaimTest(PausedCase):
    def test_racing_entries_run_a_key_once(self):
        async def scenario():
            async with Fleet(entries=4) as fleet:
                request = order(fleet, make_key())
                outcomes = await asyncio.gather(
                    *(fleet.ask(request, entry=number % 4) for number in range(12))
                )
                self.assertEqual({o.done.payload for o in outcomes}, {b"two pallets"})
                self.assertEqual(len({o.request_id for o in outcomes}), 1)
                self.assertEqual(fleet.service.executions[b"two pallets"], 1)

        self.run_paused(scenario())

    def test_late_retry_through_another_entry_replays_the_answer(self):
        async def scenario():
            async with Fleet() as fleet:
                request = order(fleet, make_key())
                await fleet.ask(request, entry=0)
                await asyncio.sleep(30)
                appends = fleet.log.appends
                again = await fleet.ask(request, entry=1)
                self.assertEqual(again.done.payload, b"two pallets")
                self.assertEqual(fleet.log.appends, appends)
                self.assertEqual(fleet.service.executions[b"two pallets"], 1)

        self.run_paused(scenario())

    def test_lost_append_replies_are_settled_by_reading_back(self):
        async def scenario():
            async with Fleet() as fleet:
                fleet.log.lose_replies = 2
                request = order(fleet, make_key())
                outcomes = await asyncio.gather(
                    fleet.ask(request, entry=0), fleet.ask(request, entry=1)
                )
                self.assertTrue(all(o.done for o in outcomes))
                self.assertEqual(fleet.service.executions[b"two pallets"], 1)

        self.run_paused(scenario())

    def test_keys_are_refused_as_not_run_if_the_log_fails_and_open_request_works(self):
        async def scenario(fault):
            async with Fleet() as fleet:
                fault(fleet.log)
                outcome = await fleet.ask(order(fleet, make_key()))
                self.assertIs(outcome.failure.kind, ErrorKind.LOG_UNAVAILABLE)
                self.assertIs(outcome.failure.run_state, RunState.NOT_RUN)
                self.assertLessEqual(outcome.took_s, CLAIM_TIMEOUT_S + 0.1)
                self.assertEqual(fleet.service.executions[b"two pallets"], 0)
                service = fleet.entries[0].service
                request_id = await service.open_request("depots", "", "dispatch")
                done = await fleet.ask(fleet.service_call(b"by id", request_id=request_id))
                self.assertIsNotNone(done.done)

        for name, fault in {
            "down": lambda log: setattr(log, "down", True),
            "slow": lambda log: setattr(log, "delay_s", 60.0),
        }.items():
            with self.subTest(name):
                self.run_paused(scenario(fault))

    def test_claim_appended_after_its_refusal_runs_once(self):
        async def scenario():
            async with Fleet() as fleet:
                fleet.log.delay_s = 3.0
                request = order(fleet, make_key(), time_limit_s=4.0)
                first = await fleet.ask(request)
                self.assertIs(first.failure.run_state, RunState.NOT_RUN)
                self.assertEqual(fleet.service.executions[b"two pallets"], 0)
                fleet.log.delay_s = 0.0
                await asyncio.sleep(20)
                again = await asyncio.gather(
                    fleet.ask(request, entry=0), fleet.ask(request, entry=1)
                )
                self.assertTrue(all(o.done for o in again))
                self.assertEqual(fleet.service.executions[b"two pallets"], 1)

        self.run_paused(scenario())

    def test_keys_that_cannot_be_bound_are_refused(self):
        async def scenario():
            async with Fleet() as fleet:
                known = make_key("known")
                await fleet.ask(order(fleet, known))
                cases = {
                    "other body": (known, ErrorKind.KEY_CONFLICT, RunState.NOT_RUN),
                    "old": (
                        make_key(age_ms=KEY_VALID_MS + 10_000),
                        ErrorKind.KEY_EXPIRED,
                        RunState.OUTCOME_UNKNOWN,
                    ),
                    "future": (
                        make_key(age_ms=-KEY_SKEW_MS - 60_000),
                        ErrorKind.INVALID_REQUEST,
                        RunState.NOT_RUN,
                    ),
                    "no time": ("order-17", ErrorKind.INVALID_REQUEST, RunState.NOT_RUN),
                }
                for name, (key, kind, run_state) in cases.items():
                    with self.subTest(name):
                        outcome = await fleet.ask(order(fleet, key, b"five pallets"))
                        self.assertIs(outcome.failure.kind, kind)
                        self.assertIs(outcome.failure.run_state, run_state)
                self.assertEqual(fleet.service.executions[b"five pallets"], 0)

        self.run_paused(scenario())

    def test_claims_share_appends_and_other_requests_make_none(self):
        async def scenario():
            async with Fleet(entries=2) as fleet:
                await fleet.ask(fleet.service_call(b"no key"))
                appends = fleet.log.appends
                requests = [
                    order(fleet, make_key(f"order-{number}"), f"{number}".encode())
                    for number in range(100)
                ]
                loop = asyncio.get_running_loop()
                started_s = loop.time()
                outcomes = await asyncio.gather(
                    *(fleet.ask(item, entry=place % 2) for place, item in enumerate(requests))
                )
                took_s = loop.time() - started_s
                self.assertTrue(all(outcome.done for outcome in outcomes))
                self.assertLessEqual(fleet.log.appends - appends, took_s * APPENDS_PER_S + 4)
                self.assertLess(fleet.log.appends - appends, 20)

        self.run_paused(scenario())

    def test_entry_that_finds_the_stream_trimmed_refuses_keys_of_that_time(self):
        async def scenario():
            async with Fleet(entries=1) as fleet:
                request = order(fleet, make_key())
                await fleet.ask(request)
                await fleet.ask(order(fleet, make_key("later"), b"later"))
                fleet.log.trim("claims", 2)
                await fleet.add_entry(1)
                await asyncio.sleep(10)
                outcome = await fleet.ask(request, entry=1)
                self.assertIs(outcome.failure.kind, ErrorKind.KEY_EXPIRED)
                self.assertIs(outcome.failure.run_state, RunState.OUTCOME_UNKNOWN)
                replayed = await fleet.ask(request, entry=0)
                self.assertIsNotNone(replayed.done)
                self.assertEqual(fleet.service.executions[b"two pallets"], 1)

        self.run_paused(scenario())

    def test_key_of_an_unrun_request_is_rebound_if_its_target_leaves(self):
        async def scenario(retries):
            async with Fleet(services=2, entries=3) as fleet:
                request = order(fleet, make_key(), time_limit_s=20.0)
                bound = await self._bind_unrun(fleet, request)
                self._sidecar_of(fleet, bound).service.start_leaving()
                # For `LATE_SUBMISSION_GRACE_S`, a leaving sidecar accepts requests under ids that
                # it has issued.
                await asyncio.sleep(LATE_SUBMISSION_GRACE_S + 0.1)
                outcomes = await asyncio.gather(
                    *(fleet.ask(request, entry=number % 3) for number in range(retries))
                )
                await asyncio.sleep(10)
                outcomes.append(await fleet.ask(request, entry=2))
                self.assertIsNotNone(outcomes[-1].done)
                self.assertNotEqual(outcomes[-1].request_id, bound)
                for outcome in outcomes:
                    is_known = outcome.done or outcome.failure.run_state is RunState.NOT_RUN
                    self.assertTrue(is_known, outcome)
                self.assertEqual(fleet.service.executions[b"two pallets"], 1)
                # The withdrawn id never runs, even if it is sent again.
                late = await fleet.ask(fleet.service_call(b"two pallets", request_id=bound))
                self.assertIs(late.failure.kind, ErrorKind.TOMBSTONED)
                self.assertEqual(fleet.service.executions[b"two pallets"], 1)

        for retries in (1, 6):
            for cached in (MAX_CACHED_CLAIMS, 0):
                limit = mock.patch("cicadatiller.entry._claim_table.MAX_CACHED_CLAIMS", cached)
                with self.subTest(retries=retries, cached=cached), limit:
                    self.run_paused(scenario(retries))

    def test_key_of_a_cancelled_request_or_a_lost_process_stays_bound(self):
        async def scenario(lost):
            async with Fleet(services=2) as fleet:
                request = order(fleet, make_key(), time_limit_s=20.0)
                bound = await self._bind_unrun(fleet, request)
                sidecar = self._sidecar_of(fleet, bound)
                if lost:
                    name = next(n for n, item in fleet.sidecars.items() if item is sidecar)
                    fleet.kill_sidecar(name, fleet.addresses[name])
                    await asyncio.sleep(1)
                    await fleet.start_sidecar(name, fleet.addresses[name], service=fleet.service)
                else:
                    await fleet.entries[0].service.cancel("depots", bound)
                    sidecar.service.start_leaving()
                outcome = await fleet.ask(request, entry=1)
                kind = ErrorKind.INCARNATION_GONE if lost else ErrorKind.TOMBSTONED
                self.assertIs(outcome.failure.kind, kind)
                self.assertEqual(fleet.service.executions[b"two pallets"], 0)

        for lost in (False, True):
            with self.subTest(lost=lost):
                self.run_paused(scenario(lost))

    async def _bind_unrun(self, fleet, request) -> str:
        """Bind a key without submitting the request, as if the entry failed in between."""
        claims = fleet.entries[0]._claims
        service = fleet.entries[0].service
        return await claims.bind(
            request, lambda: service.open_request("depots", "", "dispatch"), 5.0
        )

    def _sidecar_of(self, fleet, request_id):
        address = parse_request_id(request_id).unwrap().address
        name = next(name for name, known in fleet.addresses.items() if known == address)
        return fleet.sidecars[name]


class ClaimTableTest(PausedCase):
    def _claim(self, number: int, made_ms: int, request_id: str = "r") -> Claim:
        return Claim(key=digest(str(number)), made_ms=made_ms, body=b"", request_id=request_id)

    def _record(self, table: ClaimTable, time_ms: int, *claims: Claim) -> None:
        record = LogRecord(offset=table.next_offset, time_ms=time_ms, payload=b"")
        table.advance(record, ClaimBatch(writer="entry-0", claims=claims))

    def test_first_valid_claim_wins(self):
        table = ClaimTable()
        now_ms = 10 * KEY_VALID_MS
        self._record(table, now_ms, self._claim(1, now_ms - KEY_VALID_MS - 1, "void"))
        self._record(table, now_ms, self._claim(1, now_ms, "first"))
        self._record(table, now_ms, self._claim(1, now_ms, "second"))
        self.assertEqual(table.offset_of(digest("1")), 2)
        self.assertEqual(table.cached(digest("1")).request_id, "first")

    def test_first_valid_replacement_wins_and_stays_in_older_and_newer_segments(self):
        table = ClaimTable(max_segments=4)
        now_ms = 10 * KEY_VALID_MS
        self._record(table, now_ms, self._claim(1, now_ms, "first"))
        for number in range(2, SEGMENT_CLAIMS + 10):
            self._record(table, now_ms, self._claim(number, now_ms))
        first = replace(self._claim(1, now_ms, "second"), replaces=1)
        wrong = replace(first, request_id="wrong", replaces=2)
        twin = replace(first, request_id="twin")
        self._record(table, now_ms, wrong)
        self.assertEqual(table.offset_of(digest("1")), 1)
        offset = table.next_offset
        self._record(table, now_ms, wrong, first, twin)
        self._record(table, now_ms, twin, self._claim(1, now_ms, "late"))
        self.assertEqual(table.offset_of(digest("1")), offset)
        self.assertEqual(table.cached(digest("1")).request_id, "second")
        self._record(table, now_ms, replace(twin, request_id="third", replaces=offset))
        self.assertEqual(table.cached(digest("1")).request_id, "third")

    def test_table_is_bounded_and_evicted_keys_are_before_the_horizon(self):
        table = ClaimTable(max_segments=2)
        for number in range(4 * SEGMENT_CLAIMS):
            self._record(table, number, self._claim(number, number))
        self.assertLessEqual(len(table), 3 * SEGMENT_CLAIMS)
        for number in range(0, 4 * SEGMENT_CLAIMS, 97):
            known = table.offset_of(digest(str(number))) == number + 1
            self.assertTrue(known or number <= table.horizon_ms, number)

    def test_late_second_claim_of_an_evicted_key_does_not_become_the_first(self):
        table = ClaimTable(max_segments=1)
        for number in range(3 * SEGMENT_CLAIMS):
            self._record(table, number, self._claim(number, number))
        self.assertIsNone(table.offset_of(digest("1")))
        self._record(table, 3 * SEGMENT_CLAIMS, self._claim(1, 1, "second"))
        self.assertIsNone(table.offset_of(digest("1")))
