"""Validates requests against the current configuration and finds the sidecars of known ones."""

from dataclasses import dataclass

from returns.result import Success

from ..config import ConfigStore, Model
from ..kernel import ErrorKind, fail
from ..membership import InstanceView
from ..request_ids import parse_request_id
from ._dispatch import Dispatcher
from ._requests import WorkRequest

MAX_OUTPUT_TOKENS = 65_536
UNKNOWN_HOLDER_RETRY_S = 1.0


@dataclass(frozen=True, kw_only=True)
class Resolution:
    """The deployment and model version that a request resolves to.

    Attributes:
        deployment: Deployment of the request's workspace.
        version: Version of the model to run; empty for a call to a plain service.
    """

    deployment: str
    version: str = ""


class RequestChecks:
    """Refuses requests that the current configuration does not allow.

    Args:
        store: The current configuration.
        dispatcher: Chooses the version for requests that name none.
    """

    def __init__(self, *, store: ConfigStore, dispatcher: Dispatcher) -> None:
        self._store = store
        self._dispatcher = dispatcher

    def check(self, request: WorkRequest) -> Resolution:
        """Check a request and resolve its deployment and version.

        Raises:
            FailureError: UNAUTHENTICATED, INVALID_REQUEST, UNKNOWN_SERVICE, UNKNOWN_MODEL or
                TOO_LARGE.
        """
        workspace = self._store.state.workspace(request.workspace)
        if workspace is None:
            raise fail(
                ErrorKind.UNAUTHENTICATED,
                f"the workspace {request.workspace!r} no longer exists; send a valid key",
            )
        if not 0 < request.time_limit_s <= workspace.max_time_limit_s:
            raise fail(
                ErrorKind.INVALID_REQUEST,
                f"time_limit_ms is {request.time_limit_s * 1000:.0f}; it must be above 0 and at "
                f"most {workspace.max_time_limit_s * 1000:.0f}",
            )
        if request.request_id and request.idempotency_key:
            raise fail(
                ErrorKind.INVALID_REQUEST, "send a request_id or an idempotency_key, not both"
            )
        return self.resolve(request)

    def resolve(self, request: WorkRequest) -> Resolution:
        """Check the model or service that a request names, and its prompt and output lengths.

        Raises:
            FailureError: UNKNOWN_SERVICE, UNKNOWN_MODEL, INVALID_REQUEST or TOO_LARGE.
        """
        workspace = self._store.state.workspace(request.workspace)
        deployment = "" if workspace is None else workspace.deployment
        if request.service:
            self._check_service(request, deployment)
            return Resolution(deployment=deployment)
        model = self._find_model(request, deployment)
        _check_lengths(request, model)
        version = request.version or self._choose_version(request, deployment, model)
        return Resolution(deployment=deployment, version=version)

    def _check_service(self, request: WorkRequest, deployment: str) -> None:
        service = self._store.state.service(request.service)
        if service is None or service.deployment != deployment:
            raise fail(ErrorKind.UNKNOWN_SERVICE, f"there is no service {request.service!r}")

    def _find_model(self, request: WorkRequest, deployment: str) -> Model:
        model = self._store.state.model(request.model)
        if model is None or model.deployment != deployment:
            raise fail(ErrorKind.UNKNOWN_MODEL, f"there is no model {request.model!r}")
        if request.adapter and request.adapter not in model.adapters:
            raise fail(
                ErrorKind.UNKNOWN_MODEL,
                f"model {request.model!r} has no adapter {request.adapter!r}",
            )
        return model

    def _choose_version(self, request: WorkRequest, deployment: str, model: Model) -> str:
        known = parse_request_id(request.request_id)
        holder = known.map(lambda request_id: request_id.address).value_or("")
        return self._dispatcher.version(request, deployment, model.version, only_address=holder)


def _check_lengths(request: WorkRequest, model: Model) -> None:
    if not 0 <= request.max_output_tokens <= MAX_OUTPUT_TOKENS:
        raise fail(
            ErrorKind.INVALID_REQUEST,
            f"max_output_tokens is {request.max_output_tokens}; it must be from 0 to "
            f"{MAX_OUTPUT_TOKENS}",
        )
    if request.prompt_tokens + request.max_output_tokens > model.context_tokens:
        raise fail(
            ErrorKind.TOO_LARGE,
            f"prompt and max_output_tokens together have "
            f"{request.prompt_tokens + request.max_output_tokens} tokens, the model's limit is "
            f"{model.context_tokens}; shorten them",
        )


def find_holder(view: InstanceView, request_id: str, workspace: str) -> str:
    """Return the address of the sidecar whose ledger holds a request.

    Raises:
        FailureError: UNKNOWN_REQUEST if the id is invalid or of another workspace,
            INCARNATION_GONE if its sidecar has left, TARGET_LOST if this entry does not know the
            sidecar.
    """
    parsed = parse_request_id(request_id)
    if not isinstance(parsed, Success):
        raise fail(ErrorKind.UNKNOWN_REQUEST, str(parsed.failure()))
    known = parsed.unwrap()
    if known.workspace != workspace:
        raise fail(ErrorKind.UNKNOWN_REQUEST, "there is no such request in this workspace")
    target = view.target_at(known.address)
    if target is not None:
        return target.address
    if view.was_removed(known.address):
        raise fail(
            ErrorKind.INCARNATION_GONE,
            "the sidecar that held this request has left; the request will not run again",
        )
    raise fail(
        ErrorKind.TARGET_LOST,
        "this entry does not know the sidecar that holds this request; try again with the same id",
        retry_after_s=UNKNOWN_HOLDER_RETRY_S,
    )
