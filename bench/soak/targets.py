"""Targets with slots and leases, which crash and fall silent."""

import asyncio
import time
import zlib
from collections import Counter
from dataclasses import dataclass

from bench.soak.record import Crash, UnheldTicket
from cicadatiller.ingress import Response
from tests.support.wire import Run, TargetStandin, shared_parts

SLOTS = 8
EVENT_GAP_S = 0.1
STREAM_EVENTS = 12
# Blocks of which a stream does not consist if its target is sound.
ENDLESS_BLOCKS = (
    b"retry: 3000" + b" " * 1011 + b"\n\n",
    b"id\n\n",
    b"retry: 3000\n\n",
    b": wait\n\n",
    b"event: a\n\n",
    b"data\n\n",
)
ENDLESS_PART_BYTES = 256 * 1024
ENDLESS_INTERVAL_S = 0.001
ENDLESS_BREAKS_AFTER = 1
REPORT_TARGETS = (b"/report", b"/order")


@dataclass(frozen=True, kw_only=True)
class Arrival:
    """A request that reached a target, whether it ran or not.

    Attributes:
        has_matched: Whether the request named this instance.
    """

    request_id: str
    instance_id: str
    target: int
    service: str
    at_s: float
    has_matched: bool


@dataclass(frozen=True, kw_only=True)
class IdleTicket:
    """Memory that stayed reserved after the last request that used it."""

    instance_id: str
    name: str
    idle_s: float


@dataclass(frozen=True, kw_only=True)
class WrongRest:
    """An answer that does not go on with a stream, though its status is 200.

    Attributes:
        body: An error text, or nothing.
        is_signed: Whether it names its request and is signed.
    """

    body: bytes
    is_signed: bool

    def answer(self, request_id: str, instance_id: str) -> Response:
        """Return it as an answer to a request."""
        headers = ((b"Content-Type", b"text/event-stream"),)
        if self.is_signed:
            headers += (
                (b"Attempt-Id", request_id.encode()),
                (b"Server-Seal", instance_id.encode()),
            )
        return Response(status=200, headers=headers, body=self.body)


@dataclass(frozen=True, kw_only=True)
class EndlessAnswer:
    """An answer to a stream that has no end and no event with a number.

    Attributes:
        block: What is sent again and again.
        only_resumed: Whether other streams break off after an event, so that they are resumed.
    """

    block: bytes
    only_resumed: bool


@dataclass(kw_only=True)
class Manner:
    """How a target answers.

    Attributes:
        has_little_room: Whether it refuses every third new reservation.
        blamed: The address that it blames in refusals of every third request, the first time that
            it gets it; empty if it refuses none.
        breaks_after: The number of the event after which it breaks off streams; None to send all.
        wrong_rest: What it answers if it is to go on with a stream; None for the rest.
        endless: What it answers streams with; None for events.
    """

    has_little_room: bool = False
    blamed: str = ""
    breaks_after: int | None = None
    wrong_rest: WrongRest | None = None
    endless: EndlessAnswer | None = None


