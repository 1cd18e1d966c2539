"""Tests that a request which an entry has read ends with a complete answer or a refusal."""

import asyncio

from .support.gateways import GatewayCase, configuration, route

SILENCE_S = 1.2


class SilentTargetTest(GatewayCase):
    """Targets that send nothing for about a second, and then go on."""

    async def ask_target_that_falls_silent(self, fleet, kind="stream", *, after_s=0.15, **options):
        """Send a request, and let the target that runs it last fall silent."""
        asking = fleet.loop.create_task(fleet.ask(kind, deadline_ms=10_000, **options))
        await asyncio.sleep(after_s)
        last_run = fleet.runs[-1]
        target = next(t for t in fleet.targets.values() if last_run in t.runs)
        await target.fall_silent(SILENCE_S)
        return await asking

    def assert_whole_stream(self, reply):
        self.assertEqual(
            (reply.status, reply.events, reply.whole), (200, [1, 2, 3, 4, 5], True), reply
        )

    def test_stream_is_not_cut_when_there_is_no_other_target(self):
        reply = self.run_scenario(self.ask_target_that_falls_silent, targets=("engines",))
        self.assert_whole_stream(reply)

    def test_stream_is_not_cut_when_its_attempts_are_used_up(self):
        async def scenario(fleet):
            for target in fleet.targets.values():
                target.script = lambda headers, number: None if "last-event-id" in headers else 1
            return await self.ask_target_that_falls_silent(fleet)

        reply = self.run_scenario(scenario, targets=("engines", "engines", "engines"))
        self.assert_whole_stream(reply)

    def test_stream_is_not_cut_when_the_other_targets_refuse_it(self):
        async def scenario(fleet):
            for target in fleet.targets.values():
                target.script = lambda headers, number: 503 if "last-event-id" in headers else None
            return await self.ask_target_that_falls_silent(fleet)

        reply = self.run_scenario(scenario, targets=("engines", "engines", "engines"))
        self.assert_whole_stream(reply)

    def test_stream_is_not_cut_when_the_retry_budget_is_used_up(self):
        async def scenario(fleet):
            fleet.gateways[0]._budget.set_limits(ratio=0.0, slack=0, window_s=10.0)
            return await self.ask_target_that_falls_silent(fleet)

        reply = self.run_scenario(scenario, targets=("engines", "engines"))
        self.assert_whole_stream(reply)

    def test_stream_is_not_cut_when_no_other_target_has_a_free_slot(self):
        async def scenario(fleet):
            for target in fleet.targets.values():
                target.gap_s = 1.0
            others = [
                fleet.loop.create_task(fleet.ask("stream", deadline_ms=10_000)) for _ in range(15)
            ]
            await asyncio.sleep(0.1)
            reply = await self.ask_target_that_falls_silent(fleet, after_s=0.6)
            return reply, await asyncio.gather(*others)

        reply, others = self.run_scenario(scenario, targets=("engines", "engines"))
        self.assert_whole_stream(reply)
        for other in others:
            self.assert_whole_stream(other)

    def test_silent_target_is_left_once_another_one_sends_the_next_event(self):
        async def scenario(fleet):
            reply = await self.ask_target_that_falls_silent(fleet)
            await asyncio.sleep(1.0)
            return reply, [(run.events, run.cancelled) for run in fleet.runs]

        reply, runs = self.run_scenario(scenario, targets=("engines", "engines"))
        self.assert_whole_stream(reply)
        self.assertEqual(runs, [([1, 2, 3], True), ([4, 5], False)])

    def test_streams_are_not_cut_beside_a_change_of_the_configuration(self):
        async def scenario(fleet):
            asking = [
                fleet.loop.create_task(fleet.ask("stream", deadline_ms=10_000)) for _ in range(4)
            ]
            await asyncio.sleep(0.15)
            fleet.store.write("keyed.op", "config", configuration(4))
            silences = (target.fall_silent(SILENCE_S) for target in fleet.targets.values())
            await asyncio.gather(*silences)
            return await asyncio.gather(*asking)

        for reply in self.run_scenario(scenario, targets=("engines", "engines")):
            self.assert_whole_stream(reply)

    def test_first_event_is_awaited_when_there_is_no_other_target(self):
        async def scenario(fleet):
            fleet.targets["t-1"].work_s = 0.3
            return await self.ask_target_that_falls_silent(fleet, after_s=0.1)

        self.assert_whole_stream(self.run_scenario(scenario, targets=("engines",)))

    def test_call_is_answered_when_the_other_target_refuses_it(self):
        async def scenario(fleet):
            for target in fleet.targets.values():
                target.work_s = 0.3
                target.script = lambda headers, number: 503 if len(fleet.runs) else None
            return await self.ask_target_that_falls_silent(fleet, "safe", after_s=0.1)

        reply = self.run_scenario(scenario)
        self.assertEqual((reply.status, reply.whole), (200, True), reply)


class HandlerErrorTest(GatewayCase):
    def test_request_is_answered_when_its_handler_raises(self):
        async def scenario(fleet):
            def raise_error(*args, **options):
                raise KeyError("no such service")

            fleet.gateways[0]._scheduler.acquire = raise_error
            return await fleet.ask("unsafe")

        reply = self.run_scenario(scenario)
        self.assertEqual((reply.status, reply.whole), (502, True), reply)

    def test_resumed_stream_is_not_cut_by_an_answer_that_is_no_stream(self):
        async def scenario(fleet):
            steps = iter((2, "missing", None))
            for target in fleet.targets.values():
                target.script = lambda headers, number: next(steps)
            return await fleet.ask("stream")

        reply = self.run_scenario(
            scenario,
            targets=("engines",) * 3,
            config=configuration(3, routes=[route("stream", max_attempts=3)]),
        )
        self.assertEqual((reply.events, reply.whole), ([1, 2, 3, 4, 5], True))


class IdleConnectionTest(GatewayCase):
    def test_kept_connection_stays_open_after_a_change_that_lengthens_the_idle_timeout(self):
        async def scenario(fleet):
            transport, caller = await fleet.open_caller()
            transport.write(fleet.render())
            await asyncio.sleep(1.0)
            caller.data = b""
            limits = configuration(4)["limits"] | {"idle_timeout_ms": 60_000}
            fleet.store.write("keyed.op", "config", configuration(4, limits=limits))
            await asyncio.sleep(40.0)
            transport.write(fleet.render())
            await asyncio.sleep(1.0)
            return caller.data

        self.assertIn(b" 200 ", self.run_scenario(scenario))
