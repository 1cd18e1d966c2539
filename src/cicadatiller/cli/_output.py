"""Prints results as a table, JSON or YAML."""

import enum
import json
from collections.abc import Mapping, Sequence

import typer
import yaml

Row = Mapping[str, object]


class OutputFormat(enum.Enum):
    """The output formats of results."""

    TABLE = "table"
    JSON = "json"
    YAML = "yaml"


def print_rows(rows: Sequence[Row], output: OutputFormat) -> None:
    """Print rows that all have the same columns."""
    if output is OutputFormat.TABLE:
        print_table(rows)
    else:
        print_value([dict(row) for row in rows], output)


def print_value(value: object, output: OutputFormat) -> None:
    """Print plain data; the table format falls back to YAML."""
    if output is OutputFormat.JSON:
        typer.echo(json.dumps(value, indent=2))
    else:
        typer.echo(yaml.safe_dump(value, sort_keys=False, allow_unicode=True).rstrip())


def print_table(rows: Sequence[Row]) -> None:
    """Print rows below a header line."""
    if not rows:
        typer.echo("(none)")
        return
    names = list(rows[0])
    lines = [[name.upper().replace("_", " ") for name in names]]
    lines.extend([_cell(row[name]) for name in names] for row in rows)
    widths = [max(len(line[column]) for line in lines) for column in range(len(names))]
    for line in lines:
        padded = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        typer.echo("  ".join(padded).rstrip())


def _cell(value: object) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list | tuple):
        return ", ".join(str(item) for item in value) or "-"
    return str(value) if value != "" else "-"
