"""Runs one entry as a process on loopback, with stand-ins of its store and targets in the test."""

import asyncio
import contextlib
import os
import socket
import subprocess
import sys
import tempfile
from pathlib import Path

from .gateways import HOST, KEY, configuration, route
from .wire import StoreStandin, TargetStandin

ADDRESS = "127.0.0.1"
START_TIMEOUT_S = 20.0
ANSWER_TIMEOUT_S = 8.0
SAMPLE_INTERVAL_S = 0.05
# Crowds don't wait for each other at the target.
TARGET_SLOTS = 1000

SETTINGS = """\
node_name = "front-0"
ip = "{address}"
zone = "north-a"
region = "north"
internal_port_range = [{peer_port}, {peer_port}]
[zones]
north-a = "north"
[listen]
front = "{address}:{caller_port}"
ready = "{address}:{ready_port}"
[limits]
memory_mb = {memory_mb}
max_fds = {max_fds}
[bounds]
drain_ms = 2000
grace_s = 8
config_converge_ms = 2000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_slack = 100
[platform]
address = "{address}:{store_port}"
"""


def free_port():
    """Return a port that nothing uses."""
    with socket.socket() as sock:
        sock.bind((ADDRESS, 0))
        return sock.getsockname()[1]


class EntryProcess:
    """An entry with low limits, and what it holds.

    Args:
        memory_mb: The memory in its settings.
        max_fds: The descriptors in its settings.
        max_body_bytes: The limit on a body in the configuration.

    Attributes:
        target: The stand-in of its only target, of the service "pool".
        ready_port: The port of the readiness check.
        caller_port: The port for callers.
        metrics_port: The port of the metrics.
        most_sockets: The most sockets that it has had open.
    """

    def __init__(self, *, memory_mb, max_fds, max_body_bytes):
        self.ready_port = free_port()
        self.caller_port = free_port()
        self.metrics_port = free_port()
        self.most_sockets = 0
        self.target = TargetStandin("t-1", service="pool")
        self._store = StoreStandin()
        self._store_port = free_port()
        self._limits = {"memory_mb": memory_mb, "max_fds": max_fds}
        self._max_body_bytes = max_body_bytes
        self._directory = tempfile.TemporaryDirectory()
        self._process = None
        self._sampler = None

    async def start(self):
        """Start the stand-ins and the process, and wait until it is ready."""
        document = configuration(3, routes=[route("safe"), route("unsafe")])
        document["limits"] |= {"max_body_bytes": self._max_body_bytes}
        self._store.write("keyed.op", "config", document)
        await self._store.start(ADDRESS, self._store_port)
        await self.target.start(ADDRESS, free_port())
        self._store.write("keyed.servers", "t-1", self.target.entry(slots=TARGET_SLOTS))
        self._process = self._spawn()
        async with asyncio.timeout(START_TIMEOUT_S):
            while await self.status("/readiness", port=self.ready_port) != 200:
                await asyncio.sleep(0.1)
        self._sampler = asyncio.create_task(self._sample())

    def _spawn(self):
        directory = Path(self._directory.name)
        settings = directory / "entry.toml"
        settings.write_text(
            SETTINGS.format(
                address=ADDRESS,
                peer_port=free_port(),
                caller_port=self.caller_port,
                ready_port=self.ready_port,
                store_port=self._store_port,
                **self._limits,
            )
        )
        own = directory / "entry.yaml"
        own.write_text(f"metrics_port: {self.metrics_port}\n")
        with (directory / "entry.log").open("wb") as log:
            return subprocess.Popen(
                [sys.executable, "-m", "cicadatiller.platform", "--settings", str(own)],
                env={**os.environ, "CICADATILLER_SETTINGS": str(settings)},
                stdout=log,
                stderr=log,
            )

    def stop(self):
        """Kill the process and stop the stand-ins."""
        if self._sampler is not None:
            self._sampler.cancel()
        if self._process is not None:
            self._process.kill()
            self._process.wait()
        self._directory.cleanup()
        self.target.stop()
        self._store.stop()

    @property
    def is_alive(self):
        """Return whether the process runs."""
        return self._process.poll() is None

    @property
    def peak_memory_mb(self):
        """Return the most memory that the process has had resident."""
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
        return int(line.split()[1]) / 1024

    async def _sample(self):
        while self.is_alive:
            self.most_sockets = max(self.most_sockets, self._count_sockets())
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def _count_sockets(self):
        count = 0
        for path in Path(f"/proc/{self._process.pid}/fd").iterdir():
            # A descriptor may be closed meanwhile.
            with contextlib.suppress(OSError):
                count += os.readlink(path).startswith("socket:")
        return count

    async def status(self, path, *, port=None, headers=b"", body=None):
        """Send an ordinary request and return its status; 0 if there was no response."""
        head = request_head(path, headers=headers, length=None if body is None else len(body))
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(ADDRESS, port or self.caller_port)
                writer.write(head + (body or b""))
                line = await reader.readline()
                writer.transport.abort()
                return int(line.split()[1])
        except (OSError, TimeoutError, IndexError):
            return 0


def request_head(path, *, headers=b"", length=None):
    """Return the head of a request to the pool; POST with a length if it has a body."""
    method = b"GET" if length is None else b"POST"
    lines = method + b" " + path.encode() + b" HTTP/1.1\r\nHost: " + HOST.encode() + b"\r\n"
    lines += b"Authorization: Bearer " + KEY.encode() + b"\r\n"
    lines += b"Deadline-Remaining-Ms: 15000\r\nAttempt-Id: a1\r\n" + headers
    if length is not None:
        lines += b"Content-Length: %d\r\n" % length
    return lines + b"\r\n"
