"""The HTTP routes of the stand-ins for targets."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

import cattrs

from ..targets import (
    EngineOrder,
    ServiceCall,
    StreamOutput,
    StreamSpec,
    TargetRefusedError,
    TargetUnreachableError,
)
from ._engine import EngineStandin
from ._http_server import CONFLICT, UNAVAILABLE, Feed, Reply, Route, json_fields, json_reply
from ._platform_routes import set_faults
from ._service import ServiceStandin

FEED_KEEPALIVE_S = 1.0

Handler = Callable[[dict[str, Any]], Awaitable[object]]


def _map_errors(respond: Route) -> Route:
    async def mapped(body: bytes) -> Reply:
        try:
            return await respond(body)
        except TargetRefusedError as error:
            return json_reply({"reason": error.reason, "message": str(error)}, CONFLICT)
        except TargetUnreachableError as error:
            return json_reply({"message": str(error)}, UNAVAILABLE)

    return mapped


def _route(handler: Handler) -> Route:
    async def respond(body: bytes) -> Reply:
        return json_reply(cattrs.unstructure(await handler(json_fields(body))))

    return _map_errors(respond)


def engine_routes(engine: EngineStandin) -> dict[str, Route]:
    """Return the routes of an engine, except its output feed."""

    async def submit(fields: dict[str, Any]) -> None:
        await engine.submit(_structure(fields, StreamSpec))

    async def order(fields: dict[str, Any]) -> None:
        await engine.order(_structure(fields, EngineOrder))

    async def holds_export(fields: dict[str, Any]) -> bool:
        return engine.holds_export(str(fields["export_id"]))

    async def executions(fields: dict[str, Any]) -> int:
        return engine.executions[str(fields["prompt"])]

    async def crash(_: dict[str, Any]) -> None:
        engine.crash()

    async def restart(fields: dict[str, Any]) -> None:
        engine.restart(str(fields["epoch"]))

    handlers: dict[str, Handler] = {
        "/describe": lambda _: engine.describe(),
        "/load": lambda _: engine.load(),
        "/submit": submit,
        "/resume": lambda f: engine.resume(str(f["stream_id"]), int(f["next_index"])),
        "/cancel": lambda f: engine.cancel(str(f["stream_id"])),
        "/list_streams": lambda _: engine.list_streams(),
        "/list_exports": lambda _: engine.list_exports(),
        "/renew_export": lambda f: engine.renew_export(str(f["export_id"]), float(f["lease_s"])),
        "/release_export": lambda f: engine.release_export(str(f["export_id"])),
        "/order": order,
        "/cache_events": lambda f: engine.cache_events(int(f["next_sequence"])),
        "/holds_export": holds_export,
        "/executions": executions,
        "/crash": crash,
        "/restart": restart,
    }
    return {path: _route(handler) for path, handler in handlers.items()}


def engine_feed(engine: EngineStandin) -> Feed:
    """Return a feed of the output of all streams: one JSON line per step.

    The first line has the progress of each stream, so that a reader notices missed output. An
    empty line is sent after each `FEED_KEEPALIVE_S` without output.
    """

    async def feed(emit: Callable[[bytes], None]) -> None:
        steps = engine.outputs()
        pending = asyncio.ensure_future(anext(steps))
        try:
            await asyncio.sleep(0)
            emit(_step_line(await engine.stream_progress()))
            while True:
                done, _ = await asyncio.wait({pending}, timeout=FEED_KEEPALIVE_S)
                if not done:
                    emit(b"\n")
                    continue
                emit(_step_line(pending.result()))
                pending = asyncio.ensure_future(anext(steps))
        except TargetUnreachableError:
            return
        finally:
            pending.cancel()
            await asyncio.gather(pending, return_exceptions=True)
            await steps.aclose()  # type: ignore[attr-defined]

    return feed


def service_routes(service: ServiceStandin) -> dict[str, Route]:
    """Return the routes of a plain service."""

    def call(method: str) -> Route:
        async def respond(body: bytes) -> Reply:
            service_call = ServiceCall(call_id="", method=method, payload=body, timeout_s=0.0)
            return Reply(body=await service.call(service_call))

        return _map_errors(respond)

    async def faults(fields: dict[str, Any]) -> object:
        return set_faults(service, fields, ("down", "lose_replies", "delay_s"))

    async def executions(body: bytes) -> Reply:
        return json_reply(service.executions[body])

    return {
        "/describe": _route(lambda _: service.describe()),
        "/call/echo": call("echo"),
        "/faults": _route(faults),
        "/executions": executions,
    }


def _structure(fields: dict[str, Any], wanted: type[Any]) -> Any:
    try:
        return cattrs.structure(fields, wanted)
    except Exception as error:
        raise TargetRefusedError(
            "invalid", f"the request is not a valid {wanted.__name__}: {error!r}"
        ) from error


def _step_line(step: tuple[StreamOutput, ...]) -> bytes:
    rows = [(o.stream_id, o.first_index, o.texts, o.finished, o.error) for o in step]
    return json.dumps(rows, separators=(",", ":")).encode() + b"\n"
