"""Placement policies to compare with, and the measures of a simulation's result."""

import itertools

from cicadatiller.placement import Placement, place_prompt, read_s


def least_in_flight(prompt, candidates, model, now_s):
    """Place on the target with the fewest requests in flight; the baseline of the tests."""
    free = [c for c in candidates if c.load.in_flight < model.slots]
    fitting = [
        c
        for c in free
        if c.load.kv_tokens + prompt.tokens + prompt.output_tokens <= model.kv_capacity_tokens
    ]
    if not fitting:
        return None
    chosen = min(fitting, key=lambda c: c.load.in_flight)
    return Placement(
        host_id=chosen.target_id,
        host_kv_tokens=prompt.tokens + prompt.output_tokens,
        part_prefill_s=read_s(model, prompt.tokens),
    )


def round_robin():
    """Return a policy that places on the targets in turn, and waits while all are full."""
    turns = itertools.count()

    def place(prompt, candidates, model, now_s):
        first = next(turns)
        for number in range(len(candidates)):
            candidate = candidates[(first + number) % len(candidates)]
            placement = least_in_flight(prompt, [candidate], model, now_s)
            if placement is not None:
                return placement
        return None

    return place


def place_without_demand(prompt, candidates, model, now_s):
    """Place at once where the expected loss is least, without regard to expected demand."""
    return place_prompt(prompt, candidates, model, now_s)


def share_on_time(requests, kind_name):
    """Return the share of requests of one kind that were on time."""
    of_kind = [request for request in requests if request.kind.name == kind_name]
    if not of_kind:
        return 1.0
    return sum(request.on_time for request in of_kind) / len(of_kind)


def share_of_worth(requests):
    """Return the share of the total worth that was earned; a late response earns a quarter."""
    total_worth = sum(request.kind.worth for request in requests)
    earned = sum(
        request.kind.worth * (1.0 if request.on_time else 0.25 if request.ended_s else 0.0)
        for request in requests
    )
    return earned / total_worth
