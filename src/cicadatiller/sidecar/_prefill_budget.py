"""Limits the prefill tokens in flight on an engine."""

from dataclasses import dataclass

from ..config import PolicyWeights
from ._queue import LONG_CLASS, Verdict

# How far other classes may run ahead of their pace while a long prompt is prefilled.
PACE_BURST_S = 0.5


@dataclass(frozen=True)
class ActivePrefill:
    """A prefill in flight on the engine."""

    length_class: int
    tokens: int


class PrefillBudget:
    """Decides by length class whether more prefill may start on the engine.

    Each class has its own limit of prefill in flight, and one request of a class may always start.
    The limits keep the engine's own queue short, so that the order is decided here. While a long
    prompt is in flight, the other classes are paced to leave it its share, because the engine runs
    lower priorities only with its spare capacity.
    """

    def __init__(self, *, weights: PolicyWeights) -> None:
        self._weights = weights
        self._active: dict[str, ActivePrefill] = {}
        self._in_flight = [0] * (LONG_CLASS + 1)
        self._paced_until_s = 0.0

    def use_weights(self, weights: PolicyWeights) -> None:
        """Apply new weights."""
        self._weights = weights

    def in_flight(self, length_class: int) -> int:
        """Return the prefill tokens of a class in flight on the engine."""
        return self._in_flight[length_class]

    def start(self, key: str, length_class: int, tokens: int, now_s: float, rate: float) -> None:
        """Record the start of a prefill; `rate` is the prefill rate in tokens per second."""
        long_in_flight = self._in_flight[LONG_CLASS] > 0
        self._active[key] = ActivePrefill(length_class, tokens)
        self._in_flight[length_class] += tokens
        pace = rate * (1 - self._weights.long_share)
        if length_class == LONG_CLASS and not long_in_flight:
            self._paced_until_s = now_s
        elif length_class < LONG_CLASS and long_in_flight and pace > 0:
            self._paced_until_s = max(self._paced_until_s, now_s) + tokens / pace

    def end(self, key: str) -> ActivePrefill | None:
        """Record the end of a prefill and return it; None if it is not in flight. Idempotent."""
        prefill = self._active.pop(key, None)
        if prefill is not None:
            self._in_flight[prefill.length_class] -= prefill.tokens
        return prefill

    def evaluate(self, length_class: int, tokens: int, now_s: float) -> Verdict:
        """Return whether a prefill may start on the engine."""
        ahead = self._in_flight[length_class]
        limit = self._weights.long_in_flight_tokens
        if length_class < LONG_CLASS:
            limit = self._weights.prefill_in_flight_tokens
            if self.pacing_delay_s(now_s) > 0:
                return Verdict.PREFILL_LIMITED
        if ahead > 0 and ahead + tokens > limit:
            return Verdict.PREFILL_LIMITED
        return Verdict.STARTS

    def pacing_delay_s(self, now_s: float) -> float:
        """Return how long pacing delays the next short or medium prompt."""
        if self._in_flight[LONG_CLASS] == 0 or self._weights.long_share == 0:
            return 0.0
        return max(0.0, self._paced_until_s - PACE_BURST_S - now_s)
