"""Requests of generated loads, and their outcomes in a simulation."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class PromptKind:
    """A kind of request, with its arrival process and latency targets.

    Attributes:
        name: The name of the kind.
        arrivals_per_s: The arrival rate.
        mean_tokens: The mean prompt length; lengths have a log-normal distribution.
        length_sigma: The standard deviation of the logarithm of the length.
        max_tokens: The maximum prompt length.
        events: The mean number of events of a response.
        target_latency_s: The target for the time to first event.
        max_gap_s: The longest event gap of a request that is on time.
        worth: The value of a request that is on time.
    """

    name: str
    arrivals_per_s: float
    mean_tokens: float
    length_sigma: float
    max_tokens: int
    events: int
    target_latency_s: float
    max_gap_s: float
    worth: float


@dataclass
class SimulatedRequest:
    """A request and its outcome.

    Attributes:
        entry: The number of the entry that it arrived at.
        place_was_taken: Whether its target had no free slot when it arrived there.
    """

    kind: PromptKind
    arrived_s: float
    tokens: int
    events: int
    entry: int = 0
    place_was_taken: bool = False
    first_s: float | None = None
    last_event_s: float = 0.0
    longest_gap_s: float = 0.0
    ended_s: float | None = None
    refused: bool = False
    caller_left: bool = False
    waited_s: float = 0.0

    @property
    def on_time(self):
        """Return whether the request met both latency targets, and so earned its whole worth."""
        if self.ended_s is None or self.first_s is None:
            return False
        first_is_on_time = self.first_s - self.arrived_s <= self.kind.target_latency_s
        return first_is_on_time and self.longest_gap_s <= self.kind.max_gap_s


def patience_s(kind):
    """Return how long a caller waits for its first event before it leaves."""
    return max(2.0, 4 * kind.target_latency_s, 8 * kind.max_gap_s)
