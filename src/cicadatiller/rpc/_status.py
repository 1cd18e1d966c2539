"""The status of each target, and totals for each data centre."""

from collections import defaultdict
from collections.abc import Iterable

from ..entry import EntryMetrics
from ..membership import Target
from ._generated.cicadatiller.v1 import operators_pb as pb


def data_centre_statuses(
    targets: Iterable[Target], config_offset: int
) -> list[pb.DataCentreStatus]:
    """Return the totals over the targets of each data centre."""
    grouped: dict[str, list[Target]] = defaultdict(list)
    for target in targets:
        grouped[target.instance.data_centre].append(target)
    return [_summarize(name, group, config_offset) for name, group in sorted(grouped.items())]


def _summarize(name: str, targets: list[Target], config_offset: int) -> pb.DataCentreStatus:
    loads = [target.load for target in targets if target.load is not None]
    lowest = min((load.config_offset for load in loads), default=0)
    return pb.DataCentreStatus(
        data_centre=name,
        targets=len(targets),
        reachable=len(loads),
        leaving=sum(1 for target in targets if target.leaving),
        loaded=sorted({model for load in loads for model in load.loaded}),
        queued=sum(load.queued for load in loads),
        running=sum(load.running for load in loads),
        kv_used_tokens=sum(load.kv_used_tokens for load in loads),
        kv_capacity_tokens=sum(load.kv_capacity_tokens for load in loads),
        lowest_config_offset=lowest,
        config_lag_records=max(0, config_offset - lowest) if loads else 0,
    )


def target_status(target: Target) -> pb.TargetStatus:
    """Return the status of one target."""
    instance = target.instance
    status = pb.TargetStatus(
        target=instance.name,
        kind=instance.kind.value,
        data_centre=instance.data_centre,
        sidecar_address=instance.address,
        reachable=target.load is not None,
        leaving=target.leaving,
    )
    load = target.load
    if load is not None:
        status.loaded = list(load.loaded)
        status.queued = load.queued
        status.running = load.running
        status.kv_used_tokens = load.kv_used_tokens
        status.kv_capacity_tokens = load.kv_capacity_tokens
        status.config_offset = load.config_offset
        status.order_error = load.order_error
    return status


def failure_counts(metrics: EntryMetrics) -> list[pb.FailureCount]:
    """Return the number of refusals and failures by kind and run state."""
    counts = [
        pb.FailureCount(kind=kind.value, run_state=run_state.value, count=count)
        for (kind, run_state), count in metrics.failures().items()
    ]
    return sorted(counts, key=lambda item: (item.kind, item.run_state))
