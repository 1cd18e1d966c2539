"""Binds the idempotency keys of callers to request ids through claims on the log."""

import asyncio
import random
from collections import OrderedDict
from collections.abc import Awaitable, Callable

from returns.result import Success

from ..backing import LogClient, OffsetTrimmedError, PlatformUnavailableError
from ..kernel import ErrorKind, Event, FailureError, RunState, fail, log_event
from ._claim_table import (
    CLAIM_STREAM,
    KEY_SKEW_MS,
    Claim,
    ClaimBatch,
    ClaimTable,
    decode_batch,
    digest,
    encode_batch,
    parse_key_time,
)
from ._requests import WorkRequest

CLAIM_TIMEOUT_S = 5.0
APPENDS_PER_S = 200.0
WRITER_TIMEOUT_S = 10.0
MAX_BATCH_CLAIMS = 512
READ_INTERVAL_S = 5.0
RETRY_S = 0.2
MARKER_INTERVAL_S = 300.0

OpenId = Callable[[], Awaitable[str]]


class ClaimLog:
    """Binds each key to the request id of its first claim, whichever entry made the claim.

    All pending claims go into one append. The entries that appended within the last
    `WRITER_TIMEOUT_S` share the rate `APPENDS_PER_S`. A claim counts once its record and all
    records before it are read back, so a lost reply to an append needs no handling of its own.

    Args:
        name: Name of this entry.
        log: The platform's log.
    """

    def __init__(self, *, name: str, log: LogClient) -> None:
        self._name = name
        self._log = log
        self._table = ClaimTable()
        self._pending: OrderedDict[str, Claim] = OrderedDict()
        self._waiters: dict[str, asyncio.Future[int]] = {}
        self._wake = asyncio.Event()
        self._writer_seen_s: dict[str, float] = {}
        self._random = random.Random(name)
        self._last_record_s = 0.0
        self._reachable = True

    async def run(self) -> None:
        """Append pending claims and read the claims of all entries until cancelled."""
        self._last_record_s = asyncio.get_running_loop().time()
        while True:
            try:
                await self._step()
                await asyncio.sleep(self._interval_s())
                self._reachable = True
            except PlatformUnavailableError as error:
                self._report_unreachable(error)
                await asyncio.sleep(RETRY_S)

    async def bind(self, request: WorkRequest, open_id: OpenId, timeout_s: float) -> str:
        """Return the request id that a request's key is bound to.

        Args:
            request: The request, with its key.
            open_id: Issues a request id; called only if the key is new.
            timeout_s: Maximum wait for the log; at most `CLAIM_TIMEOUT_S`.

        Raises:
            FailureError: INVALID_REQUEST, LOG_UNAVAILABLE, KEY_CONFLICT, KEY_EXPIRED, or any that
                `open_id` raises.
        """
        parsed = parse_key_time(request.idempotency_key)
        if not isinstance(parsed, Success):
            raise fail(ErrorKind.INVALID_REQUEST, str(parsed.failure()))
        key = digest(request.workspace, request.idempotency_key)
        try:
            async with asyncio.timeout(min(timeout_s, CLAIM_TIMEOUT_S)):
                claim = await self._find(key)
                if claim is None:
                    claim = await self._claim_new(request, key, parsed.unwrap(), open_id)
        except (TimeoutError, PlatformUnavailableError) as error:
            raise self._unavailable(key) from error
        if claim.body != body_digest(request):
            raise fail(
                ErrorKind.KEY_CONFLICT,
                "the idempotency key was used for a request with another body; use a new key",
            )
        return claim.request_id

    def cached_request_id(self, request: WorkRequest) -> str:
        """Return the request id that a request's key is bound to; empty if it is not cached."""
        claim = self._table.cached(digest(request.workspace, request.idempotency_key))
        return "" if claim is None else claim.request_id

    async def rebind(
        self, request: WorkRequest, withdrawn_id: str, open_id: OpenId, timeout_s: float
    ) -> str:
        """Bind a key to a new request id because its current one was withdrawn before it ran.

        If another entry has replaced the claim already, its request id is returned.

        Raises:
            FailureError: LOG_UNAVAILABLE, KEY_EXPIRED, or any that `open_id` raises.
        """
        key = digest(request.workspace, request.idempotency_key)
        made_ms = parse_key_time(request.idempotency_key).unwrap()
        try:
            async with asyncio.timeout(min(timeout_s, CLAIM_TIMEOUT_S)):
                known = self._table.offset_of(key) or 0
                present = await self._find(key)
                if present is not None and present.request_id != withdrawn_id:
                    return present.request_id
                claim = Claim(
                    key=key,
                    made_ms=made_ms,
                    body=body_digest(request),
                    request_id=await open_id(),
                    replaces=known,
                )
                await self._append(claim)
                winner = await self._find(key)
        except (TimeoutError, PlatformUnavailableError) as error:
            raise self._unavailable(key) from error
        if winner is None or winner.request_id == withdrawn_id:
            raise _expired()
        return winner.request_id

    async def _claim_new(
        self, request: WorkRequest, key: bytes, made_ms: int, open_id: OpenId
    ) -> Claim:
        if made_ms <= self._table.horizon_ms:
            raise _expired()
        request_id = await open_id()
        claim = Claim(key=key, made_ms=made_ms, body=body_digest(request), request_id=request_id)
        record_ms = await self._append(claim)
        if made_ms > record_ms + KEY_SKEW_MS:
            raise fail(
                ErrorKind.INVALID_REQUEST,
                f"the idempotency key's time {made_ms} is in the future; check the clock",
            )
        winner = await self._find(key)
        if winner is None or made_ms <= self._table.horizon_ms:
            raise _expired()
        return winner

    async def _find(self, key: bytes) -> Claim | None:
        cached = self._table.cached(key)
        offset = self._table.offset_of(key)
        if cached is not None or offset is None:
            return cached
        try:
            page = await self._log.read(CLAIM_STREAM, offset, limit=1)
        except OffsetTrimmedError as error:
            raise _expired() from error
        batch = decode_batch(page.records[0].payload) if page.records else None
        claims = () if batch is None else batch.claims
        of_key = [claim for claim in claims if claim.key == key]
        # Of several claims in one record, the first with the highest `replaces` is current.
        claim = max(of_key, key=lambda claim: claim.replaces, default=None)
        if claim is None:
            raise _expired()
        return claim

    async def _append(self, claim: Claim) -> int:
        """Append a claim and return the time of its record once that is read back."""
        waiter: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self._waiters[claim.request_id] = waiter
        self._pending[claim.request_id] = claim
        self._wake.set()
        try:
            return await waiter
        finally:
            self._waiters.pop(claim.request_id, None)
            self._pending.pop(claim.request_id, None)

    async def _step(self) -> None:
        if not self._pending:
            await self._wait_for_claims()
        if self._pending:
            claims = tuple(self._pending.values())[:MAX_BATCH_CLAIMS]
            await self._append_batch(ClaimBatch(writer=self._name, claims=claims))
        elif self._is_marker_due():
            await self._append_batch(ClaimBatch(writer=self._name))
        await self._read_to_end()

    async def _wait_for_claims(self) -> None:
        self._wake.clear()
        try:
            async with asyncio.timeout(READ_INTERVAL_S):
                await self._wake.wait()
        except TimeoutError:
            return

    async def _append_batch(self, batch: ClaimBatch) -> None:
        try:
            await self._log.append(CLAIM_STREAM, encode_batch(batch))
        except PlatformUnavailableError as error:
            self._report_unreachable(error)
            await asyncio.sleep(RETRY_S)

    def _report_unreachable(self, error: PlatformUnavailableError) -> None:
        if self._reachable:
            log_event(Event.LOG_READ_FAILED, stream=CLAIM_STREAM, error=str(error))
        self._reachable = False

    async def _read_to_end(self) -> None:
        while True:
            try:
                page = await self._log.read(CLAIM_STREAM, self._table.next_offset)
            except OffsetTrimmedError as error:
                self._table.skip_to(error.first_offset)
                continue
            for record in page.records:
                batch = decode_batch(record.payload)
                self._table.advance(record, batch)
                self._apply_batch(batch, record.time_ms)
            if page.next_offset >= page.end_offset:
                return

    def _apply_batch(self, batch: ClaimBatch | None, record_ms: int) -> None:
        now_s = asyncio.get_running_loop().time()
        self._last_record_s = now_s
        if batch is None:
            return
        self._writer_seen_s[batch.writer] = now_s
        for claim in batch.claims:
            self._pending.pop(claim.request_id, None)
            waiter = self._waiters.get(claim.request_id)
            if waiter is not None and not waiter.done():
                waiter.set_result(record_ms)

    def _interval_s(self) -> float:
        """Return the interval that keeps this entry within its equal part of `APPENDS_PER_S`."""
        now_s = asyncio.get_running_loop().time()
        for writer, seen_s in list(self._writer_seen_s.items()):
            if now_s - seen_s > WRITER_TIMEOUT_S:
                del self._writer_seen_s[writer]
        return max(1, len(self._writer_seen_s)) / APPENDS_PER_S

    def _is_marker_due(self) -> bool:
        """Return whether a record without claims is due.

        An entry that finds records trimmed derives its horizon from the time of the next record, so
        the stream must not stay without one.
        """
        silent_s = asyncio.get_running_loop().time() - self._last_record_s
        return silent_s > MARKER_INTERVAL_S * self._random.uniform(1, 2)

    def _unavailable(self, key: bytes) -> FailureError:
        claimed = self._table.offset_of(key) is not None
        return fail(
            ErrorKind.LOG_UNAVAILABLE,
            "the log did not confirm the idempotency key in time; retry, or use OpenRequest, which "
            "does not need the log",
            run_state=RunState.OUTCOME_UNKNOWN if claimed else None,
            retry_after_s=CLAIM_TIMEOUT_S,
        )


def body_digest(request: WorkRequest) -> bytes:
    """Return the digest of the fields that a retry with the same key must repeat."""
    return digest(
        request.model,
        request.adapter,
        request.version,
        request.prompt,
        str(request.max_output_tokens),
        request.service,
        request.method,
        request.payload,
        str(request.repeatable),
    )


def _expired() -> FailureError:
    return fail(
        ErrorKind.KEY_EXPIRED,
        "the idempotency key is too old to determine whether it was used; check whether the "
        "request took effect, then make a new key",
        run_state=RunState.OUTCOME_UNKNOWN,
    )
