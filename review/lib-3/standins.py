"""Stand-ins for the platform, its store, workers and clients, for the scripts of this review.

Standard library only. The entries are real processes, started with the command of the deploy file;
everything else runs in the process of the script, on loopback addresses.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import shlex
import signal
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.0
LAPSE_HEARTBEATS = 3
CONTACT_S = 3.0
FRONT_PORT = 18227
READY_PORT = 18220
PEER_PORT = 17340
WORKER_PORT = 18100
STORE_PORT = 18300
SETTINGS = """\
node_name = "{name}"
role = "entry"
machine_class = "front"
serves = ["front"]
ip = "{host}"
zone = "{zone}"
bootstrap = true
internal_port_range = [{peer_port}, {last_port}]
[listen]
front = "{host}:{front_port}"
ready = "{host}:{ready_port}"
[limits]
cpu_share = 0.817
cpu_cores = 1
memory_mb = 300
max_fds = 4100
[bounds]
contact_ms = {contact_ms}
drain_ms = {drain_ms}
grace_s = 8
config_converge_ms = 2000
evacuate_ms = 5000
cold_overshoot = 1.5
cold_slack = 5
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_slack = 106
hold_max_ms = 20000
free_ms = 4000
idle_max_ms = 9000
[platform]
address = "{store}"
form = "log"
"""


def unix_ms():
    """Return the time of day in milliseconds."""
    return int(time.time() * 1000)


class Record:
    """What was sent, answered and run, in order, with the time since the start."""

    def __init__(self, path):
        self.path = Path(path)
        self.began_s = time.monotonic()
        self.rows = []

    def now(self):
        """Return the time since the start."""
        return time.monotonic() - self.began_s

    def add(self, what, **fields):
        """Add a row."""
        row = {"at_s": round(self.now(), 3), "what": what, **fields}
        self.rows.append(row)
        return row

    def find(self, what):
        """Return the rows of one kind."""
        return [row for row in self.rows if row["what"] == what]

    def write(self, summary):
        """Write all rows, the summary first."""
        lines = [summary, ""]
        for row in self.rows:
            rest = " ".join(f"{k}={v}" for k, v in row.items() if k not in ("at_s", "what"))
            lines.append(f"{row['at_s']:9.3f} {row['what']} {rest}")
        self.path.write_text("\n".join(lines) + "\n")


class Message:
    """One request as a stand-in server reads it."""

    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body


async def read_message(reader):
    """Return the next request of a connection; None at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = b""
    try:
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Message(method, target, headers, body)


def render(status, headers=(), body=b""):
    """Return a response with a length."""
    lines = [f"HTTP/1.1 {status} X", *(f"{n}: {v}" for n, v in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's store: a log with keyed topics."""

    def __init__(self, host, record):
        self.address = f"{host}:{STORE_PORT}"
        self._host = host
        self._record = record
        self._topics = {}
        self._changed = asyncio.Event()
        self.is_down = False
        self._server = None

    async def start(self):
        """Listen."""
        self._server = await asyncio.start_server(self._serve, self._host, STORE_PORT)

    def write(self, topic, key, value):
        """Append a record; None removes the key."""
        log = self._topics.setdefault(topic, [])
        log.append((key, value))
        self._changed.set()
        self._changed = asyncio.Event()
        return len(log) - 1

    def put(self, topic, key, document):
        """Append a record as JSON."""
        value = None if document is None else json.dumps(document).encode()
        return self.write(topic, key, value)

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (message := await read_message(reader)) is not None:
                if self.is_down:
                    writer.write(render(503))
                else:
                    writer.write(await self._answer(message))
                await writer.drain()
        writer.close()

    async def _answer(self, message):
        path, _, query = message.target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        topic = fields.get("topic", "")
        await asyncio.sleep(0.004)
        if path == "/log-read":
            return await self._read(topic, fields)
        if path == "/log-newest":
            return self._newest(topic, fields)
        if path == "/log-append":
            return self._append(topic, message.body)
        return render(404)

    async def _read(self, topic, fields):
        start = int(fields.get("from", 0))
        until_s = time.monotonic() + int(fields.get("wait_ms", 0)) / 1000
        while not self._topics.get(topic, [])[start:] and time.monotonic() < until_s:
            left_s = max(0.0, until_s - time.monotonic())
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)
        if self.is_down:
            return render(503)
        log = self._topics.get(topic, [])
        body = len(log).to_bytes(8, "big") + (0).to_bytes(8, "big")
        for key, value in log[start:]:
            content = bytes([len(key)]) + key.encode() + (value or b"")
            body += len(content).to_bytes(4, "big") + content
        return render(200, (("Store-Era", "1"),), body)

    def _newest(self, topic, fields):
        log = self._topics.get(topic, [])
        newest = {key: (offset, value) for offset, (key, value) in enumerate(log)}
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in sorted(newest.items())
            if value and key > fields.get("after", "")
        ]
        page = {"items": items[:500], "has_more": len(items) > 500, "end": len(log)}
        headers = (("Store-Era", "1"), ("Content-Type", "application/json"))
        return render(200, headers, json.dumps(page).encode())

    def _append(self, topic, body):
        offset = len(self._topics.get(topic, []))
        first = offset
        while body:
            size = int.from_bytes(body[:4], "big")
            content, body = body[4 : 4 + size], body[4 + size :]
            key = content[1 : 1 + content[0]].decode()
            offset = self.write(topic, key, content[1 + content[0] :] or None)
        headers = (("Store-Era", "1"), ("Content-Type", "application/json"))
        return render(200, headers, json.dumps({"offset": first, "end": offset + 1}).encode())


