"""Builders of configuration changes and log records for tests."""

import json

from cicadatiller.backing import LogRecord
from cicadatiller.config import (
    ChangeRecord,
    ConfigState,
    ObjectEdit,
    encode_record,
    fold,
    hash_key,
)

ADMIN_KEY = "admin-key"


def edit(kind, name, body=None, expected=None) -> ObjectEdit:
    """Return an edit of an object; one without a body removes it."""
    body_json = "" if body is None else json.dumps(body)
    return ObjectEdit(kind=kind, name=name, body_json=body_json, expected_revision=expected)


def change(change_id, *edits, operator="admin", key=ADMIN_KEY, **fields) -> ChangeRecord:
    """Return a change with the given edits."""
    return ChangeRecord(
        change_id=change_id,
        operator=operator,
        reason="test",
        edits=edits,
        operator_key_hash=hash_key(key),
        **fields,
    )


def record(offset, content) -> LogRecord:
    """Return a log record that holds a change or a part of a snapshot."""
    payload = content if isinstance(content, bytes) else encode_record(content)
    return LogRecord(offset=offset, time_ms=offset * 1000, payload=payload)


def fold_all(*contents, state=None) -> ConfigState:
    """Return the state after folding records at consecutive offsets."""
    state = state or ConfigState()
    for content in contents:
        state = fold(state, record(state.offset + 1, content))
    return state


def admin(name="admin", key=ADMIN_KEY, deployments=()) -> ObjectEdit:
    """Return an edit that creates an operator."""
    return edit("operator", name, {"key_hash": hash_key(key), "deployments": list(deployments)})


def base_change() -> ChangeRecord:
    """Return a change that creates an operator, two deployments, a model and a workspace."""
    return change(
        "base",
        admin(),
        edit("deployment", "north", {}),
        edit("deployment", "south", {}),
        edit("model", "glacier", {"deployment": "north", "version": "v1"}),
        edit("workspace", "depots", {"deployment": "north", "key_hashes": [hash_key("k1")]}),
    )
