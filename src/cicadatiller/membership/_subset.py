"""Chooses the targets that an entry stays connected to."""

from collections import defaultdict
from collections.abc import Iterable, Sequence

from ..backing import Instance
from ..kernel import rendezvous_weight

WHOLE_POOL = 32
NEAR_TARGETS = 24
FAR_TARGETS = 8

PoolKey = tuple[str, str, str]


def pool_key(instance: Instance) -> PoolKey:
    """Return what identifies the pool of a target: deployment, kind and service."""
    return instance.deployment, instance.kind.value, instance.service


def choose_subset(
    entry: str, data_centre: str, instances: Iterable[Instance]
) -> dict[PoolKey, tuple[Instance, ...]]:
    """Choose a bounded part of each pool.

    Small pools are held whole. Of a larger pool the entry takes `NEAR_TARGETS` of its own data
    centre and fills up to `WHOLE_POOL` with others, in the order of a hash over entry and
    target, so that a change of the list moves only the places that it concerns.

    Args:
        entry: The entry's name.
        data_centre: Where the entry is.
        instances: All targets that are listed.
    """
    pools: dict[PoolKey, list[Instance]] = defaultdict(list)
    for instance in instances:
        pools[pool_key(instance)].append(instance)
    return {key: _choose(entry, data_centre, pool) for key, pool in pools.items()}


def rendezvous_order(key: str, instances: Iterable[Instance]) -> list[Instance]:
    """Return instances in the order of a hash over the key and each instance's name."""
    return sorted(instances, key=lambda instance: rendezvous_weight(key, instance.name))


def _choose(entry: str, data_centre: str, pool: Sequence[Instance]) -> tuple[Instance, ...]:
    if len(pool) <= WHOLE_POOL:
        return tuple(pool)
    ordered = rendezvous_order(entry, pool)
    near = [item for item in ordered if item.data_centre == data_centre]
    far = [item for item in ordered if item.data_centre != data_centre]
    chosen = near[: max(NEAR_TARGETS, WHOLE_POOL - len(far))]
    return tuple(chosen + far[: WHOLE_POOL - len(chosen)])
