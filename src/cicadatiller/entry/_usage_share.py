"""Estimates the share of a workspace's limits that this entry may grant."""

from ..peer import WorkspaceUse

SMOOTHING_FACTOR = 0.1
EQUAL_SHARE_WEIGHT = 0.05
MIN_SHARE_OF_EQUAL = 0.25
REPORT_MAX_AGE_S = 30.0
NEGLIGIBLE_SHARE = 1e-9


class UsageShare:
    """Tracks the share of a workspace's use that comes from this entry, as sidecars report it.

    An entry that the workspace does not use gets `MIN_SHARE_OF_EQUAL` of an equal share, so that
    the minimums of all entries add up to at most `MIN_SHARE_OF_EQUAL` of the limit. The first
    report sets the share; later ones move it gradually, each with a weight of at least
    `SMOOTHING_FACTOR`. An entry without recent reports gets an equal share once it has admitted a
    request.
    """

    def __init__(self, *, entries: int, now_s: float) -> None:
        self._entries = max(1, entries)
        self._share = 0.0
        self._reports = 0
        self._unreported = 0
        self._last_report_s = now_s

    def value(self, entries: int, now_s: float) -> float:
        """Return the share, above 0 and at most 1."""
        self._entries = max(1, entries)
        equal = 1 / self._entries
        if now_s - self._last_report_s > REPORT_MAX_AGE_S:
            self._reports = 0
        if self._reports == 0:
            return equal if self._unreported else MIN_SHARE_OF_EQUAL * equal
        return min(1.0, max(self._share, MIN_SHARE_OF_EQUAL * equal))

    def record_admission(self) -> None:
        """Count an admitted request, which no report covers yet."""
        self._unreported += 1

    def record_usage(self, use: WorkspaceUse, now_s: float) -> None:
        """Apply a report; ignored if the sidecar knows no other entry, as it can't show a share."""
        if use.entries <= 1 and self._entries > 1:
            return
        others = (1 - use.share) * self._unseen_factor(use.entries)
        seen = use.share / max(use.share + others, NEGLIGIBLE_SHARE)
        wanted = (1 - EQUAL_SHARE_WEIGHT) * seen + EQUAL_SHARE_WEIGHT / self._entries
        self._reports += 1
        self._unreported = 0
        self._share += max(SMOOTHING_FACTOR, 1 / self._reports) * (wanted - self._share)
        self._last_report_s = now_s

    def _unseen_factor(self, seen_entries: int) -> float:
        if seen_entries <= 1:
            return 1.0
        return max(1.0, (self._entries - 1) / (seen_entries - 1))
