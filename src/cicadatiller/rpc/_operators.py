"""The RPC service for operators."""

from collections.abc import Mapping
from typing import Any, TypeAlias

from connectrpc.request import RequestContext

from ..config import (
    AuditEntry,
    ChangeRecord,
    ObjectEdit,
    OpaqueObject,
    StateObject,
    format_object,
    hash_key,
)
from ..entry import AdminService, EntryMetrics, Preview
from ..kernel import ErrorKind, FailureError, LoopBridge, fail
from ._errors import call_service, to_rpc_error
from ._generated.cicadatiller.v1 import operators_pb as pb
from ._latency import latency_summary
from ._serving import bearer_key
from ._status import data_centre_statuses, failure_counts, target_status

Context: TypeAlias = RequestContext[Any, Any]

DEFAULT_APPLY_TIMEOUT_S = 10.0
MAX_APPLY_TIMEOUT_S = 60.0
MAX_HISTORY_LIMIT = 1000
DEFAULT_HISTORY_LIMIT = 100


class OperatorServicer:
    """Implements the generated `OperatorService`.

    Args:
        admin: Carries out the calls.
        metrics: The measurements of requests.
        bridge: Runs coroutines on the event loop.
        entry_name: The name of the entry.
    """

    def __init__(
        self, *, admin: AdminService, metrics: EntryMetrics, bridge: LoopBridge, entry_name: str
    ) -> None:
        self._admin = admin
        self._metrics = metrics
        self._bridge = bridge
        self._entry_name = entry_name

    def apply(self, request: pb.ApplyRequest, ctx: Context) -> pb.ApplyResponse:
        """Publish a change and return its verdict; a dry run only returns the verdict."""
        operator = self._authenticate(ctx)
        change = ChangeRecord(
            change_id=request.change_id,
            operator=operator,
            reason=request.reason,
            edits=tuple(_to_edit(item) for item in request.changes),
            force=request.force,
            operator_key_hash=hash_key(bearer_key(ctx)),
        )
        timeout_s = min(request.time_limit_ms / 1000, MAX_APPLY_TIMEOUT_S)
        timeout_s = timeout_s or DEFAULT_APPLY_TIMEOUT_S
        if request.dry_run:
            return _preview_response(
                call_service(self._bridge, self._admin.preview(change, timeout_s))
            )
        entry = call_service(self._bridge, self._admin.apply(change, timeout_s))
        return _apply_response(entry)

    def get(self, request: pb.GetObjectRequest, ctx: Context) -> pb.ConfigObject:
        """Return one object."""
        self._authenticate(ctx)
        item = self._admin.state.objects.get((request.kind, request.name))
        if item is None:
            error = fail(ErrorKind.UNKNOWN_OBJECT, f"there is no {request.kind} {request.name!r}")
            raise to_rpc_error(error.failure)
        return _config_object(request.kind, request.name, item)

    def list(self, request: pb.ListObjectsRequest, ctx: Context) -> pb.ListObjectsResponse:
        """Return all objects of a kind, or of all kinds."""
        self._authenticate(ctx)
        state = self._admin.state
        return pb.ListObjectsResponse(
            objects=_config_objects(state.objects, request.kind), offset=state.offset
        )

    def get_change(self, request: pb.GetChangeRequest, ctx: Context) -> pb.ChangeRecord:
        """Return the verdict of a change; `UNKNOWN` if this entry has no record of it."""
        self._authenticate(ctx)
        entry = self._admin.state.change(request.change_id)
        if entry is None:
            return pb.ChangeRecord(change_id=request.change_id, verdict=pb.Verdict.UNKNOWN)
        return _change_record(entry)

    def history(self, request: pb.HistoryRequest, ctx: Context) -> pb.HistoryResponse:
        """Return the audit trail, starting at an offset."""
        self._authenticate(ctx)
        limit = min(request.limit or DEFAULT_HISTORY_LIMIT, MAX_HISTORY_LIMIT)
        if request.wait_ms:
            wait_s = request.wait_ms / 1000
            call_service(self._bridge, self._admin.wait_for_history(request.from_offset, wait_s))
        audit = self._admin.state.audit
        page = [entry for entry in audit if entry.offset >= request.from_offset][:limit]
        return pb.HistoryResponse(
            changes=[_change_record(entry) for entry in page],
            next_offset=page[-1].offset + 1 if page else request.from_offset,
            first_offset=audit[0].offset if audit else 0,
        )

    def status(self, request: pb.StatusRequest, ctx: Context) -> pb.StatusResponse:
        """Return the state of this entry, and the targets, latencies and failures known to it."""
        self._authenticate(ctx)
        return call_service(self._bridge, self._status())

    def drain(self, request: pb.DrainRequest, ctx: Context) -> pb.DrainResponse:
        """Stop sending new requests to a target."""
        operator = self._authenticate(ctx)
        call_service(
            self._bridge, self._admin.drain(request.target, operator=operator, force=request.force)
        )
        return pb.DrainResponse(leaving=True)

    async def _status(self) -> pb.StatusResponse:
        targets = self._admin.view.targets()
        return pb.StatusResponse(
            entry=self._entry_name,
            data_centre=self._admin.data_centre,
            config_offset=self._admin.state.offset,
            config_lag_s=self._admin.lag_s(),
            log_reachable=self._admin.log_reachable,
            targets=[target_status(target) for target in targets],
            data_centres=data_centre_statuses(targets, self._admin.state.offset),
            time_to_first_token=[
                latency_summary(figures) for figures in self._metrics.time_to_first_token()
            ],
            failures=failure_counts(self._metrics),
        )

    def _authenticate(self, ctx: Context) -> str:
        try:
            return self._admin.authenticate(bearer_key(ctx))
        except FailureError as error:
            raise to_rpc_error(error.failure) from error


