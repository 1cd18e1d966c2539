"""Runs the scenarios in virtual time, to compare policies.

Run from the root of the repository: `python -m bench.policy_rounds heladera --seeds 3`. The
scenario's plan, fleet size and engine constants are those of `bench.run`, but all tasks share one
event loop with a virtual clock. The figures depend neither on the machine nor on its load, and do
not include CPU time of the product. Calls to services are omitted, as they use no engine.
"""

import asyncio
import json
import random
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass, fields, replace
from pathlib import Path
from typing import Annotated, Any
from unittest import mock

import typer

from bench.scenario import ENGINE_MODEL, Phase, Scenario, Variant, load_scenario
from cicadatiller.config import ChangeRecord, ObjectEdit
from cicadatiller.entry import AnswerTokens, WorkRequest
from cicadatiller.kernel import FailureError, RunState
from cicadatiller.load import Mix, PlannedRequest, RunResult, make_prompt, plan_requests, to_json
from tests.support import Fleet, PausedLoop
from tests.support.fleet import DEPLOYMENT, MODEL, SERVICE

SCENARIOS = Path(__file__).parent / "scenarios"
RESULTS = Path(__file__).parent / "results" / "policy_rounds.json"
POLICY_SETTLE_S = 2.0
MAX_RETRY_WAIT_S = 5.0
SCENARIO_NAMES = ("umhlaba", "heladera", "overload")
SHORT_BUCKET = "<=4k"
WITHOUT_LONG, WITH_LONG = "without-long", "with-long"


@dataclass(frozen=True, kw_only=True)
class Cell:
    """One run of a scenario: a variant, a phase and a seed."""

    scenario: Scenario
    variant: str
    phase: Phase
    seed: int

    def mix(self) -> Mix:
        """Return the mix of requests to send."""
        entries = tuple(str(number) for number in range(self.scenario.entries))
        return replace(self.scenario.make_mix(self.phase, entries, MODEL, SERVICE), seed=self.seed)


class Sender:
    """Sends planned requests in an open loop to a fleet in this process and measures them.

    Latencies are those that callers see.
    """

    def __init__(self, *, fleet: Fleet, mix: Mix) -> None:
        self._fleet = fleet
        self._mix = mix
        self._loop = asyncio.get_running_loop()
        self._started_s = self._loop.time()
        self.result = RunResult()

    async def run(self) -> None:
        """Send every request at its planned time and wait until all have ended."""
        async with asyncio.TaskGroup() as tasks:
            for request in plan_requests(self._mix):
                if request.is_call:
                    continue
                await asyncio.sleep(self._started_s + request.at_s - self._loop.time())
                tasks.create_task(self._send(request))

    async def _send(self, planned: PlannedRequest) -> None:
        result = self.result if planned.measured else RunResult()
        bucket = result.bucket(planned.prompt_tokens, is_call=False)
        bucket.sent += 1
        for attempt in range(self._mix.retries + 1):
            wait_s = await self._send_attempt(planned, bucket)
            if wait_s is None or attempt == self._mix.retries:
                return
            bucket.retried += 1
            await asyncio.sleep(min(wait_s, MAX_RETRY_WAIT_S))

    async def _send_attempt(self, planned: PlannedRequest, bucket: Any) -> float | None:
        """Send once; return the delay before a retry, or None for no retry."""
        sent_s = self._loop.time()
        answer = _ResponseTimer(bucket=bucket, intended_s=self._started_s + planned.at_s)
        try:
            await self._fleet.entries[int(planned.entry)].service.run(
                self._request(planned), answer.emit
            )
        except FailureError as error:
            reason = error.failure
            bucket.failures[f"{reason.kind.value} {reason.run_state.value}"] += 1
            if reason.run_state is not RunState.NOT_RUN:
                return None
            bucket.refusal.record(self._loop.time() - sent_s)
            return reason.retry_after_s or None
        bucket.whole += answer.tokens == planned.output_tokens
        bucket.wrong += answer.tokens != planned.output_tokens
        bucket.total.record(self._loop.time() - answer.intended_s)
        bucket.prompt_tokens = getattr(bucket, "prompt_tokens", 0) + planned.prompt_tokens
        return None

    def _request(self, planned: PlannedRequest) -> WorkRequest:
        return WorkRequest(
            workspace=planned.workspace.name,
            model=MODEL,
            prompt=make_prompt(planned, self._mix.seed),
            max_output_tokens=planned.output_tokens,
            time_limit_s=planned.time_limit_s,
        )


