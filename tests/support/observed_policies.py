"""The product's policies of routing and queueing, which report and hold back what they are given."""

import asyncio

from cicadatiller.entry import routing_registry
from cicadatiller.sidecar import queue_registry
from cicadatiller.sidecar._queue import Verdict

ROUTING_POLICY = "test-observed"
QUEUE_POLICY = "test-held"


class ObservedRouting:
    """The affinity routing policy; reports each choice to `on_choose`."""

    on_choose = None

    def __init__(self, *, seed: int = 0) -> None:
        self._policy = routing_registry.create("affinity", seed=seed)

    def choose(self, query, candidates):
        """Return the target that the policy chooses."""
        target = self._policy.choose(query, candidates)
        if ObservedRouting.on_choose is not None:
            ObservedRouting.on_choose(query, target)
        return target


routing_registry.register(ROUTING_POLICY)(ObservedRouting)


class ObservedQueue:
    """The queue policy of the product; can hold back requests by their prompt length."""

    held_prompt_tokens = 0
    on_push = None

    def __init__(self, *, weights) -> None:
        self._policy = queue_registry.create("classes", weights=weights)
        self.push = self._push
        self.remove = self._policy.remove
        self.tickets = self._policy.tickets
        self.awaited_kv_tokens = self._policy.awaited_kv_tokens
        self.engine_priority = self._policy.engine_priority

    def _push(self, ticket) -> None:
        self._policy.push(ticket)
        if ticket.prompt_tokens == self.held_prompt_tokens and self.on_push is not None:
            asyncio.get_running_loop().call_soon(self.on_push)

    def pop(self, now_s, can_start):
        """Remove and return the request to start next."""

        def can_start_unheld(ticket, set_aside):
            if ticket.prompt_tokens == self.held_prompt_tokens:
                return Verdict.PREFILL_LIMITED
            return can_start(ticket, set_aside)

        return self._policy.pop(now_s, can_start_unheld)


queue_registry.register(QUEUE_POLICY)(ObservedQueue)
