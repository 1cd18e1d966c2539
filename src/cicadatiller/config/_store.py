"""The store of the current configuration in each process."""

import asyncio
from collections import deque
from collections.abc import Callable, Iterable

from ..backing import LogRecord
from ._fold import fold
from ._records import SnapshotPart, decode_record, encode_record, unpack_snapshot
from ._snapshot import SnapshotAssembler, restore, split_snapshot, take_snapshot
from ._state import ConfigState

MAX_RECENT_RECORDS = 512
MAX_PENDING_RECORDS = 20_000
MAX_CATCH_UP_BYTES = 4 * 1024 * 1024


class ConfigStore:
    """Keeps the newest state; its offset never decreases.

    Attributes:
        snapshot_offset: The offset covered by the newest snapshot that was read from the log.
        records_since_snapshot: The number of records folded since that snapshot was read.
    """

    def __init__(self) -> None:
        self._state = ConfigState()
        self._recent: deque[LogRecord] = deque(maxlen=MAX_RECENT_RECORDS)
        self._pending: dict[int, LogRecord] = {}
        self._assembler = SnapshotAssembler()
        self._peer_snapshot: tuple[LogRecord, ...] = ()
        self._changed = asyncio.Event()
        self._listeners: list[Callable[[ConfigState], None]] = []
        self.snapshot_offset = 0
        self.records_since_snapshot = 0

    @property
    def state(self) -> ConfigState:
        """Return the current state."""
        return self._state

    def subscribe(self, listener: Callable[[ConfigState], None]) -> None:
        """Register a listener; it is called with the state after each advance."""
        self._listeners.append(listener)

    def advance(self, records: Iterable[LogRecord]) -> bool:
        """Fold records into the state; known records have no effect.

        Records after a gap are kept until other records or a snapshot fill the gap.

        Returns:
            Whether the state advanced.
        """
        before = self._state.offset
        for record in records:
            self._apply_record(record)
        if self._state.offset == before:
            return False
        self._changed.set()
        self._changed = asyncio.Event()
        for listener in self._listeners:
            listener(self._state)
        return True

    def newer_than(self, offset: int) -> tuple[LogRecord, ...]:
        """Return records that bring a peer from an offset to the current state.

        They are either the records after the offset, without a gap, or the parts of a snapshot.
        """
        if offset >= self._state.offset:
            return ()
        newer = tuple(record for record in self._recent if record.offset > offset)
        size_bytes = sum(len(record.payload) for record in newer)
        if newer and newer[0].offset == offset + 1 and size_bytes <= MAX_CATCH_UP_BYTES:
            return newer
        return self._snapshot_for_peers()

    async def wait_for(self, offset: int) -> ConfigState:
        """Wait until the state has reached an offset."""
        while self._state.offset < offset:
            await self._changed.wait()
        return self._state

    async def wait_for_change(self) -> None:
        """Wait until the state advances."""
        await self._changed.wait()

    def _apply_record(self, record: LogRecord) -> None:
        content = decode_record(record.payload)
        if isinstance(content, SnapshotPart):
            self._add_snapshot_part(content, record.offset)
        if record.offset <= self._state.offset:
            return
        if len(self._pending) < MAX_PENDING_RECORDS:
            self._pending[record.offset] = record
        self._fold_pending()

    def _fold_pending(self) -> None:
        while (record := self._pending.pop(self._state.offset + 1, None)) is not None:
            self._state = fold(self._state, record)
            self._recent.append(record)
            self.records_since_snapshot += 1

    def _add_snapshot_part(self, part: SnapshotPart, record_offset: int) -> None:
        # A snapshot from a peer is not on the log; its parts have the offset of the state.
        is_on_log = record_offset > part.covered_offset
        is_newer = is_on_log and part.covered_offset > self.snapshot_offset
        if not is_newer and part.covered_offset <= self._state.offset:
            return
        data = self._assembler.add(part)
        if data is None:
            return
        if is_newer:
            self.snapshot_offset = part.covered_offset
            self.records_since_snapshot = 0
        if part.covered_offset > self._state.offset:
            self._restore(data)

    def _restore(self, data: bytes) -> None:
        snapshot = unpack_snapshot(data)
        if snapshot is None:
            return
        self._state = restore(snapshot)
        self._recent.clear()
        self._pending = {
            offset: record
            for offset, record in self._pending.items()
            if offset > self._state.offset
        }
        self._fold_pending()

    def _snapshot_for_peers(self) -> tuple[LogRecord, ...]:
        offset = self._state.offset
        if not self._peer_snapshot or self._peer_snapshot[0].offset != offset:
            self._peer_snapshot = tuple(
                LogRecord(offset=offset, time_ms=0, payload=encode_record(part))
                for part in split_snapshot(take_snapshot(self._state))
            )
        return self._peer_snapshot
