"""Reserves engine memory for prompts that do not fit into one engine."""

import asyncio
import contextlib
import math
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass

from ..egress import EgressError
from ..fleet import Target
from ..kernel import Event, TaskSet, log_event
from ..placement import ReservationShare
from ._node import Bounds
from ._orders import EngineClient, ReserveResult

# Share of `hold_after_use_s` that a reservation is held without renewal. It stays below 1 so that
# the reservation of a failed owner expires before the engine's memory counts as leaked.
HOLD_TIME_SHARE = 0.7
RENEW_INTERVAL_SHARE = 0.5
RENEW_RETRY_DELAY_S = 0.2
# After this time an engine's reports show the memory that a request uses.
DISCARD_CHECK_DELAY_S = 1.0
MAX_RESERVE_ATTEMPTS = 3
LOSS_RATE_GAIN = 0.1
# An order without a response may still be applied within this time; until then the engine's
# reports are checked for its reservation.
LATE_ORDER_WINDOW_S = 13.0
LATE_ORDER_CHECK_INTERVAL_S = 1.2


@dataclass(frozen=True, kw_only=True, slots=True)
class Ticket:
    """The handle of a reservation at one engine."""

    name: str
    target: Target
    tokens: int

    @property
    def address(self) -> str:
        """The engine's address, "host:port"."""
        return self.target.record.address

    @property
    def helper(self) -> str:
        """The reservation in the form of `TargetFields.helpers`, "host:port/name"."""
        return f"{self.address}/{self.name}"


class ReservationError(Exception):
    """The memory for a prompt could not be reserved.

    Attributes:
        failed_targets: The engines that refused the reservation or did not respond.
    """

    def __init__(self, message: str, failed_targets: tuple[Target, ...]) -> None:
        super().__init__(message)
        self.failed_targets = failed_targets


class TargetsWithdrawnError(ReservationError):
    """Targets of a request stopped taking new work before it was sent."""


def check_usable(targets: Sequence[Target], now_s: float) -> None:
    """Check that new work may be sent to all targets of a request.

    Raises:
        TargetsWithdrawnError: If some of them leave, or want no requests, since it was placed.
    """
    withdrawn = tuple(target for target in targets if not target.is_usable(now_s))
    if withdrawn:
        names = ", ".join(target.instance_id for target in withdrawn)
        raise TargetsWithdrawnError(f"{names} stopped taking new work", withdrawn)


class ReservationExpiredError(ReservationError):
    """The reservations of a request expired before it was sent, as this entry was suspended."""


class ReservationUnusedError(EgressError):
    """The target of a request did not begin to use the memory that was reserved for it."""


