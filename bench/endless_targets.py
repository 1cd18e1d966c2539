"""Measures the memory of one entry whose targets send bytes without end.

`python -m bench.endless_targets` starts the entry's program. This process is its store, its targets
and its callers, all on loopback.
"""

import asyncio
import os
import socket
import subprocess
import sys
import tempfile
from collections import Counter
from pathlib import Path
from typing import Annotated

import typer

from tests.support.endless import ENDLESS_PARTS, EndlessSender
from tests.support.gateways import HOST, KEY, configuration
from tests.support.wire import StoreStandin

LOOPBACK = "127.0.0.1"
START_S = 3.0
SAMPLE_INTERVAL_S = 0.25
CALL_TIMEOUT_S = 8.0
CALLERS_PER_TARGET = 2
SLOW_CALLER_STAY_S = 5.0
# A caller of a stream reads that much, then nothing more until it leaves.
SLOW_CALLER_BYTES = 2048
# How often a target sends, and how many parts of some kB at once.
PACES = ((0.008, 16), (0.1, 1))

STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)
STREAM_PARTS = {
    "event": (STREAM_HEAD, b"400\r\n" + b"x" * 1024 + b"\r\n"),
    "events": (STREAM_HEAD, (b"40\r\ndata: " + b"w" * 56 + b"\n\n\r\n") * 16),
    "comments": (STREAM_HEAD, b"19\r\n: nothing to say so far\n\n\r\n" * 30),
}

STREAM_STATUS = b"HTTP/1.1 200"

SETTINGS = """\
node_name = "front-0"
zone = "north-a"
ip = "{host}"
internal_port_range = [{peer_port}, {peer_port}]
[listen]
front = "{host}:{caller_port}"
ready = "{host}:{ready_port}"
[platform]
address = "{host}:{store_port}"
[bounds]
grace_s = 10
drain_ms = 3200
config_converge_ms = 3000
retry_budget_ratio = 0.1
retry_budget_slack = 10
budget_window_s = 10
"""


def main(
    targets: Annotated[int, typer.Option(help="number of targets")] = 50,
    seconds: Annotated[float, typer.Option(help="how long the callers call")] = 30.0,
    kind: Annotated[str, typer.Option(help="what all targets send; empty for all kinds")] = "",
) -> None:
    """Print the peak memory of the entry and how its callers' requests ended."""
    with tempfile.TemporaryDirectory() as directory:
        asyncio.run(_measure(Path(directory), targets, seconds, kind))


async def _measure(directory: Path, count: int, seconds: float, kind: str) -> None:
    ports = _free_ports(4)
    names = ("store_port", "caller_port", "ready_port", "peer_port")
    by_name = dict(zip(names, ports, strict=True))
    settings = directory / "boot.toml"
    settings.write_text(SETTINGS.format(host=LOOPBACK, **by_name))
    store = StoreStandin()
    await store.start(LOOPBACK, by_name["store_port"])
    store.write("keyed.op", "config", configuration(3))
    senders = [await _start_target(store, number, kind) for number in range(count)]
    with open(directory / "entry.log", "wb") as log:
        entry = subprocess.Popen(
            (sys.executable, "-m", "cicadatiller.platform"),
            env=os.environ | {"CICADATILLER_SETTINGS": str(settings)},
            stdout=log,
            stderr=log,
        )
    try:
        await asyncio.sleep(START_S)
        before_mb = _memory_mb(entry.pid, "VmRSS")
        endings: Counter[str] = Counter()
        port = by_name["caller_port"]
        callers = [
            asyncio.create_task(_call_for(seconds, port, number, endings))
            for number in range(CALLERS_PER_TARGET * count)
        ]
        samples_mb = []
        most_connections = 0
        while not all(caller.done() for caller in callers):
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            samples_mb.append(_memory_mb(entry.pid, "VmRSS"))
            most_connections = max(most_connections, sum(s.open_connections for s in senders))
        await asyncio.gather(*callers)
        peak_mb = _memory_mb(entry.pid, "VmHWM")
    finally:
        entry.terminate()
        entry.wait()
    half = len(samples_mb) // 2
    print(f"targets {count}, seconds {seconds:.0f}, calls {sum(endings.values())}")
    print(f"memory before {before_mb:.1f} MB, peak {peak_mb:.1f} MB")
    print(f"most in each half {max(samples_mb[:half]):.1f}, {max(samples_mb[half:]):.1f} MB")
    print(f"open connections to targets at most {most_connections}")
    print(f"bytes sent by targets {sum(s.sent_bytes for s in senders):,}")
    print("endings", dict(endings.most_common()))


async def _start_target(store: StoreStandin, number: int, kind: str) -> EndlessSender:
    """Start a target; every second one is an engine, whose responses are streams."""
    is_engine = number % 2 == 1
    parts = STREAM_PARTS if is_engine else ENDLESS_PARTS
    name = kind if kind in parts else list(parts)[number // 2 % len(parts)]
    first, part = parts[name]
    interval_s, repeats = PACES[number // 4 % len(PACES)]
    sender = EndlessSender(first, part * repeats, interval_s=interval_s)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(sender.accept, LOOPBACK, 0)
    registration = {
        "service": "engines" if is_engine else "pool",
        "address": f"{LOOPBACK}:{server.sockets[0].getsockname()[1]}",
        "zone": "north-a",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": 1,
        "born": 1_700_000_000_000,
    }
    store.write("keyed.servers", f"t-{number}", registration)
    return sender


async def _call_for(seconds: float, port: int, number: int, endings: Counter[str]) -> None:
    loop = asyncio.get_running_loop()
    end_s = loop.time() + seconds
    calls = 0
    while loop.time() < end_s:
        kind = ("unsafe", "stream", "safe", "stream")[number % 4]
        ending = await _call(port, kind, f"b{number}-{calls}")
        endings[f"{kind} {ending}"] += 1
        calls += 1


async def _call(port: int, kind: str, request_id: str) -> str:
    try:
        reader, writer = await asyncio.open_connection(LOOPBACK, port)
    except OSError:
        return "not connected"
    try:
        writer.write(_render(kind, request_id))
        async with asyncio.timeout(CALL_TIMEOUT_S):
            head = await reader.readuntil(b"\r\n\r\n")
            if kind == "stream" and head.startswith(STREAM_STATUS):
                await reader.readexactly(SLOW_CALLER_BYTES)
                writer.transport.pause_reading()  # type: ignore[attr-defined]
                await asyncio.sleep(SLOW_CALLER_STAY_S)
                return "left"
        return head[9:12].decode()
    except TimeoutError:
        return "timeout"
    except (asyncio.IncompleteReadError, ConnectionError):
        return "closed"
    finally:
        writer.transport.abort()


def _render(kind: str, request_id: str) -> bytes:
    method = "GET" if kind == "safe" else "POST"
    lines = [
        f"{method} /{kind}/x HTTP/1.1",
        f"Host: {HOST}",
        f"Attempt-Id: {request_id}",
        "Deadline-Remaining-Ms: 8000",
        f"Authorization: Bearer {KEY}",
    ]
    if kind == "stream":
        lines.append("Token-Counts: 1000,400")
    if kind != "safe":
        lines.append("Content-Length: 0")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def _free_ports(count: int) -> list[int]:
    sockets = [socket.create_server((LOOPBACK, 0)) for _ in range(count)]
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def _memory_mb(pid: int, field: str) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(f"{field}:"):
            return int(line.split()[1]) / 1024
    raise ValueError(f"process {pid} has no {field}")


if __name__ == "__main__":
    typer.run(main)
