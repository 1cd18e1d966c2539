"""Accounting of one engine's KV memory."""

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass

CLAIM_TTL_S = 1.0


def _no_tokens(_: float) -> int:
    return 0


@dataclass
class _Claim:
    """Memory that a gang waits for; it blocks new requests so that memory becomes free."""

    kv_tokens: int
    since_s: float
    expires_s: float


class MemoryLedger:
    """Accounts for the KV of running requests and of gangs' holds and claims.

    A hold is memory that is reserved for a gang, a claim memory that a gang waits for.

    Attributes:
        capacity_tokens: The KV capacity of the engine.
        used_tokens: The KV of running requests and holds.
    """

    def __init__(self) -> None:
        self.capacity_tokens = 0
        self.used_tokens = 0
        self._held_tokens = 0
        self._short_tokens = 0
        self._running: dict[str, tuple[int, bool]] = {}
        self._holds: dict[str, int] = {}
        self._claims: dict[str, _Claim] = {}

    @property
    def running(self) -> int:
        """Return the number of running requests."""
        return len(self._running)

    def fits(
        self, kv_tokens: int, *, short: bool, set_aside: int, queued_s: float = math.inf
    ) -> bool:
        """Return whether a request fits without using memory that others wait for.

        Short requests may together use the memory that is neither held nor waited for, so that
        they keep running while other requests end and free memory.

        Args:
            kv_tokens: The KV that the request needs.
            short: Whether its prompt is short.
            set_aside: The KV that is set aside for another queued request.
            queued_s: The event loop's time at which it was queued; later claims don't block it.
        """
        if self.used_tokens + kv_tokens > self.capacity_tokens:
            return False
        awaited_tokens = set_aside + self._claimed_tokens(queued_s)
        if awaited_tokens == 0:
            return True
        if short:
            available_tokens = self.capacity_tokens - self._held_tokens - awaited_tokens
            return self._short_tokens + kv_tokens <= available_tokens
        return self.used_tokens + awaited_tokens + kv_tokens <= self.capacity_tokens

    def start(self, request_id: str, kv_tokens: int, *, short: bool) -> None:
        """Record the start of a request and the KV that it uses."""
        self._running[request_id] = (kv_tokens, short)
        self.used_tokens += kv_tokens
        self._short_tokens += kv_tokens if short else 0

    def end(self, request_id: str) -> None:
        """Release the memory of a request. Idempotent."""
        kv_tokens, short = self._running.pop(request_id, (0, False))
        self.used_tokens -= kv_tokens
        self._short_tokens -= kv_tokens if short else 0

    def hold(
        self, hold_id: str, kv_tokens: int, awaited_before: Callable[[float], int] = _no_tokens
    ) -> bool:
        """Reserve memory for a gang at once, or claim it for `CLAIM_TTL_S` and return False.

        Claims are served in order of arrival. A claim expires unless the call is repeated.

        Args:
            hold_id: The id of the hold.
            kv_tokens: The KV that the hold needs.
            awaited_before: Returns the KV awaited by requests that were queued before a time.
        """
        if hold_id in self._holds:
            return True
        self._remove_expired_claims()
        now_s = asyncio.get_running_loop().time()
        expires_s = now_s + CLAIM_TTL_S
        new_claim = _Claim(kv_tokens=kv_tokens, since_s=now_s, expires_s=expires_s)
        claim = self._claims.setdefault(hold_id, new_claim)
        claim.expires_s = expires_s
        tokens_ahead = self._claimed_tokens_up_to(hold_id) + awaited_before(claim.since_s)
        if self.used_tokens + tokens_ahead > self.capacity_tokens:
            return False
        del self._claims[hold_id]
        self._holds[hold_id] = kv_tokens
        self._held_tokens += kv_tokens
        self.used_tokens += kv_tokens
        return True

    def release_hold(self, hold_id: str) -> None:
        """Release the memory of a hold and withdraw its claim. Idempotent."""
        self._claims.pop(hold_id, None)
        kv_tokens = self._holds.pop(hold_id, 0)
        self._held_tokens -= kv_tokens
        self.used_tokens -= kv_tokens

    def _claimed_tokens(self, before_s: float) -> int:
        """Return the claimed KV that requests free when they end; later claims wait for holds."""
        self._remove_expired_claims()
        available_tokens = self.capacity_tokens - self._held_tokens
        claimed = 0
        for claim in self._claims.values():
            if claim.since_s > before_s:
                continue
            if claimed + claim.kv_tokens > available_tokens:
                break
            claimed += claim.kv_tokens
        return claimed

    def _claimed_tokens_up_to(self, hold_id: str) -> int:
        total = 0
        for claimed_id, claim in self._claims.items():
            total += claim.kv_tokens
            if claimed_id == hold_id:
                break
        return total

    def _remove_expired_claims(self) -> None:
        if not self._claims:
            return
        now_s = asyncio.get_running_loop().time()
        for hold_id in [key for key, claim in self._claims.items() if claim.expires_s < now_s]:
            del self._claims[hold_id]
