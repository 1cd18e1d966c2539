"""Callers of the chaos bench, which resume through another entry when theirs is lost."""

import asyncio
import enum
import random
from dataclasses import dataclass, field

from connectrpc.code import Code
from connectrpc.errors import ConnectError

from cicadatiller.rpc._generated.cicadatiller.v1 import serving_pb as pb
from cicadatiller.rpc._generated.cicadatiller.v1.serving_connect import ServingServiceClient
from cicadatiller.standins import expected_answer

TIME_LIMIT_S = 12.0
LATE_TOLERANCE_S = 1.5
RETRY_S = 0.1
MAX_OPEN_ATTEMPTS = 3
MIN_TOKENS = 30
MAX_TOKENS = 120
LONG_TOKENS = 220
LONG_EVERY = 10
GENERATIONS_PER_S = 8.0
VERDICTS_PER_S = 3.0
ORDERS_PER_S = 4.0
HUGE_PROMPT_CHARACTERS = 480_000
HUGE_TOKENS = 20
ENTRY_LOST = "ENTRY_LOST"
NO_ANSWER = "NO_ANSWER"
STOPPING = "STOPPING"
UNKNOWN = "OUTCOME_UNKNOWN"


class Kind(enum.Enum):
    """The kinds of requests that callers send."""

    GENERATION = "repeatable generation"
    VERDICT = "generation not to be repeated"
    ORDER = "call not to be repeated, with one id through two entries"
    HUGE = "repeatable generation larger than one engine's memory"


@dataclass(kw_only=True)
class Outcome:
    """The outcome of one request, as its caller saw it.

    Attributes:
        kind: The kind of request.
        key: The start of the prompt, or the payload. Unique, except that the two calls of an
            order share it.
        whole: Whether the complete and correct response arrived.
        wrong: Whether any received part differs from the expected output.
        failure: The kind of failure; empty if there is none.
        run_state: Whether the request was executed, according to the failure.
        took_s: Duration of the request.
        resumed: Number of times it was resumed through another entry.
    """

    kind: Kind
    key: str
    whole: bool = False
    wrong: bool = False
    failure: str = ""
    run_state: str = ""
    message: str = ""
    took_s: float = 0.0
    resumed: int = 0
    request_id: str = ""
    texts: list[str] = field(default_factory=list)

    @property
    def prompt(self) -> str:
        """Return the prompt or payload."""
        return self.key.ljust(HUGE_PROMPT_CHARACTERS, ".") if self.kind is Kind.HUGE else self.key

    @property
    def late(self) -> bool:
        """Return whether it ended more than `LATE_TOLERANCE_S` after its time limit."""
        return self.took_s > TIME_LIMIT_S + LATE_TOLERANCE_S


