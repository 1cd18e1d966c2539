"""The control interface of engines: memory reservations and reports."""

import enum
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ..egress import ResponseHead


class ReserveResult(enum.Enum):
    """The result of an order to reserve memory; `UNKNOWN` if the engine did not respond."""

    HELD = "held"
    NO_ROOM = "no room"
    UNKNOWN = "unknown"


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineReport:
    """A snapshot of an engine's state, which may be out of date.

    Attributes:
        pace: Slowdown factor against the engine model; 1.0 if it is as fast as modelled.
        tickets: The names of the reservations that it holds.
        unused_tickets: Those that no request uses.
    """

    pace: float = 1.0
    tickets: frozenset[str] = frozenset()
    unused_tickets: frozenset[str] = frozenset()


class EngineClient(Protocol):
    """Sends orders to engines: reserves and releases memory, and requests reports."""

    def listen(self, on_head: Callable[[str, ResponseHead], None]) -> None:
        """Call `on_head` with the address and the head of each response from now on."""

    async def reserve(
        self, address: str, ticket: str, *, tokens: int, hold_s: float, is_renewal: bool = False
    ) -> ReserveResult:
        """Reserve memory, or renew a reservation.

        Args:
            address: The engine's address, "host:port".
            ticket: The name of the reservation.
            tokens: The size of the reservation.
            hold_s: The reservation expires this long after the order arrives at the engine.
            is_renewal: Whether the reservation is held; only whether the engine answers counts then.
        """

    async def release(self, address: str, ticket: str) -> bool:
        """End a reservation; return whether the engine confirmed it."""

    async def report(self, address: str, *, is_current: bool = False) -> EngineReport | None:
        """Return an engine's report; None if it does not respond or the report is unreadable.

        Args:
            address: The engine's address, "host:port".
            is_current: Whether the report must not be one that the engine sent before.
        """