class Worker:
    """One worker: a sound one unless a script changes its manner.

    `manner` holds functions and figures by name; each script says which it sets:
    - `headers`: called with the message, returns further headers of the answer.
    - `crashes`: called with the message, returns whether it crashes under the request.
    - `crash_after_events`: how many events of a stream it sends before it crashes.
    - `unframed`: whether streams have neither a length nor chunks.
    """

    def __init__(self, *, number, host, service, zone, store, record, slots=8, work_s=0.02):
        self.number, self.host, self.service, self.zone = number, host, service, zone
        self.address = f"{host}:{WORKER_PORT}"
        self.slots, self.work_s = slots, work_s
        self.store, self.record = store, record
        self.manner = {}
        self.runs = 0
        self.instance = ""
        self.born = 0
        self.is_up = False
        self.cold_until_s = 0.0
        self.tickets = {}
        self.used = set()
        self.finishes = asyncio.Event()
        self.events = 12
        self.gap_s = 0.05
        self.sequence = 0
        self._server = None
        self._writers = set()
        self._tasks = set()
        self._beat = None
        self._lapse = None

    async def start(self, *, same_id=False, cold_s=0.0):
        """Start a run and register it."""
        self.runs += 1
        if not same_id or not self.instance:
            self.instance = f"i-{self.number:02d}{self.runs:02d}{random.randrange(1 << 16):04x}"
        self.born = unix_ms()
        self.cold_until_s = time.monotonic() + cold_s
        self.tickets = {}
        self.sequence = 0
        self._server = await asyncio.start_server(self._serve, self.host, WORKER_PORT)
        self.is_up = True
        self.record.add("worker starts", worker=self.instance, cold_s=cold_s)
        self._beat = asyncio.create_task(self._register())

    def crash(self, *, reset=True):
        """End the run as a killed process does: its connections end, its port is closed."""
        if not self.is_up:
            return
        self.is_up = False
        self.record.add("worker ends", worker=self.instance)
        self._server.close()
        self._beat.cancel()
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._writers):
            if reset:
                with contextlib.suppress(OSError):
                    sock = writer.get_extra_info("socket")
                    sock.setsockopt(
                        __import__("socket").SOL_SOCKET,
                        __import__("socket").SO_LINGER,
                        struct.pack("ii", 1, 0),
                    )
                writer.transport.abort()
            else:
                writer.close()
        self._lapse = asyncio.create_task(self._expire(self.instance))

    async def _expire(self, instance):
        """Remove the registration after three heartbeats of silence, as the platform does."""
        await asyncio.sleep(LAPSE_HEARTBEATS * HEARTBEAT_S)
        while self.store.is_down:
            await asyncio.sleep(0.05)
        if not (self.is_up and self.instance == instance):
            self.store.put("keyed.servers", instance, None)

    async def _register(self):
        while True:
            while self.store.is_down:
                await asyncio.sleep(0.05)
            self.sequence += 1
            cold_ms = max(0, int((self.cold_until_s - time.monotonic()) * 1000))
            self.store.put(
                "keyed.servers",
                self.instance,
                {
                    "service": self.service,
                    "address": self.address,
                    "zone": self.zone,
                    "version": "v1",
                    "slots": self.slots,
                    "state": "ready",
                    "cold_remaining_ms": cold_ms,
                    "sequence": self.sequence,
                    "born": self.born,
                },
            )
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while (message := await read_message(reader)) is not None:
                if not await self._handle(message, writer):
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            if self.is_up:
                writer.close()

    async def _handle(self, message, writer):
        """Answer one request; return whether the connection stays open."""
        path = message.target.partition("?")[0]
        if path == "/report":
            writer.write(self._json(200, self._report()))
            return True
        if path == "/order":
            await self._order(message, writer)
            return True
        headers = message.headers
        self.record.add(
            "reaches",
            worker=self.instance,
            request=headers.get("attempt-id"),
            path=path,
            part=headers.get("prompt-prefix", ""),
            expects=headers.get("expect-instance"),
        )
        own = [("Attempt-Id", headers.get("attempt-id", ""))]
        if headers.get("expect-instance", self.instance) != self.instance:
            writer.write(render(421, [*own, ("Not-Executed", "1")]))
            return True
        extra = self.manner.get("headers", lambda message: ())(message)
        own += [("Server-Seal", f"{self.instance}.{headers.get('attempt-id')}"), *extra]
        crashes = self.manner.get("crashes", lambda message: False)(message)
        if "token-counts" in headers:
            on_stream = self.manner.get("on_stream", lambda message, begins: None)
            on_stream(message, True)
            try:
                return await self._stream(message, own, writer, crashes)
            finally:
                on_stream(message, False)
        self.record.add("runs", worker=self.instance, request=headers.get("attempt-id"))
        await asyncio.sleep(self.work_s)
        if crashes:
            self._crash_here(message)
            return False
        body = f"{self.instance} {headers.get('attempt-id')}\n".encode()
        writer.write(render(200, own, body))
        await writer.drain()
        return True

    def _crash_here(self, message):
        self.record.add(
            "crashes under", worker=self.instance, request=message.headers.get("attempt-id")
        )
        self.crash(reset=self.manner.get("crash_resets", True))

    async def _stream(self, message, own, writer, crashes):
        request = message.headers.get("attempt-id")
        first = int(message.headers.get("last-event-id") or 0) + 1
        is_unframed = self.manner.get("unframed", False)
        await asyncio.sleep(self.work_s)
        self.record.add("runs", worker=self.instance, request=request, first=first)
        if crashes and not self.manner.get("crash_after_events", 0):
            self._crash_here(message)
            return False
        lines = ["HTTP/1.1 200 OK", *(f"{n}: {v}" for n, v in own)]
        lines.append("Content-Type: text/event-stream")
        lines.append("Connection: close" if is_unframed else "Transfer-Encoding: chunked")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for sent, number in enumerate(range(first, self.events + 1), 1):
            event = f"id: {number}\ndata: {request} {number}/{self.events}\n\n".encode()
            writer.write(event if is_unframed else b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            if self.finishes.is_set():
                break
            await asyncio.sleep(self.gap_s)
            if crashes and sent >= self.manner.get("crash_after_events", 0):
                self._crash_here(message)
                return False
        if not is_unframed:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        return not is_unframed

    def _report(self):
        now_s = time.monotonic()
        self.tickets = {n: t for n, t in self.tickets.items() if t["until_s"] > now_s}
        tickets = [
            {
                "id": name,
                "tokens": ticket["tokens"],
                "state": "used" if name in self.used else "held",
                "age_ms": int((now_s - ticket["since_s"]) * 1000),
            }
            for name, ticket in self.tickets.items()
        ]
        return {
            "stage": "prefill_decode",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": 0,
            "waiting": 0,
            "running": 0,
            "kv_used": 0,
            "kv_total": 232000,
            "handles": 0,
            "pace": 1.0,
            "tickets": tickets,
            "born": self.born,
        }

    async def _order(self, message, writer):
        order = json.loads(message.body)
        withhold = self.manner.get("order", lambda order: False)(order)
        self.record.add("order", worker=self.instance, **order, unanswered=bool(withhold))
        if withhold:
            return
        self.apply_order(order)
        writer.write(
            self._json(200, {"free": 232000 - sum(t["tokens"] for t in self.tickets.values())})
        )

    def apply_order(self, order):
        """Carry out a reserve or release order."""
        now_s = time.monotonic()
        if order["operation"] == "release":
            self.tickets.pop(order["id"], None)
            return
        since_s = self.tickets.get(order["id"], {}).get("since_s", now_s)
        self.tickets[order["id"]] = {
            "tokens": order["tokens"],
            "since_s": since_s,
            "until_s": now_s + order["hold_ms"] / 1000,
        }

    def _json(self, status, document):
        headers = [("Content-Type", "application/json")]
        return render(status, headers, json.dumps(document).encode())


class WorkerProcess:
    """A worker as a process of its own, so that the system closes its connections when it is killed.

    Its rows and registrations come through its standard output. `options` are the arguments of
    `Worker`, `manner` the figures of its manner, and `deadly` the start of an entry of
    Prompt-Prefix: under a request with it, the process kills itself.
    """

    def __init__(self, *, world, number, host, service, options, manner, deadly):
        self.number, self.host, self.service = number, host, service
        self.world, self.is_up, self.instance = world, False, ""
        self._arguments = {
            "number": number,
            "host": host,
            "service": service,
            "zone": f"zone-{number % 2}",
            "options": options,
            "manner": manner,
            "deadly": deadly,
        }
        self.runs = 0
        self._process = None
        self._reading = None

    async def start(self):
        """Start a run."""
        self.runs += 1
        arguments = json.dumps(self._arguments | {"runs": self.runs})
        self._process = await asyncio.create_subprocess_exec(
            sys.executable, __file__, arguments, stdout=subprocess.PIPE
        )
        self.is_up = True
        self._reading = asyncio.create_task(self._read(self._process))

    async def _read(self, process):
        while line := await process.stdout.readline():
            if not line.endswith(b"\n"):
                break
            document = json.loads(line)
            if "put" in document:
                self.instance = document["put"][1]
                self.world.store.put(*document["put"])
            else:
                self.world.record.add(document.pop("what"), **document)
        await process.wait()
        self.is_up = False
        self.world.record.add("worker ends", worker=self.instance, code=process.returncode)
        await asyncio.sleep(LAPSE_HEARTBEATS * HEARTBEAT_S)
        self.world.store.put("keyed.servers", self.instance, None)

    async def end(self):
        """End the process."""
        if self._process is not None and self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self._process.kill()
            await self._process.wait()


class _Pipe:
    """In the process of a worker: the store and the record, written to standard output."""

    is_down = False

    def put(self, topic, key, document):
        """Pass on a registration."""
        print(json.dumps({"put": [topic, key, document]}), flush=True)

    def add(self, what, **fields):
        """Pass on a row of the record."""
        print(json.dumps({"what": what, **fields}), flush=True)


async def _run_worker(arguments):
    """Run one worker until it is killed."""
    pipe, deadly = _Pipe(), arguments["deadly"]
    worker = Worker(
        number=arguments["number"],
        host=arguments["host"],
        service=arguments["service"],
        zone=arguments["zone"],
        store=pipe,
        record=pipe,
        **arguments["options"],
    )
    worker.runs = arguments["runs"] - 1
    worker.manner = arguments["manner"] | {
        "crashes": lambda message: deadly in message.headers.get("prompt-prefix", "")
    }
    worker.crash = lambda reset: os.kill(os.getpid(), signal.SIGKILL)
    await worker.start()
    await asyncio.Event().wait()


class Entry:
    """One entry as a process of its own, started with the command of the deploy file."""

    def __init__(self, *, name, host, zone, store, folder, drain_ms, contact_ms):
        self.name, self.host = name, host
        self.front = (host, FRONT_PORT)
        self._settings = Path(folder) / f"{name}.toml"
        self._log = Path(folder) / f"{name}.log"
        self._settings.write_text(
            SETTINGS.format(
                name=name,
                host=host,
                zone=zone,
                store=store,
                peer_port=PEER_PORT,
                last_port=PEER_PORT + 15,
                front_port=FRONT_PORT,
                ready_port=READY_PORT,
                drain_ms=drain_ms,
                contact_ms=contact_ms,
            )
        )
        self.process = None

    def start(self):
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = shlex.split(deploy["roles"]["entry"]["run"])
        if command[0] == "python3":
            command[0] = sys.executable
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=kept
                | {
                    "CICADATILLER_SETTINGS": str(self._settings),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                },
                stdout=log,
                stderr=log,
            )

    def signal(self, number):
        """Send a signal."""
        self.process.send_signal(number)

    async def ready(self):
        """Return whether it is ready."""
        with contextlib.suppress(OSError, asyncio.TimeoutError, ValueError, IndexError):
            answer = await asyncio.wait_for(
                ask((self.host, READY_PORT), "GET", "/readiness", {"Host": "x"}), 1.0
            )
            return answer.status == 200
        return False

    def end(self):
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def log_lines(self):
        """Return what it wrote."""
        return self._log.read_text(errors="replace").splitlines() if self._log.exists() else []


