"""Requests whose caller, entry, sidecar or target disconnects, stops or fails."""

import asyncio
from dataclasses import replace
from unittest import mock

from cicadatiller.channels import decode
from cicadatiller.entry import RequestOpened
from cicadatiller.kernel import CHARACTERS_PER_TOKEN, ErrorKind, Event, RequestState, RunState
from cicadatiller.peer import Submit
from cicadatiller.peer._link import MAX_REMEMBERED_CALLS, CallDeduplicator
from cicadatiller.sidecar._reconcile import LONGEST_STREAM_S, PREDECESSOR_GRACE_S, Reconciler
from cicadatiller.standins import EngineModel, expected_answer
from cicadatiller.targets import StreamStatus, TargetUnreachableError

from .support import Fleet, Outcome, PausedCase
from .support.observed_policies import QUEUE_POLICY, ObservedQueue

LONG = 400
HELD = "h" * 100
MODEL = EngineModel(kv_capacity_tokens=100_000, step_base_s=0.05)


class RelayCase(PausedCase):
    def run_fleet(self, scenario, **options):
        async def run():
            async with Fleet(model=MODEL, **options) as fleet:
                await scenario(fleet)

        self.run_paused(run())

    async def start(self, fleet, request, outcome, *, entry=0):
        """Start a request and return its task after its first token."""
        task = asyncio.ensure_future(fleet.ask(request, entry=entry, outcome=outcome))
        while not outcome.texts and not task.done():
            await asyncio.sleep(0.05)
        return task

    def name_at(self, fleet, address):
        """Return the name of the instance at an address."""
        return next(name for name, known in fleet.addresses.items() if known == address)

    def holder(self, fleet, prompt):
        """Return the name of the sidecar that currently runs a prompt."""
        for name, sidecar in fleet.sidecars.items():
            for entry in sidecar.ledger.entries():
                if entry.state is RequestState.RUNNING and entry.submit.generate.prompt == prompt:
                    return name
        raise AssertionError("no sidecar runs the prompt")


class FailureLogTest(RelayCase):
    def test_the_entry_logs_each_refusal_and_failure_with_the_event_of_its_kind(self):
        async def scenario(fleet):
            with mock.patch("cicadatiller.entry._service.log_event") as log_event:
                refused = await fleet.ask(fleet.generation("p", model="absent"))
                failed = await fleet.ask(fleet.generation("p", LONG, time_limit_s=1.0))
            self.assertIs(refused.failure.kind, ErrorKind.UNKNOWN_MODEL)
            self.assertIs(failed.failure.kind, ErrorKind.DEADLINE_EXCEEDED)
            written = [(call.args[0], call.kwargs["kind"]) for call in log_event.call_args_list]
            self.assertEqual(
                written,
                [
                    (Event.REQUEST_REFUSED, "UNKNOWN_MODEL"),
                    (Event.REQUEST_FAILED, "DEADLINE_EXCEEDED"),
                ],
            )

        self.run_fleet(scenario)


