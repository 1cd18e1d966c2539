"""Validates the deploy file, from which the platform builds and runs the system."""

import re
import tomllib
from pathlib import Path
from typing import Any

MACHINE_CLASSES = ("front", "side")
SERVES_VALUES = ("front", "side", "control")
ROLE_FIELDS = frozenset(
    {"run", "on", "share", "count", "apart", "serves", "metrics", "template", "env"}
)
TOP_FIELDS = frozenset({"build", "roles", "packages"})
METRICS_PATTERN = re.compile(r"\d{1,5}/\S*")
MAX_ROLES_PER_CLASS = 2


def check_deploy_file(path: Path) -> tuple[str, ...]:
    """Return one message for each invalid field of a deploy file, with the values it may have."""
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        return (f"(file): cannot be read: {error.strerror}",)
    except ValueError as error:
        return (f"(file): not valid TOML: {error}",)
    return tuple(_document_problems(document))


def _document_problems(document: dict[str, Any]) -> list[str]:
    problems = _unknown_fields(document, TOP_FIELDS, "")
    if not isinstance(document.get("build"), str):
        problems.append("build: expected a shell command, as a string")
    roles = document.get("roles")
    if not isinstance(roles, dict) or not roles:
        problems.append("roles: expected a table with at least one role")
        return problems
    for name, role in roles.items():
        if isinstance(role, dict):
            problems.extend(_role_problems(f"roles.{name}.", role))
        else:
            problems.append(f"roles.{name}: expected a table")
    problems.extend(_class_problems(roles))
    return problems


def _role_problems(prefix: str, role: dict[str, Any]) -> list[str]:
    problems = _unknown_fields(role, ROLE_FIELDS, prefix)
    if not isinstance(role.get("run"), str) or not role["run"].strip():
        problems.append(f"{prefix}run: expected a program and its arguments, as a string")
    if role.get("on") not in MACHINE_CLASSES:
        problems.append(
            f"{prefix}on: expected one of {', '.join(MACHINE_CLASSES)}; found {role.get('on')!r}"
        )
    share = role.get("share", 1.0)
    if isinstance(share, bool) or not isinstance(share, int | float) or not 0 < share <= 1:
        problems.append(
            f"{prefix}share: expected a number greater than 0 and at most 1; found {share!r}"
        )
    serves = role.get("serves", [])
    values = _served_values(role)
    is_valid = isinstance(serves, list) and set(values) <= set(SERVES_VALUES)
    if not is_valid or len(set(values)) < len(values):
        problems.append(
            f"{prefix}serves: expected a list of {', '.join(SERVES_VALUES)}, each at most once; "
            f"found {serves!r}"
        )
    metrics = role.get("metrics")
    if metrics is not None and not METRICS_PATTERN.fullmatch(str(metrics)):
        problems.append(f'{prefix}metrics: expected "PORT/PATH"; found {metrics!r}')
    return problems


def _served_values(role: dict[str, Any]) -> list[str]:
    serves = role.get("serves", [])
    return [str(value) for value in serves] if isinstance(serves, list) else []


def _class_problems(roles: dict[str, Any]) -> list[str]:
    problems = []
    for name in MACHINE_CLASSES:
        on_class = [
            role for role in roles.values() if isinstance(role, dict) and role.get("on") == name
        ]
        if len(on_class) > MAX_ROLES_PER_CLASS:
            problems.append(f"roles: at most {MAX_ROLES_PER_CLASS} roles may run on {name!r}")
        served = [value for role in on_class for value in set(_served_values(role))]
        if len(served) != len(set(served)):
            problems.append(f"roles: two roles on {name!r} list the same value in serves")
    return problems


def _unknown_fields(table: dict[str, Any], known: frozenset[str], prefix: str) -> list[str]:
    allowed = ", ".join(sorted(known))
    return [
        f"{prefix}{name}: unknown field; allowed fields: {allowed}"
        for name in sorted(set(table) - known)
    ]
