"""Tests of targets that state in their responses that they leave."""

import asyncio
import functools
import unittest

from cicadatiller import fleet as fleet_package
from cicadatiller.fleet import TargetDirectory, TargetRecord, TargetState
from cicadatiller.mesh import compact

from .support.gateways import GatewayCase, configuration, route
from .support.known_red import known_red

BORN_MS = 1_700_000_000_000
BURST = 12
DRAIN_S = 3.0
# Of compact updates before they had `leaving`.
OLDER_FIELD_COUNT = 9
LONG_PROMPT = (500_000, 400)
PATIENT_ROUTES = [route("unsafe", target_latency_ms=4000)]
LONG_ROUTES = [
    route("stream", target_latency_ms=3000, gap_target_ms=1000, timeout_ms=15_000, max_attempts=2)
]


def leave_at_first_request(target):
    """Let a target leave at its first request."""

    def script(headers, number):
        target.is_leaving = True

    target.script = script


def let_helper_leave_at_its_order(fleet):
    """Let the first target that is asked for its memory as a helper leave by its answer."""
    targets = list(fleet.targets.values())

    def handle(target, order):
        # The first ticket of a work id is the host's.
        is_helper = order["operation"] == "reserve" and not order["id"].endswith("-0")
        if is_helper and not any(other.is_leaving for other in targets):
            target.is_leaving = True
        return 200

    for target in targets:
        target.order_handler = functools.partial(handle, target)


class LeavingCase(GatewayCase):
    async def received_in_burst(self, fleet, target, **options):
        """Send a burst; return the replies and what reached a target."""
        before = len(target.received)
        replies = await fleet.ask_many(BURST, **options)
        return replies, len(target.received) - before

    async def leave(self, fleet, *, entry=0):
        """Let t-1 leave and an entry learn it; return it."""
        leaving = fleet.targets["t-1"]
        leaving.is_leaving = True
        await fleet.ask_many(BURST, entry=entry)
        await asyncio.sleep(0.1)
        return leaving

    def cut_store(self, fleet):
        for log in fleet.logs:
            log.is_refused = True

    def leaving(self, fleet):
        return [target for target in fleet.targets.values() if target.is_leaving]

    def assert_served(self, replies):
        self.assertEqual([(reply.status, reply.whole) for reply in replies if not reply.whole], [])
        self.assertEqual({reply.status for reply in replies}, {200})


class LateRecordTest(LeavingCase):
    """Guards against a write that the store executes behind newer ones."""

    def check_no_request_after(self, *late_changes, removed=False):
        async def scenario(fleet):
            leaving = fleet.targets["t-1"]
            fleet.register(leaving, born=BORN_MS, sequence=5)
            await asyncio.sleep(1.0)
            fleet.register(leaving, born=BORN_MS, sequence=6, state="draining")
            if removed:
                await asyncio.sleep(1.0)
                fleet.store.write("keyed.servers", "t-1", None)
            await asyncio.sleep(2.0)
            for changes in late_changes:
                fleet.register(leaving, **changes)
            await asyncio.sleep(2.0)
            return await self.received_in_burst(fleet, leaving)

        replies, received = self.run_scenario(scenario, entries=2, targets=("pool",) * 3)
        self.assert_served(replies)
        return received

    def test_an_older_report_of_the_run_does_not_end_its_draining(self):
        self.assertEqual(self.check_no_request_after({"born": BORN_MS, "sequence": 4}), 0)

    def test_a_report_of_an_earlier_run_does_not_end_it(self):
        late = {"born": BORN_MS - 1000, "sequence": 90}
        self.assertEqual(self.check_no_request_after(late), 0)

    def test_an_older_report_does_not_bring_back_a_target_that_was_removed(self):
        late = {"born": BORN_MS, "sequence": 4}
        self.assertEqual(self.check_no_request_after(late, removed=True), 0)

    def test_a_start_in_the_future_does_not_outdate_the_true_reports(self):
        forged = {"born": 2**62, "sequence": 1}
        true = {"born": BORN_MS + 1000, "sequence": 1}
        self.assertGreater(self.check_no_request_after(forged, true), 0)

    def test_a_later_run_is_used_again(self):
        later = {"born": BORN_MS + 1000, "sequence": 1}
        self.assertGreater(self.check_no_request_after(later), 0)


