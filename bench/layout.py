"""The layout of a fleet of the bench: ports, processes and their settings."""

import socket
import sys
from dataclasses import dataclass, field

from cicadatiller.config import hash_key

HOST = "127.0.0.1"
OPERATOR_KEY = "bench-operator-key"
PEER_SECRET = "bench-peer-secret"
DEPLOYMENT = "bench"
MODEL = "glacier"
VERSION = "v1"
SERVICE = "dispatch"
PACKAGES = {"entry": "rpc", "sidecar": "sidecar"}
HIGH_LIMITS = {
    "requests_per_s": 100_000.0,
    "prompt_tokens_per_s": 1e9,
    "concurrent_requests": 100_000,
}


@dataclass(frozen=True, kw_only=True)
class Layout:
    """The processes of a fleet, their ports and their settings.

    Attributes:
        engine_model: Constants of the emulated engines that differ from the defaults.
        entry_options: Additional settings of each entry.
        sidecar_options: Additional settings of each sidecar.
        workspace_options: Additional fields of each workspace; by default limits that are too
            high to be reached.
        workspaces: Number of workspaces; the key of each is its name with "-key" appended.
        one_way_s: One-way latency between data centres, added by `bench.latency`.
        preload: Module that entries and sidecars import first, e.g. to register a transport.
        options_by_name: Additional settings of single entries or sidecars, by process name.
    """

    entry_ports: tuple[int, ...]
    engine_ports: tuple[int, ...]
    engine_sidecar_ports: tuple[int, ...]
    service_ports: tuple[int, ...]
    service_sidecar_ports: tuple[int, ...]
    log_port: int
    instances_port: int
    weights_port: int
    data_centres: tuple[str, ...]
    workspaces: int = 1
    engine_model: dict[str, float] = field(default_factory=dict)
    entry_options: dict[str, object] = field(default_factory=dict)
    sidecar_options: dict[str, object] = field(default_factory=dict)
    workspace_options: dict[str, object] = field(default_factory=lambda: dict(HIGH_LIMITS))
    one_way_s: float = 0.0
    preload: str = ""
    options_by_name: dict[str, dict[str, object]] = field(default_factory=dict)

    def data_centre(self, number: int) -> str:
        """Return the data centre of the process with a number."""
        return self.data_centres[number % len(self.data_centres)]

    def entry_url(self, number: int) -> str:
        """Return the base URL of an entry."""
        return url_of(self.entry_ports[number])


@dataclass(frozen=True, kw_only=True)
class Program:
    """One process: its name, its command without `--settings`, its settings and data centre."""

    name: str
    command: tuple[str, ...]
    settings: dict[str, object]
    data_centre: str = ""


def plan(
    *,
    entries: int,
    engines: int,
    services: int,
    data_centres: tuple[str, ...],
    first_port: int = 0,
    **options: object,
) -> Layout:
    """Return a layout whose ports start at `first_port`, or are free ports if it is zero."""
    count = entries + 2 * engines + 2 * services + 3
    ports = list(range(first_port, first_port + count)) if first_port else _free_ports(count)
    allocate_ports = lambda number: tuple(ports.pop(0) for _ in range(number))  # noqa: E731
    return Layout(
        entry_ports=allocate_ports(entries),
        engine_ports=allocate_ports(engines),
        engine_sidecar_ports=allocate_ports(engines),
        service_ports=allocate_ports(services),
        service_sidecar_ports=allocate_ports(services),
        log_port=ports.pop(0),
        instances_port=ports.pop(0),
        weights_port=ports.pop(0),
        data_centres=data_centres,
        **options,
    )


def programs(layout: Layout) -> list[Program]:
    """Return every process of a layout, those of the platform first."""
    found = _platform_programs(layout)
    for number, port in enumerate(layout.engine_ports):
        found.append(engine_program(layout, number, port))
        found.append(_sidecar_program(layout, "engine", number))
    for number, port in enumerate(layout.service_ports):
        settings = {"http": {"address": f"{HOST}:{port}"}}
        found.append(_standin(f"service-{number}-target", "service", settings))
        found.append(_sidecar_program(layout, "service", number))
    found.extend(_entry_program(layout, number) for number in range(len(layout.entry_ports)))
    return found


