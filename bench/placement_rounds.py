"""Compares policies of placing prompts in the load play, which needs neither network nor time.

Run from the root of the repository: `python -m bench.placement_rounds`. It prints a table of the
share of all worth that callers got, by policy and load, as the mean of some seeds; a late answer
counts a quarter.
"""

from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from typing import Annotated, Any

import typer

from cicadatiller.placement import place_prompt
from tests.support.engine_play import (
    LoadPlay,
    at_least_loss,
    least_in_flight,
    round_robin,
    share_of_worth,
)
from tests.test_placement import HUGE, MIDDLE, SHORT, mostly_long, mostly_short

JOBS = 3
POLICIES: dict[str, Callable[[], Any]] = {
    "today's": lambda: place_prompt,
    "at least loss, nothing expected": lambda: at_least_loss,
    "least in flight": lambda: least_in_flight,
    "round robin": round_robin,
}
Phases = list[tuple[list[Any], float]]
# Engines and phases; 16 engines are what the load was sized for.
LOADS: dict[str, tuple[int, Phases]] = {
    "swings, 16 engines": (16, [(mostly_long(), 10.0), (mostly_short(), 10.0)]),
    "swings, 12": (12, [(mostly_long(), 10.0), (mostly_short(), 10.0)]),
    "swings, 10": (10, [(mostly_long(), 10.0), (mostly_short(), 10.0)]),
    "mostly short, 9": (9, [(mostly_short(), 12.0)]),
    "4 x short, 14": (
        14,
        [
            ([replace(SHORT, per_s=4 * SHORT.per_s), MIDDLE, HUGE], 10.0),
            ([SHORT, MIDDLE, HUGE], 6.0),
        ],
    ),
    "6 x huge, 14": (
        14,
        [
            ([SHORT, MIDDLE, replace(HUGE, per_s=6 * HUGE.per_s)], 10.0),
            ([SHORT, MIDDLE, HUGE], 6.0),
        ],
    ),
}


def play(cell: tuple[str, str, int]) -> float:
    """Return the share of worth that one policy earns under one load with one seed."""
    policy, load, seed = cell
    engines, phases = LOADS[load]
    return share_of_worth(
        LoadPlay(engines=engines, policy=POLICIES[policy](), seed=seed).run(phases)
    )


def main(seeds: Annotated[int, typer.Option(help="How many seeds.")] = 3) -> None:
    """Print the table."""
    cells = [
        (policy, load, seed)
        for policy in POLICIES
        for load in LOADS
        for seed in range(1, seeds + 1)
    ]
    with ProcessPoolExecutor(JOBS) as executor:
        earned = dict(zip(cells, executor.map(play, cells), strict=True))
    print("| load | " + " | ".join(POLICIES) + " |")
    print("| --- |" + " --- |" * len(POLICIES))
    for load in LOADS:
        means = [sum(earned[p, load, s + 1] for s in range(seeds)) / seeds for p in POLICIES]
        print(f"| {load} | " + " | ".join(f"{mean:.2f}" for mean in means) + " |")


if __name__ == "__main__":
    typer.run(main)