class CallerDisconnectTest(RelayCase):
    def test_memory_is_released_soon_after_the_caller_disconnects(self):
        async def scenario(fleet):
            task = await self.start(fleet, fleet.generation("review", LONG), Outcome())
            task.cancel()
            await asyncio.sleep(0.5)
            self.assertEqual(fleet.kv_used_tokens(), 0)

        self.run_fleet(scenario)

    def test_memory_is_released_after_the_grace_period_if_the_cancel_can_not_be_sent(self):
        faults = {
            "entry killed": lambda fleet, address: fleet.kill_entry(0),
            "no frames reach the sidecar": lambda fleet, address: fleet.network.drop_frames(
                address
            ),
        }
        for name, inject_fault in faults.items():
            with self.subTest(name):

                async def scenario(fleet, inject_fault=inject_fault):
                    task = await self.start(fleet, fleet.generation("review", LONG), Outcome())
                    inject_fault(fleet, fleet.addresses[self.holder(fleet, "review")])
                    task.cancel()
                    await asyncio.sleep(10.0)
                    self.assertEqual(fleet.kv_used_tokens(), 0)

                self.run_fleet(scenario)

    def test_a_cancel_is_repeated_until_the_engine_confirms_it(self):
        async def scenario(fleet):
            left = 3

            def lose_cancels(when, method, arguments):
                nonlocal left
                if method == "cancel" and left > 0:
                    left -= 1
                    raise TargetUnreachableError("lost")

            task = await self.start(fleet, fleet.generation("review", LONG), Outcome())
            for proxy in fleet.target_proxies.values():
                proxy.on_call = lose_cancels
            task.cancel()
            await asyncio.sleep(0.9)
            self.assertEqual(left, 0)
            self.assertEqual(fleet.kv_used_tokens(), 0)

        self.run_fleet(scenario)

    def test_non_repeatable_request_runs_on_and_its_answer_is_kept(self):
        async def scenario(fleet):
            outcome = Outcome()
            request = fleet.generation("verdict", LONG, repeatable=False, time_limit_s=60.0)
            task = await self.start(fleet, request, outcome)
            task.cancel()
            await asyncio.sleep(LONG * 0.06)
            again = Outcome()
            service = fleet.entries[1].service
            await service.attach("depots", outcome.request_id, 0, 10.0, again.emit)
            self.assertEqual(tuple(again.texts), expected_answer("verdict", LONG))
            self.assertEqual(fleet.executions("verdict"), 1)

        self.run_fleet(scenario)

    def test_another_reader_keeps_the_stream_alive(self):
        async def scenario(fleet):
            outcome, reader = Outcome(), Outcome()
            request = fleet.generation("review", LONG)
            task = await self.start(fleet, request, outcome)
            again = replace(request, request_id=outcome.request_id)
            reading = await self.start(fleet, again, reader, entry=1)
            fleet.kill_entry(0)
            task.cancel()
            await reading
            self.assertEqual(tuple(reader.texts), expected_answer("review", LONG))
            self.assertEqual(fleet.executions("review"), 1)

        self.run_fleet(scenario)


class LostTargetTest(RelayCase):
    STREAMS = 40

    def test_all_streams_of_a_lost_sidecar_resume_at_a_newly_started_entry(self):
        async def scenario(fleet):
            requests = [fleet.generation(f"check {n}", LONG) for n in range(self.STREAMS)]
            tasks = [await self.start(fleet, request, Outcome()) for request in requests]
            name = self.holder(fleet, "check 0")
            fleet.kill_sidecar(name, fleet.addresses[name])
            outcomes = await asyncio.gather(*tasks)
            self.assertEqual([o.failure for o in outcomes if o.failure is not None], [])
            self.assertTrue(all(len(outcome.texts) == LONG for outcome in outcomes))

        self.run_fleet(scenario)


