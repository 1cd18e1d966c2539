"""Decides when waiting requests start on the engine."""

import asyncio
import math
from dataclasses import dataclass

from ..config import PolicyWeights
from ..kernel import ErrorKind, fail
from ._memory import MemoryLedger
from ._prefill_budget import PrefillBudget
from ._queue import (
    LONG_CLASS,
    SHORT_CLASS,
    QueuePolicy,
    Ticket,
    Verdict,
    length_class,
    queue_registry,
)
from ._rates import RateMeter

MIN_RETRY_S = 0.5
MAX_RETRY_S = 30.0


@dataclass
class _Backlog:
    """Totals of the waiting requests of one length class, kept so that reports need no scan."""

    count: int = 0
    prompt_tokens: int = 0


class Scheduler:
    """Queues requests and starts them when the engine's memory and prefill budget allow.

    Attributes:
        memory: The accounting of the engine's KV memory.
        rates: Measured prefill and decode rates of the engine.
    """

    def __init__(self, *, weights: PolicyWeights) -> None:
        self._weights = weights
        self._policy: QueuePolicy = queue_registry.create(weights.queue, weights=weights)
        self._grants: dict[Ticket, asyncio.Future[None]] = {}
        self._queued: set[Ticket] = set()
        self._backlogs = [_Backlog() for _ in range(LONG_CLASS + 1)]
        self._budget = PrefillBudget(weights=weights)
        self._pace_timer: asyncio.TimerHandle | None = None
        self.memory = MemoryLedger()
        self.rates = RateMeter()

    @property
    def capacity_tokens(self) -> int:
        """Return the KV capacity of the engine."""
        return self.memory.capacity_tokens

    @capacity_tokens.setter
    def capacity_tokens(self, tokens: int) -> None:
        self.memory.capacity_tokens = tokens

    @property
    def queued(self) -> int:
        """Return the number of waiting requests."""
        return sum(backlog.count for backlog in self._backlogs)

    @property
    def queued_prompt_tokens(self) -> int:
        """Return the total prompt tokens of the waiting requests."""
        return sum(backlog.prompt_tokens for backlog in self._backlogs)

    @property
    def prefilling_tokens(self) -> int:
        """Return the prompt tokens of the prefills in flight."""
        return sum(self._budget.in_flight(prompt_class) for prompt_class in range(LONG_CLASS + 1))

    @property
    def prefilling_long_tokens(self) -> int:
        """Return the prompt tokens of the prefills in flight that belong to long prompts."""
        return self._budget.in_flight(LONG_CLASS)

    def use_weights(self, weights: PolicyWeights) -> None:
        """Apply new weights; waiting requests are queued again in the order of their arrival."""
        if weights == self._weights:
            return
        tickets = sorted(self._policy.tickets(), key=lambda ticket: ticket.queued_s)
        self._weights = weights
        self._budget.use_weights(weights)
        self._policy = queue_registry.create(weights.queue, weights=weights)
        self._backlogs = [_Backlog() for _ in range(LONG_CLASS + 1)]
        self._queued.clear()
        for ticket in tickets:
            self._push(ticket)
        self.wake()

    def used_tokens(self) -> int:
        """Return the KV of running requests and holds."""
        return self.memory.used_tokens

    def running(self) -> int:
        """Return the number of requests running on the engine."""
        return self.memory.running

    async def acquire(self, ticket: Ticket) -> None:
        """Wait until the request may start; the caller must call `release` afterwards.

        Raises:
            FailureError: DEADLINE_UNREACHABLE as soon as the deadline is estimated to be missed.
        """
        self._refuse_if_deadline_unreachable(ticket)
        grant: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._grants[ticket] = grant
        self._push(ticket)
        self.wake()
        latest_start_s = ticket.deadline_s - self._estimate_service_s(ticket)
        timeout = asyncio.timeout_at(None if math.isinf(latest_start_s) else latest_start_s)
        try:
            async with timeout:
                await grant
        except (asyncio.CancelledError, TimeoutError) as error:
            if grant.done() and not grant.cancelled():
                self.release(ticket)
            if timeout.expired():
                raise self._deadline_failure(ticket) from error
            raise
        finally:
            self._discard(ticket)

    def release(self, ticket: Ticket) -> None:
        """Release the memory of a request and end its prefill."""
        self.memory.end(ticket.request_id)
        self.prefill_ended(ticket.request_id, finished=False)

    def prefill_started(self, key: str, tokens: int) -> None:
        """Count a prefill that a gang starts on the engine."""
        self._start_prefill(key, LONG_CLASS, tokens)

    def prefill_ended(self, key: str, *, finished: bool = True) -> None:
        """Record that a prefill is no longer in flight. Idempotent."""
        prefill = self._budget.end(key)
        if prefill is not None:
            tokens = prefill.tokens if finished else 0
            self.rates.prefill_ended(tokens, long=prefill.length_class == LONG_CLASS)
        self.wake()

    def hold(self, hold_id: str, kv_tokens: int) -> bool:
        """Reserve memory for a gang at once, or claim it for `CLAIM_TTL_S` and return False."""
        return self.memory.hold(hold_id, kv_tokens, self._policy.awaited_kv_tokens)

    def release_hold(self, hold_id: str) -> None:
        """Release the memory of a hold and withdraw its claim. Idempotent."""
        self.memory.release_hold(hold_id)
        self.wake()

    def wake(self) -> None:
        """Start all waiting requests that can start now."""
        now_s = asyncio.get_running_loop().time()
        while True:
            ticket = self._policy.pop(now_s, self._can_start)
            if ticket is None:
                break
            self._remove_from_backlog(ticket)
            grant = self._grants.get(ticket)
            if grant is None or grant.done():
                continue
            prompt_class = length_class(ticket.prompt_tokens, self._weights)
            self.memory.start(
                ticket.request_id, ticket.kv_tokens, short=prompt_class == SHORT_CLASS
            )
            self._start_prefill(ticket.request_id, prompt_class, ticket.prompt_tokens)
            grant.set_result(None)
        self._schedule_paced_wake(now_s)

    def estimate_wait_s(self, prompt_tokens: int) -> float:
        """Return the estimated wait of a prompt for its prefill; zero if unknown."""
        rate = self.rates.prefill_rate_for(prompt_tokens)
        if rate <= 0:
            return 0.0
        prompt_class = length_class(prompt_tokens, self._weights)
        tokens_ahead = sum(
            self._backlogs[number].prompt_tokens + self._budget.in_flight(number)
            for number in range(prompt_class + 1)
        )
        if prompt_class < LONG_CLASS and self._budget.in_flight(LONG_CLASS):
            rate *= 1 - self._weights.long_share
        return tokens_ahead / rate

    def engine_priority(self, ticket: Ticket) -> int:
        """Return the priority at which the engine runs a request; lower runs first."""
        return self._policy.engine_priority(ticket, asyncio.get_running_loop().time())

    def _can_start(self, ticket: Ticket, set_aside: int) -> Verdict:
        prompt_class = length_class(ticket.prompt_tokens, self._weights)
        fits = self.memory.fits(
            ticket.kv_tokens,
            short=prompt_class == SHORT_CLASS,
            set_aside=set_aside,
            queued_s=ticket.queued_s,
        )
        if not fits:
            return Verdict.NO_MEMORY
        now_s = asyncio.get_running_loop().time()
        return self._budget.evaluate(prompt_class, ticket.prompt_tokens, now_s)

    def _start_prefill(self, key: str, prompt_class: int, tokens: int) -> None:
        now_s = asyncio.get_running_loop().time()
        self._budget.start(key, prompt_class, tokens, now_s, self.rates.prefill_rate_for(tokens))
        self.rates.prefill_started(long=prompt_class == LONG_CLASS)

    def _schedule_paced_wake(self, now_s: float) -> None:
        delay_s = self._budget.pacing_delay_s(now_s)
        if delay_s <= 0 or self.queued == 0 or self._pace_timer is not None:
            return
        self._pace_timer = asyncio.get_running_loop().call_later(delay_s, self._wake_by_timer)

    def _wake_by_timer(self) -> None:
        self._pace_timer = None
        self.wake()

    def _refuse_if_deadline_unreachable(self, ticket: Ticket) -> None:
        if self.running() == 0 and self.queued == 0:
            return
        needed_s = self.estimate_wait_s(ticket.prompt_tokens) + self._estimate_service_s(ticket)
        if asyncio.get_running_loop().time() + needed_s > ticket.deadline_s:
            raise self._deadline_failure(ticket)

    def _deadline_failure(self, ticket: Ticket) -> Exception:
        wait_s = self.estimate_wait_s(ticket.prompt_tokens)
        return fail(
            ErrorKind.DEADLINE_UNREACHABLE,
            "the response can't be completed within the time limit; "
            "raise the time limit or retry later",
            retry_after_s=min(MAX_RETRY_S, max(MIN_RETRY_S, wait_s)),
        )

    def _estimate_service_s(self, ticket: Ticket) -> float:
        """Return the estimated time from the start of a request to its end."""
        total_s = 0.0
        prefill_rate = self.rates.prefill_rate_for(ticket.prompt_tokens)
        if prefill_rate > 0:
            total_s += ticket.prompt_tokens / prefill_rate
        if self.rates.decode_tokens_per_s > 0:
            output_tokens = ticket.kv_tokens - ticket.prompt_tokens
            total_s += output_tokens / self.rates.decode_tokens_per_s
        return total_s

    def _push(self, ticket: Ticket) -> None:
        self._policy.push(ticket)
        self._queued.add(ticket)
        backlog = self._backlogs[length_class(ticket.prompt_tokens, self._weights)]
        backlog.count += 1
        backlog.prompt_tokens += ticket.prompt_tokens

    def _remove_from_backlog(self, ticket: Ticket) -> None:
        if ticket not in self._queued:
            return
        self._queued.discard(ticket)
        backlog = self._backlogs[length_class(ticket.prompt_tokens, self._weights)]
        backlog.count -= 1
        backlog.prompt_tokens -= ticket.prompt_tokens

    def _discard(self, ticket: Ticket) -> None:
        self._grants.pop(ticket, None)
        if ticket in self._queued:
            self._policy.remove(ticket)
            self._remove_from_backlog(ticket)
            self.wake()
