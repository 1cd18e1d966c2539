"""Discovery of peers through the store."""

import asyncio
import json

from ..fleet import KeyedLog, StoreUnavailableError, Topic
from ..kernel import Event, log_event
from ..mesh import Mesh

RETRY_DELAY_S = 0.5


class Membership:
    """Registers this entry in the store and connects it to the entries registered there.

    The members are read only once: an entry that registers later reads this entry's record and
    dials it.

    Args:
        log: The store.
        name: Name of this entry.
        address: Address at which it accepts links, "host:port".
        mesh: The links to the peers.
    """

    def __init__(self, *, log: KeyedLog, name: str, address: str, mesh: Mesh) -> None:
        self._log = log
        self._name = name
        self._address = address
        self._mesh = mesh

    async def run(self) -> None:
        """Register this entry and read the members; retries until both have succeeded."""
        value = json.dumps({"peer_address": self._address}).encode()
        is_registered = False
        while True:
            try:
                if not is_registered:
                    await self._log.put(Topic.MEMBERS, self._name, value)
                    is_registered = True
                page = await self._log.read_newest(Topic.MEMBERS)
            except StoreUnavailableError as error:
                log_event(Event.LOG_READ_FAILED, topic=Topic.MEMBERS.value, error=str(error))
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            for record in page.records:
                self._add_peer(record.key, record.value)
            return

    async def leave(self) -> None:
        """Remove this entry's record."""
        try:
            await self._log.put(Topic.MEMBERS, self._name, None)
        except StoreUnavailableError as error:
            log_event(Event.LOG_READ_FAILED, topic=Topic.MEMBERS.value, error=str(error))

    def _add_peer(self, name: str, value: bytes | None) -> None:
        if name == self._name or value is None:
            return
        try:
            address = json.loads(value)["peer_address"]
        except (ValueError, KeyError, TypeError) as error:
            log_event(Event.ENTRY_UNREADABLE, name=name, error=repr(error))
            return
        self._mesh.add_peer(str(address))
