"""The probabilities that a response is late, and that a slot is taken."""

import math

# The probability of being late rises from 0 to 1 between these ratios of needed to allowed time.
LATE_FROM_RATIO = 0.7
LATE_UNTIL_RATIO = 1.1
GAP_LATE_FROM_RATIO = 0.75
GAP_LATE_UNTIL_RATIO = 1.05


def late_probability(needed_s: float, allowed_s: float) -> float:
    """Return the probability that something that needs `needed_s` is late."""
    if allowed_s <= 0:
        return 1.0
    return _ramp(needed_s / allowed_s, LATE_FROM_RATIO, LATE_UNTIL_RATIO)


def gap_late_probability(event_gap_s: float, max_gap_s: float) -> float:
    """Return the probability that the gap between two events exceeds `max_gap_s`."""
    return _ramp(event_gap_s / max_gap_s, GAP_LATE_FROM_RATIO, GAP_LATE_UNTIL_RATIO)


def poisson_at_least(mean: float, count: int) -> float:
    """Return the probability that a Poisson variable is at least `count`."""
    if mean <= 0 or count <= 0:
        return 0.0 if count > 0 else 1.0
    term = math.exp(-mean)
    below = 0.0
    for number in range(count):
        below += term
        term *= mean / (number + 1)
    return max(0.0, 1.0 - below)


def _ramp(ratio: float, begin: float, end: float) -> float:
    if ratio <= begin:
        return 0.0
    if ratio >= end:
        return 1.0
    return (ratio - begin) / (end - begin)
