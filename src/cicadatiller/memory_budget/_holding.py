"""What one connection holds."""

import math
from collections.abc import Callable


class Holding:
    """What one connection holds, and since when its caller has neither sent nor taken anything.

    Args:
        evict: Closes the connection, so that it holds nothing any more.
        now_s: The loop time.

    Attributes:
        input_bytes: What the requests take that it reads, that wait or that are handled.
        output_bytes: What its caller has not taken of the responses.
        is_within_request: Whether a request has begun to arrive and is incomplete.
        is_handled: Whether a request is being handled.
        is_full_ahead: Whether its caller has sent ahead as many requests as may wait.
        progress_s: The loop time at which the caller last sent or took something.
    """

    def __init__(self, *, evict: Callable[[], None], now_s: float) -> None:
        self.input_bytes = 0
        self.output_bytes = 0
        self.is_within_request = False
        self.is_handled = False
        self.is_full_ahead = False
        self.progress_s = now_s
        self.evict = evict

    @property
    def held_bytes(self) -> int:
        """Return what it holds in all."""
        return self.input_bytes + self.output_bytes

    @property
    def is_idle(self) -> bool:
        """Return whether its caller has neither begun a request nor left a response untaken."""
        return not (self.is_handled or self.is_within_request or self.output_bytes)

    @property
    def waits_for_caller(self) -> bool:
        """Return whether it can go on only once its caller sends or takes something."""
        return self.output_bytes > 0 or not self.is_handled

    def stalled_s(self, now_s: float) -> float:
        """Return for how long it has waited for its caller; minus infinity if it does not."""
        return now_s - self.progress_s if self.waits_for_caller else -math.inf
