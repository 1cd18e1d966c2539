"""Sends the planned requests in an open loop.

Latency is measured from the intended start, so that a late send counts as latency (no
coordinated omission).
"""

import asyncio
import hashlib
from dataclasses import dataclass

from connectrpc.errors import ConnectError

from ..peer import AnswerChecksum
from ..rpc._generated.cicadatiller.v1 import serving_pb as pb
from ..rpc._generated.cicadatiller.v1.serving_connect import ServingServiceClient
from ._measure import BucketResult, RunResult
from ._mix import Mix
from ._plan import PlannedRequest, make_payload, make_prompt, plan_requests

LATE_GRACE_S = 1.0
MAX_RETRY_WAIT_S = 5.0


@dataclass(frozen=True, kw_only=True)
class Refusal:
    """A failure as reported to the caller.

    Attributes:
        kind: The name of the error kind; the RPC error code if the error has no detail.
        run_state: The name of the run state.
        retry_after_s: The wait before a retry; zero if the error does not state one.
    """

    kind: str
    run_state: str
    retry_after_s: float


class LoadDriver:
    """Sends the requests of one mix and collects the results."""

    def __init__(self, mix: Mix) -> None:
        self._mix = mix
        self._result = RunResult()
        self._clients = {url: ServingServiceClient(url) for url in mix.entries}
        self._in_flight = 0
        self._started_s = 0.0

    async def run(self) -> RunResult:
        """Send every request at its intended start and wait for the last response."""
        loop = asyncio.get_running_loop()
        self._started_s = loop.time()
        async with asyncio.TaskGroup() as tasks:
            for request in plan_requests(self._mix):
                await asyncio.sleep(self._started_s + request.at_s - loop.time())
                bucket = self._bucket(request)
                if self._in_flight >= self._mix.max_in_flight:
                    bucket.unsent += request.measured
                    continue
                self._in_flight += 1
                tasks.create_task(self._send(request, bucket))
        return self._result

    def _bucket(self, request: PlannedRequest) -> BucketResult:
        if not request.measured:
            return BucketResult()
        return self._result.bucket(request.prompt_tokens, is_call=request.is_call)

    async def _send(self, request: PlannedRequest, bucket: BucketResult) -> None:
        intended_s = self._started_s + request.at_s
        loop = asyncio.get_running_loop()
        if request.measured:
            self._result.schedule_lag.record(loop.time() - intended_s)
        bucket.sent += 1
        try:
            for attempt in range(self._mix.retries + 1):
                refusal = await self._send_attempt(request, bucket, intended_s)
                if refusal is None or refusal.run_state != "NOT_RUN":
                    break
                if attempt < self._mix.retries and refusal.retry_after_s > 0:
                    bucket.retried += 1
                    await asyncio.sleep(min(refusal.retry_after_s, MAX_RETRY_WAIT_S))
        finally:
            self._in_flight -= 1

    async def _send_attempt(
        self, request: PlannedRequest, bucket: BucketResult, intended_s: float
    ) -> Refusal | None:
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        try:
            async with asyncio.timeout(request.time_limit_s + 2 * LATE_GRACE_S):
                if request.is_call:
                    await self._call(request, bucket, intended_s)
                else:
                    await self._generate(request, bucket, intended_s)
        except ConnectError as error:
            refusal = read_refusal(error)
        except TimeoutError:
            refusal = Refusal(kind="NO_ANSWER", run_state="OUTCOME_UNKNOWN", retry_after_s=0.0)
        else:
            return None
        took_s = loop.time() - sent_s
        bucket.failures[f"{refusal.kind} {refusal.run_state}"] += 1
        if refusal.run_state == "NOT_RUN":
            bucket.refusal.record(took_s)
        if took_s > request.time_limit_s + LATE_GRACE_S:
            bucket.late_failures += 1
        return refusal

    async def _generate(
        self, request: PlannedRequest, bucket: BucketResult, intended_s: float
    ) -> None:
        loop = asyncio.get_running_loop()
        prompt = make_prompt(request, self._mix.seed)
        message = pb.GenerateRequest(
            model=self._mix.model,
            prompt=prompt,
            max_output_tokens=request.output_tokens,
            time_limit_ms=round(request.time_limit_s * 1000),
        )
        texts: list[str] = []
        done: pb.Done | None = None
        last_s = 0.0
        stream = self._clients[request.entry].generate(message, headers=_headers(request))
        async for response in stream:
            event = response.event
            if event is None:
                continue
            if event.field == "done":
                done = event.value
            if event.field != "tokens":
                continue
            now_s = loop.time()
            if not texts:
                bucket.first_token.record(now_s - intended_s)
            else:
                _record_gaps(bucket, now_s - last_s, len(event.value.texts))
            last_s = now_s
            texts.extend(event.value.texts)
        bucket.total.record(loop.time() - intended_s)
        self._check_answer(bucket, request, prompt, texts, done)

    def _check_answer(
        self,
        bucket: BucketResult,
        request: PlannedRequest,
        prompt: str,
        texts: list[str],
        done: pb.Done | None,
    ) -> None:
        whole = (
            done is not None
            and done.token_count == len(texts) == request.output_tokens
            and done.checksum == AnswerChecksum(texts).value()
        )
        if whole and self._mix.check_standin_answers:
            whole = texts == _standin_answer(prompt, request.output_tokens)
        bucket.tokens += len(texts)
        bucket.whole += whole
        bucket.wrong += not whole

    async def _call(self, request: PlannedRequest, bucket: BucketResult, intended_s: float) -> None:
        payload = make_payload(request, self._mix.seed)
        message = pb.CallRequest(
            service=self._mix.service,
            method="echo",
            payload=payload,
            time_limit_ms=round(request.time_limit_s * 1000),
            not_repeatable=True,
        )
        reply = await self._clients[request.entry].call(message, headers=_headers(request))
        bucket.total.record(asyncio.get_running_loop().time() - intended_s)
        is_correct = reply.payload == payload or not self._mix.check_standin_answers
        bucket.whole += is_correct
        bucket.wrong += not is_correct


def read_refusal(error: ConnectError) -> Refusal:
    """Return the failure in an RPC error's details, or one made of its code if there is none."""
    for detail in error.details:
        failure = detail.value(pb.Failure)
        if failure is not None:
            return Refusal(
                kind=failure.kind,
                run_state=failure.run_state.name,
                retry_after_s=failure.retry_after_ms / 1000,
            )
    return Refusal(kind=error.code.name, run_state="OUTCOME_UNKNOWN", retry_after_s=0.0)


def _headers(request: PlannedRequest) -> dict[str, str]:
    return {"authorization": f"Bearer {request.workspace.key}"}


def _record_gaps(bucket: BucketResult, gap_s: float, tokens: int) -> None:
    for _ in range(tokens):
        bucket.token_gap.record(gap_s / tokens)


def _standin_answer(prompt: str, token_count: int) -> list[str]:
    digest = hashlib.blake2b(prompt.encode(), digest_size=3).hexdigest()
    return [f"{digest}-{index} " for index in range(token_count)]
