"""Draws a plot and a table for each scenario from `bench/results/<scenario>.json`."""

import json
from pathlib import Path
from typing import Annotated, Any

import matplotlib
import typer

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

RESULTS = Path(__file__).parent / "results"
SCENARIOS = ("heladera", "umhlaba", "overload")
COLOURS = {"product": "#0a6e8a", "baseline": "#c9853c", "unchunked": "#8a8a8a"}
BAR_GROUP_WIDTH = 0.8


def draw(result: dict[str, Any], path: Path) -> None:
    """Draw the time to first token per bucket and phase, the product next to the baseline."""
    phases = list(next(iter(result["variants"].values())))
    figure, axes = pyplot.subplots(1, len(phases), figsize=(4.2 * len(phases), 3.4), sharey=True)
    for axis, phase in zip(axes, phases, strict=True):
        _draw_phase(axis, result, phase)
    axes[0].set_ylabel("time to first token, p95 (s)")
    axes[-1].legend(frameon=False)
    figure.suptitle(result["scenario"])
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})
    pyplot.close(figure)


def _draw_phase(axis: Any, result: dict[str, Any], phase: str) -> None:
    bar_width = BAR_GROUP_WIDTH / len(result["variants"])
    for place, (variant, phases) in enumerate(result["variants"].items()):
        buckets = {k: b for k, b in phases[phase]["buckets"].items() if k != "call"}
        positions = [index + place * bar_width for index in range(len(buckets))]
        heights = [bucket["first_token"]["p95_ms"] / 1000 for bucket in buckets.values()]
        axis.bar(positions, heights, bar_width, label=variant, color=COLOURS.get(variant))
        axis.set_xticks(range(len(buckets)), list(buckets))
    axis.set_yscale("log")
    axis.set_title(phase)


def table(result: dict[str, Any]) -> str:
    """Return the figures of a scenario as a Markdown table."""
    lines = [
        "| variant | phase | bucket | sent | whole | failed | TTFT p50 ms | p95 ms | p99 ms | "
        "gap p95 ms |",
        "|---|---|---|---|---|---|---|---|---|---|",
    ]
    for variant, phases in result["variants"].items():
        for phase, figures in phases.items():
            for name, bucket in figures["buckets"].items():
                lines.append(_row(variant, phase, name, bucket))
    return "\n".join(lines) + "\n"


def _row(variant: str, phase: str, name: str, bucket: dict[str, Any]) -> str:
    first = bucket["first_token"]
    failed = sum(bucket["failures"].values())
    figures = (first["p50_ms"], first["p95_ms"], first["p99_ms"], bucket["token_gap"]["p95_ms"])
    # A call to a plain service has no tokens.
    shown = " | ".join(f"{figure:.0f}" if first["count"] else "" for figure in figures)
    counts = f"{bucket['sent']} | {bucket['whole']} | {failed}"
    return f"| {variant} | {phase} | {name} | {counts} | {shown} |"


def main(
    directory: Annotated[Path, typer.Argument(help="Directory of the results.")] = RESULTS,
) -> None:
    """Write `<scenario>.svg` and `<scenario>.md` next to each result."""
    for name in SCENARIOS:
        source = directory / f"{name}.json"
        if not source.exists():
            typer.echo(f"{source.name} is missing; run: python -m bench.run {name}")
            continue
        result = json.loads(source.read_text())
        draw(result, directory / f"{name}.svg")
        (directory / f"{name}.md").write_text(f"# {name}\n\n{table(result)}")


if __name__ == "__main__":
    typer.run(main)
