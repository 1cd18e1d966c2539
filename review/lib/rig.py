"""Starts a small deployment on loopback: entries as processes, the rest as stand-ins."""

import asyncio
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from store import Store
from web import ask
from workers import Worker

ROOT = Path(__file__).resolve().parents[2]
HOST = "ficu95.example"
KEYS = {"tenant-a": "key-of-tenant-a", "tenant-b": "key-of-tenant-b"}
CONTACT_S = 3.0
DRAIN_S = 2.0
HEARTBEAT_MS = 1200
ENGINE = {
    "slots": 8,
    "kv_capacity_tokens": 232_000,
    "stride": 43,
    "models": [{"name": "m"}],
    "step_ms": 1.02,
    "per_seq_ms": 0.00452,
    "context_per_k": 0.00431,
    "read_per_s": 206_000.0,
    "pairs_per_m": 0.138,
    "chunk": 2048,
    "report_lag_ms": 200.0,
    "usual": {"prompt": 12_328, "answer": 1303},
    "hop_ms": 0.075,
}
SETTINGS = """\
node_name = "front-{number}"
role = "entry"
machine_class = "front"
serves = ["front"]
ip = "{host}"
zone = "hall-a"
region = "region-a"
internal_port_range = [{peer_port}, {peer_port}]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
hall-a = "region-a"
[listen]
front = "{host}:{front_port}"
ready = "{host}:{ready_port}"
[limits]
cpu_share = 0.817
cpu_cores = 1
memory_mb = 300
max_fds = 4100
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_converge_ms = 2000
rollback_slack_ms = 250
outer_bound_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_slack = 106
recovery_s = 12
pass_ms = 120
stall_ms = 1500
hold_max_ms = 20000
free_ms = 4000
idle_max_ms = 9000
[platform]
address = "{store}"
form = "log"
writes_per_s = 400
reads_per_s = 2000
"""


