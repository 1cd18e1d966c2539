"""Measures the configuration at the target size: `python -m bench.config_scale`.

Snapshot size, fold time and memory are measured on this machine in real time. The day of changes
runs on a virtual clock and is deterministic.
"""

import asyncio
import json
import random
import statistics
import time
import tracemalloc
from collections import Counter
from pathlib import Path

from cicadatiller.backing import LogRecord
from cicadatiller.config import (
    CONFIG_STREAM,
    MAX_AUDIT_ENTRIES,
    ChangeRecord,
    ConfigState,
    ConfigStore,
    ConfigTail,
    Publisher,
    SnapshotWriter,
    encode_record,
    fold,
    hash_key,
    restore,
    split_snapshot,
    take_snapshot,
)
from cicadatiller.config._records import pack_in_steps
from cicadatiller.kernel import TaskSet
from cicadatiller.standins import LogStandin
from tests.support import PausedLoop
from tests.support.configuration import base_change, change, edit

RESULT = Path(__file__).parent / "results" / "config_scale.json"
WORKSPACES = 14_000
WORKSPACES_PER_CHANGE = 100
CHANGES_PER_DAY = 3_800
INSTANCE_CHANGES_PER_DAY = 425
INSTANCE_STREAM = "incarnations"
ENTRIES = 4
DAY_S = 24 * 3600.0
TIMED_CHANGES = 500


def workspace(number: int, rate: int) -> dict[str, object]:
    """Return the body of a workspace object."""
    return {
        "deployment": "north" if number % 2 else "south",
        "key_hashes": [hash_key(f"key-{number}")],
        "requests_per_s": rate,
    }


def setup_changes() -> list[ChangeRecord]:
    """Return the changes that create all workspaces."""
    changes = [base_change()]
    for first in range(0, WORKSPACES, WORKSPACES_PER_CHANGE):
        edits = [
            edit("workspace", f"workspace-{number}", workspace(number, 50))
            for number in range(first, first + WORKSPACES_PER_CHANGE)
        ]
        changes.append(change(f"setup-{first}", *edits))
    return changes


def random_workspace_change(rng: random.Random, number: int) -> ChangeRecord:
    """Return a change of one random workspace."""
    chosen = rng.randrange(WORKSPACES)
    body = workspace(chosen, rng.randrange(10, 100))
    return change(f"day-{number}", edit("workspace", f"workspace-{chosen}", body))


def fold_change(state: ConfigState, content: ChangeRecord) -> ConfigState:
    """Apply one change to the state and return the new state."""
    offset = state.offset + 1
    record = LogRecord(offset=offset, time_ms=offset, payload=encode_record(content))
    return fold(state, record)


def measure_state() -> dict[str, object]:
    """Return the sizes and times of a state with a full audit trail.

    Raises:
        AssertionError: If the snapshot does not restore the state.
    """
    tracemalloc.start()
    state = ConfigState()
    for content in setup_changes():
        state = fold_change(state, content)
    objects_bytes = tracemalloc.get_traced_memory()[0]
    rng = random.Random(1)
    for number in range(MAX_AUDIT_ENTRIES):
        state = fold_change(state, random_workspace_change(rng, number))
    state_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    times_s = []
    for number in range(TIMED_CHANGES):
        content = random_workspace_change(rng, MAX_AUDIT_ENTRIES + number)
        started_s = time.perf_counter()
        state = fold_change(state, content)
        times_s.append(time.perf_counter() - started_s)
    started_s = time.perf_counter()
    parts = split_snapshot(take_snapshot(state))
    take_s = time.perf_counter() - started_s
    longest_step_s = measure_longest_step(state)
    started_s = time.perf_counter()
    store = ConfigStore()
    store.advance(
        LogRecord(offset=state.offset + 1 + n, time_ms=0, payload=encode_record(part))
        for n, part in enumerate(parts)
    )
    restore_s = time.perf_counter() - started_s
    if store.state.objects != state.objects or restore(take_snapshot(state)) != state:
        raise AssertionError("the snapshot does not restore the state")
    return {
        "workspaces": WORKSPACES,
        "audit_entries": len(state.verdicts),
        "fold_one_change_p50_ms": round(statistics.median(times_s) * 1000, 3),
        "fold_one_change_max_ms": round(max(times_s) * 1000, 3),
        "snapshot_bytes": sum(len(part.data) for part in parts),
        "snapshot_records": len(parts),
        "take_snapshot_s": round(take_s, 3),
        "take_snapshot_longest_step_s": round(longest_step_s, 3),
        "restore_snapshot_s": round(restore_s, 3),
        "memory_objects_bytes": objects_bytes,
        "memory_with_audit_bytes": state_bytes,
    }


