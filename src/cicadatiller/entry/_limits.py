"""Workspace limits: rates and concurrency, divided among the live entries."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from ..config import Workspace
from ..kernel import BucketRate, ErrorKind, TokenBucket, fail
from ..peer import WorkspaceUse
from ._usage_share import UsageShare

BURST_S = 2.0
MIN_BURST_REQUESTS = 4
# A request is admitted if anything is left, as it may need more than the burst.
MIN_LEVEL = 0.001
CONCURRENCY_RETRY_S = 1.0
SWEEP_S = 10.0
IDLE_S = 60.0


class WorkspaceLimiter:
    """Applies this entry's share of one workspace's limits."""

    def __init__(self, *, workspace: Workspace, entries: int, now_s: float) -> None:
        self._share = UsageShare(entries=entries, now_s=now_s)
        share = self._share.value(entries, now_s)
        self._requests = TokenBucket(rate=_request_rate(workspace, share), now_s=now_s)
        self._tokens = TokenBucket(rate=_token_rate(workspace, share), now_s=now_s)
        self._open = 0
        self._limit = _concurrency(workspace, share)
        self._last_used_s = now_s

    def configure(self, workspace: Workspace, entries: int, now_s: float) -> None:
        """Apply this entry's share of the workspace's current limits."""
        share = self._share.value(entries, now_s)
        self._requests.set_rate(_request_rate(workspace, share), now_s)
        self._tokens.set_rate(_token_rate(workspace, share), now_s)
        self._limit = _concurrency(workspace, share)

    def record_usage(self, use: WorkspaceUse, now_s: float) -> None:
        """Record a sidecar's report of the workspace's use."""
        self._share.record_usage(use, now_s)

    def is_idle(self, now_s: float) -> bool:
        """Return whether this limiter can be discarded, as a new one would admit the same."""
        unused = self._open == 0 and now_s - self._last_used_s > IDLE_S
        return unused and self._requests.is_full(now_s) and self._tokens.is_full(now_s)

    @contextmanager
    def admit(self, prompt_tokens: int) -> Iterator[None]:
        """Charge a request to the rate limits, and count it as open until the context exits.

        Raises:
            FailureError: WORKSPACE_LIMIT, with the time after which to retry.
        """
        now_s = asyncio.get_running_loop().time()
        self._last_used_s = now_s
        self._check(now_s)
        self._requests.take(1, now_s)
        self._tokens.take(prompt_tokens, now_s)
        self._share.record_admission()
        self._open += 1
        try:
            yield
        finally:
            self._open -= 1

    def _check(self, now_s: float) -> None:
        buckets = (self._requests, self._tokens)
        wait_s = max(bucket.wait_s(MIN_LEVEL, now_s) for bucket in buckets)
        if wait_s > 0:
            raise fail(
                ErrorKind.WORKSPACE_LIMIT,
                "the workspace exceeds its rate limit; send fewer or shorter requests, or ask "
                "an operator for a higher limit",
                retry_after_s=wait_s,
            )
        if self._open >= self._limit:
            raise fail(
                ErrorKind.WORKSPACE_LIMIT,
                f"the workspace has {self._open} open requests at this entry, its limit is "
                f"{self._limit}; wait for some to end",
                retry_after_s=CONCURRENCY_RETRY_S,
            )


def _request_rate(workspace: Workspace, share: float) -> BucketRate:
    """Return the rate of a share of a workspace's requests."""
    rate_per_s = workspace.requests_per_s * share
    return BucketRate(rate_per_s=rate_per_s, burst=max(MIN_BURST_REQUESTS, rate_per_s * BURST_S))


def _token_rate(workspace: Workspace, share: float) -> BucketRate:
    """Return the same for the tokens of its prompts."""
    rate_per_s = workspace.prompt_tokens_per_s * share
    return BucketRate(rate_per_s=rate_per_s, burst=max(1.0, rate_per_s * BURST_S))


def _concurrency(workspace: Workspace, share: float) -> int:
    limit = round(workspace.concurrent_requests * share)
    return max(min(MIN_BURST_REQUESTS, workspace.concurrent_requests), limit)


class WorkspaceLimits:
    """The limiters of all workspaces; idle ones are discarded."""

    def __init__(self) -> None:
        self._limiters: dict[str, WorkspaceLimiter] = {}
        self._last_sweep_s = 0.0

    def __len__(self) -> int:
        return len(self._limiters)

    def limiter(self, name: str, workspace: Workspace, entries: int) -> WorkspaceLimiter:
        """Return the limiter of a workspace, with its current limits applied."""
        now_s = asyncio.get_running_loop().time()
        self._sweep(now_s)
        limiter = self._limiters.get(name)
        if limiter is None:
            limiter = WorkspaceLimiter(workspace=workspace, entries=entries, now_s=now_s)
            self._limiters[name] = limiter
            return limiter
        limiter.configure(workspace, entries, now_s)
        return limiter

    def record_usage(self, use: WorkspaceUse) -> None:
        """Record a sidecar's report of a workspace's use."""
        limiter = self._limiters.get(use.workspace)
        if limiter is not None:
            limiter.record_usage(use, asyncio.get_running_loop().time())

    def _sweep(self, now_s: float) -> None:
        if now_s - self._last_sweep_s < SWEEP_S:
            return
        self._last_sweep_s = now_s
        for name, limiter in list(self._limiters.items()):
            if limiter.is_idle(now_s):
                del self._limiters[name]
