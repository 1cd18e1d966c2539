"""Replays traces, timed requests and faults, and checks the expected outcomes.

Each file in tests/traces is one trace. For a failed request, the outcome includes the run state of
the failure. The stand-in targets count executions by prompt or payload, so that a count covers all
requests sent under one request id.
"""

import asyncio
import pathlib
import sys
from dataclasses import dataclass

import cattrs
import yaml

from cicadatiller.kernel import RequestState
from cicadatiller.standins import EngineModel, expected_answer

from .support import Fault, FaultInjector, Fleet, Outcome, PausedCase
from .support.faults import OUTAGE_DURATION_S

TRACES = pathlib.Path(__file__).parent / "traces"


@dataclass(frozen=True, kw_only=True)
class FleetSize:
    """The fleet of a trace; even-numbered engines are in hall-a, odd-numbered ones in hall-b."""

    engines: int = 2
    entries: int = 2
    services: int = 2
    kv_capacity_tokens: int = 100_000
    step_s: float = 0.05
    drain_timeout_s: float = 900.0


@dataclass(frozen=True, kw_only=True)
class Event:
    """A timed event of a trace.

    Exactly one of `ask`, `fault`, `leave`, `kill_entry` and `open_id` is set.

    Attributes:
        at_s: The time since the start of the trace.
        ask: The name of a request to send.
        text: The prompt or payload of the request.
        pad_tokens: The number of tokens appended to the prompt.
        tokens: The length of the answer in tokens.
        service: Whether the request is a call to the plain service.
        repeatable: Whether the request may run more than once.
        time_limit_s: The time limit of the request.
        entry: The number of the entry to which the request is sent.
        same_id_as: The name of the request whose id is reused.
        attach: Whether to attach to that request instead of sending it again.
        fault: The value of a `Fault` to inject.
        for_s: The duration of a platform outage.
        at: The instance at which the fault is injected.
        holder_of: Instead of `at`, the request at whose present or former sidecar the fault is
            injected.
        leave: The request whose caller disconnects.
        kill_entry: The number of the entry to kill.
        open_id: The name for a request id to open.
    """

    at_s: float
    ask: str = ""
    text: str = ""
    pad_tokens: int = 0
    tokens: int = 16
    service: bool = False
    repeatable: bool = True
    time_limit_s: float = 30.0
    entry: int = 0
    same_id_as: str = ""
    attach: bool = False
    fault: str = ""
    for_s: float = OUTAGE_DURATION_S
    at: str = ""
    holder_of: str = ""
    leave: str = ""
    kill_entry: int | None = None
    open_id: str = ""

    @property
    def prompt(self) -> str:
        """Return the prompt with its padding."""
        return self.text + "-pad" * self.pad_tokens


@dataclass(frozen=True, kw_only=True)
class ExpectedOutcome:
    """The expected outcome of a request.

    Attributes:
        ending: "whole" (complete answer), "failed" or "gone" (caller disconnected).
        within_s: The longest allowed duration.
        run_state: The run state of the failure.
        executions: The number of executions by the targets.
        not_on: The name of an engine that must not have executed the request.
    """

    ending: str = "whole"
    within_s: float = 30.0
    run_state: str = ""
    executions: int = 1
    not_on: str = ""


@dataclass(frozen=True, kw_only=True)
class Trace:
    """A trace file: a description, timed events and the expected outcomes."""

    story: str
    events: tuple[Event, ...]
    outcomes: dict[str, ExpectedOutcome]
    fleet: FleetSize = FleetSize()
    settle_s: float = 12.0


