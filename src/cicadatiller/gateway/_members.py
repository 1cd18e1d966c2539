"""The entries of the fleet, which register themselves in the store."""

import asyncio
import json
import random
from collections.abc import Callable, Mapping

from ..fleet import (
    KeyedLog,
    KeyedPage,
    KeyedRecord,
    StorePosition,
    StoreUnavailableError,
    Topic,
)
from ..kernel import (
    DocumentError,
    Event,
    UnreadableRecords,
    get_address,
    load_object,
    log_event,
    rendezvous_weight,
)
from ._followers import TopicFollower

RETRY_DELAY_S = 0.5
# After it has written, an entry reads the registrations again within these times, unless a peer
# sends them before. Entries that start together then need few reads between them.
MIN_REREAD_DELAY_S = 0.2
MAX_REREAD_DELAY_S = 2.0
# After the store came back from an older copy, entries write again within this time.
REWRITE_JITTER_S = 1.0
# For this time an entry that the store's copy lacks stays known, to register again.
UNLISTED_GRACE_S = 10.0


class MemberSink:
    """Keeps the addresses of the registered entries.

    Args:
        on_change: Called after the addresses have changed.
        unreadable: Keeps the keys whose record can't be decoded.

    Attributes:
        addresses: The address of each known entry, "host:port", by name.
        listed: The same of each entry that the store lists.
    """

    def __init__(self, *, on_change: Callable[[], None], unreadable: UnreadableRecords) -> None:
        self._unreadable = unreadable
        self.addresses: dict[str, str] = {}
        self.listed: dict[str, str] = {}
        self._removed: set[str] = set()
        # The known entries that the first page of the era lacked.
        self._unlisted: set[str] = set()
        self._first_page_end = 0
        self._on_change = on_change

    def is_listed_again(self, name: str) -> bool:
        """Return whether the store lists an entry whose removal it has lost."""
        return name in self._removed and name in self.listed

    def apply(self, record: KeyedRecord, *, grace_s: float = 0.0) -> None:
        """Apply one registration or removal; `grace_s` has no effect."""
        if self._apply(record):
            self._on_change()

    def replace(self, page: KeyedPage, *, grace_s: float = 0.0) -> None:
        """Apply a page with the newest record of each key; entries not in it are removed.

        What `merge` kept stays.
        """
        before = self.addresses
        self.listed = self._decode_page(page)
        self._unlisted -= self.listed.keys()
        written = {record.key for record in page.records if record.offset >= self._first_page_end}
        gone = before.keys() - self.listed.keys() - self._unlisted
        self._removed = (self._removed | gone) - (self.listed.keys() & written)
        present = {n: a for n, a in self.listed.items() if n not in self._removed}
        self.addresses = present | {n: a for n, a in before.items() if n in self._unlisted}
        if self.addresses != before:
            self._on_change()

    def merge(self, page: KeyedPage, *, before: Mapping[str, KeyedRecord]) -> None:
        """Apply the first page of a new era.

        Entries that were removed stay away, and those that are not in the page stay known for
        `UNLISTED_GRACE_S`, as its records may be older than what is known.
        """
        self.listed = self._decode_page(page)
        self._first_page_end = page.next_offset
        known = dict(self.addresses)
        present = {n: a for n, a in self.listed.items() if n not in self._removed}
        self.addresses = present | known
        self._unlisted = known.keys() - self.listed.keys()
        for name in self._unlisted:
            asyncio.get_running_loop().call_later(UNLISTED_GRACE_S, self._forget_unlisted, name)
        self._on_change()

    def held(self) -> tuple[KeyedRecord, ...]:
        """Return nothing: entries write again by themselves."""
        return ()

    def apply_held(self, records: tuple[KeyedRecord, ...]) -> None:
        """Ignore what peers hold, see `held`."""

    def _forget_unlisted(self, name: str) -> None:
        if name in self._unlisted and self.addresses.pop(name, None) is not None:
            self._unlisted.discard(name)
            self._on_change()

    def _apply(self, record: KeyedRecord) -> bool:
        address = self._decode(record)
        self._unlisted.discard(record.key)
        if address is None:
            self.listed.pop(record.key, None)
            self._removed.add(record.key)
        else:
            self.listed[record.key] = address
            self._removed.discard(record.key)
        if self.addresses.get(record.key) == address:
            return False
        if address is None:
            del self.addresses[record.key]
        else:
            self.addresses[record.key] = address
        return True

    def _decode_page(self, page: KeyedPage) -> dict[str, str]:
        addresses = ((record.key, self._decode(record)) for record in page.records)
        return {name: address for name, address in addresses if address is not None}

    def _decode(self, record: KeyedRecord) -> str | None:
        """Return the address of an entry; None if it was removed or can't be decoded."""
        address = None
        try:
            if record.value is not None:
                address = get_address(load_object(record.value), "peer_address")
        except (DocumentError, KeyError) as error:
            self._unreadable.add(record.key, error)
            return None
        self._unreadable.discard(record.key)
        return address


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
        # The end of what this entry last wrote; None if it has written nothing.
        self._written: StorePosition | None = None
        self._was_listed = False
        # The ends of the removals that this entry wrote, by the removed entry's name.
        self._removals: dict[str, StorePosition] = {}

    async def run(self) -> None:
        """Keep this entry registered, and removed entries away, until cancelled."""
        while True:
            self._changed.clear()
            if self._is_missing():
                await self._register()
            for name in self._lost_removals():
                await self._remove_again(name)
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
        end = await self._put(name, None)
        if end is not None:
            self._removals[name] = end

    def _is_missing(self) -> bool:
        """Return whether the store lacks this entry, as far as its records are known.

        What this entry wrote is no longer awaited once the records are of a later era.
        """
        position = self._follower.position
        if position is None or (self._written is not None and position < self._written):
            return False
        is_listed = self._sink.listed.get(self._name) == self._address
        self._was_listed = self._was_listed or is_listed
        return not is_listed

    async def _register(self) -> None:
        value = json.dumps({"peer_address": self._address}).encode()
        is_repeat = self._was_listed or self._written is not None
        if is_repeat:
            await asyncio.sleep(random.uniform(0.0, REWRITE_JITTER_S))
        while self._is_missing():
            end = await self._put(self._name, value)
            if end is None:
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            self._written = end
            if is_repeat:
                _log_written_again(self._name, end)
            return

    def _lost_removals(self) -> list[str]:
        position = self._follower.position
        return [
            name
            for name, end in self._removals.items()
            if position is not None and position >= end and self._sink.is_listed_again(name)
        ]

    async def _remove_again(self, name: str) -> None:
        await asyncio.sleep(random.uniform(0.0, REWRITE_JITTER_S))
        while name in self._lost_removals() and name not in self._connected_peers():
            end = await self._put(name, None)
            if end is None:
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            self._removals[name] = end
            _log_written_again(name, end)

    async def _put(self, name: str, value: bytes | None) -> StorePosition | None:
        """Write a record and read it back, by which the peers learn of it, too.

        Returns:
            The position after the record; None if it may not have been written.
        """
        try:
            written = await self._log.put(Topic.MEMBERS, name, value)
        except StoreUnavailableError as error:
            log_event(Event.LOG_READ_FAILED, topic=Topic.MEMBERS.value, error=str(error))
            return None
        end = StorePosition(era=written.era, offset=written.offset + 1)
        delay_s = random.uniform(MIN_REREAD_DELAY_S, MAX_REREAD_DELAY_S)
        self._follower.read_within(delay_s, end=end)
        return end


def _log_written_again(name: str, end: StorePosition) -> None:
    log_event(
        Event.STORE_WRITTEN_AGAIN,
        topic=Topic.MEMBERS.value,
        key=name,
        era=end.era,
        offset=end.offset - 1,
    )
