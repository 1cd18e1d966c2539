"""Starts and stops a fleet of real processes on loopback, configured by YAML settings files.

The processes of the product never start others, so the bench has this tool for it.
"""

import json
import os
import signal
import socket
import subprocess
import time
import urllib.request
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Annotated

import typer
import yaml
from connectrpc.errors import ConnectError

from bench.layout import (
    DEPLOYMENT,
    HOST,
    MODEL,
    OPERATOR_KEY,
    SERVICE,
    VERSION,
    Layout,
    Program,
    engine_program,
    list_instances,
    plan,
    programs,
    url_of,
)
from cicadatiller.config import hash_key
from cicadatiller.rpc._generated.cicadatiller.v1 import operators_pb, serving_pb
from cicadatiller.rpc._generated.cicadatiller.v1.operators_connect import OperatorServiceClientSync
from cicadatiller.rpc._generated.cicadatiller.v1.serving_connect import ServingServiceClientSync

POLL_S = 0.05
PLATFORM_PROCESSES = 3
PLATFORM_TIMEOUT_S = 30.0
LAYOUT_FILE = "layout.json"
PIDS_FILE = "pids.json"


def _write_latency_table(layout: Layout, program: Program, directory: Path) -> Path:
    path = directory / f"{program.name}.latency.json"
    data_centres = {row["address"]: row["data_centre"] for row in list_instances(layout)}
    table = {
        "own": program.data_centre,
        "data_centres": data_centres,
        "one_way_s": layout.one_way_s,
    }
    path.write_text(json.dumps(table))
    return path


def start(layout: Layout, directory: Path) -> dict[str, subprocess.Popen[bytes]]:
    """Start every process, with its settings and its log in a directory."""
    directory.mkdir(parents=True, exist_ok=True)
    (directory / LAYOUT_FILE).write_text(json.dumps(asdict(layout), indent=1))
    processes: dict[str, subprocess.Popen[bytes]] = {}
    try:
        for program in programs(layout):
            if len(processes) == PLATFORM_PROCESSES:
                _wait_for_platform(layout)
            processes[program.name] = start_program(layout, program, directory)
    except BaseException:
        for process in processes.values():
            process.kill()
            process.wait()
        raise
    pids = {name: process.pid for name, process in processes.items()}
    (directory / PIDS_FILE).write_text(json.dumps(pids, indent=1))
    return processes


@dataclass(frozen=True, kw_only=True)
class BareEngine:
    """An engine without a sidecar, which the bench calls directly."""

    process: subprocess.Popen[bytes]
    url: str


def start_bare_engine(layout: Layout, directory: Path) -> BareEngine:
    """Start one more engine on the port after the layout's last; the caller must stop it."""
    port = layout.weights_port + 1
    process = start_program(
        layout, engine_program(layout, len(layout.engine_ports), port), directory
    )
    return BareEngine(process=process, url=url_of(port))


def start_program(layout: Layout, program: Program, directory: Path) -> subprocess.Popen[bytes]:
    """Write the settings of one process and start it with an empty log."""
    path = directory / f"{program.name}.yaml"
    path.write_text(yaml.safe_dump(program.settings))
    latency = _write_latency_table(layout, program, directory)
    with open(directory / f"{program.name}.log", "wb") as log:
        return subprocess.Popen(
            (*program.command, "--settings", str(path)),
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            env=os.environ | {"CICADATILLER_BENCH_LATENCY": str(latency)},
        )


def _wait_for_platform(layout: Layout) -> None:
    """Wait until the platform listens, which saves the other processes their first retry.

    They would start without it too.
    """
    for port in (layout.log_port, layout.instances_port, layout.weights_port):
        wait_until(
            lambda port=port: _is_open(port), timeout_s=PLATFORM_TIMEOUT_S, what="the platform"
        )


def _is_open(port: int) -> bool:
    try:
        socket.create_connection((HOST, port), timeout=1.0).close()
    except OSError:
        return False
    return True


def load_layout(directory: Path) -> Layout:
    """Return the layout of the fleet in a directory."""
    fields = json.loads((directory / LAYOUT_FILE).read_text())
    return Layout(**{k: tuple(v) if isinstance(v, list) else v for k, v in fields.items()})


def wait_until(condition, *, timeout_s: float, what: str) -> None:
    """Poll until a condition holds; raise TimeoutError after `timeout_s`."""
    end_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end_s:
            raise TimeoutError(f"timed out after {timeout_s:g} s waiting for {what}")
        time.sleep(POLL_S)


