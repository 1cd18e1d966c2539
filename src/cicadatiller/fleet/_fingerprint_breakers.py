"""Circuit breakers for what crashes targets: parts of prompts, and whole requests.

Serves loads in which a request crashes each target that begins to run it and comes again, or in
which requests that share one part of their prompts do, at any entry. A breaker of a target does not
help, as the next request crashes the next target. All entries pool what they see:

- Evidence against a fingerprint is a request that was lost with its target. Losses on many
  targets at once say little, so some must have been sent after others.
- A request that finishes clears its fingerprints, as what crashes targets does so each time. One
  that finished lately needs more evidence than one that never did. Output alone says little: a
  target may crash some tokens into an answer.
- Before a breaker opens, all entries have time to say that they saw its fingerprint finish:
  losses are rare and sent to all, finished requests are common and sent only then.
- The requests that were lost with one target are weighed together. Of several fingerprints the
  one is taken that explains the end of most targets; of equals the one whose requests were lost
  after the most similar times, as what crashes a target takes about as long each time; of these
  the narrowest. What it explains no longer counts against the others, and neither do the requests
  that were lost with the same targets.
"""

from collections import OrderedDict, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Protocol

from ._fingerprint import PART_KINDS, RULES, is_part, kind_name, rank_of, rule_of
from ._losses import LossSummary, LossTable, RequestLoss

# Longer than news takes to every entry of a large fleet and back.
OBJECTION_S = 0.5
MIN_PROBE_DELAY_S = 60.0
# The shortest probe delay of breakers that are not tentative.
FIRM_PROBE_DELAY_S = MIN_PROBE_DELAY_S / 2
# The first probe of a part that may well be sound, as its entry started lately; then as others.
DOUBTFUL_PROBE_DELAY_S = 5.0
# The first probe of a part that all lost prompts have, and then the time between two.
COMMON_PROBE_DELAY_S = OBJECTION_S
MAX_PROBE_DELAY_S = 3600.0
# A breaker is forgotten this many probe delays after it might have been probed.
FORGET_AFTER_DELAYS = 4.0
# Of each kind, as requests are many more than parts of prompts.
MAX_CLEARED = 1024
MAX_OPEN = 1024
# How often an entry should have seen a sound part finish, to take it that others never do.
EXPECTED_FINISHES = 1.0
# An entry that had so much time before the first loss has seen what finishes.
CALM_S = 5.0
# Until the requests that were lost with the same target are known, here and at the peers.
WEIGHING_DELAY_S = 0.02
# Times from peers are less exact than this, as they travel as ages.
TIME_TOLERANCE_S = 0.5


@dataclass(frozen=True, kw_only=True, slots=True)
class OpenBreaker:
    """The open breaker of a fingerprint. Times are loop times.

    Attributes:
        fingerprint: The fingerprint.
        losses: The number of losses, each sent after the one before, that count against it.
        since_s: When the first of them happened.
        opens_s: When it opens, unless an entry has seen a request with it finish since.
        probe_from_s: From then on one request may be sent as a probe, if `may_be_probed`.
        probe_delay_s: The time between two probes.
        probes: The number of probes that were sent.
    """

    fingerprint: str
    losses: int
    since_s: float
    opens_s: float
    probe_from_s: float
    probe_delay_s: float
    probes: int = 0

    @property
    def was_probed(self) -> bool:
        """Return whether a probe was sent, so that all entries know the breaker already."""
        return self.probes > 0

    @property
    def is_tentative(self) -> bool:
        """Return whether it is probed at short intervals, as all prompts may have its part."""
        return self.probe_delay_s < FIRM_PROBE_DELAY_S

    @property
    def may_be_probed(self) -> bool:
        """Return whether a further probe may ever be sent."""
        max_probes = rule_of(self.fingerprint).max_probes
        return max_probes is None or self.probes < max_probes

    def is_probe_due(self, now_s: float) -> bool:
        """Return whether a request may be sent as a probe."""
        return self.may_be_probed and now_s >= self.probe_from_s

    @property
    def forgotten_at_s(self) -> float:
        """Return when the breaker is forgotten if no probe is sent."""
        kept_until_s = self.since_s + rule_of(self.fingerprint).kept_s
        return max(kept_until_s, self.probe_from_s + FORGET_AFTER_DELAYS * self.probe_delay_s)

    @property
    def retry_at_s(self) -> float:
        """Return when a request may be sent again at the earliest."""
        return self.probe_from_s if self.may_be_probed else self.forgotten_at_s


