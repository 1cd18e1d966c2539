"""Runs scenarios on fleets of real processes and writes `bench/results/<scenario>.json`."""

import asyncio
import json
import tempfile
import time
import urllib.request
from dataclasses import asdict, replace
from pathlib import Path
from typing import Annotated, Any

import typer

from bench import fleet
from bench.measure import read_processes, usage_between
from bench.scenario import ENGINE_MODEL, Phase, Scenario, Variant, load_scenario
from cicadatiller.load import LoadDriver, make_payload, plan_requests
from cicadatiller.load import to_json as load_report
from cicadatiller.rpc._generated.cicadatiller.v1 import operators_pb
from cicadatiller.rpc._generated.cicadatiller.v1.operators_connect import OperatorServiceClientSync

RESULTS = Path(__file__).parent / "results"
SCENARIOS = Path(__file__).parent / "scenarios"
IDLE_SPAN_S = 10.0
SETTLE_S = 8.0
STOP_TIMEOUT_S = 60.0
POLICY_SETTLE_S = 3.0

app = typer.Typer(help="Runs scenarios of the bench.")


@app.command()
def run(
    names: Annotated[list[str], typer.Argument(help="Scenarios; their files are in scenarios/.")],
    variants: Annotated[str, typer.Option(help="Run only these variants (comma-separated).")] = "",
    duration_s: Annotated[
        float, typer.Option(help="Length of each phase; zero for that of the scenario.")
    ] = 0.0,
    output: Annotated[Path, typer.Option(help="Directory for the results.")] = RESULTS,
) -> None:
    """Run scenarios and write their results."""
    for name in names:
        scenario = load_scenario(SCENARIOS / f"{name}.yaml")
        result = run_scenario(scenario, variants.split(",") if variants else [], duration_s)
        output.mkdir(exist_ok=True)
        path = output / f"{name}.json"
        path.write_text(json.dumps(result, indent=1) + "\n")
        typer.echo(f"wrote {path.name}")


def run_scenario(scenario: Scenario, only: list[str], duration_s: float) -> dict[str, Any]:
    """Start a fleet, run every variant and phase on it, and stop it."""
    layout = fleet.plan(
        entries=scenario.entries,
        engines=scenario.engines,
        services=scenario.services,
        data_centres=scenario.data_centres,
        workspaces=scenario.workspaces,
        engine_model=asdict(ENGINE_MODEL),
        one_way_s=scenario.one_way_s,
    )
    with tempfile.TemporaryDirectory() as name:
        directory = Path(name)
        processes = fleet.start(layout, directory)
        pids = {name: process.pid for name, process in processes.items()}
        try:
            fleet.publish(layout)
            idle = measure_idle(pids)
            chosen = {k: v for k, v in scenario.variants.items() if not only or k in only}
            results = {
                key: run_variant(scenario, layout, pids, variant, duration_s)
                for key, variant in chosen.items()
            }
        finally:
            fleet.stop(directory, timeout_s=STOP_TIMEOUT_S)
    return {
        "scenario": scenario.name,
        "capacity_per_s": scenario.capacity_per_s(),
        "idle": idle,
        "variants": results,
    }


def run_variant(
    scenario: Scenario,
    layout: fleet.Layout,
    pids: dict[str, int],
    variant: Variant,
    duration_s: float,
) -> dict[str, Any]:
    """Apply the policies of a variant and run its phases."""
    apply_policy(layout, variant)
    results = {}
    for phase in scenario.phases:
        results[phase.name] = run_phase(scenario, layout, pids, phase, duration_s)
    return results


