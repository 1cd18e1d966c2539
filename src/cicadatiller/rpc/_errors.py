"""Converts failures to errors of the RPC protocol."""

import base64
import json
from collections.abc import Coroutine
from typing import TypeVar

from connectrpc.code import Code
from connectrpc.errors import ConnectError, ErrorDetail
from protobuf import message_to_json_value

from ..kernel import Failure, FailureError, LoopBridge, RpcCode, RunState, log_event
from ._generated.cicadatiller.v1 import serving_pb as pb

T = TypeVar("T")

_RUN_STATES = {
    RunState.NOT_RUN: pb.RunState.NOT_RUN,
    RunState.RAN: pb.RunState.RAN,
    RunState.OUTCOME_UNKNOWN: pb.RunState.OUTCOME_UNKNOWN,
}


def to_run_state(run_state: RunState) -> pb.RunState:
    """Return the protobuf value of a run state."""
    return _RUN_STATES[run_state]


def to_rpc_error(failure: Failure, request_id: str = "") -> ConnectError:
    """Log a failure and return its RPC error, with a `Failure` message as its detail."""
    rule = failure.rule
    log_event(
        rule.event,
        kind=failure.kind.value,
        run_state=failure.run_state.value,
        error=failure.message,
        request_id=request_id,
    )
    detail = pb.Failure(
        kind=failure.kind.value,
        run_state=to_run_state(failure.run_state),
        message=failure.message,
        advice=rule.advice.value,
        retry_after_ms=round(failure.retry_after_s * 1000),
        request_id=request_id,
    )
    text = f"{failure.kind.value} ({failure.run_state.value}): {failure.message}"
    return ConnectError(_to_code(rule.code), text, details=[ErrorDetail(detail)])


def _to_code(code: RpcCode) -> Code:
    return Code(code.value)


def to_error_json(error: ConnectError) -> bytes:
    """Return the JSON encoding of an error in the Connect protocol."""
    details = [
        {
            "type": detail.type_name,
            "value": base64.b64encode(detail.message_bytes).decode().rstrip("="),
            "debug": message_to_json_value(detail.value()),
        }
        for detail in error.details
    ]
    fields = {"code": error.code.value, "message": error.message, "details": details}
    return json.dumps(fields).encode()


def call_service(bridge: LoopBridge, coroutine: Coroutine[object, object, T]) -> T:
    """Run a coroutine of a service on the event loop and return its result.

    Raises:
        ConnectError: If the service fails; its detail is a `Failure` message.
    """
    try:
        return bridge.call(coroutine)
    except FailureError as error:
        raise to_rpc_error(error.failure) from error
