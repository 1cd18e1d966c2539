"""Limits the number of retries of each service across all entries."""

import math
from collections import defaultdict, deque
from collections.abc import Iterator
from dataclasses import dataclass

from ._ended_runs import EndedRun, EndedRuns
from ._members import MAX_REREAD_DELAY_S

# Counts of peers are up to one heartbeat old, so a part of the budget is kept in reserve.
USABLE_SHARE = 0.75
# Maximum retries of one entry within `BURST_WINDOW_S`, about the time between two reports of
# peers, as a share of the entry's equal part of the budget.
BURST_SHARE = 0.5
BURST_WINDOW_S = 0.5
# From the first read of the registrations, which are read again a little later, until entries that
# start at the same time are connected.
PEERS_KNOWN_AFTER_S = MAX_REREAD_DELAY_S + 0.5


class _SlidingWindowCounter:
    """Counts events within a sliding window."""

    def __init__(self) -> None:
        self._times_s: deque[float] = deque()

    def add(self, now_s: float) -> None:
        self._times_s.append(now_s)

    def count_since(self, window_start_s: float) -> int:
        """Return the number of events after a time."""
        count = 0
        for time_s in reversed(self._times_s):
            if time_s <= window_start_s:
                break
            count += 1
        return count

    def drop_before(self, window_start_s: float) -> None:
        """Remove the events up to a time."""
        while self._times_s and self._times_s[0] <= window_start_s:
            self._times_s.popleft()

    def drop_last(self) -> None:
        """Remove the latest event, unless it is too old to be counted."""
        if self._times_s:
            self._times_s.pop()

    def __len__(self) -> int:
        return len(self._times_s)


@dataclass(kw_only=True, slots=True)
class _PeerUse:
    requests: int
    retries: int


