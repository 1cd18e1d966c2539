"""What became of sending a request to a target, and what may be done next."""

import enum
from dataclasses import dataclass

from ..ingress import Answer


class Delivery(enum.Enum):
    """What is known of one send."""

    UNSENT = "unsent"
    """Nothing left this process."""

    REFUSED = "refused"
    """The target states that it did not run the request."""

    LOST = "lost"
    """It was sent, no whole answer came, and it may have run."""

    FAILED = "failed"
    """The target ran it and answered with a failure of its own."""

    DONE = "done"
    """The whole answer went to the caller."""


class NextStep(enum.Enum):
    """What follows a send that brought no success."""

    RETRY = "retry"
    """Send it to another target."""

    PASS_ON = "pass on"
    """Give the caller the target's own answer."""

    REFUSE = "refuse"
    """Tell the caller that it did not run."""

    GIVE_UP = "give up"
    """Tell the caller that it may have run."""


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptOutcome:
    """How one send ended.

    Attributes:
        delivery: What is known.
        reason: What happened.
        status: The status of the target's answer; 0 if there is none.
        answer: The target's answer, if it is a failure of its own.
        blamed: The address of the helper at fault, where the target refused because of it.
        is_full: Whether a target only had no room.
    """

    delivery: Delivery
    reason: str
    status: int = 0
    answer: Answer | None = None
    blamed: str = ""
    is_full: bool = False


def decide(
    outcome: AttemptOutcome, *, is_idempotent: bool, may_have_run: bool, targets_left: int
) -> NextStep:
    """Return what follows a send that brought no success.

    Args:
        outcome: How it ended.
        is_idempotent: Whether the request may run more than once.
        may_have_run: Whether this send or one before it may have run.
        targets_left: To how many more targets it may be sent. It may go again to one that refused it
            because of a helper, whatever is left.
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
