"""Routing policies, which choose the target of a request."""

import random
from dataclasses import dataclass
from typing import Protocol

import xxhash

from ..config import PolicyWeights
from ..kernel import CHARACTERS_PER_TOKEN, Registry
from ..membership import Target, long_prompt_rank
from ._estimate import RequestSize, estimate, has_long_prompt
from ._prefixes import PrefixIndex, prefix_hashes

HOME_TARGETS = 2
NEAR_SAMPLE = 2
FAR_SAMPLE = 1
WITHOUT_LONG_SAMPLE = 2
BASE_LONG_TARGET_SHARE = 0.3
LONG_SPILL_S = 20.0
HOME_BONUS_S = 0.015
LONG_TARGET_COST_S = 0.015
FAR_COST_S = 0.02
STREAM_COST_S = 0.002


@dataclass(frozen=True, kw_only=True)
class RouteQuery:
    """The properties of a request that routing depends on.

    Attributes:
        workspace: The caller's workspace.
        prompt: The prompt; empty for a call to a plain service.
        size: Lengths of the prompt and of the output.
        data_centre: Data centre of the entry.
        weights: The weights of the deployment.
    """

    workspace: str
    prompt: str
    size: RequestSize
    data_centre: str
    weights: PolicyWeights

    @property
    def is_long(self) -> bool:
        """Return whether the prompt is longer than `long_prompt_tokens`."""
        return self.size.prompt_tokens > self.weights.long_prompt_tokens


class RoutingPolicy(Protocol):
    """Chooses one of the candidates, of which there is at least one."""

    def choose(self, query: RouteQuery, candidates: tuple[Target, ...]) -> Target:
        """Return the target to send to."""


routing_registry: Registry[RoutingPolicy] = Registry("routing policy")


@routing_registry.register("round-robin")
class RoundRobinPolicy:
    """Chooses each target in turn; the baseline that other policies are compared with."""

    def __init__(self, *, seed: int = 0) -> None:
        self._next = seed

    def choose(self, query: RouteQuery, candidates: tuple[Target, ...]) -> Target:
        """Return the target to send to."""
        self._next += 1
        return candidates[self._next % len(candidates)]


@routing_registry.register("affinity")
class AffinityPolicy:
    """Chooses the target with the lowest cost among a few, in seconds to the first token.

    The targets compared are the home targets, which the hash of the prompt's first block selects,
    those that a prefix of the prompt was sent to, and random ones: two of the entry's data centre,
    one of another and two without long prompts. A long prompt, which is rare and delays many
    others on the wrong target, is compared on all candidates. It uses the targets kept for short
    prompts only if that saves `LONG_SPILL_S`. Since affinity is one part of the cost, it never
    outweighs the wait that it would cause.
    """

    def __init__(self, *, seed: int = 0) -> None:
        self._random = random.Random(seed)
        self._prefixes = PrefixIndex()

    def choose(self, query: RouteQuery, candidates: tuple[Target, ...]) -> Target:
        """Return the target to send to."""
        hashes = prefix_hashes(query.workspace, query.prompt)
        known = self._prefixes.known_characters(hashes) if query.prompt else {}
        near, far = _split_by_data_centre(query, candidates)
        options = candidates
        for_short = _targets_for_short(query, candidates)
        homes = _home_targets(hashes[0][1], near or far)
        if not query.is_long:
            sample = self._sample(near, far, homes, known)
            options = (*sample, *self._sample_without_long(query, candidates, for_short))

        def cost_s(target: Target) -> float:
            expected_s = _cost_s(query, target, known, home=target in homes)
            if query.is_long:
                return expected_s + (LONG_SPILL_S if target in for_short else 0.0)
            return expected_s + (0.0 if target in for_short else LONG_TARGET_COST_S)

        chosen = min(options, key=cost_s)
        if query.prompt:
            self._prefixes.record(hashes, chosen.instance.name)
        return chosen

    def _sample(
        self,
        near: tuple[Target, ...],
        far: tuple[Target, ...],
        homes: tuple[Target, ...],
        known: dict[str, int],
    ) -> tuple[Target, ...]:
        holders = tuple(t for t in near + far if t.instance.name in known)
        near_sample = self._random.sample(near, min(NEAR_SAMPLE, len(near)))
        wanted_far = FAR_SAMPLE if near else NEAR_SAMPLE
        far_sample = self._random.sample(far, min(wanted_far, len(far)))
        return (*homes, *holders, *near_sample, *far_sample)

    def _sample_without_long(
        self, query: RouteQuery, candidates: tuple[Target, ...], for_short: tuple[Target, ...]
    ) -> list[Target]:
        """Return a few targets without long prompts, which the other random samples may miss."""
        without_long = [
            target for target in for_short if not has_long_prompt(target, query.weights)
        ]
        if not without_long:
            without_long = [
                target for target in candidates if not has_long_prompt(target, query.weights)
            ]
        return self._random.sample(without_long, min(WITHOUT_LONG_SAMPLE, len(without_long)))


def _split_by_data_centre(
    query: RouteQuery, candidates: tuple[Target, ...]
) -> tuple[tuple[Target, ...], tuple[Target, ...]]:
    near = tuple(t for t in candidates if t.instance.data_centre == query.data_centre)
    far = tuple(t for t in candidates if t.instance.data_centre != query.data_centre)
    return near, far


def _targets_for_short(query: RouteQuery, candidates: tuple[Target, ...]) -> tuple[Target, ...]:
    """Return the candidates kept for short prompts, the same at all entries.

    A larger `long_share` of the deployment leaves fewer of them.
    """
    share = min(1.0, BASE_LONG_TARGET_SHARE + query.weights.long_share)
    long_targets = max(1, round(share * len(candidates)))
    ranked = sorted(candidates, key=lambda t: long_prompt_rank(t.instance.name))
    return tuple(ranked[long_targets:])


def _home_targets(first_block: int, pool: tuple[Target, ...]) -> tuple[Target, ...]:
    def rank(target: Target) -> int:
        return xxhash.xxh3_64_intdigest(target.instance.name.encode(), seed=first_block)

    return tuple(sorted(pool, key=rank)[:HOME_TARGETS])


def _cost_s(query: RouteQuery, target: Target, known: dict[str, int], *, home: bool) -> float:
    cached_tokens = known.get(target.instance.name, 0) // CHARACTERS_PER_TOKEN
    expected = estimate(target, query.size, query.weights, cached_tokens=cached_tokens)
    running = 0 if target.load is None else target.load.running
    cost_s = expected.first_token_s + STREAM_COST_S * (running + target.unreported_requests)
    if home:
        cost_s -= HOME_BONUS_S
    if target.instance.data_centre != query.data_centre:
        cost_s += FAR_COST_S
    return cost_s
