"""A target as one entry sees it."""

from collections.abc import Callable

from ..backing import Instance, InstanceState
from ..fleet import Breaker
from ..peer import LoadReport

REPORT_LAG_S = 0.3


class SentWork:
    """A request that this entry has at a target.

    Attributes:
        prompt_tokens: Its length.
        sent_s: When it was sent.
        waits: Whether its first token is still to come.
    """

    def __init__(self, *, prompt_tokens: int, sent_s: float) -> None:
        self.prompt_tokens = prompt_tokens
        self.sent_s = sent_s
        self.waits = True


class Target:
    """A target, its newest load report and what this entry has there.

    Attributes:
        instance: Its row of the instance list.
        load: The freshest load report; None before the first.
        load_at_s: When it came.
        breaker: Keeps work away after failures.
        unlisted_s: Since when the list lacks it; None while listed.
    """

    def __init__(self, *, instance: Instance) -> None:
        self.instance = instance
        self.load: LoadReport | None = None
        self.load_at_s = 0.0
        self.breaker = Breaker(name=instance.name)
        self.unlisted_s: float | None = None
        self._left = instance.state is InstanceState.LEAVING
        self._sent: set[SentWork] = set()

    @property
    def address(self) -> str:
        """Return the sidecar's address."""
        return self.instance.address

    @property
    def leaving(self) -> bool:
        """Tell whether the list or the target itself ever said that it leaves."""
        return self._left

    @property
    def in_flight(self) -> int:
        """Return how many requests this entry has there."""
        return len(self._sent)

    @property
    def in_flight_since(self) -> int:
        """Return how many of them the load report can't include yet."""
        return sum(1 for _ in self._unreported())

    def update(self, instance: Instance) -> None:
        """Take a newer row of the list."""
        self.instance = instance
        self.unlisted_s = None
        self._left = self._left or instance.state is InstanceState.LEAVING

    def observe(self, load: LoadReport, now_s: float, *, first: bool = False) -> None:
        """Take a load report, unless a fresher one came before.

        Args:
            load: The report.
            now_s: The present time.
            first: Whether it is the first of a connection, maybe of another incarnation.
        """
        if not first and self.load is not None and load.sequence < self.load.sequence:
            return
        self.load = load
        self.load_at_s = now_s
        self._left = self._left or load.leaving

    def forget_load(self) -> None:
        """Note that there is no connection any more that brings load reports."""
        self.load = None

    def start_work(self, prompt_tokens: int, now_s: float) -> SentWork:
        """Note a request that is being sent."""
        work = SentWork(prompt_tokens=prompt_tokens, sent_s=now_s)
        self._sent.add(work)
        return work

    def end_work(self, work: SentWork) -> None:
        """Note that a request is no longer there. Idempotent."""
        self._sent.discard(work)

    def unreported_tokens(self, wanted: Callable[[int], bool]) -> int:
        """Return the prompt tokens sent here that the load report can't include yet.

        Args:
            wanted: Tells from a prompt's length whether it counts.
        """
        works = self._unreported()
        return sum(work.prompt_tokens for work in works if wanted(work.prompt_tokens))

    def waiting_tokens(self, wanted: Callable[[int], bool]) -> int:
        """Return the prompt tokens sent here whose first output token is still to come."""
        works = (work for work in self._sent if work.waits)
        return sum(work.prompt_tokens for work in works if wanted(work.prompt_tokens))

    def _unreported(self) -> list[SentWork]:
        horizon_s = self.load_at_s - REPORT_LAG_S
        return [work for work in self._sent if work.waits and work.sent_s > horizon_s]
