"""Decides whether a change is accepted; depends only on the state and the change."""

from collections.abc import Mapping

from returns.result import Failure as Err
from returns.result import Result, Success

from ._indexes import ParsedEdit, update_members, update_operators
from ._objects import ConfigValue, Operator, Workspace, parse_stored_object
from ._records import ChangeRecord, Conflict, ObjectEdit
from ._state import ConfigState, ObjectKey, deployments_of

MAX_NAME_CHARACTERS = 200


def validate_change(state: ConfigState, change: ChangeRecord) -> Result[list[ParsedEdit], str]:
    """Validate a change against a state.

    Returns:
        Each affected object before and after the change, or why the change is rejected.
    """
    if state.change(change.change_id) is not None:
        return Err(f"the change id {change.change_id!r} was used already")
    conflicts = find_conflicts(state, change.edits)
    if conflicts:
        return Err(_describe_conflict(conflicts[0]))
    parsed = parse_edits(state, change.edits)
    if not isinstance(parsed, Success):
        return parsed
    edits = parsed.unwrap()
    for problem in (
        check_operator(state, change, edits),
        _check_references(state, edits),
        _check_operators(state, edits),
        _check_keys(state, edits),
    ):
        if problem:
            return Err(problem)
    return Success(edits)


def find_conflicts(state: ConfigState, edits: tuple[ObjectEdit, ...]) -> tuple[Conflict, ...]:
    """Return the objects whose revision is not the expected one."""
    conflicts = []
    for edit in edits:
        item = state.objects.get((edit.kind, edit.name))
        present = 0 if item is None else item.revision
        if edit.expected_revision is not None and edit.expected_revision != present:
            conflicts.append(
                Conflict(
                    kind=edit.kind,
                    name=edit.name,
                    expected_revision=edit.expected_revision,
                    present_revision=present,
                )
            )
    return tuple(conflicts)


def check_operator(state: ConfigState, change: ChangeRecord, edits: list[ParsedEdit]) -> str:
    """Return why the operator may not make a change; empty if it may."""
    if not state.operators:
        return ""
    operator = state.operators.get(change.operator)
    if operator is None:
        return f"there is no operator {change.operator!r} any more"
    if operator.key_hash != change.operator_key_hash:
        return f"the key of operator {change.operator!r} was revoked"
    if not operator.deployments:
        return ""
    for edit in edits:
        if not _may_change(operator, edit):
            kind, name = edit.key
            allowed = ", ".join(operator.deployments)
            return f"operator {change.operator!r} may change {allowed} only, not {kind} {name!r}"
    return ""


def _may_change(operator: Operator, edit: ParsedEdit) -> bool:
    kind, name = edit.key
    if kind == "deployment":
        return name in operator.deployments
    if kind == "operator":
        return False
    values = [value for value in (edit.before, edit.after) if value is not None]
    needed = [deployments_of(edit.key, value) for value in values]
    return all(names and set(names) <= set(operator.deployments) for names in needed)


def _describe_conflict(conflict: Conflict) -> str:
    return (
        f"{conflict.kind} {conflict.name!r} is at revision {conflict.present_revision}, not "
        f"{conflict.expected_revision}; read it and apply again"
    )


def parse_edits(state: ConfigState, edits: tuple[ObjectEdit, ...]) -> Result[list[ParsedEdit], str]:
    """Return each edited object before and after, or a description of the first error."""
    parsed: dict[ObjectKey, ParsedEdit] = {}
    for edit in edits:
        key = edit.kind, edit.name
        if key in parsed:
            return Err(f"{edit.kind} {edit.name!r} occurs twice in the change")
        value = _parse_edit(edit)
        if not isinstance(value, Success):
            return Err(f"{edit.kind} {edit.name!r}: {value.failure()}")
        item = state.objects.get(key)
        before = None if item is None else item.value
        if before is None and value.unwrap() is None:
            return Err(f"{edit.kind} {edit.name!r} does not exist, so it can't be removed")
        parsed[key] = ParsedEdit(key=key, before=before, after=value.unwrap())
    if not parsed:
        return Err("the change touches no object")
    return Success(list(parsed.values()))


def _parse_edit(edit: ObjectEdit) -> Result[ConfigValue | None, str]:
    if not 0 < len(edit.name) <= MAX_NAME_CHARACTERS:
        return Err(f"the name must have 1 to {MAX_NAME_CHARACTERS} characters")
    if not edit.body_json:
        return Success(None)
    return parse_stored_object(edit.kind, edit.body_json).map(lambda value: value)


def _check_references(state: ConfigState, edits: list[ParsedEdit]) -> str:
    after = {edit.key: edit.after is not None for edit in edits}
    for edit in edits:
        if edit.after is None:
            continue
        for name in deployments_of(edit.key, edit.after):
            key = "deployment", name
            if not after.get(key, key in state.objects):
                kind, owner = edit.key
                return f"{kind} {owner!r} needs the deployment {name!r}, which does not exist"
    return _check_removed_deployments(update_members(state.members, edits), edits)


def _check_removed_deployments(members: Mapping[str, int], edits: list[ParsedEdit]) -> str:
    for edit in edits:
        kind, name = edit.key
        if kind == "deployment" and edit.after is None and members.get(name):
            return (
                f"deployment {name!r} is still named by {members[name]} objects; remove or move "
                "them first, or in the same change"
            )
    return ""


def _check_operators(state: ConfigState, edits: list[ParsedEdit]) -> str:
    operators = update_operators(state.operators, edits)
    if operators is state.operators:
        return ""
    if state.operators and not any(not operator.deployments for operator in operators.values()):
        return "the last operator of all deployments can't be removed; add another first"
    if operators and not any(not operator.deployments for operator in operators.values()):
        return "the first operator must not be limited to deployments"
    hashes = {operator.key_hash for operator in operators.values()}
    if len(hashes) < len(operators):
        return "two operators have the same key; give each its own"
    return ""


def _check_keys(state: ConfigState, edits: list[ParsedEdit]) -> str:
    replaced = {edit.key[1] for edit in edits if edit.key[0] == "workspace"}
    new_owners: dict[str, str] = {}
    for edit in edits:
        if not isinstance(edit.after, Workspace):
            continue
        name = edit.key[1]
        for key_hash in edit.after.key_hashes:
            owner = state.workspace_names.get(key_hash, name)
            owner = new_owners.get(key_hash, name if owner in replaced else owner)
            if owner != name:
                return f"workspace {name!r} has a key that workspace {owner!r} has"
            new_owners[key_hash] = name
    return ""
