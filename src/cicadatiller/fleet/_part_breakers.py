"""Circuit breakers for parts of prompts under which targets crash.

Serves loads in which requests that share one part of their prompts crash each target that begins an
answer, and arrive at any entry. A breaker of a target does not help, as the next request crashes
the next target. All entries pool what they see:

- Evidence against a part is a request that was lost with its target before it had any output. The
  requests that were lost together count once, and so do those that were sent before the last loss
  that counted: a failure of many targets at once says nothing about a part.
- Any output of a request clears its parts, as a part that crashes targets does so each time. One
  that had output lately needs more evidence than one that never had.
- Before the breaker of a part opens, all entries have time to say that they saw its output: losses
  are rare and sent to all, output is common and sent only then.
- Of several parts the one is taken that explains the end of most targets, of equals the most
  specific one. What it explains no longer counts against the others, and neither do the requests
  that were lost with the same targets.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Protocol

LOSSES_TO_OPEN = 3
# Of a part that had output within `LOSS_MAX_AGE_S` before.
LOSSES_TO_OPEN_KNOWN = 6
# One request may be lost several times by chance, as it is sent again.
REQUESTS_TO_OPEN = 2
LOSS_MAX_AGE_S = 600.0
MAX_LOSSES = 256
# Longer than news takes to every entry of a large fleet and back.
OBJECTION_S = 0.5
MIN_PART_PROBE_DELAY_S = 60.0
MAX_PART_PROBE_DELAY_S = 3600.0
# A breaker is forgotten this many probe delays after it might have been probed.
FORGET_AFTER_DELAYS = 4.0
MAX_CLEARED_PARTS = 1024
# Times from peers are less exact than this, as they travel as ages.
TIME_TOLERANCE_S = 0.5


@dataclass(frozen=True, kw_only=True, slots=True)
class PromptLoss:
    """A request that was lost with its target before it had any output. Times are loop times.

    Attributes:
        target_id: The instance id of the target.
        request_part: The last part of the prompt, which identifies the request or its session.
        parts: The other parts in order.
        sent_s: When it was sent to the target.
        lost_s: When it was lost.
    """

    target_id: str
    request_part: str
    parts: tuple[str, ...]
    sent_s: float
    lost_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class OpenPart:
    """The open breaker of a part. Times are loop times.

    Attributes:
        part: The part.
        losses: The number of losses that count against the part.
        since_s: When the first of them happened.
        opens_s: When it opens, unless an entry has seen output of the part since.
        probe_from_s: From then on one request may be sent as a probe.
        probe_delay_s: The time between two probes.
    """

    part: str
    losses: int
    since_s: float
    opens_s: float
    probe_from_s: float
    probe_delay_s: float

    @property
    def was_probed(self) -> bool:
        """Return whether a probe was sent, so that all entries know the breaker already."""
        return self.probe_delay_s > MIN_PART_PROBE_DELAY_S

    @property
    def forgotten_at_s(self) -> float:
        """Return when the breaker is forgotten if no request has the part."""
        return self.probe_from_s + FORGET_AFTER_DELAYS * self.probe_delay_s


class PartListener(Protocol):
    """Receives what is new to this entry, so that its peers learn it."""

    def prompt_lost(self, loss: PromptLoss) -> None:
        """Handle a loss."""

    def part_opened(self, opened: OpenPart) -> None:
        """Handle a breaker that opens at its time, or whose probe was put off."""

    def part_cleared(self, part: str, cleared_s: float) -> None:
        """Handle the output of a request with a part whose breaker is open here or at a peer."""


class PartBreakers:
    """The circuit breakers of the parts of prompts.

    Args:
        listener: Receives what is new to this entry.
    """

    def __init__(self, *, listener: PartListener) -> None:
        self._listener = listener
        self._losses: OrderedDict[tuple[str, str], PromptLoss] = OrderedDict()
        self._open: dict[str, OpenPart] = {}
        self._cleared_s: OrderedDict[str, float] = OrderedDict()
        # The `since_s` of the breaker and the time of the output that the peers were told, by part.
        self._refuted: dict[str, tuple[float, float]] = {}

    @property
    def open_parts(self) -> tuple[OpenPart, ...]:
        """Return the breakers that are open or open soon."""
        return tuple(self._open.values())

    @property
    def losses(self) -> tuple[PromptLoss, ...]:
        """Return the losses that are not forgotten."""
        return tuple(self._losses.values())

    def find_open(self, parts: Iterable[str], now_s: float) -> OpenPart | None:
        """Return the first open breaker among the parts of a prompt; None if there is none."""
        if not self._open:
            return None
        for part in parts:
            opened = self._open.get(part)
            if opened is not None and now_s >= opened.forgotten_at_s:
                del self._open[part]
            elif opened is not None and now_s >= opened.opens_s:
                return opened
        return None

    def objections_end_s(self, parts: Iterable[str], now_s: float) -> float:
        """Return when it is known whether breakers of a prompt open; `now_s` if none may soon."""
        pending = (self._open[part].opens_s for part in parts if part in self._open)
        return max(now_s, max(pending, default=now_s))

    def start_probe(self, opened: OpenPart, now_s: float) -> None:
        """Put off the next probe of a part, as one request with it is sent now."""
        delay_s = min(MAX_PART_PROBE_DELAY_S, 2 * opened.probe_delay_s)
        self._set_open(replace(opened, probe_from_s=now_s + delay_s, probe_delay_s=delay_s))

    def record_loss(self, loss: PromptLoss, now_s: float) -> None:
        """Record a loss that this entry or a peer saw, after which a breaker may open soon.

        Args:
            loss: The loss.
            now_s: The loop time.
        """
        key = (loss.target_id, loss.request_part)
        if key in self._losses or now_s - loss.lost_s > LOSS_MAX_AGE_S or not loss.parts:
            return
        self._losses[key] = loss
        self._forget_losses(now_s)
        self._listener.prompt_lost(loss)
        self._open_if_clear(loss, now_s)

    def record_output(self, parts: Iterable[str], now_s: float) -> None:
        """Record that a request had output, which clears its parts."""
        for part in parts:
            self.record_cleared(part, now_s)

    def record_cleared(self, part: str, cleared_s: float) -> None:
        """Record that a request with a part had output, here or at a peer.

        Args:
            part: The part.
            cleared_s: The loop time of the output.
        """
        self._cleared_s[part] = max(cleared_s, self._cleared_s.get(part, cleared_s))
        self._cleared_s.move_to_end(part)
        if len(self._cleared_s) > MAX_CLEARED_PARTS:
            self._refuted.pop(self._cleared_s.popitem(last=False)[0], None)
        opened = self._open.get(part)
        if opened is not None and self._is_cleared(opened):
            del self._open[part]
            self._refute(opened)

    def record_open(self, opened: OpenPart, now_s: float) -> None:
        """Record a breaker that a peer opened, unless this entry knows that the part is sound."""
        if self._is_cleared(opened):
            self._refute(opened)
            return
        known = self._open.get(opened.part)
        is_known = known is not None and (
            opened.probe_from_s <= known.probe_from_s + TIME_TOLERANCE_S
        )
        if not is_known and now_s < opened.forgotten_at_s:
            self._set_open(opened)

    def _is_cleared(self, opened: OpenPart) -> bool:
        """Return whether output of a part outweighs the losses that count against it."""
        cleared_s = self._cleared_s.get(opened.part)
        if cleared_s is None:
            return False
        is_known = cleared_s > opened.since_s - LOSS_MAX_AGE_S
        return cleared_s > opened.since_s or (is_known and opened.losses < LOSSES_TO_OPEN_KNOWN)

    def _refute(self, opened: OpenPart) -> None:
        """Tell the peers that a part had output, once for all copies of a breaker."""
        cleared_s = self._cleared_s[opened.part]
        since_s, told_s = self._refuted.get(opened.part, (float("-inf"), float("-inf")))
        is_same_breaker = abs(opened.since_s - since_s) <= TIME_TOLERANCE_S
        if is_same_breaker and cleared_s <= told_s + TIME_TOLERANCE_S:
            return
        self._refuted[opened.part] = (opened.since_s, cleared_s)
        self._listener.part_cleared(opened.part, cleared_s)

    def _set_open(self, opened: OpenPart) -> None:
        self._open[opened.part] = opened
        self._listener.part_opened(opened)

    def _forget_losses(self, now_s: float) -> None:
        for key, loss in list(self._losses.items()):
            if len(self._losses) > MAX_LOSSES or now_s - loss.lost_s > LOSS_MAX_AGE_S:
                del self._losses[key]

    def _open_if_clear(self, loss: PromptLoss, now_s: float) -> None:
        """Open the breaker of the part of a loss that has the most evidence, if that suffices."""
        unexplained = self._unexplained_losses()
        if loss not in unexplained:
            return
        best, best_targets = None, 0
        for part in loss.parts:
            losses = [other for other in unexplained if self._counts_against(part, other)]
            targets = len({other.target_id for other in losses})
            opened = self._judge(part, losses, now_s)
            # Of equals the last one: the parts of a prompt are in order, common ones first.
            if opened is not None and targets >= best_targets:
                best, best_targets = opened, targets
        if best is not None:
            self._set_open(best)

    def _unexplained_losses(self) -> list[PromptLoss]:
        """Return the losses with targets that did not end under a part whose breaker is open."""
        losses = self._losses.values()
        explained = {
            loss.target_id for loss in losses if any(part in self._open for part in loss.parts)
        }
        unexplained = [loss for loss in losses if loss.target_id not in explained]
        return sorted(unexplained, key=lambda loss: loss.lost_s)

    def _counts_against(self, part: str, loss: PromptLoss) -> bool:
        return part in loss.parts and loss.lost_s > self._cleared_s.get(part, float("-inf"))

    def _judge(self, part: str, losses: list[PromptLoss], now_s: float) -> OpenPart | None:
        """Return the breaker of a part if some losses suffice to open it; None otherwise."""
        evidence = _independent(losses)
        if len(evidence) < LOSSES_TO_OPEN:
            return None
        if len({loss.request_part for loss in losses}) < REQUESTS_TO_OPEN:
            return None
        opened = OpenPart(
            part=part,
            losses=len(evidence),
            since_s=evidence[0].lost_s,
            opens_s=now_s + OBJECTION_S,
            probe_from_s=now_s + MIN_PART_PROBE_DELAY_S,
            probe_delay_s=MIN_PART_PROBE_DELAY_S,
        )
        return None if self._is_cleared(opened) else opened


def _independent(losses: Iterable[PromptLoss]) -> list[PromptLoss]:
    """Return the losses on different targets of which each was sent after the one before."""
    independent: list[PromptLoss] = []
    targets = set()
    for loss in losses:
        is_later = not independent or loss.sent_s >= independent[-1].lost_s
        if is_later and loss.target_id not in targets:
            independent.append(loss)
            targets.add(loss.target_id)
    return independent
