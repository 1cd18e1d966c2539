"""Measures the messages, bytes and propagation time of a change: `python -m bench.config_fanout`.

All figures are deterministic: 4 entries and 39 sidecars run as tasks of one event loop with a
virtual clock.
"""

import asyncio
import json
import statistics
from collections import Counter
from dataclasses import asdict, dataclass
from pathlib import Path

from cicadatiller.channels import decode
from tests.support import PausedLoop
from tests.support.configuration import change, edit
from tests.support.spread import PartitionableFleet

RESULT = Path(__file__).parent / "results" / "config_fanout.json"
ENTRIES = 4
ENGINES = 38
CHANGES = 20
GAP_S = 15.0
POLL_S = 0.01
WORKSPACE = {"deployment": "north", "key_hashes": []}
PARTITIONED_NODES = ("entry-0", *(f"engine-{number}" for number in range(5)))
CONTROL_KINDS = ("ConfigRecords", "FollowConfig", "Ping", "Pong")


@dataclass(frozen=True, kw_only=True)
class Variant:
    """One way of propagating changes from entries to sidecars.

    Attributes:
        follows_only: Whether an entry sends changes at once only to the sidecars that follow it.
        cut: Whether `PARTITIONED_NODES` lack access to the log.
    """

    name: str
    follows_only: bool
    cut: bool = False


VARIANTS = (
    Variant(name="every entry sends", follows_only=False),
    Variant(name="followed entry sends", follows_only=True),
    Variant(name="every entry sends, cut", follows_only=False, cut=True),
    Variant(name="followed entry sends, cut", follows_only=True, cut=True),
)


class FrameCounter:
    """Counts control frames and their bytes by message type."""

    def __init__(self) -> None:
        self.messages: Counter[str] = Counter()
        self.size_bytes: Counter[str] = Counter()

    def count_frame(self, source: str, destination: str, frame: bytes) -> list[bytes]:
        """Count a frame and return it unchanged."""
        kind = type(decode(frame)).__name__
        if kind in CONTROL_KINDS:
            self.messages[kind] += 1
            self.size_bytes[kind] += len(frame)
        return [frame]


class LargeFleet(PartitionableFleet):
    """A fleet in which an entry is not connected to all targets."""

    def _ready(self, entry: object) -> bool:
        return len(entry.view.targets()) == len(self.sidecars)  # type: ignore[attr-defined]


async def measure(variant: Variant) -> dict[str, object]:
    """Return the figures of one variant, without the control traffic of an idle fleet."""
    async with LargeFleet(engines=ENGINES, entries=ENTRIES) as fleet:
        for entry in fleet.entries:
            entry.pool.pusher.follows_only = variant.follows_only
        for name in PARTITIONED_NODES if variant.cut else ():
            fleet.partitionable_logs[name].cut = True
        await asyncio.sleep(30)
        idle = await _observe(fleet, 0)
        busy = await _observe(fleet, CHANGES)
    messages = {
        kind: (busy.frames.messages[kind] - idle.frames.messages[kind]) / CHANGES
        for kind in CONTROL_KINDS
    }
    size_bytes = {
        kind: (busy.frames.size_bytes[kind] - idle.frames.size_bytes[kind]) / CHANGES
        for kind in CONTROL_KINDS
    }
    return {
        **asdict(variant),
        "messages_per_change": messages,
        "bytes_per_change": size_bytes,
        "total_messages_per_change": sum(messages.values()),
        "total_bytes_per_change": sum(size_bytes.values()),
        "in_force_p50_s": round(statistics.median(busy.propagation_s), 3),
        "in_force_max_s": round(max(busy.propagation_s), 3),
        "log_reads_per_s": round(busy.log_reads / (CHANGES * GAP_S), 2),
    }


@dataclass
class Observations:
    """The observations of one measurement period."""

    frames: FrameCounter
    propagation_s: list[float]
    log_reads: int


async def _observe(fleet: PartitionableFleet, changes: int) -> Observations:
    counter = FrameCounter()
    fleet.network.filter = counter.count_frame
    reads = fleet.log_reads()
    propagation_s = []
    loop = asyncio.get_running_loop()
    for number in range(CHANGES):
        end_s = loop.time() + GAP_S
        if number < changes:
            propagation_s.append(await _propagate_change(fleet, number))
        await asyncio.sleep(end_s - loop.time())
    fleet.network.filter = None
    return Observations(
        frames=counter, propagation_s=propagation_s, log_reads=fleet.log_reads() - reads
    )


async def _propagate_change(fleet: PartitionableFleet, number: int) -> float:
    """Publish a change that needs no engine order; return the seconds until every node has it."""
    content = change(
        f"bench{number}", edit("workspace", "bench", WORKSPACE | {"weight": number + 1})
    )
    entry = await fleet.entries[1].operators.apply(content, timeout_s=5)
    if not entry.accepted:
        raise RuntimeError(f"the change was rejected: {entry.message}")
    start_s = asyncio.get_running_loop().time()
    async with asyncio.timeout(GAP_S):
        while any(store.state.offset < entry.offset for store in fleet.stores()):
            await asyncio.sleep(POLL_S)
    return asyncio.get_running_loop().time() - start_s


def main() -> None:
    results = []
    for variant in VARIANTS:
        loop = PausedLoop()
        asyncio.set_event_loop(loop)
        results.append(loop.run_until_complete(measure(variant)))
        loop.close()
        print(json.dumps(results[-1]), flush=True)
    RESULT.parent.mkdir(exist_ok=True)
    body = {"entries": ENTRIES, "sidecars": ENGINES + 1, "changes": CHANGES, "variants": results}
    RESULT.write_text(json.dumps(body, indent=2) + "\n")


if __name__ == "__main__":
    main()
