"""The plan of a load run: all requests with their intended starts.

The plan depends on the mix and its seed only, so that a run can be repeated.
"""

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass

from ..kernel import CHARACTERS_PER_TOKEN
from ._mix import LengthBand, Mix, WorkspaceShare

FILLER = "all work and no melt "


@dataclass(frozen=True, kw_only=True)
class PlannedRequest:
    """One request of the plan.

    Attributes:
        number: The sequence number in the plan, from 0.
        at_s: The intended start, in seconds from the start of the run.
        workspace: The workspace that sends it.
        entry: The base URL of the entry.
        prompt_tokens: The length of the prompt; zero for a call.
        output_tokens: The length of the output.
        time_limit_s: The time limit.
        prefix_tokens: The part of the prompt that is the workspace's shared prefix.
        is_call: Whether it is a call to the plain service.
        measured: Whether it counts in the report; false during the warm-up.
    """

    number: int
    at_s: float
    workspace: WorkspaceShare
    entry: str
    prompt_tokens: int
    output_tokens: int
    time_limit_s: float
    prefix_tokens: int
    is_call: bool
    measured: bool


def plan_requests(mix: Mix) -> Iterator[PlannedRequest]:
    """Yield the requests of a mix in order of their intended start."""
    rng = random.Random(mix.seed)
    at_s = 0.0
    number = 0
    while True:
        at_s += _gap_s(mix, rng)
        if at_s >= mix.duration_s:
            return
        request = _plan_request(mix, rng, number, at_s)
        number += 1
        if not mix.longest_prompt_tokens or request.prompt_tokens <= mix.longest_prompt_tokens:
            yield request


def make_prompt(request: PlannedRequest, seed: int) -> str:
    """Return the prompt of a planned request, unique apart from the shared prefix."""
    size = request.prompt_tokens * CHARACTERS_PER_TOKEN
    prefix_size = request.prefix_tokens * CHARACTERS_PER_TOKEN
    prefix = _fill(f"[{request.workspace.name}] ", prefix_size) if prefix_size else ""
    return prefix + _fill(f"[{seed}/{request.number}] ", size - len(prefix))


def make_payload(request: PlannedRequest, seed: int) -> bytes:
    """Return the payload of a planned call, unique within the run."""
    return f"order {seed}/{request.number}".encode()


def _gap_s(mix: Mix, rng: random.Random) -> float:
    if mix.arrivals == "constant":
        return 1 / mix.requests_per_s
    return rng.expovariate(mix.requests_per_s)


def _plan_request(mix: Mix, rng: random.Random, number: int, at_s: float) -> PlannedRequest:
    workspace = rng.choices(mix.workspaces, [w.weight for w in mix.workspaces])[0]
    band = rng.choices(mix.lengths, [b.weight for b in mix.lengths])[0]
    prompt_tokens = _log_uniform(rng, band)
    output_tokens = rng.randint(band.min_output_tokens, band.max_output_tokens)
    is_call = rng.random() < mix.call_share
    shares_prefix = rng.random() < mix.shared_prefix_share
    return PlannedRequest(
        number=number,
        at_s=at_s,
        workspace=workspace,
        entry=mix.entries[number % len(mix.entries)],
        prompt_tokens=0 if is_call else prompt_tokens,
        output_tokens=output_tokens,
        time_limit_s=band.time_limit_s,
        prefix_tokens=min(mix.shared_prefix_tokens, prompt_tokens // 2) if shares_prefix else 0,
        is_call=is_call,
        measured=at_s >= mix.warm_up_s,
    )


def _log_uniform(rng: random.Random, band: LengthBand) -> int:
    return round(math.exp(rng.uniform(math.log(band.min_tokens), math.log(band.max_tokens))))


def _fill(start: str, size: int) -> str:
    missing = size - len(start)
    if missing <= 0:
        return start[:size]
    return start + (FILLER * (missing // len(FILLER) + 1))[:missing]
