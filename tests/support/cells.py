"""Runs one request under injected faults and checks the invariants of the system."""

import asyncio
import enum
import time
from dataclasses import dataclass, replace

from cicadatiller.kernel import FailureError, RunState
from cicadatiller.standins import EngineModel, expected_answer

from .faults import LOST_REPLIES, Fault, FaultInjector
from .fleet import Fleet, Outcome
from .observed_policies import QUEUE_POLICY, ROUTING_POLICY
from .paused_loop import PausedCase
from .triggers import BYSTANDER, Step, Trigger

MARKER = "the weekend order"
TOKENS = 16
TIME_LIMIT_S = 20.0
SHORT_TIME_LIMIT_S = 4.0
END_TOLERANCE_S = 0.5
SETTLE_S = 12.0
CANCEL_OR_DRAIN_DELAY_S = 0.3
RETRY_DELAY_S = 0.1
MODEL = EngineModel(kv_capacity_tokens=100_000, step_base_s=0.05, prefill_token_s=1e-6)
GANG_MODEL = replace(MODEL, kv_capacity_tokens=2_000)
GANG_PROMPT_REPEATS = 700
GANG_ENGINES = 4
KEY_BINDING_STEPS = (Step.OPEN, Step.ROUTE, Step.CONNECT)
HARMLESS_FAULTS = frozenset(
    {
        Fault.DUPLICATED,
        Fault.REORDERED,
        Fault.LATE_ATTEMPT,
        Fault.PLATFORM_DOWN,
        Fault.PLATFORM_SLOW,
        Fault.PLATFORM_REPLY_LOST,
        Fault.LIST_LEAVING,
    }
)


class RequestType(enum.Enum):
    """The type of the request under test."""

    REPEATABLE = "repeatable generation"
    VERDICT = "generation not to be repeated"
    ORDER = "call not to be repeated"
    KEYED = "call not to be repeated, under a key of the caller"

    @property
    def is_call(self) -> bool:
        """Return whether it is a call to the plain service."""
        return self in (RequestType.ORDER, RequestType.KEYED)


class Ending(enum.Enum):
    """How a request ends for its caller."""

    COMPLETE = "whole answer"
    FAILED = "honest failure"
    CALLER_GONE = "the caller is gone"


@dataclass(frozen=True, kw_only=True)
class Cell:
    """One cell of the fault matrix: a fault at a step of a request, and its allowed endings.

    Attributes:
        work: The type of the request.
        step: The step of the request at which the fault is injected.
        fault: The fault.
        endings: The allowed endings of the request.
        second: A second fault, if any.
        second_delay_s: The time from the first fault to the second.
        second_on_other_sidecar: Whether the second fault is injected at the sidecar of another
            engine.
    """

    work: RequestType
    step: Step
    fault: Fault
    endings: frozenset[Ending]
    second: Fault | None = None
    second_delay_s: float = 0.0
    second_on_other_sidecar: bool = False

    @property
    def faults(self) -> frozenset[Fault]:
        """Return the faults of the cell."""
        return frozenset({self.fault, self.second} - {None})

    @property
    def needs_gang(self) -> bool:
        """Return whether the prompt is larger than one engine's memory."""
        return self.step in (Step.EXPORT, Step.IMPORT)

    @property
    def binds_key(self) -> bool:
        """Return whether the fault is injected before the idempotency key is bound."""
        return self.work is RequestType.KEYED and self.step in KEY_BINDING_STEPS

    @property
    def prompt(self) -> str:
        """Return the prompt or payload of the request."""
        return MARKER * GANG_PROMPT_REPEATS if self.needs_gang else MARKER


