"""Counters and latency histograms of an entry."""

from collections import Counter
from collections.abc import Iterator

from hdrh.histogram import HdrHistogram

from ..kernel import Failure, prompt_bucket

MAX_TRACKED_MS = 600_000
MAX_TRACKED_US = 60_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (0.5, 0.95, 0.99)


class GatewayMetrics:
    """The counters and histograms of one entry.

    Attributes:
        finished: Number of responses forwarded in full, by status.
        failed: Number of error responses made by this entry, by failure kind.
        sends: Number of attempts, by outcome.
        first_event_ms: Time from a request to the first part of its response, by prompt length
            bucket; "call" for requests without a prompt.
        added_us: Time that this entry adds to a request, without its wait for a target.
    """

    def __init__(self) -> None:
        self.finished: Counter[int] = Counter()
        self.failed: Counter[str] = Counter()
        self.sends: Counter[str] = Counter()
        self.first_event_ms: dict[str, HdrHistogram] = {}
        self.added_us = HdrHistogram(1, MAX_TRACKED_US, SIGNIFICANT_DIGITS)

    def record_finished(self, status: int) -> None:
        """Count a response that was forwarded in full."""
        self.finished[status] += 1

    def record_failure(self, failure: Failure) -> None:
        """Count an error response made by this entry."""
        self.failed[failure.kind.value] += 1

    def record_send(self, outcome: str) -> None:
        """Count an attempt by its outcome."""
        self.sends[outcome] += 1

    def record_first_event(self, prompt_tokens: int, taken_s: float) -> None:
        """Record the time to the first part of a response."""
        bucket = prompt_bucket(prompt_tokens) if prompt_tokens else "call"
        histogram = self.first_event_ms.get(bucket)
        if histogram is None:
            histogram = HdrHistogram(1, MAX_TRACKED_MS, SIGNIFICANT_DIGITS)
            self.first_event_ms[bucket] = histogram
        histogram.record_value(min(MAX_TRACKED_MS, max(1, int(taken_s * 1000))))

    def record_added(self, added_s: float) -> None:
        """Record the time that this entry added to a request."""
        self.added_us.record_value(min(MAX_TRACKED_US, max(1, int(added_s * 1e6))))

    def histograms(self) -> Iterator[tuple[str, dict[str, str], HdrHistogram, float]]:
        """Yield the name, labels, values, and unit in seconds of each histogram."""
        for bucket, histogram in sorted(self.first_event_ms.items()):
            yield "first_event_seconds", {"prompt": bucket}, histogram, 1e-3
        yield "added_seconds", {}, self.added_us, 1e-6