def _to_edit(item: pb.ObjectChange) -> ObjectEdit:
    expected = item.expected_revision if item.has_field("expected_revision") else None
    return ObjectEdit(
        kind=item.kind, name=item.name, body_json=item.body_json, expected_revision=expected
    )


def _apply_response(entry: AuditEntry) -> pb.ApplyResponse:
    return pb.ApplyResponse(
        verdict=pb.Verdict.ACCEPTED if entry.accepted else pb.Verdict.REJECTED,
        offset=entry.offset,
        message=entry.message,
        conflicts=[
            pb.Conflict(
                kind=conflict.kind,
                name=conflict.name,
                expected_revision=conflict.expected_revision,
                present_revision=conflict.present_revision,
            )
            for conflict in entry.conflicts
        ],
        differences=_differences(entry),
    )


def _preview_response(preview: Preview) -> pb.ApplyResponse:
    response = _apply_response(preview.entry)
    if preview.entry.accepted:
        response.message = "would be accepted"
    if not preview.is_fresh:
        response.message += f" (the log is unavailable; evaluated at offset {preview.offset})"
    return response


def _differences(entry: AuditEntry) -> list[pb.ObjectDifference]:
    return [
        pb.ObjectDifference(
            kind=difference.kind,
            name=difference.name,
            before_json=difference.before_json,
            after_json=difference.after_json,
        )
        for difference in entry.differences
    ]


def _config_objects(
    objects: Mapping[tuple[str, str], StateObject], wanted_kind: str
) -> list[pb.ConfigObject]:
    return [
        _config_object(kind, name, item)
        for (kind, name), item in sorted(objects.items(), key=lambda pair: pair[0])
        if wanted_kind in ("", kind)
    ]


def _config_object(kind: str, name: str, item: StateObject) -> pb.ConfigObject:
    known = not isinstance(item.value, OpaqueObject)
    body_json = format_object(item.value) if known else item.body_json
    return pb.ConfigObject(kind=kind, name=name, body_json=body_json, revision=item.revision)


def _change_record(entry: AuditEntry) -> pb.ChangeRecord:
    return pb.ChangeRecord(
        change_id=entry.change_id,
        operator=entry.operator,
        reason=entry.reason,
        offset=entry.offset,
        verdict=pb.Verdict.ACCEPTED if entry.accepted else pb.Verdict.REJECTED,
        message=entry.message,
        time_ms=entry.time_ms,
        differences=_differences(entry),
    )
