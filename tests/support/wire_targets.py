"""Targets whose answers on the wire depart from the protocol as a schedule says."""

import asyncio
import itertools
import json
import re
from dataclasses import dataclass, field

from .scripted_targets import Identified, frame
from .wire import TargetStandin
from .wire_schedules import ELSEWHERE, LAST_EVENT, NOISE, REFUSALS, RUNS, Answer

# How long a target that answers early leaves the rest of a body unread.
UNREAD_S = 0.1
# From the end of what a target sends until it resets the connection, if it closes one side first.
HALF_CLOSED_S = 0.05
REPORT_SERIAL_UNIT = 1e-6
GARBAGE = b"\x16\x03\x01\x00 this is no response\r\n\r\n"
# The head of a response up to a header that only targets' responses have.
OTHER_HEAD = re.compile(
    rb"HTTP/1\.1 \d+ [^\r\n]*\r\n(?:[^\r\n]+\r\n)*?(?i:attempt-id|server-seal):"
)
NOISES = {
    "unmatched answer": frame(200, ((b"Server-Seal", b"noise"),), b"noise"),
    "unmatched 404": frame(404, (), b"noise"),
    "unmatched 421": frame(421),
    "unmatched refusal": frame(503, ((b"Not-Executed", b"1"),)),
    "garbage": GARBAGE,
}
assert set(NOISES) == set(NOISE)


@dataclass
class Exchange(Identified):
    """One request, order or report that reached a target, and how it was answered.

    Attributes:
        serial: Its number among all exchanges of all targets, from 1.
        target: The target's id.
        connection: The number of its connection.
        number: Its number on its connection, from 1.
        kind: "request", "order" or "report".
        headers: The headers by lower-case name.
        body: The body; None while it is not read whole.
        began_s: The loop time at which it arrived.
        answer: How it is answered.
        ran: Whether the target began to run it, or holds the reservation that it asks for.
        response: The bytes of the response without interim ones, uncut.
        response_body: The body of the response as far as it is sent.
        is_whole: Whether all that it promises is sent.
        reads: What is sent of a response that is filled up, by reads.
        name: What it belongs to, on the own interface.
    """

    serial: int
    target: str
    connection: int
    number: int
    kind: str
    method: str
    path: str
    headers: dict
    began_s: float
    body: bytes | None = None
    answer: Answer = field(default_factory=Answer)
    ran: bool = False
    status: int = 0
    response: bytes = b""
    response_body: bytes = b""
    is_whole: bool = False
    reads: tuple[bytes, ...] = ()
    name: str = ""

    @property
    def is_stream(self):
        return "token-counts" in self.headers

    @property
    def signature(self):
        return f"s{self.serial}"

    @property
    def is_matched(self):
        """Return whether the response bears the id, and as a success the signature."""
        return self.answer.bears == "own" and (self.status >= 300 or self.answer.is_signed)


def event(request_id, number):
    """Return one event of a stream; each is told from those of other requests by its data."""
    return b"id: %d\ndata: %s/%d\n\n" % (number, request_id.encode(), number)


def _stream_body(exchange):
    form, name, first = exchange.answer.stream, exchange.request_id, exchange.resumes_after + 1
    numbers = range(first, LAST_EVENT + 1)
    events = [event(name, number) for number in numbers]
    # An end before the last event would be no gap.
    skipped = 1 if len(events) > 2 else 0
    bodies = {
        "sound": lambda: events,
        "other type": lambda: events,
        "comment": lambda: [b": wait\n\n", *events],
        "only a comment": lambda: [b": wait\n\n"],
        "unnumbered": lambda: [e.partition(b"\n")[2] for e in events],
        "unnumbered end": lambda: [*events[:2], b"data: error\n\n"],
        "text": lambda: [b"error: out of memory\n\n"],
        "error event": lambda: [b"data: error\n\n"],
        "empty": list,
        "gap": lambda: events[:skipped] + events[skipped + 1 :],
        "overlap": lambda: [event(name, number) for number in range(1, LAST_EVENT + 1)],
    }
    return b"".join(bodies[form]())


