"""Plays one schedule and judges it."""

import asyncio
import contextlib
import signal
from dataclasses import dataclass
from pathlib import Path

import cattrs
import orjson

from bench.soak.callers import Callers
from bench.soak.checks import Violation, find_violations
from bench.soak.entries import FREE_S
from bench.soak.faults import carry_out
from bench.soak.observations import (
    MACHINE_SLACK_S,
    RECOVERY_LOAD_S,
    Observations,
    recovered_s,
)
from bench.soak.record import Attempt, Shutdown
from bench.soak.schedule import MAX_SILENCE_S, Fault, Schedule, save
from bench.soak.system import System

SCHEDULE_FILE = "schedule.json"
VERDICT_FILE = "verdict.txt"
ATTEMPTS_FILE = "attempts.jsonl"
LAG_INTERVAL_S = 0.05
# A run ends at the latest this long after the load that its schedule asks for.
MAX_LONGER_S = 60.0


@dataclass(frozen=True, kw_only=True)
class Verdict:
    """How a run ended.

    Attributes:
        violations: The broken promises.
        attempts: Number of requests sent.
        served: Number of requests answered completely with success.
        longest_lag_s: The longest time for which this process did not run, for the stated slack.
        resident_bytes: The most memory that an entry had.
    """

    violations: tuple[Violation, ...]
    attempts: int
    served: int
    longest_lag_s: float
    resident_bytes: int = 0

    @property
    def rules(self) -> list[str]:
        """Return the names of the broken rules."""
        return sorted({violation.rule for violation in self.violations})


async def play(
    schedule: Schedule, *, directory: Path, source: Path, max_stall_s: float = MAX_SILENCE_S
) -> Verdict:
    """Play a schedule.

    Args:
        schedule: The deployment and its faults.
        directory: Where logs, the schedule and the verdict are written.
        source: The directory of the programs' source.
        max_stall_s: For how long this process, and with it the stand-ins, may not run before that
            counts as a fault of store and targets and not as a silence of sound ones.
    """
    loop = asyncio.get_running_loop()
    playing = asyncio.current_task()
    assert playing is not None
    # Without this, the processes of the run would outlive this one.
    loop.add_signal_handler(signal.SIGTERM, playing.cancel)
    directory.mkdir(parents=True, exist_ok=True)
    save(schedule, directory / SCHEDULE_FILE)
    deployment = schedule.deployment
    system = System(deployment=deployment, directory=directory, source=source)
    callers = Callers(
        entries=system.entries,
        seed=schedule.seed,
        usable_idle_s=lambda: system.history.usable_idle_s(system.now_s),
        crash_causes=system.crash_causes,
        wants_reservations=lambda: system.wants_reservations,
    )
    lag = asyncio.ensure_future(_measure_lag(system, max_stall_s))
    background = [lag]
    try:
        if not await system.start():
            raise RuntimeError(f"an entry did not start; see its log in {directory}")
        system.note("load begins")
        background.append(asyncio.ensure_future(system.watch_readiness()))
        background.append(asyncio.ensure_future(system.watch_memory()))
        load = RecoveryLoad(system=system, faults=schedule.faults, load_s=deployment.load_s)
        await asyncio.gather(callers.run(deployment.callers, load.is_over), load.carry_out())
        seen = await _end(system, callers, schedule, load.faults_ended_s)
    finally:
        for task in background:
            task.cancel()
        ended = await asyncio.gather(*background, return_exceptions=True)
        await system.close()
    violations = tuple(find_violations(seen))
    _write_verdict(system, violations, directory / VERDICT_FILE)
    _write_attempts(callers.attempts, directory / ATTEMPTS_FILE)
    return Verdict(
        violations=violations,
        attempts=len(callers.attempts),
        served=sum(a.is_whole and a.status == 200 for a in callers.attempts),
        longest_lag_s=ended[0] if isinstance(ended[0], float) else 0.0,
        resident_bytes=max(seen.resident_bytes.values(), default=0),
    )


class RecoveryLoad:
    """Lets the load go on until it shows whether entries serve again after the last fault.

    Attributes:
        faults_ended_s: When the last fault had been carried out.
    """

    def __init__(self, *, system: System, faults: tuple[Fault, ...], load_s: float) -> None:
        self.faults_ended_s = float("inf")
        self._system = system
        self._faults = faults
        self._end_s = system.now_s + load_s

    async def carry_out(self) -> None:
        """Carry out the faults, each at its time."""
        await carry_out(self._system, self._faults)
        self.faults_ended_s = self._system.now_s

    def is_over(self) -> bool:
        """Return whether no new requests are to be sent."""
        now_s = self._system.now_s
        if now_s > self._end_s + MAX_LONGER_S:
            return True
        ends_s = recovered_s(self._system.timeline, self.faults_ended_s) + RECOVERY_LOAD_S
        return now_s > max(self._end_s, ends_s)


async def _end(
    system: System, callers: Callers, schedule: Schedule, faults_ended_s: float
) -> Observations:
    """Wait until nothing may be reserved any more, stop all entries and return what was seen."""
    if any(slot.target is not None and slot.target.tickets for slot in system.slots):
        await asyncio.sleep(FREE_S + MACHINE_SLACK_S)
    held = [
        f"{slot.target.instance_id}: {name}"
        for slot in system.slots
        if slot.target is not None
        for name in slot.target.tickets
    ]
    for entry in system.entries:
        entry.is_busy = True
        system.timeline.shutdowns.append(Shutdown(entry=entry.number, began_s=system.now_s))
    await asyncio.gather(*(entry.stop() for entry in system.entries))
    return Observations(
        attempts=callers.attempts,
        runs={slot.number: slot.runs for slot in system.slots},
        services={slot.number: slot.service for slot in system.slots},
        arrivals=system.arrivals,
        lost_on_links=system.lost_on_links,
        left_s={name: at_s for slot in system.slots for name, at_s in slot.left_s.items()},
        idle_tickets=system.idle_tickets,
        unheld_tickets=system.unheld_tickets,
        held_tickets=held,
        exits=[ended for entry in system.entries for ended in entry.exits],
        strays=callers.strays,
        resident_bytes=system.resident_bytes,
        timeline=system.timeline,
        history=system.history,
        deployment=schedule.deployment,
        faults_ended_s=faults_ended_s,
    )


async def _measure_lag(system: System, max_stall_s: float) -> float:
    """Return the longest time for which this process did not run, once cancelled.

    The stand-ins did not run either. Up to `max_stall_s` that is a silence of sound targets; a
    longer time disturbs targets and store.
    """
    longest_s = 0.0
    with contextlib.suppress(asyncio.CancelledError):
        while True:
            due_s = system.now_s + LAG_INTERVAL_S
            await asyncio.sleep(LAG_INTERVAL_S)
            lag_s = system.now_s - due_s
            longest_s = max(longest_s, lag_s)
            if lag_s > max_stall_s:
                system.disturb_stand_ins(due_s)
    return longest_s


def _write_verdict(system: System, violations: tuple[Violation, ...], path: Path) -> None:
    lines = [
        f"{system.since_start_s(violation.at_s):.2f} {violation.rule}: {violation.text}"
        for violation in violations
    ]
    path.write_text("\n".join(lines or ["no promise was broken"]) + "\n")


def _write_attempts(attempts: list[Attempt], path: Path) -> None:
    """Write each request as a line, for a look at those around a violation."""
    path.write_bytes(
        b"\n".join(
            orjson.dumps(cattrs.unstructure(attempt), default=lambda body: body.decode("latin-1"))
            for attempt in attempts
        )
    )
