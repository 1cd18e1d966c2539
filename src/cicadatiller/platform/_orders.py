"""Sends orders to the platform's engines and requests their reports, over HTTP/1.1."""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ..egress import (
    ConnectionPool,
    EgressConnection,
    EgressError,
    MalformedResponseError,
    ResponseHead,
    ResponseMatcher,
    Substitute,
    render_request,
)
from ..gateway import EngineReport, ReserveResult
from ..kernel import DocumentError, Event, get_number, load_object, log_event
from ._headers import REQUEST_ID, SIGNATURE, TRANSIENT_HEADERS

CALL_TIMEOUT_S = 0.25
MAX_RESPONSE_BYTES = 64 * 1024

OK = 200
FIRST_SERVER_ERROR = 500
RETRY_AFTER = b"retry-after"
# The state of a reservation that no request uses.
UNUSED = "held"
REPORT = "report"
ORDER = "order"


@dataclass(frozen=True, kw_only=True, slots=True)
class _CallKind:
    """A kind of call to an engine.

    Attributes:
        matcher: Tells a response to the call from others.
        success_fields: Of these, the document of a success has at least one; empty if any body does.
    """

    matcher: ResponseMatcher
    success_fields: frozenset[str] = frozenset()

    def is_success(self, status: int, body: bytes) -> bool:
        """Return whether a response is a success, and that to a call of this kind."""
        if status != OK or not self.success_fields:
            return status == OK
        try:
            document = load_object(body)
        except DocumentError:
            return False
        return not self.success_fields.isdisjoint(document)


def _make_matcher(exchange: str, **options: Any) -> ResponseMatcher:
    return ResponseMatcher(
        exchange=exchange,
        id_header=REQUEST_ID,
        foreign_header=SIGNATURE,
        transient_headers=TRANSIENT_HEADERS,
        **options,
    )


RESERVE = _CallKind(
    matcher=_make_matcher(ORDER, distinct_from=frozenset({REPORT})),
    success_fields=frozenset({"free"}),
)
# What an engine says when a reservation is renewed or released decides nothing.
UPDATE = _CallKind(matcher=_make_matcher(ORDER, substitute=Substitute.ANY))
REPORT_FIELDS = frozenset({"pace", "stage", "tickets"})
# An older report does for the pace of an engine and for whether it is alive.
ANY_REPORT = _CallKind(
    matcher=_make_matcher(
        REPORT, substitute=Substitute.SAME_KIND, distinct_from=frozenset({ORDER})
    ),
    success_fields=REPORT_FIELDS,
)
CURRENT_REPORT = _CallKind(
    matcher=_make_matcher(REPORT, distinct_from=frozenset({ORDER})), success_fields=REPORT_FIELDS
)


class PlatformEngineClient:
    """Implements `EngineClient` for the platform's engines.

    Args:
        pool: The connections to targets.

    Attributes:
        orders: The number of orders sent.
    """

    def __init__(self, *, pool: ConnectionPool) -> None:
        self._pool = pool
        self.orders = 0
        self._on_head: Callable[[str, ResponseHead], None] = lambda address, head: None

    def listen(self, on_head: Callable[[str, ResponseHead], None]) -> None:
        """Call `on_head` with the address and the head of each response from now on."""
        self._on_head = on_head

    async def reserve(
        self, address: str, ticket: str, *, tokens: int, hold_s: float, is_renewal: bool = False
    ) -> ReserveResult:
        """Reserve memory, or renew a reservation."""
        order: dict[str, str | int] = {
            "operation": "reserve",
            "id": ticket,
            "tokens": tokens,
            "hold_ms": int(hold_s * 1000),
        }
        kind = UPDATE if is_renewal else RESERVE
        answer = await self._send(address, order, kind)
        # A server error does not tell whether the order was carried out.
        if answer is None or answer[0] >= FIRST_SERVER_ERROR:
            return ReserveResult.UNKNOWN
        if answer[0] != OK:
            return ReserveResult.NO_ROOM
        return ReserveResult.HELD if kind.is_success(*answer) else ReserveResult.UNKNOWN

    async def release(self, address: str, ticket: str) -> bool:
        """End a reservation; return whether the engine confirmed it."""
        answer = await self._send(address, {"operation": "release", "id": ticket}, UPDATE)
        return answer is not None and answer[0] < FIRST_SERVER_ERROR

    async def report(self, address: str, *, is_current: bool = False) -> EngineReport | None:
        """Return an engine's report; None if it does not respond or the report is unreadable."""
        kind = CURRENT_REPORT if is_current else ANY_REPORT
        answer = await self._ask(address, kind, b"GET", b"/report")
        if answer is None or answer[0] != OK:
            return None
        try:
            document = load_object(answer[1])
            pace = get_number(document, "pace", 1.0)
            rows = document.get("tickets") or ()
            tickets = frozenset(str(row["id"]) for row in rows)
            unused = frozenset(str(row["id"]) for row in rows if row.get("state") == UNUSED)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            log_event(Event.ENTRY_UNREADABLE, name=address, error=repr(error))
            return None
        return EngineReport(pace=pace, tickets=tickets, unused_tickets=unused)

    async def _send(
        self, address: str, order: dict[str, str | int], kind: _CallKind
    ) -> tuple[int, bytes] | None:
        """Return the status and the body; None without a response, as it may still take effect."""
        self.orders += 1
        return await self._ask(address, kind, b"POST", b"/order", json.dumps(order).encode())

    async def _ask(
        self, address: str, kind: _CallKind, method: bytes, target: bytes, body: bytes = b""
    ) -> tuple[int, bytes] | None:
        """Return the status and the body of a response; None without one.

        A response that is no plain success may be surplus of an earlier exchange of the connection,
        so it is asked for once more on a new one. Orders and reports are idempotent. An engine that
        states a time to wait is not asked again.
        """
        headers = [(b"Host", address.encode())]
        if body:
            headers.append((b"Content-Type", b"application/json"))
        request = render_request(method, target, headers, body)
        timeout_s = self._pool.connect_timeout.timeout_s
        try:
            connection = await self._pool.acquire(
                address, matcher=kind.matcher, timeout_s=timeout_s
            )
            answer = await self._exchange(connection, request, kind)
            if answer is None:
                connection = await self._pool.open(address, timeout_s=timeout_s)
                answer = await self._exchange(connection, request, kind)
            return answer
        except MalformedResponseError as error:
            log_event(Event.ENTRY_UNREADABLE, name=address, error=str(error))
            return None
        except (EgressError, TimeoutError):
            return None

    async def _exchange(
        self, connection: EgressConnection, request: bytes, kind: _CallKind
    ) -> tuple[int, bytes] | None:
        """Return the status and the body; None if the response may be surplus and was refused."""
        may_have_surplus = connection.is_reused
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                connection.start(request, matcher=kind.matcher)
                head = await connection.read_head()
                body = await connection.read_whole_body(MAX_RESPONSE_BYTES)
            is_success = kind.is_success(head.status, body)
            if may_have_surplus and not is_success and head.find(RETRY_AFTER) is None:
                connection.refuse_response(head.status)
                return None
            self._on_head(connection.address, head)
            return head.status, body
        except MalformedResponseError:
            if may_have_surplus:
                return None
            raise
        finally:
            self._pool.release(connection)
