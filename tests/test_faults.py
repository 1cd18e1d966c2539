"""Regression tests for faults that the fault matrix did not find."""

import asyncio
from dataclasses import replace

from cicadatiller.channels import decode
from cicadatiller.kernel import ErrorKind, RequestState, RunState
from cicadatiller.peer import Finished
from cicadatiller.sidecar._reconcile import PREDECESSOR_GRACE_S, RECONCILE_INTERVAL_S, Reconciler
from cicadatiller.sidecar._service import LATE_SUBMISSION_GRACE_S
from cicadatiller.standins import EngineModel, expected_answer
from cicadatiller.targets import ExportStatus, StreamStatus

from .support import Fleet, Outcome, PausedCase

MODEL = EngineModel(kv_capacity_tokens=100_000, step_base_s=0.05)
TOKENS = 60
INCARNATION = "aa" * 16


class FaultCase(PausedCase):
    def run_fleet(self, scenario, **options):
        async def run():
            async with Fleet(model=MODEL, **options) as fleet:
                await scenario(fleet)

        self.run_paused(run())

    async def first_token(self, outcome):
        while not outcome.texts:
            await asyncio.sleep(0.05)


class ReusedRequestIdTest(FaultCase):
    def test_call_with_another_body_under_a_used_id_is_refused(self):
        async def scenario(fleet):
            service = fleet.entries[0].service
            request_id = await service.open_request("depots", "", "dispatch")
            first = await fleet.ask(fleet.service_call(b"two pallets", request_id=request_id))
            self.assertEqual(first.done.payload, b"two pallets")
            changes = ({"payload": b"nine pallets"}, {"repeatable": True})
            for entry, change in enumerate(changes):
                request = fleet.service_call(b"two pallets", request_id=request_id)
                other = await fleet.ask(replace(request, **change), entry=entry)
                self.assertIsNone(other.done)
                self.assertIs(other.failure.kind, ErrorKind.KEY_CONFLICT)
            self.assertEqual(fleet.service.executions, {b"two pallets": 1})

        self.run_fleet(scenario, services=1)

    def test_failure_of_a_call_with_another_body_states_not_run(self):
        async def scenario(fleet):
            service = fleet.entries[0].service
            request_id = await service.open_request("depots", "", "dispatch")
            fleet.service.down = True
            lost = await fleet.ask(fleet.service_call(b"two pallets", request_id=request_id))
            self.assertIsNotNone(lost.failure)
            fleet.service.down = False
            other = await fleet.ask(fleet.service_call(b"nine pallets", request_id=request_id))
            self.assertIs(other.failure.kind, ErrorKind.KEY_CONFLICT)
            self.assertIs(other.failure.run_state, RunState.NOT_RUN)
            self.assertEqual(fleet.service.executions[b"nine pallets"], 0)

        self.run_fleet(scenario, services=1)

    def test_generation_with_another_prompt_is_refused_without_a_retry(self):
        async def scenario(fleet):
            service = fleet.entries[0].service
            request_id = await service.open_request("depots", "glacier", "")
            request = fleet.generation("review", 8, request_id=request_id)
            first = await fleet.ask(request)
            self.assertEqual(tuple(first.texts), expected_answer("review", 8))
            other = await fleet.ask(replace(request, prompt="audit"), entry=1)
            self.assertIs(other.failure.kind, ErrorKind.KEY_CONFLICT)
            self.assertEqual(fleet.executions("audit"), 0)
            again = await fleet.ask(request, entry=1)
            self.assertEqual(tuple(again.texts), expected_answer("review", 8))
            self.assertEqual(fleet.executions("review"), 1)

        self.run_fleet(scenario)


class EntryStopTest(FaultCase):
    def test_stream_interrupted_by_a_stopping_entry_continues_through_another(self):
        async def scenario(fleet, repeatable):
            outcome = Outcome()
            request = fleet.generation("review", TOKENS, repeatable=repeatable)
            task = asyncio.ensure_future(fleet.ask(request, outcome=outcome))
            await self.first_token(outcome)
            fleet.entries[0].service.stopping = True
            task.cancel()
            await asyncio.wait([task])
            await asyncio.sleep(0.5)
            rest = Outcome()
            await fleet.attach(outcome.request_id, entry=1, outcome=rest, time_limit_s=20.0)
            self.assertEqual(tuple(rest.texts), expected_answer("review", TOKENS), rest.failure)
            self.assertEqual(fleet.executions("review"), 1)

        for repeatable in (True, False):
            with self.subTest(repeatable=repeatable):
                self.run_fleet(lambda fleet, r=repeatable: scenario(fleet, r))

    def test_stream_without_a_reader_is_cancelled_after_the_grace(self):
        async def scenario(fleet):
            outcome = Outcome()
            task = asyncio.ensure_future(fleet.ask(fleet.generation("r", 400), outcome=outcome))
            await self.first_token(outcome)
            fleet.entries[0].service.stopping = True
            task.cancel()
            await asyncio.sleep(3.0)
            self.assertGreater(fleet.kv_used_tokens(), 0)
            await asyncio.sleep(3.0)
            self.assertEqual(fleet.kv_used_tokens(), 0)

        self.run_fleet(scenario)