class Answer:
    """What a client got: status 0 if there was no answer."""

    def __init__(self, status, headers, body, is_whole):
        self.status, self.headers, self.body, self.is_whole = status, headers, body, is_whole


async def ask(address, method, target, headers, body=b"", timeout_s=10.0):
    """Send one request on a new connection and return the answer."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        lines = [f"{method} {target} HTTP/1.1", *(f"{n}: {v}" for n, v in headers.items())]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        return await asyncio.wait_for(_read_answer(reader), timeout_s)
    except (TimeoutError, asyncio.IncompleteReadError, ConnectionError):
        return Answer(0, {}, b"", False)
    finally:
        writer.transport.abort()


async def _read_answer(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    status = int(head[0].split(" ")[1])
    headers = {}
    for line in head[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        try:
            while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readuntil(b"\r\n")
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            return Answer(status, headers, body, False)
        return Answer(status, headers, body, True)
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Answer(status, headers, body, True)


class World:
    """One small deployment: store, workers, entries and the record."""

    def __init__(
        self, record_path, *, entries, routes, services, keys=None, drain_ms=2000, contact_ms=3000
    ):
        self.record = Record(record_path)
        self.folder = tempfile.mkdtemp(prefix="review-")
        second, third = random.randrange(16, 240), random.randrange(1, 250)
        self._net = f"127.{second}.{third}"
        self.store = Store(f"{self._net}.250", self.record)
        self.workers = []
        self.entries = [
            Entry(
                name=f"front-{n}",
                host=f"{self._net}.{n}",
                zone=f"zone-{n % 2}",
                store=self.store.address,
                folder=self.folder,
                drain_ms=drain_ms,
                contact_ms=contact_ms,
            )
            for n in range(1, entries + 1)
        ]
        self.routes, self.services = routes, services
        self.keys = keys or {"tenant-a": ["key-a"]}
        self._numbers = iter(range(1, 1 << 30))

    def add_worker(self, service, **options):
        """Add a worker."""
        number = len(self.workers) + 1
        worker = Worker(
            number=number,
            host=f"{self._net}.{100 + number}",
            service=service,
            zone=f"zone-{number % 2}",
            store=self.store,
            record=self.record,
            **options,
        )
        self.workers.append(worker)
        return worker

    def add_worker_process(self, service, *, manner, deadly, **options):
        """Add a worker that is a process of its own."""
        number = len(self.workers) + 1
        worker = WorkerProcess(
            world=self,
            number=number,
            host=f"{self._net}.{100 + number}",
            service=service,
            options=options,
            manner=manner,
            deadly=deadly,
        )
        self.workers.append(worker)
        return worker

    def configuration(self, version=1):
        """Return the operator's configuration."""
        return {
            "version": version,
            "routes": self.routes,
            "services": self.services,
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
            "tenants": [{"name": n, "api_keys": keys} for n, keys in self.keys.items()],
        }

    async def start(self):
        """Start everything and wait until the entries are ready and in touch."""
        await self.store.start()
        self.store.put("keyed.op", "config", self.configuration())
        for worker in self.workers:
            await worker.start()
        for entry in self.entries:
            entry.start()
        until_s = time.monotonic() + 20
        while not all([await entry.ready() for entry in self.entries]):
            if time.monotonic() > until_s:
                raise RuntimeError("the entries are not ready after 20 s")
            await asyncio.sleep(0.1)
        await asyncio.sleep(CONTACT_S)

    async def send(
        self, entry, method, path, *, headers=None, body=b"", key="key-a", timeout_s=10.0
    ):
        """Send one request to an entry; record it and its answer."""
        request = f"a{next(self._numbers):06d}"
        sent = self.record.add("sent", request=request, entry=entry.name, path=path)
        fields = {
            "Host": "review.example",
            "Attempt-Id": request,
            "Deadline-Remaining-Ms": int(timeout_s * 1000),
            "Authorization": f"Bearer {key}",
            **(headers or {}),
        }
        try:
            answer = await ask(entry.front, method, path, fields, body, timeout_s + 1)
        except OSError:
            answer = Answer(0, {}, b"", False)
        self.record.add(
            "answered",
            request=request,
            status=answer.status,
            whole=answer.is_whole,
            bytes=len(answer.body),
            seal=answer.headers.get("server-seal", ""),
            after_s=round(self.record.now() - sent["at_s"], 3),
        )
        return request, answer

    async def end(self):
        """End all processes that were started."""
        for entry in self.entries:
            entry.end()
        for worker in self.workers:
            if isinstance(worker, WorkerProcess):
                await worker.end()


