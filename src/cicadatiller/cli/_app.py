"""The command line program `cicadatiller`."""

import secrets
import sys
from pathlib import Path
from typing import Annotated

import typer

from ..config import hash_key
from . import _changes, _reading, _requests
from ._check import check_settings
from ._client import DEFAULT_ENTRY, Connection, ExitCode
from ._context import CommandContext
from ._evacuation import evacuation
from ._output import OutputFormat

KEY_BYTES = 32

HELP = """Operate a cicadatiller system and send requests to it.

Exit codes: 0 success; 1 refused or rejected; 2 usage error or invalid file; 3 the outcome is
unknown; 4 no entry could be reached.

The key is read from CICADATILLER_KEY or --key-file.
"""

app = typer.Typer(help=HELP, no_args_is_help=True, pretty_exceptions_enable=False)
keys = typer.Typer(help="Create keys.", no_args_is_help=True)
app.add_typer(keys, name="keys")


@app.callback()
def set_options(
    ctx: typer.Context,
    entry: Annotated[
        list[str] | None,
        typer.Option(
            envvar="CICADATILLER_ENTRY",
            help="The URL of an entry; repeat it to add entries that are tried in order.",
        ),
    ] = None,
    key_file: Annotated[Path | None, typer.Option(help="The file with the key.")] = None,
    output: Annotated[OutputFormat, typer.Option(help="The output format.")] = OutputFormat.TABLE,
) -> None:
    """Store the global options for the command."""
    connection = Connection(entries=tuple(entry or [DEFAULT_ENTRY]), key_file=key_file)
    ctx.obj = CommandContext(connection=connection, output=output)


@keys.command("new")
def make_key() -> None:
    """Create a key; print it and its hash, which goes into the configuration.

    Example: cicadatiller keys new
    """
    key = secrets.token_urlsafe(KEY_BYTES)
    typer.echo(f"key: {key}")
    typer.echo(f"hash: {hash_key(key)}")


app.add_typer(evacuation, name="evacuation")
app.command("apply")(_changes.apply)
app.command("delete")(_changes.delete)
app.command("check-settings")(check_settings)
app.command("validate")(_changes.validate)
app.command("get")(_reading.get)
app.command("list")(_reading.list_objects)
app.command("history")(_reading.history)
app.command("status")(_reading.status)
app.command("drain")(_reading.drain)
app.command("ask")(_requests.ask)
app.command("call")(_requests.call)


def main() -> None:
    """Run `cicadatiller`."""
    try:
        app()
    except Exception as error:
        typer.echo(f"unexpected {type(error).__name__}: {error}", err=True)
        sys.exit(ExitCode.REFUSED)
