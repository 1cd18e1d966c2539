"""The start-up code that all programs share: settings, logging and signals."""

import argparse
import asyncio
import contextlib
import logging
import signal
import sys
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, Protocol, TypeVar

from eliot import to_file
from eliot.stdlib import EliotHandler
from returns.result import Result, Success

from ..kernel import EXIT_BAD_SETTINGS, EXIT_FAILED, FailureError
from ..settings import load_settings

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

T = TypeVar("T")


def load_or_report(path: Path, settings_type: type[T]) -> T | None:
    """Load settings, or print every error to stderr and return None."""
    loaded: Result[T, tuple[str, ...]] = load_settings(path, settings_type)
    if isinstance(loaded, Success):
        settings: T = loaded.unwrap()
        return settings
    for mistake in loaded.failure():
        print(f"{path}: {mistake}", file=sys.stderr)
    return None


class ProgramSettings(Protocol):
    """The settings that every program has."""

    @property
    def log_file(self) -> str:
        """Return the path of the log file; empty for stderr."""


S = TypeVar("S", bound=ProgramSettings)


def run_from_command_line(
    *,
    description: str,
    settings_type: type[S],
    serve: Callable[[S, asyncio.Event], Coroutine[Any, Any, None]],
) -> int:
    """Parse the command line of a server program, load its settings and run it.

    Uses argparse instead of typer: typer imports pydantic, and the two would permanently take 10 MB
    of the 64 MB that a process may use, and processes run for weeks.

    Args:
        description: The description in the help text.
        settings_type: The data class of the settings.
        serve: See `run_program`; also gets the settings.

    Returns:
        The exit code.
    """
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--settings", required=True, help="the YAML file with the settings")
    parser.add_argument("--check", action="store_true", help="only check the settings")
    arguments = parser.parse_args()
    settings = load_or_report(Path(arguments.settings), settings_type)
    if settings is None:
        return EXIT_BAD_SETTINGS
    if arguments.check:
        return 0
    return run_program(lambda stopping: serve(settings, stopping), log_file=settings.log_file)


def run_program(
    serve: Callable[[asyncio.Event], Coroutine[Any, Any, None]], *, log_file: str = ""
) -> int:
    """Run a program until it has shut down after SIGTERM or SIGINT.

    Args:
        serve: Serves until the event is set, then shuts down gracefully.
        log_file: The path of the log file; empty for stderr.

    Returns:
        The exit code.
    """
    with contextlib.ExitStack() as stack:
        try:
            target = stack.enter_context(open(log_file, "a")) if log_file else sys.stderr
        except OSError as error:
            print(f"cannot write the log to {log_file}: {error.strerror}", file=sys.stderr)
            return EXIT_BAD_SETTINGS
        to_file(target)
        logging.getLogger().addHandler(EliotHandler())
        try:
            asyncio.run(_serve_until_signal(serve))
        except (FailureError, OSError) as error:
            print(f"cannot run: {error}", file=sys.stderr)
            return EXIT_FAILED
    return 0


async def _serve_until_signal(
    serve: Callable[[asyncio.Event], Coroutine[Any, Any, None]],
) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, stopping.set)
    await serve(stopping)
