"""Latency histograms and counters of a load run."""

from collections import Counter
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from ..kernel import PROMPT_BUCKETS, prompt_bucket

MAX_RECORDED_US = 3_600_000_000
SIGNIFICANT_FIGURES = 3
CALL_BUCKET = "call"
PERCENTILES = (50.0, 95.0, 99.0)


@dataclass(frozen=True, kw_only=True)
class Latency:
    """Percentiles of one histogram, in milliseconds.

    Attributes:
        count: The number of recorded durations.
        p50_ms: The median.
        p95_ms: The 95th percentile.
        p99_ms: The 99th percentile.
        max_ms: The maximum.
    """

    count: int
    p50_ms: float
    p95_ms: float
    p99_ms: float
    max_ms: float


class LatencyRecorder:
    """Records durations in a histogram; durations below 1 us count as 1 us."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, MAX_RECORDED_US, SIGNIFICANT_FIGURES)

    def record(self, duration_s: float) -> None:
        """Add one duration."""
        self._histogram.record_value(max(1, round(duration_s * 1e6)))

    def share_within(self, limit_s: float) -> float:
        """Return the share of durations up to a limit, from 0 to 1; 1 if none are recorded."""
        count = self._histogram.get_total_count()
        if not count:
            return 1.0
        within = sum(
            item.count_added_in_this_iter_step
            for item in self._histogram.get_recorded_iterator()
            if item.value_iterated_to <= limit_s * 1e6
        )
        return float(within / count)

    def summary(self) -> Latency:
        """Return the percentiles and the maximum, in milliseconds."""
        percentiles_ms = [self._histogram.get_value_at_percentile(p) / 1000 for p in PERCENTILES]
        return Latency(
            count=self._histogram.get_total_count(),
            p50_ms=percentiles_ms[0],
            p95_ms=percentiles_ms[1],
            p99_ms=percentiles_ms[2],
            max_ms=self._histogram.get_max_value() / 1000,
        )


@dataclass
class BucketResult:
    """The results of the requests of one prompt-length bucket.

    Attributes:
        first_token: Time from the intended start to the first token.
        token_gap: Time between tokens; an event of n tokens after t counts as n gaps of t/n.
        total: Time from the intended start to the end of a completed response.
        refusal: Time from the send to a failure with run state NOT_RUN.
        sent: Requests sent.
        unsent: Requests not sent because `max_in_flight` was reached.
        whole: Complete and correct responses.
        wrong: Incomplete or incorrect responses; must be zero.
        retried: Retries of requests that were not run.
        late_failures: Failures reported more than `LATE_GRACE_S` after the time limit; must be
            zero.
        tokens: Tokens received in completed responses.
        failures: Failures by kind and run state.
    """

    first_token: LatencyRecorder = field(default_factory=LatencyRecorder)
    token_gap: LatencyRecorder = field(default_factory=LatencyRecorder)
    total: LatencyRecorder = field(default_factory=LatencyRecorder)
    refusal: LatencyRecorder = field(default_factory=LatencyRecorder)
    sent: int = 0
    unsent: int = 0
    whole: int = 0
    wrong: int = 0
    retried: int = 0
    late_failures: int = 0
    tokens: int = 0
    failures: Counter[str] = field(default_factory=Counter)


class RunResult:
    """The results of one run, by prompt-length bucket."""

    def __init__(self) -> None:
        self.buckets: dict[str, BucketResult] = {name: BucketResult() for name in PROMPT_BUCKETS}
        self.buckets[CALL_BUCKET] = BucketResult()
        self.schedule_lag = LatencyRecorder()

    def bucket(self, prompt_tokens: int, *, is_call: bool) -> BucketResult:
        """Return the bucket that a request counts in."""
        return self.buckets[CALL_BUCKET if is_call else prompt_bucket(prompt_tokens)]
