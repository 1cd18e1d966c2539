"""Stand-ins of the platform's store, of workers and of clients, and entries as processes.

Only the standard library is used. Times are those of the loop's clock, from the start of the script.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.2
PAGE_BYTES = 1024 * 1024
SETTINGS = """\
node_name = "{name}"
role = "entry"
machine_class = "front"
serves = ["front"]
ip = "{host}"
zone = "{zone}"
region = "r"
internal_port_range = [{peer_port}, {last_peer_port}]
heartbeat_ms = 1200
[listen]
front = "{host}:{front_port}"
ready = "{host}:{ready_port}"
[limits]
cpu_share = 0.817
cpu_cores = 1
memory_mb = {memory_mb}
max_fds = 4100
[bounds]
{bounds}[platform]
address = "{store}"
form = "log"
"""


# Bounds that differ between the sites.
HTROP = {
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "config_converge_ms": 2000,
    "outer_bound_ms": 5000,
    "retry_budget_slack": 106,
    "recovery_s": 12,
    "pass_ms": 120,
}
KCH = {
    "contact_ms": 4000,
    "ack_ms": 6000,
    "catch_up_s": 6,
    "drain_ms": 3000,
    "config_converge_ms": 3000,
    "outer_bound_ms": 6000,
    "retry_budget_slack": 128,
    "cold_overshoot": 1.5,
    "cold_slack": 5,
    "evacuate_ms": 5000,
    "recovery_s": 15,
    "pass_ms": 200,
}
# Those that are the same.
COMMON = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "rollback_slack_ms": 250,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_after_s": 0,
    "stall_ms": 1500,
    "hold_max_ms": 20000,
    "free_ms": 4000,
    "idle_max_ms": 9000,
}


class Record:
    """The lines of `record.txt`."""

    def __init__(self, path):
        self._began_s = time.monotonic()
        self._file = open(path, "w")

    def now_s(self):
        return time.monotonic() - self._began_s

    def write(self, text):
        self._file.write(f"{self.now_s():8.3f} {text}\n")
        self._file.flush()


def free_host():
    """Return a loopback address that this run alone uses."""
    chosen = random.Random(os.getpid() ^ time.time_ns())
    return f"127.{chosen.randint(64, 250)}.{chosen.randint(1, 250)}.{chosen.randint(1, 250)}"


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


async def read_message(reader):
    """Return the first line, the headers by lower-case name and the body; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding") == "chunked":
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


def render(status, headers, body):
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Server:
    """A listener whose connections can be reset at once."""

    def __init__(self):
        self._server = None
        self._writers = set()
        self._tasks = set()

    async def listen(self, host, port, serve):
        async def accept(reader, writer):
            self._writers.add(writer)
            self._tasks.add(asyncio.current_task())
            try:
                await serve(reader, writer)
            except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
                pass
            finally:
                self._writers.discard(writer)
                self._tasks.discard(asyncio.current_task())
                writer.close()

        self._server = await asyncio.start_server(accept, host, port)

    def end(self):
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._writers):
            writer.transport.abort()


