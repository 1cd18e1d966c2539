"""Measures the resource use of idle nodes in small fleets of several sizes.

`python -m bench.slopes` writes `bench/results/slopes.json`; `bench.capacity` computes the slopes.
"""

import json
import tempfile
import time
from pathlib import Path
from typing import Annotated, Any

import typer

from bench import fleet
from bench.measure import read_processes
from bench.traffic import bytes_by_process, read_connections

RESULTS = Path(__file__).parent / "results" / "slopes.json"
# Entries, engines, workspaces.
SIZES = ((1, 4, 10), (1, 10, 10), (1, 20, 10), (4, 4, 10), (1, 4, 400))
SETTLE_S = 5.0
SPAN_S = 15.0
STOP_TIMEOUT_S = 30.0
MEBIBYTE = 1024 * 1024

app = typer.Typer(help="Measures the resource use of idle nodes.")


@app.command()
def run(
    first_port: Annotated[
        int, typer.Option(help="First port of the fleets; zero for free ports.")
    ] = 0,
    span_s: Annotated[float, typer.Option(help="Duration of each measurement.")] = SPAN_S,
    output: Annotated[Path, typer.Option(help="File for the result.")] = RESULTS,
) -> None:
    """Measure fleets of all sizes and write the result."""
    points = [measure(*size, first_port, span_s) for size in SIZES]
    result = {"command": "python -m bench.slopes", "span_s": span_s, "points": points}
    output.write_text(json.dumps(result, indent=1) + "\n")


def measure(
    entries: int, engines: int, workspaces: int, first_port: int, span_s: float
) -> dict[str, Any]:
    """Return the resource use of the entries and sidecars of one idle fleet."""
    layout = fleet.plan(
        entries=entries,
        engines=engines,
        services=0,
        data_centres=("hall-a", "hall-b"),
        workspaces=workspaces,
        first_port=first_port,
    )
    with tempfile.TemporaryDirectory() as name:
        directory = Path(name)
        pids = {key: item.pid for key, item in fleet.start(layout, directory).items()}
        try:
            fleet.publish(layout)
            time.sleep(SETTLE_S)
            roles = _measure_use(layout, pids, span_s)
        finally:
            fleet.stop(directory, timeout_s=STOP_TIMEOUT_S)
    return {"entries": entries, "sidecars": engines, "workspaces": workspaces} | roles


def _measure_use(layout: fleet.Layout, pids: dict[str, int], span_s: float) -> dict[str, Any]:
    before, sent_before = read_processes(pids), read_connections(set(pids.values()))
    started_s = time.monotonic()
    time.sleep(span_s)
    took_s = time.monotonic() - started_s
    sent, after = read_connections(set(pids.values())), read_processes(pids)
    # Traffic between a sidecar and its target is excluded: it is the target's protocol.
    traffic = bytes_by_process(sent_before, sent, set(layout.engine_ports))
    roles = {}
    for role, prefix in (("entry", "entry-"), ("sidecar", "engine-")):
        names = [n for n in pids if n.startswith(prefix) and not n.endswith("-target")]
        count = len(names)
        roles[role] = {
            "core_share": sum(after[n].cpu_s - before[n].cpu_s for n in names) / took_s / count,
            "rss_mib": max(after[n].rss_bytes for n in names) / MEBIBYTE,
            "bytes_per_s": sum(traffic.get(pids[n], 0) for n in names) / took_s / count,
        }
    return roles


if __name__ == "__main__":
    app()