class Log:
    """Writes `record.txt`: a line for each event, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began_s = time.monotonic()
        self.rows: list[tuple[float, str, dict]] = []

    def now(self) -> float:
        return time.monotonic() - self._began_s

    def write(self, what: str, **fields) -> None:
        at_s = self.now()
        self.rows.append((at_s, what, fields))
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{at_s:8.3f} {what} {text}\n")
        self._file.flush()

    def find(self, what: str, **fields) -> list[tuple[float, dict]]:
        """Return the times and fields of the events of a name with some fields."""
        return [
            (at_s, row)
            for at_s, name, row in self.rows
            if name == what and all(row.get(key) == value for key, value in fields.items())
        ]


class Entry:
    """A process of the deploy file's only role, with the command that stands there."""

    def __init__(self, number, host, store_address, directory, log) -> None:
        self.number = number
        self.log = log
        ports = free_ports(host, 3)
        self.address = f"{host}:{ports[0]}"
        self.ready_address = f"{host}:{ports[1]}"
        self._settings = directory / f"entry-{number}.toml"
        self._output = directory / f"entry-{number}.log"
        self._settings.write_text(
            SETTINGS.format(
                number=number,
                host=host,
                front_port=ports[0],
                ready_port=ports[1],
                peer_port=ports[2],
                store=store_address,
            )
        )
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        names = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in names if name in os.environ}
        environment["CICADATILLER_SETTINGS"] = str(self._settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self._output.open("ab") as output:
            self.process = subprocess.Popen(
                ["python3", "-m", "cicadatiller.platform"],
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )
        self.log.write("entry-started", entry=self.number)

    def send_signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self.log.write("signal", entry=self.number, name=number.name)

    def kill(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def wait_until_ready(self) -> bool:
        until_s = time.monotonic() + 20.0
        while time.monotonic() < until_s:
            answer = await ask(
                self.ready_address, "GET", "/readiness", {"Host": "x"}, timeout_s=1.0
            )
            if answer.first == "200":
                self.log.write("entry-ready", entry=self.number)
                return True
            await asyncio.sleep(0.05)
        return False


class Rig:
    """A deployment; `service` is plain or has an engine."""

    def __init__(self, case: Path, *, entries: int, worker_class: type[Worker] = Worker) -> None:
        self.log = Log(case / "record.txt")
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.directory = Path(self._temporary.name)
        self._prefix = f"127.{random.randint(64, 250)}.{random.randint(1, 250)}"
        self._next_host = 100
        self._worker_class = worker_class
        host = f"{self._prefix}.90"
        self.store = Store(host, free_ports(host, 1)[0])
        self.entries = [
            Entry(
                number, f"{self._prefix}.{number + 1}", self.store.address, self.directory, self.log
            )
            for number in range(entries)
        ]
        self.workers: list[Worker] = []
        self.version = 3

    def add_worker(self, worker_id: str, service: str, **options) -> Worker:
        host = f"{self._prefix}.{self._next_host}"
        self._next_host += 1
        worker = self._worker_class(
            host,
            free_ports(host, 1)[0],
            worker_id=worker_id,
            service=service,
            store=self.store,
            log=self.log,
            **options,
        )
        self.workers.append(worker)
        return worker

    def configure(
        self, routes: list[dict], services: list[dict], *, max_body_bytes: int = 4_194_304
    ) -> None:
        self.version += 2
        self.store.append(
            "keyed.op",
            "config",
            {
                "version": self.version,
                "routes": routes,
                "services": services,
                "limits": {
                    "max_header_bytes": 16_384,
                    "max_body_bytes": max_body_bytes,
                    "header_timeout_ms": 3000,
                    "idle_timeout_ms": 15_000,
                },
                "tenants": [{"name": name, "api_keys": [key]} for name, key in KEYS.items()],
            },
        )

    async def start(self) -> None:
        """Start store, workers and entries, and wait until the entries are in touch."""
        await self.store.listen()
        for worker in self.workers:
            await worker.start()
        for entry in self.entries:
            entry.start()
        if not all(await asyncio.gather(*(entry.wait_until_ready() for entry in self.entries))):
            raise RuntimeError("an entry did not become ready")
        await asyncio.sleep(CONTACT_S + 1.0)

    def close(self) -> None:
        for entry in self.entries:
            entry.kill()
        for worker in self.workers:
            worker.end(is_removed=False)
        self.store.stop_at_once()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for path in self.directory.iterdir():
                (Path(keep) / path.name).write_bytes(path.read_bytes())
        self._temporary.cleanup()


def free_ports(host: str, count: int) -> list[int]:
    """Return ports that nothing uses on a loopback address."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind((host, 0))
        return [sock.getsockname()[1] for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()


def route(path: str, kind: str, service: str, **changes) -> dict:
    fields = {
        "name": f"r-{path}",
        "hostname": HOST,
        "path_prefix": f"/{path}/",
        "kind": kind,
        "timeout_ms": 10_000,
        "target_latency_ms": 300,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "allow_anonymous": False,
    }
    if kind == "stream":
        fields |= {"session_affinity": True, "stream_resume": True, "gap_target_ms": 250}
    return fields | changes


def plain_service(name: str) -> dict:
    return {"name": name, "health_path": "/health", "max_connections": 110, "protocol": "h1"}


def model_service(name: str) -> dict:
    return plain_service(name) | {"max_connections": 374, "engine": ENGINE}


def headers(request: str, *, tenant: str = "tenant-a", left_ms: int = 10_000, **more) -> dict:
    fields = {
        "Host": HOST,
        "Attempt-Id": request,
        "Deadline-Remaining-Ms": str(left_ms),
        "Authorization": f"Bearer {KEYS[tenant]}",
    }
    return fields | {name.replace("_", "-"): value for name, value in more.items()}


def has_trouble() -> bool:
    return os.environ.get("TROUBLE", "1") != "0"


def main(play, case: Path) -> None:
    """Run a case and exit with 1 if it reports a broken rule, 0 if not, 2 if it could not run."""
    try:
        broken = asyncio.run(play(case))
    except Exception as error:
        print(f"could not run: {error!r}")
        sys.exit(2)
    print("broken: " + broken if broken else "held")
    sys.exit(1 if broken else 0)
