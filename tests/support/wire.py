"""Stand-ins for the users' platform: its store, and targets that use its HTTP protocol."""

import asyncio
import base64
import json
from collections import defaultdict
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

from cicadatiller.ingress import IngressServer, Response

MAX_WAIT_S = 30.0
# The platform's limit of entries in the `Helpers` header.
MAX_LISTED_ENGINES = 16


class StoreStandin:
    """A stand-in for the platform's store, with its keyed topics.

    Attributes:
        era: The number in the `Store-Era` header of all responses; None to send no such header.
        fault_for_call: If set, called with the path of each call. It returns a status to respond
            with, "hang" to leave the call without a response, "lose" to carry it out and close the
            connection without a response, or None to serve it.
        delay_for_call: If set, called with the path of each call. It returns the seconds by which
            the finished response is sent later.
        calls: The paths of all calls.
    """

    def __init__(self):
        self.era = 1
        self.fault_for_call = None
        self.delay_for_call = None
        self.calls = []
        self._records = defaultdict(list)
        self._first = defaultdict(int)
        self._changed = asyncio.Event()
        self._server = IngressServer(handler=self._handle)

    async def start(self, host, port):
        await self._server.start(host, port)

    def stop(self):
        self._server.close()

    def write(self, topic, key, value):
        """Append a record; None removes the key, and a value that is not bytes is sent as JSON."""
        if value is not None and not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self._records[topic].append((key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    def drop_history(self, topic):
        """Drop all records except the newest of each key."""
        self._first[topic] = len(self._records[topic])

    def copy(self):
        """Return a copy of all records, for `restore`."""
        return {topic: list(records) for topic, records in self._records.items()}

    def restore(self, copy):
        """Come back from an earlier copy: later records are gone, and their offsets are free."""
        self._records = defaultdict(list, {topic: list(rows) for topic, rows in copy.items()})
        if self.era is not None:
            self.era += 1
        self._changed.set()
        self._changed = asyncio.Event()

    def newest(self, topic):
        newest_by_key = {}
        for offset, (key, value) in enumerate(self._records[topic]):
            newest_by_key.pop(key, None)
            if value is not None:
                newest_by_key[key] = (offset, value)
        return newest_by_key

    async def _handle(self, request, responder):
        parts = urlsplit(request.target.decode())
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        self.calls.append(parts.path)
        fault = self.fault_for_call(parts.path) if self.fault_for_call else None
        if fault == "hang":
            await asyncio.sleep(3600)
        if fault not in (None, "lose"):
            await self._respond(responder, fault, b"", self.era)
            return
        handlers = {
            "/log-read": self._read,
            "/log-newest": self._newest,
            "/log-append": self._append,
        }
        status, body = await handlers[parts.path](query, request.body)
        if fault == "lose":
            responder.abort()
            return
        era = self.era
        if self.delay_for_call:
            await asyncio.sleep(self.delay_for_call(parts.path))
        await self._respond(responder, status, body, era)

    async def _respond(self, responder, status, body, era):
        headers = () if era is None else ((b"Store-Era", b"%d" % era),)
        await responder.answer(Response(status=status, headers=headers, body=body))

    def _lacks(self, topic, start):
        return not self._first[topic] <= start <= len(self._records[topic])

    async def _read(self, query, _):
        topic, start = query["topic"], int(query["from"])
        wait_s = min(MAX_WAIT_S, int(query.get("wait_ms", 0)) / 1000)
        deadline_s = asyncio.get_running_loop().time() + wait_s
        while len(self._records[topic]) == start:
            remaining_s = deadline_s - asyncio.get_running_loop().time()
            if remaining_s <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), remaining_s)
            except TimeoutError:
                break
        if self._lacks(topic, start):
            return 410, json.dumps({"first": self._first[topic]}).encode()
        records = self._records[topic][start:]
        body = len(self._records[topic]).to_bytes(8, "big") + self._first[topic].to_bytes(8, "big")
        for key, value in records:
            name = key.encode()
            content = bytes([len(name)]) + name + (value or b"")
            body += len(content).to_bytes(4, "big") + content
        return 200, body

    async def _newest(self, query, _):
        topic = query["topic"]
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in sorted(self.newest(topic).items())
            if key > query.get("after", "")
        ]
        page = {"items": items, "has_more": False, "end": len(self._records[topic])}
        return 200, json.dumps(page).encode()

    async def _append(self, query, body):
        end = 5 + body[4]
        offset = len(self._records[query["topic"]])
        self.write(query["topic"], body[5:end].decode(), body[end:] or None)
        return 200, json.dumps({"offset": offset, "end": offset + 1}).encode()


