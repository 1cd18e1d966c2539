"""Tests what an HTTP/1.1 entry does after attempts that failed, and its time limits."""

import asyncio

from .support.gateways import GatewayCase, configuration, route


class RetryTest(GatewayCase):
    def fail_first(self, fleet, step):
        """Script a step for the first request at any target; all later requests succeed."""
        seen = []

        def choose_step(headers, number):
            seen.append(number)
            return step if len(seen) == 1 else None

        for target in fleet.targets.values():
            target.script = choose_step

    def test_handling_of_failed_attempts(self):
        cases = [
            # route kind, scripted step of the first target, expected status, expected runs
            ("safe", "lose", 200, 2),
            ("safe", "error", 200, 2),
            ("safe", "reset", 200, 1),
            ("safe", "hang", 200, 1),
            ("safe", 503, 200, 1),
            ("unsafe", "lose", 502, 1),
            ("unsafe", "error", 500, 1),
            ("unsafe", "reset", 502, 0),
            ("unsafe", 503, 503, 0),
            ("stream", "lose", 200, 2),
            ("stream", "error", 200, 2),
            ("stream", 503, 200, 1),
            ("stream", 0, 200, 2),
            ("stream", 2, 200, 2),
        ]
        for kind, step, status, runs in cases:
            with self.subTest(kind=kind, step=step):

                async def scenario(fleet, kind=kind, step=step):
                    self.fail_first(fleet, step)
                    reply = await fleet.ask(kind)
                    return reply, len(fleet.runs)

                reply, count = self.run_scenario(
                    scenario, targets=("pool", "pool", "engines", "engines")
                )
                self.assertEqual((reply.status, count), (status, runs))
                self.assertTrue(reply.whole)
                self.assertLess(reply.taken_s, 3.0)
                if kind == "stream":
                    self.assertEqual(reply.events, [1, 2, 3, 4, 5])

    # The next two guard against calls that are given up at a multiple of their latency target,
    # however long such calls take, and however much time their callers have.

    def test_call_that_takes_as_long_as_others_is_not_sent_to_a_second_target(self):
        async def scenario(fleet):
            for target in fleet.targets.values():
                target.work_s = 0.4
            replies = [await fleet.ask("safe") for _ in range(5)]
            return [reply.status for reply in replies], len(fleet.runs)

        config = configuration(3, routes=[route("safe", target_latency_ms=50)])
        self.assertEqual(self.run_scenario(scenario, config=config), ([200] * 5, 5))

    def test_call_without_a_response_is_given_up_in_time_for_another_target(self):
        async def scenario(fleet):
            await fleet.ask_many(8, "safe")
            self.fail_first(fleet, "hang")
            return await fleet.ask("safe", deadline_ms=600)

        config = configuration(3, routes=[route("safe", target_latency_ms=1000)])
        reply = self.run_scenario(scenario, config=config)
        self.assertEqual((reply.status, reply.whole), (200, True))

    def test_non_idempotent_call_waits_for_its_target(self):
        async def scenario(fleet):
            self.fail_first(fleet, "hang")
            return await fleet.ask("unsafe", deadline_ms=3000), fleet.runs

        reply, runs = self.run_scenario(scenario)
        self.assertEqual((reply.status, len(runs)), (504, 0))
        self.assertAlmostEqual(reply.taken_s, 3.0, delta=0.1)

    def test_max_attempts_limits_the_number_of_targets(self):
        async def scenario(fleet):
            for target in fleet.targets.values():
                target.script = lambda headers, number: "error"
            return await fleet.ask("safe"), fleet.runs

        reply, runs = self.run_scenario(scenario, targets=("pool",) * 5)
        self.assertEqual((reply.status, reply.body), (500, b"broken"))
        self.assertIn("server-seal", reply.headers)
        self.assertEqual(len(runs), 2)

    def test_refusal_is_unsigned_and_has_retry_after(self):
        async def scenario(fleet):
            for target in fleet.targets.values():
                target.script = lambda headers, number: 503
            return [await fleet.ask(kind) for kind in ("safe", "unsafe")], fleet.runs

        replies, runs = self.run_scenario(scenario)
        for reply in replies:
            self.assertEqual(reply.status, 503)
            self.assertGreater(float(reply.headers["retry-after"]), 0)
            self.assertNotIn("server-seal", reply.headers)
        self.assertEqual(runs, [])

    def test_failed_connect_does_not_count_as_a_send(self):
        async def scenario(fleet):
            fleet.targets["t-1"].stop()
            replies = await fleet.ask_many(4, "unsafe")
            return [reply.status for reply in replies], len(fleet.runs)

        self.assertEqual(self.run_scenario(scenario), ([200] * 4, 4))

    def test_retry_that_cannot_connect_takes_nothing_from_the_retry_budget(self):
        async def scenario(fleet):
            def lose_and_stop_others(target):
                target.script = None
                others = [other for other in fleet.targets.values() if other is not target]
                for other in others:
                    other.script = None
                for other in others[:-1]:
                    other.stop()
                return "lose"

            for target in fleet.targets.values():
                target.script = lambda headers, number, target=target: lose_and_stop_others(target)
            return await fleet.ask("safe")

        # Of four entries each may send one retry in half a second. Which target is next is drawn.
        for _ in range(6):
            reply = self.run_scenario(scenario, entries=4, targets=("pool",) * 4)
            self.assertEqual(reply.status, 200)

    def test_target_that_is_reachable_again_gets_requests(self):
        async def scenario(fleet):
            address = fleet.targets["t-1"].address
            fleet.network.unreachable.add(address)
            await fleet.ask_many(4)
            fleet.network.unreachable.clear()
            await asyncio.sleep(2)
            for _ in range(8):
                await fleet.ask_many(2)
            return len(fleet.targets["t-1"].runs)

        self.assertGreater(self.run_scenario(scenario), 0)

    def test_target_that_refuses_connections_finishes_its_stream_and_gets_no_new_ones(self):
        async def scenario(fleet):
            for target in fleet.targets.values():
                target.gap_s = 0.5
            old = fleet.loop.create_task(fleet.ask("stream", deadline_ms=10_000))
            await asyncio.sleep(0.2)
            leaving = next(target for target in fleet.targets.values() if target.runs)
            host, _, port = leaving.address.rpartition(":")
            fleet.network.stop_listening(host, port)
            await fleet.ask_many(3, "stream", deadline_ms=10_000)
            whole = (await old).whole
            await asyncio.sleep(1.0)
            breaker = fleet.gateways[0]._directory.find(leaving.instance_id).breaker
            return whole, breaker.is_open

        self.assertEqual(self.run_scenario(scenario, targets=("engines", "engines")), (True, True))

    def test_broken_stream_that_may_not_be_resumed_is_not_terminated_normally(self):
        routes = [route("stream", stream_resume=False)]

        async def scenario(fleet):
            self.fail_first(fleet, 2)
            return await fleet.ask("stream"), len(fleet.runs)

        reply, runs = self.run_scenario(
            scenario, targets=("engines", "engines"), config=configuration(3, routes=routes)
        )
        self.assertEqual((reply.status, reply.whole, reply.events, runs), (200, False, [1, 2], 1))

    def test_stream_resumes_after_the_last_complete_event(self):
        async def scenario(fleet):
            self.fail_first(fleet, 3)
            await fleet.ask("stream")
            return [(run.headers.get("last-event-id"), run.events) for run in fleet.runs]

        runs = self.run_scenario(scenario, targets=("engines", "engines"))
        self.assertEqual(runs, [(None, [1, 2, 3]), ("3", [4, 5])])

    def test_stalled_stream_is_resumed_on_another_target(self):
        async def scenario(fleet):
            asking = fleet.loop.create_task(fleet.ask("stream"))
            await asyncio.sleep(0.15)
            for target in fleet.targets.values():
                if target.runs:
                    fleet.network.drop_data_on_links_to(target.address)
            return await asking

        reply = self.run_scenario(scenario, targets=("engines", "engines"))
        self.assertEqual((reply.events, reply.whole), ([1, 2, 3, 4, 5], True))
        self.assertLess(reply.taken_s, 2.0)

    def test_slow_target_that_is_alive_keeps_its_stream(self):
        async def scenario(fleet):
            for target in fleet.targets.values():
                target.gap_s = 1.2
            return await fleet.ask("stream", deadline_ms=10_000), len(fleet.runs)

        reply, runs = self.run_scenario(scenario, targets=("engines", "engines"))
        self.assertEqual((reply.events, runs), ([1, 2, 3, 4, 5], 1))

    def test_stream_of_an_unreachable_target_is_resumed_sooner(self):
        async def scenario(fleet):
            asking = fleet.loop.create_task(fleet.ask("stream"))
            await asyncio.sleep(0.15)
            for target in fleet.targets.values():
                if target.runs:
                    fleet.network.unreachable.add(target.address)
            return await asking

        reply = self.run_scenario(scenario, targets=("engines", "engines"))
        self.assertEqual((reply.events, reply.whole), ([1, 2, 3, 4, 5], True))
        self.assertLess(reply.taken_s, 1.7)

    def test_stall_of_the_entry_does_not_time_out_its_targets(self):
        async def scenario(fleet):
            for target in fleet.targets.values():
                target.gap_s = 0.5
            asking = fleet.loop.create_task(fleet.ask("stream", deadline_ms=20_000))
            await asyncio.sleep(0.7)
            # Only the entry's clock jumps, so its timers are due before waiting data is read.
            fleet.loop.advance(4.0)
            reply = await asking
            return reply, len(fleet.runs)

        reply, runs = self.run_scenario(scenario, targets=("engines", "engines"))
        self.assertEqual((reply.events, runs), ([1, 2, 3, 4, 5], 1))

    def test_caller_resumes_with_last_event_id(self):
        async def scenario(fleet):
            reply = await fleet.ask("stream", headers=((b"Last-Event-Id", b"3"),))
            return reply.events

        self.assertEqual(self.run_scenario(scenario, targets=("engines",)), [4, 5])

    def test_retry_budget_limits_retries(self):
        async def scenario(fleet):
            for target in fleet.targets.values():
                target.script = lambda headers, number: "error"
            for _ in range(40):
                await fleet.ask_many(5)
            return len(fleet.runs) - 200

        self.assertLessEqual(self.run_scenario(scenario), 0.1 * 200 + 20)


