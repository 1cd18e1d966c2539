"""Command line of the soak."""

import asyncio
import sys
from pathlib import Path
from typing import Annotated

import typer

from bench.soak.play import Verdict, play
from bench.soak.regressions import load_regressions
from bench.soak.schedule import FaultKind, Schedule, draw, load, save
from bench.soak.shrink import shrink

REPOSITORY = Path(__file__).parents[2]
SHOWN_VIOLATIONS = 8
SHRUNK_FILE = "shrunk.json"
# As a shell reports SIGTERM.
EXIT_TERMINATED = 143

Directory = Annotated[Path, typer.Option(help="where logs, schedules and verdicts are written")]
Source = Annotated[Path, typer.Option(help="the directory of the programs' source")]
MaxShrinks = Annotated[int, typer.Option(help="runs to spend on shrinking a failure; 0 for none")]

application = typer.Typer(help=__doc__, no_args_is_help=True)


@application.command()
def run(
    seed: Annotated[int, typer.Option(help="the first seed")] = 1,
    count: Annotated[int, typer.Option(help="number of seeds")] = 1,
    entries: Annotated[int | None, typer.Option(help="number of entries; else drawn")] = None,
    load_s: Annotated[float | None, typer.Option(help="duration; else drawn")] = None,
    older_copies: Annotated[
        bool, typer.Option(help="let the store come back from an older copy, too")
    ] = False,
    only: Annotated[list[FaultKind] | None, typer.Option(help="draw only these faults")] = None,
    directory: Directory = REPOSITORY / "run" / "soak",
    source: Source = REPOSITORY / "src",
    max_shrinks: MaxShrinks = 0,
) -> None:
    """Play seeds one after another."""
    kinds = frozenset(only or FaultKind) if only or older_copies else None
    failed = []
    for number in range(seed, seed + count):
        schedule = draw(number, entries=entries, load_s=load_s, kinds=kinds)
        verdict = _play(schedule, directory / f"seed-{number}", source)
        if verdict.violations:
            failed.append(number)
            _shrink(schedule, verdict, directory / f"seed-{number}", source, max_shrinks)
    typer.echo(f"{count - len(failed)} of {count} seeds passed; failed: {failed or 'none'}")
    sys.exit(bool(failed))


@application.command()
def replay(
    path: Annotated[Path, typer.Argument(help="a file that a run wrote")],
    directory: Directory = REPOSITORY / "run" / "soak" / "replay",
    source: Source = REPOSITORY / "src",
    max_shrinks: MaxShrinks = 0,
) -> None:
    """Play a schedule from a file."""
    schedule = load(path)
    verdict = _play(schedule, directory, source)
    if verdict.violations:
        _shrink(schedule, verdict, directory, source, max_shrinks)
    sys.exit(bool(verdict.violations))


@application.command()
def regressions(
    directory: Directory = REPOSITORY / "run" / "soak" / "regressions",
    source: Source = REPOSITORY / "src",
) -> None:
    """Play each seed that ever failed."""
    failed = []
    for case in load_regressions():
        verdict = _play(case.schedule, directory / f"seed-{case.seed}", source)
        if verdict.violations:
            failed.append(case.seed)
            typer.echo(f"seed {case.seed} failed; it was known for {case.rule}: {case.cause}")
    sys.exit(bool(failed))


def _play(schedule: Schedule, directory: Path, source: Path) -> Verdict:
    try:
        verdict = asyncio.run(play(schedule, directory=directory, source=source))
    except asyncio.CancelledError:
        typer.echo(f"seed {schedule.seed}: ended by SIGTERM")
        raise typer.Exit(EXIT_TERMINATED) from None
    typer.echo(
        f"seed {schedule.seed}: {len(schedule.faults)} faults, {verdict.served} of "
        f"{verdict.attempts} requests served, longest lag {verdict.longest_lag_s:.2f} s, "
        f"most memory {verdict.resident_bytes / 2**20:.0f} MB, "
        f"broken: {', '.join(verdict.rules) or 'nothing'}"
    )
    for violation in verdict.violations[:SHOWN_VIOLATIONS]:
        typer.echo(f"  {violation.rule}: {violation.text}")
    if verdict.violations:
        typer.echo(f"  schedule, faults and logs: {directory}")
    return verdict


def _shrink(
    schedule: Schedule, verdict: Verdict, directory: Path, source: Path, max_runs: int
) -> None:
    if not max_runs:
        return
    rules = set(verdict.rules)

    async def fails(candidate: Schedule) -> bool:
        tried = await play(candidate, directory=directory / "shrink", source=source)
        typer.echo(f"  {len(candidate.faults)} faults: {', '.join(tried.rules) or 'nothing'}")
        return bool(rules & set(tried.rules))

    smallest = asyncio.run(shrink(schedule, fails, max_runs))
    save(smallest, directory / SHRUNK_FILE)
    typer.echo(f"  smallest schedule that failed: {directory / SHRUNK_FILE}")
    for fault in smallest.faults:
        typer.echo(f"    {fault}")


if __name__ == "__main__":
    application()
