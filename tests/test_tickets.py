"""Tests memory reservations for prompts that do not fit into one engine."""

import asyncio
import itertools
from functools import partial

from .support.gateways import GatewayFleet, configuration, route
from .support.known_red import known_red
from .support.streams import NetworkCase

LONG_PROMPT = (500_000, 400)
ROUTES = [
    route("stream", target_latency_ms=3000, gap_target_ms=1000, timeout_ms=15_000, max_attempts=2)
]
HOLD_AFTER_USE_S = 4.0
UNUSED_HOLD_S = 9.0
HELD_STEP_S = 0.1
RENEWED_AFTER_S = 1.4
APPLIED_LATE_S = 6.0
MAX_LATE_HOLD_S = 2.0


def refuse_reserve_orders(order):
    return 409 if order["operation"] == "reserve" else 200


class ReservationCase(NetworkCase):
    def run_scenario(self, scenario, *, engines=4, entries=1, routes=ROUTES):
        async def run():
            fleet = GatewayFleet()
            await fleet.start(
                entries=entries,
                targets=("engines",) * engines,
                config=configuration(3, routes=routes),
                settle_s=2.5,
            )
            return await scenario(fleet)

        return self.run_paused(run())

    def ask(self, fleet, **options):
        return fleet.ask("stream", tokens=LONG_PROMPT, deadline_ms=15_000, **options)

    def held(self, fleet):
        """Return the names of the reservations that engines hold."""
        return [name for target in fleet.targets.values() for name in target.tickets]

    def orders(self, fleet, operation):
        return [
            name for t in fleet.targets.values() for kind, name in t.orders if kind == operation
        ]


