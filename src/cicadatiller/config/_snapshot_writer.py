"""Republishes the state on the log before the log trims what the state rests on."""

import asyncio
import random

from ..backing import LogClient, PlatformUnavailableError
from ..kernel import Event, log_event
from ._records import CONFIG_STREAM, encode_record
from ._snapshot import split_in_background, take_snapshot
from ._store import ConfigStore

SNAPSHOTS_PER_RETENTION = 4
RECORDS_PER_SNAPSHOT = 2_000
CHECK_INTERVAL_S = 10.0
MAX_JITTER_S = 20.0


class SnapshotWriter:
    """Writes a snapshot when none was seen for a share of the retention.

    Every entry runs one. They wait a random time first, and one that sees another's snapshot does
    without its own; two at once are harmless.

    Args:
        retention_s: How long the log keeps a record.
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
        # The age of a snapshot that was read at the start is unknown.
        due_s = self._now_s() + self._random.uniform(0, self._interval_s / 2)
        while True:
            seen = self._store.snapshot_offset
            await self._wait_until_due(due_s, seen)
            is_wanted = self._store.snapshot_offset == seen and self._store.state.offset > seen
            if is_wanted and not await self._write():
                due_s = self._now_s() + self._random.uniform(0, MAX_JITTER_S)
                continue
            due_s = self._now_s() + self._interval_s * self._random.uniform(0.75, 1.0)

    async def _wait_until_due(self, due_s: float, seen: int) -> None:
        check_s = min(CHECK_INTERVAL_S, self._interval_s / 4)
        while self._now_s() < due_s and self._store.snapshot_offset == seen:
            if self._store.records_since_snapshot >= RECORDS_PER_SNAPSHOT:
                await asyncio.sleep(self._random.uniform(0, MAX_JITTER_S))
                return
            await asyncio.sleep(check_s)

    async def _write(self) -> bool:
        snapshot = take_snapshot(self._store.state)
        parts = await split_in_background(snapshot)
        try:
            for part in parts:
                await self._log.append(CONFIG_STREAM, encode_record(part))
        except PlatformUnavailableError as error:
            log_event(Event.SNAPSHOT_FAILED, error=str(error))
            return False
        log_event(Event.SNAPSHOT_WRITTEN, covered_offset=snapshot.covered_offset, parts=len(parts))
        # The reader takes the records in, so that the next check sees this snapshot.
        await asyncio.sleep(CHECK_INTERVAL_S)
        return True

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()