class ClockTest(LeavingCase):
    """The clock of a target's machine is set back between two of its starts."""

    # Whatever the run registers that began by an earlier time of day is taken for written late.
    @known_red
    def test_run_that_began_by_an_earlier_time_of_day_gets_nothing_once_it_leaves(self):
        async def scenario(fleet):
            target = fleet.targets["t-1"]
            fleet.register(target, born=BORN_MS, sequence=1)
            await asyncio.sleep(1.4)
            fleet.register(target, born=BORN_MS - 600, sequence=1)
            await asyncio.sleep(12.0)
            fleet.register(target, born=BORN_MS - 600, sequence=2, state="draining")
            await asyncio.sleep(DRAIN_S)
            return await self.received_in_burst(fleet, target)

        replies, received = self.run_scenario(scenario, entries=2, targets=("pool",) * 3)
        self.assert_served(replies)
        self.assertEqual(received, 0)


class LearningTest(LeavingCase):
    def check_target_gets_nothing_after_its_first_response(self, kind, prepare, *, service):
        async def scenario(fleet):
            self.cut_store(fleet)
            for target in list(fleet.targets.values())[:2]:
                prepare(target)
            await fleet.ask_many(BURST, kind)
            leaving = self.leaving(fleet)
            before = [target.request_count for target in leaving]
            replies = await fleet.ask_many(BURST, kind)
            return replies, before, [target.request_count for target in leaving]

        replies, before, after = self.run_scenario(scenario, targets=(service,) * 3)
        self.assert_served(replies)
        self.assertEqual(len(before), 2)
        self.assertEqual(before, after)

    def test_target_that_leaves_by_a_response_to_a_call_gets_no_other_call(self):
        self.check_target_gets_nothing_after_its_first_response(
            "safe", leave_at_first_request, service="pool"
        )

    def test_target_that_leaves_by_a_refusal_gets_no_other_call(self):
        def refuse(target):
            def script(headers, number):
                target.is_leaving = True
                return 503

            target.script = script

        self.check_target_gets_nothing_after_its_first_response("safe", refuse, service="pool")

    def test_target_that_leaves_by_the_head_of_a_stream_ends_it_and_gets_no_other(self):
        async def scenario(fleet):
            self.cut_store(fleet)
            targets = list(fleet.targets.values())
            for target in targets:
                leave_at_first_request(target)
                target.events = 40
            first = fleet.loop.create_task(fleet.ask("stream", deadline_ms=9000))
            await asyncio.sleep(0.5)
            (leaving,) = self.leaving(fleet)
            (other,) = [target for target in targets if target is not leaving]
            other.script, other.events = None, 3
            # More than the other has slots.
            replies = await fleet.ask_many(other.entry()["slots"] + 2, "stream")
            return [await first, *replies], leaving.runs

        replies, runs = self.run_scenario(scenario, targets=("engines",) * 2)
        self.assert_served(replies)
        self.assertEqual([run.cancelled for run in runs], [False])

    def test_target_that_leaves_by_its_report_gets_no_stream_and_no_further_report(self):
        async def scenario(fleet):
            self.cut_store(fleet)
            leaving = fleet.targets["t-1"]
            leaving.is_leaving = True
            await asyncio.sleep(2.0)
            reports = leaving.reports
            replies = await fleet.ask_many(20, "stream")
            await asyncio.sleep(6.0)
            return replies, leaving.request_count, leaving.reports - reports

        replies, requests, reports = self.run_scenario(scenario, targets=("engines",) * 3)
        self.assert_served(replies)
        self.assertEqual((requests, reports), (0, 0))

    def test_target_that_leaves_by_its_answer_to_an_order_is_replaced_before_the_prompt_is_sent(
        self,
    ):
        async def scenario(fleet):
            self.cut_store(fleet)
            let_helper_leave_at_its_order(fleet)
            reply = await fleet.ask("stream", tokens=LONG_PROMPT, deadline_ms=15_000)
            await asyncio.sleep(1.0)
            (leaving,) = self.leaving(fleet)
            return reply, leaving, fleet.runs, list(fleet.targets.values())

        reply, leaving, runs, targets = self.run_scenario(
            scenario, targets=("engines",) * 6, config=configuration(3, routes=LONG_ROUTES)
        )
        self.assertEqual((reply.status, reply.whole, len(runs)), (200, True, 1))
        self.assertEqual(leaving.runs, [])
        helpers = [run.headers.get("helpers", "") for run in runs]
        self.assertEqual([listed for listed in helpers if leaving.address in listed], [])
        reserved = {name for operation, name in leaving.orders if operation == "reserve"}
        self.assertEqual(len(reserved), 1)
        self.assertEqual([target.tickets for target in targets], [{}] * 6)

    def test_successor_at_the_address_speaks_for_itself(self):
        async def scenario(fleet):
            # The second run at the address of the first; the first is still registered.
            first, _ = fleet.targets.values()
            entry = first.entry(born=BORN_MS + 1)
            fleet.store.write("keyed.servers", "t-9", entry)
            first.instance_id = "t-9"
            first.is_leaving = True
            await asyncio.sleep(1.0)
            await fleet.ask_many(BURST)
            directory = fleet.gateways[0]._directory
            return [directory.find(name).accepts_work for name in ("t-1", "t-9", "t-2")]

        self.assertEqual(self.run_scenario(scenario), [True, False, True])


