"""Metrics of the requests that an entry handles."""

from collections import Counter
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from ..kernel import PROMPT_BUCKETS, ErrorKind, Failure, RunState, prompt_bucket

LOWEST_MS = 1
HIGHEST_MS = 3_600_000
SIGNIFICANT_FIGURES = 2
MS_PER_S = 1000


@dataclass(frozen=True, kw_only=True)
class LatencyFigures:
    """Percentiles of the time to first token in one bucket of prompt lengths.

    Attributes:
        bucket: Name of the bucket, one of `PROMPT_BUCKETS`.
        count: Number of first tokens measured.
        p50_s: The median.
        p95_s: The 95th percentile.
        p99_s: The 99th percentile.
    """

    bucket: str
    count: int
    p50_s: float
    p95_s: float
    p99_s: float


class EntryMetrics:
    """Histograms of the time to first token, and counts of refusals and failures."""

    def __init__(self) -> None:
        self._histograms = {
            bucket: HdrHistogram(LOWEST_MS, HIGHEST_MS, SIGNIFICANT_FIGURES)
            for bucket in PROMPT_BUCKETS
        }
        self._failures: Counter[tuple[ErrorKind, RunState]] = Counter()

    def record_first_token(self, prompt_tokens: int, elapsed_s: float) -> None:
        """Record the time from a request's start to its first token."""
        elapsed_ms = min(HIGHEST_MS, max(LOWEST_MS, round(elapsed_s * MS_PER_S)))
        self._histograms[prompt_bucket(prompt_tokens)].record_value(elapsed_ms)

    def record_failure(self, failure: Failure) -> None:
        """Count a request that was refused or failed."""
        self._failures[failure.kind, failure.run_state] += 1

    def failures(self) -> dict[tuple[ErrorKind, RunState], int]:
        """Return the number of refusals and failures by kind and run state."""
        return dict(self._failures)

    def time_to_first_token(self) -> tuple[LatencyFigures, ...]:
        """Return the percentiles of each bucket."""
        return tuple(
            LatencyFigures(
                bucket=bucket,
                count=histogram.get_total_count(),
                p50_s=histogram.get_value_at_percentile(50) / MS_PER_S,
                p95_s=histogram.get_value_at_percentile(95) / MS_PER_S,
                p99_s=histogram.get_value_at_percentile(99) / MS_PER_S,
            )
            for bucket, histogram in self._histograms.items()
        )
