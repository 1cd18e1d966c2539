"""The HTTP routes of the stand-ins for the platform's services."""

import base64
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

import cattrs

from ..backing import Instance, LogPage, OffsetTrimmedError, PlatformUnavailableError
from ._http_server import GONE, UNAVAILABLE, Reply, Route, json_fields, json_reply
from ._instances import InstanceListStandin
from ._log import LogStandin
from ._weights import WeightStoreStandin

Handler = Callable[[dict[str, Any]], Awaitable[object]]


def _route(handler: Handler) -> Route:
    async def respond(body: bytes) -> Reply:
        try:
            return json_reply(await handler(json_fields(body)))
        except OffsetTrimmedError as error:
            return json_reply({"first_offset": error.first_offset}, GONE)
        except PlatformUnavailableError as error:
            return json_reply({"message": str(error)}, UNAVAILABLE)

    return respond


def log_routes(log: LogStandin) -> dict[str, Route]:
    """Return the routes of the log."""

    async def append(fields: dict[str, Any]) -> object:
        payload = base64.b64decode(fields["payload"])
        return {"offset": await log.append(str(fields["stream"]), payload)}

    async def read(fields: dict[str, Any]) -> object:
        page = await log.read(
            str(fields["stream"]),
            int(fields["from_offset"]),
            limit=int(fields["limit"]),
            wait_s=float(fields["wait_s"]),
        )
        return _page_fields(page)

    async def trim(fields: dict[str, Any]) -> object:
        log.trim(str(fields["stream"]), int(fields["first_offset"]))
        return {}

    async def faults(fields: dict[str, Any]) -> object:
        return set_faults(log, fields, ("down", "lose_replies", "delay_s"))

    return {
        "/append": _route(append),
        "/read": _route(read),
        "/trim": _route(trim),
        "/faults": _route(faults),
    }


def instance_routes(instances: InstanceListStandin) -> dict[str, Route]:
    """Return the routes of the instance list."""

    async def list_instances(_: bytes) -> Reply:
        try:
            listed = await instances.list_instances()
        except PlatformUnavailableError as error:
            return json_reply({"message": str(error)}, UNAVAILABLE)
        rows = [cattrs.unstructure(instance) for instance in listed]
        return replace(json_reply({"instances": rows}), versioned=True)

    async def put(fields: dict[str, Any]) -> object:
        instances.put(cattrs.structure(fields, Instance))
        return {}

    async def remove(fields: dict[str, Any]) -> object:
        instances.remove(str(fields["name"]))
        return {}

    async def mark_leaving(fields: dict[str, Any]) -> object:
        instances.mark_leaving(str(fields["name"]))
        return {}

    async def faults(fields: dict[str, Any]) -> object:
        return set_faults(instances, fields, ("down", "lag_s"))

    return {
        "/list": list_instances,
        "/put": _route(put),
        "/remove": _route(remove),
        "/mark_leaving": _route(mark_leaving),
        "/faults": _route(faults),
    }


def weight_routes(weights: WeightStoreStandin) -> dict[str, Route]:
    """Return the routes of the weight store."""

    async def acquire(fields: dict[str, Any]) -> object:
        return {"wait_s": await weights.acquire(str(fields["model"]), str(fields["version"]))}

    async def faults(fields: dict[str, Any]) -> object:
        return set_faults(weights, fields, ("down", "interval_s"))

    return {"/acquire": _route(acquire), "/faults": _route(faults)}


def set_faults(standin: object, fields: dict[str, Any], allowed_names: tuple[str, ...]) -> object:
    """Set fault settings of a stand-in and return all of them.

    All values are checked before the first is set.

    Raises:
        ValueError: If a setting is unknown or a value is of another type.
    """
    for name, value in fields.items():
        if name not in allowed_names:
            raise ValueError(
                f"unknown fault setting {name!r}; use one of: {', '.join(allowed_names)}"
            )
        wanted = type(getattr(standin, name))
        if type(value) is not wanted and not (wanted is float and type(value) is int):
            raise ValueError(f"{name} must be of type {wanted.__name__}, found {value!r}")
    for name, value in fields.items():
        setattr(standin, name, value)
    return {name: getattr(standin, name) for name in allowed_names}


def _page_fields(page: LogPage) -> object:
    return {
        "records": [
            {
                "offset": record.offset,
                "time_ms": record.time_ms,
                "payload": base64.b64encode(record.payload).decode(),
            }
            for record in page.records
        ],
        "next_offset": page.next_offset,
        "end_offset": page.end_offset,
    }