class ReservationTest(ReservationCase):
    def test_memory_is_reserved_used_and_released(self):
        async def scenario(fleet):
            asking = fleet.loop.create_task(self.ask(fleet))
            await asyncio.sleep(0.1)
            during = self.held(fleet)
            reply = await asking
            await asyncio.sleep(0.1)
            return during, reply, fleet.runs, self.held(fleet)

        during, reply, runs, after = self.run_scenario(scenario)
        self.assertEqual((reply.status, reply.whole), (200, True))
        self.assertEqual(reply.events, [1, 2, 3, 4, 5])
        helpers = runs[0].headers["helpers"].split(",")
        named = {helper.partition("/")[2] for helper in helpers if "/" in helper}
        self.assertEqual(named, set(during))
        self.assertGreaterEqual(len(during), 2)
        # Helpers with a reservation come first: the prompt fills their memory in header order.
        with_ticket = ["/" in helper for helper in helpers]
        self.assertEqual(with_ticket, sorted(with_ticket, reverse=True))
        self.assertEqual(after, [])

    def test_suspended_entry_sends_no_request_with_a_reservation_that_expired_meanwhile(self):
        async def scenario(fleet):
            manager = fleet.gateways[0]._reservations
            reserve_all = manager.reserve_all
            missing, groups = [], []

            async def reserve_then_suspend(*args):
                held = await reserve_all(*args)
                groups.append(held)
                if len(groups) == 1:
                    fleet.loop.advance(HOLD_AFTER_USE_S)
                    for target in fleet.targets.values():
                        target.tickets.clear()
                return held

            def check_tickets(headers, number):
                names = [h.partition("/")[2] for h in headers["helpers"].split(",") if "/" in h]
                missing.extend(set(names) - set(self.held(fleet)))

            manager.reserve_all = reserve_then_suspend
            for target in fleet.targets.values():
                target.script = check_tickets
            reply = await self.ask(fleet)
            return reply, missing, len(groups)

        patient = [{**ROUTES[0], "target_latency_ms": 10_000}]
        reply, missing, reserved = self.run_scenario(scenario, routes=patient)
        self.assertEqual((reply.status, reply.whole), (200, True))
        self.assertEqual((missing, reserved), ([], 2))

    def test_targets_accept_the_number_of_engines_that_a_prompt_lists(self):
        async def scenario(fleet):
            return [await self.ask(fleet, entry=0) for _ in range(3)], fleet.runs

        replies, runs = self.run_scenario(scenario, engines=30)
        self.assertEqual([reply.status for reply in replies], [200] * 3)
        self.assertEqual(len(runs), 3)

    def test_no_two_requests_share_a_reservation(self):
        async def scenario(fleet):
            await asyncio.gather(*(self.ask(fleet, entry=n % 2) for n in range(4)))
            return self.orders(fleet, "reserve"), self.held(fleet)

        reserved, held = self.run_scenario(scenario, engines=8, entries=2)
        self.assertEqual(len(reserved), len(set(reserved)))
        self.assertEqual(held, [])

    def test_reservation_is_renewed_while_in_use(self):
        async def scenario(fleet):
            for target in fleet.targets.values():
                target.work_s = 5.0
            reply = await self.ask(fleet)
            return reply, self.orders(fleet, "reserve"), self.held(fleet)

        reply, reserved, held = self.run_scenario(scenario)
        self.assertTrue(reply.whole)
        per_ticket = len(reserved) / len(set(reserved))
        self.assertGreaterEqual(per_ticket, 2)
        self.assertLessEqual(per_ticket, 4)
        self.assertEqual(held, [])

    def test_reservation_outlasts_an_engine_that_answers_no_order_for_a_second(self):
        async def scenario(fleet):
            accepted, hold_s = {}, []

            def handle(order):
                began_s = min(accepted.values(), default=[fleet.loop.time()])[0]
                if order["operation"] != "reserve" or 1.3 < fleet.loop.time() - began_s < 2.4:
                    return "hang"
                accepted.setdefault(order["id"], []).append(fleet.loop.time())
                hold_s.append(order["hold_ms"] / 1000)
                return 200

            for target in fleet.targets.values():
                target.order_handler = handle
                target.work_s = 8.0
            asking = fleet.loop.create_task(self.ask(fleet))
            await asyncio.sleep(6.0)
            asking.cancel()
            return accepted, min(hold_s)

        accepted, hold_s = self.run_scenario(scenario)
        self.assertTrue(accepted)
        for times_s in accepted.values():
            gaps_s = [after - before for before, after in itertools.pairwise(times_s)]
            self.assertLess(max(gaps_s), hold_s)

    def hold_unused(self, script, *, play_s=14.0):
        """Ask for a prompt whose host does what `script` says, and never retry it.

        Returns:
            The reply, the longest time for which a reservation was held, and the number of runs.
        """

        async def scenario(fleet):
            for target in fleet.targets.values():
                target.script = script
                target.work_s = 8.0
            asking = fleet.loop.create_task(self.ask(fleet))
            steps = [0]
            for _ in range(int(play_s / HELD_STEP_S)):
                await asyncio.sleep(HELD_STEP_S)
                steps.append(steps[-1] + 1 if self.held(fleet) else 0)
            return await asking, max(steps) * HELD_STEP_S, len(fleet.runs)

        routes = [dict(ROUTES[0], max_attempts=1)]
        return self.run_scenario(scenario, routes=routes)

    def test_memory_that_a_hung_engine_never_uses_is_released_and_the_caller_told(self):
        reply, held_s, runs = self.hold_unused(lambda headers, number: "hang")
        self.assertLess(held_s, UNUSED_HOLD_S)
        self.assertEqual((reply.status, runs), (502, 0))
        self.assertLess(reply.taken_s, UNUSED_HOLD_S)

    def test_memory_in_use_by_a_prompt_without_output_stays_reserved(self):
        reply, held_s, runs = self.hold_unused(None)
        self.assertEqual((reply.status, reply.whole, runs), (200, True, 1))
        self.assertGreater(held_s, 8.0)

    def test_hold_time_is_below_the_leak_limit(self):
        async def scenario(fleet):
            holds = []

            def record_hold(order):
                holds.append(order.get("hold_ms", 0))
                return 200

            for target in fleet.targets.values():
                target.order_handler = record_hold
            await self.ask(fleet)
            return [hold for hold in holds if hold]

        for hold_ms in self.run_scenario(scenario):
            self.assertLess(hold_ms / 1000, HOLD_AFTER_USE_S)

    def test_host_without_the_memory_is_left_at_once_for_another(self):
        async def scenario(fleet):
            full = set()

            def refuse_first_host(order, name):
                # The first ticket of a work id is the host's.
                is_host = order["operation"] == "reserve" and order["id"].endswith("-0")
                if is_host and full <= {name}:
                    full.add(name)
                    return 409
                return 200

            for target in fleet.targets.values():
                target.order_handler = lambda order, name=target.instance_id: refuse_first_host(
                    order, name
                )
            reply = await self.ask(fleet)
            return reply, full, [name for name, t in fleet.targets.items() if t.runs]

        reply, full, hosts = self.run_scenario(scenario, engines=6)
        self.assertEqual((reply.status, reply.whole), (200, True))
        self.assertEqual((len(full), len(hosts)), (1, 1))
        self.assertTrue(full.isdisjoint(hosts))


