"""One request's share of the work of one target."""

import math
from dataclasses import dataclass

WRITE_MARGIN = 1.3


@dataclass(kw_only=True, slots=True)
class Work:
    """What a request asks of one target, as the fleet's entries tell each other.

    Attributes:
        work_id: Unique in the fleet; the parts of a request on several targets share it.
        owner: The entry that placed it.
        target_id: The target.
        read_s: The time to read its part of the prompt.
        read_tokens: The tokens of that part.
        kv_tokens: The memory that it will need there.
        context_tokens: What each step of writing has to look back on; 0 for a helper.
        writes: Whether the output is written there.
        max_gap_s: The longest pause between events that its caller wants.
        due_in_s: How long after its placing the first event is due.
        worth: What is lost if it comes late.
        write_s: How long the writing will take.
        placed_s: When it was placed, by the clock of the one who looks.
        has_begun: Whether its first event was seen.
        read_ends_s: When its part is expected to have been read, by the same clock.
    """

    work_id: str
    owner: str
    target_id: str
    read_s: float = 0.0
    read_tokens: int = 0
    kv_tokens: int = 0
    context_tokens: int = 0
    writes: bool = True
    max_gap_s: float = math.inf
    due_in_s: float = math.inf
    worth: float = 1.0
    write_s: float = 0.0
    placed_s: float = 0.0
    has_begun: bool = False
    read_ends_s: float = 0.0

    @property
    def expected_end_s(self) -> float:
        """Return when it is expected to be over, by the clock of the one who looks."""
        return max(self.placed_s, self.read_ends_s) + WRITE_MARGIN * self.write_s
