"""A target whose bytes on the wire are scripted, exchange by exchange."""

import asyncio
from dataclasses import dataclass, field

from .wire import TargetStandin

STREAM_TYPE = (b"Content-Type", b"text/event-stream")
LAST_CHUNK = b"0\r\n\r\n"
REPORT = b'{"stage": "prefill_decode", "pace": 1.0, "tickets": []}'


class Identified:
    """What the `headers` of a request to a target state."""

    @property
    def request_id(self):
        return self.headers.get("attempt-id", "")

    @property
    def resumes_after(self):
        """Return the number of the event after which a stream goes on."""
        return int(self.headers.get("last-event-id", 0))


@dataclass
class Exchange(Identified):
    """One request, order or report that reached a scripted target.

    Attributes:
        kind: "request", "order" or "report".
        path: The path of the request.
        headers: Its headers by lower-case name.
        body: Its body.
        number: Its number on its connection, from 1.
        history: The answers sent on its connection before, oldest first, as lists of parts.
    """

    kind: str
    path: str
    headers: dict
    body: bytes
    number: int
    history: list = field(default_factory=list)


def frame(status, headers=(), body=b"", *, is_chunked=False):
    """Return an answer with a length, or in one chunk."""
    lines = [b"HTTP/1.1 %03d Status" % status, *(b"%s: %s" % pair for pair in headers)]
    if is_chunked:
        lines.append(b"Transfer-Encoding: chunked")
        chunk = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
        return b"\r\n".join(lines) + b"\r\n\r\n" + chunk + b"0\r\n\r\n"
    lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def identify(exchange):
    """Return the headers by which a target's answer names its request and is signed."""
    return ((b"Attempt-Id", exchange.request_id.encode()), (b"Server-Seal", b"s"))


# What identifies the answer to another request, and such an answer.
OTHER_IDS = ((b"Attempt-Id", b"other"), (b"Server-Seal", b"o"))
OTHER_ANSWER = frame(200, OTHER_IDS, b"of another")


def stream_events(first, last):
    """Return the events of a stream from the first to the last number."""
    return b"".join(b"id: %d\ndata: %d\n\n" % (number, number) for number in range(first, last + 1))


def stream_head(exchange, headers=(STREAM_TYPE,)):
    """Return the head of a chunked answer of a sound target."""
    whole = frame(200, (*identify(exchange), *headers), is_chunked=True)
    return whole[: -len(LAST_CHUNK)]


def chunk(data):
    """Return data as one chunk."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def sound_answer(exchange, *, events=5):
    """Return the whole answer of a sound target to an exchange."""
    if exchange.kind == "report":
        return frame(200, body=REPORT)
    if exchange.kind == "order":
        return frame(200, body=b'{"free": 100000}')
    if "token-counts" in exchange.headers:
        body = stream_events(exchange.resumes_after + 1, events)
        headers = (*identify(exchange), (b"Content-Type", b"text/event-stream"))
        return frame(200, headers, body, is_chunked=True)
    return frame(200, identify(exchange), b"answer to " + exchange.request_id.encode())


class ScriptedConnection(asyncio.Protocol):
    def __init__(self, target):
        self._target = target
        self._data = b""
        self._history = []
        self._count = 0
        self._task = None

    def connection_made(self, transport):
        self._transport = transport

    def data_received(self, data):
        self._data += data
        while (exchange := self._parse()) is not None:
            self._count += 1
            exchange.number = self._count
            exchange.history = list(self._history)
            self._target.exchanges.append(exchange)
            answer = self._target.answer(exchange)
            self._history.append(answer)
            self._start(answer)

    def connection_lost(self, exc):
        if self._task is not None:
            self._task.cancel()

    def _parse(self):
        head, separator, body = self._data.partition(b"\r\n\r\n")
        lines = head.split(b"\r\n")
        pairs = (line.partition(b": ") for line in lines[1:])
        headers = {name.lower().decode(): value.decode() for name, _, value in pairs}
        size = int(headers.get("content-length", 0))
        if not separator or len(body) < size:
            return None
        self._data = body[size:]
        path = lines[0].split(b" ")[1].decode()
        kind = {"/report": "report", "/order": "order"}.get(path, "request")
        return Exchange(kind, path, headers, body[:size], 0)

    def _start(self, parts):
        self._task = asyncio.ensure_future(self._send(parts, self._task))

    def _reset(self):
        self._transport.abort()

    async def _send(self, parts, earlier):
        if earlier is not None:
            await asyncio.wait([earlier])
        for part in parts:
            if isinstance(part, bytes):
                self._transport.write(part)
            elif part == "close":
                self._transport.close()
            elif part == "reset":
                self._reset()
            else:
                await asyncio.sleep(part)


class ScriptedTarget(TargetStandin):
    """A target that sends what its script returns.

    Attributes:
        exchanges: All that reached it.
        answer: Called with each `Exchange`; returns the parts of the answer: bytes to send,
            seconds to wait, "close" or "reset".
    """

    def __init__(self, instance_id, **options):
        super().__init__(instance_id, **options)
        self.exchanges = []
        self.answer = lambda exchange: [sound_answer(exchange)]

    async def start(self, host, port=80):
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(lambda: ScriptedConnection(self), host, port)
        self.address = f"{host}:{port}"

    def stop(self):
        self._listener.close()

    @property
    def requests(self):
        """Return the requests of callers that reached it."""
        return [exchange for exchange in self.exchanges if exchange.kind == "request"]
