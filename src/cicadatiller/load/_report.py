"""Formats the results of a load run as JSON and as a text table."""

from dataclasses import asdict
from typing import Any

from ._measure import BucketResult, RunResult

FIRST_TOKEN_LIMIT_S = 0.55
TOKEN_GAP_LIMIT_S = 0.069


def to_json(result: RunResult, *, duration_s: float) -> dict[str, Any]:
    """Return the report as JSON-serialisable data, with durations in milliseconds.

    Args:
        result: The results of the run.
        duration_s: The measured time, without the warm-up; the base of the rates.
    """
    buckets = {
        name: _bucket_json(bucket, duration_s)
        for name, bucket in result.buckets.items()
        if bucket.sent or bucket.unsent
    }
    return {"buckets": buckets, "behind_schedule": asdict(result.schedule_lag.summary())}


def to_text(result: RunResult) -> str:
    """Return the report as a table, followed by the failures of each bucket."""
    header = (
        f"{'bucket':>9} {'sent':>6} {'whole':>6} {'wrong':>6} {'failed':>6} "
        f"{'ttft p50':>9} {'p95':>9} {'p99 ms':>9} {'gap p95':>8}"
    )
    lines = [header]
    for name, bucket in result.buckets.items():
        if bucket.sent or bucket.unsent:
            lines.append(_bucket_line(name, bucket))
    for name, bucket in result.buckets.items():
        for kind, count in sorted(bucket.failures.items()):
            lines.append(f"{name:>9} {kind}: {count}")
    return "\n".join(lines)


def _bucket_json(bucket: BucketResult, duration_s: float) -> dict[str, Any]:
    return {
        "sent": bucket.sent,
        "unsent": bucket.unsent,
        "whole": bucket.whole,
        "wrong": bucket.wrong,
        "retried": bucket.retried,
        "late_failures": bucket.late_failures,
        "failures": dict(sorted(bucket.failures.items())),
        "whole_per_s": bucket.whole / duration_s,
        "tokens_per_s": bucket.tokens / duration_s,
        "first_token": asdict(bucket.first_token.summary()),
        "first_token_share_within_limit": bucket.first_token.share_within(FIRST_TOKEN_LIMIT_S),
        "token_gap": asdict(bucket.token_gap.summary()),
        "token_gap_share_within_limit": bucket.token_gap.share_within(TOKEN_GAP_LIMIT_S),
        "total": asdict(bucket.total.summary()),
        "refusal": asdict(bucket.refusal.summary()),
    }


def _bucket_line(name: str, bucket: BucketResult) -> str:
    first = bucket.first_token.summary()
    gap = bucket.token_gap.summary()
    failed = sum(bucket.failures.values())
    return (
        f"{name:>9} {bucket.sent:>6} {bucket.whole:>6} {bucket.wrong:>6} {failed:>6} "
        f"{first.p50_ms:>9.1f} {first.p95_ms:>9.1f} {first.p99_ms:>9.1f} {gap.p95_ms:>8.1f}"
    )
