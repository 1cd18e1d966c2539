"""Fault injection: faults, and the steps of a request at which they can be injected."""

import asyncio
import enum

from cicadatiller.channels import decode, encode
from cicadatiller.entry import routing_registry
from cicadatiller.kernel import CHARACTERS_PER_TOKEN
from cicadatiller.peer import (
    Attach,
    Cancel,
    Challenge,
    Drain,
    Finished,
    Hello,
    Open,
    Submit,
    Tokens,
    Welcome,
)
from cicadatiller.sidecar import queue_registry
from cicadatiller.sidecar._engine_target import EngineTarget
from cicadatiller.sidecar._queue import Verdict
from cicadatiller.targets import TargetUnreachableError

from .fleet import Fleet

RESTART_DELAY_S = 2.0
PAUSE_DURATION_S = 4.0
OUTAGE_DURATION_S = 15.0
CLOCK_JUMP_S = 16.0
LOST_REPLIES = 2
SECOND_FAULT_DELAY_S = 0.05
ALTERED_FRAMES = 6
MID_STREAM_INDEX = 4
ROUTING_POLICY = "test-observed"
QUEUE_POLICY = "test-held"
QUEUE_HOLD_S = 1.0
BYSTANDER = "bystander"


class Step(enum.Enum):
    """The step of a request at which a fault is injected."""

    OPEN = "open"
    ROUTE = "route"
    CONNECT = "connect"
    ADMIT = "admit"
    QUEUED = "queued"
    BEFORE_HAND_OFF = "before hand-off"
    REPLY_LOST = "handed off but reply lost"
    FIRST_TOKEN = "first token"
    MID_STREAM = "mid-stream"
    LAST_FRAME = "last frame"
    REPLAY = "replay"
    CANCEL = "cancel"
    EXPORT = "export"
    IMPORT = "import"
    DRAIN = "drain"


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


FRAME_STEPS = {
    Step.OPEN: lambda message: isinstance(message, Open),
    Step.ADMIT: lambda message: isinstance(message, Submit),
    Step.FIRST_TOKEN: lambda message: isinstance(message, Tokens),
    Step.MID_STREAM: lambda message: (
        isinstance(message, Tokens) and message.first_index >= MID_STREAM_INDEX
    ),
    Step.LAST_FRAME: lambda message: isinstance(message, Finished),
    Step.REPLAY: lambda message: isinstance(message, Attach),
    Step.CANCEL: lambda message: isinstance(message, Cancel),
    Step.DRAIN: lambda message: isinstance(message, Drain),
}


class ObservedRouting:
    """The affinity routing policy; reports each choice to `on_choose`."""

    on_choose = None

    def __init__(self, *, seed: int = 0) -> None:
        self._policy = routing_registry.create("affinity", seed=seed)

    def choose(self, query, candidates):
        """Return the target that the policy chooses."""
        target = self._policy.choose(query, candidates)
        if ObservedRouting.on_choose is not None:
            ObservedRouting.on_choose(query, target)
        return target


routing_registry.register(ROUTING_POLICY)(ObservedRouting)


class ObservedQueue:
    """The queue policy of the product; can hold back requests by their prompt length."""

    held_prompt_tokens = 0
    on_push = None

    def __init__(self, *, weights) -> None:
        self._policy = queue_registry.create("classes", weights=weights)
        self.push = self._push
        self.remove = self._policy.remove
        self.tickets = self._policy.tickets
        self.awaited_kv_tokens = self._policy.awaited_kv_tokens
        self.engine_priority = self._policy.engine_priority
        self.awaited_kv_tokens = self._policy.awaited_kv_tokens

    def _push(self, ticket) -> None:
        self._policy.push(ticket)
        if ticket.prompt_tokens == self.held_prompt_tokens and self.on_push is not None:
            asyncio.get_running_loop().call_soon(self.on_push)

    def pop(self, now_s, can_start):
        """Remove and return the request to start next."""

        def can_start_unheld(ticket, set_aside):
            if ticket.prompt_tokens == self.held_prompt_tokens:
                return Verdict.PREFILL_LIMITED
            return can_start(ticket, set_aside)

        return self._policy.pop(now_s, can_start_unheld)


queue_registry.register(QUEUE_POLICY)(ObservedQueue)


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


