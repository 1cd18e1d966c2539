"""Decides whether a prompt is placed now, waits or is refused."""

import enum

from ._demand import Demand
from ._placement import Placement
from ._prompt import Prompt

# A prompt is placed if the loss to others is at most the sum of these shares of its gain and of its
# worth. A late prompt gains nothing, so only the second share applies to it.
MAX_LOSS_PER_GAIN = 0.6
MAX_LOSS_PER_WORTH = 0.1
# Prefill costs nothing while it takes less than `FREE_PREFILL_LOAD` of the targets' time. Above,
# the cost in worth of a second of prefill is `PREFILL_PRICE` times the excess. From
# `FULL_PREFILL_LOAD` on, prefill demand exceeds the capacity.
FREE_PREFILL_LOAD = 0.5
PREFILL_PRICE = 3.0
FULL_PREFILL_LOAD = 1.0


class Verdict(enum.Enum):
    """What to do with a prompt now."""

    PLACE = "place"
    WAIT = "wait"
    REFUSE = "refuse"


def evaluate_placement(
    placement: Placement, prompt: Prompt, demand: Demand, *, must_decide: bool = False
) -> Verdict:
    """Decide whether to place a prompt now, keep it waiting, or refuse it.

    A prompt is placed if its gain outweighs the loss to others. One that is late already gains
    nothing and waits until its placement delays hardly anyone. While prefill capacity is scarce,
    one that needs much prefill for its worth waits, too. One whose response is expected to end
    after its caller has left is refused.

    Args:
        placement: The best placement.
        prompt: The prompt.
        demand: The expected demand.
        must_decide: Whether the prompt may not wait any longer and must be placed or refused.
    """
    if placement.first_event_in_s >= prompt.latest_first_event_in_s:
        return Verdict.REFUSE
    gain = prompt.worth - placement.own_loss
    prefill_s = placement.part_prefill_s * (1 + len(placement.helper_ids))
    prefill_cost = PREFILL_PRICE * max(0.0, demand.prefill_load - FREE_PREFILL_LOAD) * prefill_s
    loss = placement.loss_to_others + prefill_cost
    if loss <= MAX_LOSS_PER_GAIN * gain + MAX_LOSS_PER_WORTH * prompt.worth:
        return Verdict.PLACE
    # A late prompt gains nothing by waiting while prefill demand exceeds the capacity.
    waiting_is_futile = prompt.due_in_s <= 0 and demand.prefill_load > FULL_PREFILL_LOAD
    if not must_decide and not waiting_is_futile:
        return Verdict.WAIT
    return Verdict.PLACE if loss <= gain + prompt.late_worth else Verdict.REFUSE
