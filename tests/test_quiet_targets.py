"""Tests of targets that refuse with status 503 and a time for which they want no requests."""

import asyncio
import unittest

from cicadatiller import fleet as fleet_package
from cicadatiller.egress import ConnectionLostError, ResponseHead
from cicadatiller.fleet import TargetDirectory, TargetRecord, TargetState
from cicadatiller.gateway._redialer import Redialer
from cicadatiller.kernel import TaskSet
from cicadatiller.platform import PlatformHeaders

from .support.gateways import GatewayCase, configuration, route
from .support.paused_loop import PausedCase

BURST = 12
LONG_PROMPT = (500_000, 400)
PATIENT_ROUTES = [route("unsafe", target_latency_ms=4000)]
LONG_ROUTES = [
    route("stream", target_latency_ms=3000, gap_target_ms=1000, timeout_ms=15_000, max_attempts=2)
]
# Requests that are under way when the response arrives may still reach the target.
UNDER_WAY_S = 0.5


def refuse(target, retry_after, *, step=503):
    """Let a target refuse all requests from now on."""
    target.retry_after = retry_after
    target.script = lambda headers, number: step


def serve(target):
    target.script = None


def make_directory(*names):
    directory = TargetDirectory()
    for name in names:
        directory.put(
            TargetRecord(
                instance_id=name,
                service="pool",
                address=f"{name}:80",
                data_centre="c0",
                slots=8,
                state=TargetState.READY,
            )
        )
    return directory


class QuietCase(GatewayCase):
    def received_since(self, target, since_s):
        return [path for time_s, path in target.received if time_s > since_s]

    async def load(self, fleet, kind, duration_s, *, interval_s=0.1, burst=1):
        """Send requests at a steady rate and return the replies."""
        asking = []
        end_s = fleet.loop.time() + duration_s
        while fleet.loop.time() < end_s:
            asking += [
                fleet.loop.create_task(fleet.ask(kind, deadline_ms=9000)) for _ in range(burst)
            ]
            await asyncio.sleep(interval_s)
        return await asyncio.gather(*asking)

    def assert_served(self, replies):
        self.assertEqual({reply.status for reply in replies}, {200})


class OneQuietTest(QuietCase):
    def test_quiet_target_is_used_again_after_its_time_while_others_serve(self):
        async def scenario(fleet):
            quiet = fleet.targets["t-1"]
            refuse(quiet, b"3.5")
            replies = await fleet.ask_many(BURST)
            since_s = fleet.loop.time()
            serve(quiet)
            replies += await self.load(fleet, "safe", 3.0, interval_s=0.01)
            within = self.received_since(quiet, since_s)
            counted = fleet.gateways[0]._gauges()["targets_quiet"]
            await asyncio.sleep(0.6)
            replies += await fleet.ask_many(BURST)
            return replies, within, counted, len(self.received_since(quiet, since_s))

        replies, within, counted, later = self.run_scenario(scenario)
        self.assert_served(replies)
        self.assertEqual((within, counted), ([], 1))
        self.assertGreater(later, 0)

    def check_requests_in_quiet_times(self, kind, service, *, quiet_s, step=503):
        async def scenario(fleet):
            quiet = fleet.targets["t-1"]
            refuse(quiet, b"%d" % quiet_s, step=step)
            quiet.report_status = 503
            replies = await self.load(fleet, kind, 60.0, burst=4)
            return replies, [time_s for time_s, _ in quiet.received]

        replies, received_s = self.run_scenario(scenario, targets=(service,) * 3)
        self.assert_served(replies)
        self.assertGreater(len(received_s), 4)
        # Each that it received, it answered at once.
        for time_s in received_s:
            begin_s, end_s = time_s + UNDER_WAY_S, time_s + quiet_s
            self.assertLessEqual(sum(begin_s < other_s < end_s for other_s in received_s), 2)

    def test_calls_do_not_reach_a_target_that_refuses_for_a_minute(self):
        self.check_requests_in_quiet_times("safe", "pool", quiet_s=10)

    def test_streams_and_probes_do_not_reach_a_target_that_refuses_for_a_minute(self):
        self.check_requests_in_quiet_times("stream", "engines", quiet_s=10)

    def test_refusals_that_may_have_run_count_alike(self):
        self.check_requests_in_quiet_times("safe", "pool", quiet_s=10, step="unsure")

    def test_refusal_that_may_have_run_is_not_passed_on_as_one_that_has_not(self):
        async def scenario(fleet):
            refuse(fleet.targets["t-1"], b"3", step="unsure")
            return await fleet.ask("unsafe")

        self.assertEqual(self.run_scenario(scenario, targets=("pool",)).status, 502)

    def test_refusals_that_may_have_run_do_not_eject_the_target_at_any_entry(self):
        async def scenario(fleet):
            quiet = fleet.targets["t-1"]
            refuse(quiet, b"3", step="unsure")
            await fleet.ask_many(BURST)
            serve(quiet)
            breakers = [g._directory.find("t-1").breaker.is_open for g in fleet.gateways]
            replies = await fleet.ask_many(BURST, entry=1)
            return replies, breakers, len(quiet.runs)

        replies, breakers, runs = self.run_scenario(scenario, entries=2)
        self.assert_served(replies)
        self.assertEqual(breakers, [False, False])
        # It asked the other entry for nothing.
        self.assertGreater(runs, 0)

    def test_target_that_is_registered_again_is_still_quiet(self):
        async def scenario(fleet):
            quiet = fleet.targets["t-1"]
            refuse(quiet, b"8")
            await fleet.ask_many(BURST)
            since_s = fleet.loop.time()
            fleet.store.write("keyed.servers", "t-1", None)
            await asyncio.sleep(1.5)
            fleet.register(quiet, sequence=2)
            await asyncio.sleep(1.5)
            return await fleet.ask_many(BURST), self.received_since(quiet, since_s)

        replies, received = self.run_scenario(scenario)
        self.assert_served(replies)
        self.assertEqual(received, [])


