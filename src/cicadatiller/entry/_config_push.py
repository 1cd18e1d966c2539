"""Sends newer configuration records to the sidecars that an entry is connected to."""

import asyncio
from collections import deque
from collections.abc import Callable, Mapping

from ..config import ConfigStore
from ..kernel import TaskSet
from ..peer import ConfigRecord, ConfigRecords, PeerConnection, PeerLostError

BATCH_DELAY_S = 0.05
# Time in which a sidecar may receive a change from another entry; a report that lacks the change
# after that triggers a push.
SETTLE_S = 2.0


class ConfigPusher:
    """Sends configuration records to sidecars that have not reported the newest offset.

    Each sidecar follows one of the entries connected to it; that entry sends changes at once.
    The others send only if a report shows that the sidecar lacks records after `SETTLE_S`.

    Args:
        store: The current configuration.
        connections: Returns the open connections by address.

    Attributes:
        follows_only: Whether changes are sent at once only to the sidecars that follow this
            entry, instead of to all.
    """

    def __init__(
        self, *, store: ConfigStore, connections: Callable[[], Mapping[str, PeerConnection]]
    ) -> None:
        self._store = store
        self._connections = connections
        self.follows_only = True
        self._offsets: dict[str, int] = {}
        self._pushing: set[str] = set()
        self._due = asyncio.Event()
        self._advances: deque[tuple[float, int]] = deque()
        self._settled_offset = 0
        self._tasks = TaskSet()
        store.subscribe(lambda state: self._record_advance(state.offset))

    def observe(self, address: str, offset: int) -> None:
        """Record the offset that a sidecar reported; send missing records if they are due."""
        self._offsets[address] = offset
        connection = self._connections().get(address)
        if connection is None or offset >= self._store.state.offset:
            return
        if connection.is_followed or offset < self._find_settled_offset():
            self._start_push(address, connection)

    def forget(self, addresses: set[str]) -> None:
        """Discard the offsets of sidecars."""
        for address in addresses:
            self._offsets.pop(address, None)

    async def run(self) -> None:
        """Send changes at once to the sidecars that follow this entry, until cancelled."""
        while True:
            await self._due.wait()
            await asyncio.sleep(BATCH_DELAY_S)
            self._due.clear()
            for address, connection in list(self._connections().items()):
                if connection.is_followed or not self.follows_only:
                    self._start_push(address, connection)

    async def close(self) -> None:
        """Cancel the pushes in progress."""
        await self._tasks.close()

    def _record_advance(self, offset: int) -> None:
        self._find_settled_offset()
        self._advances.append((asyncio.get_running_loop().time(), offset))
        self._due.set()

    def _find_settled_offset(self) -> int:
        end_s = asyncio.get_running_loop().time() - SETTLE_S
        while self._advances and self._advances[0][0] <= end_s:
            self._settled_offset = self._advances.popleft()[1]
        return self._settled_offset

    def _start_push(self, address: str, connection: PeerConnection) -> None:
        offset = self._offsets.get(address)
        is_behind = offset is not None and offset < self._store.state.offset
        if not is_behind or connection.closed or address in self._pushing:
            return
        self._pushing.add(address)
        self._tasks.start(self._push(address, connection), name=f"configuration to {address}")

    async def _push(self, address: str, connection: PeerConnection) -> None:
        newer = self._store.newer_than(self._offsets.get(address, 0))
        records = tuple(
            ConfigRecord(offset=record.offset, time_ms=record.time_ms, payload=record.payload)
            for record in newer
        )
        try:
            if records:
                await connection.send(ConfigRecords(records=records))
                # If the records did not arrive, the next report resets this offset.
                self._offsets[address] = newer[-1].offset
        except PeerLostError:
            return
        finally:
            self._pushing.discard(address)