class RunStateTest(RelayCase):
    def test_refused_call_moves_only_after_its_request_id_is_withdrawn(self):
        async def scenario(fleet):
            ids = []

            def emit(event):
                if isinstance(event, RequestOpened):
                    ids.append(event.request_id)

            def leave_at_submit(source, destination, frame):
                if isinstance(decode(frame), Submit) and not ids[1:]:
                    fleet.sidecars[self.name_at(fleet, destination)].service.leaving = True
                return [frame]

            fleet.network.filter = leave_at_submit
            await fleet.entries[0].service.run(fleet.service_call(b"order"), emit)
            self.assertEqual(len(ids), 2)
            late = await fleet.ask(fleet.service_call(b"order", request_id=ids[0]), entry=1)
            self.assertIs(late.failure.kind, ErrorKind.TOMBSTONED)
            self.assertEqual(fleet.service.executions[b"order"], 1)

        self.run_fleet(scenario, services=2)

    def hold_in_queue(self):
        """Keep requests with the prompt `HELD` in the queue until the test ends."""
        ObservedQueue.held_prompt_tokens = len(HELD) // CHARACTERS_PER_TOKEN
        ObservedQueue.on_push = None
        self.addCleanup(setattr, ObservedQueue, "held_prompt_tokens", 0)

    def test_time_limit_includes_the_queue_and_reports_not_run(self):
        async def scenario(fleet):
            self.hold_in_queue()
            outcome = await fleet.ask(fleet.generation(HELD, time_limit_s=3.0))
            ObservedQueue.held_prompt_tokens = 0
            self.assertIs(outcome.failure.kind, ErrorKind.DEADLINE_UNREACHABLE)
            self.assertIs(outcome.failure.run_state, RunState.NOT_RUN)
            self.assertLess(outcome.took_s, 3.0)
            await asyncio.sleep(10.0)
            self.assertEqual(fleet.executions(HELD), 0)

        self.run_fleet(scenario, queue=QUEUE_POLICY)

    def test_a_request_cancelled_in_the_queue_never_runs(self):
        async def scenario(fleet):
            self.hold_in_queue()
            outcome = Outcome()
            request = fleet.generation(HELD, repeatable=False)
            task = asyncio.ensure_future(fleet.ask(request, outcome=outcome))
            await asyncio.sleep(1.0)
            status = await fleet.entries[1].service.cancel("depots", outcome.request_id)
            self.assertIs(status.run_state, RunState.NOT_RUN)
            await task
            self.assertIs(outcome.failure.run_state, RunState.NOT_RUN)
            ObservedQueue.held_prompt_tokens = 0
            again = await fleet.ask(replace(request, request_id=outcome.request_id), entry=1)
            self.assertIs(again.failure.kind, ErrorKind.TOMBSTONED)
            await asyncio.sleep(10.0)
            self.assertEqual(fleet.executions(HELD), 0)

        self.run_fleet(scenario, queue=QUEUE_POLICY)

    def test_an_unexpected_error_is_reported_at_once(self):
        async def scenario(fleet):
            def fail_call(when, method, arguments):
                if method == "submit":
                    raise ValueError("a defect")

            for proxy in fleet.target_proxies.values():
                proxy.on_call = fail_call
            outcome = await fleet.ask(fleet.generation("verdict", repeatable=False))
            self.assertIs(outcome.failure.kind, ErrorKind.INTERNAL)
            self.assertIs(outcome.failure.run_state, RunState.OUTCOME_UNKNOWN)
            self.assertLess(outcome.took_s, 1.0)

        self.run_fleet(scenario)

    def test_a_lost_submit_of_a_non_repeatable_request_is_not_sent_to_a_restarted_engine(self):
        async def scenario(fleet):
            def restart(when, method, arguments):
                if when == "after" and method == "submit":
                    for proxy in fleet.target_proxies.values():
                        proxy.on_call = None
                    engine = next(e for e in fleet.engines.values() if e._streams)
                    loaded = engine._loaded
                    engine.executions["verdict"] += 1
                    engine.restart("engine-2")
                    engine._loaded = loaded
                    raise TargetUnreachableError("lost")

            for proxy in fleet.target_proxies.values():
                proxy.on_call = restart
            outcome = await fleet.ask(fleet.generation("verdict", repeatable=False))
            self.assertIs(outcome.failure.run_state, RunState.OUTCOME_UNKNOWN)
            self.assertEqual(fleet.executions("verdict"), 1)

        self.run_fleet(scenario)


