"""Writes snapshots of the state to the log before the log trims the older records."""

import asyncio
import random

from ..backing import LogClient, PlatformUnavailableError
from ..kernel import Event, log_event
from ._records import CONFIG_STREAM, encode_record
from ._snapshot import split_cooperatively, take_snapshot
from ._store import ConfigStore

SNAPSHOTS_PER_RETENTION = 4
RECORDS_PER_SNAPSHOT = 2_000
CHECK_INTERVAL_S = 10.0
MAX_JITTER_S = 20.0


class SnapshotWriter:
    """Writes a snapshot if none was read from the log for a part of the retention time.

    Every entry runs a writer. Each waits for a random time first and skips its snapshot if it reads
    one of another entry meanwhile; concurrent snapshots are harmless.

    Args:
        log: The log to write to.
        store: The store whose state is written.
        retention_s: The time for which the log keeps a record.
        seed: Seeds the random wait.
    """

    def __init__(
        self, *, log: LogClient, store: ConfigStore, retention_s: float, seed: int = 0
    ) -> None:
        self._log = log
        self._store = store
        self._interval_s = retention_s / SNAPSHOTS_PER_RETENTION
        self._random = random.Random(seed)

    async def run(self) -> None:
        """Write snapshots until cancelled."""
        # The age of a snapshot that was read at the start is unknown, so the first wait is shorter.
        due_s = self._now_s() + self._random.uniform(0, self._interval_s / 2)
        while True:
            seen_offset = self._store.snapshot_offset
            await self._wait_until_due(due_s, seen_offset)
            is_due = (
                self._store.snapshot_offset == seen_offset
                and self._store.state.offset > seen_offset
            )
            if is_due and not await self._write():
                due_s = self._now_s() + self._random.uniform(0, MAX_JITTER_S)
                continue
            due_s = self._now_s() + self._interval_s * self._random.uniform(0.75, 1.0)

    async def _wait_until_due(self, due_s: float, seen_offset: int) -> None:
        check_s = min(CHECK_INTERVAL_S, self._interval_s / 4)
        while self._now_s() < due_s and self._store.snapshot_offset == seen_offset:
            if self._store.records_since_snapshot >= RECORDS_PER_SNAPSHOT:
                await asyncio.sleep(self._random.uniform(0, MAX_JITTER_S))
                return
            await asyncio.sleep(check_s)

    async def _write(self) -> bool:
        snapshot = take_snapshot(self._store.state)
        parts = await split_cooperatively(snapshot)
        try:
            for part in parts:
                await self._log.append(CONFIG_STREAM, encode_record(part))
        except PlatformUnavailableError as error:
            log_event(Event.SNAPSHOT_FAILED, error=str(error))
            return False
        log_event(Event.SNAPSHOT_WRITTEN, covered_offset=snapshot.covered_offset, parts=len(parts))
        # Gives the store time to read this snapshot from the log before the next check.
        await asyncio.sleep(CHECK_INTERVAL_S)
        return True

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()
