"""BUDGET: entries that are killed together forget what they had used of the retry budget."""

import asyncio
import os
import random
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parents[1] / "lib-3"))
import standins  # noqa: E402
from standins import Worker, World, engine_service, play, route  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# A control: the connections are reset, and no entry is killed.
KILLS = os.environ.get("KILL", "1") != "0"
REQUESTS_PER_S = 40
CALM_S, RUN_S = 10.0, 26.0
# One entry of three (.35) has .55 of its connections to workers reset, each half second.
RESET_SHARE, RESET_INTERVAL_S = 0.55, 0.5
RATIO, SLACK, WINDOW_S = 0.2, 116, 10.0
standins.SETTINGS = standins.SETTINGS.replace("slack = 106", f"slack = {SLACK}")


class StreamingWorker(Worker):
    """A worker that knows its open streams."""

    def __init__(self, **options):
        super().__init__(**options)
        self.open = {}
        self.events, self.gap_s = 50, 0.08

    async def _stream(self, message, own, writer, crashes):
        request = message.headers["attempt-id"]
        self.open[request] = writer
        try:
            return await super()._stream(message, own, writer, crashes)
        finally:
            self.open.pop(request, None)


standins.Worker = StreamingWorker


async def generate(world, number):
    """Send one prompt."""
    headers = {
        "Model": "m",
        "Token-Counts": "1040,2600",
        "Prompt-Prefix": f"aa01:40,{number:08x}:1000",
    }
    await world.send(world.entries[number % 3], "POST", "/gen/x", headers=headers, body=b"x" * 100)


def reset_connections(world):
    """Reset a part of the connections of one entry to workers."""
    sent_to = {row["request"]: row["entry"] for row in world.record.find("sent")}
    entry = random.choice(world.entries).name
    count = 0
    for worker in world.workers:
        for request, writer in list(worker.open.items()):
            if sent_to.get(request) == entry and random.random() < RESET_SHARE:
                writer.transport.abort()
                count += 1
    world.record.add("reset", entry=entry, connections=count)


async def disturb(world):
    """Reset connections, kill all entries, and reset connections again."""
    await asyncio.sleep(CALM_S)
    for _ in range(10):
        reset_connections(world)
        await asyncio.sleep(RESET_INTERVAL_S)
    if KILLS:
        world.record.add("all entries are killed")
        for entry in world.entries:
            entry.signal(signal.SIGKILL)
        for entry in world.entries:
            entry.process.wait()
        await asyncio.sleep(0.3)
        for entry in world.entries:
            entry.start()
    await asyncio.sleep(1.5)
    for _ in range(12):
        reset_connections(world)
        await asyncio.sleep(RESET_INTERVAL_S)


async def main(keep):
    """Play the case; return the exit code and a summary."""
    streams = route("stream", "/gen/", "llm", stream_resume=True, gap_target_ms=200)
    world = World(
        HERE / "record.txt",
        entries=3,
        routes=[streams | {"session_affinity": True}],
        services=[engine_service("llm")],
        drain_ms=3000,
        contact_ms=4000,
    )
    keep(world)
    for _ in range(24):
        world.add_worker("llm")
    await world.start()
    tasks = [asyncio.create_task(disturb(world))] if TROUBLE else []
    for number in range(int(RUN_S * REQUESTS_PER_S)):
        tasks.append(asyncio.create_task(generate(world, number)))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*tasks)
    return verdict(world.record)


def verdict(record):
    """Return 1 if some window has more repeats than the rule allows."""
    sent_s = [row["at_s"] for row in record.find("sent")]
    reached, repeats_s = set(), []
    for row in record.find("reaches"):
        if row["request"] in reached:
            repeats_s.append(row["at_s"])
        reached.add(row["request"])
    worst = (float("-inf"), 0, 0.0)
    for begin in repeats_s:
        repeats = sum(begin <= at <= begin + WINDOW_S for at in repeats_s)
        starts = (begin, begin - WINDOW_S, begin - WINDOW_S / 2)
        requests = max(sum(start <= at <= start + WINDOW_S for at in sent_s) for start in starts)
        allowed = RATIO * requests + SLACK
        worst = max(worst, (repeats - allowed, repeats, allowed))
    code = 1 if worst[0] > 0 else 0
    return code, (
        f"{'BROKEN' if code else 'held'}: BUDGET: at most {worst[1]} repeats in {WINDOW_S:.0f} s, "
        f"allowed {worst[2]:.0f}; {len(repeats_s)} repeats in all"
    )


if __name__ == "__main__":
    play(main, HERE / "record.txt")
