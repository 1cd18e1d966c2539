"""Entries that are behind on a topic of the store, and configurations that come in quick succession."""

import asyncio
import contextlib
from collections import Counter

from cicadatiller.fleet import KeyedPage, KeyedRecord, StoreUnavailableError, Topic
from cicadatiller.gateway import CatchUp, TopicFollower, answer_request
from cicadatiller.kernel import TaskSet
from cicadatiller.mesh import TopicRequest

from .support.gateways import GatewayFleet, configuration
from .support.paused_loop import PausedCase
from .support.streams import NetworkCase


class ListedLog:
    """A topic of a store that counts the records that it sends."""

    def __init__(self, *, is_refused=False):
        self.records = []
        self.is_refused = is_refused
        self.records_sent = 0
        self._changed = asyncio.Event()

    def add(self, key, value=b"v"):
        self.records.append(KeyedRecord(offset=len(self.records), key=key, value=value))
        self._changed.set()
        self._changed = asyncio.Event()

    async def read_newest(self, topic):
        self._check()
        newest = {record.key: record for record in self.records}
        return self._page(record for record in newest.values() if record.value is not None)

    async def read(self, topic, from_offset, *, wait_s=0.0):
        self._check()
        if len(self.records) <= from_offset:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self._changed.wait()
        return self._page(self.records[from_offset:])

    def _check(self):
        if self.is_refused:
            raise StoreUnavailableError("the store refuses this entry")

    def _page(self, records):
        records = tuple(records)
        self.records_sent += len(records)
        return KeyedPage(records=records, next_offset=len(self.records))


class KeepingSink:
    """Keeps the newest value of each key and the time of each change."""

    def __init__(self):
        self.values = {}
        self.changes = []

    def apply(self, record, *, grace_s):
        self.changes.append((record.key, asyncio.get_running_loop().time()))
        if record.value is None:
            self.values.pop(record.key, None)
        else:
            self.values[record.key] = record.value

    def replace(self, page, *, grace_s):
        self.values = {}
        for record in page.records:
            self.apply(record, grace_s=grace_s)


def make_follower(log, sink, **options):
    return TopicFollower(
        log=log,
        topic=Topic.CONFIGURATION,
        sink=sink,
        wait_s=10.0,
        on_change=lambda: None,
        **options,
    )


class QuickChangesTest(PausedCase):
    """Versions in quick succession must not queue up on the link of a slow instance."""

    STEP_S = 0.17
    VERSIONS = 26
    CHANGE_INTERVAL_S = 0.45

    def play(self):
        async def scenario():
            loop = asyncio.get_running_loop()
            log, sink = ListedLog(), KeepingSink()
            log.add("config", b"0")
            follower = make_follower(log, sink, change_interval_s=self.CHANGE_INTERVAL_S)
            task = loop.create_task(follower.run())
            await asyncio.sleep(5.0)
            written = []
            for version in range(1, self.VERSIONS + 1):
                log.add("config", b"%d" % version)
                written.append(loop.time())
                await asyncio.sleep(self.STEP_S)
            await asyncio.sleep(5.0)
            sent = log.records_sent
            await asyncio.sleep(60.0)
            task.cancel()
            return written, sink, sent, log.records_sent

        return self.run_paused(scenario())

    def test_few_versions_are_read_and_each_in_time(self):
        written, sink, sent, _ = self.play()
        self.assertLess(sent, 0.6 * self.VERSIONS)
        self.assertEqual(sink.values, {"config": b"%d" % self.VERSIONS})
        changed = [time_s for _, time_s in sink.changes]
        for written_s in written:
            newer = [time_s for time_s in changed if time_s >= written_s]
            self.assertLess(min(newer) - written_s, self.CHANGE_INTERVAL_S + self.STEP_S)

    def test_nothing_is_read_twice_once_the_changes_have_ended(self):
        _, _, sent, sent_later = self.play()
        self.assertEqual(sent, sent_later)

    def test_a_single_change_is_in_force_at_once_and_read_once(self):
        async def scenario():
            log, sink = ListedLog(), KeepingSink()
            log.add("config", b"0")
            follower = make_follower(log, sink, change_interval_s=self.CHANGE_INTERVAL_S)
            task = asyncio.get_running_loop().create_task(follower.run())
            await asyncio.sleep(5.0)
            log.add("config", b"1")
            await asyncio.sleep(0.01)
            value = sink.values["config"]
            await asyncio.sleep(30.0)
            task.cancel()
            return value, log.records_sent

        self.assertEqual(self.run_paused(scenario()), (b"1", 2))


