"""Reads the YAML files of `cicadatiller apply` and formats the differences made by a change."""

import difflib
import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import yaml
from returns.result import Success

from ..config import parse_object
from ..rpc._generated.cicadatiller.v1 import operators_pb as pb
from ..settings import parse_settings
from ._client import CommandError, ExitCode


@dataclass(frozen=True, kw_only=True)
class Manifest:
    """A configuration object in a file.

    Attributes:
        kind: The kind of the object.
        name: The name of the object.
        body: The fields of the object.
        expected_revision: The revision that the object must have now; None accepts any.
        delete: Whether to remove the object.
    """

    kind: str
    name: str
    body: dict[str, Any] = field(default_factory=dict)
    expected_revision: int | None = None
    delete: bool = False

    def to_change(self) -> pb.ObjectChange:
        """Return the protobuf message of the change."""
        body_json = "" if self.delete else json.dumps(self.body)
        change = pb.ObjectChange(kind=self.kind, name=self.name, body_json=body_json)
        if self.expected_revision is not None:
            change.expected_revision = self.expected_revision
        return change


def read_manifests(path: Path) -> list[Manifest]:
    """Read a file of YAML documents, each of which is an object or a list of objects.

    Raises:
        CommandError: If the file is unreadable or has mistakes; its message has a line for each.
    """
    try:
        documents = list(yaml.safe_load_all(path.read_text(encoding="utf-8")))
    except OSError as error:
        raise CommandError(f"{path}: cannot be read: {error.strerror}", ExitCode.USAGE) from error
    except (UnicodeDecodeError, yaml.YAMLError) as error:
        raise CommandError(f"{path}: {error}", ExitCode.USAGE) from error
    items: list[object] = []
    for document in documents:
        items.extend(document if isinstance(document, list) else [document])
    manifests: list[Manifest] = []
    mistakes: list[str] = []
    for number, item in enumerate((item for item in items if item is not None), start=1):
        parsed = parse_settings(item, Manifest)
        if isinstance(parsed, Success):
            manifests.append(parsed.unwrap())
            mistakes.extend(f"object {number}: {text}" for text in _find_mistakes(manifests[-1]))
        else:
            mistakes.extend(f"object {number}: {text}" for text in parsed.failure())
    if not manifests and not mistakes:
        mistakes.append("the file has no objects")
    if mistakes:
        text = "\n".join(f"{path}: {mistake}" for mistake in mistakes)
        raise CommandError(text, ExitCode.USAGE)
    return manifests


def format_difference(difference: pb.ObjectDifference) -> str:
    """Format the difference made to one object as a unified diff of YAML."""
    before = _to_yaml_lines(difference.before_json)
    after = _to_yaml_lines(difference.after_json)
    title = f"{difference.kind} {difference.name}"
    verb = "change" if before and after else "create" if after else "delete"
    if before == after:
        return f"{title}: no difference"
    body = difflib.unified_diff(before, after, lineterm="", n=100)
    lines = [line for line in body if not line.startswith(("---", "+++", "@@"))]
    return "\n".join([f"{title}: {verb}", *(f"  {line}" for line in lines)])


def format_differences(differences: Iterable[pb.ObjectDifference]) -> str:
    """Format the differences made by a change."""
    return "\n".join(format_difference(difference) for difference in differences)


def _find_mistakes(manifest: Manifest) -> list[str]:
    if manifest.delete:
        return []
    parsed = parse_object(manifest.kind, json.dumps(manifest.body))
    if isinstance(parsed, Success):
        return []
    return [f"{manifest.kind} {manifest.name!r}: {parsed.failure()}"]


def _to_yaml_lines(body_json: str) -> list[str]:
    if not body_json:
        return []
    body = json.loads(body_json)
    if not body:
        return ["{}"]
    return yaml.safe_dump(body, sort_keys=True, allow_unicode=True).splitlines()
