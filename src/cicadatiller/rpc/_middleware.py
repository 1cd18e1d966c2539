"""WSGI middleware that limits open calls and adds `Failure` details to errors."""

import struct
import threading
from collections.abc import Callable, Iterable, Iterator
from typing import Any

from ..kernel import DocumentError, ErrorKind, Failure, RunState, failure, load_object
from ._errors import to_error_json, to_rpc_error

LONG_METHODS = frozenset({"Generate", "Call", "Attach"})
STREAM_CONTENT_PREFIX = "application/connect+"
END_OF_STREAM = 2
ENVELOPE_HEADER_BYTES = 5
OVERLOAD_RETRY_S = 1.0
DISCARD_BLOCK_BYTES = 64 * 1024
FIRST_ERROR_STATUS = 400
HTTP_OVERLOADED = "429 Too Many Requests"
HTTP_TOO_LARGE = "413 Content Too Large"

WsgiApplication = Callable[[Any, Any], Iterable[bytes]]

_KINDS_BY_CODE = {
    "invalid_argument": ErrorKind.INVALID_REQUEST,
    "resource_exhausted": ErrorKind.TOO_LARGE,
    "unimplemented": ErrorKind.INVALID_REQUEST,
    "not_found": ErrorKind.INVALID_REQUEST,
}


class CallLimitMiddleware:
    """Limits the open calls of one RPC application and adds details to its errors.

    Calls beyond the limit are refused at once. Errors of the RPC library, which carry no `Failure`
    detail, get one.

    Args:
        application: The RPC application.
        long_call_slots: Slots for calls of `LONG_METHODS`, which last until the target has
            completed the request.
        short_call_slots: Slots for all other calls, so that a request can be cancelled while
            `long_call_slots` is used up.
        max_body_bytes: The maximum size of a request body.
    """

    def __init__(
        self,
        application: WsgiApplication,
        *,
        long_call_slots: threading.Semaphore,
        short_call_slots: threading.Semaphore,
        max_body_bytes: int,
    ) -> None:
        self._application = application
        self._long_call_slots = long_call_slots
        self._short_call_slots = short_call_slots
        self._max_body_bytes = max_body_bytes

    def __call__(self, environ: Any, start_response: Any) -> Iterable[bytes]:
        """Serve one call."""
        if _content_length(environ) > self._max_body_bytes + ENVELOPE_HEADER_BYTES:
            too_large = failure(
                ErrorKind.TOO_LARGE,
                f"the request exceeds the limit of {self._max_body_bytes} bytes",
            )
            return _refuse(environ, start_response, too_large, HTTP_TOO_LARGE)
        slots = self._select_slots(environ)
        if not slots.acquire(blocking=False):
            overloaded = failure(
                ErrorKind.OVERLOADED,
                "the entry has reached its limit of open calls; retry later or use another entry",
                retry_after_s=OVERLOAD_RETRY_S,
            )
            return _refuse(environ, start_response, overloaded, HTTP_OVERLOADED)
        return _SlotReleasingBody(self._serve(environ, start_response), slots)

    def _select_slots(self, environ: Any) -> threading.Semaphore:
        method = str(environ.get("PATH_INFO", "")).rpartition("/")[2]
        return self._long_call_slots if method in LONG_METHODS else self._short_call_slots

    def _serve(self, environ: Any, start_response: Any) -> Iterator[bytes]:
        response = _DeferredResponseStart(start_response)
        body = self._application(environ, response.start)
        try:
            if response.is_error:
                yield response.with_failure_detail(b"".join(body))
                return
            for chunk in body:
                yield _add_detail_to_envelope(chunk) if response.is_stream else chunk
        finally:
            close = getattr(body, "close", None)
            if close is not None:
                close()


class _SlotReleasingBody:
    """A response body that releases a slot when the server closes it."""

    def __init__(self, chunks: Iterator[bytes], slots: threading.Semaphore) -> None:
        self._chunks = chunks
        self._slots = slots
        self._closed = False

    def __iter__(self) -> Iterator[bytes]:
        return self._chunks

    def close(self) -> None:
        """Close the response body and release the slot; later calls do nothing."""
        if self._closed:
            return
        self._closed = True
        try:
            self._chunks.close()  # type: ignore[attr-defined]
        finally:
            self._slots.release()


class _DeferredResponseStart:
    """Delays the status and headers of an error response until its body is complete.

    Adding the failure detail changes the length of the body. Other responses are not delayed.
    """

    def __init__(self, start_response: Any) -> None:
        self._start_response = start_response
        self._status = ""
        self.is_error = False
        self.is_stream = False

    def start(self, status: str, headers: list[tuple[str, str]], exc_info: Any = None) -> None:
        self._status = status
        self.is_error = int(status[:3]) >= FIRST_ERROR_STATUS
        self.is_stream = any(
            name.lower() == "content-type" and value.startswith(STREAM_CONTENT_PREFIX)
            for name, value in headers
        )
        if not self.is_error:
            self._start_response(status, headers)

    def with_failure_detail(self, body: bytes) -> bytes:
        """Send the status and headers of an error response; return its body with the detail."""
        fields = _parse_json_object(body) or {"code": "unimplemented", "message": self._status}
        if "details" not in fields:
            body = _to_detailed_error(fields)
        self._start_response(self._status, _json_headers(body))
        return body


def _add_detail_to_envelope(chunk: bytes) -> bytes:
    if not chunk or chunk[0] != END_OF_STREAM:
        return chunk
    end = _parse_json_object(chunk[ENVELOPE_HEADER_BYTES:])
    error = end.get("error") if end else None
    if not isinstance(error, dict) or "details" in error:
        return chunk
    return _end_of_stream_envelope(_to_detailed_error(error))


def _end_of_stream_envelope(error_json: bytes) -> bytes:
    message = b'{"error":' + error_json + b"}"
    return struct.pack(">BI", END_OF_STREAM, len(message)) + message


def _to_detailed_error(fields: dict[str, Any]) -> bytes:
    kind = _KINDS_BY_CODE.get(str(fields.get("code")), ErrorKind.INTERNAL)
    run_state = RunState.OUTCOME_UNKNOWN if kind is ErrorKind.INTERNAL else RunState.NOT_RUN
    message = str(fields.get("message", ""))
    return to_error_json(to_rpc_error(failure(kind, message, run_state=run_state)))


def _refuse(environ: Any, start_response: Any, refusal: Failure, status: str) -> list[bytes]:
    _discard_body(environ)
    error_json = to_error_json(to_rpc_error(refusal))
    content_type = str(environ.get("CONTENT_TYPE", ""))
    if content_type.startswith(STREAM_CONTENT_PREFIX):
        body = _end_of_stream_envelope(error_json)
        start_response("200 OK", [("Content-Type", content_type)])
        return [body]
    start_response(status, _json_headers(error_json))
    return [error_json]


def _discard_body(environ: Any) -> None:
    remaining = _content_length(environ)
    while remaining > 0:
        block = environ["wsgi.input"].read(min(remaining, DISCARD_BLOCK_BYTES))
        if not block:
            return
        remaining -= len(block)


def _content_length(environ: Any) -> int:
    length = str(environ.get("CONTENT_LENGTH") or "0")
    return int(length) if length.isdecimal() else 0


def _parse_json_object(data: bytes) -> dict[str, Any] | None:
    try:
        return load_object(data)
    except DocumentError:
        return None


def _json_headers(body: bytes) -> list[tuple[str, str]]:
    return [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