class CellRun:
    """Runs the request of a cell, injects its faults and checks the invariants.

    Args:
        case: The test case whose assertions are used.
        cell: The request and its faults.
    """

    def __init__(self, case: PausedCase, cell: Cell) -> None:
        self.case = case
        self.cell = cell
        self.limit_s = SHORT_TIME_LIMIT_S if Fault.TIME_LIMIT in cell.faults else TIME_LIMIT_S
        model = GANG_MODEL if cell.needs_gang else MODEL
        engines = GANG_ENGINES if cell.needs_gang else 2
        self.fleet = Fleet(
            engines=engines, services=2, model=model, routing=ROUTING_POLICY, queue=QUEUE_POLICY
        )
        self.outcome = Outcome()
        self.key = f"{int(time.time() * 1000)}-weekend"

    async def run(self) -> None:
        """Run the cell."""
        async with self.fleet:
            self.faults = FaultInjector(self.fleet)
            self.trigger = Trigger(
                faults=self.faults,
                step=self.cell.step,
                fault=self.cell.fault,
                marker=MARKER,
                on_fired=self._inject_second,
            )
            bystander = asyncio.ensure_future(
                self.fleet.ask(self.fleet.generation(BYSTANDER, TOKENS), entry=1)
            )
            self.started_s = asyncio.get_running_loop().time()
            await self._ask_and_inject()
            self._check_ending(asyncio.get_running_loop().time() - self.started_s)
            self._check_bystander(await bystander)
            await asyncio.sleep(SETTLE_S)
            self._check_settled()
            if self._answer_is_replayable():
                await self._reattach()
                self.case.assertIs(self._ending(), Ending.COMPLETE, self.outcome.failure)

    def _inject_second(self, address: str) -> None:
        if self.cell.second is None:
            return
        if self.cell.second_on_other_sidecar:
            address = next(
                other
                for name, other in self.fleet.addresses.items()
                if other != address and name.startswith("engine")
            )
        asyncio.get_running_loop().call_later(
            self.cell.second_delay_s, self.faults.inject_fault, self.cell.second, address
        )

    async def _ask_and_inject(self) -> None:
        request = self._request()
        step = self.cell.step
        self.trigger.armed = step is not Step.REPLAY
        self.faults.caller_task = asyncio.ensure_future(self._ask(request))
        if step in (Step.CANCEL, Step.DRAIN):
            operation = asyncio.ensure_future(self._cancel_or_drain())
            await asyncio.wait([operation, self.faults.caller_task])
        await asyncio.wait([self.faults.caller_task])
        if step is Step.REPLAY:
            await self._replay()
        if self.faults.caller_task.cancelled() and Fault.ENTRY_DIES in self.cell.faults:
            await self._retry_through_other_entry()

    def _request(self):
        if self.cell.work.is_call:
            self.fleet.service.delay_s = 0.5
            return self.fleet.service_call(
                self.cell.prompt.encode(),
                time_limit_s=self.limit_s,
                idempotency_key=self.key if self.cell.work is RequestType.KEYED else "",
            )
        return self.fleet.generation(
            self.cell.prompt,
            TOKENS,
            time_limit_s=self.limit_s,
            repeatable=self.cell.work is RequestType.REPEATABLE,
        )

    async def _ask(self, request) -> None:
        if self.cell.step is Step.OPEN and self.cell.work is RequestType.REPEATABLE:
            try:
                request_id = await self.fleet.entries[0].service.open_request(
                    request.workspace, request.model, request.service
                )
            except FailureError as error:
                self.outcome.failure = error.failure
                return
            request = replace(request, request_id=request_id)
            self.started_s = asyncio.get_running_loop().time()
        await self.fleet.ask(request, outcome=self.outcome)

    async def _cancel_or_drain(self) -> None:
        await asyncio.sleep(CANCEL_OR_DRAIN_DELAY_S)
        entry = self.fleet.entries[0]
        try:
            if self.cell.step is Step.CANCEL:
                await entry.service.cancel("depots", self.outcome.request_id)
            else:
                name = self.faults.instance_at(self.trigger.holder())
                await entry.operators.drain(name)
        except FailureError:
            return

    async def _replay(self) -> None:
        self.faults.entry = 1
        self.trigger.armed = True
        self.started_s = asyncio.get_running_loop().time()
        await self._reattach()

    async def _reattach(self) -> None:
        request_id = self.outcome.request_id
        self.outcome = Outcome()
        self.faults.caller_task = asyncio.ensure_future(self._attach(self.faults.entry, request_id))
        await asyncio.wait([self.faults.caller_task])

    async def _retry_through_other_entry(self) -> None:
        """Retry through the other entry under the same id, as a caller does whose entry died."""
        request = self._request()
        if not request.idempotency_key:
            request = replace(request, request_id=self.outcome.request_id)
        self.outcome = Outcome()
        await asyncio.sleep(RETRY_DELAY_S)
        retry = self.fleet.ask(request, entry=1 - self.faults.entry, outcome=self.outcome)
        self.faults.caller_task = asyncio.ensure_future(retry)
        await asyncio.wait([self.faults.caller_task])

    async def _attach(self, entry: int, request_id: str) -> None:
        try:
            await self.fleet.entries[entry].service.attach(
                "depots", request_id, 0, self.limit_s, self.outcome.emit
            )
        except FailureError as error:
            self.outcome.failure = error.failure

    def _answer_is_replayable(self) -> bool:
        """Return whether a caller that disconnected must be able to read its answer later."""
        others = self.cell.faults - {Fault.CALLER_VANISHES}
        vanished = (
            others < self.cell.faults and others <= HARMLESS_FAULTS and self.outcome.request_id
        )
        executed = self._executions() > 0
        if self.cell.step in (Step.CANCEL, Step.REPLY_LOST):
            return False
        return bool(vanished) and executed and self.cell.work is not RequestType.REPEATABLE

    def _executions(self) -> int:
        calls = self.fleet.service.executions[self.cell.prompt.encode()]
        return self.fleet.executions(self.cell.prompt) + calls

    def _ending(self) -> Ending:
        if self.outcome.done is not None:
            return Ending.COMPLETE
        return Ending.CALLER_GONE if self.faults.caller_task.cancelled() else Ending.FAILED

    def _check_bystander(self, other: Outcome) -> None:
        expected = expected_answer(BYSTANDER, TOKENS)
        # Together, the two faults last longer than the time limit of the bystander.
        out_of_time = self.cell.faults >= {Fault.CLOCK_JUMP, Fault.TIME_LIMIT}
        if (self.cell.second_on_other_sidecar or out_of_time) and other.failure is not None:
            self.case.assertEqual(tuple(other.texts), expected[: len(other.texts)])
            return
        self.case.assertEqual(tuple(other.texts), expected, other.failure)

    def _check_ending(self, took_s: float) -> None:
        case = self.case
        case.assertTrue(self.trigger.fired, "the step of the fault was not reached")
        end_s = max(self.limit_s, self.faults.jumped_to_s - self.started_s)
        case.assertLessEqual(took_s, end_s + END_TOLERANCE_S + 0.1)
        if self.faults.caller_task.done() and not self.faults.caller_task.cancelled():
            self.faults.caller_task.result()
        ending = self._ending()
        case.assertIn(ending, self.cell.endings, self.outcome.failure)
        if ending is Ending.COMPLETE and self.cell.work.is_call:
            case.assertEqual(self.outcome.done.payload, self.cell.prompt.encode())
        elif ending is Ending.COMPLETE:
            case.assertEqual(tuple(self.outcome.texts), expected_answer(self.cell.prompt, TOKENS))
        if ending is Ending.FAILED:
            case.assertIsNotNone(
                self.outcome.failure, "the request ended with neither an answer nor a failure"
            )

    def _check_settled(self) -> None:
        case = self.case
        executions = self._executions()
        failure = self.outcome.failure
        if failure is not None and failure.run_state is RunState.NOT_RUN:
            case.assertEqual(executions, 0, failure)
        if failure is not None and failure.run_state is RunState.RAN:
            case.assertGreaterEqual(executions, 1, failure)
        if self._ending() is Ending.COMPLETE:
            case.assertGreaterEqual(executions, 1)
        if self.cell.work is not RequestType.REPEATABLE or self.cell.faults <= HARMLESS_FAULTS:
            case.assertLessEqual(executions, 1, failure)
        case.assertEqual(self.fleet.kv_used_tokens(), 0, "engines still hold KV memory")
        if self.cell.faults == {Fault.PLATFORM_REPLY_LOST} and self.cell.binds_key:
            case.assertLess(
                self.fleet.log.lose_replies, LOST_REPLIES, "no reply of the log was lost"
            )
