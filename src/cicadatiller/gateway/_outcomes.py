"""The outcomes of attempts and the retry policy for failed ones."""

import enum
from dataclasses import dataclass

from ..ingress import Response


class Delivery(enum.Enum):
    """What an entry knows of a request after an attempt."""

    UNSENT = "unsent"
    """The request was not sent."""

    REFUSED = "refused"
    """The target states that it did not run the request."""

    LOST = "lost"
    """The request was sent, no complete response arrived, and it may have run."""

    FAILED = "failed"
    """The target ran the request and returned a server error."""

    DONE = "done"
    """The complete response was forwarded to the caller."""


class NextStep(enum.Enum):
    """What the entry does after a failed attempt."""

    RETRY = "retry"
    """Send the request again, usually to another target."""

    PASS_ON = "pass on"
    """Forward the target's error response to the caller."""

    REFUSE = "refuse"
    """Return an error which states that the request did not run."""

    GIVE_UP = "give up"
    """Return an error which states that the request may have run."""


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptOutcome:
    """How one attempt ended.

    Attributes:
        delivery: What is known of the request.
        reason: Why the attempt failed; empty on success.
        status: The status of the target's response; 0 if there is none.
        answer: The target's response if it is a server error.
        blamed: The address of the helper at fault, if the target refused because of a helper.
        reservation_failed: Whether the attempt failed only because memory could not be reserved.
        is_unresponsive: Whether the target only sent no data in time; its response may still arrive.
        has_head: Whether the head of a response had arrived when the request was lost.
        is_disconnected: Whether the connection ended before the end of the response.
    """

    delivery: Delivery
    reason: str
    status: int = 0
    answer: Response | None = None
    blamed: str = ""
    reservation_failed: bool = False
    is_unresponsive: bool = False
    has_head: bool = False
    is_disconnected: bool = False


def choose_next_step(
    outcome: AttemptOutcome, *, is_idempotent: bool, may_have_run: bool, targets_left: int
) -> NextStep:
    """Return the next step after a failed attempt.

    Args:
        outcome: How the attempt ended.
        is_idempotent: Whether the request may run more than once.
        may_have_run: Whether the request may have run in this attempt or an earlier one.
        targets_left: The number of further targets to which the request may be sent. A retry
            after a refusal caused by a helper is allowed even if it is 0.
    """
    if outcome.delivery is Delivery.UNSENT:
        return NextStep.RETRY
    if outcome.delivery is Delivery.REFUSED:
        if targets_left > 0 or outcome.blamed:
            return NextStep.RETRY
        return NextStep.GIVE_UP if may_have_run else NextStep.REFUSE
    if is_idempotent and targets_left > 0:
        return NextStep.RETRY
    return NextStep.PASS_ON if outcome.delivery is Delivery.FAILED else NextStep.GIVE_UP
