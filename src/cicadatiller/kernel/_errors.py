"""The closed list of error kinds, and the table that defines how each kind is reported."""

import enum
from dataclasses import dataclass, replace

from ._events import Event


class RunState(enum.Enum):
    """What is known about the execution of a request that did not succeed."""

    NOT_RUN = "NOT_RUN"
    RAN = "RAN"
    OUTCOME_UNKNOWN = "OUTCOME_UNKNOWN"


class RpcCode(enum.Enum):
    """The status codes of the RPC protocol that this system returns."""

    INVALID_ARGUMENT = "invalid_argument"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    NOT_FOUND = "not_found"
    PERMISSION_DENIED = "permission_denied"
    RESOURCE_EXHAUSTED = "resource_exhausted"
    FAILED_PRECONDITION = "failed_precondition"
    ABORTED = "aborted"
    CANCELED = "canceled"
    INTERNAL = "internal"
    UNAVAILABLE = "unavailable"
    UNAUTHENTICATED = "unauthenticated"


class Advice(enum.Enum):
    """What the caller should do after a failure."""

    FIX_REQUEST = "Correct the request; sending it again unchanged fails again."
    FIX_CREDENTIALS = "Send a valid key."
    RETRY_LATER = "Send the request again after retry_after_ms."
    RETRY_SAME_ID = "Send the request again with the same request id; it will not run twice."
    ATTACH = "Attach to the request id to read the answer."
    SPLIT_OR_SHORTEN = "Shorten the prompt or raise the time limit."
    CHECK_EFFECT = "Check by other means whether the request took effect before sending a new one."
    USE_OPEN_REQUEST = "Use OpenRequest in place of an idempotency key, or try again later."
    READ_AND_REAPPLY = "Read the present revision and apply the change again."
    APPLY_LATER = "Apply the change again after retry_after_ms; it was not sent to the log."
    ASK_GET_CHANGE = "Ask GetChange with the change id for the verdict."
    NONE = "Nothing to do."


class ErrorKind(enum.Enum):
    """Every kind of failure that is reported to callers, operators and peers."""

    INVALID_REQUEST = "INVALID_REQUEST"
    TOO_LARGE = "TOO_LARGE"
    UNAUTHENTICATED = "UNAUTHENTICATED"
    PERMISSION_DENIED = "PERMISSION_DENIED"
    UNKNOWN_MODEL = "UNKNOWN_MODEL"
    UNKNOWN_SERVICE = "UNKNOWN_SERVICE"
    UNKNOWN_REQUEST = "UNKNOWN_REQUEST"
    UNKNOWN_OBJECT = "UNKNOWN_OBJECT"
    WORKSPACE_LIMIT = "WORKSPACE_LIMIT"
    OVERLOADED = "OVERLOADED"
    DEADLINE_UNREACHABLE = "DEADLINE_UNREACHABLE"
    DEADLINE_EXCEEDED = "DEADLINE_EXCEEDED"
    NO_TARGET = "NO_TARGET"
    CRASHES_TARGETS = "CRASHES_TARGETS"
    TARGET_LEAVING = "TARGET_LEAVING"
    TARGET_LOST = "TARGET_LOST"
    TARGET_REFUSED = "TARGET_REFUSED"
    INCARNATION_GONE = "INCARNATION_GONE"
    REPLAY_EXPIRED = "REPLAY_EXPIRED"
    ANSWER_CORRUPT = "ANSWER_CORRUPT"
    CANCELLED = "CANCELLED"
    TOMBSTONED = "TOMBSTONED"
    CONFIGURATION_UNKNOWN = "CONFIGURATION_UNKNOWN"
    LOG_UNAVAILABLE = "LOG_UNAVAILABLE"
    KEY_CONFLICT = "KEY_CONFLICT"
    KEY_EXPIRED = "KEY_EXPIRED"
    CHANGE_CONFLICT = "CHANGE_CONFLICT"
    CHANGE_REJECTED = "CHANGE_REJECTED"
    CHANGE_UNKNOWN = "CHANGE_UNKNOWN"
    CHANGE_NOT_SENT = "CHANGE_NOT_SENT"
    STALE_FENCE = "STALE_FENCE"
    PEER_PROTOCOL = "PEER_PROTOCOL"
    STOPPING = "STOPPING"
    INTERNAL = "INTERNAL"