class Replay:
    """Replays one trace and checks its outcomes."""

    def __init__(self, case: PausedCase, trace: Trace) -> None:
        self.case = case
        self.trace = trace
        size = trace.fleet
        self.fleet = Fleet(
            engines=size.engines,
            entries=size.entries,
            services=size.services,
            model=EngineModel(kv_capacity_tokens=size.kv_capacity_tokens, step_base_s=size.step_s),
            drain_timeout_s=size.drain_timeout_s,
        )
        self.request_events: dict[str, Event] = {}
        self.outcomes: dict[str, Outcome] = {}
        self.tasks: dict[str, asyncio.Task] = {}

    async def run(self) -> None:
        """Replay the events and check the outcomes."""
        async with self.fleet:
            self.faults = FaultInjector(self.fleet)
            loop = asyncio.get_running_loop()
            started_s = loop.time()
            for event in self.trace.events:
                await asyncio.sleep(max(0.0, started_s + event.at_s - loop.time()))
                await self._apply_event(event)
            await asyncio.gather(*self.tasks.values(), return_exceptions=True)
            await asyncio.sleep(self.trace.settle_s)
            for name, expected in self.trace.outcomes.items():
                with self.case.subTest(request=name):
                    self._check(name, expected)
            self.case.assertEqual(
                set(self.trace.outcomes),
                set(self.request_events),
                "requests and expected outcomes differ",
            )
            self.case.assertEqual(self.fleet.kv_used_tokens(), 0, "engines still hold KV memory")

    async def _apply_event(self, event: Event) -> None:
        if event.ask:
            self._ask(event)
        elif event.open_id:
            outcome = Outcome()
            outcome.request_id = await self.fleet.entries[event.entry].service.open_request(
                "depots", "" if event.service else "glacier", "dispatch" if event.service else ""
            )
            self.outcomes[event.open_id] = outcome
        elif event.leave:
            self.tasks[event.leave].cancel()
        elif event.kill_entry is not None:
            self.fleet.kill_entry(event.kill_entry)
            for name, request_event in self.request_events.items():
                if request_event.entry == event.kill_entry:
                    self.tasks[name].cancel()
        else:
            name = event.at or self._holder(self.request_events[event.holder_of])
            self.faults.outage_s = event.for_s
            self.faults.inject_fault(Fault(event.fault), self.fleet.addresses[name])

    def _ask(self, event: Event) -> None:
        outcome = Outcome()
        request_id = self.outcomes[event.same_id_as].request_id if event.same_id_as else ""
        self.request_events[event.ask] = event
        self.outcomes[event.ask] = outcome
        if event.attach:
            run = self.fleet.attach(
                request_id, entry=event.entry, outcome=outcome, time_limit_s=event.time_limit_s
            )
        else:
            fields = {
                "repeatable": event.repeatable,
                "time_limit_s": event.time_limit_s,
                "request_id": request_id,
            }
            if event.service:
                request = self.fleet.service_call(event.text.encode(), **fields)
            else:
                request = self.fleet.generation(event.prompt, event.tokens, **fields)
            run = self.fleet.ask(request, entry=event.entry, outcome=outcome)
        self.tasks[event.ask] = asyncio.ensure_future(run)

    def _holder(self, request_event: Event) -> str:
        for name, sidecar in self.fleet.sidecars.items():
            for entry in sidecar.ledger.entries():
                if entry.state is not RequestState.OPENED and _is_for(entry.submit, request_event):
                    return name
        raise AssertionError(f"no sidecar has the request {request_event.ask} in its ledger")

    def _check(self, name: str, expected: ExpectedOutcome) -> None:
        case = self.case
        request_event, outcome = self.request_events[name], self.outcomes[name]
        if expected.ending == "whole":
            case.assertIsNotNone(outcome.done, outcome.failure)
            self._check_whole(request_event, outcome)
        elif expected.ending == "failed":
            case.assertIsNotNone(outcome.failure, "the request did not fail")
            case.assertEqual(outcome.failure.run_state.value, expected.run_state, outcome.failure)
        else:
            case.assertTrue(self.tasks[name].cancelled())
        case.assertLessEqual(outcome.took_s, expected.within_s)
        if request_event.service:
            executions = self.fleet.service.executions[request_event.text.encode()]
        else:
            executions = self.fleet.executions(request_event.prompt)
        case.assertEqual(executions, expected.executions)
        if expected.not_on:
            engine = self.fleet.target_proxies[expected.not_on].target
            case.assertEqual(engine.executions[request_event.prompt], 0)

    def _check_whole(self, request_event: Event, outcome: Outcome) -> None:
        if request_event.service:
            self.case.assertEqual(outcome.done.payload, request_event.text.encode())
        else:
            expected = expected_answer(request_event.prompt, request_event.tokens)
            self.case.assertEqual(tuple(outcome.texts), expected)


def _is_for(submit, request_event: Event) -> bool:
    if submit is None:
        return False
    if submit.invoke is not None:
        return submit.invoke.payload == request_event.text.encode()
    return submit.generate.prompt == request_event.prompt


class TraceTest(PausedCase):
    def test_traces(self):
        paths = sorted(TRACES.glob("*.yaml"))
        self.assertGreaterEqual(len(paths), 10)
        for path in paths:
            with self.subTest(trace=path.stem):
                converter = cattrs.Converter(forbid_extra_keys=True)
                trace = converter.structure(yaml.safe_load(path.read_text()), Trace)
                self.run_paused(Replay(self, trace).run())
        sys.__stderr__.write(f"traces: {len(paths)} replayed\n")
