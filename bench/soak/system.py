"""The parts of one run: store, targets, relays and entries."""

import asyncio
import os
from collections.abc import Awaitable, Callable
from pathlib import Path

from bench.soak.answer_faults import RepeatAnswers
from bench.soak.configuration import SERVICES, History
from bench.soak.entries import EntryProcess
from bench.soak.record import NEVER_S, CrashCauses, Timeline, UnheldTicket
from bench.soak.relay import Relay
from bench.soak.schedule import Deployment, Fault
from bench.soak.store import SoakStore
from bench.soak.target_slots import LostOnLink, TargetSlot
from bench.soak.targets import Arrival, IdleTicket, SoakTarget
from tests.support.gateways import ENGINE, ZONES

STORE_PORT = 8223
ENTRY_OFFSET = 1
STORE_RELAY_OFFSET = 30
STORE_OFFSET = 60
UNUSED_OFFSET = 250
ENGINE_MEMORY_TOKENS = 100_000
READINESS_INTERVAL_S = 1.0
MEMORY_INTERVAL_S = 0.1
MAX_MISSES = 2
# The second parts of loopback addresses that runs use; runs at the same time differ in their pid.
FIRST_NETWORK = 64
NETWORKS = 180
HOSTS = 254


class System:
    """All parts of a run; the stand-ins live in this process.

    Args:
        deployment: What to start.
        directory: Where settings and logs are written.
        source: The directory of the programs' source.
    """

    def __init__(self, *, deployment: Deployment, directory: Path, source: Path) -> None:
        self._loop = asyncio.get_running_loop()
        self._began_s = self._loop.time()
        self._notes = directory / "faults.log"
        self.timeline = Timeline()
        self.history = History(self._began_s)
        self.store = SoakStore()
        self.arrivals: list[Arrival] = []
        self.lost_on_links: list[LostOnLink] = []
        self.idle_tickets: list[IdleTicket] = []
        self.unheld_tickets: list[UnheldTicket] = []
        self.resident_bytes: dict[int, int] = {}
        self.crash_causes = CrashCauses()
        prefix = _address_prefix()
        # No part of the run has this address.
        self.unused_address = f"{prefix}.{UNUSED_OFFSET}:{STORE_PORT}"
        self.entries = [
            EntryProcess(
                number=number,
                host=f"{prefix}.{ENTRY_OFFSET + number}",
                data_centre=ZONES[number % len(ZONES)],
                store=f"{prefix}.{STORE_RELAY_OFFSET + number}:{STORE_PORT}",
                shutdown_s=deployment.shutdown_s,
                retry_slack=deployment.retry_slack,
                directory=directory,
                source=source,
            )
            for number in range(deployment.entries)
        ]
        self.store_relays = [
            Relay(
                host=f"{prefix}.{STORE_RELAY_OFFSET + number}",
                port=STORE_PORT,
                target_host=f"{prefix}.{STORE_OFFSET + number}",
                target_port=STORE_PORT,
            )
            for number in range(deployment.entries)
        ]
        services = ["engines"] * deployment.engines
        services += [name for name in SERVICES for _ in range(deployment.services)]
        self.slots = [
            TargetSlot(
                number=number,
                service=service,
                data_centre=ZONES[number % len(ZONES)],
                host_prefix=prefix,
                store=self.store,
                timeline=self.timeline,
                arrivals=self.arrivals,
                lost_on_links=self.lost_on_links,
                idle_tickets=self.idle_tickets,
                unheld_tickets=self.unheld_tickets,
                find_target=self._find_target,
                call_s=deployment.call_s,
                crash_causes=self.crash_causes,
            )
            for number, service in enumerate(services)
        ]

    @property
    def now_s(self) -> float:
        """Return the loop time."""
        return self._loop.time()

    def since_start_s(self, time_s: float) -> float:
        """Return the time from the start of the run to a loop time."""
        return max(0.0, time_s - self._began_s)

    @property
    def wants_reservations(self) -> bool:
        """Return whether callers are to send more prompts that need reservations."""
        return any(slot.answers.find(RepeatAnswers) is not None for slot in self.slots)

    def note(self, text: str) -> None:
        """Write a line to the log of faults, with the time since the start."""
        with self._notes.open("a") as notes:
            notes.write(f"{self.since_start_s(self.now_s):.2f} {text}\n")

    async def start(self) -> bool:
        """Start all parts; return whether all entries became ready."""
        for number, relay in enumerate(self.store_relays):
            await self.store.listen(number, relay.target_host, relay.target_port)
            await relay.start()
        self.publish()
        for slot in self.slots:
            await slot.start()
        for entry in self.entries:
            entry.start()
        ready = await asyncio.gather(*(entry.wait_until_ready() for entry in self.entries))
        for entry in self.entries:
            entry.is_in_rotation = True
        return all(ready)

    async def close(self) -> None:
        """Kill the processes that still run and close all stand-ins."""
        for entry in self.entries:
            await entry.kill()
        for slot in self.slots:
            await slot.crash()
        for relay in self.store_relays:
            await relay.close()
        self.store.close()

    def disturb_stand_ins(self, began_s: float) -> None:
        """Record that store and targets did not run from a time until now."""
        disturbances = [self.timeline.disturb_store(began_s)]
        disturbances += [self.timeline.disturb_target(slot.number, began_s) for slot in self.slots]
        for disturbance in disturbances:
            disturbance.ended_s = self.now_s
        self.note(f"stand-ins stalled for {self.now_s - began_s:.2f} s")

    def publish(self) -> None:
        """Write the newest configuration to the store."""
        engine = ENGINE | {"kv_capacity_tokens": ENGINE_MEMORY_TOKENS}
        self.store.write("keyed.op", "config", self.history.newest.document(engine))

    def publish_evacuation(self, data_centre: str) -> None:
        """Write whether a data centre is evacuated to the store."""
        is_evacuated = any(
            evacuation.data_centre == data_centre and evacuation.ended_s == NEVER_S
            for evacuation in self.timeline.evacuations
        )
        value = {} if is_evacuated else None
        self.store.write("keyed.op", f"evacuate/{data_centre}", value)

    def change_configuration(self, **changes) -> None:
        """Write a new version of the configuration."""
        version = self.history.change(self.now_s, **changes)
        self.publish()
        self.note(f"configuration {version}")

    async def watch_memory(self) -> None:
        """Record the most memory that each entry has."""
        while True:
            for entry in self.entries:
                known_bytes = self.resident_bytes.get(entry.number, 0)
                self.resident_bytes[entry.number] = max(known_bytes, entry.resident_bytes)
            await asyncio.sleep(MEMORY_INTERVAL_S)

    async def watch_readiness(self) -> None:
        """Take entries that are not ready out of the rotation, as a load balancer does."""
        misses = [0] * len(self.entries)
        while True:
            ready = await asyncio.gather(*(entry.is_ready() for entry in self.entries))
            for number, (entry, is_ready) in enumerate(zip(self.entries, ready, strict=True)):
                misses[number] = 0 if is_ready else misses[number] + 1
                entry.is_in_rotation = misses[number] < MAX_MISSES
                if not entry.is_busy and entry.check_own_exit():
                    self.note(f"entry {number} exited by itself")
                    entry.start()
            await asyncio.sleep(READINESS_INTERVAL_S)

    def _find_target(self, address: str) -> SoakTarget | None:
        for slot in self.slots:
            if slot.relay.address == address:
                return slot.target
        return None


def _address_prefix() -> str:
    pid = os.getpid()
    return f"127.{FIRST_NETWORK + pid // HOSTS % NETWORKS}.{1 + pid % HOSTS}"


# Carries out a fault, to its end.
Action = Callable[[System, Fault], Awaitable[None]]