@dataclass(frozen=True, kw_only=True)
class ErrorRule:
    """How failures of one kind are reported.

    Attributes:
        code: The RPC status code.
        run_state: The run state, unless the failure has another one.
        advice: What the caller should do.
        event: The event that is logged.
    """

    code: RpcCode
    run_state: RunState
    advice: Advice
    event: Event


def _rule(
    code: RpcCode, run_state: RunState, advice: Advice, event: Event = Event.REQUEST_REFUSED
) -> ErrorRule:
    return ErrorRule(code=code, run_state=run_state, advice=advice, event=event)


_NOT_RUN = RunState.NOT_RUN
_UNKNOWN = RunState.OUTCOME_UNKNOWN
_RAN = RunState.RAN
_FAILED = Event.REQUEST_FAILED

ERROR_RULES: dict[ErrorKind, ErrorRule] = {
    ErrorKind.INVALID_REQUEST: _rule(RpcCode.INVALID_ARGUMENT, _NOT_RUN, Advice.FIX_REQUEST),
    ErrorKind.TOO_LARGE: _rule(RpcCode.INVALID_ARGUMENT, _NOT_RUN, Advice.SPLIT_OR_SHORTEN),
    ErrorKind.UNAUTHENTICATED: _rule(RpcCode.UNAUTHENTICATED, _NOT_RUN, Advice.FIX_CREDENTIALS),
    ErrorKind.PERMISSION_DENIED: _rule(RpcCode.PERMISSION_DENIED, _NOT_RUN, Advice.FIX_CREDENTIALS),
    ErrorKind.UNKNOWN_MODEL: _rule(RpcCode.NOT_FOUND, _NOT_RUN, Advice.FIX_REQUEST),
    ErrorKind.UNKNOWN_SERVICE: _rule(RpcCode.NOT_FOUND, _NOT_RUN, Advice.FIX_REQUEST),
    ErrorKind.UNKNOWN_REQUEST: _rule(RpcCode.NOT_FOUND, _NOT_RUN, Advice.FIX_REQUEST),
    ErrorKind.UNKNOWN_OBJECT: _rule(RpcCode.NOT_FOUND, _NOT_RUN, Advice.FIX_REQUEST),
    ErrorKind.WORKSPACE_LIMIT: _rule(RpcCode.RESOURCE_EXHAUSTED, _NOT_RUN, Advice.RETRY_LATER),
    ErrorKind.OVERLOADED: _rule(RpcCode.RESOURCE_EXHAUSTED, _NOT_RUN, Advice.RETRY_LATER),
    ErrorKind.DEADLINE_UNREACHABLE: _rule(
        RpcCode.RESOURCE_EXHAUSTED, _NOT_RUN, Advice.SPLIT_OR_SHORTEN
    ),
    ErrorKind.DEADLINE_EXCEEDED: _rule(
        RpcCode.DEADLINE_EXCEEDED, _UNKNOWN, Advice.CHECK_EFFECT, _FAILED
    ),
    ErrorKind.NO_TARGET: _rule(RpcCode.UNAVAILABLE, _NOT_RUN, Advice.RETRY_LATER),
    ErrorKind.CRASHES_TARGETS: _rule(RpcCode.UNAVAILABLE, _NOT_RUN, Advice.RETRY_LATER),
    ErrorKind.TARGET_LEAVING: _rule(RpcCode.UNAVAILABLE, _NOT_RUN, Advice.RETRY_LATER),
    ErrorKind.TARGET_LOST: _rule(RpcCode.UNAVAILABLE, _UNKNOWN, Advice.CHECK_EFFECT, _FAILED),
    ErrorKind.TARGET_REFUSED: _rule(RpcCode.UNAVAILABLE, _NOT_RUN, Advice.RETRY_LATER),
    ErrorKind.INCARNATION_GONE: _rule(RpcCode.ABORTED, _UNKNOWN, Advice.CHECK_EFFECT, _FAILED),
    ErrorKind.REPLAY_EXPIRED: _rule(RpcCode.ABORTED, _RAN, Advice.CHECK_EFFECT, _FAILED),
    ErrorKind.ANSWER_CORRUPT: _rule(RpcCode.INTERNAL, _RAN, Advice.ATTACH, _FAILED),
    ErrorKind.CANCELLED: _rule(RpcCode.CANCELED, _RAN, Advice.NONE, _FAILED),
    ErrorKind.TOMBSTONED: _rule(RpcCode.ABORTED, _NOT_RUN, Advice.RETRY_LATER),
    ErrorKind.CONFIGURATION_UNKNOWN: _rule(RpcCode.UNAVAILABLE, _NOT_RUN, Advice.RETRY_LATER),
    ErrorKind.LOG_UNAVAILABLE: _rule(RpcCode.UNAVAILABLE, _NOT_RUN, Advice.USE_OPEN_REQUEST),
    ErrorKind.KEY_CONFLICT: _rule(RpcCode.FAILED_PRECONDITION, _NOT_RUN, Advice.FIX_REQUEST),
    ErrorKind.KEY_EXPIRED: _rule(RpcCode.FAILED_PRECONDITION, _NOT_RUN, Advice.FIX_REQUEST),
    ErrorKind.CHANGE_CONFLICT: _rule(RpcCode.ABORTED, _NOT_RUN, Advice.READ_AND_REAPPLY),
    ErrorKind.CHANGE_REJECTED: _rule(RpcCode.FAILED_PRECONDITION, _NOT_RUN, Advice.FIX_REQUEST),
    ErrorKind.CHANGE_UNKNOWN: _rule(
        RpcCode.UNAVAILABLE, _UNKNOWN, Advice.ASK_GET_CHANGE, Event.CHANGE_UNSETTLED
    ),
    ErrorKind.CHANGE_NOT_SENT: _rule(RpcCode.UNAVAILABLE, _NOT_RUN, Advice.APPLY_LATER),
    ErrorKind.STALE_FENCE: _rule(
        RpcCode.ABORTED, _NOT_RUN, Advice.RETRY_LATER, Event.ORDER_REFUSED
    ),
    ErrorKind.PEER_PROTOCOL: _rule(
        RpcCode.INVALID_ARGUMENT, _NOT_RUN, Advice.FIX_REQUEST, Event.PEER_REFUSED
    ),
    ErrorKind.STOPPING: _rule(RpcCode.UNAVAILABLE, _NOT_RUN, Advice.RETRY_LATER),
    ErrorKind.INTERNAL: _rule(RpcCode.INTERNAL, _UNKNOWN, Advice.CHECK_EFFECT, _FAILED),
}


