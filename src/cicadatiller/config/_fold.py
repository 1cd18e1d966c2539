"""The deterministic fold of the configuration stream into the current state."""

from collections.abc import Mapping
from dataclasses import replace

from returns.result import Success

from ..backing import LogRecord
from ._indexes import (
    ParsedEdit,
    update_evacuated,
    update_members,
    update_operators,
    update_workspace_names,
)
from ._objects import normalize_body
from ._records import AuditEntry, ChangeRecord, ObjectDifference, decode_record, digest_change
from ._state import ConfigState, ObjectKey, StateObject
from ._validate import find_conflicts, validate_change

MAX_AUDIT_ENTRIES = 8_000
MAX_AUDIT_BYTES = 16 * 1024 * 1024


def fold(state: ConfigState, record: LogRecord) -> ConfigState:
    """Return the state after one more record.

    The result depends only on the arguments, so that all processes have the same state at an
    offset. A change with an id that was already used is ignored; the id keeps its first verdict.
    """
    if record.offset <= state.offset:
        return state
    content = decode_record(record.payload)
    if not isinstance(content, ChangeRecord) or state.change(content.change_id) is not None:
        return replace(state, offset=record.offset)
    verdict = validate_change(state, content)
    if not isinstance(verdict, Success):
        return _reject(state, content, record, str(verdict.failure()))
    return _accept(state, content, record, verdict.unwrap())


def _reject(
    state: ConfigState, change: ChangeRecord, record: LogRecord, message: str
) -> ConfigState:
    entry = replace(
        _to_audit_entry(change, record, accepted=False, message=message),
        conflicts=find_conflicts(state, change.edits),
    )
    return _append_to_audit(replace(state, offset=record.offset), entry)


def _accept(
    state: ConfigState, change: ChangeRecord, record: LogRecord, edits: list[ParsedEdit]
) -> ConfigState:
    bodies = {
        (edit.kind, edit.name): normalize_body(edit.body_json) if edit.body_json else ""
        for edit in change.edits
    }
    differences = tuple(_difference(edit.key, state, bodies[edit.key]) for edit in edits)
    entry = _to_audit_entry(change, record, accepted=True, message="accepted")
    accepted = replace(
        state,
        offset=record.offset,
        objects=_update_objects(state.objects, edits, bodies, record.offset),
        workspace_names=update_workspace_names(state.workspace_names, edits),
        operators=update_operators(state.operators, edits),
        evacuated=update_evacuated(state.evacuated, edits),
        members=update_members(state.members, edits),
    )
    return _append_to_audit(accepted, replace(entry, differences=differences))


def _update_objects(
    objects: Mapping[ObjectKey, StateObject],
    edits: list[ParsedEdit],
    bodies: Mapping[ObjectKey, str],
    revision: int,
) -> Mapping[ObjectKey, StateObject]:
    updated = dict(objects)
    for edit in edits:
        if edit.after is None:
            del updated[edit.key]
            continue
        updated[edit.key] = StateObject(
            value=edit.after, body_json=bodies[edit.key], revision=revision
        )
    return updated


def _to_audit_entry(
    change: ChangeRecord, record: LogRecord, *, accepted: bool, message: str
) -> AuditEntry:
    return AuditEntry(
        change_id=change.change_id,
        operator=change.operator,
        reason=change.reason,
        offset=record.offset,
        time_ms=record.time_ms,
        accepted=accepted,
        message=message,
        digest=digest_change(change),
    )


def _append_to_audit(state: ConfigState, entry: AuditEntry) -> ConfigState:
    """Add an entry to the audit trail; the oldest entries beyond its limits are removed."""
    verdicts = dict(state.verdicts)
    size_bytes = state.audit_bytes + entry.size_bytes
    while verdicts and (len(verdicts) >= MAX_AUDIT_ENTRIES or size_bytes > MAX_AUDIT_BYTES):
        size_bytes -= verdicts.pop(next(iter(verdicts))).size_bytes
    verdicts[entry.change_id] = entry
    return replace(state, verdicts=verdicts, audit_bytes=size_bytes)


def _difference(key: ObjectKey, state: ConfigState, after_json: str) -> ObjectDifference:
    item = state.objects.get(key)
    return ObjectDifference(
        kind=key[0],
        name=key[1],
        before_json="" if item is None else item.body_json,
        after_json=after_json,
    )
