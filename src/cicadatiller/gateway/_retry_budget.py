"""Limits how many requests may be sent once more."""

from collections import defaultdict, deque
from collections.abc import Iterator
from dataclasses import dataclass

# What is told of peers is up to a heartbeat old, so a part of the budget stays unused.
USABLE_SHARE = 0.75
# The most that one entry may use between two reports, as a share of its equal part.
BURST_SHARE = 0.5
BURST_WINDOW_S = 0.5


class _Count:
    """Counts what happened within a sliding window."""

    def __init__(self) -> None:
        self._times_s: deque[float] = deque()

    def add(self, now_s: float) -> None:
        self._times_s.append(now_s)

    def since(self, begin_s: float) -> int:
        """Return how many were added after a time."""
        count = 0
        for time_s in reversed(self._times_s):
            if time_s <= begin_s:
                break
            count += 1
        return count

    def forget_before(self, begin_s: float) -> None:
        """Drop what was added before a time."""
        while self._times_s and self._times_s[0] <= begin_s:
            self._times_s.popleft()

    def __len__(self) -> int:
        return len(self._times_s)


@dataclass(kw_only=True, slots=True)
class _PeerUse:
    requests: int
    retries: int


class RetryBudget:
    """Lets a service be sent only so many requests once more, by all entries together.

    Within any window they may send `ratio` of its requests and `slack` more. An entry knows what
    its peers used from their reports; of what is left it takes no more at a time than its part.

    Args:
        ratio: The share of requests.
        slack: How many more.
        window_s: The span over which both are counted.

    Attributes:
        entries: How many entries share the budget, this one included.
    """

    def __init__(self, *, ratio: float, slack: float, window_s: float) -> None:
        self.entries = 1
        self.set_limits(ratio=ratio, slack=slack, window_s=window_s)
        self._requests: dict[str, _Count] = defaultdict(_Count)
        self._retries: dict[str, _Count] = defaultdict(_Count)
        self._peers: dict[str, dict[str, _PeerUse]] = defaultdict(dict)

    def set_limits(self, *, ratio: float, slack: float, window_s: float) -> None:
        """Change how much may be used."""
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s

    def note_request(self, service: str, now_s: float) -> None:
        """Count a request of a caller."""
        self._requests[service].add(now_s)

    def note_peer(self, peer: str, service: str, requests: int, retries: int) -> None:
        """Take what a peer counted within the last window."""
        self._peers[peer][service] = _PeerUse(requests=requests, retries=retries)

    def forget_peer(self, peer: str) -> None:
        """Drop what a peer counted."""
        self._peers.pop(peer, None)

    def own_use(self, now_s: float) -> Iterator[tuple[str, int, int]]:
        """Return each service with the requests and retries counted within the last window."""
        for service in set(self._requests) | set(self._retries):
            self._expire(service, now_s)
            yield service, len(self._requests[service]), len(self._retries[service])

    def take(self, service: str, now_s: float) -> bool:
        """Ask to send one request once more."""
        self._expire(service, now_s)
        uses = [use[service] for use in self._peers.values() if service in use]
        requests = len(self._requests[service]) + sum(use.requests for use in uses)
        used = len(self._retries[service]) + sum(use.retries for use in uses)
        limit = USABLE_SHARE * (self._ratio * requests + self._slack)
        if used + 1 > limit:
            return False
        burst = self._retries[service].since(now_s - BURST_WINDOW_S)
        if self.entries > 1 and burst + 1 > max(1.0, BURST_SHARE * limit / self.entries):
            return False
        self._retries[service].add(now_s)
        return True

    def _expire(self, service: str, now_s: float) -> None:
        self._requests[service].forget_before(now_s - self._window_s)
        self._retries[service].forget_before(now_s - self._window_s)
