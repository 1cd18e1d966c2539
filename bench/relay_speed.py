"""Measures the relay of tokens: throughput of one entry, CPU cost and latency of the first token.

`python -m bench.relay_speed` writes `bench/results/relay_speed.json`. The fleet is one entry, a few
engine stand-ins with their sidecars, and one bare engine that the bench calls directly. The latency
that the system adds is the difference of the two latencies, measured in one run.
"""

import asyncio
import json
import os
import resource
import tempfile
import time
from dataclasses import replace
from pathlib import Path
from typing import Annotated, Any

import typer

from bench import fleet
from bench.measure import ProcessReading, read_processes
from bench.raw_client import StreamFailedError, generate
from cicadatiller.rpc._generated.cicadatiller.v1 import serving_pb as pb
from cicadatiller.targets import EngineOrder, HttpEngine, ModelRef, StreamSpec

RESULTS = Path(__file__).parent / "results" / "relay_speed.json"
STREAMS = 200
ENGINES = 4
# 200 streams at the required 69 ms per token are 2,900 tokens/s; 50 ms reach the required 4,000.
STEPS_S = {"at the letter's rate": 0.05, "as much as goes": 0.015}
REQUESTS_PER_S = 50.0
SHORT_PROMPT = "stock check of the day " * 174
SHORT_PROMPT_TOKENS = 1001
SHORT_OUTPUT_TOKENS = 4
FAST_ENGINE = {"step_base_s": 0.002, "step_per_stream_s": 0.0, "prefill_token_s": 1e-6}
WARM_UP_S = 3.0
LATENCY_ROUNDS = 3
KEY = "workspace-0-key"
MODEL_REF = ModelRef(model=fleet.MODEL, version=fleet.VERSION)

app = typer.Typer(help="Measures the relay of tokens.")


@app.command()
def run(
    span_s: Annotated[float, typer.Option(help="Duration of each measurement.")] = 10.0,
    first_port: Annotated[
        int, typer.Option(help="First port of the fleet; zero for free ports.")
    ] = 0,
    output: Annotated[Path, typer.Option(help="File for the result.")] = RESULTS,
) -> None:
    """Measure rates and latencies and write the result."""
    rates = {name: measure_rate(step_s, span_s, first_port) for name, step_s in STEPS_S.items()}
    result = {
        "command": "python -m bench.relay_speed",
        "cores": os.cpu_count(),
        "load_average_before": os.getloadavg()[0],
        "rates": rates,
        "latency": measure_latency(span_s, first_port),
    }
    output.write_text(json.dumps(result, indent=1) + "\n")
    typer.echo(json.dumps(result, indent=1))


def measure_rate(step_s: float, span_s: float, first_port: int) -> dict[str, Any]:
    """Return the throughput of one entry with `STREAMS` open streams, and its CPU cost."""
    model = {"step_base_s": step_s, "step_per_stream_s": 0.0, "prefill_token_s": 1e-6}
    layout = _layout(ENGINES, model, first_port)
    with tempfile.TemporaryDirectory() as name:
        directory = Path(name)
        pids = {key: item.pid for key, item in fleet.start(layout, directory).items()}
        try:
            fleet.publish(layout)
            return asyncio.run(_measure_relay(layout, pids, span_s)) | {
                "engine_step_s": step_s,
                "offered_tokens_per_s": STREAMS / step_s,
            }
        finally:
            fleet.stop(directory, timeout_s=30.0)


async def _measure_relay(
    layout: fleet.Layout, pids: dict[str, int], span_s: float
) -> dict[str, Any]:
    port = layout.entry_ports[0]
    counter = _Counter()
    tasks = [asyncio.create_task(_keep_stream(port, counter, n)) for n in range(STREAMS)]
    await asyncio.sleep(WARM_UP_S)
    before, own_before, started_s = read_processes(pids), _own_cpu_s(), time.monotonic()
    counter.reset()
    await asyncio.sleep(span_s)
    took_s = time.monotonic() - started_s
    after, own_s = read_processes(pids), _own_cpu_s() - own_before
    tokens, frames, gaps_s = counter.tokens, counter.frames, sorted(counter.gaps_s)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    cpu_s = {role: _cpu_s(before, after, role) for role in ("entry", "sidecar", "engine")}
    return {
        "streams": STREAMS,
        "tokens_per_s": round(tokens / took_s),
        "tokens_per_message": round(tokens / max(1, frames), 2),
        "gap_p95_ms": round(1000 * _quantile(gaps_s, 0.95), 1),
        "cpu_s_per_1000_tokens": {
            role: round(1000 * spent_s / tokens, 4) for role, spent_s in cpu_s.items()
        },
        "cores": {role: round(spent_s / took_s, 3) for role, spent_s in cpu_s.items()},
        "entry_to_sidecar_cpu": round(cpu_s["entry"] / cpu_s["sidecar"], 2),
        "load_tool_cores": round(own_s / took_s, 3),
        "failures": counter.failures,
    }


class _Counter:
    def __init__(self) -> None:
        self.failures = 0
        self.reset()

    def reset(self) -> None:
        self.tokens = 0
        self.frames = 0
        self.gaps_s: list[float] = []


async def _keep_stream(port: int, counter: _Counter, number: int) -> None:
    """Keep one stream open; start a new one when it ends."""
    loop = asyncio.get_running_loop()
    while True:
        request = pb.GenerateRequest(
            model=fleet.MODEL,
            prompt=f"[{number}] {SHORT_PROMPT}",
            max_output_tokens=600,
            time_limit_ms=120_000,
        )
        last_s = 0.0
        try:
            async for tokens in generate(port, KEY, request):
                now_s = loop.time()
                count = len(tokens.texts)
                counter.tokens += count
                counter.frames += 1
                if last_s:
                    counter.gaps_s.append((now_s - last_s) / count)
                last_s = now_s
        except (OSError, StreamFailedError):
            counter.failures += 1
            await asyncio.sleep(0.2)


