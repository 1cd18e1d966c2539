"""Exchanges with the peers what is known of what crashes targets.

What is new to an entry it passes on to all its peers, so that it reaches each entry of the fleet in
as many steps as the ring of entries has subsets, and what is known already goes no further.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Callable, Iterable

from ..fleet import WEIGHING_DELAY_S, FingerprintBreakers, OpenBreaker, RequestLoss, rule_of
from ..kernel import Event, log_event
from ..mesh import ClearedFingerprint, Evidence, LostRequest, TrippedBreaker, find_problem

# Of the losses, the newest: a new peer learns what may still count.
MAX_SNAPSHOT_LOSSES = 64
# Of each kind, of what finished lately: an entry that starts would take it for a suspect.
MAX_SNAPSHOT_CLEARED = 64
# How often the peers are told that a part finished of which requests are lost.
TELL_FINISHED_INTERVAL_S = 10.0
MAX_TOLD = 1024


class EvidenceExchange:
    """Holds the breakers of fingerprints, and what the peers have to know of them.

    Args:
        on_pending: Called when there is something to send to the peers.
        on_opened: Called after a breaker opened.

    Attributes:
        breakers: The breakers.
        on_changed: Called whenever this entry learns of a loss or a breaker, or that one is sound.
    """

    def __init__(self, *, on_pending: Callable[[], None], on_opened: Callable[[], None]) -> None:
        self._loop = asyncio.get_running_loop()
        self.breakers = FingerprintBreakers(listener=self, started_s=self._loop.time())
        self.on_changed: Callable[[], None] = lambda: None
        self._on_pending = on_pending
        self._on_opened = on_opened
        # The peers whose evidence was refused since their links came up.
        self._refused_peers: set[str] = set()
        self._weighing: asyncio.TimerHandle | None = None
        self._losses: list[RequestLoss] = []
        self._opened: list[OpenBreaker] = []
        self._cleared: list[tuple[str, float]] = []
        # When the peers were told that a part finished, the latest at the end.
        self._told_s: OrderedDict[str, float] = OrderedDict()

    def request_lost(self, loss: RequestLoss) -> None:
        """Announce a loss."""
        self._losses.append(loss)
        self._tell_finished(loss)
        self._announce()
        if self._weighing is None:
            self._weighing = self._loop.call_later(WEIGHING_DELAY_S, self._weigh)

    def _tell_finished(self, loss: RequestLoss) -> None:
        """Tell the peers which parts of a lost prompt this entry saw finish.

        One of them stores what all know, and the entries that start from that have seen nothing.
        """
        now_s = self._loop.time()
        for part, finished_s in self.breakers.parts_finished_lately(loss.fingerprints, now_s):
            if now_s - self._told_s.get(part, float("-inf")) < TELL_FINISHED_INTERVAL_S:
                continue
            self._told_s[part] = now_s
            self._told_s.move_to_end(part)
            if len(self._told_s) > MAX_TOLD:
                self._told_s.popitem(last=False)
            self._cleared.append((part, finished_s))

    def _weigh(self) -> None:
        self._weighing = None
        self.breakers.weigh(self._loop.time())

    def breaker_opened(self, opened: OpenBreaker) -> None:
        """Announce a breaker that opens at its time, or whose probe was put off."""
        self._opened.append(opened)
        self._announce()
        # The probe may be among the waiting requests.
        if not opened.was_probed:
            self._loop.call_at(opened.opens_s, self._end_objections, opened)

    def _end_objections(self, opened: OpenBreaker) -> None:
        # A timer may be early by the resolution of the clock.
        now_s = max(self._loop.time(), opened.opens_s)
        current = self.breakers.find_open((opened.fingerprint,), now_s)
        # A probe may have been sent already, but another copy of the breaker has a time of its own.
        if current is None or current.since_s != opened.since_s:
            return
        log_event(
            Event.FINGERPRINT_REFUSED,
            fingerprint=opened.fingerprint,
            probe_in_s=round(opened.probe_from_s - now_s, 3),
        )
        self._on_opened()

    def fingerprint_cleared(self, fingerprint: str, cleared_s: float) -> None:
        """Announce that a request with a fingerprint finished."""
        log_event(Event.FINGERPRINT_CLEARED, fingerprint=fingerprint)
        self._cleared.append((fingerprint, cleared_s))
        self._announce()

    def _announce(self) -> None:
        self._on_pending()
        self.on_changed()

    def take_pending(self) -> Evidence:
        """Return what has to be sent to the peers, and forget it."""
        now_s = self._loop.time()
        evidence = Evidence(
            losses=tuple(_to_lost(loss, now_s) for loss in self._losses),
            opened=tuple(_to_tripped(opened, now_s) for opened in self._opened),
            cleared=_to_cleared(self._cleared, now_s),
        )
        self._losses, self._opened, self._cleared = [], [], []
        return evidence

    def snapshot(self) -> Evidence:
        """Return what a peer has to know that knows nothing."""
        now_s = self._loop.time()
        losses = self.breakers.losses[-MAX_SNAPSHOT_LOSSES:]
        return Evidence(
            losses=tuple(_to_lost(loss, now_s) for loss in losses),
            opened=tuple(_to_tripped(opened, now_s) for opened in self.breakers.open_breakers),
            cleared=_to_cleared(self.breakers.cleared_parts(now_s, MAX_SNAPSHOT_CLEARED), now_s),
        )

    def lasting(self) -> Evidence:
        """Return what an entry has to know that starts when none is left; empty if nothing counts."""
        now_s = self._loop.time()
        opened = [known for known in self.breakers.open_breakers if now_s < known.forgotten_at_s]
        losses = [loss for loss in self.breakers.losses if _counts(loss, now_s)]
        if not opened and not losses:
            return Evidence()
        return Evidence(
            losses=tuple(_to_lost(loss, now_s) for loss in losses[-MAX_SNAPSHOT_LOSSES:]),
            opened=tuple(_to_tripped(known, now_s) for known in opened),
            cleared=_to_cleared(self.breakers.cleared_parts(now_s, MAX_SNAPSHOT_CLEARED), now_s),
        )

    def apply(self, peer: str, evidence: Evidence) -> None:
        """Apply what a peer sent, all of it or nothing; breakers come first, as they explain losses."""
        problem = find_problem(evidence)
        if problem:
            self._refuse(peer, problem)
            return
        now_s = self._loop.time()
        for cleared in evidence.cleared:
            self.breakers.record_cleared(cleared.fingerprint, now_s - cleared.age_s)
        for tripped in evidence.opened:
            self.breakers.record_open(_to_open(tripped, now_s), now_s)
        for lost in evidence.losses:
            self.breakers.record_loss(_to_loss(lost, now_s), now_s)

    def forget_peer(self, peer: str) -> None:
        """Forget that a peer sent malformed evidence, as its link was lost."""
        self._refused_peers.discard(peer)

    def _refuse(self, peer: str, problem: str) -> None:
        if peer not in self._refused_peers:
            self._refused_peers.add(peer)
            log_event(Event.EVIDENCE_REFUSED, peer=peer, reason=problem)


def _counts(loss: RequestLoss, now_s: float) -> bool:
    """Return whether a loss may still count against one of its fingerprints."""
    return any(now_s - loss.lost_s <= rule_of(name).max_age_s for name in loss.fingerprints)


def _to_cleared(
    cleared: Iterable[tuple[str, float]], now_s: float
) -> tuple[ClearedFingerprint, ...]:
    return tuple(
        ClearedFingerprint(fingerprint=fingerprint, age_s=now_s - cleared_s)
        for fingerprint, cleared_s in cleared
    )


def _to_lost(loss: RequestLoss, now_s: float) -> LostRequest:
    return LostRequest(
        target_id=loss.target_id,
        request=loss.request,
        fingerprints=loss.fingerprints,
        sent_age_s=now_s - loss.sent_s,
        lost_age_s=now_s - loss.lost_s,
    )


def _to_loss(lost: LostRequest, now_s: float) -> RequestLoss:
    return RequestLoss(
        target_id=lost.target_id,
        request=lost.request,
        fingerprints=lost.fingerprints,
        sent_s=now_s - lost.sent_age_s,
        lost_s=now_s - lost.lost_age_s,
    )


def _to_tripped(opened: OpenBreaker, now_s: float) -> TrippedBreaker:
    return TrippedBreaker(
        fingerprint=opened.fingerprint,
        losses=opened.losses,
        age_s=now_s - opened.since_s,
        opens_in_s=opened.opens_s - now_s,
        probe_in_s=opened.probe_from_s - now_s,
        probe_delay_s=opened.probe_delay_s,
        probes=opened.probes,
    )


def _to_open(tripped: TrippedBreaker, now_s: float) -> OpenBreaker:
    return OpenBreaker(
        fingerprint=tripped.fingerprint,
        losses=tripped.losses,
        since_s=now_s - tripped.age_s,
        opens_s=now_s + tripped.opens_in_s,
        probe_from_s=now_s + tripped.probe_in_s,
        probe_delay_s=tripped.probe_delay_s,
        probes=tripped.probes,
    )