def measure_longest_step(state: ConfigState) -> float:
    """Return the longest time that a snapshot taken in steps blocks the event loop."""
    started_s = time.perf_counter()
    snapshot = take_snapshot(state)
    longest_s = time.perf_counter() - started_s
    steps = pack_in_steps(snapshot)
    while True:
        started_s = time.perf_counter()
        piece = next(steps, None)
        longest_s = max(longest_s, time.perf_counter() - started_s)
        if piece is None:
            return longest_s


class CountingLog(LogStandin):
    """Counts the appends in each second of the event loop's clock."""

    def __init__(self) -> None:
        super().__init__()
        self.counts: Counter[int] = Counter()
        self.appended_bytes = 0

    async def append(self, stream: str, payload: bytes) -> int:
        """Append a record and return its offset."""
        self.counts[int(asyncio.get_running_loop().time())] += 1
        self.appended_bytes += len(payload)
        return await super().append(stream, payload)


async def measure_day() -> dict[str, object]:
    """Return the log appends of one day with `ENTRIES` entries."""
    log, tasks = CountingLog(), TaskSet()
    for content in setup_changes():
        await log.append(CONFIG_STREAM, encode_record(content))
    publishers = []
    for seed in range(ENTRIES):
        store = ConfigStore()
        tail = ConfigTail(log=log, store=store)
        writer = SnapshotWriter(log=log, store=store, retention_s=DAY_S, seed=seed)
        tasks.start(tail.run(), name="tail")
        tasks.start(writer.run(), name="snapshots")
        publishers.append(Publisher(log=log, store=store, refresh=tail.read_once))
    await asyncio.sleep(10)
    setup, setup_bytes = log.appends, log.appended_bytes
    log.counts.clear()
    rng = random.Random(2)
    start_s = asyncio.get_running_loop().time()
    events = [(rng.uniform(0, DAY_S), "change") for _ in range(CHANGES_PER_DAY)]
    events += [(rng.uniform(0, DAY_S), "instance") for _ in range(INSTANCE_CHANGES_PER_DAY)]
    rejected = 0
    for number, (at_s, kind) in enumerate(sorted(events)):
        await asyncio.sleep(max(0.0, start_s + at_s - asyncio.get_running_loop().time()))
        if kind == "instance":
            await log.append(INSTANCE_STREAM, b"x" * 100)
            continue
        publisher = rng.choice(publishers)
        entry = await publisher.apply(random_workspace_change(rng, number), timeout_s=5)
        rejected += not entry.accepted
    await tasks.close()
    appends = log.appends - setup
    return {
        "entries": ENTRIES,
        "changes": CHANGES_PER_DAY,
        "instance_changes": INSTANCE_CHANGES_PER_DAY,
        "rejected": rejected,
        "appends": appends,
        "snapshot_appends": appends - CHANGES_PER_DAY - INSTANCE_CHANGES_PER_DAY,
        "appends_per_s_mean": round(appends / DAY_S, 4),
        "appends_per_s_max": max(log.counts.values()),
        "appended_bytes": log.appended_bytes - setup_bytes,
    }


def main() -> None:
    body = {"state": measure_state()}
    loop = PausedLoop()
    asyncio.set_event_loop(loop)
    body["day"] = loop.run_until_complete(measure_day())
    loop.close()
    print(json.dumps(body, indent=2))
    RESULT.parent.mkdir(exist_ok=True)
    RESULT.write_text(json.dumps(body, indent=2) + "\n")


if __name__ == "__main__":
    main()