def measure_latency(span_s: float, first_port: int) -> dict[str, Any]:
    """Return the time to first token through the system and at a bare engine."""
    layout = _layout(2, FAST_ENGINE, first_port)
    with tempfile.TemporaryDirectory() as name:
        directory = Path(name)
        pids = {key: item.pid for key, item in fleet.start(layout, directory).items()}
        bare = fleet.start_bare_engine(layout, directory)
        try:
            fleet.publish(layout)
            return asyncio.run(_measure_first_token(layout, pids, bare.url, span_s))
        finally:
            bare.process.terminate()
            bare.process.wait()
            fleet.stop(directory, timeout_s=30.0)


async def _measure_first_token(
    layout: fleet.Layout, pids: dict[str, int], bare_url: str, span_s: float
) -> dict[str, Any]:
    port = layout.entry_ports[0]
    direct = _DirectEngine(HttpEngine(url=bare_url, threads=32))
    await direct.start()
    senders = {"direct": direct.first_token, "system": lambda n: _first_token(port, n)}
    latencies_s: dict[str, list[float]] = {name: [] for name in senders}
    for sender in senders.values():
        await _send_open_loop(sender, 1.0)
    for _ in range(LATENCY_ROUNDS):
        for name, sender in senders.items():
            latencies_s[name] += await _send_open_loop(sender, span_s / 2)
    await direct.close()
    p95 = {name: 1000 * _quantile(sorted(values), 0.95) for name, values in latencies_s.items()}
    p50 = {name: 1000 * _quantile(sorted(values), 0.50) for name, values in latencies_s.items()}
    return {
        "requests_per_s": REQUESTS_PER_S,
        "requests": {name: len(values) for name, values in latencies_s.items()},
        "first_token_p50_ms": {name: round(value, 2) for name, value in p50.items()},
        "first_token_p95_ms": {name: round(value, 2) for name, value in p95.items()},
        "added_p50_ms": round(p50["system"] - p50["direct"], 2),
        "added_p95_ms": round(p95["system"] - p95["direct"], 2),
    }


async def _send_open_loop(sender: Any, span_s: float) -> list[float]:
    """Send `REQUESTS_PER_S` requests without waiting for earlier ones; return their latencies."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    tasks = []
    for number in range(round(span_s * REQUESTS_PER_S)):
        await asyncio.sleep(started_s + number / REQUESTS_PER_S - loop.time())
        tasks.append(asyncio.create_task(sender(number)))
    return list(await asyncio.gather(*tasks))


async def _first_token(port: int, number: int) -> float:
    loop = asyncio.get_running_loop()
    request = pb.GenerateRequest(
        model=fleet.MODEL,
        prompt=f"[{number}/{loop.time()}] {SHORT_PROMPT}",
        max_output_tokens=SHORT_OUTPUT_TOKENS,
        time_limit_ms=10_000,
    )
    started_s = loop.time()
    first_s = 0.0
    async for _ in generate(port, KEY, request):
        first_s = first_s or loop.time() - started_s
    return first_s


class _DirectEngine:
    def __init__(self, engine: HttpEngine) -> None:
        self._engine = engine
        self._waiting: dict[str, asyncio.Future[float]] = {}

    async def start(self) -> None:
        await self._engine.order(EngineOrder(models=(MODEL_REF,), role="mixed", fence=1))
        self._reader = asyncio.create_task(self._read())
        await asyncio.sleep(1.0)

    async def close(self) -> None:
        self._reader.cancel()
        await self._engine.close()

    async def first_token(self, number: int) -> float:
        loop = asyncio.get_running_loop()
        stream_id = f"bench/{number}-{loop.time()}"
        spec = StreamSpec(
            stream_id=stream_id,
            model=MODEL_REF,
            prompt=f"[{number}/{loop.time()}] {SHORT_PROMPT}",
            prompt_tokens=SHORT_PROMPT_TOKENS,
            max_output_tokens=SHORT_OUTPUT_TOKENS,
        )
        first = self._waiting[stream_id] = loop.create_future()
        started_s = loop.time()
        await self._engine.submit(spec)
        received_s = await first
        del self._waiting[stream_id]
        return received_s - started_s

    async def _read(self) -> None:
        loop = asyncio.get_running_loop()
        async for step in self._engine.outputs():
            for output in step:
                waiting = self._waiting.get(output.stream_id)
                if waiting is not None and not waiting.done() and output.texts:
                    waiting.set_result(loop.time())


def _layout(engines: int, model: dict[str, float], first_port: int) -> fleet.Layout:
    layout = fleet.plan(
        entries=1,
        engines=engines,
        services=0,
        data_centres=("hall-a",),
        first_port=first_port,
        engine_model=model | {"kv_capacity_tokens": 4_000_000},
    )
    return replace(layout, workspaces=1)


def _cpu_s(before: dict[str, ProcessReading], after: dict[str, ProcessReading], role: str) -> float:
    return sum(after[n].cpu_s - before[n].cpu_s for n in before if _role(n) == role)


def _role(name: str) -> str:
    if name.startswith("entry"):
        return "entry"
    if name.endswith("-target"):
        return "engine"
    return "sidecar" if name.startswith("engine") else "platform"


def _own_cpu_s() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def _quantile(ordered: list[float], share: float) -> float:
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


if __name__ == "__main__":
    app()
