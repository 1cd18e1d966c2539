"""Faults, and their injection into a fleet."""

import asyncio
import enum

from cicadatiller.channels import encode
from cicadatiller.peer import Challenge, Hello, Tokens, Welcome

from .fleet import Fleet

RESTART_DELAY_S = 2.0
PAUSE_DURATION_S = 4.0
OUTAGE_DURATION_S = 15.0
CLOCK_JUMP_S = 16.0
LOST_REPLIES = 2
SECOND_FAULT_DELAY_S = 0.05
ALTERED_FRAMES = 6


class Fault(enum.Enum):
    """A fault that can be injected."""

    ENGINE_DIES = "engine dies"
    SIDECAR_DIES = "sidecar dies"
    ENTRY_DIES = "entry dies"
    SILENT_TO_SIDECAR = "connection goes silent towards the sidecar"
    SILENT_TO_ENTRY = "connection goes silent towards the entry"
    SILENT = "connection goes silent both ways"
    RESET = "connection reset"
    DUPLICATED = "frame duplicated"
    REORDERED = "frame reordered"
    LATE_ATTEMPT = "late from an earlier attempt"
    PLATFORM_DOWN = "platform down"
    PLATFORM_SLOW = "platform slow"
    PLATFORM_REPLY_LOST = "platform reply lost after effect"
    PAUSED = "holder paused past its lease"
    PLANNED_STOP = "planned stop"
    LIST_STALE = "list stale"
    LIST_LEAVING = "list says leaving"
    TIME_LIMIT = "time limit passes"
    CALLER_VANISHES = "caller vanishes"
    SECOND_FAULT = "second fault right after the first"
    CLOCK_JUMP = "clock jumps, all timers fire late"


