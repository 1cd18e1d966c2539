"""Injects faults into real processes under load and checks the system's invariants."""

import asyncio
import json
import tempfile
from collections import Counter, defaultdict
from pathlib import Path
from typing import Annotated, Any

import typer

from bench import fleet
from bench.chaos_callers import TIME_LIMIT_S, Callers, Kind, Outcome
from bench.chaos_faults import PHASES, Phase
from bench.chaos_fleet import ChaosFleet, copy_logs, make_layout

RESULTS = Path(__file__).parent / "results" / "chaos.json"
RUN_LIMIT_S = 175.0
FAULT_DELAY_S = 1.5
READY_LIMIT_S = 20.0
MEMORY_LIMIT_S = 15.0
POLL_S = 0.25
SERVICE_DELAY_S = 0.2
SHOWN_VIOLATIONS = 8


async def run(layout: fleet.Layout, directory: Path, phases: list[Phase], seed: int) -> Any:
    """Run the phases on a new fleet and return the figures."""
    chaos = ChaosFleet(layout=layout, directory=directory)
    callers = Callers(
        urls=[layout.entry_url(number) for number in range(len(layout.entry_ports))],
        key="workspace-0-key",
        model=fleet.MODEL,
        service=fleet.SERVICE,
        seed=seed,
    )
    figures = {}
    try:
        async with asyncio.timeout(RUN_LIMIT_S):
            await chaos.start()
            await chaos.set_service_delay(SERVICE_DELAY_S)
            for phase in phases:
                figures[phase.name] = await _run_phase(chaos, callers, phase)
                typer.echo(f"{phase.name}: {_summary(figures[phase.name])}")
    except TimeoutError:
        typer.echo(f"the run was stopped after its limit of {RUN_LIMIT_S:g} s")
    finally:
        await chaos.close()
    codes = {name: code for name, code in chaos.exit_codes.items() if code != 0}
    violations = sum(phase["violation_count"] for phase in figures.values())
    return {
        "seed": seed,
        "phases_run": len(figures),
        "phases_planned": len(phases),
        "bad_exit_codes": codes,
        "ok": not violations and not codes and len(figures) == len(phases),
        "phases": figures,
    }


async def _run_phase(chaos: ChaosFleet, callers: Callers, phase: Phase) -> dict[str, Any]:
    loop = asyncio.get_running_loop()
    outcomes: list[Outcome] = []
    load = asyncio.ensure_future(callers.run(phase.name, phase.load_s, outcomes))
    await asyncio.sleep(FAULT_DELAY_S)
    prompts = [outcome.prompt for outcome in outcomes if outcome.kind is not Kind.ORDER]
    await phase.inject(chaos, callers, prompts)
    await load
    ended_s = loop.time()
    memory_s = await _wait_until(_is_memory_free, chaos, MEMORY_LIMIT_S)
    violations = await _violations(chaos, phase, outcomes)
    if memory_s is None:
        violations.append(f"engines still hold {await chaos.kv_tokens()} tokens")
    if await _wait_until(ChaosFleet.is_ready, chaos, READY_LIMIT_S) is None:
        violations.append("an entry does not reach every target after the phase")
    callers.available_entries = list(range(len(chaos.layout.entry_ports)))
    return _figures(outcomes, violations) | {
        "memory_empty_after_s": None if memory_s is None else round(memory_s, 2),
        "ready_after_s": round(loop.time() - ended_s, 2),
    }


async def _is_memory_free(chaos: ChaosFleet) -> bool:
    return await chaos.kv_tokens() == 0


