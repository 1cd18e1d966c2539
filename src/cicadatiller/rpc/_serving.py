"""The RPC service for callers."""

from collections.abc import Iterator
from typing import Any

from connectrpc.request import RequestContext
from protobuf import Oneof

from ..entry import (
    AnswerDone,
    AnswerEvent,
    AnswerTokens,
    EntryService,
    RequestOpened,
    RequestStatus,
    WorkRequest,
)
from ..kernel import FailureError, LoopBridge, RequestState
from ._errors import call_service, to_rpc_error, to_run_state
from ._generated.cicadatiller.v1 import serving_pb as pb

BEARER = "Bearer "


def bearer_key(context: RequestContext[Any, Any]) -> str:
    """Return the bearer key of a call; empty if it has none."""
    header = context.request_headers.get("authorization") or ""
    return header.removeprefix(BEARER) if header.startswith(BEARER) else ""


class ServingServicer:
    """Implements the generated `ServingService`."""

    def __init__(self, *, service: EntryService, bridge: LoopBridge) -> None:
        self._service = service
        self._bridge = bridge

    def open_request(self, request: Any, ctx: Any) -> pb.OpenRequestResponse:
        """Issue a request id."""
        workspace = self._authenticate(ctx)
        request_id = call_service(
            self._bridge, self._service.open_request(workspace, request.model, request.service)
        )
        return pb.OpenRequestResponse(request_id=request_id)

    def generate(self, request: Any, ctx: Any) -> Iterator[pb.GenerateResponse]:
        """Run a generation and stream its output."""
        work = WorkRequest(
            workspace=self._authenticate(ctx),
            time_limit_s=request.time_limit_ms / 1000,
            model=request.model,
            adapter=request.adapter,
            version=request.version,
            prompt=request.prompt,
            max_output_tokens=request.max_output_tokens,
            request_id=request.request_id,
            idempotency_key=request.idempotency_key,
            repeatable=not request.not_repeatable,
        )
        yield from self._stream(lambda emit: self._service.run(work, emit), work.prompt_tokens)

    def call(self, request: Any, ctx: Any) -> pb.CallResponse:
        """Make a call to a plain service."""
        work = WorkRequest(
            workspace=self._authenticate(ctx),
            time_limit_s=request.time_limit_ms / 1000,
            service=request.service,
            method=request.method,
            payload=request.payload,
            request_id=request.request_id,
            idempotency_key=request.idempotency_key,
            repeatable=not request.not_repeatable,
        )
        events: list[AnswerEvent] = []
        request_id = work.request_id
        try:
            self._bridge.call(self._service.run(work, events.append))
        except FailureError as error:
            raise to_rpc_error(error.failure, _find_request_id(events) or request_id) from error
        payload = next((e.payload for e in events if isinstance(e, AnswerDone)), b"")
        return pb.CallResponse(request_id=_find_request_id(events) or request_id, payload=payload)

    def attach(self, request: Any, ctx: Any) -> Iterator[pb.GenerateResponse]:
        """Stream the output of a request, starting at a token index."""
        workspace = self._authenticate(ctx)
        yield from self._stream(
            lambda emit: self._service.attach(
                workspace,
                request.request_id,
                request.next_index,
                request.time_limit_ms / 1000,
                emit,
            ),
            0,
        )

    def cancel(self, request: Any, ctx: Any) -> pb.CancelResponse:
        """Cancel a request."""
        status = call_service(
            self._bridge, self._service.cancel(self._authenticate(ctx), request.request_id)
        )
        return pb.CancelResponse(
            state=_to_request_state(status), run_state=to_run_state(status.run_state)
        )

    def get_request(self, request: Any, ctx: Any) -> pb.GetRequestResponse:
        """Return the state of a request."""
        status = call_service(
            self._bridge, self._service.get_request(self._authenticate(ctx), request.request_id)
        )
        return pb.GetRequestResponse(
            state=_to_request_state(status),
            run_state=to_run_state(status.run_state),
            token_count=status.token_count,
        )

    def _authenticate(self, ctx: Any) -> str:
        try:
            return self._service.authenticate(bearer_key(ctx))
        except FailureError as error:
            raise to_rpc_error(error.failure) from error

    def _stream(self, start: Any, prompt_tokens: int) -> Iterator[pb.GenerateResponse]:
        request_id = ""
        try:
            batches: Iterator[list[AnswerEvent]] = self._bridge.stream(start)
            for batch in batches:
                for event in _merge_tokens(batch):
                    if isinstance(event, RequestOpened):
                        request_id = event.request_id
                    yield _to_response(event, prompt_tokens)
        except FailureError as error:
            raise to_rpc_error(error.failure, request_id) from error


def _find_request_id(events: list[AnswerEvent]) -> str:
    return next((e.request_id for e in reversed(events) if isinstance(e, RequestOpened)), "")


def _merge_tokens(batch: list[AnswerEvent]) -> Iterator[AnswerEvent]:
    pending: AnswerTokens | None = None
    for event in batch:
        if isinstance(event, AnswerTokens):
            texts = event.texts if pending is None else pending.texts + event.texts
            first_index = event.first_index if pending is None else pending.first_index
            pending = AnswerTokens(first_index=first_index, texts=texts)
            continue
        if pending is not None:
            yield pending
            pending = None
        yield event
    if pending is not None:
        yield pending


def _to_response(event: AnswerEvent, prompt_tokens: int) -> pb.GenerateResponse:
    match event:
        case RequestOpened():
            opened = pb.Opened(request_id=event.request_id)
            return pb.GenerateResponse(event=Oneof(field="opened", value=opened))
        case AnswerTokens():
            tokens = pb.Tokens(first_index=event.first_index, texts=list(event.texts))
            return pb.GenerateResponse(event=Oneof(field="tokens", value=tokens))
        case AnswerDone():
            done = pb.Done(
                token_count=event.token_count,
                checksum=event.checksum,
                prompt_tokens=prompt_tokens,
            )
            return pb.GenerateResponse(event=Oneof(field="done", value=done))


def _to_request_state(status: RequestStatus) -> pb.RequestState:
    return _REQUEST_STATES[status.state]


_REQUEST_STATES = {state: pb.RequestState[state.value] for state in RequestState}