class ReleaseTest(ReservationCase):
    async def caller_disconnects(self, fleet):
        await self.ask(fleet, disconnect_after_s=0.3)

    async def connection_is_reset(self, fleet):
        self.script_all(fleet, "lose")
        await self.ask(fleet)

    async def engine_refuses(self, fleet):
        self.script_all(fleet, 503)
        await self.ask(fleet)

    async def no_memory(self, fleet):
        for target in fleet.targets.values():
            target.order_handler = refuse_reserve_orders
        await self.ask(fleet)

    async def no_memory_on_one_engine(self, fleet):
        fleet.targets["t-1"].order_handler = refuse_reserve_orders
        await self.ask(fleet)

    async def deadline_exceeded(self, fleet):
        for target in fleet.targets.values():
            target.work_s = 30
        await self.ask(fleet)

    def script_all(self, fleet, step):
        for target in fleet.targets.values():
            target.script = lambda headers, number: step

    def test_all_memory_is_released_however_the_request_ends(self):
        for case in (
            self.caller_disconnects,
            self.connection_is_reset,
            self.engine_refuses,
            self.no_memory,
            self.no_memory_on_one_engine,
            self.deadline_exceeded,
        ):
            with self.subTest(case.__name__):

                async def scenario(fleet, case=case):
                    await case(fleet)
                    await asyncio.sleep(1.0)
                    return self.held(fleet)

                self.assertEqual(self.run_scenario(scenario), [])

    def test_reserve_order_applied_late_is_released(self):
        async def scenario(fleet):
            late = []

            def hang_and_apply(order):
                if order["operation"] != "reserve":
                    return 200
                late.append(order["id"])
                target.apply_reservation_later(order, 6.0)
                return "hang"

            target = fleet.targets["t-1"]
            target.order_handler = hang_and_apply
            await self.ask(fleet)
            appeared = False
            stays = []
            for _ in range(200):
                await asyncio.sleep(0.1)
                appeared |= bool(target.tickets)
                stays.append(bool(target.tickets))
            longest = max(len(run) for run in "".join("x" if s else " " for s in stays).split())
            return late, appeared, longest / 10, self.held(fleet)

        late, appeared, longest_s, held = self.run_scenario(scenario)
        self.assertTrue(late and appeared)
        self.assertLess(longest_s, 2.0)
        self.assertEqual(held, [])

    # An order that is cut off does not count as one that may still be applied.
    @known_red
    def test_renewal_that_its_request_cut_off_is_released_once_it_is_applied_late(self):
        async def scenario(fleet):
            applied = []

            def hang_and_apply_renewal(target, order):
                is_renewal = ("reserve", order["id"]) in target.orders[:-1]
                if order["operation"] != "reserve" or not is_renewal:
                    return 200
                applied.append(order["id"])
                target.apply_reservation_later(order, APPLIED_LATE_S)
                return "hang"

            for target in fleet.targets.values():
                target.work_s = 5.0
                target.order_handler = partial(hang_and_apply_renewal, target)
            await self.ask(fleet, disconnect_after_s=RENEWED_AFTER_S + 0.1)
            await asyncio.sleep(APPLIED_LATE_S + MAX_LATE_HOLD_S)
            return applied, self.held(fleet)

        applied, held = self.run_scenario(scenario)
        self.assertTrue(applied)
        self.assertEqual(held, [])

    def test_reserve_order_without_response_is_retried(self):
        async def scenario(fleet):
            asked = []

            def lose_first(order):
                asked.append(order["id"])
                return "hang" if asked.count(order["id"]) == 1 else 200

            for target in fleet.targets.values():
                target.order_handler = lose_first
            reply = await self.ask(fleet)
            return reply, len(fleet.runs)

        reply, runs = self.run_scenario(scenario)
        self.assertEqual((reply.status, reply.whole, runs), (200, True, 1))
        self.assertLess(reply.taken_s, 1.0)

    def test_release_order_without_response_is_retried(self):
        async def scenario(fleet):
            seen = []

            def lose_first(order):
                if order["operation"] == "release" and order["id"] not in seen:
                    seen.append(order["id"])
                    return "hang"
                return 200

            for target in fleet.targets.values():
                target.order_handler = lose_first
            await self.ask(fleet)
            await asyncio.sleep(3.0)
            return seen, self.held(fleet)

        seen, held = self.run_scenario(scenario)
        self.assertTrue(seen)
        self.assertEqual(held, [])

    def test_request_without_reservation_is_placed_on_other_targets(self):
        async def scenario(fleet):
            fleet.targets["t-1"].order_handler = refuse_reserve_orders
            return await self.ask(fleet)

        reply = self.run_scenario(scenario, engines=6)
        self.assertEqual((reply.status, reply.whole), (200, True))


class HelperTest(ReservationCase):
    def test_failed_helper_is_excluded_by_all_entries(self):
        async def scenario(fleet):
            def refuse_with(address):
                def script(headers, number):
                    return f"blame {address}" if address in headers.get("helpers", "") else None

                return script

            # The last choice of the first entry as host, so that it is asked to help.
            preference = fleet.gateways[0]._scheduler._candidates._preference
            bad = max(fleet.targets.values(), key=lambda target: preference(target.instance_id))
            # As host it lists its own ticket, which is no help.
            for target in fleet.targets.values():
                target.script = None if target is bad else refuse_with(bad.address)
            replies = []
            for number in range(6):
                replies.append(
                    await fleet.ask(
                        "stream", tokens=(210_000, 400), deadline_ms=15_000, entry=number % 2
                    )
                )
            refused = sum(target.refused for target in fleet.targets.values())
            return [reply.status for reply in replies], refused

        statuses, refused = self.run_scenario(scenario, engines=6, entries=2)
        self.assertEqual(statuses, [200] * 6)
        self.assertEqual(refused, 1)