class AllQuietTest(QuietCase):
    def test_callers_are_refused_at_once_until_the_earliest_end(self):
        async def scenario(fleet):
            first, second = fleet.targets.values()
            refuse(first, b"4")
            refuse(second, b"2.5")
            await fleet.ask_many(BURST)
            since_s = fleet.loop.time()
            refused = await fleet.ask_many(BURST, deadline_ms=20_000)
            soon = await fleet.ask(deadline_ms=1000)
            received = [self.received_since(t, since_s) for t in (first, second)]
            serve(second)
            await asyncio.sleep(float(refused[0].headers["retry-after"]))
            return refused, soon, received, await fleet.ask()

        refused, soon, received, later = self.run_scenario(scenario)
        self.assertEqual({reply.status for reply in refused}, {503})
        self.assertLess(max(reply.taken_s for reply in refused), 0.1)
        for reply in refused:
            self.assertGreater(float(reply.headers["retry-after"]), 2.4)
            self.assertLess(float(reply.headers["retry-after"]), 2.8)
        # A caller with less time is told the same, as it would come back in vain before.
        self.assertGreater(float(soon.headers["retry-after"]), 2.4)
        self.assertLess(float(soon.headers["retry-after"]), 2.8)
        self.assertEqual(received, [[], []])
        self.assertEqual(later.status, 200)

    def test_refusal_that_no_other_target_can_make_good_has_the_time(self):
        async def scenario(fleet):
            refuse(fleet.targets["t-1"], b"2.5")
            return await fleet.ask("unsafe", deadline_ms=20_000)

        reply = self.run_scenario(scenario, targets=("pool",))
        self.assertEqual(reply.status, 503)
        self.assertGreaterEqual(float(reply.headers["retry-after"]), 2.5)

    def test_waiting_request_is_refused_when_the_last_target_wants_none(self):
        async def scenario(fleet):
            quiet = fleet.targets["t-1"]
            fleet.register(quiet, slots=2)
            await asyncio.sleep(1.5)
            quiet.work_s = 4.0
            busy = fleet.loop.create_task(fleet.ask("unsafe", deadline_ms=9000))
            await asyncio.sleep(0.1)
            quiet.script = self.refuse_after(0.3)
            quiet.retry_after = b"3"
            refused = fleet.loop.create_task(fleet.ask("unsafe", deadline_ms=9000))
            await asyncio.sleep(0.1)
            waiting = await fleet.ask("unsafe", deadline_ms=9000)
            return waiting, (await refused).status, (await busy).status, quiet.request_count

        waiting, refused, busy, requests = self.run_scenario(
            scenario, targets=("pool",), config=configuration(3, routes=PATIENT_ROUTES)
        )
        self.assertEqual((waiting.status, refused, busy, requests), (503, 503, 200, 2))
        self.assertLess(waiting.taken_s, 0.3)

    def refuse_after(self, delay_s):
        async def script(headers, number):
            await asyncio.sleep(delay_s)
            return 503

        return script

    def test_stream_that_broke_off_waits_for_the_end_of_a_short_time(self):
        async def scenario(fleet):
            broken, quiet = fleet.targets.values()
            broken.script = lambda headers, number: 3
            refuse(quiet, b"0.6")
            # It is sent to both, in either order.
            await fleet.ask("stream")
            refused_s, _ = quiet.received[-1]
            serve(quiet)
            reply = await fleet.ask("stream")
            (run,) = quiet.runs
            return reply, run.began_s - refused_s

        reply, waited_s = self.run_scenario(scenario, targets=("engines",) * 2)
        self.assertEqual((reply.status, reply.whole, reply.events), (200, True, [1, 2, 3, 4, 5]))
        self.assertGreaterEqual(waited_s, 0.6)


