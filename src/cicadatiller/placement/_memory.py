"""How a prompt's KV cache is shared between the engines of its gang."""

import math

from ._candidate import CandidateView
from ._placement import ReservationShare
from ._prompt import Prompt

# A gang's host reserves its own part of the KV cache if that takes this share of its capacity.
RESERVED_KV_SHARE = 0.15


def fits_host(prompt: Prompt, view: CandidateView, size: int) -> bool:
    """Return whether a target has the memory to host a prompt in a gang of some size."""
    needed = prompt.tokens + prompt.output_tokens
    if size == 1:
        return view.free_kv_tokens >= needed
    return view.free_kv_tokens >= min(needed, prompt.output_tokens + prompt.tokens // size)


def reserve_at_host(
    prompt: Prompt, host: CandidateView, host_kv_tokens: int, size: int
) -> tuple[ReservationShare, ...]:
    """Return what to reserve at the host of a gang; empty if it needs little of its memory.

    Without a reservation, a prompt that another entry has just placed there would make this one
    wait in the host's queue until the memory is free again.
    """
    tokens = host_kv_tokens - prompt.output_tokens
    if size == 1 or tokens < RESERVED_KV_SHARE * host.model.kv_capacity_tokens:
        return ()
    return (ReservationShare(target_id=host.target_id, tokens=tokens),)


def share_memory(
    prompt: Prompt, host: CandidateView, helpers: list[CandidateView]
) -> tuple[int, tuple[ReservationShare, ...]] | None:
    """Return the KV cache tokens of the host and the helpers' shares; None if they don't fit."""
    needed = prompt.tokens + prompt.output_tokens
    if host.free_kv_tokens >= needed:
        return needed, ()
    by_free_memory = sorted(helpers, key=lambda view: view.free_kv_tokens, reverse=True)
    for holder_count in range(1, len(by_free_memory) + 1):
        even_tokens = math.ceil(prompt.tokens / (holder_count + 1))
        shares = []
        remaining_tokens = prompt.tokens
        for view in by_free_memory[:holder_count]:
            tokens = min(even_tokens, view.free_kv_tokens)
            if tokens <= 0:
                break
            shares.append(ReservationShare(target_id=view.target_id, tokens=tokens))
            remaining_tokens -= tokens
        if remaining_tokens + prompt.output_tokens <= host.free_kv_tokens:
            return remaining_tokens + prompt.output_tokens, tuple(shares)
    return None