class LateSubmissionTest(FaultCase):
    """A request id is bound to its sidecar; a submission under it can't go to another one."""

    async def submit_while_leaving(self, fleet, waited_s):
        service = fleet.entries[0].service
        request_id = await service.open_request("depots", "", "dispatch")
        fleet.sidecars["service-0"].service.start_leaving()
        await asyncio.sleep(waited_s)
        return await fleet.ask(fleet.service_call(b"two pallets", request_id=request_id))

    def test_submission_under_an_id_issued_before_the_shutdown_runs(self):
        async def scenario(fleet):
            outcome = await self.submit_while_leaving(fleet, LATE_SUBMISSION_GRACE_S - 0.5)
            self.assertEqual(outcome.done.payload, b"two pallets")
            self.assertEqual(fleet.service.executions[b"two pallets"], 1)

        self.run_fleet(scenario, services=1)

    def test_leaving_sidecar_refuses_submissions_after_the_grace(self):
        async def scenario(fleet):
            outcome = await self.submit_while_leaving(fleet, LATE_SUBMISSION_GRACE_S + 0.5)
            self.assertIs(outcome.failure.kind, ErrorKind.TARGET_LEAVING)
            self.assertIs(outcome.failure.run_state, RunState.NOT_RUN)
            self.assertEqual(fleet.service.executions[b"two pallets"], 0)

        self.run_fleet(scenario, services=1)

    def test_stopping_sidecar_waits_for_late_submissions(self):
        async def scenario(fleet):
            fleet.service.delay_s = 3.0
            sidecar = fleet.sidecars["service-0"]
            service = fleet.entries[0].service
            request_id = await service.open_request("depots", "", "dispatch")
            stopping = asyncio.ensure_future(sidecar.drain())
            await asyncio.sleep(0.5)
            call = fleet.service_call(b"two pallets", request_id=request_id)
            call_task = asyncio.ensure_future(fleet.ask(call))
            await stopping
            await sidecar.close()
            outcome = await call_task
            self.assertIsNotNone(outcome.done, outcome.failure)

        self.run_fleet(scenario, services=1, linger_s=1.0)


class UnreadAnswerTest(FaultCase):
    def test_answer_lost_on_an_unresponsive_connection_is_replayed_by_a_stopping_sidecar(self):
        async def scenario(fleet):
            outcome = Outcome()
            request = fleet.generation("verdict", TOKENS, repeatable=False)
            task = asyncio.ensure_future(fleet.ask(request, outcome=outcome))
            await self.first_token(outcome)
            name, sidecar = next(
                (name, sidecar)
                for name, sidecar in fleet.sidecars.items()
                if any(e.state is RequestState.RUNNING for e in sidecar.ledger.entries())
            )
            address = fleet.addresses[name]

            def lose_last_frame(source, destination, frame):
                if source == address and isinstance(decode(frame), Finished):
                    fleet.network.filter = None
                    fleet.network.drop_frames(address)
                return [frame]

            fleet.network.filter = lose_last_frame
            await sidecar.drain()
            await sidecar.close()
            fleet.instances.remove(name)
            await task
            self.assertEqual(tuple(outcome.texts), expected_answer("verdict", TOKENS))
            self.assertIsNotNone(outcome.done, outcome.failure)

        self.run_fleet(scenario, linger_s=0.5)


class UnreachableTargetTest(FaultCase):
    def test_retry_of_a_request_never_sent_needs_no_retry_budget(self):
        async def scenario(fleet, repeatable):
            for entry in fleet.entries:
                entry.service._retries._level = 0.0
            for name in ("engine-0", "engine-1"):
                fleet.kill_sidecar(name, fleet.addresses[name])
            requests = [
                fleet.generation(f"review {number}", 8, repeatable=repeatable)
                for number in range(6)
            ]
            outcomes = await asyncio.gather(*(fleet.ask(request) for request in requests))
            for request, outcome in zip(requests, outcomes, strict=True):
                self.assertIsNotNone(outcome.done, outcome.failure)
                self.assertEqual(fleet.executions(request.prompt), 1)

        for repeatable in (True, False):
            with self.subTest(repeatable=repeatable):
                self.run_fleet(lambda fleet, r=repeatable: scenario(fleet, r), engines=3)


