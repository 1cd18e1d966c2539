"""Estimates which share of a workspace's limits this entry may grant."""

from ..peer import WorkspaceUse

GAIN = 0.1
EQUAL_PULL = 0.05
FLOOR = 0.25
FRESH_S = 30.0
NEGLIGIBLE_SHARE = 1e-9


class UseShare:
    """Follows the share of a workspace's use that sidecars see coming from this entry.

    An entry that the workspace does not use has `FLOOR` of an equal part, so that the floors of
    all entries add up to at most `FLOOR` of the limit. The first report sets the share, later
    ones move it by and by. Work that brings no reports gets an equal part.
    """

    def __init__(self, *, entries: int, now_s: float) -> None:
        self._entries = max(1, entries)
        self._share = 0.0
        self._reports = 0
        self._unreported = 0
        self._learned_s = now_s

    def value(self, entries: int, now_s: float) -> float:
        """Return the share, from just above 0 to 1."""
        self._entries = max(1, entries)
        equal = 1 / self._entries
        if now_s - self._learned_s > FRESH_S:
            self._reports = 0
        if self._reports == 0:
            return equal if self._unreported else FLOOR * equal
        return min(1.0, max(self._share, FLOOR * equal))

    def note_admitted(self) -> None:
        """Count a request whose report is still to come."""
        self._unreported += 1

    def learn(self, use: WorkspaceUse, now_s: float) -> None:
        """Take one report; a sidecar that knows no other entry tells nothing."""
        if use.entries <= 1 and self._entries > 1:
            return
        others = (1 - use.share) * self._unseen_factor(use.entries)
        seen = use.share / max(use.share + others, NEGLIGIBLE_SHARE)
        wanted = (1 - EQUAL_PULL) * seen + EQUAL_PULL / self._entries
        self._reports += 1
        self._unreported = 0
        self._share += max(GAIN, 1 / self._reports) * (wanted - self._share)
        self._learned_s = now_s

    def _unseen_factor(self, seen_entries: int) -> float:
        if seen_entries <= 1:
            return 1.0
        return max(1.0, (self._entries - 1) / (seen_entries - 1))