class DeadlineTest(GatewayCase):
    def test_route_timeout_limits_the_duration_of_a_request(self):
        for kind in ("safe", "unsafe", "stream"):
            with self.subTest(kind):
                routes = [route(kind, timeout_ms=1500)]

                async def scenario(fleet, kind=kind):
                    for target in fleet.targets.values():
                        target.work_s = 60
                    return await fleet.ask(kind, deadline_ms=9000), fleet.runs

                reply, runs = self.run_scenario(
                    scenario,
                    targets=("pool", "pool", "engines", "engines"),
                    config=configuration(3, routes=routes),
                )
                self.assertIn(reply.status, (502, 504))
                self.assertLess(reply.taken_s, 2.0)
                self.assertTrue(all(run.cancelled for run in runs))
                self.assertLessEqual(int(runs[0].headers["deadline-remaining-ms"]), 1500)

    def test_request_is_cancelled_at_its_target_when_the_caller_disconnects(self):
        for kind in ("safe", "unsafe", "stream"):
            with self.subTest(kind):

                async def scenario(fleet, kind=kind):
                    for target in fleet.targets.values():
                        target.work_s = 60
                    await fleet.ask(kind, disconnect_after_s=0.2)
                    await asyncio.sleep(0.05)
                    return [run.cancelled for run in fleet.runs]

                self.assertEqual(self.run_scenario(scenario, targets=("pool", "engines")), [True])

    def test_queued_request_of_a_disconnected_caller_is_not_sent(self):
        async def scenario(fleet):
            target = fleet.targets["t-1"]
            target.work_s = 1.0
            busy = [fleet.loop.create_task(fleet.ask()) for _ in range(8)]
            await asyncio.sleep(0.1)
            await fleet.ask(disconnect_after_s=0.2, request_id="left")
            for task in busy:
                await task
            await asyncio.sleep(2)
            return [run.request_id for run in target.runs]

        routes = [route("safe", target_latency_ms=5000)]
        runs = self.run_scenario(
            scenario, targets=("pool",), config=configuration(3, routes=routes)
        )
        self.assertEqual(len(runs), 8)
        self.assertNotIn("left", runs)

    def test_request_of_a_caller_that_disconnected_during_a_stall_is_not_sent(self):
        async def scenario(fleet):
            transport, _ = await fleet.loop.create_connection(asyncio.Protocol, "10.0.0.1", 80)
            await asyncio.sleep(0.05)
            # The entry is stalled, so it reads the request and shortly afterwards the close.
            fleet.loop.advance(3.0)
            transport.write(fleet.render("stream"))
            fleet.loop.call_later(0.01, transport.abort)
            staying = await fleet.ask("stream")
            await asyncio.sleep(0.5)
            return staying, len(fleet.runs)

        staying, runs = self.run_scenario(scenario, targets=("engines",))
        self.assertEqual((staying.status, runs), (200, 1))

    def test_request_without_any_target_is_refused_at_once(self):
        async def scenario(fleet):
            return await fleet.ask("unsafe"), await fleet.ask("stream")

        for reply in self.run_scenario(scenario, targets=()):
            self.assertEqual(reply.status, 503)
            self.assertLess(reply.taken_s, 0.1)
            self.assertIn("retry-after", reply.headers)

    def test_event_gap_below_the_timeout_keeps_the_stream(self):
        async def scenario(fleet):
            fleet.targets["t-1"].gap_s = 0.9
            return await fleet.ask("stream")

        reply = self.run_scenario(scenario, targets=("engines",))
        self.assertEqual((reply.events, reply.whole), ([1, 2, 3, 4, 5], True))


class UsedUpBudgetTest(GatewayCase):
    def test_entry_does_not_spin_when_a_retry_is_not_sent_and_the_budget_is_used_up(self):
        async def scenario(fleet):
            gateway = fleet.gateways[0]
            # One retry in all.
            gateway._budget.set_limits(ratio=0.0, slack=2, window_s=10.0)
            acquire, calls = gateway._scheduler.acquire, []

            async def counted_acquire(*args, **options):
                calls.append(None)
                self.assertLess(len(calls), 20)
                return await acquire(*args, **options)

            gateway._scheduler.acquire = counted_acquire

            def refuse_alone(target):
                for other in fleet.targets.values():
                    if other is not target:
                        other.stop()
                return 503

            for target in fleet.targets.values():
                target.script = lambda headers, number, target=target: refuse_alone(target)
            return await fleet.ask("safe")

        reply = self.run_scenario(scenario, targets=("pool",) * 4)
        self.assertEqual(reply.status, 503)
