"""The commands that evacuate a data centre, take that back, and list what is evacuated."""

from typing import Annotated

import typer

from ..rpc._generated.cicadatiller.v1 import operators_pb as pb
from ._changes import (
    DryRunOption,
    ForceOption,
    ReasonOption,
    WaitOption,
    WaitTimeoutOption,
    publish_manifest,
)
from ._client import Connection
from ._context import exit_on_command_error, get_command_context
from ._manifests import Manifest
from ._output import print_rows

KIND = "evacuation"
DataCentreArgument = Annotated[str, typer.Argument(help="The name of the data centre.")]

evacuation = typer.Typer(
    help="Evacuate data centres: their targets get no new work.", no_args_is_help=True
)


@evacuation.command("start")
@exit_on_command_error
def start(
    ctx: typer.Context,
    data_centre: DataCentreArgument,
    reason: ReasonOption = "",
    dry_run: DryRunOption = False,
    force: ForceOption = False,
    wait: WaitOption = False,
    wait_timeout_s: WaitTimeoutOption = 60.0,
) -> None:
    """Send no new work to the targets of a data centre; what runs there is completed.

    Example: cicadatiller evacuation start hall-a --reason "power work" --wait
    """
    publish_manifest(
        get_command_context(ctx).connection,
        Manifest(kind=KIND, name=data_centre),
        reason=reason,
        force=force,
        is_dry_run=dry_run,
        wait_timeout_s=wait_timeout_s if wait else None,
    )


@evacuation.command("end")
@exit_on_command_error
def end(
    ctx: typer.Context,
    data_centre: DataCentreArgument,
    reason: ReasonOption = "",
    dry_run: DryRunOption = False,
    wait: WaitOption = False,
    wait_timeout_s: WaitTimeoutOption = 60.0,
) -> None:
    """Take an evacuation back.

    Example: cicadatiller evacuation end hall-a --reason "power work done"
    """
    publish_manifest(
        get_command_context(ctx).connection,
        Manifest(kind=KIND, name=data_centre, delete=True),
        reason=reason,
        is_dry_run=dry_run,
        wait_timeout_s=wait_timeout_s if wait else None,
    )


@evacuation.command("list")
@exit_on_command_error
def list_evacuations(ctx: typer.Context) -> None:
    """List the evacuated data centres with what still runs and waits there.

    Example: cicadatiller evacuation list
    """
    options = get_command_context(ctx)
    connection = options.connection
    response = connection.operators(
        lambda client, headers: client.status(pb.StatusRequest(), headers=headers)
    )
    statuses = {item.data_centre: item for item in response.data_centres}
    rows = []
    for name in evacuated_data_centres(connection):
        status = statuses.get(name, pb.DataCentreStatus())
        rows.append(
            {
                "data_centre": name,
                "targets": status.targets,
                "running": status.running,
                "queued": status.queued,
            }
        )
    print_rows(rows, options.output)


def evacuated_data_centres(connection: Connection) -> list[str]:
    """Return the names of the evacuated data centres."""
    request = pb.ListObjectsRequest(kind=KIND)
    response = connection.operators(lambda client, headers: client.list(request, headers=headers))
    return sorted(item.name for item in response.objects)