@dataclass(frozen=True, kw_only=True)
class Failure:
    """A refusal or failure, as it is sent between processes and to the caller.

    Attributes:
        kind: The kind of failure.
        message: What failed and what to do, for people to read.
        run_state: What is known about the execution.
        retry_after_s: The delay before a retry; 0 if a retry would not help.
    """

    kind: ErrorKind
    message: str
    run_state: RunState
    retry_after_s: float = 0.0

    @property
    def rule(self) -> ErrorRule:
        """Return the rule of this kind of failure."""
        return ERROR_RULES[self.kind]

    def with_run_state(self, run_state: RunState) -> "Failure":
        """Return a copy with another run state."""
        return replace(self, run_state=run_state)


def failure(
    kind: ErrorKind,
    message: str,
    *,
    run_state: RunState | None = None,
    retry_after_s: float = 0.0,
) -> Failure:
    """Create a failure; the run state defaults to that of the kind's rule."""
    return Failure(
        kind=kind,
        message=message,
        run_state=ERROR_RULES[kind].run_state if run_state is None else run_state,
        retry_after_s=retry_after_s,
    )


class FailureError(Exception):
    """An exception that carries a `Failure`.

    Attributes:
        failure: The failure to report.
    """

    def __init__(self, failure: Failure) -> None:
        super().__init__(f"{failure.kind.value} ({failure.run_state.value}): {failure.message}")
        self.failure = failure


def fail(
    kind: ErrorKind,
    message: str,
    *,
    run_state: RunState | None = None,
    retry_after_s: float = 0.0,
) -> FailureError:
    """Create the exception for a failure, to be raised; the arguments are those of `failure`."""
    return FailureError(failure(kind, message, run_state=run_state, retry_after_s=retry_after_s))
