"""Selects the subset of targets that an entry stays connected to."""

from collections import defaultdict
from collections.abc import Iterable, Sequence

from ..backing import Instance
from ..kernel import rendezvous_weight

SUBSET_SIZE = 32
LOCAL_TARGETS = 24

PoolKey = tuple[str, str, str]


def pool_key(instance: Instance) -> PoolKey:
    """Return the key of a target's pool: deployment, kind and service."""
    return instance.deployment, instance.kind.value, instance.service


def choose_subset(
    entry: str, data_centre: str, instances: Iterable[Instance]
) -> dict[PoolKey, tuple[Instance, ...]]:
    """Select at most `SUBSET_SIZE` targets of each pool.

    A pool of up to `SUBSET_SIZE` targets is selected completely. From a larger pool, the entry
    selects `LOCAL_TARGETS` in its own data centre and fills up to `SUBSET_SIZE` with remote ones.
    Targets are ranked by rendezvous hashing, so adding or removing one replaces at most one
    selected target.

    Args:
        entry: The entry's name.
        data_centre: The entry's data centre.
        instances: All listed targets.

    Returns:
        The selected targets by pool.
    """
    pools: dict[PoolKey, list[Instance]] = defaultdict(list)
    for instance in instances:
        pools[pool_key(instance)].append(instance)
    return {key: _choose(entry, data_centre, pool) for key, pool in pools.items()}


def rendezvous_order(key: str, instances: Iterable[Instance]) -> list[Instance]:
    """Return instances ranked by rendezvous hashing of their names with the key."""
    return sorted(instances, key=lambda instance: rendezvous_weight(key, instance.name))


def _choose(entry: str, data_centre: str, pool: Sequence[Instance]) -> tuple[Instance, ...]:
    if len(pool) <= SUBSET_SIZE:
        return tuple(pool)
    ordered = rendezvous_order(entry, pool)
    local = [item for item in ordered if item.data_centre == data_centre]
    remote = [item for item in ordered if item.data_centre != data_centre]
    chosen = local[: max(LOCAL_TARGETS, SUBSET_SIZE - len(remote))]
    return tuple(chosen + remote[: SUBSET_SIZE - len(chosen)])
