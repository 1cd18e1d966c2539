"""The accepting side of a connection from a peer."""

import asyncio
from collections.abc import Callable

from ..channels import Channel, ChannelClosedError, encode

MAX_REMEMBERED_CALLS = 4096


class CallDeduplicator:
    """Detects repeated frames on a connection, so that each opens its exchange only once."""

    def __init__(self) -> None:
        self._seen: set[int] = set()
        self._forgotten_up_to = 0

    def is_new(self, number: int) -> bool:
        """Record the number of an exchange; return False if it was seen before."""
        if number <= self._forgotten_up_to or number in self._seen:
            return False
        self._seen.add(number)
        if len(self._seen) > MAX_REMEMBERED_CALLS:
            self._evict_oldest()
        return True

    def _evict_oldest(self) -> None:
        oldest = sorted(self._seen)[: MAX_REMEMBERED_CALLS // 2]
        self._forgotten_up_to = oldest[-1]
        self._seen.difference_update(oldest)


class PeerLink:
    """An accepted connection, as passed to the handlers of messages.

    Attributes:
        name: The peer's name.
        config_offset: The newest configuration offset that the peer is known to have.
        offers_config: Whether this process may follow the peer's configuration.
        takes_evidence: Whether the peer takes `EvidenceRows`.
        closed: Whether the connection is closed.
        calls: The exchanges that were opened on the connection.
        last_frame_s: When the newest frame was received, on the event loop's clock.
    """

    def __init__(
        self,
        *,
        channel: Channel,
        name: str,
        config_offset: int,
        offers_config: bool = False,
        takes_evidence: bool = False,
    ) -> None:
        self.name = name
        self.config_offset = config_offset
        self.offers_config = offers_config
        self.takes_evidence = takes_evidence
        self.closed = False
        self.calls = CallDeduplicator()
        self.last_frame_s = asyncio.get_running_loop().time()
        self._channel = channel
        self._readers: dict[int, Callable[[], None]] = {}
        self._abandoned_calls: set[int] = set()

    @property
    def has_readers(self) -> bool:
        """Return whether the peer reads the replies of any exchange."""
        return bool(self._readers)

    def add_reader(self, call: int, wake: Callable[[], None]) -> None:
        """Register a reader; `wake` is called when the peer stops reading or disconnects."""
        self._readers[call] = wake

    def remove_reader(self, call: int) -> None:
        """Remove the reader of an exchange that has ended."""
        self._readers.pop(call, None)
        self._abandoned_calls.discard(call)

    def is_read(self, call: int) -> bool:
        """Return whether the peer still reads the replies of an exchange."""
        return not self.closed and call not in self._abandoned_calls

    def leave(self, call: int) -> None:
        """Record that the peer no longer reads the replies of an exchange."""
        wake = self._readers.get(call)
        if wake is not None:
            self._abandoned_calls.add(call)
            wake()

    def close(self) -> None:
        """Record that the connection is closed, and wake all readers."""
        if self.closed:
            return
        self.closed = True
        for wake in list(self._readers.values()):
            wake()

    async def send(self, message: object) -> bool:
        """Send a message; return False if the connection is closed."""
        if self.closed:
            return False
        try:
            await self._channel.send(encode(message))
        except ChannelClosedError:
            self.close()
            return False
        return True
