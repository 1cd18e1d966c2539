"""A prompt that is to be placed."""

import math
from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Prompt:
    """What is to be placed.

    Attributes:
        tokens: The prompt.
        output_tokens: The output that is expected.
        due_in_s: Until its first event is due; zero or less if it is late already.
        max_gap_s: The longest pause between events that its caller wants.
        worth: What is lost if it comes late.
        ends_in_s: Until its caller stops waiting for the first event.
    """

    tokens: int
    output_tokens: int
    due_in_s: float
    max_gap_s: float
    worth: float
    ends_in_s: float = math.inf
