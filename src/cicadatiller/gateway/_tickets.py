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
RESERVE_TRIES = 3
RISK_GAIN = 0.1
# An order without an answer may take effect for so long; until then it is looked for.
SETTLE_S = 13.0
SETTLE_INTERVAL_S = 1.2


@dataclass(frozen=True, kw_only=True, slots=True)
class Ticket:
    """A reservation at one engine."""

    name: str
    target: Target
    tokens: int

    @property
    def address(self) -> str:
        """Return the engine's address."""
        return self.target.record.address

    @property
    def helper(self) -> str:
        """Return how a request names it."""
        return f"{self.address}/{self.name}"


class NoRoomError(Exception):
    """Engines did not reserve the memory.

    Attributes:
        refusing: The engines that did not.
    """

    def __init__(self, message: str, refusing: tuple[Target, ...]) -> None:
        super().__init__(message)
        self.refusing = refusing


class TicketOffice:
    """Takes reservations out, keeps them while they are used, and gives them back.

    Args:
        orders: Sends orders to engines.
        bounds: How long memory may stay reserved.
        tasks: Runs what goes on after a request has ended.

    Attributes:
        risk: The share of orders of late that got no answer.
    """

    def __init__(self, *, orders: EngineOrders, bounds: Bounds, tasks: TaskSet) -> None:
        self.risk = 0.0
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
            results = await asyncio.gather(*(self._reserve(ticket, held) for ticket in tickets))
        except BaseException:
            held.is_unsettled = True
            held.give_back()
            raise
        pairs = tuple(zip(tickets, results, strict=True))
        refusing = tuple(t.target for t, result in pairs if result is not ReserveResult.HELD)
        if refusing:
            held.give_back()
            told = ", ".join(f"{t.target.instance_id}: {result.value}" for t, result in pairs)
            raise NoRoomError(f"memory was not reserved ({told})", refusing)
        log_event(Event.GANG_RESERVED, work=work_id, tickets=[ticket.helper for ticket in tickets])
        return held

    async def renew(self, held: "HeldTickets") -> None:
        """Keep tickets from lapsing until cancelled."""
        while True:
            await asyncio.sleep(RENEW_SHARE * self._hold_s)
            await asyncio.gather(*(self._reserve(ticket, held) for ticket in held.tickets))

    async def release(self, ticket: Ticket, *, is_unsettled: bool) -> None:
        """Release a ticket until that is certain.

        An order without an answer may take effect seconds later. What it reserved then is found in
        the engine's report, and released again.
        """
        loop = asyncio.get_running_loop()
        confirmed = await self._orders.release(ticket.address, ticket.name)
        until_s = loop.time() + (SETTLE_S if is_unsettled or not confirmed else 0.0)
        while loop.time() < until_s:
            await asyncio.sleep(SETTLE_INTERVAL_S)
            report = await self._orders.report(ticket.address)
            if report is not None and ticket.name in report.tickets:
                confirmed = await self._orders.release(ticket.address, ticket.name)
        log_event(Event.GANG_RELEASED, ticket=ticket.name, confirmed=confirmed)

    def start_release(self, ticket: Ticket, *, is_unsettled: bool) -> None:
        """Release a ticket in the background."""
        release = self.release(ticket, is_unsettled=is_unsettled)
        self._tasks.start(release, name=f"release {ticket.name}")

    def start_renewing(self, held: "HeldTickets") -> asyncio.Task[None]:
        """Keep tickets from lapsing until the task is cancelled."""
        return self._tasks.start(self.renew(held), name="renew tickets")

    async def _reserve(self, ticket: Ticket, held: "HeldTickets") -> ReserveResult:
        """Reserve or renew one ticket; an order may be sent again, as its name is the same."""
        result = ReserveResult.UNKNOWN
        for _ in range(RESERVE_TRIES):
            result = await self._orders.reserve(
                ticket.address, ticket.name, tokens=ticket.tokens, hold_s=self._hold_s
            )
            is_lost = result is ReserveResult.UNKNOWN
            self.risk += RISK_GAIN * (is_lost - self.risk)
            if not is_lost:
                break
            held.is_unsettled = True
        return result


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

    def give_back(self) -> None:
        """Release them in the background."""
        if self._renewing is not None:
            self._renewing.cancel()
            self._renewing = None
        for ticket in self.tickets:
            self._office.start_release(ticket, is_unsettled=self.is_unsettled)
