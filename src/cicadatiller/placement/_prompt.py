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
        late_worth: The value that a late response still has.
        latest_first_event_in_s: Time for which the caller awaits the first event and can get the rest
            of the response.
    """

    tokens: int
    output_tokens: int
    due_in_s: float
    max_gap_s: float
    worth: float
    late_worth: float = 0.0
    latest_first_event_in_s: float = math.inf