class _ResponseTimer:
    """Records the times at which the tokens of one response arrive."""

    def __init__(self, *, bucket: Any, intended_s: float) -> None:
        self._bucket = bucket
        self._last_s = 0.0
        self.intended_s = intended_s
        self.tokens = 0

    def emit(self, event: object) -> None:
        """Record one event of the response."""
        if not isinstance(event, AnswerTokens):
            return
        now_s = asyncio.get_running_loop().time()
        if self.tokens == 0:
            self._bucket.first_token.record(now_s - self.intended_s)
        else:
            for _ in event.texts:
                self._bucket.token_gap.record((now_s - self._last_s) / len(event.texts))
        self._last_s = now_s
        self.tokens += len(event.texts)


async def send_all(cell: Cell) -> RunResult:
    """Run one cell on a new fleet."""
    scenario = cell.scenario
    async with Fleet(
        engines=scenario.engines,
        entries=scenario.entries,
        services=0,
        model=ENGINE_MODEL,
        data_centres=scenario.data_centres,
        one_way_s=scenario.one_way_s,
    ) as fleet:
        await configure(fleet, scenario, scenario.variants[cell.variant])
        sender = Sender(fleet=fleet, mix=cell.mix())
        await sender.run()
    return sender.result


async def configure(fleet: Fleet, scenario: Scenario, variant: Variant) -> None:
    """Configure the variant's policies and the workspaces.

    Raises:
        RuntimeError: If the change is rejected.
    """
    bodies: dict[tuple[str, str], Any] = {("deployment", DEPLOYMENT): {"policy": asdict(variant)}}
    for number in range(scenario.workspaces):
        bodies["workspace", f"workspace-{number}"] = {
            "deployment": DEPLOYMENT,
            "requests_per_s": 10_000.0,
            "prompt_tokens_per_s": 100_000_000.0,
            "concurrent_requests": 10_000,
        }
    edits = tuple(
        ObjectEdit(kind=kind, name=name, body_json=json.dumps(body))
        for (kind, name), body in bodies.items()
    )
    change = ChangeRecord(change_id="bench", operator="bench", reason="bench", edits=edits)
    entry = await fleet.entries[0].operators.apply(change, timeout_s=10)
    if not entry.accepted:
        raise RuntimeError(entry.message)
    await asyncio.sleep(POLICY_SETTLE_S)


def run_cell(cell: Cell) -> dict[str, Any]:
    """Run one cell on a new loop with a virtual clock and seeded ids."""
    ids = random.Random(cell.seed)
    loop = PausedLoop()
    asyncio.set_event_loop(loop)
    try:
        with mock.patch("secrets.token_hex", lambda size: ids.randbytes(size).hex()):
            result = loop.run_until_complete(send_all(cell))
    finally:
        asyncio.set_event_loop(None)
        loop.close()
    mix = cell.mix()
    report = to_json(result, duration_s=mix.duration_s - mix.warm_up_s)["buckets"]
    for name, bucket in report.items():
        tokens = getattr(result.buckets[name], "prompt_tokens", 0)
        bucket["whole_prompt_tokens_per_s"] = tokens / (mix.duration_s - mix.warm_up_s)
    return {
        "scenario": cell.scenario.name,
        "variant": cell.variant,
        "phase": cell.phase.name,
        "seed": cell.seed,
        "requests_per_s": mix.requests_per_s,
        "buckets": report,
    }