def _platform_programs(layout: Layout) -> list[Program]:
    pollers = len(layout.entry_ports) + len(layout.engine_ports) + len(layout.service_ports)
    log_http = {"address": f"{HOST}:{layout.log_port}", "threads": 16 + 2 * pollers}
    list_http = {"address": f"{HOST}:{layout.instances_port}"}
    weights_http = {"address": f"{HOST}:{layout.weights_port}"}
    instances = {"http": list_http, "instances": list_instances(layout)}
    return [
        _standin("log", "log", {"http": log_http}),
        _standin("instances", "instances", instances),
        _standin("weights", "weights", {"http": weights_http}),
    ]


def _standin(name: str, kind: str, settings: dict[str, object]) -> Program:
    command = (sys.executable, "-m", "cicadatiller.standins", kind)
    return Program(name=name, command=command, settings=settings)


def engine_program(layout: Layout, number: int, port: int) -> Program:
    """Return the program of an engine stand-in."""
    settings = {"http": {"address": f"{HOST}:{port}"}, "model": layout.engine_model}
    return _standin(f"engine-{number}-target", "engine", settings)


def _platform_endpoints(layout: Layout) -> dict[str, object]:
    return {
        "log": {"url": url_of(layout.log_port)},
        "instances": {"url": url_of(layout.instances_port)},
        "peer_secret": {"value": PEER_SECRET},
    }


def _sidecar_program(layout: Layout, kind: str, number: int) -> Program:
    ports = layout.engine_ports if kind == "engine" else layout.service_ports
    own = layout.engine_sidecar_ports if kind == "engine" else layout.service_sidecar_ports
    settings = _platform_endpoints(layout) | {
        "name": f"{kind}-{number}",
        "address": f"{HOST}:{own[number]}",
        "deployment": DEPLOYMENT,
        "target": {"kind": kind, "endpoint": {"url": url_of(ports[number]), "threads": 16}},
        "weights": {"url": url_of(layout.weights_port)},
    }
    return _product_program(layout, f"{kind}-{number}", "sidecar", number, settings)


def _entry_program(layout: Layout, number: int) -> Program:
    settings = _platform_endpoints(layout) | {
        "name": f"entry-{number}",
        "data_centre": layout.data_centre(number),
        "http": {"address": f"{HOST}:{layout.entry_ports[number]}"},
        "bootstrap_key_hash": hash_key(OPERATOR_KEY),
        "seed": number,
        "balancer_delay_s": 0.0,
    }
    return _product_program(layout, f"entry-{number}", "entry", number, settings)


def _product_program(
    layout: Layout, name: str, kind: str, number: int, settings: dict[str, object]
) -> Program:
    program = f"from cicadatiller.{PACKAGES[kind]} import main; main()"
    if layout.preload:
        program = f"import {layout.preload}; {program}"
    options = layout.entry_options if kind == "entry" else layout.sidecar_options
    if layout.one_way_s:
        program = f"import bench.latency; {program}"
        options = options | {"transport": "bench-latency"}
    return Program(
        name=name,
        command=(sys.executable, "-c", program),
        settings=settings | options | layout.options_by_name.get(name, {}),
        data_centre=layout.data_centre(number),
    )


def list_instances(layout: Layout) -> list[dict[str, str]]:
    """Return the rows of the platform's instance list."""
    rows = [
        _instance(f"entry-{number}", "entry", layout.data_centre(number), port)
        for number, port in enumerate(layout.entry_ports)
    ]
    rows += [
        _instance(f"engine-{number}", "engine", layout.data_centre(number), port)
        for number, port in enumerate(layout.engine_sidecar_ports)
    ]
    rows += [
        _instance(f"service-{number}", "service", layout.data_centre(number), port)
        | {"service": SERVICE}
        for number, port in enumerate(layout.service_sidecar_ports)
    ]
    return rows


def _instance(name: str, kind: str, data_centre: str, port: int) -> dict[str, str]:
    return {
        "name": name,
        "kind": kind,
        "data_centre": data_centre,
        "deployment": "" if kind == "entry" else DEPLOYMENT,
        "address": f"{HOST}:{port}",
    }


def _free_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    try:
        for item in sockets:
            item.bind((HOST, 0))
        return [item.getsockname()[1] for item in sockets]
    finally:
        for item in sockets:
            item.close()


def url_of(port: int) -> str:
    """Return the base URL of a port."""
    return f"http://{HOST}:{port}"
