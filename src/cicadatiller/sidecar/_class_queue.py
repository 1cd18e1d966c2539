"""The default queue policy: length classes with fair sharing between workspaces."""

from dataclasses import dataclass

from ..config import PolicyWeights
from ._fair_queue import FairQueue
from ._queue import LONG_CLASS, CanStart, Ticket, Verdict, length_class, queue_registry

# A blocked request may be overtaken by requests with a total KV of this multiple of its own.
OVERTAKING_FACTOR = 1.0
CLASS_COUNT = LONG_CLASS + 1


@dataclass(frozen=True, kw_only=True)
class _Candidate:
    rank: float
    prompt_class: int
    ticket: Ticket


@queue_registry.register("classes")
class ClassQueue:
    """Serves short prompts first, with ageing, a minimum share for long prompts and fairness.

    Each length class has a `FairQueue`, which shares its service fairly between workspaces. The
    classes compete by rank, lowest first: the number of the class, less one for each `ageing_s`
    waited. Long prompts go first while their balance is not negative: serving one reduces the
    balance by its prompt tokens, and serving other classes restores it at `long_share`.
    """

    def __init__(self, *, weights: PolicyWeights) -> None:
        self._weights = weights
        self._queues = [FairQueue() for _ in range(CLASS_COUNT)]
        self._long_balance_tokens = 0.0

    def push(self, ticket: Ticket) -> None:
        """Add a request."""
        self._queue_of(ticket).push(ticket)

    def remove(self, ticket: Ticket) -> None:
        """Remove a request that no longer waits."""
        self._queue_of(ticket).remove(ticket)

    def pop(self, now_s: float, can_start: CanStart) -> Ticket | None:
        """Remove and return the request of lowest rank that can start; None if there is none."""
        candidates = self._candidates(now_s)
        memory_owner = next(
            (item.ticket for item in candidates if self._reserves_memory(item)), None
        )
        for candidate in candidates:
            ticket = candidate.ticket
            set_aside = (
                0 if memory_owner is None or ticket is memory_owner else memory_owner.kv_tokens
            )
            verdict = can_start(ticket, set_aside)
            if verdict is Verdict.STARTS:
                self._start(candidate)
                return ticket
            self._record_blocked(self._queues[candidate.prompt_class], ticket, verdict)
        return None

    def tickets(self) -> tuple[Ticket, ...]:
        """Return the waiting requests."""
        return tuple(ticket for queue in self._queues for ticket in queue.tickets())

    def awaited_kv_tokens(self, before_s: float) -> int:
        """Return the KV awaited by pinned heads that were queued before a time."""
        pinned = (queue.pinned for queue in self._queues if queue.pinned_for_memory)
        return sum(t.kv_tokens for t in pinned if t is not None and t.queued_s < before_s)

    def engine_priority(self, ticket: Ticket, now_s: float) -> int:
        """Return the class, less one for each `ageing_s` waited; long prompts always run last.

        Long prompts still get their share because `PrefillBudget` paces the other classes.
        """
        prompt_class = length_class(ticket.prompt_tokens, self._weights)
        if prompt_class == LONG_CLASS:
            return prompt_class
        aged = int((now_s - ticket.queued_s) / self._weights.ageing_s)
        return max(0, prompt_class - aged)

    def _candidates(self, now_s: float) -> list[_Candidate]:
        found: list[_Candidate] = []
        for number, queue in enumerate(self._queues):
            heads = [queue.pinned]
            if queue.pinned is None or not self._overtaking_limit_reached(queue, queue.pinned):
                heads.append(queue.head())
            found.extend(
                _Candidate(
                    rank=self._rank(ticket, number, now_s),
                    prompt_class=number,
                    ticket=ticket,
                )
                for ticket in heads
                if ticket is not None
            )
        found.sort(key=lambda item: item.rank)
        return found

    def _rank(self, ticket: Ticket, prompt_class: int, now_s: float) -> float:
        aged = (now_s - ticket.queued_s) / self._weights.ageing_s
        if (
            prompt_class == LONG_CLASS
            and self._weights.long_share > 0
            and self._long_balance_tokens >= 0
        ):
            return -1.0 - aged
        return prompt_class - aged

    def _start(self, candidate: _Candidate) -> None:
        ticket = candidate.ticket
        self._queues[candidate.prompt_class].start(ticket)
        for queue in self._queues:
            if queue.pinned is not None:
                queue.overtaken_tokens += ticket.kv_tokens
        self._charge(ticket, candidate.prompt_class)

    def _charge(self, ticket: Ticket, prompt_class: int) -> None:
        share = self._weights.long_share
        if prompt_class == LONG_CLASS:
            self._long_balance_tokens -= ticket.prompt_tokens
            return
        earned = ticket.prompt_tokens * share / (1 - share)
        self._long_balance_tokens = min(0.0, self._long_balance_tokens + earned)

    def _record_blocked(self, queue: FairQueue, ticket: Ticket, verdict: Verdict) -> None:
        if queue.pinned is None:
            queue.pin_head()
        if queue.pinned is ticket:
            queue.pinned_for_memory = verdict is Verdict.NO_MEMORY

    def _reserves_memory(self, candidate: _Candidate) -> bool:
        """Return whether memory that becomes free is set aside for this candidate."""
        queue = self._queues[candidate.prompt_class]
        pinned = queue.pinned is candidate.ticket and queue.pinned_for_memory
        return pinned and self._overtaking_limit_reached(queue, candidate.ticket)

    def _overtaking_limit_reached(self, queue: FairQueue, pinned: Ticket) -> bool:
        return queue.overtaken_tokens >= OVERTAKING_FACTOR * pinned.kv_tokens

    def _queue_of(self, ticket: Ticket) -> FairQueue:
        return self._queues[length_class(ticket.prompt_tokens, self._weights)]
