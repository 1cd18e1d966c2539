"""Converts measured latencies to protobuf messages."""

from ..entry import LatencyFigures
from ._generated.cicadatiller.v1 import operators_pb as pb

MS_PER_S = 1000


def latency_summary(figures: LatencyFigures) -> pb.LatencySummary:
    """Return the message with the latency percentiles of one bucket."""
    return pb.LatencySummary(
        bucket=figures.bucket,
        count=figures.count,
        p50_ms=figures.p50_s * MS_PER_S,
        p95_ms=figures.p95_s * MS_PER_S,
        p99_ms=figures.p99_s * MS_PER_S,
    )