class RetryBudget:
    """Limits the retries that all entries together send to a service.

    Within any window, retries may be at most `ratio` times the number of requests, plus `slack`.
    An entry lends and borrows among the peers that it is connected to, which report their own
    counts: together they may use their part of the slack and what their requests allow. Between two
    reports, an entry spends at most `BURST_SHARE` of its equal part, so that the entries together
    stay within the budget.

    An entry that starts has no part of the slack until it is connected to all entries that it knows
    of, or has had time to hear of others: each of several that start together would take itself for
    the only one.

    What an ended run of a peer used counts until the window has passed; the next run of that peer
    is told of it.

    Args:
        ratio: Retries per request.
        slack: Number of retries allowed in addition.
        window_s: Length of the window in which requests and retries are counted.
        knows_entries_from_s: When this entry knows the others, if it is not connected before.

    Attributes:
        connected_entries: Number of entries that report their counts to this one, itself included.
        all_entries: Number of entries of the fleet.
        knows_entries_from_s: See above.
    """

    def __init__(
        self,
        *,
        ratio: float,
        slack: float,
        window_s: float,
        knows_entries_from_s: float = -math.inf,
    ) -> None:
        self.connected_entries = 1
        self.all_entries = 1
        self.knows_entries_from_s = knows_entries_from_s
        self.set_limits(ratio=ratio, slack=slack, window_s=window_s)
        self._requests: dict[str, _SlidingWindowCounter] = defaultdict(_SlidingWindowCounter)
        self._retries: dict[str, _SlidingWindowCounter] = defaultdict(_SlidingWindowCounter)
        self._peers: dict[str, dict[str, _PeerUse]] = defaultdict(dict)
        # The run of each peer whose link is open.
        self._connected_runs: dict[str, str] = {}
        self._ended_runs = EndedRuns()

    def set_limits(self, *, ratio: float, slack: float, window_s: float) -> None:
        """Change the limits."""
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s

    def record_entries_read(self, now_s: float) -> None:
        """Record a read of which entries there are; those of others that start now may follow."""
        known_from_s = now_s + PEERS_KNOWN_AFTER_S
        self.knows_entries_from_s = min(self.knows_entries_from_s, known_from_s)

    def record_request(self, service: str, now_s: float) -> None:
        """Record a request of a caller."""
        self._requests[service].add(now_s)

    def record_peer_use(self, peer: str, service: str, requests: int, retries: int) -> None:
        """Record the counts that a peer reported for the last window."""
        self._peers[peer][service] = _PeerUse(requests=requests, retries=retries)

    def begin_run(self, peer: str, run: str, now_s: float) -> None:
        """Record the link of a run of a peer; later counts of the peer are those of this run."""
        if self._connected_runs.get(peer) != run:
            self.end_run(peer, now_s)
        self._connected_runs[peer] = run
        self._ended_runs.remove(run)

    def end_run(self, peer: str, now_s: float) -> None:
        """Record that a peer's run ended or lost its link; what it used still counts."""
        run = self._connected_runs.pop(peer, "")
        for service, use in self._peers.pop(peer, {}).items():
            ended = EndedRun(
                entry=peer,
                run=run,
                service=service,
                requests=use.requests,
                retries=use.retries,
                ended_s=now_s,
            )
            self._ended_runs.add(ended)

    def record_ended_run(self, ended: EndedRun) -> None:
        """Record the use of an ended run by a peer's report, unless its link here is open."""
        if ended.run not in self._connected_runs.values():
            self._ended_runs.add(ended)

    def ended_runs(self, now_s: float) -> Iterator[EndedRun]:
        """Yield the runs of peers that ended within the window."""
        return self._ended_runs.since(now_s - self._window_s)

    def own_use(self, now_s: float) -> Iterator[tuple[str, int, int]]:
        """Yield each service with this entry's requests and retries within the last window."""
        for service in set(self._requests) | set(self._retries):
            self._expire(service, now_s)
            yield service, len(self._requests[service]), len(self._retries[service])

    def try_spend(self, service: str, now_s: float) -> bool:
        """Spend one retry of a service if the budget allows it; return whether it does."""
        if not self.has_left(service, now_s):
            return False
        self._retries[service].add(now_s)
        return True

    def give_back(self, service: str) -> None:
        """Give back the last retry of a service that was spent, as it was not sent."""
        self._retries[service].drop_last()

    def has_left(self, service: str, now_s: float) -> bool:
        """Return whether the budget allows one more retry of a service now."""
        self._expire(service, now_s)
        requests, retries = self._count_all(service, now_s)
        limit = USABLE_SHARE * (self._ratio * requests + self._usable_slack(now_s))
        if retries + 1 > limit:
            return False
        burst = self._retries[service].count_since(now_s - BURST_WINDOW_S)
        if self.connected_entries > 1:
            own_part = limit / self.connected_entries
            if burst + 1 > max(1.0, BURST_SHARE * own_part):
                return False
        return True

    def _count_all(self, service: str, now_s: float) -> tuple[float, int]:
        """Return the requests and retries of a service by all entries, ended runs included."""
        uses = [use[service] for use in self._peers.values() if service in use]
        ended = [run for run in self.ended_runs(now_s) if run.service == service]
        requests = len(self._requests[service]) + sum(use.requests for use in uses)
        requests_of_ended = sum(run.remaining_requests(now_s, self._window_s) for run in ended)
        retries = len(self._retries[service]) + sum(use.retries for use in uses)
        retries_of_ended = sum(run.retries for run in ended)
        return requests + requests_of_ended, retries + retries_of_ended

    def _usable_slack(self, now_s: float) -> float:
        is_connected = 1 < self.connected_entries >= self.all_entries
        if not is_connected and now_s < self.knows_entries_from_s:
            return 0.0
        return self._slack * min(1.0, self.connected_entries / self.all_entries)

    def _expire(self, service: str, now_s: float) -> None:
        self._requests[service].drop_before(now_s - self._window_s)
        self._retries[service].drop_before(now_s - self._window_s)
