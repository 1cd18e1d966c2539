"""One exchange on a connection that this side dialled."""

import asyncio
from collections.abc import AsyncIterator, Callable


class PeerLostError(Exception):
    """The connection was lost or timed out; messages that were sent may have taken effect.

    Attributes:
        is_refused: Whether the peer can't be dialled at all, as it is gone; if not, it may only be
            silent.
    """

    def __init__(self, message: str, *, is_refused: bool = False) -> None:
        super().__init__(message)
        self.is_refused = is_refused


class PeerCall:
    """One exchange on a connection: a request message and one or more replies.

    Args:
        address: The peer's address.
        forget: Called with the number of the exchange to drop further replies.
        leave: Called with the number to drop further replies and send `Leave` to the peer.

    Attributes:
        number: Identifies the exchange among all of this process.
    """

    def __init__(
        self,
        *,
        number: int,
        address: str,
        forget: Callable[[int], None],
        leave: Callable[[int], None],
    ) -> None:
        self.number = number
        self._address = address
        self._forget = forget
        self._leave = leave
        self._replies: asyncio.Queue[object | None] = asyncio.Queue()

    def put(self, reply: object | None) -> None:
        """Queue a reply; None means that the connection was lost."""
        self._replies.put_nowait(reply)

    async def next_reply(self) -> object:
        """Wait for the next reply; raises `PeerLostError`."""
        reply = await self._replies.get()
        if reply is None:
            raise PeerLostError(f"connection to {self._address} lost while waiting for a reply")
        return reply

    async def replies(self) -> AsyncIterator[object]:
        """Yield replies until the caller stops; raises `PeerLostError`."""
        while True:
            yield await self.next_reply()

    def close(self) -> None:
        """End the exchange; further replies are dropped."""
        self._forget(self.number)

    def leave(self) -> None:
        """End the exchange before its last reply and send `Leave` to the peer."""
        self._leave(self.number)
