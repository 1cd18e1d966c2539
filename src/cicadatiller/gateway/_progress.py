"""What became of a request so far."""

from dataclasses import dataclass, field


@dataclass(kw_only=True, slots=True)
class Progress:
    """What became of a request so far.

    Attributes:
        last_event_id: The last event that the caller has; empty if it has none.
        sends: How often it was sent.
        sent_to: The targets that it was sent to.
        may_have_run: Whether one of them may have run it.
        tried: The targets that it must not go to again.
        waited_s: How long it waited for a place.
        added_s: What this entry added to the time until the first send, waits for a place left out.
        first_part_s: When the first part of the answer came, by the loop's time; None before.
    """

    last_event_id: bytes = b""
    sends: int = 0
    sent_to: set[str] = field(default_factory=set)
    may_have_run: bool = False
    tried: set[str] = field(default_factory=set)
    waited_s: float = 0.0
    added_s: float = 0.0
    first_part_s: float | None = None