async def _wait_until(condition, chaos: ChaosFleet, limit_s: float) -> float | None:
    """Wait for a condition; return the seconds it took, None if `limit_s` passed first."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    while loop.time() < started_s + limit_s:
        if await condition(chaos):
            return loop.time() - started_s
        await asyncio.sleep(POLL_S)
    return None


async def _violations(chaos: ChaosFleet, phase: Phase, outcomes: list[Outcome]) -> list[str]:
    found = []
    by_key: dict[str, list[Outcome]] = defaultdict(list)
    for outcome in outcomes:
        by_key[outcome.key].append(outcome)
        found.extend(f"{outcome.key}: {text}" for text in _outcome_violations(phase, outcome))
    for key, group in by_key.items():
        count = await chaos.executions(group[0].prompt, is_call=group[0].kind is Kind.ORDER)
        found.extend(f"{key}: {text}" for text in _execution_violations(group, count))
    return found


def _outcome_violations(phase: Phase, outcome: Outcome) -> list[str]:
    found = []
    if outcome.late:
        found.append(f"ended after {outcome.took_s:.1f} s, time limit {TIME_LIMIT_S:g} s")
    if outcome.wrong:
        found.append("received tokens that differ from the expected output")
    if not outcome.whole and not outcome.failure:
        found.append("ended with neither a complete response nor a failure")
    if outcome.kind in phase.whole and not outcome.whole:
        found.append(
            f"incomplete response: {outcome.failure} {outcome.run_state} {outcome.message}"
        )
    return found


def _execution_violations(group: list[Outcome], executions: int) -> list[str]:
    """Compare the outcomes that callers saw with the executions that the targets counted."""
    found = []
    if all(outcome.run_state == "NOT_RUN" for outcome in group) and executions:
        found.append(f"reported NOT_RUN, but was executed {executions} times")
    if group[0].kind in (Kind.VERDICT, Kind.ORDER) and executions > 1:
        found.append(f"not repeatable, but was executed {executions} times")
    if any(outcome.whole for outcome in group) and not executions:
        found.append("complete response, but was never executed")
    return found


def _figures(outcomes: list[Outcome], violations: list[str]) -> dict[str, Any]:
    kinds = {}
    for kind in Kind:
        group = [outcome for outcome in outcomes if outcome.kind is kind]
        failures = Counter(f"{o.failure} {o.run_state}" for o in group if not o.whole)
        kinds[kind.name.lower()] = {
            "sent": len(group),
            "whole": sum(outcome.whole for outcome in group),
            "went_on_through_another_entry": sum(outcome.resumed > 0 for outcome in group),
            "failures": dict(sorted(failures.items())),
            "longest_s": round(max((o.took_s for o in group), default=0.0), 2),
        }
    return {
        "requests": kinds,
        "violation_count": len(violations),
        "violations": violations[:SHOWN_VIOLATIONS],
    }


def _summary(figures: dict[str, Any]) -> str:
    kinds = figures["requests"].items()
    parts = [f"{name} {row['whole']}/{row['sent']}" for name, row in kinds]
    return f"{', '.join(parts)} whole; {figures['violation_count']} violations"


def main(
    first_port: Annotated[int, typer.Option(help="First of 300 ports.")] = 24000,
    seed: Annotated[int, typer.Option(help="Seed of the load.")] = 1,
    only: Annotated[
        str, typer.Option(help="Run only the phases whose name contains this text.")
    ] = "",
    logs: Annotated[
        Path | None, typer.Option(help="Directory to which the logs of all processes are copied.")
    ] = None,
    output: Annotated[Path, typer.Option(help="File for the figures.")] = RESULTS,
) -> None:
    """Inject every fault under load and write the figures as JSON."""
    phases = [phase for phase in PHASES if only in phase.name]
    with tempfile.TemporaryDirectory() as name:
        figures = asyncio.run(run(make_layout(first_port), Path(name), phases, seed))
        if logs is not None:
            copy_logs(Path(name), logs)
    output.parent.mkdir(exist_ok=True)
    output.write_text(json.dumps(figures, indent=1) + "\n")
    typer.echo(json.dumps(figures, indent=1))
    raise typer.Exit(0 if figures["ok"] else 1)


if __name__ == "__main__":
    typer.run(main)
