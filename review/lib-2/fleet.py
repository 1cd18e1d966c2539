"""A small fleet before one entry: sound workers of two services, and their registrations."""

import asyncio
import itertools
import random
import time
from pathlib import Path

from standins import Server, free_port, read_message, render

ZONES = ("heredia-hall", "cartago-hall", "alajuela-hall")
APP = "dispatch-app"
MODEL = "cicada-llm"
HOST = "depot.example"
KEY = "k3y0fthetenant"
ORDER_WORK_S = 0.0225
STREAM_EVENTS = 32
# "A step takes 1.02 ms and more", and an event holds 43 tokens.
EVENT_GAP_S = 0.05
# A client waits for an order for so long, however long its route wants it kept waiting.
ORDER_WAIT_S = 4.0
TARGET_LATENCY_S = 1.5
GAP_TARGET_S = 0.6
# "Clients abandon a stream, also before its first event, after a gap of two seconds, four times the
# objective or eight times that pause, whichever is longest."
PATIENCE_S = max(2.0, 4 * TARGET_LATENCY_S, 8 * GAP_TARGET_S)


def configuration(*, order_timeout_ms):
    engine = {
        "slots": 8,
        "kv_capacity_tokens": 232000,
        "stride": 43,
        "step_ms": 1.02,
        "per_seq_ms": 0.00452,
        "context_per_k": 0.00431,
        "read_per_s": 206000.0,
        "pairs_per_m": 0.138,
        "chunk": 2048,
        "report_lag_ms": 200.0,
        "usual": {"prompt": 5000, "answer": 1303},
        "hop_ms": 0.075,
    }
    stream = {
        "name": "season-review",
        "hostname": HOST,
        "path_prefix": "/reviews/",
        "kind": "stream",
        "service": MODEL,
        "timeout_ms": 10000,
        "target_latency_ms": int(TARGET_LATENCY_S * 1000),
        "gap_target_ms": int(GAP_TARGET_S * 1000),
        "priority": 1,
        "max_attempts": 2,
        "stream_resume": True,
        "session_affinity": True,
    }
    order = {
        "name": "order-confirm",
        "hostname": HOST,
        "path_prefix": "/orders/",
        "kind": "unsafe",
        "service": APP,
        "timeout_ms": order_timeout_ms,
        "target_latency_ms": 125,
        "priority": 2,
        "max_attempts": 1,
    }
    return {
        "version": 7,
        "routes": [stream, order],
        "services": [
            {"name": MODEL, "health_path": "/health", "max_connections": 374, "engine": engine},
            {"name": APP, "health_path": "/health", "max_connections": 110},
        ],
        "tenants": [{"name": "depots", "api_keys": [KEY]}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


class SoundWorker:
    """A worker that serves orders and streams."""

    def __init__(self, host, record, order_work_s=ORDER_WORK_S):
        self._order_work_s = order_work_s
        self.host = host
        self.port = free_port(host)
        self.ran = set()
        self._record = record
        self._server = Server()

    async def start(self):
        self._server = Server()
        await self._server.listen(self.host, self.port, self._serve)

    def end(self):
        self._server.end()

    async def _serve(self, reader, writer):
        while (message := await read_message(reader)) is not None:
            line, headers, _ = message
            if line.startswith("GET /report"):
                writer.write(render(200, {}, b'{"pace":1.0,"tickets":[]}'))
                continue
            name = headers["attempt-id"]
            if "token-counts" not in headers:
                self.ran.add(name)
                self._record.write(f"worker {self.port}: runs order {name}")
                await asyncio.sleep(self._order_work_s)
                signed = {"Attempt-Id": name, "Server-Seal": f"seal.{self.port}"}
                writer.write(render(200, signed, b"x" * 800))
                await writer.drain()
                continue
            await self._stream(name, int(headers.get("last-event-id", 0)), writer)

    async def _stream(self, name, last, writer):
        writer.write(
            f"HTTP/1.1 200 OK\r\nAttempt-Id: {name}\r\nServer-Seal: seal.{self.port}\r\n"
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
        )
        for number in range(last + 1, STREAM_EVENTS + 1):
            await asyncio.sleep(EVENT_GAP_S)
            event = b"id: %d\ndata: %s\n\n" % (number, b"t" * 43)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Callers:
    """The clients, and what they saw."""

    def __init__(self, entry, record, *, order_pause_s, streams_per_s):
        self.orders = []
        self.streams = []
        # The ids of orders whose connection was closed without an answer.
        self.closed = set()
        self._order_pause_s = order_pause_s
        self._streams_per_s = streams_per_s
        self._entry = entry
        self._record = record
        self._numbers = itertools.count(1)

    def _connect(self):
        return asyncio.open_connection(self._entry.host, self._entry.front_port)

    def _head(self, path, name, deadline_ms, more=""):
        return (
            f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {name}\r\n{more}"
            f"Deadline-Remaining-Ms: {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\n"
            "Content-Length: 5\r\n\r\ncones"
        ).encode()

    async def send_orders(self, until_s):
        """Send orders one after another; each is [sent, answered or None, status, id, kept]."""
        connection = None
        while self._record.now_s() < until_s:
            name = f"{next(self._numbers):04x}{random.getrandbits(48):012x}"
            seen = [self._record.now_s(), None, 0, name, connection is not None]
            try:
                connection = connection or await self._connect()
            except OSError:
                await asyncio.sleep(0.1)
                continue
            reader, writer = connection
            self.orders.append(seen)
            writer.write(self._head("/orders/new", name, int(ORDER_WAIT_S * 1000)))
            try:
                message = await asyncio.wait_for(read_message(reader), ORDER_WAIT_S)
                if message is None:
                    self.closed.add(name)
            except TimeoutError:
                message = None
            if message is not None:
                seen[1:3] = self._record.now_s(), int(message[0].split()[1])
            taken_s = self._record.now_s() - seen[0]
            self._record.write(f"client: order {name} got {seen[2]} after {taken_s:.3f} s")
            if message is None or message[1].get("connection") == "close":
                writer.transport.abort()
                connection = None
            await asyncio.sleep(random.uniform(*self._order_pause_s))

    async def send_streams(self, until_s):
        tasks = set()
        while self._record.now_s() < until_s:
            task = asyncio.create_task(self._stream())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(random.expovariate(self._streams_per_s))
        for task in tasks:
            task.cancel()

    async def _stream(self):
        """Ask for a stream, and leave after a gap of `PATIENCE_S` between events."""
        name = f"{next(self._numbers):04x}{random.getrandbits(48):012x}"
        more = f"Model: m\r\nToken-Counts: 5000,1376\r\nPrompt-Prefix: aa:40,{name}:4960\r\n"
        try:
            reader, writer = await self._connect()
        except OSError:
            return
        events = 0
        ended = "it closed"
        try:
            writer.write(self._head("/reviews/season", name, 10000, more))
            due_s = time.monotonic() + PATIENCE_S
            tail = b""
            while time.monotonic() < due_s:
                data = await asyncio.wait_for(reader.read(65536), due_s - time.monotonic())
                if not data:
                    break
                tail = tail[-8:] + data
                if b"data: " in tail:
                    events += tail.count(b"data: ")
                    due_s = time.monotonic() + PATIENCE_S
                if tail.endswith(b"0\r\n\r\n") and events >= STREAM_EVENTS:
                    ended = "complete"
                    break
            else:
                ended = "the client left, no event came in time"
        except (TimeoutError, OSError):
            ended = "the client left, no event came in time"
        finally:
            writer.transport.abort()
        self.streams.append(ended)
        self._record.write(f"client: stream {name}: {events} events, {ended}")


def register(store, service, number, address):
    entry = {
        "service": service,
        "address": address,
        "zone": ZONES[number % len(ZONES)],
        "version": "v1",
        "slots": 8 if service == MODEL else 6,
        "state": "ready",
        "cold_remaining_ms": 0,
        "born": int(time.time() * 1000),
        "sequence": 1,
    }
    store.write("keyed.servers", f"i-{service}-{number}", entry)


async def measure_lag(lags):
    """Keep how late this script's own timers fire."""
    while True:
        due_s = time.monotonic() + 0.02
        await asyncio.sleep(0.02)
        lags.append(time.monotonic() - due_s)


async def start_endless_worker(host, port, mode, record):
    """Start `endless_worker.py` and keep what it says; return its process."""
    program = Path(__file__).with_name("endless_worker.py")
    process = await asyncio.create_subprocess_exec(
        *("python3", str(program), host, str(port), mode), stdout=asyncio.subprocess.PIPE
    )
    await process.stdout.readline()

    async def keep_record():
        while line := await process.stdout.readline():
            record.write(f"worker {port}, in trouble: {line.decode().strip()}")

    process.recording = asyncio.create_task(keep_record())
    return process


def resident_bytes(pid):
    """Return the resident memory of a process; 0 if it has ended."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    return 0
