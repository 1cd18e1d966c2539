"""The places of targets: a relay, and the instance that serves there now."""

import asyncio
import itertools
import re
from collections.abc import Callable
from dataclasses import dataclass

from bench.soak.answer_faults import AnswerFaults
from bench.soak.record import CrashCauses, Timeline, UnheldTicket
from bench.soak.relay import Relay
from bench.soak.store import SoakStore
from bench.soak.targets import STREAM_EVENTS, Arrival, IdleTicket, SoakTarget

PORT = 8080
RESTART_S = 2.5
REQUEST_ID = re.compile(rb"(?i)\r\nattempt-id: *([^\r\n]+)")
RELAY_OFFSET = 100
TARGET_OFFSET = 150


@dataclass(frozen=True, kw_only=True)
class LostOnLink:
    """A request that an entry sent to a target and that the link to it discarded."""

    request_id: str
    target: int


class TargetSlot:
    """The place of one target: its relay, and the instance that serves there now.

    Args:
        number: Its number among all targets of the run.
        service: The service that it serves.
        data_centre: Its data centre.
        host_prefix: The first three parts of the run's loopback addresses.
        store: The store in which it registers.
        timeline: Records when it breaks off answers.
        arrivals: The requests that reached any target.
        lost_on_links: The requests that were discarded on their way to any target.
        idle_tickets: The reservations that ended at any target.
        unheld_tickets: The reservations that requests named and that were not held.
        find_target: Returns the target that serves at an address, if any.
        call_s: How long it works on a call.
        crash_causes: What crashes targets now.

    Attributes:
        data_centre: As the argument.
        left_s: When the store took the news that an instance leaves or is gone, by instance id.
        answers: What the target does wrong with its answers now.
    """

    def __init__(
        self,
        *,
        number: int,
        service: str,
        data_centre: str,
        host_prefix: str,
        store: SoakStore,
        timeline: Timeline,
        arrivals: list[Arrival],
        lost_on_links: list[LostOnLink],
        idle_tickets: list[IdleTicket],
        unheld_tickets: list[UnheldTicket],
        find_target: Callable[[str], SoakTarget | None],
        call_s: float,
        crash_causes: CrashCauses,
    ) -> None:
        self.number = number
        self.service = service
        self.left_s: dict[str, float] = {}
        self.data_centre = data_centre
        self._store = store
        self._timeline = timeline
        self._arrivals = arrivals
        self._lost_on_links = lost_on_links
        self._idle_tickets = idle_tickets
        self._unheld_tickets = unheld_tickets
        self._find_target = find_target
        self._call_s = call_s
        self._crash_causes = crash_causes
        self._restarts: set[asyncio.Task[None]] = set()
        self._target_host = f"{host_prefix}.{TARGET_OFFSET + number}"
        self._ports = itertools.count(PORT)
        self._names = itertools.count(1)
        self._sequences = itertools.count(1)
        self.relay = Relay(
            host=f"{host_prefix}.{RELAY_OFFSET + number}",
            port=PORT,
            target_host=self._target_host,
            target_port=PORT,
        )
        self.relay.on_dropped = self._note_dropped
        self.answers = AnswerFaults()
        self.relay.answers = self.answers
        self.target: SoakTarget | None = None
        self.runs: list = []

    async def start(self, instance_id: str = "") -> None:
        """Start an instance, under a new id unless one is given, and register it."""
        target = SoakTarget(
            instance_id or f"t{self.number}-{next(self._names)}",
            number=self.number,
            arrivals=self._arrivals,
            idle_tickets=self._idle_tickets,
            unheld_tickets=self._unheld_tickets,
            find_target=self._find_target,
            crash_causes=self._crash_causes,
            crashes=self._timeline.crashes,
            zone=self.data_centre,
            service=self.service,
            work_s=self._call_s,
            events=STREAM_EVENTS,
        )
        # All instances of a place add to one list.
        target.runs = self.runs
        target.on_crash = self._restart_after_crash
        port = next(self._ports)
        await target.start(self._target_host, port)
        self.relay.target_port = port
        await self.relay.start()
        target.address = self.relay.address
        self.target = target
        self.left_s.pop(target.instance_id, None)
        self.register()

    def _note_dropped(self, data: bytes) -> None:
        for name in REQUEST_ID.findall(data):
            self._lost_on_links.append(LostOnLink(request_id=name.decode(), target=self.number))

    def register(self, **changes: int) -> None:
        """Write the registration of the current instance, if there is one, as its next report."""
        if self.target is not None:
            document = self.target.entry(sequence=next(self._sequences), **changes)
            self._store.write("keyed.servers", self.target.instance_id, document)

    def _restart_after_crash(self, target: SoakTarget, headers: dict[str, str]) -> None:
        """Start another instance some time after one has crashed."""
        task = asyncio.ensure_future(self._restart(target))
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)

    async def _restart(self, target: SoakTarget) -> None:
        now_s = asyncio.get_running_loop().time
        disturbance = self._timeline.disturb_target(self.number, now_s())
        if self.target is target:
            await self.crash()
            await asyncio.sleep(RESTART_S)
            await self.start()
            self.unregister(target.instance_id)
        disturbance.ended_s = now_s()

    async def wait_for_restarts(self) -> None:
        """Wait until instances that crashed were replaced."""
        await asyncio.gather(*self._restarts)

    async def crash(self) -> SoakTarget | None:
        """End the current instance at once; its registration stays."""
        target, self.target = self.target, None
        if target is None:
            return None
        target.end_leases()
        target.stop()
        await self.relay.close()
        return target

    def announce_leaving(self) -> None:
        """Register the current instance as leaving."""
        if self.target is not None:
            self.target.state = "draining"
            self.register()
            self._note_leaving(self.target.instance_id)

    def unregister(self, instance_id: str) -> None:
        """Remove the registration of an instance that is gone."""
        self._store.write("keyed.servers", instance_id, None)
        self._note_leaving(instance_id)

    def _note_leaving(self, instance_id: str) -> None:
        self.left_s.setdefault(instance_id, asyncio.get_running_loop().time())