class ReservationManager:
    """Makes reservations, renews them while they are in use, and releases them.

    Args:
        orders: Sends orders to engines.
        bounds: Limits how long memory may stay reserved.
        tasks: Runs renewals and releases; a release may outlast its request.

    Attributes:
        loss_rate: The moving average of the share of reserve orders that got no response.
    """

    def __init__(self, *, orders: EngineClient, bounds: Bounds, tasks: TaskSet) -> None:
        self.loss_rate = 0.0
        self._orders = orders
        self._tasks = tasks
        self.set_bounds(bounds)

    def set_bounds(self, bounds: Bounds) -> None:
        """Apply new limits on how long memory may stay reserved."""
        self._hold_s = min(bounds.max_hold_s, HOLD_TIME_SHARE * bounds.hold_after_use_s)
        self._unused_hold_s = bounds.unused_hold_s

    async def reserve_all(
        self, work_id: str, shares: tuple[ReservationShare, ...], targets: dict[str, Target]
    ) -> "ReservationGroup":
        """Reserve all shares of a prompt, or none.

        Raises:
            ReservationError: If an engine refuses or does not respond.
        """
        tickets = [
            Ticket(name=f"{work_id}-{number}", target=targets[share.target_id], tokens=share.tokens)
            for number, share in enumerate(shares)
        ]
        held = ReservationGroup(
            manager=self,
            tickets=tuple(tickets),
            now_s=asyncio.get_running_loop().time(),
            hold_s=self._hold_s,
        )
        try:
            results = await asyncio.gather(
                *(self._reserve_ticket(ticket, held) for ticket in tickets)
            )
        except BaseException:
            held.may_apply_late = True
            held.start_release_all()
            raise
        pairs = tuple(zip(tickets, results, strict=True))
        failed_targets = tuple(t.target for t, result in pairs if result is not ReserveResult.HELD)
        if failed_targets:
            held.start_release_all()
            details = ", ".join(f"{t.target.instance_id}: {result.value}" for t, result in pairs)
            raise ReservationError(f"could not reserve memory ({details})", failed_targets)
        log_event(Event.GANG_RESERVED, work=work_id, tickets=[ticket.helper for ticket in tickets])
        return held

    async def renew(self, held: "ReservationGroup") -> None:
        """Renew the reservations before they expire, until cancelled or found to be unused.

        Those of targets that want no requests are renewed as often as `MAX_QUIET_REQUESTS` allows.
        """
        await asyncio.gather(*(self._keep_renewed(ticket, held) for ticket in held.tickets))

    async def _keep_renewed(self, ticket: Ticket, held: "ReservationGroup") -> None:
        while True:
            await asyncio.sleep(RENEW_INTERVAL_SHARE * self._hold_s)
            if await self._is_unused_too_long(ticket, held):
                held.give_up()
                return
            await self._renew_ticket(ticket, held)

    async def _is_unused_too_long(self, ticket: Ticket, held: "ReservationGroup") -> bool:
        """Return whether a reservation would, if it is renewed, be held unused for too long.

        A target that hangs before it begins a prompt uses no memory, and may never do. After a
        discarded response, with which the target may have ended its work, its report is read
        from `DISCARD_CHECK_DELAY_S` after that on. Without a report the reservation counts as used:
        one in use must not expire.
        """
        now_s = asyncio.get_running_loop().time()
        is_early = now_s + self._hold_s <= held.since_s + self._unused_hold_s
        if held.is_used or (is_early and now_s < held.discarded_s + DISCARD_CHECK_DELAY_S):
            return False
        if not ticket.target.availability.try_send_for_running_work(now_s):
            return False
        report = await self._orders.report(ticket.address, is_current=True)
        if report is None or held.is_used:
            return False
        return ticket.name in report.unused_tickets

    async def release(self, ticket: Ticket, *, may_apply_late: bool) -> None:
        """Release a reservation and make sure that it stays released.

        An order without a response may be applied seconds later. If there was one, or the release
        is not confirmed, the engine's reports are checked for `LATE_ORDER_WINDOW_S`, and a
        reservation that appears there is released again. The order waits until the target takes
        requests again; without it the reservation expires as soon as if this entry had failed.
        """
        loop = asyncio.get_running_loop()
        if not await self._wait_until_sendable(ticket.target):
            log_event(Event.GANG_RELEASED, ticket=ticket.name, confirmed=False)
            return
        confirmed = await self._orders.release(ticket.address, ticket.name)
        deadline_s = loop.time() + (LATE_ORDER_WINDOW_S if may_apply_late or not confirmed else 0.0)
        while loop.time() < deadline_s:
            await asyncio.sleep(LATE_ORDER_CHECK_INTERVAL_S)
            if not ticket.target.availability.takes_orders(loop.time()):
                continue
            report = await self._orders.report(ticket.address, is_current=True)
            if report is not None and ticket.name in report.tickets:
                confirmed = await self._orders.release(ticket.address, ticket.name)
        log_event(Event.GANG_RELEASED, ticket=ticket.name, confirmed=confirmed)

    def start_release(self, ticket: Ticket, *, may_apply_late: bool) -> None:
        """Release a reservation in the background."""
        release = self.release(ticket, may_apply_late=may_apply_late)
        self._tasks.start(release, name=f"release {ticket.name}")

    def start_renewal_task(self, held: "ReservationGroup") -> asyncio.Task[None]:
        """Start a task that renews the reservations until it is cancelled."""
        return self._tasks.start(self.renew(held), name="renew tickets")

    async def _renew_ticket(self, ticket: Ticket, held: "ReservationGroup") -> None:
        """Renew one ticket until the engine answers; after a whole interval more it would expire."""
        loop = asyncio.get_running_loop()
        while ticket.target.availability.try_send_for_running_work(loop.time()):
            sent_s = loop.time()
            result = await self._send_reserve(ticket, held, is_renewal=True)
            if result is ReserveResult.HELD:
                held.record_renewal(ticket, sent_s + self._hold_s)
            if result is not ReserveResult.UNKNOWN:
                return
            await asyncio.sleep(RENEW_RETRY_DELAY_S)

    async def _wait_until_sendable(self, target: Target) -> bool:
        """Wait until a target takes requests; return False if reservations expire before that."""
        loop = asyncio.get_running_loop()
        expires_at_s = loop.time() + self._hold_s
        while left_s := target.availability.quiet_left_s(loop.time()):
            if loop.time() + left_s >= expires_at_s:
                return False
            await asyncio.sleep(left_s)
        return True

    async def _reserve_ticket(self, ticket: Ticket, held: "ReservationGroup") -> ReserveResult:
        """Reserve one ticket; retries are idempotent because they repeat its name."""
        loop = asyncio.get_running_loop()
        result = ReserveResult.UNKNOWN
        for _ in range(MAX_RESERVE_ATTEMPTS):
            if not ticket.target.is_usable(loop.time()):
                break
            result = await self._send_reserve(ticket, held)
            is_lost = result is ReserveResult.UNKNOWN
            self.loss_rate += LOSS_RATE_GAIN * (is_lost - self.loss_rate)
            if not is_lost:
                break
        return result

    async def _send_reserve(
        self, ticket: Ticket, held: "ReservationGroup", *, is_renewal: bool = False
    ) -> ReserveResult:
        result = await self._orders.reserve(
            ticket.address,
            ticket.name,
            tokens=ticket.tokens,
            hold_s=self._hold_s,
            is_renewal=is_renewal,
        )
        if result is ReserveResult.UNKNOWN:
            held.may_apply_late = True
        return result


