"""Chooses the connections that are closed so that others can be served.

Serves crowds of callers that stop half-way, read nothing, or open connections and send nothing: those
that make no progress lose their connections before anybody else is refused.
"""

from collections.abc import Iterable

from ._holding import Holding

# Callers that send or read slowly, but steadily, are not taken for stalled.
STALL_S = 1.0


def choose_for_bytes(
    holdings: Iterable[Holding], needed_bytes: int, now_s: float
) -> tuple[Holding, ...]:
    """Return stalled connections that hold as many bytes as needed, or all of them if they don't.

    Those that hold most come first, so that few are closed. Idle ones hold next to nothing and stay.
    """
    stalled = [h for h in holdings if not h.is_idle and h.stalled_s(now_s) >= STALL_S]
    stalled.sort(key=lambda holding: holding.held_bytes, reverse=True)
    chosen: list[Holding] = []
    freed_bytes = 0
    for holding in stalled:
        if freed_bytes >= needed_bytes:
            break
        chosen.append(holding)
        freed_bytes += holding.held_bytes
    return tuple(chosen)


def choose_for_slot(holdings: Iterable[Holding], now_s: float) -> Holding | None:
    """Return the connection that gives way to a new one; None if all make progress.

    A caller that stopped within a request or reads nothing gives way first, then an idle one, which
    may be about to send a request, and then one that has sent many requests ahead.
    """

    def rank(holding: Holding) -> tuple[bool, bool, float]:
        is_stalled = holding.stalled_s(now_s) >= STALL_S
        return not is_stalled, holding.is_idle, holding.progress_s

    giving = [h for h in holdings if h.stalled_s(now_s) >= STALL_S or h.is_full_ahead]
    return min(giving, key=rank, default=None)