class Trigger:
    """Injects a fault once, when the request under test reaches a step.

    Args:
        faults: Injects the fault.
        step: The step at which the fault is injected.
        fault: The fault.
        marker: A text that identifies the prompt or payload of the request under test.
        on_fired: Called with the address of the sidecar after the injection.
    """

    def __init__(
        self, *, faults: FaultInjector, step: Step, fault: Fault, marker: str, on_fired=None
    ) -> None:
        self.fired = False
        self.armed = False
        self._faults = faults
        self._step = step
        self._fault = fault
        self._marker = marker
        self._on_fired = on_fired
        self._calls: set[tuple[str, int]] = set()
        self._connecting = False
        fleet = faults.fleet
        fleet.network.filter = self._on_frame
        fleet.network.on_dial = self._on_dial
        ObservedRouting.on_choose = self._on_choice
        ObservedQueue.held_prompt_tokens = 0
        if step is Step.QUEUED:
            ObservedQueue.held_prompt_tokens = -(-len(marker) // CHARACTERS_PER_TOKEN)
            ObservedQueue.on_push = self._on_queued
        for name, proxy in fleet.target_proxies.items():
            proxy.on_call = self._call_observer(name)

    def fire(self, address: str) -> None:
        """Inject the fault if armed and not yet fired."""
        if not self.fired and self.armed:
            self.fired = True
            self._faults.inject_fault(self._fault, address)
            if self._on_fired is not None:
                self._on_fired(address)

    def holder(self) -> str:
        """Return the address of the sidecar whose ledger has the request under test."""
        for name, sidecar in self._faults.fleet.sidecars.items():
            if any(self._is_marked(entry) for entry in sidecar.ledger.entries()):
                return self._faults.fleet.addresses[name]
        raise AssertionError("no sidecar has the request under test in its ledger")

    def _is_marked(self, entry) -> bool:
        if entry.submit is None:
            return False
        work = entry.submit.generate or entry.submit.invoke
        return self._marker in _prompt_or_payload(work)

    def _on_queued(self) -> None:
        if not self.fired:
            self.fire(self.holder())
            asyncio.get_running_loop().call_later(QUEUE_HOLD_S, self._release_queue)

    def _release_queue(self) -> None:
        # Wakes the schedulers to ask the policy again: unlike the policies of the product, this one
        # changes its decision by itself.
        ObservedQueue.held_prompt_tokens = 0
        for sidecar in self._faults.fleet.sidecars.values():
            if isinstance(sidecar.target, EngineTarget):
                sidecar.target.scheduler.wake()

    def _on_frame(self, source: str, destination: str, frame: bytes) -> list[bytes]:
        message = decode(frame)
        matches = FRAME_STEPS.get(self._step)
        entry = f"entry-{self._faults.entry}"
        is_from_or_to_entry = entry in (source, destination)
        if matches is not None and is_from_or_to_entry and matches(message):
            self.fire(source if destination == entry else destination)
        return self._faults.alter_frame(source, destination, message, frame)

    def _on_dial(self, source: str, address: str) -> None:
        if self._connecting and source == f"entry-{self._faults.entry}":
            self.fire(address)

    def _on_choice(self, query, target) -> None:
        if not self.armed or self.fired or query.prompt == BYSTANDER:
            return
        if self._step is Step.ROUTE:
            self.fire(target.address)
        if self._step is Step.CONNECT:
            entry = self._faults.fleet.entries[self._faults.entry]
            entry.pool._connections.pop(target.address, None)
            self._connecting = True

    def _call_observer(self, name: str):
        def observe(when: str, method: str, arguments: tuple) -> None:
            if method not in ("submit", "call") or self._marker not in _prompt_or_payload(
                arguments[0]
            ):
                return
            address = self._faults.fleet.addresses[name]
            if when == "before" and self._step is Step.BEFORE_HAND_OFF:
                self.fire(address)
            if when == "before" and self._is_gang_step(arguments[0]):
                self.fire(address)
            if when == "after" and self._step is Step.REPLY_LOST and not self.fired:
                self._lose_reply(address)

        return observe

    def _is_gang_step(self, spec) -> bool:
        if self._step is Step.EXPORT:
            return bool(spec.export_id)
        return self._step is Step.IMPORT and bool(spec.remote_segments) and not spec.export_id

    def _lose_reply(self, address: str) -> None:
        self.fire(address)
        raise TargetUnreachableError("the reply of the target was lost")


def _prompt_or_payload(argument) -> str:
    payload = getattr(argument, "payload", b"")
    return getattr(argument, "prompt", "") or payload.decode()