class ReservationGroup:
    """The reservations of one request.

    Args:
        manager: Renews and releases them.
        tickets: See below.
        now_s: The loop time at which they are made.
        hold_s: The time for which an engine holds a reservation that is not renewed.

    Attributes:
        tickets: The reservations in the order in which the prompt fills them.
        since_s: The loop time at which they were made.
        may_apply_late: Whether an order got no response, so that it may still be applied.
        is_used: Whether the target has begun to respond to the request.
        discarded_s: The loop time at which the target may have ended its work on the request, with a
            response that was discarded; infinite if it has not.
    """

    def __init__(
        self,
        *,
        manager: ReservationManager,
        tickets: tuple[Ticket, ...],
        now_s: float,
        hold_s: float,
    ) -> None:
        self.tickets = tickets
        self.since_s = now_s
        self._expires_at_s = {ticket.name: now_s + hold_s for ticket in tickets}
        self.may_apply_late = False
        self.is_used = False
        self.discarded_s = math.inf
        self._is_given_up = False
        self._limit: asyncio.Timeout | None = None
        self._manager = manager
        self._renewal: asyncio.Task[None] | None = None

    def start_renewal(self) -> None:
        """Renew the reservations in the background until `start_release_all`."""
        self._renewal = self._manager.start_renewal_task(self)

    def record_renewal(self, ticket: Ticket, expires_at_s: float) -> None:
        """Record the loop time until which a renewed reservation is held at least."""
        self._expires_at_s[ticket.name] = expires_at_s

    def check_held(self, now_s: float) -> None:
        """Check that no reservation has expired.

        Raises:
            ReservationExpiredError: If one may have.
        """
        if now_s >= min(self._expires_at_s.values()):
            raise ReservationExpiredError("reservations expired before the request was sent", ())

    def give_up(self) -> None:
        """Stop the renewal, as the target does not use the memory, and what waits for its use."""
        self._is_given_up = True
        if self._renewal is not None:
            self._renewal.cancel()
        if self._limit is not None:
            self._limit.reschedule(asyncio.get_running_loop().time())

    @contextlib.asynccontextmanager
    async def timeout_if_unused(self) -> AsyncIterator[None]:
        """Limit a wait for the use of the memory.

        Raises:
            TimeoutError: If the reservations are given up meanwhile, or were before.
        """
        async with asyncio.timeout(0.0 if self._is_given_up else None) as limit:
            self._limit = limit
            try:
                yield
            finally:
                self._limit = None

    def start_release_all(self) -> None:
        """Stop the renewal and release the reservations in the background."""
        if self._renewal is not None:
            self._renewal.cancel()
            self._renewal = None
        for ticket in self.tickets:
            self._manager.start_release(ticket, may_apply_late=self.may_apply_late)
