"""The properties of a prompt that its placement depends on."""

import math
from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Prompt:
    """A prompt to place.

    Attributes:
        tokens: The length of the prompt.
        output_tokens: The expected length of the output.
        due_in_s: Time until the first event is due; zero or less if it is late already.
        max_gap_s: The longest event gap within the caller's latency target.
        worth: The value lost if the response is late.
        caller_leaves_in_s: Time until the caller stops waiting for the first event.
    """

    tokens: int
    output_tokens: int
    due_in_s: float
    max_gap_s: float
    worth: float
    caller_leaves_in_s: float = math.inf