class EvidenceListener(Protocol):
    """Receives what is new to this entry, so that its peers learn it."""

    def request_lost(self, loss: RequestLoss) -> None:
        """Handle a loss."""

    def breaker_opened(self, opened: OpenBreaker) -> None:
        """Handle a breaker that opens at its time, or whose probe was put off."""

    def fingerprint_cleared(self, fingerprint: str, cleared_s: float) -> None:
        """Handle a fingerprint that finished, whose breaker is open here or at a peer."""


class FingerprintBreakers:
    """The circuit breakers of fingerprints.

    Args:
        listener: Receives what is new to this entry.
        started_s: The loop time from which on this entry sees what finishes.
    """

    def __init__(self, *, listener: EvidenceListener, started_s: float = float("-inf")) -> None:
        self._listener = listener
        self._started_s = started_s
        self._finished_prompts = 0
        self._losses = LossTable()
        self._unweighed: list[RequestLoss] = []
        self._open: dict[str, OpenBreaker] = {}
        # When a request with each fingerprint finished last, by the name of its kind.
        self._cleared_s: dict[str, OrderedDict[str, float]] = defaultdict(OrderedDict)
        # The `since_s` of the breaker and the time that the peers were told.
        self._refuted: dict[str, tuple[float, float]] = {}

    @property
    def open_breakers(self) -> tuple[OpenBreaker, ...]:
        """Return the breakers that are open or open soon."""
        return tuple(self._open.values())

    @property
    def losses(self) -> tuple[RequestLoss, ...]:
        """Return the losses that are not forgotten."""
        return self._losses.losses

    def cleared_parts(self, now_s: float, limit: int) -> tuple[tuple[str, float], ...]:
        """Return parts of prompts that finished lately, with the loop times at which they did.

        First come those of requests that were lost, by the number of these, then the newest.

        Args:
            now_s: The loop time.
            limit: The largest number to return of each kind.
        """
        cleared: list[tuple[str, float]] = []
        for kind in PART_KINDS:
            oldest_s = now_s - RULES[kind].max_age_s
            finished = self._cleared_s[kind.value].items()
            lately = [(name, at_s) for name, at_s in finished if at_s > oldest_s]
            lately.sort(key=lambda item: (self._losses.count(item[0]), item[1]), reverse=True)
            cleared.extend(lately[:limit])
        return tuple(cleared)

    def parts_finished_lately(
        self, fingerprints: Iterable[str], now_s: float
    ) -> tuple[tuple[str, float], ...]:
        """Return which of some parts of prompts finished lately, with the loop times."""
        return tuple(
            (name, self._cleared_at_s(name))
            for name in fingerprints
            if is_part(name) and self._has_finished_lately(name, now_s)
        )

    def find_open(self, fingerprints: Iterable[str], now_s: float) -> OpenBreaker | None:
        """Return the first open breaker of a request's fingerprints; None if there is none."""
        if not self._open:
            return None
        for fingerprint in fingerprints:
            opened = self._open.get(fingerprint)
            if opened is not None and now_s >= opened.forgotten_at_s:
                del self._open[fingerprint]
            elif opened is not None and now_s >= opened.opens_s:
                return opened
        return None

    def objections_end_s(self, fingerprints: Iterable[str], now_s: float) -> float:
        """Return when it is known whether breakers of a request open; `now_s` if none may soon."""
        if not self._open:
            return now_s
        pending = (self._open[name].opens_s for name in fingerprints if name in self._open)
        return max(now_s, max(pending, default=now_s))

    def record_probe(self, opened: OpenBreaker, now_s: float) -> None:
        """Put off the next probe of a fingerprint, as a request with it is sent now."""
        known = self._open.get(opened.fingerprint, opened)
        delay_s = min(MAX_PROBE_DELAY_S, 2 * known.probe_delay_s)
        self._set_open(
            replace(
                known,
                probe_from_s=now_s + delay_s,
                probe_delay_s=delay_s,
                probes=known.probes + 1,
            )
        )

    def record_loss(self, loss: RequestLoss, now_s: float) -> None:
        """Record a loss that this entry or a peer saw; `weigh` is due `WEIGHING_DELAY_S` later.

        Args:
            loss: The loss.
            now_s: The loop time.
        """
        if self._losses.add(loss, now_s):
            self._unweighed.append(loss)
            self._listener.request_lost(loss)

    def weigh(self, now_s: float) -> None:
        """Open the breakers for which the losses since the last call suffice."""
        losses, self._unweighed = self._unweighed, []
        # Without duplicates, and in order.
        fingerprints = dict.fromkeys(name for loss in losses for name in loss.fingerprints)
        while (best := self._find_best(fingerprints, now_s)) is not None:
            self._set_open(best)
        if losses:
            self._weigh_tentative(now_s)

    def survival_time_s(self, fingerprint: str) -> float:
        """Return the run time after which a request has survived: more than any lost one's."""
        return self._losses.longest_time_to_loss_s(fingerprint) + OBJECTION_S

    def record_finished(self, fingerprints: Iterable[str], now_s: float) -> None:
        """Record that a request finished, which clears its fingerprints."""
        names = tuple(fingerprints)
        if names and is_part(names[0]):
            self._finished_prompts += 1
        for fingerprint in names:
            self.record_cleared(fingerprint, now_s)

    def record_cleared(self, fingerprint: str, cleared_s: float) -> None:
        """Record that a request with a fingerprint finished, here or at a peer.

        Args:
            fingerprint: The fingerprint.
            cleared_s: The loop time at which it did.
        """
        cleared = self._cleared_s[kind_name(fingerprint)]
        if cleared_s > cleared.get(fingerprint, float("-inf")):
            cleared[fingerprint] = cleared_s
        cleared.move_to_end(fingerprint)
        if len(cleared) > MAX_CLEARED:
            self._refuted.pop(cleared.popitem(last=False)[0], None)
        if not self._open:
            return
        opened = self._open.get(fingerprint)
        if opened is not None and self._is_cleared(opened):
            del self._open[fingerprint]
            self._refute(opened)

    def record_open(self, opened: OpenBreaker, now_s: float) -> None:
        """Record a breaker that a peer opened, unless this entry knows that it is sound."""
        if self._is_cleared(opened):
            self._refute(opened)
            return
        known = self._open.get(opened.fingerprint)
        is_known = known is not None and (
            opened.probe_from_s <= known.probe_from_s + TIME_TOLERANCE_S
            and opened.probes <= known.probes
        )
        if is_known or now_s >= opened.forgotten_at_s:
            return
        if known is not None:
            opened = replace(opened, probes=max(opened.probes, known.probes))
        self._set_open(opened)

    def _cleared_at_s(self, fingerprint: str) -> float:
        return self._cleared_s[kind_name(fingerprint)].get(fingerprint, float("-inf"))

    def _has_finished_lately(self, fingerprint: str, now_s: float) -> bool:
        return self._cleared_at_s(fingerprint) > now_s - rule_of(fingerprint).max_age_s

    def _is_cleared(self, opened: OpenBreaker) -> bool:
        """Return whether a finished request outweighs the losses that count against one."""
        cleared_s = self._cleared_at_s(opened.fingerprint)
        rule = rule_of(opened.fingerprint)
        is_known = cleared_s > opened.since_s - rule.max_age_s
        return cleared_s > opened.since_s or (is_known and opened.losses < rule.steps_if_known)

    def _refute(self, opened: OpenBreaker) -> None:
        """Tell the peers that a fingerprint finished, once for all copies of a breaker."""
        fingerprint = opened.fingerprint
        cleared_s = self._cleared_at_s(fingerprint)
        since_s, told_s = self._refuted.get(fingerprint, (float("-inf"), float("-inf")))
        is_same_breaker = abs(opened.since_s - since_s) <= TIME_TOLERANCE_S
        if is_same_breaker and cleared_s <= told_s + TIME_TOLERANCE_S:
            return
        self._refuted[fingerprint] = (opened.since_s, cleared_s)
        self._listener.fingerprint_cleared(fingerprint, cleared_s)

    def _set_open(self, opened: OpenBreaker) -> None:
        self._open[opened.fingerprint] = opened
        if len(self._open) > MAX_OPEN:
            del self._open[next(iter(self._open))]
        self._listener.breaker_opened(opened)

    def _find_best(self, fingerprints: Iterable[str], now_s: float) -> OpenBreaker | None:
        """Return the breaker with the most evidence; None if it does not suffice for any.

        Those of fingerprints that finished lately come after all others.
        """
        best, best_order = None, (False, 0, 0.0, 0)
        for fingerprint in fingerprints:
            if fingerprint in self._open:
                continue
            evidence = self._weigh_one(fingerprint, now_s)
            if evidence is None:
                continue
            order = (
                not self._has_finished_lately(fingerprint, now_s),
                evidence.targets,
                -round(evidence.spread_s, 2),
                rank_of(fingerprint),
            )
            opened = self._make_breaker(fingerprint, evidence, now_s)
            # Of equals the last one: a prompt's more specific parts come later.
            if order >= best_order and not self._is_cleared(opened):
                best, best_order = opened, order
        return best

    def _weigh_one(self, fingerprint: str, now_s: float) -> LossSummary | None:
        """Return the evidence against a fingerprint that open breakers do not explain.

        Tentative ones explain nothing, as their parts may well be sound.
        """
        blamed = [name for name, opened in self._open.items() if not opened.is_tentative]
        return self._losses.weigh(
            fingerprint,
            after_s=self._cleared_at_s(fingerprint),
            blamed=blamed,
            may_be_sound=self._is_doubtful(fingerprint, now_s),
            now_s=now_s,
        )

    def _weigh_tentative(self, now_s: float) -> None:
        """Close the tentative breakers that others explain, and keep those with more evidence."""
        for opened in [known for known in self._open.values() if known.is_tentative]:
            evidence = self._weigh_one(opened.fingerprint, now_s)
            if evidence is None:
                del self._open[opened.fingerprint]
            elif not self._may_be_common(opened.fingerprint, evidence, now_s):
                firm = self._make_breaker(opened.fingerprint, evidence, now_s)
                self._set_open(replace(firm, opens_s=opened.opens_s, probes=opened.probes))

    def _make_breaker(self, fingerprint: str, evidence: LossSummary, now_s: float) -> OpenBreaker:
        """Return the breaker that opens by some evidence.

        If all targets ended at the same moment, one copy is tried at once; if this entry can't know
        that the fingerprint never finishes, soon.
        """
        opens_s = now_s + OBJECTION_S
        probe_delay_s = MIN_PROBE_DELAY_S
        probe_from_s = now_s + MIN_PROBE_DELAY_S
        if evidence.steps < rule_of(fingerprint).steps:
            probe_from_s = opens_s
        elif self._may_be_common(fingerprint, evidence, now_s):
            probe_from_s = opens_s
            probe_delay_s = COMMON_PROBE_DELAY_S
        elif self._is_doubtful(fingerprint, now_s):
            probe_from_s = now_s + DOUBTFUL_PROBE_DELAY_S
            probe_delay_s = FIRM_PROBE_DELAY_S
        return OpenBreaker(
            fingerprint=fingerprint,
            losses=evidence.steps,
            since_s=evidence.since_s,
            opens_s=opens_s,
            probe_from_s=probe_from_s,
            probe_delay_s=probe_delay_s,
        )

    def _may_be_common(self, fingerprint: str, evidence: LossSummary, now_s: float) -> bool:
        """Return whether a part can't be told from one that all prompts of a route have.

        With the evidence that is needed against one that finished lately, it counts as the cause.
        """
        has_enough = evidence.steps >= rule_of(fingerprint).steps_if_known
        if has_enough or not self._losses.is_common(fingerprint):
            return False
        return self._is_doubtful(fingerprint, now_s)

    def _is_doubtful(self, fingerprint: str, now_s: float) -> bool:
        """Return whether this entry started in a storm and can't know yet what never finishes.

        Of the prompts that finished, a sound part should have been in as many as of the lost ones.
        """
        is_new = now_s - self._started_s < rule_of(fingerprint).max_age_s
        had_calm = self._losses.first_lost_s - self._started_s >= CALM_S
        if not is_new or had_calm or not is_part(fingerprint):
            return False
        return self._finished_prompts * self._losses.share(fingerprint) < EXPECTED_FINISHES
