"""What those runs of entries used of the retry budget that ended within its window."""

from collections.abc import Iterator
from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class EndedRun:
    """The use of a run of an entry when it ended, or when its link was lost.

    Attributes:
        entry: The name of the entry.
        run: The incarnation of its process.
        service: The service.
        requests: The requests of callers within the last window, by its last report.
        retries: The retries within the last window, by its last report.
        ended_s: The loop time at which it ended.
    """

    entry: str
    run: str
    service: str
    requests: int
    retries: int
    ended_s: float

    def remaining_requests(self, now_s: float, window_s: float) -> float:
        """Return an estimate of the requests that are still within the window.

        Args:
            now_s: The loop time.
            window_s: The length of the window.
        """
        return self.requests * max(0.0, 1.0 - (now_s - self.ended_s) / window_s)


class EndedRuns:
    """The runs that ended within the last window."""

    def __init__(self) -> None:
        self._ended: dict[tuple[str, str], EndedRun] = {}

    def add(self, ended: EndedRun) -> None:
        """Add the use of a run; of two reports of it, the one with more retries is kept."""
        key = (ended.run, ended.service)
        known = self._ended.get(key)
        if known is None or known.retries < ended.retries:
            self._ended[key] = ended

    def remove(self, run: str) -> None:
        """Forget a run that has not ended, as its link is back."""
        for key in [key for key in self._ended if key[0] == run]:
            del self._ended[key]

    def since(self, window_start_s: float) -> Iterator[EndedRun]:
        """Yield the runs that ended after a time, and drop the others."""
        for key, ended in list(self._ended.items()):
            if ended.ended_s <= window_start_s:
                del self._ended[key]
            else:
                yield ended
