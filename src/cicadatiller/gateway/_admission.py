"""Admission: assigns a request its route, service, workspace and deadline."""

import random

from ..ingress import Request
from ..kernel import ErrorKind, fail
from ..routes import Route, RouteTable, Workspace
from ._fingerprint import fingerprints
from ._job import Job
from ._wire import RequestFields

# Remaining time of requests whose headers state none.
DEFAULT_REMAINING_S = 30.0


def admit(
    request: Request, fields: RequestFields, table: RouteTable | None, rng: random.Random
) -> Job:
    """Admit a request and return its job.

    Args:
        request: The request.
        fields: The decoded fields of its headers.
        table: The current configuration; None until one has been read.
        rng: Selects one of the route's services by weight.

    Raises:
        FailureError: If no configuration has been read, no route matches, or the key is missing
            or unknown.
    """
    if table is None:
        raise fail(ErrorKind.CONFIGURATION_UNKNOWN, "the entry has not read a configuration yet")
    route = table.find_route(fields.host, request.path.decode("latin-1"))
    if route is None:
        raise fail(ErrorKind.UNKNOWN_SERVICE, "no route matches the request; check host and path")
    workspace = _find_workspace(fields, route, table)
    remaining_s = DEFAULT_REMAINING_S if fields.remaining_s is None else fields.remaining_s
    caller_deadline_s = request.read_at_s + remaining_s
    return Job(
        request=request,
        fields=fields,
        route=route,
        service=_choose_service(route, rng),
        workspace=workspace,
        fingerprints=fingerprints(
            request,
            host=fields.host,
            workspace="" if workspace is None else workspace.name,
            model=fields.model,
            prompt_tokens=fields.prompt_tokens,
            max_output_tokens=fields.max_output_tokens,
            prompt_parts=fields.prompt_parts,
        ),
        caller_deadline_s=caller_deadline_s,
        deadline_s=min(caller_deadline_s, request.read_at_s + route.timeout_s),
    )


def _find_workspace(fields: RequestFields, route: Route, table: RouteTable) -> Workspace | None:
    workspace = None if fields.key is None else table.find_workspace(fields.key)
    if workspace is None and table.needs_keys and not route.allow_anonymous:
        raise fail(
            ErrorKind.UNAUTHENTICATED, "the workspace key is missing or unknown; send a valid key"
        )
    return workspace


def _choose_service(route: Route, rng: random.Random) -> str:
    if len(route.splits) == 1:
        return route.splits[0].service
    weights = [split.weight for split in route.splits]
    return rng.choices(route.splits, weights=weights)[0].service
