"""Reads the CPU time and the memory of processes from /proc."""

import os
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
KIB = 1024


@dataclass(frozen=True, kw_only=True)
class ProcessReading:
    """CPU time and memory of a process at one time."""

    cpu_s: float
    rss_bytes: int


def read_process(pid: int) -> ProcessReading:
    """Return the CPU time and the resident memory of a process."""
    stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    cpu_s = (int(stat[11]) + int(stat[12])) / CLOCK_TICKS_PER_S
    rss = next(
        line for line in Path(f"/proc/{pid}/status").read_text().splitlines() if "VmRSS" in line
    )
    return ProcessReading(cpu_s=cpu_s, rss_bytes=int(rss.split()[1]) * KIB)


def read_processes(pids: dict[str, int]) -> dict[str, ProcessReading]:
    """Return the readings of several processes by name."""
    return {name: read_process(pid) for name, pid in pids.items()}


@dataclass(frozen=True, kw_only=True)
class Usage:
    """Mean and maximum resource use of a group of processes.

    Attributes:
        cpu_share: Mean share of one core.
        cpu_share_max: Largest share of one core.
        rss_mib: Mean resident memory.
        rss_mib_max: Largest resident memory.
    """

    cpu_share: float
    cpu_share_max: float
    rss_mib: float
    rss_mib_max: float


def usage_between(
    before: dict[str, ProcessReading],
    after: dict[str, ProcessReading],
    names: Iterable[str],
    span_s: float,
) -> Usage:
    """Return the resource use of the named processes between two readings."""
    chosen = [name for name in names if name in before and name in after]
    shares = [(after[name].cpu_s - before[name].cpu_s) / span_s for name in chosen]
    memory = [after[name].rss_bytes / KIB / KIB for name in chosen]
    return Usage(
        cpu_share=sum(shares) / len(shares),
        cpu_share_max=max(shares),
        rss_mib=sum(memory) / len(memory),
        rss_mib_max=max(memory),
    )
