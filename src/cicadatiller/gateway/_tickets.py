"""Reservations of engine memory for prompts that one engine can't hold."""

import asyncio
from dataclasses import dataclass

from ..fleet import Target
from ..kernel import Event, TaskSet, log_event
from ..placement import TicketShare
from ._node import Bounds
from ._orders import EngineOrders, ReserveResult

# A reservation whose owner is gone has to lapse before the engine's memory counts as leaked.
HOLD_SHARE = 0.85
RENEW_SHARE = 0.5
SETTLE_INTERVAL_S = 1.5
SETTLE_S = 13.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Ticket:
    """A reservation at one engine."""

    name: str
    target: Target
    tokens: int

    @property
    def helper(self) -> str:
        """Return how a request names it."""
        return f"{self.target.record.address}/{self.name}"


class NoRoomError(Exception):
    """An engine did not reserve the memory."""


class TicketOffice:
    """Takes reservations out, keeps them while they are used, and gives them back.

    Args:
        orders: Sends orders to engines.
        bounds: How long memory may stay reserved.
        tasks: Runs what goes on after a request has ended.
    """

    def __init__(self, *, orders: EngineOrders, bounds: Bounds, tasks: TaskSet) -> None:
        self._orders = orders
        self._tasks = tasks
        self.set_bounds(bounds)

    def set_bounds(self, bounds: Bounds) -> None:
        """Change how long memory may stay reserved."""
        self._hold_s = min(bounds.max_hold_s, HOLD_SHARE * bounds.hold_after_use_s)

    async def take(
        self, work_id: str, shares: tuple[TicketShare, ...], targets: dict[str, Target]
    ) -> "HeldTickets":
        """Reserve all shares of a prompt, or none.

        Raises:
            NoRoomError: If an engine refuses, or does not answer.
        """
        tickets = [
            Ticket(name=f"{work_id}-{number}", target=targets[share.target_id], tokens=share.tokens)
            for number, share in enumerate(shares)
        ]
        held = HeldTickets(office=self, tickets=tuple(tickets))
        try:
            results = await asyncio.gather(*(self.reserve(ticket) for ticket in tickets))
        except BaseException:
            held.give_back()
            raise
        if any(result is not ReserveResult.HELD for result in results):
            held.give_back(unsettled=ReserveResult.UNKNOWN in results)
            refused = ", ".join(
                f"{ticket.target.instance_id}: {result.value}"
                for ticket, result in zip(tickets, results, strict=True)
            )
            raise NoRoomError(f"memory was not reserved ({refused})")
        log_event(Event.GANG_RESERVED, work=work_id, tickets=[t.helper for t in tickets])
        return held

    async def reserve(self, ticket: Ticket) -> ReserveResult:
        """Reserve, or renew, one ticket."""
        return await self._orders.reserve(
            ticket.target.record.address, ticket.name, tokens=ticket.tokens, hold_s=self._hold_s
        )

    def start_release(self, ticket: Ticket, *, unsettled: bool) -> None:
        """Release a ticket in the background."""
        self._tasks.start(self._release(ticket, unsettled), name=f"release {ticket.name}")

    def start_renewing(self, held: "HeldTickets") -> asyncio.Task[None]:
        """Keep tickets from lapsing until the task is cancelled."""
        return self._tasks.start(self._renew(held), name="renew tickets")

    async def _renew(self, held: "HeldTickets") -> None:
        while True:
            await asyncio.sleep(RENEW_SHARE * self._hold_s)
            results = await asyncio.gather(*(self.reserve(ticket) for ticket in held.tickets))
            if ReserveResult.UNKNOWN in results:
                held.is_unsettled = True

    async def _release(self, ticket: Ticket, unsettled: bool) -> None:
        """Release until it is confirmed.

        An order without an answer may take effect seconds later, so that what it reserved then has
        to be released again.
        """
        loop = asyncio.get_running_loop()
        until_s = loop.time() + (SETTLE_S if unsettled else 0.0)
        address = ticket.target.record.address
        while True:
            confirmed = await self._orders.release(address, ticket.name)
            if not confirmed and loop.time() >= until_s:
                until_s = loop.time() + SETTLE_S if not unsettled else until_s
                unsettled = True
            if loop.time() >= until_s:
                break
            await asyncio.sleep(SETTLE_INTERVAL_S)
        log_event(Event.GANG_RELEASED, ticket=ticket.name, confirmed=confirmed)


class HeldTickets:
    """The reservations of one request.

    Attributes:
        tickets: In the order in which they are filled.
        is_unsettled: Whether an order got no answer and may take effect later.
    """

    def __init__(self, *, office: TicketOffice, tickets: tuple[Ticket, ...]) -> None:
        self.tickets = tickets
        self.is_unsettled = False
        self._office = office
        self._renewing: asyncio.Task[None] | None = None

    def keep(self) -> None:
        """Renew them until they are given back."""
        self._renewing = self._office.start_renewing(self)

    def give_back(self, *, unsettled: bool = False) -> None:
        """Release them in the background."""
        if self._renewing is not None:
            self._renewing.cancel()
            self._renewing = None
        for ticket in self.tickets:
            self._office.start_release(ticket, unsettled=unsettled or self.is_unsettled)
