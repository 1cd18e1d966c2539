"""Tests of snapshots: a store restored from one equals a store that read every record."""

import asyncio
import random
import zlib
from dataclasses import replace
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from cicadatiller.config import (
    CONFIG_STREAM,
    ConfigState,
    ConfigStore,
    ConfigTail,
    SnapshotWriter,
    encode_record,
    fold,
    hash_key,
    restore,
    split_snapshot,
    take_snapshot,
)
from cicadatiller.config._records import pack_in_steps
from cicadatiller.config._snapshot import split_cooperatively
from cicadatiller.config._store import MAX_CATCH_UP_BYTES
from cicadatiller.kernel import TaskSet
from cicadatiller.standins import LogStandin

from .support import PausedCase
from .support.configuration import base_change, change, edit, fold_all, record

SMALL_PART_BYTES = 64


def parts_of(state, max_part_bytes=SMALL_PART_BYTES):
    return split_snapshot(take_snapshot(state), max_part_bytes=max_part_bytes)


def random_change(source: random.Random, number: int):
    deployment = source.choice(["north", "south", "absent"])
    name = f"n{source.randrange(4)}"
    bodies = {
        "model": {"deployment": deployment, "version": f"v{number}"},
        "workspace": {"deployment": deployment, "key_hashes": [hash_key(f"k{number % 3}")]},
        "deployment": {},
    }
    kind = source.choice(list(bodies))
    body = None if source.random() < 0.25 else bodies[kind]
    expected = source.choice([None, None, source.randrange(number + 2)])
    return change(f"c{source.randrange(number + 3)}", edit(kind, name, body, expected))


def recorded_log(seed: int, length: int):
    """Return records of changes, interleaved with parts of concurrent snapshots."""
    source = random.Random(seed)
    contents = [base_change()] + [random_change(source, number) for number in range(length)]
    state = ConfigState()
    records = []
    pending_parts = []
    for content in contents:
        while pending_parts and source.random() < 0.6:
            records.append(record(len(records) + 1, pending_parts.pop(0)))
            state = fold(state, records[-1])
        records.append(record(len(records) + 1, content))
        state = fold(state, records[-1])
        if source.random() < 0.3:
            pending_parts.extend(parts_of(state, 400))
    return records


