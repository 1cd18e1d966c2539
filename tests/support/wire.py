"""Stand-ins of the users' platform: its store, and targets that speak its wire."""

import asyncio
import base64
import json
from collections import defaultdict
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

from cicadatiller.ingress import Answer, IngressServer

MAX_WAIT_S = 30.0


class StoreStandin:
    """The keyed topics of the platform's store.

    Attributes:
        failing: If set, called with the path of each call; a status it returns is answered, and
            "hang" leaves the call without an answer.
        calls: The paths of all calls.
    """

    def __init__(self):
        self.failing = None
        self.calls = []
        self._records = defaultdict(list)
        self._first = defaultdict(int)
        self._changed = asyncio.Event()
        self._server = IngressServer(handler=self._handle)

    async def start(self, host, port):
        await self._server.start(host, port)

    def write(self, topic, key, value):
        """Append a record; a value that is not bytes is sent as JSON, None removes the key."""
        if value is not None and not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self._records[topic].append((key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    def drop_history(self, topic):
        """Forget all records but the newest of each key."""
        self._first[topic] = len(self._records[topic])

    def newest(self, topic):
        found = {}
        for offset, (key, value) in enumerate(self._records[topic]):
            found.pop(key, None)
            if value is not None:
                found[key] = (offset, value)
        return found

    async def _handle(self, request, responder):
        parts = urlsplit(request.target.decode())
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        self.calls.append(parts.path)
        trouble = self.failing(parts.path) if self.failing else None
        if trouble == "hang":
            await asyncio.sleep(3600)
        if trouble is not None:
            await responder.answer(Answer(status=trouble))
            return
        answers = {
            "/log-read": self._read,
            "/log-newest": self._newest,
            "/log-append": self._append,
        }
        status, body = await answers[parts.path](query, request.body)
        await responder.answer(Answer(status=status, body=body))

    async def _read(self, query, _):
        topic, start = query["topic"], int(query["from"])
        if start < self._first[topic]:
            return 410, json.dumps({"first": self._first[topic]}).encode()
        wait_s = min(MAX_WAIT_S, int(query.get("wait_ms", 0)) / 1000)
        until_s = asyncio.get_running_loop().time() + wait_s
        while len(self._records[topic]) <= start:
            rest_s = until_s - asyncio.get_running_loop().time()
            if rest_s <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), rest_s)
            except TimeoutError:
                break
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
        self.write(query["topic"], body[5:end].decode(), body[end:] or None)
        return 200, b"{}"


@dataclass
class Run:
    """One request that a target ran."""

    request_id: str
    headers: dict
    body: bytes
    target: str
    began_s: float
    cut: bool = False
    events: list = field(default_factory=list)


class TargetStandin:
    """A target that answers calls and streams.

    Attributes:
        runs: What it ran.
        orders: The orders that it took, as (operation, id).
        script: If set, called with the request and its number; returns what to do in its place:
            a status (answered with a mark that it was not run), "blame ADDRESS" (refused because of that
            helper), "hang", "reset", "lose" (run,
            then reset), "error" (run, then status 500), a number of events after which the stream
            breaks off, or None for the usual answer.
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
        self.answer_orders = lambda order: 200
        self.script = None
        self.seen = 0
        self.address = ""
        self._server = IngressServer(handler=self._handle)

    async def start(self, host, port=80):
        await self._server.start(host, port)
        self.address = f"{host}:{port}"

    def stop(self):
        self._server.close()

    def entry(self, **changes):
        """Return what it registers."""
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
        if request.target == b"/report":
            self.reports += 1
            tickets = [{"id": name, "tokens": size} for name, size in self.tickets.items()]
            body = json.dumps({"pace": self.pace, "tickets": tickets}).encode()
            await responder.answer(Answer(status=200, body=body))
            return
        if request.target == b"/order":
            await self._take_order(json.loads(request.body), responder)
            return
        if headers.get("expect-instance", self.instance_id) != self.instance_id:
            await self._refuse(headers, 421, responder)
            return
        self.seen += 1
        step = self.script(headers, self.seen) if self.script else None
        if step == "hang":
            await asyncio.sleep(3600)
        elif step == "reset":
            responder.abort()
        elif isinstance(step, int) and step >= 400:
            await self._refuse(headers, step, responder)
        elif isinstance(step, str) and step.startswith("blame "):
            await self._refuse(headers, 503, responder, blamed=step[6:])
        else:
            await self._run(request, headers, step, responder)

    async def _refuse(self, headers, status, responder, blamed=""):
        self.refused += 1
        marks = ((b"Attempt-Id", headers["attempt-id"].encode()), (b"Not-Executed", b"1"))
        if blamed:
            marks += ((b"At-Server", blamed.encode()),)
        await responder.answer(Answer(status=status, headers=marks))

    async def _run(self, request, headers, step, responder):
        run = Run(
            request_id=headers["attempt-id"],
            headers=headers,
            body=request.body,
            target=request.target.decode(),
            began_s=asyncio.get_running_loop().time(),
        )
        self.runs.append(run)
        marks = (
            (b"Attempt-Id", headers["attempt-id"].encode()),
            (b"Server-Seal", self.instance_id.encode()),
        )
        try:
            await asyncio.sleep(self.work_s)
            if step == "lose":
                responder.abort()
            elif step == "error":
                await responder.answer(Answer(status=500, headers=marks, body=b"broken"))
            elif "token-counts" in headers:
                await self._stream(run, headers, marks, step, responder)
            else:
                body = b"answer to " + headers["attempt-id"].encode()
                await responder.answer(Answer(status=200, headers=marks, body=body))
        except asyncio.CancelledError:
            run.cut = True
            raise

    async def _stream(self, run, headers, marks, breaks_after, responder):
        start = int(headers.get("last-event-id", 0)) + 1
        await responder.start_stream(200, (*marks, (b"Content-Type", b"text/event-stream")))
        for number in range(start, self.events + 1):
            if breaks_after is not None and number > breaks_after:
                await responder.send(b"id: %d\nda" % number)
                responder.abort()
                return
            run.events.append(number)
            await responder.send(b"id: %d\ndata: %d\n\n" % (number, number))
            await asyncio.sleep(self.gap_s)
        await responder.finish()

    def tickets_later(self, order, delay_s):
        """Carry a reservation out after a delay."""
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self.tickets.__setitem__, order["id"], order["tokens"])

    async def _take_order(self, order, responder):
        self.orders.append((order["operation"], order["id"]))
        status = self.answer_orders(order)
        if status == "hang":
            await asyncio.sleep(3600)
        if status == 200 and order["operation"] == "reserve":
            self.tickets[order["id"]] = order["tokens"]
        elif status == 200:
            self.tickets.pop(order["id"], None)
        await responder.answer(Answer(status=status, body=b"{}"))
