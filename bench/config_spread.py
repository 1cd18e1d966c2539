"""Measures how fast real processes apply a configuration change: `python -m bench.config_spread`.

A fleet of the deployment's current size runs on loopback. Changes go through the operator RPC of
`entry-0`. An entry has applied a change once its `Status` has the change's offset. A sidecar has
applied it once an entry's `Status` reports the offset, or at the time of the sidecar's own log
event if that is earlier: sidecars report offsets with heartbeats, which may be seconds late.
"""

import json
import statistics
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any

import typer

from bench import fleet
from bench.layout import HIGH_LIMITS
from bench.relay import Relay
from cicadatiller.kernel import Event
from cicadatiller.rpc._generated.cicadatiller.v1 import operators_pb
from cicadatiller.rpc._generated.cicadatiller.v1.operators_connect import OperatorServiceClientSync

RESULT = Path(__file__).parent / "results" / "config_spread.json"
DATA_CENTRES = ("heredia-hall", "cartago-hall", "alajuela-hall")
ENTRIES = 3
ENGINES = 16
SERVICES = 3
CHANGES = 20
BOUND_LOG_UP_S = 5.0
BOUND_CUT_S = 15.0
GIVE_UP_S = 40.0
POLL_S = 0.1
SETTLE_S = 15.0
IDLE_SPAN_S = 30.0
STOP_TIMEOUT_S = 60.0
PARTITIONED_NODES = ("entry-2", "engine-0", "engine-1", "engine-2", "engine-3", "service-0")
HEADERS = {"authorization": f"Bearer {fleet.OPERATOR_KEY}"}


@dataclass(kw_only=True)
class Propagation:
    """When the nodes applied one change.

    Attributes:
        accepted_s: Wall-clock time at which the change was accepted.
        in_force_s: Seconds from then until each node had applied it.
        reported_s: Seconds from then until the `Status` of any entry reported it, for each node.
    """

    accepted_s: float
    offset: int
    in_force_s: dict[str, float] = field(default_factory=dict)
    reported_s: dict[str, float] = field(default_factory=dict)


class SidecarLogs:
    """Reads from the logs of sidecars when they applied an offset."""

    def __init__(self, directory: Path, names: list[str]) -> None:
        self._paths = {name: directory / f"{name}.log" for name in names}

    def receive_times(self, offset: int) -> dict[str, float]:
        """Return the wall-clock time at which each sidecar got an offset from a peer, if it did."""
        found = {}
        for name, path in self._paths.items():
            for line in path.read_text().splitlines():
                row = _parse(line)
                if row.get("number") != Event.CONFIG_FROM_PEER.number or row["offset"] < offset:
                    continue
                found[name] = row["timestamp"]
                break
        return found


def _parse(line: str) -> dict[str, Any]:
    try:
        row = json.loads(line)
    except ValueError:
        return {}
    return row if isinstance(row, dict) else {}


class Operator:
    """Publishes changes and polls the `Status` of every entry for their offsets."""

    def __init__(self, layout: fleet.Layout, directory: Path) -> None:
        self._clients = [
            OperatorServiceClientSync(layout.entry_url(number), timeout_ms=5000)
            for number in range(len(layout.entry_ports))
        ]
        self._entries = [f"entry-{number}" for number in range(len(layout.entry_ports))]
        sidecars = [f"engine-{number}" for number in range(len(layout.engine_ports))]
        sidecars += [f"service-{number}" for number in range(len(layout.service_ports))]
        self.nodes = set(self._entries) | set(sidecars)
        self._logs = SidecarLogs(directory, sidecars)
        self._pool = ThreadPoolExecutor(len(self._clients))

    def publish(self, label: str) -> Propagation:
        """Publish one change and wait until every node reports it, at most for `GIVE_UP_S`.

        Raises:
            RuntimeError: If the change is rejected.
        """
        body = {"deployment": fleet.DEPLOYMENT, "key_hashes": []} | HIGH_LIMITS
        change = operators_pb.ObjectChange(
            kind="workspace", name=f"spread-{label}", body_json=json.dumps(body)
        )
        request = operators_pb.ApplyRequest(change_id=label, reason="bench", changes=[change])
        reply = self._clients[0].apply(request, headers=HEADERS)
        if reply.verdict != operators_pb.Verdict.ACCEPTED:
            raise RuntimeError(f"the change was rejected: {reply.message}")
        propagation = Propagation(accepted_s=time.time(), offset=reply.offset)
        self._poll_status(propagation)
        return propagation

    def check_partition(self) -> None:
        """Check that the partitioned entries, and only they, report the log as unreachable.

        Raises:
            RuntimeError: If an entry reports otherwise.
        """
        for name, client in zip(self._entries, self._clients, strict=True):
            if self._status(client).log_reachable == (name in PARTITIONED_NODES):
                raise RuntimeError(
                    f"{name} reports a wrong `log_reachable`; "
                    f"only {PARTITIONED_NODES} must lack access to the log"
                )

    def _poll_status(self, propagation: Propagation) -> None:
        while time.time() - propagation.accepted_s < GIVE_UP_S:
            for status in self._pool.map(self._status, self._clients):
                self._record_status(propagation, status)
            if set(propagation.reported_s) >= self.nodes:
                break
            time.sleep(POLL_S)
        propagation.in_force_s = dict(propagation.reported_s)
        for name, at_s in self._logs.receive_times(propagation.offset).items():
            seconds = max(0.0, at_s - propagation.accepted_s)
            propagation.in_force_s[name] = min(seconds, propagation.in_force_s.get(name, seconds))
        missing = self.nodes - set(propagation.in_force_s)
        propagation.in_force_s |= dict.fromkeys(missing, GIVE_UP_S)

    def _status(self, client: OperatorServiceClientSync) -> operators_pb.StatusResponse:
        return client.status(operators_pb.StatusRequest(), headers=HEADERS)

    def _record_status(self, propagation: Propagation, status: operators_pb.StatusResponse) -> None:
        seconds = time.time() - propagation.accepted_s
        if status.config_offset >= propagation.offset:
            propagation.reported_s.setdefault(status.entry, seconds)
        for target in status.targets:
            if target.config_offset >= propagation.offset:
                propagation.reported_s.setdefault(target.target, seconds)


