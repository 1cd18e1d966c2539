"""Command line of the stand-ins, which run as separate processes."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any

import typer

from ..backing import Instance
from ..kernel import (
    EXIT_BAD_SETTINGS,
    LoopBridge,
    TaskSet,
    above_zero,
    check_values,
    host_and_port,
    new_incarnation,
    not_negative,
)
from ..startup import load_or_report, run_program
from ..targets import ModelRef
from ._engine import EngineStandin
from ._engine_model import EngineModel
from ._export_lookup import ExportLookup
from ._http_server import Feed, Route, StandinServer
from ._instances import InstanceListStandin
from ._log import LogStandin
from ._platform_routes import instance_routes, log_routes, weight_routes
from ._service import ServiceStandin
from ._target_routes import engine_feed, engine_routes, service_routes
from ._weights import WeightStoreStandin


@dataclass(frozen=True, kw_only=True)
class HttpSettings:
    """The HTTP server of a stand-in.

    Attributes:
        address: The address to listen on, "host:port".
        threads: The number of requests served at once.
    """

    address: str
    threads: int = 32

    def __post_init__(self) -> None:
        check_values(address=host_and_port(self.address), threads=above_zero(self.threads))


@dataclass(frozen=True, kw_only=True)
class LogSettings:
    """Settings of the log stand-in."""

    http: HttpSettings


@dataclass(frozen=True, kw_only=True)
class InstanceListSettings:
    """Settings of the instance list stand-in.

    Attributes:
        http: The HTTP server.
        lag_s: The delay after which a change is visible.
        instances: The instances listed at the start.
    """

    http: HttpSettings
    lag_s: float = 0.0
    instances: tuple[Instance, ...] = ()

    def __post_init__(self) -> None:
        check_values(lag_s=not_negative(self.lag_s))


@dataclass(frozen=True, kw_only=True)
class WeightStoreSettings:
    """Settings of the weight store stand-in.

    Attributes:
        http: The HTTP server.
        interval_s: The minimum time between the starts of two loads.
    """

    http: HttpSettings
    interval_s: float = 0.0

    def __post_init__(self) -> None:
        check_values(interval_s=not_negative(self.interval_s))


@dataclass(frozen=True, kw_only=True)
class EngineSettings:
    """Settings of an engine stand-in.

    Attributes:
        http: The HTTP server.
        model: The constants of the emulated engine.
        loaded: The models loaded at the start.
        checks_fencing: Whether it refuses orders with an old fencing number.
        crash_texts: Texts in prompts under which it crashes; it runs again soon.
    """

    http: HttpSettings
    model: EngineModel = field(default_factory=EngineModel)
    loaded: tuple[ModelRef, ...] = ()
    checks_fencing: bool = True
    crash_texts: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True)
class ServiceSettings:
    """Settings of a plain service stand-in.

    Attributes:
        http: The HTTP server.
        delay_s: The delay of each call.
    """

    http: HttpSettings
    delay_s: float = 0.0

    def __post_init__(self) -> None:
        check_values(delay_s=not_negative(self.delay_s))


@dataclass(frozen=True, kw_only=True)
class HttpEndpoints:
    """The routes and feeds that a stand-in serves over HTTP."""

    routes: dict[str, Route]
    feeds: dict[str, Feed] = field(default_factory=dict)


@contextlib.asynccontextmanager
async def _open_log(_: LogSettings) -> AsyncIterator[HttpEndpoints]:
    yield HttpEndpoints(routes=log_routes(LogStandin()))


@contextlib.asynccontextmanager
async def _open_instances(settings: InstanceListSettings) -> AsyncIterator[HttpEndpoints]:
    instances = InstanceListStandin()
    for instance in settings.instances:
        instances.put(instance)
    instances.lag_s = settings.lag_s
    yield HttpEndpoints(routes=instance_routes(instances))


@contextlib.asynccontextmanager
async def _open_weights(settings: WeightStoreSettings) -> AsyncIterator[HttpEndpoints]:
    yield HttpEndpoints(routes=weight_routes(WeightStoreStandin(interval_s=settings.interval_s)))


@contextlib.asynccontextmanager
async def _open_engine(settings: EngineSettings) -> AsyncIterator[HttpEndpoints]:
    lookup = ExportLookup()
    engine = EngineStandin(
        address=settings.http.address,
        model=settings.model,
        loaded=settings.loaded,
        checks_fencing=settings.checks_fencing,
        epoch=new_incarnation(),
        peers=lookup.engine_at,
    )
    engine.crash_texts = settings.crash_texts
    tasks = TaskSet()
    tasks.keep_running(engine.run, name="engine")
    tasks.keep_running(lookup.run, name="export lookup")
    try:
        yield HttpEndpoints(routes=engine_routes(engine), feeds={"/outputs": engine_feed(engine)})
    finally:
        await tasks.close()
        await lookup.close()


@contextlib.asynccontextmanager
async def _open_service(settings: ServiceSettings) -> AsyncIterator[HttpEndpoints]:
    service = ServiceStandin(epoch=new_incarnation())
    service.delay_s = settings.delay_s
    yield HttpEndpoints(routes=service_routes(service))


@dataclass(frozen=True, kw_only=True)
class _Program:
    settings_type: type[Any]
    opener: Callable[[Any], AbstractAsyncContextManager[HttpEndpoints]]


_PROGRAMS = {
    "log": _Program(settings_type=LogSettings, opener=_open_log),
    "instances": _Program(settings_type=InstanceListSettings, opener=_open_instances),
    "weights": _Program(settings_type=WeightStoreSettings, opener=_open_weights),
    "engine": _Program(settings_type=EngineSettings, opener=_open_engine),
    "service": _Program(settings_type=ServiceSettings, opener=_open_service),
}

STANDIN_SETTINGS: dict[str, type[Any]] = {
    name: program.settings_type for name, program in _PROGRAMS.items()
}


def standin_command(
    name: Annotated[
        str, typer.Argument(help=f"The stand-in to run. One of: {', '.join(_PROGRAMS)}.")
    ],
    settings: Annotated[Path, typer.Option(help="YAML file with the settings.")],
    check: Annotated[bool, typer.Option(help="Check the settings and exit.")] = False,
) -> None:
    """Run a stand-in for the platform or a target."""
    program = _PROGRAMS.get(name)
    if program is None:
        raise typer.BadParameter(f"unknown stand-in {name!r}; use one of: {', '.join(_PROGRAMS)}")
    loaded = load_or_report(settings, program.settings_type)
    if loaded is None:
        raise typer.Exit(EXIT_BAD_SETTINGS)
    if check:
        return
    raise typer.Exit(run_program(lambda stopping: _serve(program, loaded, stopping)))


async def _serve(program: _Program, settings: Any, stopping: asyncio.Event) -> None:
    async with program.opener(settings) as endpoints:
        server = StandinServer(
            address=settings.http.address,
            bridge=LoopBridge(asyncio.get_running_loop()),
            routes=endpoints.routes,
            feeds=endpoints.feeds,
            threads=settings.http.threads,
        )
        server.start()
        await stopping.wait()
        await asyncio.to_thread(server.stop)


def main() -> None:
    """Run `python -m cicadatiller.standins`."""
    typer.run(standin_command)
