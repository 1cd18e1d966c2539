"""Tests that a request which an entry has read ends with a complete answer or a refusal."""

import asyncio
import functools

from cicadatiller.gateway import GatewaySettings

from .support.gateways import ENGINE, GatewayCase, configuration, parse_reply, route

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


class SilentAndOtherTargetTest(GatewayCase):
    """A silent target that goes on while the request is at another one."""

    async def silence_target_of_stream(self, fleet, **options):
        """Send a stream's request; return the task, its target, and the other targets."""
        asking = fleet.loop.create_task(fleet.ask("stream", deadline_ms=8000, **options))
        await asyncio.sleep(0.15)
        silent = next(t for t in fleet.targets.values() if fleet.runs[-1] in t.runs)
        return asking, silent, [t for t in fleet.targets.values() if t is not silent]

    def assert_whole_before(self, reply, limit_s):
        self.assertEqual((reply.events, reply.whole), ([1, 2, 3, 4, 5], True), reply)
        self.assertLess(reply.taken_s, limit_s)

    def test_stream_goes_on_at_the_silent_target_when_the_other_one_hangs(self):
        async def scenario(fleet):
            asking, silent, others = await self.silence_target_of_stream(fleet)
            for other in others:
                other.script = lambda headers, number: "hang"
            await silent.fall_silent(SILENCE_S)
            return await asking

        self.assert_whole_before(self.run_scenario(scenario, targets=("engines",) * 2), 2.0)

    def test_stream_goes_on_at_the_silent_target_when_the_other_one_is_late(self):
        async def scenario(fleet):
            asking, silent, (other,) = await self.silence_target_of_stream(fleet)
            other.work_s = 3.0
            await silent.fall_silent(SILENCE_S)
            reply = await asking
            await asyncio.sleep(0.1)
            return reply, fleet.runs[1].cancelled

        reply, is_cancelled = self.run_scenario(scenario, targets=("engines",) * 2)
        self.assert_whole_before(reply, 2.0)
        self.assertTrue(is_cancelled)

    def test_stream_goes_on_at_the_silent_target_after_a_wrong_event_of_the_other_one(self):
        async def scenario(fleet):
            asking, silent, (other,) = await self.silence_target_of_stream(fleet)
            stream = other._stream

            async def stream_from_the_start(run, headers, *rest):
                headers.pop("last-event-id", None)
                await stream(run, headers, *rest)

            other._stream = stream_from_the_start
            await silent.fall_silent(SILENCE_S)
            return await asking

        self.assert_whole_before(self.run_scenario(scenario, targets=("engines",) * 2), 2.0)

    def test_stream_is_left_running_at_one_target_only(self):
        async def scenario(fleet):
            for target in fleet.targets.values():
                target.events = 60
            asking, silent, others = await self.silence_target_of_stream(fleet)
            silences = [fleet.loop.create_task(silent.fall_silent(2.3))]
            await asyncio.sleep(0.75)
            silences += [fleet.loop.create_task(other.fall_silent(2.2)) for other in others]
            await asyncio.gather(*silences)
            await asyncio.sleep(1.0)
            still_running = sum(not run.cancelled for run in fleet.runs)
            return await asking, still_running

        routes = [route("stream", max_attempts=3)]
        reply, still_running = self.run_scenario(
            scenario, targets=("engines",) * 3, config=configuration(3, routes=routes)
        )
        self.assertEqual((reply.events, reply.whole), (list(range(1, 61)), True))
        self.assertEqual(still_running, 1)

    def test_target_that_hangs_is_given_up_long_before_the_deadline(self):
        async def scenario(fleet):
            for target in fleet.targets.values():
                target.script = lambda headers, number: (
                    503 if "last-event-id" in headers else None
                )
            asking, silent, _ = await self.silence_target_of_stream(fleet)
            await silent.fall_silent(7.0)
            return await asking

        reply = self.run_scenario(scenario, targets=("engines",) * 2)
        self.assertEqual((reply.events, reply.whole), ([1, 2, 3], False))
        self.assertLess(reply.taken_s, 5.0)

    def test_retry_that_is_not_sent_costs_none_of_the_budget(self):
        async def scenario(fleet):
            asking, silent, _ = await self.silence_target_of_stream(fleet)
            await silent.fall_silent(SILENCE_S)
            await asking
            budget = fleet.gateways[0]._budget
            return {name: retries for name, _, retries in budget.own_use(fleet.loop.time())}

        retries = self.run_scenario(scenario, targets=("engines",))
        self.assertEqual(retries.get("engines", 0), 0)

    def test_no_slot_stays_taken_when_the_caller_leaves_at_any_step_of_a_move(self):
        async def play(fleet, steps):
            transport, _ = await fleet.open_caller()
            transport.write(fleet.render("stream", deadline_ms=9000))
            await asyncio.sleep(0.15)
            silent = next(t for t in fleet.targets.values() if fleet.runs[-1] in t.runs)
            silence = fleet.loop.create_task(silent.fall_silent(SILENCE_S))
            before = len(fleet.runs)
            scheduler = fleet.gateways[0]._scheduler
            acquire, granted = scheduler.acquire, asyncio.Event()

            async def acquire_and_tell(job, **options):
                grant = await acquire(job, **options)
                granted.set()
                return grant

            scheduler.acquire = acquire_and_tell
            await granted.wait()
            for _ in range(steps):
                await asyncio.sleep(0)
            (connection,) = fleet.gateways[0]._caller_server._connections
            connection._task.cancel()
            await silence
            transport.abort()
            scheduler.acquire = acquire
            await asyncio.sleep(1.0)
            self.assertLessEqual(len(fleet.runs) - before, 1)
            board = fleet.gateways[0].board
            return sum(board.load(name).in_flight for name in fleet.targets)

        for steps in range(12):
            with self.subTest(steps=steps):
                taken = self.run_scenario(
                    lambda fleet, steps=steps: play(fleet, steps), targets=("engines",) * 2
                )
                self.assertEqual(taken, 0)

    def test_memory_of_a_host_that_hangs_is_free_for_the_next_attempt(self):
        async def scenario(fleet):
            def accept(target, order):
                if order["operation"] != "reserve" or order["id"] in target.tickets:
                    return 200
                used = sum(target.tickets.values()) + order["tokens"]
                return 409 if used > ENGINE["kv_capacity_tokens"] else 200

            steps = iter(["hang"])
            for target in fleet.targets.values():
                target.order_handler = functools.partial(accept, target)
                target.script = lambda headers, number: next(steps, None)
            return await fleet.ask("stream", deadline_ms=110_000, tokens=(300_000, 100))

        routes = [route("stream", timeout_ms=120_000, target_latency_ms=20_000)]
        reply = self.run_scenario(
            scenario, targets=("engines",) * 3, config=configuration(3, routes=routes)
        )
        self.assert_whole_before(reply, 40.0)