class RunningWorkTest(QuietCase):
    def test_silent_stream_at_a_quiet_target_is_neither_checked_nor_cut(self):
        async def scenario(fleet):
            quiet = fleet.targets["t-1"]
            quiet.gap_s = 1.2
            running = fleet.loop.create_task(fleet.ask("stream", deadline_ms=9000))
            await asyncio.sleep(0.1)
            refuse(quiet, b"9")
            quiet.report_status = 503
            await fleet.ask("stream")
            since_s = fleet.loop.time()
            return await running, self.received_since(quiet, since_s)

        reply, received = self.run_scenario(scenario, targets=("engines",))
        self.assertEqual((reply.status, reply.whole, reply.events), (200, True, [1, 2, 3, 4, 5]))
        self.assertEqual(received, [])

    def test_report_that_is_refused_with_a_time_is_no_proof_of_death(self):
        async def scenario(fleet):
            quiet = fleet.targets["t-1"]
            quiet.retry_after, quiet.report_status = b"4", 503
            reports = quiet.reports
            await asyncio.sleep(5.0)
            breaker = fleet.gateways[0]._directory.find("t-1").breaker
            return breaker.is_open, quiet.reports - reports

        is_open, reports = self.run_scenario(scenario, targets=("engines",))
        self.assertFalse(is_open)
        self.assertLessEqual(reports, 2)

    def test_refused_reservation_is_not_ordered_again_and_the_gang_is_placed_anew(self):
        async def scenario(fleet):
            targets = list(fleet.targets.values())

            def handle(target, order):
                is_helper = order["operation"] == "reserve" and not order["id"].endswith("-0")
                if target.retry_after or (is_helper and not any(t.retry_after for t in targets)):
                    target.retry_after = b"9"
                    return 503
                return 200

            for target in targets:
                target.order_handler = lambda order, target=target: handle(target, order)
            reply = await fleet.ask("stream", tokens=LONG_PROMPT, deadline_ms=15_000)
            (quiet,) = [target for target in targets if target.retry_after]
            listed = [run.headers["helpers"] for run in fleet.runs]
            return reply, quiet, listed

        reply, quiet, listed = self.run_scenario(
            scenario, targets=("engines",) * 6, config=configuration(3, routes=LONG_ROUTES)
        )
        self.assertEqual((reply.status, reply.whole, len(listed)), (200, True, 1))
        self.assertEqual([operation for operation, _ in quiet.orders], ["reserve"])
        self.assertNotIn(quiet.address, listed[0])

    def test_reservations_are_renewed_twice_at_most_and_released_after_the_time(self):
        async def scenario(fleet):
            targets = list(fleet.targets.values())
            for target in targets:
                target.work_s = 9.0
            asking = fleet.loop.create_task(
                fleet.ask("stream", tokens=LONG_PROMPT, deadline_ms=15_000)
            )
            await asyncio.sleep(0.1)
            for target in targets:
                target.report_status, target.retry_after = 503, b"8"
            # All learn of it from their reports.
            await asyncio.sleep(1.6)
            since_s = fleet.loop.time()
            await asyncio.sleep(6.3)
            within = [self.received_since(target, since_s) for target in targets]
            reply = await asking
            await asyncio.sleep(1.0)
            return reply, within, [target.tickets for target in targets]

        reply, within, tickets = self.run_scenario(
            scenario, targets=("engines",) * 4, config=configuration(3, routes=LONG_ROUTES)
        )
        self.assertTrue(reply.whole)
        self.assertLessEqual(max(len(received) for received in within), 2)
        self.assertGreaterEqual(max(len(received) for received in within), 1)
        self.assertEqual(tickets, [{}] * 4)