class LastingTest(LeavingCase):
    def test_registration_that_says_ready_later_does_not_undo_it(self):
        async def scenario(fleet):
            leaving = await self.leave(fleet)
            fleet.register(leaving, sequence=2, slots=9)
            await asyncio.sleep(1.5)
            return await self.received_in_burst(fleet, leaving)

        replies, received = self.run_scenario(scenario, targets=("pool",) * 3)
        self.assert_served(replies)
        self.assertEqual(received, 0)

    def test_registration_that_expires_and_comes_back_does_not_undo_it(self):
        async def scenario(fleet):
            leaving = await self.leave(fleet)
            fleet.store.write("keyed.servers", "t-1", None)
            await asyncio.sleep(1.5)
            fleet.register(leaving, sequence=2)
            await asyncio.sleep(1.5)
            return await self.received_in_burst(fleet, leaving)

        replies, received = self.run_scenario(scenario, targets=("pool",) * 3)
        self.assert_served(replies)
        self.assertEqual(received, 0)

    def test_target_born_again_under_its_id_is_used_again(self):
        async def scenario(fleet):
            leaving = await self.leave(fleet)
            leaving.is_leaving = False
            _, received_before = await self.received_in_burst(fleet, leaving)
            fleet.register(leaving, born=BORN_MS + 5)
            await asyncio.sleep(1.5)
            _, received = await self.received_in_burst(fleet, leaving)
            return received_before, received

        received_before, received = self.run_scenario(scenario)
        self.assertEqual(received_before, 0)
        self.assertGreater(received, 3)

    def test_running_work_is_neither_cut_nor_loses_its_reservations(self):
        async def scenario(fleet):
            asking = fleet.loop.create_task(
                fleet.ask("stream", tokens=LONG_PROMPT, deadline_ms=15_000)
            )
            await asyncio.sleep(0.1)
            for target in fleet.targets.values():
                target.is_leaving = True
            reply = await asking
            await asyncio.sleep(0.1)
            return reply, list(fleet.targets.values())

        async def slow_scenario(fleet):
            for target in fleet.targets.values():
                target.work_s = 5.0
            return await scenario(fleet)

        reply, targets = self.run_scenario(
            slow_scenario, targets=("engines",) * 4, config=configuration(3, routes=LONG_ROUTES)
        )
        self.assertEqual((reply.status, reply.whole, reply.events), (200, True, [1, 2, 3, 4, 5]))
        orders = [order for target in targets for order in target.orders]
        reserved = [name for operation, name in orders if operation == "reserve"]
        self.assertGreaterEqual(len(reserved), 2 * len(set(reserved)))
        self.assertEqual([target.tickets for target in targets], [{}] * 4)

    def test_idle_connections_to_it_are_closed(self):
        async def scenario(fleet):
            await fleet.ask_many(BURST)
            leaving = await self.leave(fleet)
            await asyncio.sleep(1.5)
            pool = fleet.gateways[0]._pool
            return leaving.address in pool._idle, fleet.targets["t-2"].address in pool._idle

        self.assertEqual(self.run_scenario(scenario), (False, True))


