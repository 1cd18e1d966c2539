"""The steps of a request at which a fault can be injected."""

import asyncio
import enum

from cicadatiller.channels import decode
from cicadatiller.kernel import CHARACTERS_PER_TOKEN
from cicadatiller.peer import Attach, Cancel, Drain, Finished, Open, Submit, Tokens
from cicadatiller.sidecar._engine_target import EngineTarget
from cicadatiller.targets import TargetUnreachableError

from .faults import Fault, FaultInjector
from .observed_policies import ObservedQueue, ObservedRouting

MID_STREAM_INDEX = 4
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