class ShutdownTest(GatewayCase):
    def test_pipelined_requests_are_answered_in_the_shutdown(self):
        async def scenario(fleet):
            for target in fleet.targets.values():
                target.work_s = 1.0
            transport, caller = await fleet.open_caller()
            transport.write(fleet.render("safe") + fleet.render("safe"))
            await asyncio.sleep(0.5)
            fleet.stop()
            await asyncio.sleep(4.0)
            return caller.data.count(b"HTTP/1.1 200"), caller.ended.is_set()

        self.assertEqual(self.run_scenario(scenario), (2, True))

    def test_request_whose_body_ends_late_in_the_shutdown_is_refused(self):
        async def scenario(fleet):
            fleet.targets["t-1"].gap_s = 0.9
            transport, caller = await fleet.open_caller()
            data = fleet.render("stream", body=b"x" * 10, deadline_ms=10_000)
            transport.write(data[:-5])
            await asyncio.sleep(0.1)
            fleet.stop()
            await asyncio.sleep(4.0)
            transport.write(data[-5:])
            await asyncio.sleep(1.0)
            return parse_reply(caller.data, ended=True), fleet.runs

        reply, runs = self.run_scenario(scenario, targets=("engines",))
        self.assertEqual((reply.status, reply.whole, runs), (503, True, []))
        self.assertIn("retry-after", reply.headers)


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


class HeadRequestTest(GatewayCase):
    def test_head_request_is_answered_though_its_response_states_a_length(self):
        async def scenario(fleet):
            transport, caller = await fleet.open_caller()
            transport.write(fleet.render().replace(b"GET", b"HEAD", 1))
            await asyncio.sleep(0.5)
            return caller.data

        head = self.run_scenario(scenario)
        self.assertTrue(head.startswith(b"HTTP/1.1 200 "), head)
        self.assertTrue(head.endswith(b"\r\n\r\n"))
        self.assertNotIn(b"Content-Length: 0", head)


class CallerConnectionsTest(GatewayCase):
    def test_connections_above_the_bound_of_the_settings_are_closed_and_the_others_served(self):
        async def scenario(fleet):
            fleet.settings = GatewaySettings(max_caller_connections=1)
            await fleet.add_gateway()
            await asyncio.sleep(1.5)
            await fleet.open_caller(1)
            _, refused = await fleet.open_caller(1)
            await asyncio.sleep(0.1)
            return refused.ended.is_set(), (await fleet.ask()).status

        self.assertEqual(self.run_scenario(scenario), (True, 200))

    def test_bound_of_connections_must_be_above_zero(self):
        with self.assertRaisesRegex(ValueError, "max_caller_connections"):
            GatewaySettings(max_caller_connections=0)


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