class Callers:
    """Sends the load of a phase.

    Attributes:
        available_entries: Numbers of the entries that the load balancer uses.
    """

    def __init__(self, *, urls: list[str], key: str, model: str, service: str, seed: int) -> None:
        self._clients = [ServingServiceClient(url) for url in urls]
        self.available_entries = list(range(len(urls)))
        self._headers = {"authorization": f"Bearer {key}"}
        self._model = model
        self._service = service
        self._rng = random.Random(seed)
        self._count = 0

    async def run(self, phase: str, duration_s: float, outcomes: list[Outcome]) -> None:
        """Send requests for `duration_s` and wait until all have ended.

        Args:
            phase: Prefix of the key of each request.
            duration_s: Period during which requests are sent. The first request is one that
                needs more memory than one engine has.
            outcomes: List to which each request's outcome is appended when it starts.
        """
        rates = {
            Kind.GENERATION: GENERATIONS_PER_S,
            Kind.VERDICT: VERDICTS_PER_S,
            Kind.ORDER: ORDERS_PER_S,
        }
        async with asyncio.TaskGroup() as tasks:
            self._count += 1
            huge = f"{phase} {Kind.HUGE.name} {self._count}"
            tasks.create_task(self._generation(Kind.HUGE, huge, outcomes))
            for kind, rate in rates.items():
                tasks.create_task(self._send_many(kind, rate, phase, duration_s, tasks, outcomes))

    async def _send_many(self, kind, rate, phase, duration_s, tasks, outcomes) -> None:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        while loop.time() < end_s:
            self._count += 1
            key = f"{phase} {kind.name} {self._count}"
            if kind is Kind.ORDER:
                tasks.create_task(self._order(key, outcomes))
            else:
                tasks.create_task(self._generation(kind, key, outcomes))
            await asyncio.sleep(self._rng.expovariate(rate))

    def _choose_entry(self, avoid: int = -1) -> int:
        others = [number for number in self.available_entries if number != avoid]
        return self._rng.choice(others or self.available_entries)

    async def _generation(self, kind: Kind, key: str, outcomes: list[Outcome]) -> None:
        outcome = Outcome(kind=kind, key=key)
        outcomes.append(outcome)
        await self._within_limit(outcome, self._generate(outcome, self._tokens(kind)))

    def _tokens(self, kind: Kind) -> int:
        if kind is Kind.HUGE:
            return HUGE_TOKENS
        if self._count % LONG_EVERY == 0:
            return LONG_TOKENS
        return self._rng.randint(MIN_TOKENS, MAX_TOKENS)

    async def _within_limit(self, outcome: Outcome, ask) -> None:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        try:
            async with asyncio.timeout(TIME_LIMIT_S + 2 * LATE_TOLERANCE_S):
                await ask
        except TimeoutError:
            outcome.failure, outcome.run_state = NO_ANSWER, UNKNOWN
        outcome.took_s = loop.time() - started_s

    async def _generate(self, outcome: Outcome, tokens: int) -> None:
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + TIME_LIMIT_S
        entry = self._choose_entry()
        while True:
            remaining_ms = round(1000 * max(0.001, deadline_s - loop.time()))
            try:
                await self._read(outcome, self._stream(entry, outcome, tokens, remaining_ms))
                break
            except ConnectError as error:
                record_failure(outcome, error)
                if not self._may_resume(outcome):
                    break
            outcome.resumed += 1
            entry = self._choose_entry(avoid=entry)
            await asyncio.sleep(RETRY_S)
        expected = expected_answer(outcome.prompt, tokens)
        received = tuple(outcome.texts)
        outcome.wrong = received != expected[: len(received)] or (
            outcome.whole and received != expected
        )

    def _may_resume(self, outcome: Outcome) -> bool:
        if outcome.failure not in (ENTRY_LOST, STOPPING):
            return False
        return bool(outcome.request_id) or outcome.kind in (Kind.GENERATION, Kind.HUGE)

    def _stream(self, entry: int, outcome: Outcome, tokens: int, remaining_ms: int):
        client = self._clients[entry]
        if outcome.request_id:
            attach = pb.AttachRequest(
                request_id=outcome.request_id,
                next_index=len(outcome.texts),
                time_limit_ms=remaining_ms,
            )
            return client.attach(attach, headers=self._headers)
        request = pb.GenerateRequest(
            model=self._model,
            prompt=outcome.prompt,
            max_output_tokens=tokens,
            time_limit_ms=remaining_ms,
            not_repeatable=outcome.kind is Kind.VERDICT,
        )
        return client.generate(request, headers=self._headers)

    async def _read(self, outcome: Outcome, stream) -> None:
        async for response in stream:
            event = response.event
            if event is None:
                continue
            if event.field == "opened":
                outcome.request_id = event.value.request_id
            elif event.field == "tokens":
                outcome.wrong |= event.value.first_index != len(outcome.texts)
                outcome.texts.extend(event.value.texts)
            else:
                outcome.whole = event.value.token_count == len(outcome.texts)
                outcome.failure = outcome.run_state = outcome.message = ""
                return
        raise EntryClosedError

    async def _order(self, key: str, outcomes: list[Outcome]) -> None:
        duplicates = [Outcome(kind=Kind.ORDER, key=key) for _ in range(2)]
        outcomes.extend(duplicates)
        first = self._choose_entry()
        await self._within_limit(duplicates[0], self._open(duplicates[0], first))
        duplicates[1].request_id = duplicates[0].request_id
        if not duplicates[0].request_id:
            outcomes.remove(duplicates[1])
            return
        entries = (first, self._choose_entry(avoid=first))
        await asyncio.gather(
            *(
                self._within_limit(duplicate, self._call(duplicate, entry))
                for duplicate, entry in zip(duplicates, entries, strict=True)
            )
        )

    async def _open(self, outcome: Outcome, entry: int) -> None:
        request = pb.OpenRequestRequest(service=self._service)
        for _ in range(MAX_OPEN_ATTEMPTS):
            try:
                reply = await self._clients[entry].open_request(request, headers=self._headers)
            except ConnectError as error:
                record_failure(outcome, error)
                entry = self._choose_entry(avoid=entry)
                await asyncio.sleep(RETRY_S)
                continue
            outcome.request_id = reply.request_id
            outcome.failure = outcome.run_state = ""
            return

    async def _call(self, outcome: Outcome, entry: int) -> None:
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + TIME_LIMIT_S
        while True:
            request = pb.CallRequest(
                service=self._service,
                method="echo",
                payload=outcome.key.encode(),
                time_limit_ms=round(1000 * max(0.001, deadline_s - loop.time())),
                request_id=outcome.request_id,
                not_repeatable=True,
            )
            try:
                reply = await self._clients[entry].call(request, headers=self._headers)
            except ConnectError as error:
                record_failure(outcome, error)
                if not self._may_resume(outcome):
                    return
                outcome.resumed += 1
                entry = self._choose_entry(avoid=entry)
                await asyncio.sleep(RETRY_S)
                continue
            outcome.failure = outcome.run_state = ""
            outcome.whole = reply.payload == outcome.key.encode()
            outcome.wrong = not outcome.whole
            return


class EntryClosedError(ConnectError):
    """A stream ended without its final message."""

    def __init__(self) -> None:
        super().__init__(Code.UNAVAILABLE, "the stream ended without its final message")


def record_failure(outcome: Outcome, error: ConnectError) -> None:
    """Record the failure in the details of an RPC error; if there is none, the entry was lost."""
    outcome.failure, outcome.run_state = ENTRY_LOST, UNKNOWN
    outcome.message = str(error)
    for detail in error.details:
        failure = detail.value(pb.Failure)
        if failure is not None:
            outcome.failure = failure.kind
            outcome.run_state = failure.run_state.name
            outcome.request_id = failure.request_id or outcome.request_id
