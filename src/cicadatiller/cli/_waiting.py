"""Waits until the given entries and all targets known to them have applied a change."""

import time
from dataclasses import dataclass

import typer

from ..rpc._generated.cicadatiller.v1 import operators_pb as pb
from ..rpc._generated.cicadatiller.v1.operators_connect import OperatorServiceClientSync
from ._client import CALL_TIMEOUT_S, CommandError, Connection, ExitCode

POLL_INTERVAL_S = 0.5


@dataclass(frozen=True, kw_only=True)
class ChangeProgress:
    """The progress of a change through the entries and targets.

    Attributes:
        nodes: The number of entries and targets that have to apply it.
        missing: The names of those that have not reported it.
    """

    nodes: int
    missing: tuple[str, ...]


def wait_until_applied(connection: Connection, offset: int, timeout_s: float) -> None:
    """Show progress until all nodes have applied an offset; raises `CommandError` on timeout."""
    deadline_s = time.monotonic() + timeout_s
    last_line = ""
    while True:
        progress = _get_progress(connection, offset)
        line = (
            f"{progress.nodes - len(progress.missing)} of {progress.nodes} nodes "
            f"have offset {offset}"
        )
        if line != last_line:
            typer.echo(line, err=True)
            last_line = line
        if not progress.missing:
            return
        if time.monotonic() > deadline_s:
            names = ", ".join(progress.missing)
            raise CommandError(
                f"the change was accepted, but after {timeout_s:g} s these nodes have not "
                f"reported it: {names}",
                ExitCode.UNKNOWN,
            )
        time.sleep(POLL_INTERVAL_S)


def _get_progress(connection: Connection, offset: int) -> ChangeProgress:
    offsets: dict[str, int] = {}
    headers = connection.headers()
    for url in connection.entries:
        connection_to_entry = Connection(entries=(url,), key_file=connection.key_file)
        try:
            status = connection_to_entry.operators(lambda client, _: _get_status(client, headers))
        except CommandError as error:
            if error.code is not ExitCode.UNREACHABLE:
                raise
            offsets[url] = 0
            continue
        offsets[status.entry] = status.config_offset
        for target in status.targets:
            if not target.leaving:
                offsets[target.target] = max(offsets.get(target.target, 0), target.config_offset)
    missing = tuple(sorted(name for name, seen in offsets.items() if seen < offset))
    return ChangeProgress(nodes=len(offsets), missing=missing)


def _get_status(client: OperatorServiceClientSync, headers: dict[str, str]) -> pb.StatusResponse:
    timeout_ms = round(CALL_TIMEOUT_S * 1000)
    return client.status(pb.StatusRequest(), headers=headers, timeout_ms=timeout_ms)