def is_healthy(url: str) -> bool:
    """Return whether the health check of an entry succeeds."""
    try:
        with urllib.request.urlopen(f"{url}/health", timeout=2.0) as response:
            return response.status == 200
    except OSError:
        return False


def publish(layout: Layout, *, timeout_s: float = 60.0) -> None:
    """Publish the deployment through the operator RPC and wait until all targets are ready."""
    for number in range(len(layout.entry_ports)):
        url = layout.entry_url(number)
        wait_until(lambda url=url: is_healthy(url), timeout_s=timeout_s, what=url)
    bodies = {
        ("deployment", DEPLOYMENT): {},
        ("model", MODEL): {"deployment": DEPLOYMENT, "version": VERSION},
        ("service", SERVICE): {"deployment": DEPLOYMENT},
    }
    for number in range(layout.workspaces):
        name = f"workspace-{number}"
        keys = {"deployment": DEPLOYMENT, "key_hashes": [hash_key(f"{name}-key")]}
        bodies["workspace", name] = keys | layout.workspace_options
    changes = [
        operators_pb.ObjectChange(kind=kind, name=name, body_json=json.dumps(body))
        for (kind, name), body in bodies.items()
    ]
    request = operators_pb.ApplyRequest(change_id="bench", reason="bench", changes=changes)
    client = OperatorServiceClientSync(layout.entry_url(0))
    reply = client.apply(request, headers={"authorization": f"Bearer {OPERATOR_KEY}"})
    if reply.verdict != operators_pb.Verdict.ACCEPTED:
        raise RuntimeError(f"the configuration was rejected: {reply.message}")
    for number in range(len(layout.entry_ports)):
        wait_until(
            lambda number=number: reaches_every_target(layout, number),
            timeout_s=timeout_s,
            what=f"entry {number} to reach every target",
        )


def reaches_every_target(layout: Layout, number: int) -> bool:
    operators = OperatorServiceClientSync(layout.entry_url(number))
    serving = ServingServiceClientSync(layout.entry_url(number))
    key = {"authorization": "Bearer workspace-0-key"}
    try:
        status = operators.status(
            operators_pb.StatusRequest(), headers={"authorization": f"Bearer {OPERATOR_KEY}"}
        )
        if layout.service_ports:
            serving.open_request(serving_pb.OpenRequestRequest(service=SERVICE), headers=key)
    except ConnectError:
        return False
    wanted = len(layout.engine_ports) + len(layout.service_ports)
    ready = [t for t in status.targets if t.reachable and (t.kind == "service" or t.loaded)]
    return len(ready) == wanted


def stop(directory: Path, *, timeout_s: float) -> None:
    """Send SIGTERM to every process of the fleet in a directory and wait until all have exited."""
    pids = json.loads((directory / PIDS_FILE).read_text())
    running = {
        name: pid for name, pid in pids.items() if _is_running(pid, directory / f"{name}.yaml")
    }
    for pid in running.values():
        os.kill(pid, signal.SIGTERM)
    wait_until(
        lambda: not any(
            _is_running(pid, directory / f"{name}.yaml") for name, pid in running.items()
        ),
        timeout_s=timeout_s,
        what="the processes to exit",
    )


def _is_running(pid: int, settings: Path) -> bool:
    try:
        command = Path(f"/proc/{pid}/cmdline").read_bytes().split(b"\0")
    except OSError:
        return False
    return str(settings).encode() in command


app = typer.Typer(help="Starts and stops a fleet of real processes on loopback.")


@app.command("start")
def start_command(
    directory: Annotated[
        Path, typer.Argument(help="Directory for settings, logs and process ids.")
    ],
    entries: int = 2,
    engines: int = 4,
    services: int = 1,
    data_centres: str = "hall-a,hall-b",
    workspaces: int = 10,
    kv_tokens: int = 400_000,
    first_port: int = 0,
) -> None:
    """Start a fleet in the background and publish its configuration."""
    layout = plan(
        entries=entries,
        engines=engines,
        services=services,
        data_centres=tuple(data_centres.split(",")),
        first_port=first_port,
        workspaces=workspaces,
        engine_model={"kv_capacity_tokens": kv_tokens},
    )
    directory = directory.resolve()
    processes = start(layout, directory)
    try:
        publish(layout)
    except BaseException:
        stop(directory, timeout_s=30.0)
        raise
    typer.echo(f"{len(processes)} processes; entries at:")
    for number in range(entries):
        typer.echo(layout.entry_url(number))


@app.command("stop")
def stop_command(directory: Path, timeout_s: float = 60.0) -> None:
    """Stop the fleet in a directory."""
    stop(directory.resolve(), timeout_s=timeout_s)


if __name__ == "__main__":
    app()