class RefusingPool:
    """A connection pool that opens nothing.

    Attributes:
        dialled: The addresses that it was asked to connect to.
    """

    def __init__(self):
        self.dialled = []

    async def open(self, address, *, timeout_s):
        self.dialled.append(address)
        raise ConnectionLostError("refused")


class RedialTest(PausedCase):
    def dialled(self, prepare):
        """Return what is dialled within a second of two unreachable targets after `prepare`."""

        async def scenario():
            now_s = asyncio.get_running_loop().time()
            directory = make_directory("t1", "t2")
            for target in directory.targets():
                target.breaker.record_failure(now_s, unreachable=True)
            prepare(directory.find("t1"), now_s)
            pool, tasks = RefusingPool(), TaskSet()
            redialer = Redialer(directory=directory, pool=pool, tasks=tasks)
            tasks.start(redialer.run(), name="redialer")
            await asyncio.sleep(1.0)
            await tasks.close()
            return set(pool.dialled)

        return self.run_paused(scenario())

    def test_unreachable_target_that_wants_no_requests_is_not_dialled(self):
        def prepare(target, now_s):
            target.availability.record_quiet(now_s, 5.0)

        self.assertEqual(self.dialled(prepare), {"t2:80"})

    def test_unreachable_target_that_leaves_is_not_dialled(self):
        def prepare(target, now_s):
            target.availability.has_announced_leaving = True

        self.assertEqual(self.dialled(prepare), {"t2:80"})


class DecodingTest(unittest.TestCase):
    def decode(self, value, *, status=503):
        headers = () if value is None else ((b"Retry-After", value),)
        head = ResponseHead(status=status, headers=headers, has_length=True)
        return PlatformHeaders().decode_notice(head).quiet_s

    def test_plain_seconds_are_read(self):
        for value, quiet_s in ((b"3", 3.0), (b"0.25", 0.25), (b" 12 ", 12.0), (b"007", 7.0)):
            self.assertEqual(self.decode(value), quiet_s)

    def test_values_that_state_no_time_count_as_none(self):
        odd = (b"", b"-1", b"+1", b"0", b"0.0", b"nan", b"inf", b"1e3", b"1_0", b"3, 4", b"3s")
        for value in (None, *odd, b"Wed, 21 Oct 2026 07:28:00 GMT", b"\xd9\xa3"):
            self.assertEqual(self.decode(value), 0.0, value)

    def test_only_status_503_asks_for_it(self):
        for status in (200, 429, 500, 502):
            self.assertEqual(self.decode(b"3", status=status), 0.0)

    def test_huge_values_are_cut(self):
        for value in (b"1000000000", b"9" * 400):
            availability = fleet_package.Availability()
            availability.record_quiet(10.0, self.decode(value))
            self.assertEqual(availability.usable_from_s(10.0), 610.0)


class AvailabilityTest(unittest.TestCase):
    def setUp(self):
        self.quiet, self.other = make_directory("t1", "t2").targets()
        self.quiet.availability.record_quiet(10.0, 5.0)

    def test_quiet_target_does_not_come_back_when_all_others_are_ejected(self):
        for _ in range(4):
            self.other.breaker.record_failure(10.0, unreachable=True)
        pool = [self.quiet, self.other]
        self.assertEqual(fleet_package.select_usable(pool, 11.0), (self.other,))
        self.assertEqual(fleet_package.select_open(pool, 11.0), [self.other])

    def test_later_shorter_time_does_not_end_an_earlier_one(self):
        self.quiet.availability.record_quiet(11.0, 0.5)
        self.assertFalse(self.quiet.is_usable(14.9))
        self.assertTrue(self.quiet.is_usable(15.0))

    def test_quiet_target_is_no_helper(self):
        self.assertFalse(self.quiet.may_help(11.0))
        self.assertTrue(self.quiet.may_help(15.0))

    def test_running_work_has_two_requests_in_all_however_often_the_time_is_extended(self):
        sent = []
        for second in range(11, 20):
            sent.append(self.quiet.availability.try_send_for_running_work(second))
            self.quiet.availability.record_quiet(second, 5.0)
        self.assertEqual(sent.count(True), 2)
        self.assertTrue(self.quiet.availability.try_send_for_running_work(30.0))
