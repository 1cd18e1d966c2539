"""Reads the tables of the documentation and the defaults of settings classes."""

import dataclasses
import enum
import types
import typing
from pathlib import Path

DOCS = Path(__file__).parents[2] / "docs"


def read_tables(name: str) -> dict[str, list[tuple[str, ...]]]:
    """Return the rows of all tables of a page, without header rows, by heading."""
    tables: dict[str, list[tuple[str, ...]]] = {}
    heading = ""
    for line in (DOCS / name).read_text(encoding="utf-8").splitlines():
        if line.startswith("#"):
            heading = line.lstrip("# ").strip("`")
        if line.startswith("|"):
            cells = tuple(cell.strip() for cell in line.strip("|").split("|"))
            tables.setdefault(heading, []).append(cells)
    return {heading: rows[2:] for heading, rows in tables.items()}


def settings_of(settings_type: type, prefix: str = "") -> dict[str, str]:
    """Return the default of each setting by its dotted path; "required" if it has none."""
    defaults: dict[str, str] = {}
    hints = typing.get_type_hints(settings_type)
    for field in dataclasses.fields(settings_type):
        path = f"{prefix}{field.name}"
        inner = _settings_class(hints[field.name])
        if inner is None:
            defaults[path] = _default_text(field)
            continue
        if isinstance(None, hints[field.name]):
            defaults[path] = "none"
        for name, default in settings_of(inner, f"{path}.").items():
            defaults[name] = default
    return defaults


def _settings_class(hint) -> type | None:
    if isinstance(hint, types.UnionType):
        return next((arg for arg in hint.__args__ if dataclasses.is_dataclass(arg)), None)
    if isinstance(hint, type) and dataclasses.is_dataclass(hint):
        return hint
    return None


def _default_text(field: dataclasses.Field) -> str:
    if field.default is dataclasses.MISSING:
        return "required"
    value = field.default
    if isinstance(value, enum.Enum):
        value = value.value
    if value == "":
        return "empty"
    if value == ():
        return "none"
    if isinstance(value, bool):
        return str(value).lower()
    return f"{value:.12g}" if isinstance(value, float) else str(value)