class QueueTest(LeavingCase):
    def test_request_that_waits_for_a_leaving_target_is_placed_on_another(self):
        async def scenario(fleet):
            leaving, other = fleet.targets.values()
            for target in (leaving, other):
                fleet.register(target, slots=1)
            leaving.work_s, other.work_s = 0.5, 1.0
            await asyncio.sleep(1.5)
            busy = [fleet.loop.create_task(fleet.ask("unsafe")) for _ in range(2)]
            await asyncio.sleep(0.1)
            leaving.is_leaving = True
            waiting = fleet.loop.create_task(fleet.ask("unsafe"))
            replies = await asyncio.gather(*busy, waiting)
            return replies, leaving.request_count, other.request_count

        replies, at_leaving, at_other = self.run_scenario(
            scenario, config=configuration(3, routes=PATIENT_ROUTES)
        )
        self.assert_served(replies)
        self.assertEqual((at_leaving, at_other), (1, 2))

    def test_request_that_waits_for_the_last_target_is_refused_when_it_leaves(self):
        async def scenario(fleet):
            leaving = fleet.targets["t-1"]
            fleet.register(leaving, slots=2)
            await asyncio.sleep(1.5)
            leaving.work_s = 0.2
            first = fleet.loop.create_task(fleet.ask("unsafe", deadline_ms=9000))
            await asyncio.sleep(0.05)
            leaving.work_s = 4.0
            second = fleet.loop.create_task(fleet.ask("unsafe", deadline_ms=9000))
            await asyncio.sleep(0.05)
            leaving.is_leaving = True
            waiting = await fleet.ask("unsafe", deadline_ms=9000)
            return waiting, await first, await second

        waiting, first, second = self.run_scenario(
            scenario, targets=("pool",), config=configuration(3, routes=PATIENT_ROUTES)
        )
        self.assertEqual((first.status, waiting.status), (200, 503))
        self.assertLess(waiting.taken_s, 0.3)