class Store:
    """The platform's store: keyed topics, linearizable, loses nothing."""

    def __init__(self, host, record):
        self.host = host
        self.port = free_port(host)
        self._record = record
        self._logs = {}
        self._changed = asyncio.Event()
        self._server = Server()

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def start(self):
        await self._server.listen(self.host, self.port, self._serve)

    def end(self):
        self._server.end()

    def write(self, topic, key, value):
        """Append a record; its return is the acknowledgement."""
        data = b"" if value is None else json.dumps(value).encode()
        log = self._logs.setdefault(topic, [])
        log.append((key, data))
        self._changed.set()
        self._changed = asyncio.Event()
        shown = "removed" if value is None else value
        self._record.write(f"store: acknowledged {topic} {key}: {json.dumps(shown)[:200]}")

    def write_raw(self, topic, key, data):
        """Append a record of another writer."""
        self._logs.setdefault(topic, []).append((key, data))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        while (message := await read_message(reader)) is not None:
            line, _, body = message
            url = urlsplit(line.split(" ")[1])
            query = {name: values[0] for name, values in parse_qs(url.query).items()}
            status, answer = await self._answer(url.path, query, body)
            writer.write(render(status, {"Store-Era": "1"}, answer))
            await writer.drain()

    async def _answer(self, path, query, body):
        log = self._logs.setdefault(query["topic"], [])
        if path == "/log-append":
            offset = len(log)
            size = body[4]
            log.append((body[5 : 5 + size].decode(), body[5 + size :]))
            self._changed.set()
            self._changed = asyncio.Event()
            return 200, json.dumps({"offset": offset, "end": offset + 1}).encode()
        if path == "/log-newest":
            newest = {key: (offset, data) for offset, (key, data) in enumerate(log)}
            items = [
                {"key": key, "value": base64.b64encode(data).decode(), "offset": offset}
                for key, (offset, data) in sorted(newest.items())
                if data and key > query.get("after", "")
            ]
            page = []
            size = 0
            while len(page) < min(500, len(items)) and size < PAGE_BYTES:
                page.append(items[len(page)])
                size += len(page[-1]["value"])
            more = len(page) < len(items)
            return 200, json.dumps({"items": page, "has_more": more, "end": len(log)}).encode()
        start = int(query["from"])
        until_s = time.monotonic() + min(30.0, int(query.get("wait_ms", 0)) / 1000)
        while len(log) <= start and (left_s := until_s - time.monotonic()) > 0:
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                break
        answer = len(log).to_bytes(8, "big") + (0).to_bytes(8, "big")
        for key, data in log[start:]:
            if len(answer) > 1024 * int(query.get("max_kb", 1024)):
                break
            content = bytes([len(key)]) + key.encode() + data
            answer += len(content).to_bytes(4, "big") + content
        return 200, answer


class Entry:
    """One entry, a process started by the command of the deploy file."""

    def __init__(self, *, name, host, zone, store, folder, peer_port, bounds, memory_mb=300):
        self.name = name
        self.host = host
        self.front_port = free_port(host)
        self.ready_port = free_port(host)
        self._settings = Path(folder) / f"{name}.toml"
        self._log = Path(folder) / f"{name}.log"
        self._settings.write_text(
            SETTINGS.format(
                name=name,
                host=host,
                zone=zone,
                store=store,
                front_port=self.front_port,
                ready_port=self.ready_port,
                peer_port=peer_port,
                memory_mb=memory_mb,
                last_peer_port=peer_port + 15,
                bounds="".join(f"{key} = {value}\n" for key, value in (COMMON | bounds).items()),
            )
        )
        self.process = None

    async def start(self):
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["CICADATILLER_SETTINGS"] = str(self._settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with open(self._log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *("python3", "-m", "cicadatiller.platform"),
                env=environment,
                cwd=ROOT,
                stdout=log,
                stderr=log,
            )

    async def wait_until_ready(self, limit_s=20.0):
        until_s = time.monotonic() + limit_s
        while time.monotonic() < until_s and self.process.returncode is None:
            try:
                reader, writer = await asyncio.open_connection(self.host, self.ready_port)
                writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                message = await read_message(reader)
                writer.close()
                if message is not None and " 200 " in message[0] + " ":
                    return True
            except OSError:
                pass
            await asyncio.sleep(0.1)
        return False

    async def kill(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


def run(case, folder):
    """Run a case, which returns 0, 1 or 2, and exit with what it returns."""

    async def main():
        record = Record(Path(folder) / "record.txt")
        with tempfile.TemporaryDirectory() as temporary:
            try:
                async with asyncio.timeout(110):
                    code = await case(record, temporary)
            except Exception as error:
                record.write(f"the case could not run: {error!r}")
                code = 2
        record.write(f"exit {code}")
        return code

    sys.exit(asyncio.run(main()))
