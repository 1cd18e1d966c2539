"""The state of a target as one entry observes it."""

from collections.abc import Callable

from ..backing import Instance, InstanceState
from ..fleet import Breaker
from ..peer import LoadReport

REPORT_LAG_S = 0.3


class SentWork:
    """A request that this entry has in flight at a target.

    Attributes:
        prompt_tokens: The length of its prompt.
        sent_s: When it was sent, on the event loop's clock.
        awaits_first_token: Whether its first token has not been received yet.
    """

    def __init__(self, *, prompt_tokens: int, sent_s: float) -> None:
        self.prompt_tokens = prompt_tokens
        self.sent_s = sent_s
        self.awaits_first_token = True


class Target:
    """A target, its newest load report and the requests that this entry has in flight there.

    Attributes:
        instance: The target's item in the instance list.
        load: The newest load report; None before the first report and after `clear_load`. It is
            kept if the connection is lost.
        load_received_s: When the newest load report was received, on the event loop's clock.
        breaker: The circuit breaker that ejects the target while it fails.
        unlisted_s: When the target was first missing from the list; None while it is listed.
    """

    def __init__(self, *, instance: Instance) -> None:
        self.instance = instance
        self.load: LoadReport | None = None
        self.load_received_s = 0.0
        self.breaker = Breaker(name=instance.name)
        self.unlisted_s: float | None = None
        self._is_leaving = instance.state is InstanceState.LEAVING
        self._sent: set[SentWork] = set()

    @property
    def address(self) -> str:
        """Return the sidecar's address."""
        return self.instance.address

    @property
    def leaving(self) -> bool:
        """Return whether the list or a load report has ever shown the target as leaving."""
        return self._is_leaving

    @property
    def in_flight(self) -> int:
        """Return the number of requests that this entry has in flight at the target."""
        return len(self._sent)

    @property
    def unreported_requests(self) -> int:
        """Return the number of in-flight requests that the load report can't include yet."""
        return sum(1 for _ in self._unreported())

    def update(self, instance: Instance) -> None:
        """Apply the target's item from a newer list."""
        self.instance = instance
        self.unlisted_s = None
        self._is_leaving = self._is_leaving or instance.state is InstanceState.LEAVING

    def observe(self, load: LoadReport, now_s: float, *, first: bool = False) -> None:
        """Record a load report; ignore it if it is older than the recorded one.

        Args:
            load: The report.
            now_s: The time on the event loop's clock.
            first: Whether it is the first report on a connection. It is always recorded: a new
                incarnation restarts the sequence.
        """
        if not first and self.load is not None and load.sequence < self.load.sequence:
            return
        self.load = load
        self.load_received_s = now_s
        self._is_leaving = self._is_leaving or load.leaving

    def clear_load(self) -> None:
        """Clear the load report; called when the entry closes its connection to the target."""
        self.load = None

    def start_work(self, prompt_tokens: int, now_s: float) -> SentWork:
        """Record a request that is sent to the target."""
        work = SentWork(prompt_tokens=prompt_tokens, sent_s=now_s)
        self._sent.add(work)
        return work

    def end_work(self, work: SentWork) -> None:
        """Record that a request is no longer in flight. Idempotent."""
        self._sent.discard(work)

    def unreported_tokens(self, wanted: Callable[[int], bool]) -> int:
        """Return the sent prompt tokens that the load report can't include yet.

        Args:
            wanted: Returns whether a prompt of a given length in tokens is counted.
        """
        works = self._unreported()
        return sum(work.prompt_tokens for work in works if wanted(work.prompt_tokens))

    def awaiting_prefill_tokens(self, wanted: Callable[[int], bool]) -> int:
        """Return the sent prompt tokens of requests without a first token.

        Args:
            wanted: As in `unreported_tokens`.
        """
        works = (work for work in self._sent if work.awaits_first_token)
        return sum(work.prompt_tokens for work in works if wanted(work.prompt_tokens))

    def _unreported(self) -> list[SentWork]:
        horizon_s = self.load_received_s - REPORT_LAG_S
        return [work for work in self._sent if work.awaits_first_token and work.sent_s > horizon_s]
