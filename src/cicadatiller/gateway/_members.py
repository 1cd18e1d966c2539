"""The entries of the fleet, which register themselves in the store."""

import asyncio
import json
import random
from collections.abc import Callable

from ..fleet import KeyedLog, KeyedPage, KeyedRecord, StoreUnavailableError, Topic
from ..kernel import Event, log_event, rendezvous_weight
from ._followers import TopicFollower

RETRY_DELAY_S = 0.5
# After it has written, an entry reads the registrations again within these times, unless a peer
# sends them before. Entries that start together then need few reads between them.
MIN_REREAD_DELAY_S = 0.2
MAX_REREAD_DELAY_S = 2.0


class MemberSink:
    """Keeps the addresses of the registered entries.

    Args:
        on_change: Called after the addresses have changed.

    Attributes:
        addresses: The address of each registered entry, "host:port", by name.
    """

    def __init__(self, *, on_change: Callable[[], None]) -> None:
        self.addresses: dict[str, str] = {}
        self._on_change = on_change

    def apply(self, record: KeyedRecord, *, grace_s: float = 0.0) -> None:
        """Apply one registration or removal; `grace_s` has no effect."""
        if self._apply(record):
            self._on_change()

    def replace(self, page: KeyedPage, *, grace_s: float = 0.0) -> None:
        """Apply a page with the newest record of each key; entries not in it are removed."""
        before = self.addresses
        self.addresses = {}
        for record in page.records:
            self._apply(record)
        if self.addresses != before:
            self._on_change()

    def _apply(self, record: KeyedRecord) -> bool:
        address = None if record.value is None else _decode_address(record.key, record.value)
        if self.addresses.get(record.key) == address:
            return False
        if address is None:
            del self.addresses[record.key]
        else:
            self.addresses[record.key] = address
        return True


class Membership:
    """Registers this entry in the store, and removes entries that are gone.

    A registration outlives the process, so that an entry that restarts at the same address is found
    without a write to the store. Entries that could not be reached for long are removed.

    Args:
        log: The store.
        name: Name of this entry.
        address: Address at which it accepts links, "host:port".
        sink: The registered entries.
        follower: Follows the registrations.
        connected_peers: Returns the names of the connected peers.
    """

    def __init__(
        self,
        *,
        log: KeyedLog,
        name: str,
        address: str,
        sink: MemberSink,
        follower: TopicFollower,
        connected_peers: Callable[[], tuple[str, ...]],
    ) -> None:
        self._log = log
        self._name = name
        self._address = address
        self._sink = sink
        self._follower = follower
        self._connected_peers = connected_peers
        self._changed = asyncio.Event()

    async def run(self) -> None:
        """Keep this entry registered until cancelled."""
        while True:
            self._changed.clear()
            if self._is_missing():
                await self._register()
            await self._changed.wait()

    def members_changed(self) -> None:
        """Check the registration again, as the registered entries were read or have changed."""
        self._changed.set()

    async def remove(self, name: str) -> None:
        """Remove an entry that is gone, if this entry is the one of its peers that has to."""
        peers = [peer for peer in self._connected_peers() if peer != name]
        responsible = max([self._name, *peers], key=lambda peer: rendezvous_weight(name, peer))
        if responsible != self._name or name not in self._sink.addresses:
            return
        log_event(Event.PEER_REMOVED, peer=name, address=self._sink.addresses[name])
        offset = await self._put(name, None)
        if offset is not None:
            self._read_back(offset)

    def _is_missing(self) -> bool:
        was_read = self._follower.next_offset is not None
        return was_read and self._sink.addresses.get(self._name) != self._address

    async def _register(self) -> None:
        value = json.dumps({"peer_address": self._address}).encode()
        while self._is_missing():
            offset = await self._put(self._name, value)
            if offset is None:
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            self._read_back(offset)
            return

    def _read_back(self, offset: int) -> None:
        """Read what this entry wrote, by which its peers learn of it, too."""
        delay_s = random.uniform(MIN_REREAD_DELAY_S, MAX_REREAD_DELAY_S)
        self._follower.read_within(delay_s, end_offset=offset + 1)

    async def _put(self, name: str, value: bytes | None) -> int | None:
        try:
            return await self._log.put(Topic.MEMBERS, name, value)
        except StoreUnavailableError as error:
            log_event(Event.LOG_READ_FAILED, topic=Topic.MEMBERS.value, error=str(error))
            return None


def _decode_address(name: str, value: bytes) -> str | None:
    try:
        return str(json.loads(value)["peer_address"])
    except (ValueError, KeyError, TypeError) as error:
        log_event(Event.ENTRY_UNREADABLE, name=name, error=repr(error))
        return None
