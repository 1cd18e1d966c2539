"""Exchanges with the peers what is known of parts of prompts under which targets crash.

What is new to an entry it passes on to all its peers, so that it reaches each entry of the fleet in
as many steps as the ring of entries has subsets, and what is known already goes no further.
"""

import asyncio
from collections.abc import Callable

from ..fleet import OpenPart, PartBreakers, PromptLoss
from ..kernel import Event, log_event
from ..mesh import ClearedPart, LostPrompt, PartNews, TrippedPart

# Of the losses, the newest: a new peer learns what may still count.
MAX_SNAPSHOT_LOSSES = 64


class PartExchange:
    """Holds the breakers of parts, and what the peers have to know of them.

    Args:
        on_pending: Called when there is something to send to the peers.
        on_opened: Called after the breaker of a part opened.

    Attributes:
        breakers: The breakers.
    """

    def __init__(self, *, on_pending: Callable[[], None], on_opened: Callable[[], None]) -> None:
        self.breakers = PartBreakers(listener=self)
        self._on_pending = on_pending
        self._on_opened = on_opened
        self._loop = asyncio.get_running_loop()
        self._losses: list[PromptLoss] = []
        self._opened: list[OpenPart] = []
        self._cleared: list[tuple[str, float]] = []

    def prompt_lost(self, loss: PromptLoss) -> None:
        """Announce a loss."""
        self._losses.append(loss)
        self._on_pending()

    def part_opened(self, opened: OpenPart) -> None:
        """Announce a breaker that opens at its time, or whose probe was put off."""
        self._opened.append(opened)
        self._on_pending()
        # The probe may be among the waiting requests.
        if not opened.was_probed:
            self._loop.call_at(opened.opens_s, self._end_objections, opened)

    def _end_objections(self, opened: OpenPart) -> None:
        now_s = self._loop.time()
        if self.breakers.find_open((opened.part,), now_s) != opened:
            return
        log_event(
            Event.PART_REFUSED,
            part=opened.part,
            probe_in_s=round(opened.probe_from_s - now_s, 3),
        )
        self._on_opened()

    def part_cleared(self, part: str, cleared_s: float) -> None:
        """Announce that a request with a part had output."""
        log_event(Event.PART_CLEARED, part=part)
        self._cleared.append((part, cleared_s))
        self._on_pending()

    def take_pending(self) -> PartNews:
        """Return what has to be sent to the peers, and forget it."""
        now_s = self._loop.time()
        news = PartNews(
            losses=tuple(_to_lost(loss, now_s) for loss in self._losses),
            opened=tuple(_to_tripped(opened, now_s) for opened in self._opened),
            cleared=tuple(
                ClearedPart(part=part, age_s=now_s - cleared_s) for part, cleared_s in self._cleared
            ),
        )
        self._losses, self._opened, self._cleared = [], [], []
        return news

    def snapshot(self) -> PartNews:
        """Return what a peer has to know that knows nothing."""
        now_s = self._loop.time()
        losses = self.breakers.losses[-MAX_SNAPSHOT_LOSSES:]
        return PartNews(
            losses=tuple(_to_lost(loss, now_s) for loss in losses),
            opened=tuple(_to_tripped(opened, now_s) for opened in self.breakers.open_parts),
        )

    def apply(self, news: PartNews) -> None:
        """Apply what a peer sent; the breakers come first, as they explain losses."""
        now_s = self._loop.time()
        for cleared in news.cleared:
            self.breakers.record_cleared(cleared.part, now_s - cleared.age_s)
        for tripped in news.opened:
            self.breakers.record_open(_to_open(tripped, now_s), now_s)
        for lost in news.losses:
            self.breakers.record_loss(_to_loss(lost, now_s), now_s)


def _to_lost(loss: PromptLoss, now_s: float) -> LostPrompt:
    return LostPrompt(
        target_id=loss.target_id,
        request_part=loss.request_part,
        parts=loss.parts,
        sent_age_s=now_s - loss.sent_s,
        lost_age_s=now_s - loss.lost_s,
    )


def _to_loss(lost: LostPrompt, now_s: float) -> PromptLoss:
    return PromptLoss(
        target_id=lost.target_id,
        request_part=lost.request_part,
        parts=lost.parts,
        sent_s=now_s - lost.sent_age_s,
        lost_s=now_s - lost.lost_age_s,
    )


def _to_tripped(opened: OpenPart, now_s: float) -> TrippedPart:
    return TrippedPart(
        part=opened.part,
        losses=opened.losses,
        age_s=now_s - opened.since_s,
        opens_in_s=opened.opens_s - now_s,
        probe_in_s=opened.probe_from_s - now_s,
        probe_delay_s=opened.probe_delay_s,
    )


def _to_open(tripped: TrippedPart, now_s: float) -> OpenPart:
    return OpenPart(
        part=tripped.part,
        losses=tripped.losses,
        since_s=now_s - tripped.age_s,
        opens_s=now_s + tripped.opens_in_s,
        probe_from_s=now_s + tripped.probe_in_s,
        probe_delay_s=tripped.probe_delay_s,
    )