@dataclass
class Run:
    """A request that a target ran.

    Attributes:
        began_s: The loop time at which the target started the request.
        cancelled: Whether the caller closed the connection before the request ended.
        events: The numbers of the events that were sent.
    """

    request_id: str
    headers: dict
    body: bytes
    target: str
    began_s: float
    cancelled: bool = False
    events: list = field(default_factory=list)


def shared_parts(headers):
    """Return the ids of a prompt's parts but the last."""
    parts = headers.get("prompt-prefix", "").split(",")
    return [part.partition(":")[0] for part in parts[:-1]]


class TargetStandin:
    """A target that serves calls and streams.

    Attributes:
        runs: The requests that it ran.
        orders: The orders that it received, as (operation, id).
        order_handler: Called with each order; returns the status to respond with, or "hang".
        is_leaving: Whether all responses state that it leaves.
        retry_after: The Retry-After value of its responses with status 503; None for no header.
        limit: The Server-Limit value of all its responses; None for no header.
        cold_ms: The Cold-Ms value of all its responses; None for no header.
        bodies: The bodies of its answers to calls by path; others name the request.
        is_ticket_used: Called with the name of a reservation; returns whether a request uses it.
        report_status: The status of its reports.
        received: The requests of all kinds that reached it, as (loop time, path).
        crashing_parts: The ids of the parts of prompts under which it crashes as it begins to write
            an answer; the last part of a prompt never counts.
        crashing_paths: The paths, without queries, of requests under which it crashes once it has
            worked on them.
        crash_after_events: The number of events of a stream after which it crashes.
        on_crash: Called with the target and the headers of the request once it has crashed.
        script: If set, called with the headers and the number of each request. It returns what
            happens to the request: a status of 400 or more (refused as not run), "blame ADDRESS"
            (refused because of that helper), "unsure" (status 503 without a statement that it did
            not run), "hang", "reset", "lose" (run, then reset), "error" (run, then status 500),
            "missing" (run, then status 404), the number of events after which the stream is
            aborted, or None to serve it. May be a coroutine function.
    """

    def __init__(self, instance_id, *, zone="north-a", service="pool", work_s=0.02, events=5):
        self.instance_id = instance_id
        self.zone = zone
        self.service = service
        self.work_s = work_s
        self.events = events
        self.gap_s = 0.05
        self.pace = 1.0
        self.reports = 0
        self.state = "ready"
        self.runs = []
        self.refused = 0
        self.orders = []
        self.tickets = {}
        self.order_handler = lambda order: 200
        self.is_leaving = False
        self.retry_after = None
        self.limit = None
        self.cold_ms = None
        self.bodies = {}
        self.is_ticket_used = lambda name: False
        self.report_status = 200
        self.received = []
        self.crashing_parts = frozenset()
        self.crashing_paths = frozenset()
        self.crash_after_events = 0
        self.on_crash = lambda target, headers: None
        self.script = None
        self.request_count = 0
        self.address = ""
        self._is_speaking = asyncio.Event()
        self._is_speaking.set()
        self._server = IngressServer(handler=self._handle)

    async def start(self, host, port=80):
        await self._server.start(host, port)
        self.address = f"{host}:{port}"

    def stop(self):
        self._server.close()

    async def fall_silent(self, duration_s):
        """Send nothing for a time, then go on with all that was under way."""
        self._is_speaking.clear()
        await asyncio.sleep(duration_s)
        self._is_speaking.set()

    def entry(self, **changes):
        """Return the target's registration."""
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": 1_700_000_000_000,
        }
        return entry | changes

    async def _handle(self, request, responder):
        headers = {name.lower().decode(): value.decode() for name, value in request.headers}
        path = request.target.decode()
        self.received.append((asyncio.get_running_loop().time(), path))
        await self._is_speaking.wait()
        if request.target == b"/report":
            self.reports += 1
            body = json.dumps({"pace": self.pace, "tickets": self._list_tickets()}).encode()
            headers = self._statements(self.report_status)
            response = Response(status=self.report_status, headers=headers, body=body)
            await responder.answer(response)
            return
        if request.target == b"/order":
            await self._handle_order(json.loads(request.body), responder)
            return
        if headers.get("expect-instance", self.instance_id) != self.instance_id:
            await self._refuse(headers, 421, responder)
            return
        if len(headers.get("helpers", "").split(",")) > MAX_LISTED_ENGINES:
            await self._refuse(headers, 400, responder)
            return
        step = await self._next_step(headers)
        if step == "hang":
            await asyncio.sleep(3600)
        elif step == "reset":
            responder.abort()
        elif isinstance(step, int) and step >= 400:
            await self._refuse(headers, step, responder)
        elif step == "unsure":
            names = ((b"Attempt-Id", headers["attempt-id"].encode()),)
            await responder.answer(Response(status=503, headers=(*names, *self._statements(503))))
        elif isinstance(step, str) and step.startswith("blame "):
            await self._refuse(headers, 503, responder, blamed=step[6:])
        else:
            await self._run(request, headers, step, responder)

    def _list_tickets(self):
        return [
            {
                "id": name,
                "tokens": size,
                "state": "used" if self.is_ticket_used(name) else "held",
            }
            for name, size in self.tickets.items()
        ]

    async def _next_step(self, headers):
        """Count a request and return what its script does."""
        self.request_count += 1
        step = self.script(headers, self.request_count) if self.script else None
        return await step if asyncio.iscoroutine(step) else step

    def _statements(self, status):
        """Return the headers in which the target speaks of itself."""
        headers = ((b"Server-Leaving", b"1"),) if self.is_leaving else ()
        if status == 503 and self.retry_after is not None:
            headers += ((b"Retry-After", self.retry_after),)
        limit = self.limit() if callable(self.limit) else self.limit
        if limit is not None:
            headers += ((b"Server-Limit", limit),)
        if self.cold_ms is not None:
            headers += ((b"Cold-Ms", self.cold_ms),)
        return headers

    async def _refuse(self, headers, status, responder, blamed=""):
        self.refused += 1
        response_headers = (
            (b"Attempt-Id", headers["attempt-id"].encode()),
            (b"Not-Executed", b"1"),
            *self._statements(status),
        )
        if blamed:
            response_headers += ((b"At-Server", blamed.encode()),)
        await responder.answer(Response(status=status, headers=response_headers))

    async def _run(self, request, headers, step, responder):
        run = Run(
            request_id=headers["attempt-id"],
            headers=headers,
            body=request.body,
            target=request.target.decode(),
            began_s=asyncio.get_running_loop().time(),
        )
        self.runs.append(run)
        try:
            await asyncio.sleep(self.work_s)
            await self._is_speaking.wait()
            is_crash = self._crashes_under(run)
            if is_crash and not self._events_before_crash(run):
                self._crash(run)
                return
            response_headers = (
                (b"Attempt-Id", headers["attempt-id"].encode()),
                (b"Server-Seal", self.instance_id.encode()),
                *self._statements(200),
            )
            if step == "lose":
                responder.abort()
            elif step in ("error", "missing"):
                status, body = (500, b"broken") if step == "error" else (404, b"missing")
                await responder.answer(Response(status=status, headers=response_headers, body=body))
            elif "token-counts" in headers:
                crash_after = self._events_before_crash(run) if is_crash else None
                await self._stream(run, headers, response_headers, step, crash_after, responder)
            else:
                body = self.bodies.get(run.target) or b"answer to " + run.request_id.encode()
                await responder.answer(Response(status=200, headers=response_headers, body=body))
        except asyncio.CancelledError:
            run.cancelled = True
            raise

    def _crashes_under(self, run):
        """Return whether a request crashes this target."""
        if self.crashing_parts.intersection(shared_parts(run.headers)):
            return True
        return run.target.partition("?")[0] in self.crashing_paths

    def _events_before_crash(self, run):
        """Return how many events of a stream it sends before a request crashes it."""
        return self.crash_after_events if "token-counts" in run.headers else 0

    def _crash(self, run):
        self.stop()
        self.on_crash(self, run.headers)

    async def _stream(self, run, headers, response_headers, break_after, crash_after, responder):
        start = int(headers.get("last-event-id", 0)) + 1
        await responder.start_stream(
            200, (*response_headers, (b"Content-Type", b"text/event-stream"))
        )
        for number in range(start, self.events + 1):
            if break_after is not None and number > break_after:
                await responder.send(b"id: %d\nda" % number)
                responder.abort()
                return
            if crash_after is not None and number >= start + crash_after:
                self._crash(run)
                return
            await self._is_speaking.wait()
            run.events.append(number)
            await responder.send(b"id: %d\ndata: %d\n\n" % (number, number))
            await asyncio.sleep(self.gap_s)
        await responder.finish()

    def apply_reservation_later(self, order, delay_s):
        """Apply a reservation after a delay."""
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self.tickets.__setitem__, order["id"], order["tokens"])

    async def _handle_order(self, order, responder):
        self.orders.append((order["operation"], order["id"]))
        status = self.order_handler(order)
        if status == "hang":
            await asyncio.sleep(3600)
        if status == 200 and order["operation"] == "reserve":
            self.tickets[order["id"]] = order["tokens"]
        elif status == 200:
            self.tickets.pop(order["id"], None)
        headers = self._statements(status)
        body = b'{"free": 1000}' if status == 200 else b"{}"
        await responder.answer(Response(status=status, headers=headers, body=body))