def route(kind, path, service, **changes):
    """Return a route of the configuration."""
    return {
        "name": f"r-{path.strip('/')}",
        "hostname": "review.example",
        "path_prefix": path,
        "kind": kind,
        "timeout_ms": 10000,
        "target_latency_ms": 300,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "allow_anonymous": False,
        **changes,
    }


ENGINE = {
    "slots": 8,
    "kv_capacity_tokens": 232000,
    "kv_token_bytes": 327680,
    "stride": 43,
    "models": [{"name": "m"}],
    "step_ms": 1.02,
    "per_seq_ms": 0.00226,
    "context_per_k": 0.00431,
    "read_per_s": 206000.0,
    "pairs_per_m": 0.138,
    "chunk": 2048,
    "report_lag_ms": 200.0,
    "usual": {"prompt": 5000, "answer": 500},
    "hop_ms": 0.075,
}


def plain_service(name, **changes):
    """Return a plain service of the configuration."""
    return {"name": name, "health_path": "/health", "max_connections": 374, **changes}


def engine_service(name, **changes):
    """Return a service of engines."""
    return {**plain_service(name, **changes), "engine": ENGINE}


def play(main, record_path):
    """Run a script's coroutine and exit with its verdict: 1 broken, 0 held, 2 could not run."""
    worlds = []

    async def run():
        try:
            return await asyncio.wait_for(main(worlds.append), 110)
        finally:
            for world in worlds:
                await world.end()

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        code, summary = asyncio.run(run())
    except Exception as error:
        code, summary = 2, f"could not run: {error!r}"
    for world in worlds:
        world.record.write(summary)
        if os.environ.get("KEEP_LOGS"):
            print("logs:", world.folder)
        else:
            for path in Path(world.folder).iterdir():
                path.unlink()
            Path(world.folder).rmdir()
    if not worlds:
        Path(record_path).write_text(summary + "\n")
    print(summary)
    sys.exit(code)


if __name__ == "__main__":
    asyncio.run(_run_worker(json.loads(sys.argv[1])))