class SnapshotTest(PausedCase):
    def test_large_snapshot_is_split_without_blocking_other_tasks(self):
        edits = [edit("deployment", f"d{number}", {}) for number in range(500)]
        snapshot = take_snapshot(fold_all(base_change(), change("many", *edits)))
        size_bytes = len(zlib.decompress(b"".join(pack_in_steps(snapshot))))

        async def scenario():
            turns = 0
            split_task = asyncio.get_running_loop().create_task(split_cooperatively(snapshot))
            while not split_task.done():
                turns += 1
                await asyncio.sleep(0)
            self.assertGreater(turns, size_bytes // SMALL_PART_BYTES)
            self.assertEqual(split_task.result(), split_snapshot(snapshot))

        with mock.patch("cicadatiller.config._records.COMPRESS_STEP_BYTES", SMALL_PART_BYTES):
            self.run_paused(scenario())

    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(seed=st.integers(0, 10_000), length=st.integers(1, 12), cut=st.floats(0, 1))
    def test_every_prefix_folds_as_from_a_snapshot_and_the_tail(self, seed, length, cut):
        records = recorded_log(seed, length)
        states = [ConfigState()]
        for item in records:
            states.append(fold(states[-1], item))
        at = round(cut * len(records))
        restored = restore(take_snapshot(states[at]))
        self.assertEqual(restored, states[at])
        self.assertEqual(restored.audit, states[at].audit)
        for item in records[at:]:
            restored = fold(restored, item)
            self.assertEqual(restored, states[item.offset])

    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(seed=st.integers(0, 10_000), length=st.integers(1, 12), first=st.integers(1, 12))
    def test_a_reader_of_a_trimmed_log_shows_only_true_states(self, seed, length, first):
        records = recorded_log(seed, length)
        states = [ConfigState()]
        for item in records:
            states.append(fold(states[-1], item))
        final = parts_of(states[-1], 300)
        tail = [record(len(records) + 1 + n, part) for n, part in enumerate(final)]
        store = ConfigStore()
        newest = 0
        for item in [r for r in records if r.offset >= first] + tail:
            store.advance([item])
            self.assertGreaterEqual(store.state.offset, newest)
            newest = store.state.offset
            if newest < len(states):
                self.assertEqual(store.state, states[newest])
        self.assertEqual(newest, tail[-1].offset)
        self.assertEqual(store.state.objects, states[-1].objects)

    def test_concurrent_snapshot_does_not_hide_a_change(self):
        state = fold_all(base_change())
        parts = parts_of(state, 10_000)
        racing = change("racing", edit("deployment", "x", {}))
        store = ConfigStore()
        store.advance([record(2, racing), record(3, parts[0])])
        self.assertIsNotNone(store.state.deployment("x"))
        self.assertEqual(store.state.offset, 3)

    def test_peer_gets_a_snapshot_if_the_records_exceed_the_limit(self):
        store = ConfigStore()
        store.advance([record(1, base_change())])
        adapters = ["x" * 1000] * 250
        store.advance(
            record(
                2 + n,
                change(
                    f"c{n}",
                    edit(
                        "model",
                        "glacier",
                        {"deployment": "north", "version": f"v{n}", "adapters": adapters},
                    ),
                ),
            )
            for n in range(20)
        )
        self.assertTrue(store.state.audit[-1].accepted)
        sent = store.newer_than(1)
        self.assertEqual({item.offset for item in sent}, {21})
        self.assertLess(sum(len(item.payload) for item in sent), MAX_CATCH_UP_BYTES)
        peer = ConfigStore()
        peer.advance([record(1, base_change())])
        peer.advance(sent)
        self.assertEqual(peer.state, store.state)

    def test_late_repeated_and_corrupt_parts(self):
        state = fold_all(base_change())
        parts = list(parts_of(state))
        self.assertGreater(len(parts), 3)
        store = ConfigStore()
        store.advance(record(2 + n, part) for n, part in enumerate(reversed(parts[1:])))
        self.assertEqual(store.state.offset, 0)
        store.advance([record(20, parts[1]), record(21, parts[0])])
        self.assertEqual(store.state.objects, state.objects)
        with self.subTest("damaged"):
            corrupt_parts = [replace(p, data=b"x" * len(p.data)) for p in parts]
            store = ConfigStore()
            store.advance(record(2 + n, part) for n, part in enumerate(corrupt_parts))
            self.assertEqual(store.state, ConfigState())

    def test_peers_get_records_or_a_snapshot(self):
        store = ConfigStore()
        store.advance([record(1, base_change())])
        store.advance(
            record(2 + n, change(f"c{n}", edit("deployment", f"d{n}", {}))) for n in range(600)
        )
        for offset in (600, 0):
            with self.subTest(offset=offset):
                peer = ConfigStore()
                if offset:
                    peer.advance([record(1, base_change())])
                    peer.advance(
                        record(2 + n, change(f"c{n}", edit("deployment", f"d{n}", {})))
                        for n in range(offset - 1)
                    )
                sent = store.newer_than(offset)
                peer.advance(sent)
                self.assertEqual(peer.state, store.state)
                self.assertEqual(peer.snapshot_offset, 0)
        self.assertEqual(store.newer_than(store.state.offset), ())

    def test_outdated_records_and_snapshots_are_ignored(self):
        old = ConfigStore()
        old.advance([record(1, base_change())])
        store = ConfigStore()
        store.advance([record(1, base_change()), record(2, change("c", edit("model", "glacier")))])
        before = store.state
        stale = [
            *old.newer_than(0),
            *(record(1, part) for part in parts_of(old.state)),
            record(2, change("other", edit("deployment", "x", {}))),
        ]
        self.assertFalse(store.advance(stale))
        self.assertEqual(store.state, before)
        with self.subTest("snapshots twice, late, on the log"):
            parts = [*parts_of(old.state), *parts_of(old.state), *parts_of(before)]
            store.advance(record(3 + n, part) for n, part in enumerate(parts))
            self.assertEqual(store.state.objects, before.objects)
            self.assertEqual(store.state.audit, before.audit)
            self.assertEqual(store.snapshot_offset, 2)


class SnapshotWriterTest(PausedCase):
    async def start_nodes(self, log, count, tasks, retention_s):
        stores = []
        for seed in range(count):
            store = ConfigStore()
            tail = ConfigTail(log=log, store=store)
            writer = SnapshotWriter(log=log, store=store, retention_s=retention_s, seed=seed)
            tasks.start(tail.run(), name="tail")
            tasks.start(writer.run(), name="snapshots")
            stores.append(store)
        return stores

    def test_a_snapshot_is_always_within_the_retention(self):
        async def scenario():
            log, tasks = LogStandin(), TaskSet()
            retention_s = 3600.0
            await self.start_nodes(log, 5, tasks, retention_s)
            await log.append(CONFIG_STREAM, encode_record(base_change()))
            appended_s = []
            first = 1
            for minute in range(600):
                await asyncio.sleep(60)
                page = await log.read(CONFIG_STREAM, first)
                first = page.next_offset
                appended_s += [(60.0 * minute, r.offset) for r in page.records]
                kept = [offset for at_s, offset in appended_s if at_s > 60.0 * minute - retention_s]
                if kept:
                    log.trim(CONFIG_STREAM, min(kept))
                store = ConfigStore()
                tail = ConfigTail(log=log, store=store)
                while await tail.read_once():
                    pass
                self.assertIsNotNone(store.state.deployment("north"), f"minute {minute}")
            # Snapshots are a quarter of the retention apart, and few entries write concurrently.
            self.assertLess(log.appends, 1 + 2 * 10 * 6)
            await tasks.close()

        self.run_paused(scenario())

    def test_failed_write_is_retried_soon(self):
        async def scenario():
            log, tasks = LogStandin(), TaskSet()
            (store,) = await self.start_nodes(log, 1, tasks, 3600.0)
            await log.append(CONFIG_STREAM, encode_record(base_change()))
            await asyncio.sleep(10)
            log.down = True
            await asyncio.sleep(1800)
            self.assertEqual(store.snapshot_offset, 0)
            log.down = False
            await asyncio.sleep(60)
            self.assertEqual(store.snapshot_offset, 1)
            await tasks.close()

        self.run_paused(scenario())
