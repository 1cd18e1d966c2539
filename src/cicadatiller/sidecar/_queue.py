"""Queue policies: which waiting request starts on the engine next."""

import enum
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ..config import PolicyWeights
from ..kernel import Registry

SHORT_CLASS = 0
LONG_CLASS = 2


@dataclass(frozen=True, kw_only=True, eq=False)
class Ticket:
    """A request that waits to start on the engine.

    Attributes:
        request_id: The id of the request.
        workspace: Its workspace.
        weight: The workspace's weight.
        prompt_tokens: The length of its prompt.
        kv_tokens: The KV that it needs for its prompt and its output.
        queued_s: The event loop's time at which it was queued.
        deadline_s: The event loop's time at which its response must be complete.
    """

    request_id: str
    workspace: str
    weight: float
    prompt_tokens: int
    kv_tokens: int
    queued_s: float
    deadline_s: float = math.inf


class Verdict(enum.Enum):
    """Whether a request can start now, and if not, why."""

    STARTS = "starts"
    NO_MEMORY = "no memory"
    PREFILL_LIMITED = "too much prefill in flight"


# Arguments: a request, and the KV set aside for another one that may not be overtaken further.
CanStart = Callable[[Ticket, int], Verdict]


class QueuePolicy(Protocol):
    """Orders waiting requests and selects the one to start next."""

    def push(self, ticket: Ticket) -> None:
        """Add a request."""

    def remove(self, ticket: Ticket) -> None:
        """Remove a request that no longer waits."""

    def pop(self, now_s: float, can_start: CanStart) -> Ticket | None:
        """Remove and return the request to start next; None if none can start now."""

    def tickets(self) -> tuple[Ticket, ...]:
        """Return the waiting requests."""

    def awaited_kv_tokens(self, before_s: float) -> int:
        """Return the KV awaited by requests that were queued before a time."""

    def engine_priority(self, ticket: Ticket, now_s: float) -> int:
        """Return the priority at which the engine runs a request; lower runs first."""


queue_registry: Registry[QueuePolicy] = Registry("queue policy")


@queue_registry.register("fifo")
class FifoQueue:
    """First in, first out, bounded by memory only; the baseline for comparisons."""

    def __init__(self, *, weights: PolicyWeights) -> None:
        self._tickets: deque[Ticket] = deque()
        self._waiting: set[Ticket] = set()

    def push(self, ticket: Ticket) -> None:
        """Add a request."""
        self._tickets.append(ticket)
        self._waiting.add(ticket)

    def remove(self, ticket: Ticket) -> None:
        """Remove a request that no longer waits."""
        self._waiting.discard(ticket)

    def pop(self, now_s: float, can_start: CanStart) -> Ticket | None:
        """Remove and return the oldest request; None if there is none or its KV does not fit."""
        while self._tickets and self._tickets[0] not in self._waiting:
            self._tickets.popleft()
        if not self._tickets or can_start(self._tickets[0], 0) is Verdict.NO_MEMORY:
            return None
        ticket = self._tickets.popleft()
        self._waiting.discard(ticket)
        return ticket

    def tickets(self) -> tuple[Ticket, ...]:
        """Return the waiting requests."""
        return tuple(ticket for ticket in self._tickets if ticket in self._waiting)

    def awaited_kv_tokens(self, before_s: float) -> int:
        """Return zero: gangs' claims take precedence over waiting requests."""
        return 0

    def engine_priority(self, ticket: Ticket, now_s: float) -> int:
        """Return the same priority for all requests."""
        return 0


def length_class(prompt_tokens: int, weights: PolicyWeights) -> int:
    """Return 0 for short, 1 for medium and 2 for long prompts."""
    if prompt_tokens <= weights.short_prompt_tokens:
        return SHORT_CLASS
    return 1 if prompt_tokens <= weights.long_prompt_tokens else LONG_CLASS


def chunk_limit(prompt_tokens: int, weights: PolicyWeights) -> int:
    """Return the most tokens of a prompt that may be prefilled between two decode steps."""
    if length_class(prompt_tokens, weights) == LONG_CLASS:
        return weights.long_chunk_tokens
    return weights.prefill_chunk_tokens