def short_slowdowns(cells: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return the ratio of the TTFT p95 of short prompts with and without long prompts.

    There is one row for each variant and seed.
    """
    p95 = {
        (cell["variant"], cell["seed"], cell["phase"]): cell["buckets"][SHORT_BUCKET][
            "first_token"
        ]["p95_ms"]
        for cell in cells
    }
    return [
        {"variant": variant, "seed": seed, "slowdown": value / p95[variant, seed, WITHOUT_LONG]}
        for (variant, seed, phase), value in p95.items()
        if phase == WITH_LONG and (variant, seed, WITHOUT_LONG) in p95
    ]


def print_cell(cell: dict[str, Any]) -> None:
    """Print the figures of a cell, one line for each bucket."""
    head = f"{cell['phase']:>14} seed {cell['seed']} {cell['variant']:>9}"
    for name, bucket in cell["buckets"].items():
        first, gap = bucket["first_token"], bucket["token_gap"]
        typer.echo(
            f"{head} {name:>9} whole {bucket['whole']:>5}/{bucket['sent']:<5} ttft ms p50 "
            f"{first['p50_ms']:>8.0f} p95 {first['p95_ms']:>8.0f} p99 {first['p99_ms']:>8.0f} "
            f"in 0.55 s {bucket['first_token_share_within_limit']:.3f} gap p95 "
            f"{gap['p95_ms']:>5.0f} {bucket['failures'] or ''}"
        )


def override(scenario: Scenario, changes: list[str], duration_s: float) -> Scenario:
    """Return the scenario with other weights in its product variant, for experiments."""
    product = scenario.variants["product"]
    types = {field.name: type(getattr(product, field.name)) for field in fields(product)}
    for change in changes:
        name, _, value = change.partition("=")
        product = replace(product, **{name: types[name](value)})
    mix = replace(scenario.mix, duration_s=duration_s or scenario.mix.duration_s)
    variants = scenario.variants | {"product": product}
    return replace(scenario, variants=variants, mix=mix)


def main(
    names: Annotated[
        list[str], typer.Argument(help="Scenarios; their files are in scenarios/.")
    ] = SCENARIO_NAMES,  # type: ignore[assignment]
    seeds: Annotated[int, typer.Option(help="Number of seeds.")] = 3,
    variants: Annotated[str, typer.Option(help="Run only these variants (comma-separated).")] = "",
    phases: Annotated[str, typer.Option(help="Run only these phases (comma-separated).")] = "",
    weight: Annotated[
        list[str], typer.Option(help="Weight to change for an experiment, as name=value.")
    ] = [],  # noqa: B006
    duration_s: Annotated[
        float, typer.Option(help="Length of each phase; zero for that of the scenario.")
    ] = 0.0,
    processes: Annotated[int, typer.Option(help="Number of cells to run in parallel.")] = 4,
    output: Annotated[Path, typer.Option(help="File for the results.")] = RESULTS,
) -> None:
    """Run scenarios, print a table and write the results."""
    data: dict[str, Any] = {"command": f"python -m bench.policy_rounds {' '.join(names)}"}
    data |= {"seeds": seeds, "scenarios": {}}
    with ProcessPoolExecutor(max_workers=processes, max_tasks_per_child=1) as pool:
        for name in names:
            loaded = load_scenario(SCENARIOS / f"{name}.yaml")
            scenario = override(loaded, weight, duration_s)
            found = list(pool.map(run_cell, make_cells(scenario, seeds, variants, phases)))
            data["scenarios"][name] = {
                "variants": {key: asdict(value) for key, value in scenario.variants.items()},
                "short_slowdowns": short_slowdowns(found),
                "cells": found,
            }
            for cell in found:
                print_cell(cell)
            for row in data["scenarios"][name]["short_slowdowns"]:
                typer.echo(f"{row['variant']} seed {row['seed']} slowdown {row['slowdown']:.2f}")
            output.write_text(json.dumps(data, indent=1) + "\n", encoding="utf-8")


def make_cells(scenario: Scenario, seeds: int, variants: str, phases: str) -> list[Cell]:
    """Return the cells to run; without names, those of all variants and phases."""
    return [
        Cell(scenario=scenario, variant=variant, phase=phase, seed=seed)
        for variant in scenario.variants
        for phase in scenario.phases
        for seed in range(1, seeds + 1)
        if variant in (variants.split(",") if variants else scenario.variants)
        and (not phases or phase.name in phases.split(","))
    ]


if __name__ == "__main__":
    typer.run(main)
