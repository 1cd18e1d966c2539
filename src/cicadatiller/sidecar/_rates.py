"""Measures the prefill and decode rates of an engine."""

import asyncio
from typing import Protocol

DECAY_FACTOR = 0.9
TRUSTED_LENGTH_FACTOR = 8


class RateMeter:
    """Keeps exponentially decaying averages of an engine's prefill and decode rates.

    The prefill rate is the prompt tokens of finished prefills over the time during which any
    prefill was in flight. The decode rate is that of a single stream.

    Attributes:
        prefill_tokens_per_s: The measured prefill rate; zero before the first measurement.
        decode_tokens_per_s: The measured rate of one stream; zero before the first measurement.
        sample_tokens: The token-weighted average length of the measured prompts. The prefill rate
            does not hold for much longer prompts, because each step has a fixed cost.
    """

    def __init__(self) -> None:
        self.prefill_tokens_per_s = 0.0
        self.decode_tokens_per_s = 0.0
        self.sample_tokens = 0
        self._decayed_squares = 0.0
        self._prefilling = 0
        self._long_prefilling = 0
        self._busy_since_s = 0.0
        self._busy_s = 0.0
        self._finished_tokens = 0
        self._squared_tokens = 0
        self._decayed_tokens = 0.0
        self._decayed_busy_s = 0.0

    def prefill_rate_for(self, prompt_tokens: int) -> float:
        """Return the prefill rate for a prompt length; zero if unknown.

        A rate measured with far shorter prompts mostly reflects the fixed cost of a step.
        """
        trusted = prompt_tokens <= TRUSTED_LENGTH_FACTOR * self.sample_tokens
        return self.prefill_tokens_per_s if trusted else 0.0

    def prefill_started(self, *, long: bool) -> None:
        """Record the start of a prefill."""
        if self._prefilling == 0:
            self._busy_since_s = asyncio.get_running_loop().time()
        self._prefilling += 1
        self._long_prefilling += long

    def prefill_ended(self, tokens: int, *, long: bool) -> None:
        """Record the end of a prefill; `tokens` is zero if it did not finish.

        The progress of a long prompt in flight is not visible, so the averages are updated only
        after it has ended; a rate from the other prompts alone would be far too low.
        """
        now_s = asyncio.get_running_loop().time()
        self._busy_s += now_s - self._busy_since_s
        self._busy_since_s = now_s
        self._prefilling -= 1
        self._long_prefilling -= long
        self._finished_tokens += tokens
        self._squared_tokens += tokens * tokens
        if tokens == 0:
            self._reset_window()
        elif long or self._long_prefilling == 0:
            self._update_averages()

    def _update_averages(self) -> None:
        self._decayed_tokens = self._decayed_tokens * DECAY_FACTOR + self._finished_tokens
        self._decayed_busy_s = self._decayed_busy_s * DECAY_FACTOR + self._busy_s
        self._decayed_squares = self._decayed_squares * DECAY_FACTOR + self._squared_tokens
        self.sample_tokens = round(self._decayed_squares / self._decayed_tokens)
        self._reset_window()
        if self._decayed_busy_s > 0:
            self.prefill_tokens_per_s = self._decayed_tokens / self._decayed_busy_s

    def _reset_window(self) -> None:
        self._finished_tokens = 0
        self._squared_tokens = 0
        self._busy_s = 0.0

    def stream_ended(self, tokens: int, took_s: float) -> None:
        """Record the decode of a finished stream; `tokens` excludes the first one."""
        if tokens <= 0 or took_s <= 0:
            return
        rate = tokens / took_s
        previous_rate = self.decode_tokens_per_s
        self.decode_tokens_per_s = (
            rate if previous_rate == 0 else previous_rate * DECAY_FACTOR + rate * (1 - DECAY_FACTOR)
        )


class PrefillListener(Protocol):
    """Receives the end of prefills and keeps the rates of the engine."""

    rates: RateMeter

    def prefill_ended(self, key: str, *, finished: bool = True) -> None:
        """Record that a prefill is no longer in flight. Idempotent."""


class StreamProgress:
    """Records the end of prefill and the decode rate of one stream on the engine.

    Args:
        scheduler: Receives the end of the prefill and the decode rate.
        request_id: The id of the request.
    """

    def __init__(self, *, scheduler: PrefillListener, request_id: str) -> None:
        self._scheduler = scheduler
        self._request_id = request_id
        self._first_s: float | None = None

    def observe(self, tokens: int, *, finished: bool) -> None:
        """Record the total number of tokens that the stream has generated so far."""
        now_s = asyncio.get_running_loop().time()
        if tokens > 0 and self._first_s is None:
            self._first_s = now_s
            self._scheduler.prefill_ended(self._request_id)
        if finished and self._first_s is not None:
            self._scheduler.rates.stream_ended(tokens - 1, now_s - self._first_s)
