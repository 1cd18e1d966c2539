"""The global options, and the error handling that all commands share."""

import functools
from collections.abc import Callable
from dataclasses import dataclass
from typing import ParamSpec

import typer

from ._client import CommandError, Connection
from ._output import OutputFormat

P = ParamSpec("P")


@dataclass(frozen=True, kw_only=True)
class CommandContext:
    """The global options of a command."""

    connection: Connection
    output: OutputFormat


def get_command_context(ctx: typer.Context) -> CommandContext:
    """Return the global options of a command."""
    found = ctx.find_object(CommandContext)
    if found is None:
        raise RuntimeError(
            "the global options are missing; call the command through `cicadatiller`"
        )
    return found


def exit_on_command_error(command: Callable[P, None]) -> Callable[P, None]:
    """Decorate a command to report `CommandError` by message and exit code, not a traceback."""

    @functools.wraps(command)
    def run(*args: P.args, **kwargs: P.kwargs) -> None:
        try:
            command(*args, **kwargs)
        except CommandError as error:
            typer.echo(str(error), err=True)
            raise typer.Exit(error.code) from error

    return run
