"""Limits the memory of response bodies that are read whole."""

from collections.abc import Callable

from ._errors import MalformedResponseError

# Covers usual responses, so that those pass while endless bodies use up the shared bytes.
FREE_BYTES = 32 * 1024
SHARED_BYTES = 4 * 1024 * 1024


class BufferBudget:
    """The bytes that the response bodies of one pool may hold together.

    Each body holds `FREE_BYTES` without a limit on their sum; only what is beyond is shared.

    Args:
        shared_bytes: The limit on the sum of what the bodies hold beyond `FREE_BYTES`.

    Attributes:
        held_bytes: The sum of what they hold beyond it now.
        relieve: Called with the bytes that are missing when too few are left; it may close
            connections whose callers don't read.
    """

    def __init__(self, *, shared_bytes: int = SHARED_BYTES) -> None:
        self.held_bytes = 0
        self.relieve: Callable[[int], object] = lambda missing_bytes: None
        self._shared_bytes = shared_bytes

    def try_hold(self, size_bytes: int) -> bool:
        """Hold more of the shared bytes; return False if too few are left."""
        missing_bytes = self.held_bytes + size_bytes - self._shared_bytes
        if missing_bytes > 0:
            self.relieve(missing_bytes)
            return False
        self.held_bytes += size_bytes
        return True

    def release(self, size_bytes: int) -> None:
        """Return shared bytes."""
        self.held_bytes -= size_bytes


class BufferHold:
    """What one response body holds of a budget.

    Args:
        budget: The budget.
    """

    def __init__(self, *, budget: BufferBudget) -> None:
        self._budget = budget
        self._held_bytes = 0

    def grow(self, body_bytes: int) -> None:
        """Hold as many bytes as a body has now.

        Raises:
            MalformedResponseError: If the budget is used up.
        """
        more_bytes = body_bytes - FREE_BYTES - self._held_bytes
        if more_bytes <= 0:
            return
        if not self._budget.try_hold(more_bytes):
            raise MalformedResponseError(
                f"a response body of {body_bytes} bytes exceeds what all bodies may hold together"
            )
        self._held_bytes += more_bytes

    def release(self) -> None:
        """Return all that is held."""
        self._budget.release(self._held_bytes)
        self._held_bytes = 0