class FaultInjector:
    """Injects faults into a fleet and ends those that are temporary.

    Attributes:
        caller_task: The task that runs the request under test.
        entry: The number of the entry to which the request is sent.
        outage_s: The duration of outages of the platform.
        jumped_to_s: The time after the last clock jump; no request can end during a jump.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.caller_task = None
        self.entry = 0
        self.outage_s = OUTAGE_DURATION_S
        self.jumped_to_s = 0.0
        self._alter = None
        self._altered_address = ""
        self._frames_to_alter = 0
        self._delayed_frames = {}
        self._call = 1

    def inject_fault(self, fault: Fault, address: str) -> None:
        """Inject a fault now into the sidecar at an address or into a dependency of it."""
        getattr(self, f"_{fault.name.lower()}")(address)

    def alter_frame(self, source: str, destination: str, message, frame: bytes) -> list[bytes]:
        """Return the frames to deliver in place of a frame."""
        self._call = getattr(message, "call", self._call)
        if self._alter is None or isinstance(message, Hello | Challenge | Welcome):
            return [frame]
        if self._altered_address not in (source, destination):
            return [frame]
        self._frames_to_alter -= 1
        if self._frames_to_alter < 0:
            self._alter = None
            return [frame]
        return self._alter(source, destination, frame)

    def instance_at(self, address: str) -> str:
        """Return the name of the instance at an address."""
        return next(name for name, known in self.fleet.addresses.items() if known == address)

    def _call_later(self, delay_s: float, undo, *arguments) -> None:
        asyncio.get_running_loop().call_later(delay_s, undo, *arguments)

    def _start(self, coroutine, name: str) -> None:
        self.fleet.tasks.start(coroutine, name=name)

    def _target_at(self, address: str):
        return self.fleet.target_proxies[self.instance_at(address)].target

    def _engine_dies(self, address: str) -> None:
        target = self._target_at(address)
        if target is self.fleet.service:
            target.down = True
            self._call_later(RESTART_DELAY_S, setattr, target, "down", False)
            return
        loaded = target._loaded
        target.crash()
        self._call_later(RESTART_DELAY_S, self._restart, target, loaded)

    def _restart(self, engine, loaded) -> None:
        engine.restart("engine-again")
        engine._loaded = loaded

    def _sidecar_dies(self, address: str) -> None:
        name = self.instance_at(address)
        self.fleet.kill_sidecar(name, address)
        self._call_later(RESTART_DELAY_S, self._replace_sidecar, name, address)

    def _replace_sidecar(self, name: str, address: str) -> None:
        target = self.fleet.target_proxies[name].target
        kind = "service" if target is self.fleet.service else "engine"
        new_sidecar = self.fleet.start_sidecar(name, address, **{kind: target})
        self.fleet.tasks.start(_discard_result(new_sidecar), name=f"replace {name}")

    def _entry_dies(self, address: str) -> None:
        self.fleet.kill_entry(self.entry)
        if self.caller_task is not None:
            self.caller_task.cancel()

    def _silent_to_sidecar(self, address: str) -> None:
        self.fleet.network.drop_frames(address, to_dialler=False)

    def _silent_to_entry(self, address: str) -> None:
        self.fleet.network.drop_frames(address, to_listener=False)

    def _silent(self, address: str) -> None:
        self.fleet.network.drop_frames(address)

    def _reset(self, address: str) -> None:
        self.fleet.network.reset(address)

    def _duplicated(self, address: str) -> None:
        self._set_alteration(address, lambda source, destination, frame: [frame, frame])

    def _reordered(self, address: str) -> None:
        self._set_alteration(address, self._reorder)

    def _reorder(self, source: str, destination: str, frame: bytes) -> list[bytes]:
        delayed = self._delayed_frames.pop((source, destination), None)
        if delayed is not None:
            return [frame, delayed]
        self._delayed_frames[source, destination] = frame
        self._call_later(0.3, self._deliver_delayed, source, destination, frame)
        return []

    def _deliver_delayed(self, source: str, destination: str, frame: bytes) -> None:
        if self._delayed_frames.get((source, destination)) is frame:
            del self._delayed_frames[source, destination]
            self.fleet.network.inject(source, destination, frame)

    def _late_attempt(self, address: str) -> None:
        def forge(source, destination, frame):
            if source != address:
                return [frame]
            late = Tokens(call=self._call, attempt=0, first_index=0, texts=("late ",))
            return [encode(late), frame]

        self._set_alteration(address, forge)

    def _set_alteration(self, address: str, alter) -> None:
        self._altered_address = address
        self._alter = alter
        self._frames_to_alter = ALTERED_FRAMES

    def _platform_down(self, address: str) -> None:
        for part in (self.fleet.log, self.fleet.instances, self.fleet.weights):
            part.down = True
            self._call_later(self.outage_s, setattr, part, "down", False)

    def _platform_slow(self, address: str) -> None:
        self.fleet.log.delay_s = 5.0
        self._call_later(self.outage_s, setattr, self.fleet.log, "delay_s", 0.0)

    def _platform_reply_lost(self, address: str) -> None:
        self.fleet.log.lose_replies = LOST_REPLIES

    def _paused(self, address: str) -> None:
        proxy = self.fleet.target_proxies[self.instance_at(address)]
        self.fleet.network.pause(address)
        proxy.pause_calls()
        self._call_later(PAUSE_DURATION_S, self.fleet.network.resume, address)
        self._call_later(PAUSE_DURATION_S, proxy.resume_calls)

    def _planned_stop(self, address: str) -> None:
        name = self.instance_at(address)
        self._start(self._stop(name), f"stop {name}")

    async def _stop(self, name: str) -> None:
        sidecar = self.fleet.sidecars[name]
        self.fleet.instances.mark_leaving(name)
        await sidecar.drain()
        await sidecar.close()
        self.fleet.instances.remove(name)

    def _list_stale(self, address: str) -> None:
        self.fleet.instances.down = True
        self.fleet.kill_sidecar(self.instance_at(address), address)

    def _list_leaving(self, address: str) -> None:
        self.fleet.instances.mark_leaving(self.instance_at(address))

    def _time_limit(self, address: str) -> None:
        for proxy in self.fleet.target_proxies.values():
            proxy.pause_calls()
            self._call_later(OUTAGE_DURATION_S, proxy.resume_calls)

    def _clock_jump(self, address: str) -> None:
        loop = asyncio.get_running_loop()
        loop.advance(CLOCK_JUMP_S)
        self.jumped_to_s = loop.time()

    def _caller_vanishes(self, address: str) -> None:
        self.caller_task.cancel()

    def _second_fault(self, address: str) -> None:
        self._reset(address)
        self._call_later(SECOND_FAULT_DELAY_S, self._silent, address)


async def _discard_result(coroutine) -> None:
    await coroutine