class CancelledBySuccessorTest(FaultCase):
    """A successor of a sidecar cancels the streams of the earlier one, which is still running."""

    async def cancel_mid_stream(self, fleet, repeatable):
        outcome = Outcome()
        request = fleet.generation("review", 200, time_limit_s=60.0, repeatable=repeatable)
        task = asyncio.ensure_future(fleet.ask(request, outcome=outcome))
        await self.first_token(outcome)
        for engine in fleet.engines.values():
            for status in await engine.list_streams():
                await engine.cancel(status.stream_id)
        await task
        return outcome

    def test_repeatable_request_resumes_at_once(self):
        async def scenario(fleet):
            outcome = await self.cancel_mid_stream(fleet, True)
            self.assertEqual(tuple(outcome.texts), expected_answer("review", 200), outcome.failure)
            self.assertLess(outcome.took_s, 30.0)

        self.run_fleet(scenario)

    def test_not_repeatable_request_fails_before_its_time_limit(self):
        async def scenario(fleet):
            outcome = await self.cancel_mid_stream(fleet, False)
            self.assertIs(outcome.failure.kind, ErrorKind.TARGET_LOST)
            self.assertIs(outcome.failure.run_state, RunState.RAN)
            self.assertLess(outcome.took_s, 3 * RECONCILE_INTERVAL_S)
            self.assertEqual(fleet.executions("review"), 1)

        self.run_fleet(scenario)


class FakeExportEngine:
    """An engine driver that records the exports released through it; it owns no streams."""

    def __init__(self):
        self.released = []

    def owns(self, stream_id):
        return False

    def cancel(self, stream_id):
        pass

    async def release_export(self, export_id):
        self.released.append(export_id)


class FakeExportOwner:
    """Owner of exports, by id."""

    def __init__(self, *, owned=(), ended=()):
        self.owned = set(owned)
        self.ended = set(ended)

    def owns_export(self, export_id):
        return export_id in self.owned

    def has_ended(self, export_id):
        return export_id in self.ended


class ExportReconcileTest(PausedCase):
    def released_exports(self, first, later, *, streams=(), owned=(), ended=(), after_s=0.0):
        """Return the exports released by the second and third of three comparisons.

        The first comparison must release none.
        """
        engine = FakeExportEngine()
        owner = FakeExportOwner(owned=owned, ended=ended)
        reconciler = Reconciler(driver=engine, incarnation=INCARNATION, exports=owner)
        listed = [
            tuple(ExportStatus(export_id=i, kv_tokens=9, lease_left_s=6.0) for i in ids)
            for ids in (first, later)
        ]
        running = tuple(StreamStatus(stream_id=i, kv_tokens=9, finished=False) for i in streams)

        async def run():
            await reconciler.release_orphan_exports(listed[0], running)
            self.assertEqual(engine.released, [])
            await asyncio.sleep(after_s)
            await reconciler.release_orphan_exports(listed[1], ())
            await reconciler.release_orphan_exports(listed[1], ())
            return set(engine.released)

        return self.run_paused(run())

    def test_export_of_an_ended_hold_is_released_at_once(self):
        released = self.released_exports((), ("c/gang-1/0",), ended=("c/gang-1/0",))
        self.assertEqual(released, {"c/gang-1/0"})

    def test_export_in_use_is_kept_at_any_age(self):
        ids = ("c/gang-1/0",)
        self.assertEqual(self.released_exports(ids, ids, owned=ids, after_s=1000.0), set())

    def test_export_of_a_predecessor_is_released_after_the_grace(self):
        ids = ("c/gang-1/0",)
        before, after = PREDECESSOR_GRACE_S - 0.1, PREDECESSOR_GRACE_S
        self.assertEqual(self.released_exports(ids, ids, after_s=before), set())
        self.assertEqual(self.released_exports(ids, ids, after_s=after), set(ids))

    def test_export_of_a_later_sidecar_on_the_slot_is_left_alone(self):
        self.assertEqual(self.released_exports((), ("c/gang-2/0",), after_s=1000.0), set())

    def test_sidecar_releases_exports_of_its_predecessor(self):
        async def scenario():
            async with Fleet(model=MODEL, engines=1) as fleet:
                engine = next(iter(fleet.engines.values()))
                address = fleet.addresses["engine-0"]
                engine._memory.export("old/gang-1/0", 700, 1e9)
                fleet.kill_sidecar("engine-0", address)
                await fleet.start_sidecar("engine-0", address, engine=engine)
                await asyncio.sleep(1.0)
                self.assertEqual(fleet.kv_used_tokens(), 700)
                await asyncio.sleep(PREDECESSOR_GRACE_S + 3.0)
                self.assertEqual(fleet.kv_used_tokens(), 0)

        self.run_paused(scenario())
