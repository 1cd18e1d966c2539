"""The prefix cache of the engine stand-in and its events."""

import asyncio
import hashlib
from collections import OrderedDict, deque

from ..targets import CacheEvent, CacheEvents

CACHE_BLOCK_CHARACTERS = 2048
MAX_CACHE_EVENTS = 4096


def prefix_blocks(prompt: str) -> tuple[str, ...]:
    """Return the hash of each prefix that ends at a block boundary.

    The last block is left out, even if it is complete.
    """
    digest = hashlib.blake2b(digest_size=8)
    blocks = []
    for start in range(0, len(prompt) - CACHE_BLOCK_CHARACTERS, CACHE_BLOCK_CHARACTERS):
        digest.update(prompt[start : start + CACHE_BLOCK_CHARACTERS].encode())
        blocks.append(digest.hexdigest())
    return tuple(blocks)


class PrefixCache:
    """An LRU cache of prompt prefixes whose events become visible after a lag.

    Args:
        capacity_tokens: The capacity.
        event_lag_s: The delay after which an event is visible.
    """

    def __init__(self, *, capacity_tokens: int, event_lag_s: float) -> None:
        self._capacity_tokens = capacity_tokens
        self._event_lag_s = event_lag_s
        self._blocks: OrderedDict[str, int] = OrderedDict()
        self._tokens = 0
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=MAX_CACHE_EVENTS)
        self._sequence = 0

    def clear(self) -> None:
        """Drop all prefixes without events, as a crash does."""
        self._blocks.clear()
        self._tokens = 0

    def cached_tokens(self, blocks: tuple[str, ...]) -> int:
        """Return the number of cached tokens of a prompt, and mark its blocks as used."""
        cached = 0
        for block in blocks:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            cached += self._blocks[block]
        return cached

    def store(self, blocks: tuple[str, ...], block_tokens: int) -> None:
        """Store the blocks of a prompt and evict the least recently used beyond the capacity."""
        for block in blocks:
            previous_tokens = self._blocks.get(block)
            if previous_tokens is None:
                self._record(block, stored=True)
            self._tokens += block_tokens - (previous_tokens or 0)
            self._blocks[block] = block_tokens
            self._blocks.move_to_end(block)
        while self._tokens > self._capacity_tokens:
            block, tokens = self._blocks.popitem(last=False)
            self._tokens -= tokens
            self._record(block, stored=False)

    def events(self, next_sequence: int) -> CacheEvents:
        """Return the visible events from a sequence number on, or a snapshot if it is too old."""
        horizon_s = asyncio.get_running_loop().time() - self._event_lag_s
        visible = [event for at_s, event in self._events if at_s <= horizon_s]
        oldest = visible[0].sequence if visible else self._sequence + 1
        if next_sequence < oldest:
            return self._snapshot()
        events = tuple(event for event in visible if event.sequence >= next_sequence)
        following_sequence = events[-1].sequence + 1 if events else next_sequence
        return CacheEvents(events=events, next_sequence=following_sequence, snapshot=False)

    def _snapshot(self) -> CacheEvents:
        events = tuple(
            CacheEvent(sequence=self._sequence, prefix_hash=block, stored=True)
            for block in self._blocks
        )
        return CacheEvents(events=events, next_sequence=self._sequence + 1, snapshot=True)

    def _record(self, block: str, *, stored: bool) -> None:
        self._sequence += 1
        event = CacheEvent(sequence=self._sequence, prefix_hash=block, stored=stored)
        self._events.append((asyncio.get_running_loop().time(), event))
