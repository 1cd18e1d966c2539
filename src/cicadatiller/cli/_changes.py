"""The commands that change the configuration: apply, delete, validate."""

import uuid
from pathlib import Path
from typing import Annotated

import typer
from connectrpc.errors import ConnectError

from ..rpc._generated.cicadatiller.v1 import operators_pb as pb
from ..rpc._generated.cicadatiller.v1.operators_connect import OperatorServiceClientSync
from ._client import (
    RESPONSE_MARGIN_S,
    CommandError,
    Connection,
    ExitCode,
    find_failure,
    to_command_error,
)
from ._context import exit_on_command_error, get_command_context
from ._manifests import Manifest, format_differences, read_manifests
from ._waiting import wait_until_applied

VERDICT_TIMEOUT_S = 10.0

FileOption = Annotated[
    Path, typer.Option("--file", "-f", help="A YAML file of configuration objects.")
]
ReasonOption = Annotated[
    str, typer.Option(help="The reason for the change; kept in the audit trail.")
]
ForceOption = Annotated[
    bool, typer.Option("--force", help="Apply even if a model is left without a target.")
]
DryRunOption = Annotated[
    bool, typer.Option("--dry-run", help="Show the verdict and the differences; change nothing.")
]
WaitOption = Annotated[
    bool,
    typer.Option(
        "--wait",
        help="Wait until the entries given by --entry and all targets known to them have "
        "applied the change; see --wait-timeout-s.",
    ),
]
WaitTimeoutOption = Annotated[float, typer.Option(help="The timeout of --wait in seconds.")]
TimeLimitOption = Annotated[float, typer.Option(help="The time limit for the verdict in seconds.")]
ChangeIdOption = Annotated[
    str, typer.Option(help="The change id of an earlier attempt whose outcome is unknown.")
]


@exit_on_command_error
def validate(file: FileOption) -> None:
    """Check a file of objects without contacting an entry.

    Example: cicadatiller validate -f north.yaml
    """
    manifests = read_manifests(file)
    typer.echo(f"{file}: {len(manifests)} objects are valid")


@exit_on_command_error
def apply(
    ctx: typer.Context,
    file: FileOption,
    reason: ReasonOption = "",
    dry_run: DryRunOption = False,
    force: ForceOption = False,
    wait: WaitOption = False,
    wait_timeout_s: WaitTimeoutOption = 60.0,
    time_limit_s: TimeLimitOption = 10.0,
    change_id: ChangeIdOption = "",
) -> None:
    """Publish the objects of a file atomically, after showing the differences.

    Example: cicadatiller apply -f north.yaml --reason "new model version" --wait
    """
    connection = get_command_context(ctx).connection
    request = _make_request(read_manifests(file), reason, force, time_limit_s, change_id)
    _publish(connection, request, is_dry_run=dry_run)
    if wait and not dry_run:
        wait_until_applied(connection, _get_change_offset(connection, request), wait_timeout_s)


@exit_on_command_error
def delete(
    ctx: typer.Context,
    kind: Annotated[
        str, typer.Argument(help="deployment, model, service, workspace, operator or evacuation.")
    ],
    name: str,
    reason: ReasonOption = "",
    dry_run: DryRunOption = False,
    force: ForceOption = False,
    time_limit_s: TimeLimitOption = 10.0,
    change_id: ChangeIdOption = "",
) -> None:
    """Remove one object.

    Example: cicadatiller delete workspace old-depots --reason "closed"
    """
    manifest = Manifest(kind=kind, name=name, delete=True)
    request = _make_request([manifest], reason, force, time_limit_s, change_id)
    _publish(get_command_context(ctx).connection, request, is_dry_run=dry_run)


def publish_manifest(
    connection: Connection,
    manifest: Manifest,
    *,
    reason: str,
    force: bool = False,
    is_dry_run: bool = False,
    wait_timeout_s: float | None = None,
) -> None:
    """Publish one object, and wait until it is applied everywhere if a timeout is given."""
    request = _make_request([manifest], reason, force, VERDICT_TIMEOUT_S, "")
    _publish(connection, request, is_dry_run=is_dry_run)
    if wait_timeout_s is not None and not is_dry_run:
        wait_until_applied(connection, _get_change_offset(connection, request), wait_timeout_s)


def _make_request(
    manifests: list[Manifest], reason: str, force: bool, time_limit_s: float, change_id: str
) -> pb.ApplyRequest:
    return pb.ApplyRequest(
        change_id=change_id or str(uuid.uuid4()),
        reason=reason,
        changes=[manifest.to_change() for manifest in manifests],
        force=force,
        time_limit_ms=round(time_limit_s * 1000),
    )


def _publish(connection: Connection, request: pb.ApplyRequest, *, is_dry_run: bool) -> None:
    preview = connection.operators(
        lambda client, headers: client.apply(_as_dry_run(request), headers=headers)
    )
    if preview.differences:
        typer.echo(format_differences(preview.differences))
    if is_dry_run:
        typer.echo(preview.message)
        if preview.verdict is pb.Verdict.REJECTED:
            raise CommandError("the change would be rejected", ExitCode.REFUSED)
        return
    response = _apply(connection, request)
    if response.verdict is not pb.Verdict.ACCEPTED:
        raise CommandError(
            f"rejected at offset {response.offset}: {response.message}", ExitCode.REFUSED
        )
    typer.echo(f"accepted at offset {response.offset}, change id {request.change_id}")


def _apply(connection: Connection, request: pb.ApplyRequest) -> pb.ApplyResponse:
    """Apply a change; if the response is lost, retry at the next entry with the same change id."""
    headers = connection.headers()
    timeout_ms = request.time_limit_ms + round(RESPONSE_MARGIN_S * 1000)
    first_error: CommandError | None = None
    for url in connection.entries:
        client = OperatorServiceClientSync(url, timeout_ms=timeout_ms)
        try:
            return client.apply(request, headers=headers)
        except ConnectError as error:
            command_error = to_command_error(error)
            # After an attempt with unknown outcome, a refusal by the next entry does not show
            # whether the first one published the change.
            if (
                first_error is None
                and command_error.code is ExitCode.REFUSED
                and find_failure(error)
            ):
                raise command_error from error
            first_error = first_error or command_error
        finally:
            client.close()
    hint = f"to learn the outcome, repeat the command with --change-id {request.change_id}"
    raise CommandError(f"{first_error}\n{hint}", ExitCode.UNKNOWN)


def _as_dry_run(request: pb.ApplyRequest) -> pb.ApplyRequest:
    return pb.ApplyRequest(
        change_id=request.change_id,
        reason=request.reason,
        changes=request.changes,
        force=request.force,
        time_limit_ms=request.time_limit_ms,
        dry_run=True,
    )


def _get_change_offset(connection: Connection, request: pb.ApplyRequest) -> int:
    wanted = pb.GetChangeRequest(change_id=request.change_id)
    found = connection.operators(lambda client, headers: client.get_change(wanted, headers=headers))
    return int(found.offset)
