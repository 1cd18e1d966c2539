"""Reads the traffic of processes from the kernel's TCP counters."""

import re
import subprocess
from collections import defaultdict

SEGMENT_HEADER_BYTES = 52
_PID = re.compile(r"pid=(\d+)")
_COUNT = re.compile(r"(bytes_sent|bytes_received|segs_out|segs_in):(\d+)")


def read_connections(pids: set[int]) -> dict[tuple[int, int, int], int]:
    """Return the bytes of each open TCP connection by process id, local and remote port.

    Both directions count, including TCP and IP headers.
    """
    lines = subprocess.run(
        ("ss", "-tinHOp", "state", "established"), capture_output=True, text=True, check=True
    ).stdout.splitlines()
    found: dict[tuple[int, int, int], int] = {}
    for line in lines:
        owner = _PID.search(line)
        if owner is None or int(owner[1]) not in pids:
            continue
        local, remote = line.split()[2:4]
        counts = {name: int(value) for name, value in _COUNT.findall(line)}
        payload = counts.get("bytes_sent", 0) + counts.get("bytes_received", 0)
        segments = counts.get("segs_out", 0) + counts.get("segs_in", 0)
        key = (int(owner[1]), _port(local), _port(remote))
        found[key] = payload + SEGMENT_HEADER_BYTES * segments
    return found


def bytes_by_process(
    before: dict[tuple[int, int, int], int],
    after: dict[tuple[int, int, int], int],
    left_out: set[int],
) -> dict[int, int]:
    """Return the bytes of each process between two readings.

    Connections to the remote ports in `left_out` do not count.
    """
    totals: dict[int, int] = defaultdict(int)
    for key, count in after.items():
        if key[2] not in left_out:
            totals[key[0]] += count - before.get(key, 0)
    return totals


def _port(address: str) -> int:
    return int(address.rpartition(":")[2])