def summarise(propagations: list[Propagation], bound_s: float) -> dict[str, Any]:
    """Return the figures of a series of changes."""
    slowest = [max(propagation.in_force_s.values()) for propagation in propagations]
    node_delays_s = [
        seconds for propagation in propagations for seconds in propagation.in_force_s.values()
    ]
    reported = [max(propagation.reported_s.values()) for propagation in propagations]
    slowest_nodes = [max(s.in_force_s, key=lambda n: s.in_force_s[n]) for s in propagations]
    return {
        "changes": len(propagations),
        "bound_s": bound_s,
        "every_node_p50_s": round(statistics.median(slowest), 3),
        "every_node_max_s": round(max(slowest), 3),
        "one_node_p50_s": round(statistics.median(node_delays_s), 3),
        "within_bound": max(slowest) <= bound_s,
        "reported_p50_s": round(statistics.median(reported), 3),
        "reported_max_s": round(max(reported), 3),
        "slowest_nodes": {name: slowest_nodes.count(name) for name in sorted(set(slowest_nodes))},
    }


def measure(first_port: int, changes: int) -> dict[str, Any]:
    """Run the fleet and return the figures with and without access to the log."""
    relays_port, first_port = first_port, first_port + 2
    layout = fleet.plan(
        entries=ENTRIES,
        engines=ENGINES,
        services=SERVICES,
        data_centres=DATA_CENTRES,
        first_port=first_port,
        workspaces=10,
    )
    whole = Relay(host=fleet.HOST, port=relays_port, target_port=layout.log_port)
    partitionable = Relay(host=fleet.HOST, port=relays_port + 1, target_port=layout.log_port)
    for number, relay in enumerate((whole, partitionable)):
        relay.start()
        url = f"http://{fleet.HOST}:{relays_port + number}"
        names = PARTITIONED_NODES if relay is partitionable else _connected_nodes(layout)
        layout.options_by_name.update({name: {"log": {"url": url}} for name in names})
    try:
        return _measure_fleet(layout, whole, partitionable, changes)
    finally:
        whole.close()
        partitionable.close()


def _connected_nodes(layout: fleet.Layout) -> list[str]:
    names = [f"entry-{number}" for number in range(len(layout.entry_ports))]
    names += [f"engine-{number}" for number in range(len(layout.engine_ports))]
    names += [f"service-{number}" for number in range(len(layout.service_ports))]
    return [name for name in names if name not in PARTITIONED_NODES]


def _measure_fleet(
    layout: fleet.Layout, whole: Relay, partitionable: Relay, changes: int
) -> dict[str, Any]:
    with tempfile.TemporaryDirectory() as name:
        directory = Path(name)
        fleet.start(layout, directory)
        try:
            fleet.publish(layout)
            time.sleep(SETTLE_S)
            reads_per_s = _count_reads(whole, partitionable)
            operator = Operator(layout, directory)
            up = [operator.publish(f"up-{number}") for number in range(changes)]
            partitionable.cut = True
            time.sleep(SETTLE_S)
            operator.check_partition()
            cut = [operator.publish(f"cut-{number}") for number in range(changes)]
        finally:
            fleet.stop(directory, timeout_s=STOP_TIMEOUT_S)
    return {
        "entries": ENTRIES,
        "engines": ENGINES,
        "services": SERVICES,
        "idle_log_reads_per_s": round(reads_per_s, 2),
        "log_up": summarise(up, BOUND_LOG_UP_S),
        "cut_nodes": list(PARTITIONED_NODES),
        "cut": summarise(cut, BOUND_CUT_S),
    }


def _count_reads(*relays: Relay) -> float:
    before, start_s = sum(relay.reads for relay in relays), time.monotonic()
    time.sleep(IDLE_SPAN_S)
    reads = sum(relay.reads for relay in relays) - before
    return reads / (time.monotonic() - start_s)


def main(
    first_port: Annotated[int, typer.Option(help="First of about 50 ports.")] = 21000,
    changes: Annotated[
        int, typer.Option(help="Number of changes in each of the two series.")
    ] = CHANGES,
    output: Annotated[Path, typer.Option(help="File for the result.")] = RESULT,
) -> None:
    """Measure, print and write the result."""
    result = measure(first_port, changes)
    output.write_text(json.dumps(result, indent=2) + "\n")
    typer.echo(json.dumps(result, indent=2))


if __name__ == "__main__":
    typer.run(main)