def run_phase(
    scenario: Scenario,
    layout: fleet.Layout,
    pids: dict[str, int],
    phase: Phase,
    duration_s: float,
) -> dict[str, Any]:
    """Run the load of one phase and measure the resource use of the fleet."""
    urls = tuple(layout.entry_url(number) for number in range(len(layout.entry_ports)))
    mix = scenario.make_mix(phase, urls, fleet.MODEL, fleet.SERVICE)
    mix = replace(mix, duration_s=duration_s or mix.duration_s)
    before, started_s = read_processes(pids), time.monotonic()
    executions_before = count_executions(layout, mix)
    result = asyncio.run(LoadDriver(mix).run())
    span_s = time.monotonic() - started_s
    after = read_processes(pids)
    time.sleep(SETTLE_S)
    report = load_report(result, duration_s=mix.duration_s - mix.warm_up_s)
    return report | {
        "requests_per_s": mix.requests_per_s,
        "usage": usage_by_role(before, after, span_s),
        "kv_tokens_left": kv_tokens_left(layout),
        "calls_executed_twice": count_repeated_executions(layout, mix, executions_before),
    }


def usage_by_role(before: Any, after: Any, span_s: float) -> dict[str, Any]:
    """Return the resource use of entries, sidecars and stand-ins."""
    roles = {
        "entry": [name for name in before if name.startswith("entry")],
        "sidecar": [n for n in before if n[:6] in ("engine", "servic") and "target" not in n],
        "standin": [n for n in before if "target" in n],
    }
    return {
        role: asdict(usage_between(before, after, names, span_s)) for role, names in roles.items()
    }


def measure_idle(pids: dict[str, int]) -> dict[str, Any]:
    """Return the resource use of the idle fleet."""
    time.sleep(SETTLE_S)
    before, started_s = read_processes(pids), time.monotonic()
    time.sleep(IDLE_SPAN_S)
    span_s = time.monotonic() - started_s
    return {"usage": usage_by_role(before, read_processes(pids), span_s)}


def apply_policy(layout: fleet.Layout, variant: Variant) -> None:
    """Apply the policies of a variant through the operator RPC.

    Raises:
        RuntimeError: If the change is rejected.
    """
    change = operators_pb.ObjectChange(
        kind="deployment",
        name=fleet.DEPLOYMENT,
        body_json=json.dumps({"policy": asdict(variant)}),
    )
    request = operators_pb.ApplyRequest(
        change_id=f"policy-{time.monotonic_ns()}", reason="bench", changes=[change]
    )
    client = OperatorServiceClientSync(layout.entry_url(0))
    reply = client.apply(request, headers={"authorization": f"Bearer {fleet.OPERATOR_KEY}"})
    if reply.verdict != operators_pb.Verdict.ACCEPTED:
        raise RuntimeError(f"the policy was rejected: {reply.message}")
    time.sleep(POLICY_SETTLE_S)


def kv_tokens_left(layout: fleet.Layout) -> int:
    """Return the KV memory still in use on all engines, in tokens."""
    left = 0
    for port in layout.engine_ports:
        left += sum(row["kv_tokens"] for row in _post(port, "/list_streams", {}))
        left += sum(row["kv_tokens"] for row in _post(port, "/list_exports", {}))
    return left


def count_executions(layout: fleet.Layout, mix: Any) -> dict[bytes, int]:
    """Return how often the services executed each planned call, by payload."""
    payloads = [make_payload(r, mix.seed) for r in plan_requests(mix) if r.is_call]
    return {
        payload: sum(_post_bytes(port, "/executions", payload) for port in layout.service_ports)
        for payload in payloads
    }


def count_repeated_executions(layout: fleet.Layout, mix: Any, before: dict[bytes, int]) -> int:
    """Return the number of calls that were executed more than once in the phase."""
    after = count_executions(layout, mix)
    return sum(1 for payload, count in after.items() if count - before[payload] > 1)


def _post(port: int, path: str, fields: dict[str, Any]) -> Any:
    return _post_bytes(port, path, json.dumps(fields).encode())


def _post_bytes(port: int, path: str, body: bytes) -> Any:
    request = urllib.request.Request(f"http://127.0.0.1:{port}{path}", data=body, method="POST")
    with urllib.request.urlopen(request, timeout=10.0) as response:
        return json.loads(response.read())


if __name__ == "__main__":
    app()