class WireTarget(TargetStandin):
    """A target that answers as it is told.

    Args:
        instance_id: Its id.
        plan: Called with each `Exchange`; returns its `Answer`.
        record: The list to which each exchange of all targets is appended.
    """

    def __init__(self, instance_id, *, plan, record, **options):
        super().__init__(instance_id, **options)
        self.plan = plan
        self.record = record
        self.held = set()
        self._connections = itertools.count(1)

    async def start(self, host, port=80):
        loop = asyncio.get_running_loop()
        factory = lambda: WireConnection(self, next(self._connections))  # noqa: E731
        self._listener = await loop.create_server(factory, host, port)
        self.address = f"{host}:{port}"

    def stop(self):
        self._listener.close()

    def decide(self, exchange):
        """Run an exchange or refuse it, and build its response."""
        if exchange.kind != "request":
            exchange.answer = self.plan(exchange)
        builders = {"order": self._decide_order, "report": self._decide_report}
        builders.get(exchange.kind, self._decide_request)(exchange)

    def _decide_order(self, exchange):
        order = json.loads(exchange.body)
        form = exchange.answer.form
        exchange.status = 200 if form == "sound" else {"error": 500, "late": 504}.get(form, 409)
        exchange.ran = exchange.status == 200
        if exchange.ran and order["operation"] == "reserve":
            self.held.add(order["id"])
        self._frame(exchange, b'{"free": 1000}')

    def _decide_report(self, exchange):
        form = exchange.answer.form
        exchange.status = 200 if form == "sound" else 503
        exchange.ran = True
        tickets = [{"id": name, "tokens": 10, "state": "held"} for name in sorted(self.held)]
        pace = 1.0 + exchange.serial * REPORT_SERIAL_UNIT
        self._frame(exchange, json.dumps({"pace": pace, "tickets": tickets}).encode())

    def _decide_request(self, exchange):
        form = exchange.answer.form
        exchange.ran = form in RUNS
        exchange.status = RUNS[form] if exchange.ran else REFUSALS[form]
        if form == "garbage":
            exchange.response = GARBAGE
            return
        headers = (
            [(b"Server-Seal", exchange.signature.encode())] if exchange.answer.is_signed else []
        )
        if not exchange.ran and form != "mistake":
            headers.append((b"Not-Executed", b"1"))
        if form == "blame":
            headers.append((b"At-Server", b"10.0.2.99:80"))
        if exchange.is_stream and form == "sound":
            is_other = exchange.answer.stream == "other type"
            headers.append((b"Content-Type", b"text/plain" if is_other else b"text/event-stream"))
            self._frame(exchange, _stream_body(exchange), headers)
            return
        word = b"answer" if form == "sound" else b"failure"
        body = b"%s %d to %s" % (word, exchange.serial, exchange.request_id.encode())
        body += b"." * exchange.answer.padding_bytes
        self._frame(exchange, body, headers)

    def _frame(self, exchange, body, headers=()):
        frame_response(exchange, body, [*_id_headers(exchange), *headers])


def frame_response(exchange, body, headers):
    """Store the response to an exchange, framed as its answer says."""
    exchange.response_body = body
    framing = exchange.answer.framing
    if framing == "usual":
        framing = "chunked" if exchange.is_stream and exchange.status == 200 else "length"
    if framing == "none":
        lines = [b"HTTP/1.1 %03d Status" % exchange.status]
        lines.extend(b"%s: %s" % pair for pair in headers)
        data = b"\r\n".join(lines) + b"\r\n\r\n" + body
    else:
        data = frame(exchange.status, headers, body, is_chunked=framing == "chunked")
    if exchange.method == "HEAD":
        data = data.partition(b"\r\n\r\n")[0] + b"\r\n\r\n"
        exchange.response_body = b""
    exchange.response = data


def _id_headers(exchange):
    if exchange.answer.bears == "other":
        return [(b"Attempt-Id", b"another")]
    if exchange.answer.bears == "none" or exchange.kind != "request":
        return []
    return [(b"Attempt-Id", exchange.request_id.encode())]


class WireConnection(asyncio.Protocol):
    def __init__(self, target, number):
        self._target = target
        self._number = number
        self._data = b""
        # The exchange whose body is not read whole.
        self._unread = None
        self._history = []
        self._task = None
        self._transport = None

    def connection_made(self, transport):
        self._transport = transport

    def connection_lost(self, exc):
        if self._task is not None:
            self._task.cancel()

    def data_received(self, data):
        self._data += data
        while self._read_exchange():
            pass

    def _read_exchange(self):
        """Read and answer the next exchange; return whether it is read whole."""
        exchange = self._unread or self._parse_head()
        if exchange is None:
            return False
        size = int(exchange.headers.get("content-length", 0))
        is_read = len(self._data) >= size
        if is_read:
            exchange.body, self._data = self._data[:size], self._data[size:]
        self._unread = None if is_read else exchange
        if not exchange.serial and (is_read or exchange.answer.is_early):
            self._start(exchange)
            if not is_read:
                self._transport.pause_reading()
                asyncio.get_running_loop().call_later(UNREAD_S, self._transport.resume_reading)
        return is_read

    def _parse_head(self):
        head, separator, rest = self._data.partition(b"\r\n\r\n")
        if not separator:
            return None
        lines = head.split(b"\r\n")
        pairs = (line.partition(b": ") for line in lines[1:])
        headers = {name.lower().decode(): value.decode() for name, _, value in pairs}
        method, path = lines[0].decode().split(" ")[:2]
        self._data = rest
        exchange = Exchange(
            serial=0,
            target=self._target.instance_id,
            connection=self._number,
            number=len(self._history) + 1,
            kind={"/report": "report", "/order": "order"}.get(path, "request"),
            method=method,
            path=path,
            headers=headers,
            began_s=asyncio.get_running_loop().time(),
        )
        if exchange.kind == "request":
            exchange.answer = self._target.plan(exchange)
        return exchange

    def _start(self, exchange):
        target = self._target
        exchange.serial = len(target.record) + 1
        target.record.append(exchange)
        target.decide(exchange)
        parts = self._parts(exchange)
        self._history.append(exchange)
        self._task = asyncio.ensure_future(self._send(parts, exchange, self._task))

    def _parts(self, exchange):
        return list(response_parts(exchange, self._history, self._target.record))

    def _reset(self):
        self._transport.abort()

    async def _send(self, parts, exchange, earlier):
        if earlier is not None:
            await asyncio.wait([earlier])
        for part in parts:
            if isinstance(part, bytes):
                self._transport.write(part)
            elif part == "whole":
                exchange.is_whole = True
            elif part == "close":
                self._transport.close()
            elif part == "half-close":
                # What the entry sends on may still come, else it is told by the reset.
                exchange.is_whole |= _ends_with_connection(exchange) and exchange.body is not None
                self._transport.write_eof()
                await asyncio.sleep(HALF_CLOSED_S)
                self._reset()
            elif part == "reset":
                self._reset()
            elif part:
                await asyncio.sleep(part)


