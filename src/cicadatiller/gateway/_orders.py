"""What an entry asks of engines besides running requests."""

import enum
from dataclasses import dataclass
from typing import Protocol


class ReserveResult(enum.Enum):
    """What became of a reservation of memory."""

    HELD = "held"
    NO_ROOM = "no room"
    UNKNOWN = "unknown"


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineReport:
    """What an engine says of itself, some time ago.

    Attributes:
        pace: How much slower it is than its model; 1 if it is as fast.
        tickets: The names of its reservations.
    """

    pace: float = 1.0
    tickets: frozenset[str] = frozenset()


class EngineOrders(Protocol):
    """Reserves and releases the memory of engines, and asks for their reports."""

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

    async def report(self, address: str) -> EngineReport | None:
        """Return what an engine says of itself; None if it does not answer."""
