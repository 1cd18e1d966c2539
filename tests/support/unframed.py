"""A target whose answers have neither a length nor chunks and end with its connection."""

import asyncio

from .wire import TargetStandin


class _Connection(asyncio.Protocol):
    def __init__(self, target):
        self._target = target
        self._data = b""

    def connection_made(self, transport):
        self._transport = transport

    def data_received(self, data):
        self._data += data
        head, separator, body = self._data.partition(b"\r\n\r\n")
        lines = head.split(b"\r\n")
        pairs = (line.partition(b": ") for line in lines[1:])
        headers = {name.lower().decode(): value.decode() for name, _, value in pairs}
        if not separator or len(body) < int(headers.get("content-length", 0)):
            return
        self._data = b""
        if lines[0].split(b" ")[1] == b"/report":
            self._transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
            return
        self._target.requests.append(headers)
        fields = (b"Attempt-Id: %s" % headers["attempt-id"].encode(), b"Server-Seal: s")
        parts, end = self._target.answer(headers, len(self._target.requests))
        head = b"\r\n".join((b"HTTP/1.1 200 OK", *fields))
        self._transport.write(head + b"\r\n\r\n" + b"".join(parts))
        if end == "crash":
            self._target.stop()
        asyncio.get_running_loop().call_later(
            0.01, self._transport.abort if end == "reset" else self._transport.close
        )


class UnframedTarget(TargetStandin):
    """A target that answers as told.

    Attributes:
        requests: The headers of the requests that it got.
        answer: Called with the headers and the number of each request; returns the parts of the
            body, and "close" or "reset", by which the connection ends, or "crash", after which the
            target accepts no connections.
    """

    def __init__(self, instance_id, **options):
        super().__init__(instance_id, **options)
        self.requests = []
        self.answer = lambda headers, number: ([b"answer"], "close")

    async def start(self, host, port=80):
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(lambda: _Connection(self), host, port)
        self.address = f"{host}:{port}"

    def stop(self):
        self._listener.close()


def events(first, last):
    """Return the events of a stream from the first to the last number."""
    return [b"id: %d\ndata: %d\n\n" % (number, number) for number in range(first, last + 1)]