def response_parts(exchange, history, record):
    """Yield the parts of an answer: bytes, seconds to wait, "whole", "close" or "reset"."""
    answer = exchange.answer
    yield answer.wait_s
    if answer.before is not None and history:
        yield _surplus_bytes(answer.before, exchange, history, record)
        yield answer.before.delay_s
    yield b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" * answer.interims
    data = exchange.response
    end = len(data) if answer.cut is None else cut_at(answer.cut, len(data))
    has_no_length = _ends_with_connection(exchange)
    ending = ("close" if has_no_length else "") if answer.cut is None else answer.cut.by
    if answer.cut is not None and answer.cut.filler is not None and end < len(data):
        yield from _filled_parts(exchange, data[:end], history, record)
        yield "" if ending == "silence" else ending
        return
    start = 0
    for split in (*(at for at in answer.splits if at < end), end):
        yield data[start:split]
        yield 0.002 if split < end else 0.0
        start = split
    head_bytes = len(data) - len(exchange.response_body)
    if has_no_length and ending in ("close", "half-close") and end >= head_bytes:
        # By the protocol, the end of the connection ends the body.
        exchange.response_body = data[head_bytes:end]
        if ending == "close":
            yield "whole"
    elif end == len(data) and not has_no_length:
        yield "whole"
    if ending:
        yield "" if ending == "silence" else ending
        return
    if answer.after is not None:
        yield answer.after.delay_s
        yield _surplus_bytes(answer.after, exchange, [*history, exchange], record)


def _ends_with_connection(exchange):
    return exchange.answer.framing == "none" and exchange.method != "HEAD"


def _filled_parts(exchange, begin, history, record):
    """Yield the parts of a response that is cut and filled up, and record its reads."""
    filler = exchange.answer.cut.filler
    surplus = _surplus_bytes(filler, exchange, [*history, exchange], record)
    if exchange.is_stream and OTHER_HEAD.search(surplus) is None:
        # Nothing tells that an event is filled up by it.
        surplus = b""
    data = begin + surplus
    splits = {*exchange.answer.splits, *(len(begin) + at for at in filler.splits)}
    if filler.delay_s:
        splits.add(len(begin))
    ends = sorted(at for at in splits if 0 < at < len(data))
    exchange.reads = tuple(data[a:b] for a, b in itertools.pairwise([0, *ends, len(data)]))
    sent_bytes = 0
    for read in exchange.reads:
        if sent_bytes:
            yield filler.delay_s if sent_bytes == len(begin) else 0.002
        yield read
        sent_bytes += len(read)
    if exchange.response in data:
        # What fills it up is the response itself, and may be taken for it.
        yield "whole"


def cut_at(cut, size_bytes):
    return min(cut.at_byte, size_bytes) if cut.at_byte >= 0 else max(0, size_bytes + cut.at_byte)


def _surplus_bytes(surplus, exchange, history, record):
    if surplus.source in NOISES:
        return NOISES[surplus.source]
    if surplus.source == ELSEWHERE:
        others = [
            other.response
            for other in record
            if other.kind == "request"
            and other.target == exchange.target
            and other.request_id != exchange.request_id
            and other.answer.bears == "own"
            # Without an end of its own it would take in what follows.
            and other.answer.framing != "none" and other.method != "HEAD"
        ]
        return others[-1] if others else b""
    return history[-1 - min(surplus.source, len(history) - 1)].response
