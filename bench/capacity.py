"""Writes the tables of docs/CAPACITY.md from `bench/results`.

`python -m bench.capacity` rewrites the text between the table markers of the page. A test compares
the page with the committed results.
"""

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from cicadatiller.entry._peers import (
    MAX_IDLE_PING_S,
    MIN_IDLE_PING_S,
    PING_BYTES_PER_S,
    PING_JITTER,
    PING_SIZE_BYTES,
)
from cicadatiller.membership._subset import SUBSET_SIZE

ROOT = Path(__file__).parent.parent
RESULTS = ROOT / "bench" / "results"
PAGE = ROOT / "docs" / "CAPACITY.md"
MEGABYTE = 1_000_000
MIB = 1024 * 1024
DAY_S = 86_400.0
NOT_MEASURED = "not measured"


@dataclass(frozen=True, kw_only=True)
class TargetSize:
    """The deployment size that the system is designed for, and the limits for control traffic.

    Attributes:
        pools: Number of target pools: one of workers for each model, and one of services.
        list_transitions: Changes of the instance list for each instance that fails or restarts:
            leaving, gone, back.
    """

    entries: int = 360
    workers: int = 1000
    requests_per_s: float = 3600.0
    tokens_per_s: float = 1_400_000.0
    pools: int = 4
    workspaces: int = 14_000
    changes_per_day: int = 3800
    instance_changes_per_day: int = 425
    list_transitions: int = 3
    core_share: float = 0.027
    memory_bytes: float = 64e6
    bytes_per_s: float = 4000.0


TARGET_SIZE = TargetSize()


def load_results() -> dict[str, Any]:
    """Return the committed results by name; missing files are skipped."""
    names = ("slopes", "relay_speed", "config_scale", "config_fanout", "list_size")
    paths = {name: RESULTS / f"{name}.json" for name in names}
    return {name: json.loads(p.read_text()) for name, p in paths.items() if p.exists()}