class CatchUpTest(PausedCase):
    """One entry is behind; the others must not notice."""

    PEERS = 6

    def run_scenario(self, scenario):
        async def run():
            self.asked = Counter()
            self.answers = True
            log = ListedLog()
            for number in range(40):
                log.add(f"k{number}", bytes(4096))
            up_to_date = make_follower(log, KeepingSink())
            self.peer_task = asyncio.get_running_loop().create_task(up_to_date.run())
            await asyncio.sleep(1.0)
            self.peer_followers = {Topic.CONFIGURATION: up_to_date}
            self.sink = KeepingSink()
            self.follower = make_follower(ListedLog(is_refused=True), self.sink)
            tasks = TaskSet()
            catch_up = CatchUp(
                followers={Topic.CONFIGURATION: self.follower}, request=self.request, tasks=tasks
            )
            result = await scenario(catch_up, log)
            self.peer_task.cancel()
            await tasks.close()
            return result

        return self.run_paused(run())

    async def request(self, peer, request):
        self.asked[peer] += 1
        await asyncio.sleep(0.001)
        return answer_request(self.peer_followers, request) if self.answers else None

    def announce(self, catch_up, offset):
        for number in range(self.PEERS):
            catch_up.record_offsets(f"p{number}", {Topic.CONFIGURATION.value: offset, "new": 1})

    def test_missing_records_come_from_one_peer_in_pages(self):
        async def scenario(catch_up, log):
            self.announce(catch_up, 40)
            await asyncio.sleep(2.0)
            return len(self.sink.values), self.follower.next_offset

        self.assertEqual(self.run_scenario(scenario), (40, 40))
        self.assertEqual(len(self.asked), 1)
        self.assertEqual(max(self.asked.values()), 3)

    def test_only_what_is_missing_is_sent_and_removals_are_told(self):
        async def scenario(catch_up, log):
            self.announce(catch_up, 40)
            await asyncio.sleep(2.0)
            log.add("k3", None)
            log.add("k41")
            await asyncio.sleep(0.1)
            self.sink.changes.clear()
            self.announce(catch_up, 42)
            await asyncio.sleep(2.0)
            return [key for key, _ in self.sink.changes], "k3" in self.sink.values

        self.assertEqual(self.run_scenario(scenario), (["k3", "k41"], False))

    def test_entry_that_caught_up_does_not_hide_removals_from_before(self):
        async def scenario(catch_up, log):
            log.add("k7", None)
            await asyncio.sleep(0.1)
            self.announce(catch_up, 41)
            await asyncio.sleep(2.0)
            late = {Topic.CONFIGURATION: self.follower}
            known_before = TopicRequest(topic="configuration", from_offset=40, complete_until=40)
            nothing_known = TopicRequest(topic="configuration")
            log.add("k8", None)
            await asyncio.sleep(0.1)
            self.announce(catch_up, 42)
            await asyncio.sleep(2.0)
            return [
                answer_request(late, request).is_complete
                for request in (known_before, nothing_known)
            ]

        self.assertEqual(self.run_scenario(scenario), [True, False])

    def test_entry_that_has_read_by_itself_asks_nobody(self):
        async def scenario(catch_up, log):
            self.announce(catch_up, 40)
            await asyncio.sleep(0.1)
            self.follower.apply_catch_up(KeyedPage(records=(), next_offset=40), is_complete=False)
            await asyncio.sleep(5.0)
            return sum(self.asked.values())

        self.assertEqual(self.run_scenario(scenario), 0)

    def test_pauses_grow_and_peers_take_turns_while_nobody_answers(self):
        async def scenario(catch_up, log):
            self.answers = False
            self.announce(catch_up, 40)
            await asyncio.sleep(10.0)
            failed = Counter(self.asked)
            self.answers = True
            await asyncio.sleep(5.0)
            return failed, len(self.sink.values)

        failed, found = self.run_scenario(scenario)
        self.assertLess(sum(failed.values()), 8)
        self.assertGreater(len(failed), 2)
        self.assertEqual(found, 40)

    def test_entry_far_behind_gets_the_newest_of_every_key(self):
        async def scenario(catch_up, log):
            self.announce(catch_up, 40)
            await asyncio.sleep(2.0)
            for number in range(1500):
                log.add(f"gone{number}", b"v")
                log.add(f"gone{number}", None)
            log.add("k5", None)
            await asyncio.sleep(0.1)
            self.announce(catch_up, len(log.records))
            await asyncio.sleep(2.0)
            return sorted(self.sink.values) == sorted(f"k{n}" for n in range(40) if n != 5)

        self.assertTrue(self.run_scenario(scenario))


class StormTest(NetworkCase):
    """Some entries can't reach the store while configurations follow each other."""

    ENTRIES = 12

    def test_no_entry_is_behind_and_only_those_without_the_store_ask(self):
        async def scenario():
            fleet = GatewayFleet()
            await fleet.start(entries=self.ENTRIES, settle_s=5.0)
            frames = Counter()
            fleet.peers.filter = lambda source, destination, frame: count_pages(
                frames, source, frame
            )
            for log in fleet.logs[:2]:
                log.is_refused = True
            await asyncio.sleep(1.0)
            for version in range(10, 30):
                fleet.store.write("keyed.op", "config", configuration(version))
                await asyncio.sleep(0.17)
            await asyncio.sleep(2.0)
            versions = {gateway.config_version for gateway in fleet.gateways}
            return versions, sum(frames.values())

        versions, pages = self.run_paused(scenario())
        self.assertEqual(versions, {29})
        self.assertLess(pages, 2 * 20)


def count_pages(frames, source, frame):
    if b"mesh-topic-page" in frame:
        frames[source] += 1
    return [frame]