class PeerTest(LeavingCase):
    async def wait_until_linked(self, fleet):
        """Wait until the entries know each other, which may take longer than their start."""
        async with asyncio.timeout(5.0):
            while not all(g.peer_sync.mesh.connected_peers for g in fleet.gateways):
                await asyncio.sleep(0.1)

    def test_peers_are_told_also_while_all_are_cut_from_the_store(self):
        async def scenario(fleet):
            await self.wait_until_linked(fleet)
            self.cut_store(fleet)
            leaving = await self.leave(fleet)
            return await self.received_in_burst(fleet, leaving, entry=1)

        replies, received = self.run_scenario(scenario, entries=2)
        self.assert_served(replies)
        self.assertEqual(received, 0)

    def test_older_peers_can_read_the_update(self):
        # They take the offsets for a mapping as soon as an update has further fields.
        async def scenario(fleet):
            sent = []
            mesh = fleet.gateways[0].peer_sync.mesh
            broadcast = mesh.broadcast
            mesh.broadcast = lambda update: (sent.append(update), broadcast(update))
            await self.leave(fleet)
            return [update for update in sent if update.leaving]

        updates = self.run_scenario(scenario, entries=2)
        self.assertEqual(len(updates), 1)
        self.assertIsInstance(compact(updates[0], "run")[OLDER_FIELD_COUNT - 1], dict)

    def test_peer_that_was_cut_off_is_told_when_it_is_back(self):
        async def scenario(fleet):
            await self.wait_until_linked(fleet)
            self.cut_store(fleet)
            fleet.peers.severed = lambda source, destination: True
            await asyncio.sleep(3.0)
            leaving = await self.leave(fleet)
            fleet.peers.severed = None
            await asyncio.sleep(5.0)
            return await self.received_in_burst(fleet, leaving, entry=1)

        replies, received = self.run_scenario(scenario, entries=2)
        self.assert_served(replies)
        self.assertEqual(received, 0)

    def test_entry_that_starts_later_is_told_before_it_uses_the_target(self):
        async def scenario(fleet):
            leaving = await self.leave(fleet)
            await fleet.restart(1)
            await asyncio.sleep(1.5)
            return await self.received_in_burst(fleet, leaving, entry=1)

        replies, received = self.run_scenario(scenario, entries=2)
        self.assert_served(replies)
        self.assertEqual(received, 0)


def make_record(**changes):
    fields = {
        "instance_id": "t1",
        "service": "pool",
        "address": "10.0.1.1:80",
        "data_centre": "c0",
        "slots": 8,
        "state": TargetState.READY,
        "started_ms": BORN_MS,
    }
    return TargetRecord(**(fields | changes))


class DirectoryTest(unittest.TestCase):
    def setUp(self):
        self.directory = TargetDirectory()

    def put(self, **changes):
        self.directory.put(make_record(**changes))
        return self.directory.find("t1")

    def test_older_registration_does_not_undo_it(self):
        self.put()
        self.directory.record_leaving("t1", BORN_MS, source="test")
        self.assertFalse(self.put(started_ms=BORN_MS - 1).accepts_work)
        self.assertFalse(self.put().accepts_work)
        self.assertTrue(self.put(started_ms=BORN_MS + 1).accepts_work)

    def test_news_of_an_earlier_run_does_not_harm_a_later_one(self):
        target = self.put()
        self.assertFalse(self.directory.record_leaving("t1", BORN_MS - 1, source="peer"))
        self.assertTrue(target.accepts_work)

    def test_news_of_an_unregistered_run_is_kept_for_its_registration(self):
        self.put()
        self.directory.record_leaving("t1", BORN_MS + 7, source="peer")
        self.assertTrue(self.directory.find("t1").accepts_work)
        self.directory.remove("t1", "test")
        self.assertFalse(self.put(started_ms=BORN_MS + 7).accepts_work)

    def test_statement_after_the_registration_was_removed_is_kept_for_it(self):
        self.put()
        self.directory.remove("t1", "test")
        self.assertTrue(self.directory.record_leaving("t1", BORN_MS, source="test"))
        self.assertFalse(self.directory.record_leaving("t1", BORN_MS, source="peer"))
        self.assertFalse(self.put().accepts_work)

    def test_run_without_a_start_time_is_a_later_one_once_its_registration_was_removed(self):
        self.put(started_ms=0)
        self.directory.record_leaving("t1", 0, source="test")
        self.assertFalse(self.put(started_ms=0, slots=9).accepts_work)
        self.directory.remove("t1", "test")
        self.assertTrue(self.put(started_ms=0).accepts_work)

    def test_leaving_target_does_not_come_back_when_all_others_are_ejected(self):
        leaving = self.put()
        self.directory.put(make_record(instance_id="t2"))
        other = self.directory.find("t2")
        self.directory.record_leaving("t1", BORN_MS, source="test")
        for _ in range(4):
            other.breaker.record_failure(1.0, unreachable=True)
        self.assertEqual(fleet_package.select_usable([leaving, other], 1.0), (other,))