def fit_line(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Return the intercept and the slope of the least-squares line through points."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return mean_y - slope * mean_x, slope


def idle_table(results: dict[str, Any]) -> list[list[str]]:
    """Return the measured resource use of idle nodes."""
    rows = [["entries", "sidecars", "workspaces", "role", "core", "memory MB", "bytes/s"]]
    for point in results["slopes"]["points"]:
        for role in ("entry", "sidecar"):
            use = point[role]
            rows.append(
                [
                    str(point["entries"]),
                    str(point["sidecars"]),
                    str(point["workspaces"]),
                    role,
                    f"{100 * use['core_share']:.2f}%",
                    f"{use['rss_mib'] * MIB / MEGABYTE:.1f}",
                    f"{use['bytes_per_s']:,.0f}",
                ]
            )
    return rows


def slope_table(results: dict[str, Any]) -> list[list[str]]:
    """Return the resource use that one more entry, sidecar or workspace adds to an idle node."""
    rows = [["role", "per", "core", "memory KB", "bytes/s"]]
    for role in ("entry", "sidecar"):
        for axis in ("entries", "sidecars", "workspaces"):
            slopes = [slope_of(results, role, axis, field) for field in FIELDS]
            rows.append(
                [
                    role,
                    axis[:-1] if axis != "entries" else "entry",
                    f"{100 * slopes[0]:.4f}%",
                    f"{slopes[1] * MIB / 1000:.1f}",
                    f"{slopes[2]:.1f}",
                ]
            )
    return rows


FIELDS = ("core_share", "rss_mib", "bytes_per_s")
_AXES = ("entries", "sidecars", "workspaces")


def slope_of(results: dict[str, Any], role: str, axis: str, field: str) -> float:
    """Return the slope of a figure along one axis; the other axes stay as in the first point."""
    points = results["slopes"]["points"]
    first = points[0]
    others = [name for name in _AXES if name != axis]
    chosen = [p for p in points if all(p[name] == first[name] for name in others)]
    return fit_line([(p[axis], p[role][field]) for p in chosen])[1]


def target_table(results: dict[str, Any]) -> list[list[str]]:
    """Return a node's resource use for control at the target size, and the limits."""
    rows = [["role", "what", "idle, smallest fleet", "more peers", "rest", "sum", "limit"]]
    for role, peers in (("entry", _entry_peers()), ("sidecar", _sidecar_peers())):
        rows.append(_core_row(results, role, peers))
        rows.append(_memory_row(results, role, peers))
        rows.append(_bytes_row(results, role, peers))
    return rows


def _core_row(results: dict[str, Any], role: str, peers: int) -> list[str]:
    idle = 100 * results["slopes"]["points"][0][role]["core_share"]
    more = 100 * _ping_cost(results, "core_share") * _added_pings_per_s(results, role, peers)
    rest = 100 * _change_core_share(results)
    parts = [f"{part:.2f}%" for part in (idle, more, rest, idle + more + rest)]
    return [role, "core", *parts, f"{100 * TARGET_SIZE.core_share:.1f}%"]


def _memory_row(results: dict[str, Any], role: str, peers: int) -> list[str]:
    first, axis = results["slopes"]["points"][0], _peer_axis(role)
    idle = first[role]["rss_mib"] * MIB
    more = (peers - first[axis]) * MIB * max(0.0, slope_of(results, role, axis, "rss_mib"))
    rest = _configuration_bytes(results)
    parts = [f"{part / MEGABYTE:.1f} MB" for part in (idle, more, rest, idle + more + rest)]
    return [role, "memory", *parts, f"{TARGET_SIZE.memory_bytes / MEGABYTE:.0f} MB"]


def _bytes_row(results: dict[str, Any], role: str, peers: int) -> list[str]:
    idle = results["slopes"]["points"][0][role]["bytes_per_s"]
    more = _ping_cost(results, "bytes_per_s") * _added_pings_per_s(results, role, peers)
    rest = _list_bytes_per_s(results) + _change_bytes_per_s(results)
    parts = [f"{part:,.0f}" for part in (idle, more, rest, idle + more + rest)]
    return [role, "bytes/s", *parts, f"{TARGET_SIZE.bytes_per_s:,.0f}"]


def _peer_axis(role: str) -> str:
    return "sidecars" if role == "entry" else "entries"


def _ping_cost(results: dict[str, Any], field: str) -> float:
    """Return the cost of an idle ping and its pong, from a sidecar's slope over the entries."""
    first = results["slopes"]["points"][0]
    slope = slope_of(results, "sidecar", "entries", field)
    return max(0.0, slope) * ping_interval_s(first["sidecars"])


def _added_pings_per_s(results: dict[str, Any], role: str, peers: int) -> float:
    first = results["slopes"]["points"][0]
    at_target = peers / ping_interval_s(_entry_peers())
    return at_target - first[_peer_axis(role)] / ping_interval_s(first["sidecars"])


def ping_interval_s(peers: int) -> float:
    """Return the mean interval of an entry's idle pings to one sidecar."""
    wanted_s = peers * PING_SIZE_BYTES / PING_BYTES_PER_S
    longest_s = min(MAX_IDLE_PING_S, max(MIN_IDLE_PING_S, wanted_s))
    return longest_s * (1 - PING_JITTER / 2)


def _entry_peers() -> int:
    return TARGET_SIZE.pools * SUBSET_SIZE


def _sidecar_peers() -> int:
    return round(TARGET_SIZE.entries * (TARGET_SIZE.pools - 1) * SUBSET_SIZE / TARGET_SIZE.workers)


def _configuration_bytes(results: dict[str, Any]) -> float:
    return float(results["config_scale"]["state"]["memory_objects_bytes"])


def _change_core_share(results: dict[str, Any]) -> float:
    fold_s = results["config_scale"]["state"]["fold_one_change_p50_ms"] / 1000
    return float(fold_s * TARGET_SIZE.changes_per_day / DAY_S)


def _list_bytes_per_s(results: dict[str, Any]) -> float:
    size = results["list_size"]["gzip_bytes"]
    changes = TARGET_SIZE.instance_changes_per_day * TARGET_SIZE.list_transitions
    return float(size * changes / DAY_S)


def _change_bytes_per_s(results: dict[str, Any]) -> float:
    fanout = next(
        v for v in results["config_fanout"]["variants"] if v["name"] == "followed entry sends"
    )
    per_sidecar = fanout["total_bytes_per_change"] / results["config_fanout"]["sidecars"]
    return float(per_sidecar * TARGET_SIZE.changes_per_day / DAY_S)


def token_table(results: dict[str, Any]) -> list[list[str]]:
    """Return the rates at which tokens were relayed, and their CPU cost."""
    rows = [
        [
            "run",
            "offered tokens/s",
            "relayed",
            "gap p95 ms",
            "entry CPU-s per 1,000",
            "sidecars CPU-s per 1,000",
            "entry : sidecars",
        ]
    ]
    for name, run in results["relay_speed"]["rates"].items():
        rows.append(
            [
                name,
                f"{run['offered_tokens_per_s']:,.0f}",
                f"{run['tokens_per_s']:,}",
                f"{run['gap_p95_ms']}",
                f"{run['cpu_s_per_1000_tokens']['entry']:.3f}",
                f"{run['cpu_s_per_1000_tokens']['sidecar']:.3f}",
                f"{run['entry_to_sidecar_cpu']}",
            ]
        )
    return rows


def latency_table(results: dict[str, Any]) -> list[list[str]]:
    """Return the time to first token through the system and at a bare engine."""
    latency = results["relay_speed"]["latency"]
    rows = [["quantile", "bare engine ms", "through entry and sidecar ms", "added ms", "bound ms"]]
    for quantile, bound in (("p50", ""), ("p95", "5")):
        values = latency[f"first_token_{quantile}_ms"]
        added = latency[f"added_{quantile}_ms"]
        rows.append([quantile, str(values["direct"]), str(values["system"]), str(added), bound])
    return rows


def log_table(results: dict[str, Any]) -> list[list[str]]:
    """Return the append rate of each stream at the target size."""
    day = results["config_scale"]["day"]
    state = results["config_scale"]["state"]
    rows = [["stream", "appends/s", "state", "bound"]]
    rows.append(
        [
            "configuration",
            f"{day['appends_per_s_mean']:.3f} mean, {day['appends_per_s_max']} most",
            f"snapshot {state['snapshot_bytes'] / MEGABYTE:.2f} MB in "
            f"{state['snapshot_records']} records, read back in {state['restore_snapshot_s']} s",
            "several hundred a second in all",
        ]
    )
    rows.append(["claims", "200 at most, shared by the entries", "one batch each", "the same"])
    fences = TARGET_SIZE.instance_changes_per_day / DAY_S
    rows.append(["fences of sidecars", f"{fences:.4f} mean", "one record a start", "the same"])
    return rows


TABLES = {
    "idle": idle_table,
    "slopes": slope_table,
    "target": target_table,
    "tokens": token_table,
    "latency": latency_table,
    "log": log_table,
}
_REQUIRED_RESULTS = {
    "idle": ("slopes",),
    "slopes": ("slopes",),
    "target": ("slopes", "config_scale", "config_fanout", "list_size"),
    "tokens": ("relay_speed",),
    "latency": ("relay_speed",),
    "log": ("config_scale",),
}


def render(page: str, results: dict[str, Any]) -> str:
    """Return the page with each table computed again.

    Raises:
        ValueError: If the page lacks the markers of a table.
    """
    for name, make in TABLES.items():
        begin, end = f"<!-- table {name} -->\n", f"<!-- end {name} -->"
        head, found, rest = page.partition(begin)
        _, closed, tail = rest.partition(end)
        if not found or not closed:
            raise ValueError(
                f"the page lacks the markers of table {name!r}: add {begin!r} and {end!r}"
            )
        has_results = all(result in results for result in _REQUIRED_RESULTS[name])
        table = _markdown(make(results)) if has_results else f"{NOT_MEASURED}\n"
        page = f"{head}{begin}{table}{end}{tail}"
    return page


def _markdown(rows: list[list[str]]) -> str:
    lines = [rows[0], ["---"] * len(rows[0]), *rows[1:]]
    return "".join(f"| {' | '.join(cells)} |\n" for cells in lines)


def main() -> None:
    """Rewrite the tables of the page."""
    PAGE.write_text(render(PAGE.read_text(), load_results()))


if __name__ == "__main__":
    main()