class ShutdownTest(RelayCase):
    def test_a_stream_that_outlasts_the_shutdown_resumes_on_another_target(self):
        async def scenario(fleet):
            outcome = Outcome()
            task = await self.start(fleet, fleet.generation("review", LONG), outcome)
            name = self.holder(fleet, "review")
            await fleet.sidecars[name].drain()
            await fleet.sidecars[name].close()
            await task
            self.assertEqual(tuple(outcome.texts), expected_answer("review", LONG))
            self.assertEqual(fleet.executions("review"), 2)
            self.assertEqual(fleet.kv_used_tokens(), 0)

        self.run_fleet(scenario, drain_timeout_s=2.0)

    def test_shutdown_waits_for_a_non_repeatable_request(self):
        async def scenario(fleet):
            outcome = Outcome()
            request = fleet.generation("verdict", LONG, repeatable=False, time_limit_s=60.0)
            task = await self.start(fleet, request, outcome)
            name = self.holder(fleet, "verdict")
            await fleet.sidecars[name].drain()
            await fleet.sidecars[name].close()
            await task
            self.assertEqual(tuple(outcome.texts), expected_answer("verdict", LONG))
            self.assertEqual(fleet.executions("verdict"), 1)

        self.run_fleet(scenario, drain_timeout_s=2.0)


class RecordingDriver:
    """Records the streams that are cancelled."""

    def __init__(self, *owned):
        self.owned = owned
        self.cancelled = []

    def owns(self, stream_id):
        return stream_id in self.owned

    def cancel(self, stream_id):
        self.cancelled.append(stream_id)


def listing(*stream_ids):
    return tuple(StreamStatus(stream_id=item, kv_tokens=1, finished=False) for item in stream_ids)


class ReconcileTest(RelayCase):
    def test_streams_of_a_killed_sidecar_are_removed_by_the_next_one(self):
        async def scenario(fleet):
            request = fleet.generation("verdict", LONG, repeatable=False)
            outcome = Outcome()
            task = await self.start(fleet, request, outcome)
            name = self.holder(fleet, "verdict")
            address = fleet.addresses[name]
            engine = fleet.target_proxies[name].target
            fleet.kill_sidecar(name, address)
            await fleet.start_sidecar(name, address, engine=engine)
            await task
            self.assertIs(outcome.failure.run_state, RunState.OUTCOME_UNKNOWN)
            await asyncio.sleep(8.0)
            self.assertEqual(fleet.kv_used_tokens(), 0)

        self.run_fleet(scenario)

    def test_of_two_sidecars_on_a_slot_the_later_one_wins(self):
        async def scenario():
            earlier, later = RecordingDriver("a/1/1"), RecordingDriver("b/1/1")
            first = Reconciler(driver=earlier, incarnation="a")
            first.cancel_orphans(listing("a/1/1"))
            second = Reconciler(driver=later, incarnation="b")
            both = listing("a/1/1", "b/1/1")
            for reconciler in (second, first):
                reconciler.cancel_orphans(both)
            self.assertEqual(later.cancelled, [])
            await asyncio.sleep(PREDECESSOR_GRACE_S)
            for reconciler in (second, first):
                reconciler.cancel_orphans(both)
            self.assertEqual(later.cancelled, ["a/1/1"])
            self.assertEqual(earlier.cancelled, [])
            await asyncio.sleep(LONGEST_STREAM_S)
            first.cancel_orphans(both)
            self.assertEqual(earlier.cancelled, ["b/1/1"])

        self.run_paused(scenario())

    def test_an_own_stream_that_no_request_uses_is_removed_at_once(self):
        async def scenario():
            driver = RecordingDriver("a/1/1")
            Reconciler(driver=driver, incarnation="a").cancel_orphans(listing("a/1/1", "a/2/1"))
            self.assertEqual(driver.cancelled, ["a/2/1"])

        self.run_paused(scenario())


class CallDeduplicatorTest(PausedCase):
    def test_an_exchange_is_opened_once_for_any_order_of_frames(self):
        memory = CallDeduplicator()
        self.assertEqual(
            [memory.is_new(n) for n in (2, 1, 2, 1, 3)], [True, True, False, False, True]
        )
        for number in range(4, 3 * MAX_REMEMBERED_CALLS):
            memory.is_new(number)
        self.assertFalse(memory.is_new(1))
        self.assertLessEqual(len(memory._seen), MAX_REMEMBERED_CALLS)
