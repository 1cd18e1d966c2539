"""BUDGET: a part that crashes workers is never found while one session sends the requests with it."""

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-3"))
from standins import CONTACT_S, World, engine_service, play, route  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# A control: the requests with the part are of a session each.
IS_ONE_SESSION = os.environ.get("SESSIONS", "one") == "one"
WORKERS = 12
RUN_S = 28.0
SOUND_INTERVAL_S = 0.1
# One request in fourteen has the part.
DEADLY_EVERY = 13
DEADLY_PART, SOUND_PART = "bad0", "50d0"
SESSION = 0x5E55
BACK_AFTER_S = 2.5
# The rule counts from `contact_ms` after this crash, and allows this many requests.
CRASHES = 5
ALLOWED = 3


async def revive(world):
    """Start each worker that has ended again, as a new run."""
    ended_s = {}
    while True:
        now_s = world.record.now()
        for worker in world.workers:
            if worker.is_up:
                ended_s.pop(worker.number, None)
            elif now_s - ended_s.setdefault(worker.number, now_s) >= BACK_AFTER_S:
                await worker.start()
        await asyncio.sleep(0.05)


async def generate(world, number, part):
    """Send one prompt; no two are alike. One with the part may be the next turn of its session."""
    is_deadly = part == DEADLY_PART
    session = SESSION if is_deadly and IS_ONE_SESSION else 0x10000 + number + is_deadly * 0x100000
    tokens = 1000 + number
    headers = {
        "Model": "m",
        "Token-Counts": f"{240 + tokens},600",
        "Prompt-Prefix": f"aa01:40,{part}:200,{session:08x}:{tokens}",
    }
    entry = world.entries[number % 2]
    body = b"turn %d of %d" % (number, session)
    await world.send(entry, "POST", "/gen/x", headers=headers, body=body)


async def main(keep):
    """Play the case; return the exit code and a summary."""
    streams = route("stream", "/gen/", "llm", stream_resume=True, gap_target_ms=250)
    world = World(
        HERE / "record.txt",
        entries=2,
        routes=[streams | {"session_affinity": True}],
        services=[engine_service("llm")],
    )
    keep(world)
    for _ in range(WORKERS):
        world.add_worker_process("llm", manner={"crash_after_events": 1}, deadly=f",{DEADLY_PART}:")
    await world.start()
    reviving = asyncio.create_task(revive(world))
    tasks = []
    for number in range(int(RUN_S / SOUND_INTERVAL_S)):
        tasks.append(asyncio.create_task(generate(world, number, SOUND_PART)))
        if TROUBLE and number % DEADLY_EVERY == DEADLY_EVERY - 1:
            tasks.append(asyncio.create_task(generate(world, number, DEADLY_PART)))
        await asyncio.sleep(SOUND_INTERVAL_S)
    await asyncio.gather(*tasks)
    reviving.cancel()
    return verdict(world.record)


def verdict(record):
    """Return 1 if more requests with the part reached workers than the rule allows."""
    crashed_s = [row["at_s"] for row in record.find("crashes under")]
    from_s = crashed_s[CRASHES - 1] + CONTACT_S if len(crashed_s) >= CRASHES else float("inf")
    reached = record.find("reaches")
    late = [r for r in reached if f",{DEADLY_PART}:" in r["part"] and r["at_s"] > from_s]
    deadly = {row["request"] for row in reached if f",{DEADLY_PART}:" in row["part"]}
    answers = [row for row in record.find("answered") if row["request"] not in deadly]
    cut = sum(not row["whole"] or row["status"] != 200 for row in answers)
    code = 1 if len(late) > ALLOWED else 0
    return code, (
        f"{'BROKEN' if code else 'held'}: BUDGET: {len(late)} requests with the part reached workers "
        f"later than {CONTACT_S:.0f} s after the fifth crash, allowed {ALLOWED}; "
        f"{len(crashed_s)} crashes; {cut} of {len(answers)} other requests not served or cut off"
    )


if __name__ == "__main__":
    play(main, HERE / "record.txt")