class SoakTarget(TargetStandin):
    """A target with slots, leases of reservations, and silence.

    Attributes:
        arrivals: The requests that reached it; shared by all targets.
        idle_tickets: Reservations that ended, with the time they were idle; shared as well.
        unheld_tickets: Reservations that requests named and that were not held; shared as well.
        running: Number of requests that it runs.
        crash_causes: What crashes targets now; shared as well.
        crashes: Each end of a target under one of these; shared as well.
        manner: How it answers now.
    """

    def __init__(
        self,
        instance_id,
        *,
        number,
        arrivals,
        idle_tickets,
        unheld_tickets,
        find_target,
        crash_causes,
        crashes,
        **options,
    ) -> None:
        super().__init__(instance_id, **options)
        self.gap_s = EVENT_GAP_S
        self.number = number
        self.arrivals = arrivals
        self.idle_tickets = idle_tickets
        self.unheld_tickets = unheld_tickets
        self.running = 0
        self.born_ms = int(time.time() * 1000)
        self.crash_causes = crash_causes
        self.crashes = crashes
        self.manner = Manner()
        self._refused_ids: set[str] = set()
        self._find_target = find_target
        self._speaks = asyncio.Event()
        self._speaks.set()
        self._expiries: dict[str, asyncio.TimerHandle] = {}
        self._last_used_s: dict[str, float] = {}
        self._users: Counter[str] = Counter()
        self.is_ticket_used = lambda name: self._users[name] > 0

    def be_silent(self, is_silent: bool) -> None:
        """Stop sending, or go on."""
        if is_silent:
            self._speaks.clear()
        else:
            self._speaks.set()

    def entry(self, **changes):
        """Return the target's registration."""
        return super().entry(born=self.born_ms, slots=SLOTS, **changes)

    def _crashes_under(self, run):
        return bool(self._crash_cause(run))

    def _events_before_crash(self, run):
        if "token-counts" not in run.headers:
            return 0
        return self.crash_causes.events_before.get(self._crash_cause(run), 0)

    def _crash(self, run):
        now_s = asyncio.get_running_loop().time()
        self.crashes.append(Crash(cause=self._crash_cause(run), at_s=now_s))
        super()._crash(run)

    def _crash_cause(self, run) -> str:
        path = run.target.partition("?")[0]
        return self.crash_causes.find(path, shared_parts(run.headers))

    def use_ticket(self, name: str, change: int) -> None:
        """Note that a request begins (1) or ends (-1) to use a reservation now."""
        self._last_used_s[name] = asyncio.get_running_loop().time()
        self._users[name] += change

    async def _handle(self, request, responder):
        await self._speaks.wait()
        if request.target in REPORT_TARGETS:
            await super()._handle(request, responder)
            return
        headers = {name.lower().decode(): value.decode() for name, value in request.headers}
        matched = headers.get("expect-instance") == self.instance_id
        self.arrivals.append(
            Arrival(
                request_id=headers["attempt-id"],
                instance_id=self.instance_id,
                target=self.number,
                service=self.service,
                at_s=asyncio.get_running_loop().time(),
                has_matched=matched,
            )
        )
        if matched and self.running >= SLOTS:
            await self._refuse(headers, 503, responder)
            return
        if matched and self._refuses_first(headers["attempt-id"]):
            await self._refuse(headers, 503, responder, blamed=self.manner.blamed)
            return
        if matched:
            self._note_unheld_tickets(headers)
        self.running += 1
        self._use_tickets(headers, 1)
        try:
            await super()._handle(request, _SilencedResponder(responder, self))
        finally:
            self._use_tickets(headers, -1)
            self.running -= 1

    def _refuses_first(self, request_id: str) -> bool:
        is_struck = bool(self.manner.blamed) and zlib.crc32(request_id.encode()) % 3 == 0
        if not is_struck or request_id in self._refused_ids:
            return False
        self._refused_ids.add(request_id)
        return True

    async def _next_step(self, headers):
        step = await super()._next_step(headers)
        return self.manner.breaks_after if step is None else step

    async def _run(self, request, headers, step, responder):
        if self.manner.endless is not None and "token-counts" in headers:
            await self._send_endless(request, headers, self.manner.endless, responder)
            return
        rest = self.manner.wrong_rest
        if rest is None or "last-event-id" not in headers:
            await super()._run(request, headers, step, responder)
            return
        now_s = asyncio.get_running_loop().time()
        run = Run(headers["attempt-id"], headers, request.body, request.target.decode(), now_s)
        self.runs.append(run)
        await responder.answer(rest.answer(headers["attempt-id"], self.instance_id))

    async def _send_endless(self, request, headers, endless, responder):
        """Send blocks without end; once the fault has ended, the stream is broken off."""
        if endless.only_resumed and "last-event-id" not in headers:
            await super()._run(request, headers, ENDLESS_BREAKS_AFTER, responder)
            return
        now_s = asyncio.get_running_loop().time()
        run = Run(headers["attempt-id"], headers, request.body, request.target.decode(), now_s)
        self.runs.append(run)
        names = (
            (b"Attempt-Id", headers["attempt-id"].encode()),
            (b"Server-Seal", self.instance_id.encode()),
        )
        await responder.start_stream(200, (*names, (b"Content-Type", b"text/event-stream")))
        block = endless.block * max(1, ENDLESS_PART_BYTES // len(endless.block))
        while self.manner.endless is not None:
            await responder.send(block)
            await asyncio.sleep(ENDLESS_INTERVAL_S)
        responder.abort()

    def _note_unheld_tickets(self, headers: dict[str, str]) -> None:
        """Record the reservations that a request names and that are not held."""
        for target, name in self._listed_tickets(headers):
            if name not in target.tickets:
                ticket = UnheldTicket(
                    request_id=headers["attempt-id"],
                    instance_id=target.instance_id,
                    target=target.number,
                    name=name,
                    at_s=asyncio.get_running_loop().time(),
                )
                self.unheld_tickets.append(ticket)

    def _use_tickets(self, headers: dict[str, str], change: int) -> None:
        """Note that a request begins (1) or ends (-1) to use the reservations that it lists."""
        for target, name in self._listed_tickets(headers):
            target.use_ticket(name, change)

    def _listed_tickets(self, headers: dict[str, str]) -> list[tuple["SoakTarget", str]]:
        """Return the reservations that a request lists, with the targets that serve there."""
        listed = []
        for helper in filter(None, headers.get("helpers", "").split(",")):
            address, _, name = helper.partition("/")
            target = self._find_target(address)
            if target is not None and name:
                listed.append((target, name))
        return listed

    async def wait_until_speaking(self) -> None:
        """Wait while the target is silent."""
        await self._speaks.wait()

    async def _handle_order(self, order, responder):
        name = order["id"]
        if order["operation"] == "reserve" and self._lacks_room(name):
            await responder.answer(Response(status=409, body=b"{}"))
            return
        if order["operation"] == "reserve":
            self._renew(name, order["hold_ms"] / 1000)
        else:
            self._end_ticket(name)
        await super()._handle_order(order, responder)

    def _lacks_room(self, name: str) -> bool:
        is_struck = self.manner.has_little_room and zlib.crc32(name.encode()) % 3 == 0
        return is_struck and name not in self.tickets

    def _renew(self, name: str, hold_s: float) -> None:
        loop = asyncio.get_running_loop()
        self._last_used_s.setdefault(name, loop.time())
        timer = self._expiries.pop(name, None)
        if timer is not None:
            timer.cancel()
        self._expiries[name] = loop.call_later(hold_s, self._end_ticket, name)

    def _end_ticket(self, name: str) -> None:
        timer = self._expiries.pop(name, None)
        if timer is not None:
            timer.cancel()
        self.tickets.pop(name, None)
        used_s = self._last_used_s.pop(name, None)
        if used_s is not None:
            idle_s = asyncio.get_running_loop().time() - used_s
            self.idle_tickets.append(
                IdleTicket(instance_id=self.instance_id, name=name, idle_s=idle_s)
            )

    def end_leases(self) -> None:
        """Drop all reservations without a record, as the process is gone."""
        for timer in self._expiries.values():
            timer.cancel()
        self._expiries.clear()


class _SilencedResponder:
    """Holds back what a silent target sends."""

    def __init__(self, responder, target: SoakTarget) -> None:
        self._responder = responder
        self._target = target

    def abort(self) -> None:
        self._responder.abort()

    async def answer(self, answer: Response) -> None:
        await self._target.wait_until_speaking()
        await self._responder.answer(answer)

    async def start_stream(self, status, headers) -> None:
        await self._target.wait_until_speaking()
        await self._responder.start_stream(status, headers)

    async def send(self, data: bytes) -> None:
        await self._target.wait_until_speaking()
        await self._responder.send(data)

    async def finish(self) -> None:
        await self._target.wait_until_speaking()
        await self._responder.finish()
