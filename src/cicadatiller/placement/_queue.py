"""The order in which requests that wait are looked at."""

from ..routes import EngineModel
from ._engine import pass_s, read_s

LEAST_PASSES = 3.5
LEAST_PART_TOKENS = 8192
MOST_PARTS = 8


def least_first_s(model: EngineModel, tokens: int) -> float:
    """Return about the least time to the first event of a prompt, once it has a place."""
    parts = max(1, min(MOST_PARTS, tokens // LEAST_PART_TOKENS))
    busy_pass_s = pass_s(model, model.slots, 0)
    return read_s(model, tokens) / parts + LEAST_PASSES * busy_pass_s


def queue_turn(*, due_in_s: float, least_s: float) -> tuple[bool, float]:
    """Return the turn of a request; smaller ones come first.

    Those that can still be on time go first, in the order in which they are due; those that will
    be late anyway follow. In first-come order an overload of a few in a hundred makes all late.

    Args:
        due_in_s: Until its answer, or its first event, is due.
        least_s: The least time that it takes once it has a place.
    """
    return due_in_s < least_s, due_in_s
