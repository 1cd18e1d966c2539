"""Tests of publishing: the result is a verdict, or an error that says whether it was sent."""

import asyncio

from cicadatiller.config import CONFIG_STREAM, ConfigStore, ConfigTail, Publisher, encode_record
from cicadatiller.kernel import ErrorKind, FailureError, RunState, TaskSet
from cicadatiller.standins import LogStandin

from .support import PausedCase
from .support.configuration import base_change, change, edit


class HangingLog(LogStandin):
    """A log whose next appends hang, before or after they take effect."""

    def __init__(self):
        super().__init__()
        self.hang_before = 0
        self.hang_after = 0

    async def append(self, stream, payload):
        if self.hang_before:
            self.hang_before -= 1
            await asyncio.sleep(3600)
        offset = await super().append(stream, payload)
        if self.hang_after:
            self.hang_after -= 1
            await asyncio.sleep(3600)
        return offset


class Node:
    """A store with its tail and publisher."""

    def __init__(self, log, tasks):
        self.store = ConfigStore()
        self.tail = ConfigTail(log=log, store=self.store)
        self.publisher = Publisher(log=log, store=self.store, refresh=self.tail.read_once)
        tasks.start(self.tail.run(), name="tail")


class PublishTest(PausedCase):
    def run_nodes(self, scenario, count=1):
        async def run():
            log, tasks = HangingLog(), TaskSet()
            nodes = [Node(log, tasks) for _ in range(count)]
            first = await nodes[0].publisher.apply(base_change(), timeout_s=5)
            self.assertTrue(first.accepted, first.message)
            await scenario(log, nodes)
            await tasks.close()

        self.run_paused(run())

    async def apply_failure(self, node, content, timeout_s=5.0):
        started_s = asyncio.get_running_loop().time()
        with self.assertRaises(FailureError) as caught:
            await node.publisher.apply(content, timeout_s=timeout_s)
        self.assertLessEqual(asyncio.get_running_loop().time() - started_s, timeout_s + 0.001)
        return caught.exception.failure

    def test_only_one_of_concurrent_changes_is_accepted(self):
        for count in (2, 5):

            async def scenario(log, nodes):
                body = {"deployment": "north", "version": "v2"}
                entries = await asyncio.gather(
                    *(
                        node.publisher.apply(
                            change(f"c{n}", edit("model", "glacier", body, 1)), timeout_s=5
                        )
                        for n, node in enumerate(nodes)
                    )
                )
                winners = [entry for entry in entries if entry.accepted]
                self.assertEqual(len(winners), 1)
                for loser in entries:
                    if not loser.accepted:
                        (conflict,) = loser.conflicts
                        self.assertEqual(conflict.present_revision, winners[0].offset)
                        self.assertIn(f"revision {winners[0].offset}, not 1", loser.message)

            with self.subTest(count=count):
                self.run_nodes(scenario, count)

    def test_verdict_is_found_after_lost_append_replies(self):
        async def scenario(log, nodes):
            for lost in (1, 3):
                log.lose_replies = lost
                content = change(f"lost{lost}", edit("deployment", f"d{lost}", {}))
                entry = await nodes[0].publisher.apply(content, timeout_s=5)
                self.assertTrue(entry.accepted)
                log.lose_replies = 0
                again = await nodes[1].publisher.apply(content, timeout_s=5)
                self.assertEqual(again, entry)
            changes = [e.change_id for e in nodes[1].store.state.audit]
            self.assertEqual(changes, ["base", "lost1", "lost3"])

        self.run_nodes(scenario, 2)

    def test_outcome_of_a_hanging_append_is_unknown_until_it_is_read(self):
        async def scenario(log, nodes):
            for field in ("hang_before", "hang_after"):
                with self.subTest(field):
                    setattr(log, field, 1)
                    content = change(field, edit("deployment", field.replace("_", "-"), {}))
                    failure = await self.apply_failure(nodes[0], content)
                    self.assertIs(failure.kind, ErrorKind.CHANGE_UNKNOWN)
                    self.assertIs(failure.run_state, RunState.OUTCOME_UNKNOWN)
                    entry = await nodes[0].publisher.apply(content, timeout_s=5)
                    self.assertTrue(entry.accepted)
            self.assertEqual(len(nodes[0].store.state.audit), 3)

        self.run_nodes(scenario)

    def test_outage_of_the_log_is_reported_as_not_sent(self):
        async def scenario(log, nodes):
            log.down = True
            appends = log.appends
            for _ in range(60):
                content = change("outage", edit("deployment", "x", {}))
                failure = await self.apply_failure(nodes[0], content)
                self.assertIs(failure.kind, ErrorKind.CHANGE_NOT_SENT)
                self.assertIs(failure.run_state, RunState.NOT_RUN)
                self.assertGreater(failure.retry_after_s, 0)
                await asyncio.sleep(60)
            log.down = False
            await asyncio.sleep(60)
            self.assertEqual(log.appends, appends)
            self.assertIsNone(nodes[0].store.state.change("outage"))
            entry = await nodes[0].publisher.apply(content, timeout_s=5)
            self.assertTrue(entry.accepted)

        self.run_nodes(scenario)

    def test_slow_log_gives_a_result_within_the_time_limit(self):
        async def scenario(log, nodes):
            for delay_s, kind in (
                (1.0, None),
                (2.4, ErrorKind.CHANGE_UNKNOWN),
                (9.0, ErrorKind.CHANGE_NOT_SENT),
            ):
                with self.subTest(delay_s=delay_s):
                    log.delay_s = delay_s
                    content = change(f"slow{delay_s}", edit("deployment", f"s{delay_s}", {}))
                    if kind is None:
                        entry = await nodes[0].publisher.apply(content, timeout_s=5)
                        self.assertTrue(entry.accepted)
                    else:
                        failure = await self.apply_failure(nodes[0], content)
                        self.assertIs(failure.kind, kind)

        self.run_nodes(scenario)

    def test_change_id_of_another_change_is_rejected(self):
        async def scenario(log, nodes):
            content = change("base", edit("deployment", "x", {}))
            failure = await self.apply_failure(nodes[0], content)
            self.assertIs(failure.kind, ErrorKind.CHANGE_REJECTED)
            self.assertIsNone(nodes[0].store.state.deployment("x"))

        self.run_nodes(scenario)

    def test_repeated_record_has_no_second_effect(self):
        async def scenario(log, nodes):
            content = change(
                "twice", edit("model", "glacier", {"deployment": "north", "version": "v2"})
            )
            await nodes[0].publisher.apply(content, timeout_s=5)
            newer = change(
                "newer", edit("model", "glacier", {"deployment": "north", "version": "v3"})
            )
            await nodes[0].publisher.apply(newer, timeout_s=5)
            await log.append(CONFIG_STREAM, encode_record(content))
            await asyncio.sleep(10)
            self.assertEqual(nodes[0].store.state.model("glacier").version, "v3")

        self.run_nodes(scenario)
