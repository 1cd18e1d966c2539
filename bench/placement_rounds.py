"""Compares placement policies in a discrete-event simulation, without network or real time.

Run from the root of the repository: `python -m bench.placement_rounds`. It prints the share of the
total worth that was earned, by policy and load, as the mean over all seeds. A late response earns a
quarter of its worth.
"""

from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from typing import Annotated, Any

import typer

from cicadatiller.placement import place_prompt
from tests.support.placement_baselines import (
    least_in_flight,
    place_without_demand,
    round_robin,
    share_of_worth,
)
from tests.support.placement_simulation import PlacementSimulation
from tests.test_placement import HUGE, MIDDLE, SHORT, mostly_long, mostly_short

JOBS = 3
POLICIES: dict[str, Callable[[], Any]] = {
    "today's": lambda: place_prompt,
    "at least loss, nothing expected": lambda: place_without_demand,
    "least in flight": lambda: least_in_flight,
    "round robin": round_robin,
}
Phases = list[tuple[list[Any], float]]
# Number of engines, and phases of (kinds, seconds). The load is sized for 16 engines.
LOADS: dict[str, tuple[int, Phases]] = {
    "swings, 16 engines": (16, [(mostly_long(), 10.0), (mostly_short(), 10.0)]),
    "swings, 12": (12, [(mostly_long(), 10.0), (mostly_short(), 10.0)]),
    "swings, 10": (10, [(mostly_long(), 10.0), (mostly_short(), 10.0)]),
    "mostly short, 9": (9, [(mostly_short(), 12.0)]),
    "4 x short, 14": (
        14,
        [
            ([replace(SHORT, arrivals_per_s=4 * SHORT.arrivals_per_s), MIDDLE, HUGE], 10.0),
            ([SHORT, MIDDLE, HUGE], 6.0),
        ],
    ),
    "6 x huge, 14": (
        14,
        [
            ([SHORT, MIDDLE, replace(HUGE, arrivals_per_s=6 * HUGE.arrivals_per_s)], 10.0),
            ([SHORT, MIDDLE, HUGE], 6.0),
        ],
    ),
}


def simulate(run: tuple[str, str, int]) -> float:
    """Return the share of the total worth that a policy earns under a load with a seed."""
    policy, load, seed = run
    engines, phases = LOADS[load]
    return share_of_worth(
        PlacementSimulation(engines=engines, policy=POLICIES[policy](), seed=seed).run(phases)
    )


def main(seeds: Annotated[int, typer.Option(help="How many seeds.")] = 3) -> None:
    """Run all simulations and print the table."""
    runs = [
        (policy, load, seed)
        for policy in POLICIES
        for load in LOADS
        for seed in range(1, seeds + 1)
    ]
    with ProcessPoolExecutor(JOBS) as executor:
        earned = dict(zip(runs, executor.map(simulate, runs), strict=True))
    print("| load | " + " | ".join(POLICIES) + " |")
    print("| --- |" + " --- |" * len(POLICIES))
    for load in LOADS:
        means = [sum(earned[p, load, s + 1] for s in range(seeds)) / seeds for p in POLICIES]
        print(f"| {load} | " + " | ".join(f"{mean:.2f}" for mean in means) + " |")


if __name__ == "__main__":
    typer.run(main)
