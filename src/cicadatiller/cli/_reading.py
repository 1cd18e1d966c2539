"""The commands get, list, history and status, which change nothing, and drain."""

import json
from typing import Annotated, Any

import typer

from ..rpc._generated.cicadatiller.v1 import operators_pb as pb
from ._client import Connection
from ._context import exit_on_command_error, get_command_context
from ._evacuation import evacuated_data_centres
from ._followed import followed_rows
from ._output import OutputFormat, print_rows, print_table, print_value

HISTORY_PAGE = 500
FOLLOW_WAIT_MS = 5000


@exit_on_command_error
def get(ctx: typer.Context, kind: str, name: str) -> None:
    """Show one object with its revision.

    Example: cicadatiller get model glacier
    """
    options = get_command_context(ctx)
    request = pb.GetObjectRequest(kind=kind, name=name)
    response = options.connection.operators(
        lambda client, headers: client.get(request, headers=headers)
    )
    print_value(_object_row(response), options.output)


@exit_on_command_error
def list_objects(
    ctx: typer.Context,
    kind: Annotated[str, typer.Argument(help="The kind; all kinds if empty.")] = "",
) -> None:
    """List the objects of one kind, or of all kinds.

    Example: cicadatiller --output json list workspace
    """
    options = get_command_context(ctx)
    request = pb.ListObjectsRequest(kind=kind)
    response = options.connection.operators(
        lambda client, headers: client.list(request, headers=headers)
    )
    rows = [_object_row(item) for item in response.objects]
    if options.output is OutputFormat.TABLE:
        rows = [
            {
                "kind": row["kind"],
                "name": row["name"],
                "deployment": row["body"].get("deployment", ""),
                "revision": row["revision"],
            }
            for row in rows
        ]
    print_rows(rows, options.output)


@exit_on_command_error
def history(
    ctx: typer.Context,
    from_offset: Annotated[int, typer.Option(help="The first offset to show.")] = 0,
    follow: Annotated[bool, typer.Option("--follow", help="Keep printing new changes.")] = False,
    export: Annotated[
        bool, typer.Option("--export", help="Print complete records as JSON lines.")
    ] = False,
) -> None:
    """Show the audit trail: who changed what, when, why, and the verdict.

    Example: cicadatiller history --export > trail.jsonl
    """
    options = get_command_context(ctx)
    next_offset = from_offset
    while True:
        page = _read_history(options.connection, next_offset, follow)
        rows = [_change_row(item) for item in page.changes]
        if export:
            for row in rows:
                typer.echo(json.dumps(row, sort_keys=True))
        elif rows or not follow:
            _print_changes(rows, options.output)
        next_offset = page.next_offset
        if not follow and len(page.changes) < HISTORY_PAGE:
            return


@exit_on_command_error
def status(
    ctx: typer.Context,
    metrics: Annotated[
        list[str] | None,
        typer.Option(help="Metrics URL of an entry on the platform; may be repeated."),
    ] = None,
) -> None:
    """Show data centres, targets and failures as known to one entry.

    With --metrics, show instead which settings and configuration each of these entries follows.

    Example: cicadatiller status
    Example: cicadatiller status --metrics http://10.1.0.40:9464/metrics
    """
    options = get_command_context(ctx)
    if metrics:
        print_rows(followed_rows(metrics), options.output)
        return
    response = options.connection.operators(
        lambda client, headers: client.status(pb.StatusRequest(), headers=headers)
    )
    summary = {
        "entry": response.entry,
        "data_centre": response.data_centre,
        "config_offset": response.config_offset,
        "config_lag_s": round(response.config_lag_s, 1),
        "log_reachable": response.log_reachable,
    }
    evacuated = evacuated_data_centres(options.connection)
    data_centres = [
        {**_data_centre_row(item), "evacuated": item.data_centre in evacuated}
        for item in response.data_centres
    ]
    targets = [_target_row(item) for item in response.targets]
    failures = [_failure_row(item) for item in response.failures]
    if options.output is not OutputFormat.TABLE:
        tables = {"data_centres": data_centres, "targets": targets, "failures": failures}
        print_value({**summary, **tables}, options.output)
        return
    for rows in ([summary], data_centres, targets, failures):
        print_table(rows)
        typer.echo("")


@exit_on_command_error
def drain(
    ctx: typer.Context,
    target: str,
    force: Annotated[
        bool, typer.Option("--force", help="Drain even the last target of a model or service.")
    ] = False,
) -> None:
    """Stop sending new requests to a target; it completes those that it has.

    Example: cicadatiller drain engine-3
    """
    request = pb.DrainRequest(target=target, force=force)
    get_command_context(ctx).connection.operators(
        lambda client, headers: client.drain(request, headers=headers)
    )
    typer.echo(f"{target} takes no new work")


def _read_history(connection: Connection, from_offset: int, follow: bool) -> pb.HistoryResponse:
    request = pb.HistoryRequest(
        from_offset=from_offset, limit=HISTORY_PAGE, wait_ms=FOLLOW_WAIT_MS if follow else 0
    )
    return connection.operators(lambda client, headers: client.history(request, headers=headers))


def _print_changes(rows: list[dict[str, Any]], output: OutputFormat) -> None:
    if output is not OutputFormat.TABLE:
        print_rows(rows, output)
        return
    hidden = ("differences", "time_ms")
    print_table([{k: v for k, v in row.items() if k not in hidden} for row in rows])


def _object_row(item: pb.ConfigObject) -> dict[str, Any]:
    return {
        "kind": item.kind,
        "name": item.name,
        "revision": item.revision,
        "body": json.loads(item.body_json),
    }


def _change_row(item: pb.ChangeRecord) -> dict[str, Any]:
    return {
        "offset": item.offset,
        "time_ms": item.time_ms,
        "operator": item.operator,
        "verdict": item.verdict.name,
        "change_id": item.change_id,
        "reason": item.reason,
        "message": item.message,
        "differences": [
            {
                "kind": difference.kind,
                "name": difference.name,
                "before": json.loads(difference.before_json or "null"),
                "after": json.loads(difference.after_json or "null"),
            }
            for difference in item.differences
        ],
    }


def _data_centre_row(item: pb.DataCentreStatus) -> dict[str, Any]:
    return {
        "data_centre": item.data_centre,
        "targets": item.targets,
        "reachable": item.reachable,
        "leaving": item.leaving,
        "queued": item.queued,
        "running": item.running,
        "kv_used_tokens": item.kv_used_tokens,
        "kv_capacity_tokens": item.kv_capacity_tokens,
        "config_offset": item.lowest_config_offset,
        "config_lag_records": item.config_lag_records,
        "loaded": list(item.loaded),
    }


def _failure_row(item: pb.FailureCount) -> dict[str, Any]:
    return {"kind": item.kind, "run_state": item.run_state, "count": item.count}


def _target_row(item: pb.TargetStatus) -> dict[str, Any]:
    return {
        "target": item.target,
        "kind": item.kind,
        "data_centre": item.data_centre,
        "reachable": item.reachable,
        "leaving": item.leaving,
        "queued": item.queued,
        "running": item.running,
        "kv_used_tokens": item.kv_used_tokens,
        "config_offset": item.config_offset,
        "loaded": list(item.loaded),
        "order_error": item.order_error,
    }
