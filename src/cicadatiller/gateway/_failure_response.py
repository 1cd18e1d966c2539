"""Maps failures to HTTP error responses."""

from ..ingress import Response
from ..kernel import ErrorKind, Failure, RunState
from ._wire import WireCodec

UNAVAILABLE = 503
UNKNOWN_OUTCOME = 502
DEFAULT_RETRY_AFTER_S = 0.5
# By these a caller knows that its request has not run and will not.
NOT_RUN_STATUSES = frozenset({408, 421, 429, UNAVAILABLE})

# Statuses of requests that did not run, by failure kind; all other kinds get `UNAVAILABLE`.
STATUS_BY_KIND = {
    ErrorKind.INVALID_REQUEST: 400,
    ErrorKind.UNAUTHENTICATED: 401,
    ErrorKind.UNKNOWN_SERVICE: 404,
    ErrorKind.TOO_LARGE: 413,
}


def failure_status(failure: Failure) -> int:
    """Return the HTTP status for a failure.

    Statuses that imply that the request did not run are used only if that is certain.
    """
    if failure.run_state is not RunState.NOT_RUN:
        return 504 if failure.kind is ErrorKind.DEADLINE_EXCEEDED else UNKNOWN_OUTCOME
    return STATUS_BY_KIND.get(failure.kind, UNAVAILABLE)


def failure_response(failure: Failure, request_id: str, codec: WireCodec) -> Response:
    """Return the error response to a failed request."""
    status = failure_status(failure)
    retry_after_s = None
    if status == UNAVAILABLE:
        retry_after_s = failure.retry_after_s or DEFAULT_RETRY_AFTER_S
    return Response(
        status=status,
        headers=(
            *codec.refusal_headers(request_id, retry_after_s),
            (b"Content-Type", b"text/plain"),
        ),
        body=f"{failure.kind.value}: {failure.message}\n".encode(),
    )
