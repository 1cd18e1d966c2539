"""A queue for one length class that shares its service fairly between workspaces."""

import heapq
from collections import deque
from dataclasses import dataclass, field

from ._queue import Ticket


@dataclass
class _WorkspaceQueue:
    """Requests of one workspace; `finish_tag` is the virtual finish time of its last service."""

    finish_tag: float
    tickets: deque[Ticket] = field(default_factory=deque)
    scheduled: bool = False


class FairQueue:
    """Start-time fair queueing by workspace, first in, first out within a workspace.

    A request costs its KV tokens divided by the weight of its workspace. A head that could not
    start is pinned: it stays the first candidate until it starts, and the KV of the requests that
    overtake it is counted.

    Attributes:
        pinned: The head that could not start, if any.
        pinned_for_memory: Whether it could not start for lack of memory.
        overtaken_tokens: KV tokens of the requests that started since it was pinned.
    """

    def __init__(self) -> None:
        self._waiting: set[Ticket] = set()
        self._workspaces: dict[str, _WorkspaceQueue] = {}
        self._heap: list[tuple[float, int, str]] = []
        self._sequence = 0
        self._virtual_time = 0.0
        self.pinned: Ticket | None = None
        self.pinned_for_memory = False
        self.overtaken_tokens = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def tickets(self) -> tuple[Ticket, ...]:
        """Return the waiting requests."""
        return tuple(self._waiting)

    def push(self, ticket: Ticket) -> None:
        """Add a request."""
        self._waiting.add(ticket)
        queue = self._workspaces.get(ticket.workspace)
        if queue is None:
            queue = self._workspaces[ticket.workspace] = _WorkspaceQueue(
                finish_tag=self._virtual_time
            )
        queue.tickets.append(ticket)
        self._schedule(ticket.workspace, queue)

    def remove(self, ticket: Ticket) -> None:
        """Remove a request; `head` drops its queue position later."""
        self._waiting.discard(ticket)
        if self.pinned is ticket:
            self.unpin()

    def head(self) -> Ticket | None:
        """Return the next request other than the pinned one."""
        while self._heap:
            _, _, workspace = self._heap[0]
            queue = self._workspaces[workspace]
            while queue.tickets and queue.tickets[0] not in self._waiting:
                queue.tickets.popleft()
            if queue.tickets:
                return queue.tickets[0]
            heapq.heappop(self._heap)
            queue.scheduled = False
            self._remove_if_idle(workspace, queue)
        return None

    def pin_head(self) -> None:
        """Pin the head; must not be called while another request is pinned."""
        ticket = self._dequeue_head()
        if ticket is not None:
            self.pinned = ticket
            self.overtaken_tokens = 0

    def unpin(self) -> None:
        """Clear the pinned request."""
        self.pinned = None
        self.pinned_for_memory = False
        self.overtaken_tokens = 0

    def start(self, ticket: Ticket) -> None:
        """Remove the request that starts now, which is the pinned one or the head."""
        if ticket is self.pinned:
            self.unpin()
        else:
            self._dequeue_head()
        self._waiting.discard(ticket)

    def _dequeue_head(self) -> Ticket | None:
        ticket = self.head()
        if ticket is None:
            return None
        start_tag, _, workspace = heapq.heappop(self._heap)
        queue = self._workspaces[workspace]
        queue.scheduled = False
        queue.tickets.popleft()
        self._virtual_time = max(self._virtual_time, start_tag)
        queue.finish_tag = max(start_tag, queue.finish_tag) + ticket.kv_tokens / ticket.weight
        self._schedule(workspace, queue)
        return ticket

    def _schedule(self, workspace: str, queue: _WorkspaceQueue) -> None:
        if queue.scheduled or not queue.tickets:
            return
        queue.finish_tag = max(queue.finish_tag, self._virtual_time)
        self._sequence += 1
        heapq.heappush(self._heap, (queue.finish_tag, self._sequence, workspace))
        queue.scheduled = True

    def _remove_if_idle(self, workspace: str, queue: _WorkspaceQueue) -> None:
        if queue.finish_tag <= self._virtual_time:
            del self._workspaces[workspace]
