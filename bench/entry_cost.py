"""What the placement of a prompt costs an entry: processor time by prompt length and candidates.

Run as `python -m bench.entry_cost`. The targets have drawn loads; the shortest of several runs counts.
"""

import random
import time

from cicadatiller.placement import Candidate, Prompt, TargetLoad, Work, place_prompt
from cicadatiller.routes import EngineModel

CANDIDATES = (14, 54, 78)
PROMPT_TOKENS = (5_000, 45_000, 300_000)
PLACEMENTS = 30
RUNS = 7
NOW_S = 100.0
MODEL = EngineModel(
    slots=8,
    kv_capacity_tokens=400_000,
    step_s=0.001,
    step_per_sequence_s=1e-5,
    step_per_context_token_s=2.5e-9,
    prefill_tokens_per_s=250_000,
    prefill_pair_s=1e-10,
    steps_per_pass=50,
    mean_prompt_tokens=15_000,
    mean_output_tokens=1_500,
)


def draw_candidates(rng: random.Random, count: int) -> list[Candidate]:
    """Return targets with up to as many requests as they have slots."""
    return [
        Candidate(
            target_id=f"t-{number}",
            load=_draw_load(rng, f"t-{number}"),
            unknown_requests=rng.random(),
            preference=rng.random(),
        )
        for number in range(count)
    ]


def _draw_load(rng: random.Random, target_id: str) -> TargetLoad:
    load = TargetLoad()
    for number in range(rng.randint(0, MODEL.slots)):
        tokens = rng.choice(PROMPT_TOKENS[:2])
        load.add(
            Work(
                work_id=f"{target_id}-{number}",
                owner="front-0",
                target_id=target_id,
                read_s=tokens / MODEL.prefill_tokens_per_s,
                read_tokens=tokens,
                kv_tokens=tokens,
                context_tokens=tokens,
                max_gap_s=rng.choice((0.2, 0.5)),
                due_in_s=rng.choice((0.3, 1.5)),
                placed_s=NOW_S - rng.random(),
                has_begun=rng.random() < 0.6,
            )
        )
    return load


def placement_cost_s(candidates: int, prompt_tokens: int) -> float:
    """Return the processor time of one placement."""
    rng = random.Random(1)
    pools = [draw_candidates(rng, candidates) for _ in range(PLACEMENTS)]
    prompt = Prompt(
        tokens=prompt_tokens,
        output_tokens=1_500,
        due_in_s=1.0,
        max_gap_s=0.3,
        worth=1.0,
        latest_first_event_in_s=5.0,
    )
    shortest_s = float("inf")
    for _ in range(RUNS):
        began_s = time.process_time()
        for pool in pools:
            place_prompt(prompt, pool, MODEL, NOW_S)
        shortest_s = min(shortest_s, time.process_time() - began_s)
    return shortest_s / PLACEMENTS


def main() -> None:
    """Print the costs."""
    for candidates in CANDIDATES:
        for prompt_tokens in PROMPT_TOKENS:
            cost_ms = 1000 * placement_cost_s(candidates, prompt_tokens)
            print(f"{candidates:3} candidates, {prompt_tokens:7} tokens: {cost_ms:.2f} ms")


if __name__ == "__main__":
    main()
