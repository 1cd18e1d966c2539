"""Writes a request in parts as the server takes them, so that its body is held once."""

import asyncio

WRITE_HIGH_WATER_BYTES = 256 * 1024
# Longer bodies are written in parts of this size, since a transport copies what it can't send.
WRITE_PART_BYTES = 64 * 1024
NOTHING = memoryview(b"")


class RequestWriter:
    """Writes requests to one transport, one at a time.

    Args:
        transport: The transport.

    Attributes:
        is_paused: Whether the transport's write buffer is above its limit, or a part is unsent.
    """

    def __init__(self, *, transport: asyncio.Transport) -> None:
        self.is_paused = False
        self._transport = transport
        self._unsent = NOTHING
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)

    @property
    def has_unsent(self) -> bool:
        """Return whether the transport was not given all of the request."""
        return bool(self._unsent)

    def write(self, request: bytes, body: bytes) -> None:
        """Write a request with its body."""
        if len(body) <= WRITE_PART_BYTES:
            self._transport.write(request + body)
            return
        self._transport.write(request)
        self._unsent = memoryview(body)
        self._write_parts()

    def pause(self) -> None:
        """Write nothing more until `resume`."""
        self.is_paused = True

    def resume(self) -> None:
        """Write more, as the write buffer has drained."""
        self.is_paused = False
        self._write_parts()

    def drop(self) -> None:
        """Drop what is unsent."""
        self._unsent = NOTHING

    def _write_parts(self) -> None:
        while self._unsent and not self.is_paused:
            part, rest = self._unsent[:WRITE_PART_BYTES], self._unsent[WRITE_PART_BYTES:]
            # An empty part of the body would still keep all of it.
            self._unsent = rest or NOTHING
            self._transport.write(part)
