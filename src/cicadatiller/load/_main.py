"""Command line of `cicadatiller-load`."""

import asyncio
import json
from pathlib import Path
from typing import Annotated

import typer
from returns.result import Success

from ..settings import load_settings
from ._driver import LoadDriver
from ._mix import Mix
from ._report import to_json, to_text

EXIT_WRONG_ANSWER = 1
EXIT_USAGE = 2


def run_load(
    mix_path: Annotated[
        Path,
        typer.Argument(metavar="MIX.yaml", help="YAML file that describes the mix of requests."),
    ],
    json_path: Annotated[
        Path | None, typer.Option("--json", help="Write the report as JSON to this file.")
    ] = None,
) -> None:
    """Send a mix of requests to the entries and report latency and failures.

    Exits with 1 on a wrong response or a late failure, with 2 on an invalid mix.

    Example: cicadatiller-load mix.yaml --json report.json
    """
    loaded = load_settings(mix_path, Mix)
    if not isinstance(loaded, Success):
        for message in loaded.failure():
            typer.echo(message, err=True)
        raise typer.Exit(EXIT_USAGE)
    mix = loaded.unwrap()
    result = asyncio.run(LoadDriver(mix).run())
    typer.echo(to_text(result))
    if json_path is not None:
        report = to_json(result, duration_s=mix.duration_s - mix.warm_up_s)
        json_path.write_text(json.dumps(report, indent=1) + "\n", encoding="utf-8")
    if any(bucket.wrong or bucket.late_failures for bucket in result.buckets.values()):
        raise typer.Exit(EXIT_WRONG_ANSWER)


def main() -> None:
    """Run `cicadatiller-load`."""
    typer.run(run_load)
