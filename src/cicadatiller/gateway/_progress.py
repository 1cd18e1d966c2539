"""State of a request across its attempts."""

import asyncio
from dataclasses import dataclass, field


@dataclass(kw_only=True, slots=True)
class Progress:
    """State of a request across its attempts.

    Attributes:
        last_event_id: Id of the last event that the caller has; empty if it has none.
        content_type: The media type of the stream that the caller receives; empty before its head.
        can_resume: Whether another attempt can go on after what the caller has; it can't after an
            event without an id.
        has_empty_end: Whether a target ended its connection in place of the first event.
        sends: Number of attempts.
        sent_to: Targets that the request was sent to.
        may_have_run: Whether one of them may have run it.
        tried: Targets that must not receive it again.
        waited_s: Time that it waited in the queue.
        added_s: Proxy overhead until the first attempt: the time since arrival without the time in
            the queue.
        first_output_s: Loop time at which the first event, or the whole response of a plain
            service, arrived; None until then.
        loss_check: Checks whether the target ended with which the request was lost last; None if
            it was not.
        probed: The fingerprint that it probes; empty if it is no probe.
    """

    last_event_id: bytes = b""
    content_type: bytes = b""
    can_resume: bool = True
    has_empty_end: bool = False
    sends: int = 0
    sent_to: set[str] = field(default_factory=set)
    may_have_run: bool = False
    tried: set[str] = field(default_factory=set)
    waited_s: float = 0.0
    added_s: float = 0.0
    first_output_s: float | None = None
    loss_check: asyncio.Task[None] | None = None
    probed: str = ""
