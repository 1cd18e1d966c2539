"""What an entry asks of engines besides running requests."""

import enum
from typing import Protocol


class ReserveResult(enum.Enum):
    """What became of a reservation of memory."""

    HELD = "held"
    NO_ROOM = "no room"
    UNKNOWN = "unknown"


class EngineOrders(Protocol):
    """Reserves and releases the memory of engines."""

    async def reserve(
        self, address: str, ticket: str, *, tokens: int, hold_s: float
    ) -> ReserveResult:
        """Reserve memory, or renew a reservation.

        Args:
            address: The engine, "host:port".
            ticket: Names the reservation.
            tokens: How much.
            hold_s: It lapses after so long, counted from its arrival.
        """

    async def release(self, address: str, ticket: str) -> bool:
        """End a reservation; return whether the engine confirmed it."""
