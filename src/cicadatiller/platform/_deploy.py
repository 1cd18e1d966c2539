"""Checks the file that tells the platform how the system is built and run."""

import re
import tomllib
from pathlib import Path
from typing import Any

CLASSES = ("front", "side")
SERVED = ("front", "side", "control")
ROLE_FIELDS = frozenset(
    {"run", "on", "share", "count", "apart", "serves", "metrics", "template", "env"}
)
TOP_FIELDS = frozenset({"build", "roles", "packages"})
METRICS = re.compile(r"\d{1,5}/\S*")
MAX_ROLES_ON_A_CLASS = 2


def check_deploy_file(path: Path) -> tuple[str, ...]:
    """Return what is wrong with a deploy file, each with its field and what is allowed."""
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        return (f"(file): {error}",)
    return tuple(_top_problems(document))


def _top_problems(document: dict[str, Any]) -> list[str]:
    problems = _unknown(document, TOP_FIELDS, "")
    if not isinstance(document.get("build"), str):
        problems.append("build: expected a command for a shell, as text")
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
    problems = _unknown(role, ROLE_FIELDS, prefix)
    if not isinstance(role.get("run"), str) or not role["run"].strip():
        problems.append(f"{prefix}run: expected a program and its arguments, as text")
    if role.get("on") not in CLASSES:
        problems.append(
            f"{prefix}on: expected one of {', '.join(CLASSES)}; found {role.get('on')!r}"
        )
    share = role.get("share", 1.0)
    if isinstance(share, bool) or not isinstance(share, int | float) or not 0 < share <= 1:
        problems.append(f"{prefix}share: expected a number above 0 and at most 1; found {share!r}")
    serves = role.get("serves", [])
    if not isinstance(serves, list) or not set(map(str, serves)) <= set(SERVED):
        problems.append(f"{prefix}serves: expected a list of {', '.join(SERVED)}; found {serves!r}")
    metrics = role.get("metrics")
    if metrics is not None and not METRICS.fullmatch(str(metrics)):
        problems.append(f'{prefix}metrics: expected "PORT/PATH"; found {metrics!r}')
    return problems


def _class_problems(roles: dict[str, Any]) -> list[str]:
    problems = []
    for name in CLASSES:
        on_class = [
            role for role in roles.values() if isinstance(role, dict) and role.get("on") == name
        ]
        if len(on_class) > MAX_ROLES_ON_A_CLASS:
            problems.append(f"roles: at most {MAX_ROLES_ON_A_CLASS} roles may run on {name!r}")
        served = [what for role in on_class for what in role.get("serves", [])]
        if len(served) != len(set(map(str, served))):
            problems.append(f"roles: two roles on {name!r} serve the same")
    return problems


def _unknown(table: dict[str, Any], known: frozenset[str], prefix: str) -> list[str]:
    allowed = ", ".join(sorted(known))
    return [
        f"{prefix}{name}: unknown field; allowed are {allowed}"
        for name in sorted(set(table) - known)
    ]
