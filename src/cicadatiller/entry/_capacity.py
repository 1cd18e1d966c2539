"""Whether engines can hold a prompt, by what is known of them now and by what may come."""

from collections.abc import Sequence

from ..membership import Target
from ._estimate import RequestSize


def is_capacity_unknown(target: Target) -> bool:
    """Return whether no report of an engine, or only one by a sidecar that lacks it, is known."""
    return target.load is None or target.load.kv_capacity_tokens == 0


def gang_capacity_tokens(targets: Sequence[Target], *, unknown_tokens: int = 0) -> int:
    """Return the KV capacity of the targets that can be members of a gang.

    Args:
        targets: The engines.
        unknown_tokens: What to count for an engine whose capacity is unknown.
    """
    total = 0
    for target in targets:
        if is_capacity_unknown(target):
            total += unknown_tokens
        elif target.load is not None and target.load.supports_gang:
            total += target.load.kv_capacity_tokens
    return total


def can_hold_later(
    size: RequestSize, serving: Sequence[Target], pending: Sequence[Target], *, allow_gangs: bool
) -> bool:
    """Return whether engines could hold a request once those that do not serve it yet do so.

    Args:
        size: The size of the request, which the serving engines can't hold.
        serving: The engines that serve its model now.
        pending: The engines that may serve it soon. Those of unknown capacity are taken to be as
            large as the largest known one.
        allow_gangs: Whether several engines may serve one prompt together.
    """
    if not pending:
        return False
    known = [target.load.kv_capacity_tokens for target in (*serving, *pending) if target.load]
    largest_tokens = max(known, default=0)
    if largest_tokens >= size.kv_tokens:
        return True
    together_tokens = gang_capacity_tokens((*serving, *pending), unknown_tokens=largest_tokens)
    return allow_gangs and together_tokens >= size.kv_tokens
