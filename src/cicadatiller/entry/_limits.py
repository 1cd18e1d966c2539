"""Workspace limits: rates and concurrency, divided among the live entries."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from ..config import Workspace
from ..kernel import ErrorKind, fail
from ..peer import WorkspaceUse
from ._usage_share import UsageShare

BURST_S = 2.0
MIN_BURST_REQUESTS = 4
CONCURRENCY_RETRY_S = 1.0
SWEEP_S = 10.0
IDLE_S = 60.0


class TokenBucket:
    """A token bucket that is refilled at a rate up to a burst size.

    The level may become negative, so that a request larger than the burst is admitted too.
    """

    def __init__(self, *, now_s: float) -> None:
        self._rate_per_s = 1.0
        self._burst = 1.0
        self._level = 1.0
        self._refilled_s = now_s

    def fill(self) -> None:
        """Set the level to the burst size."""
        self._level = self._burst

    def set_rate(self, rate_per_s: float, burst: float, now_s: float) -> None:
        """Change the rate and the burst size from now on."""
        self._refill(now_s)
        self._rate_per_s = rate_per_s
        self._burst = burst

    def wait_s(self, now_s: float) -> float:
        """Return the time until the next request is admitted; zero if it is now."""
        self._refill(now_s)
        return 0.0 if self._level > 0 else -self._level / self._rate_per_s + 0.001

    def is_full(self, now_s: float) -> bool:
        """Return whether the level is at the burst size."""
        self._refill(now_s)
        return self._level >= self._burst

    def take(self, amount: float, now_s: float) -> None:
        """Take an amount; the level may become negative."""
        self._refill(now_s)
        self._level -= amount

    def _refill(self, now_s: float) -> None:
        self._level = min(self._burst, self._level + (now_s - self._refilled_s) * self._rate_per_s)
        self._refilled_s = now_s


class WorkspaceLimiter:
    """Applies this entry's share of one workspace's limits."""

    def __init__(self, *, workspace: Workspace, entries: int, now_s: float) -> None:
        self._requests = TokenBucket(now_s=now_s)
        self._tokens = TokenBucket(now_s=now_s)
        self._share = UsageShare(entries=entries, now_s=now_s)
        self._open = 0
        self._limit = 1
        self._last_used_s = now_s
        self.configure(workspace, entries, now_s)
        self._requests.fill()
        self._tokens.fill()

    def configure(self, workspace: Workspace, entries: int, now_s: float) -> None:
        """Apply this entry's share of the workspace's current limits."""
        share = self._share.value(entries, now_s)
        requests = workspace.requests_per_s * share
        tokens = workspace.prompt_tokens_per_s * share
        self._requests.set_rate(requests, max(MIN_BURST_REQUESTS, requests * BURST_S), now_s)
        self._tokens.set_rate(tokens, max(1.0, tokens * BURST_S), now_s)
        limit = round(workspace.concurrent_requests * share)
        self._limit = max(min(MIN_BURST_REQUESTS, workspace.concurrent_requests), limit)

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
        wait_s = max(self._requests.wait_s(now_s), self._tokens.wait_s(now_s))
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
