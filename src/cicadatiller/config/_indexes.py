"""Updates the indexes of a state; only indexes that a change affects are copied."""

from collections.abc import Mapping
from dataclasses import dataclass

from ._objects import ConfigValue, Operator, Workspace
from ._state import ObjectKey, deployments_of


@dataclass(frozen=True, kw_only=True)
class ParsedEdit:
    """One object before and after a change.

    Attributes:
        key: The kind and name of the object.
        before: The object before the change; None if it did not exist.
        after: The object after the change; None if it is removed.
    """

    key: ObjectKey
    before: ConfigValue | None
    after: ConfigValue | None


def update_workspace_names(names: Mapping[str, str], edits: list[ParsedEdit]) -> Mapping[str, str]:
    """Return the workspace names by key hash after edits."""
    touched = [edit for edit in edits if _key_hashes(edit.before) != _key_hashes(edit.after)]
    if not touched:
        return names
    updated = dict(names)
    for edit in touched:
        for key_hash in _key_hashes(edit.before):
            updated.pop(key_hash, None)
    for edit in touched:
        updated.update(dict.fromkeys(_key_hashes(edit.after), edit.key[1]))
    return updated


def update_operators(
    operators: Mapping[str, Operator], edits: list[ParsedEdit]
) -> Mapping[str, Operator]:
    """Return the operators by name after edits."""
    touched = [edit for edit in edits if edit.key[0] == "operator"]
    if not touched:
        return operators
    updated = dict(operators)
    for edit in touched:
        if isinstance(edit.after, Operator):
            updated[edit.key[1]] = edit.after
        else:
            updated.pop(edit.key[1], None)
    return updated


def update_evacuated(names: frozenset[str], edits: list[ParsedEdit]) -> frozenset[str]:
    """Return the names of the evacuated data centres after edits."""
    touched = [edit for edit in edits if edit.key[0] == "evacuation"]
    started = {edit.key[1] for edit in touched if edit.after is not None}
    return (names - {edit.key[1] for edit in touched}) | started


def update_members(members: Mapping[str, int], edits: list[ParsedEdit]) -> Mapping[str, int]:
    """Return the number of objects that reference each deployment after edits."""
    updated = dict(members)
    for edit in edits:
        if edit.before is not None:
            for name in deployments_of(edit.key, edit.before):
                updated[name] -= 1
        if edit.after is not None:
            for name in deployments_of(edit.key, edit.after):
                updated[name] = updated.get(name, 0) + 1
    return {name: count for name, count in updated.items() if count}


def _key_hashes(value: ConfigValue | None) -> tuple[str, ...]:
    return value.key_hashes if isinstance(value, Workspace) else ()
