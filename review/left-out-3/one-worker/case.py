"""BUDGET: a request that crashes the one worker of its service is sent to it again and again."""

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parents[1] / "lib-3"))
from standins import CONTACT_S, World, plain_service, play, route  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Controls: the worker starts again under a new id, or the service has more workers.
SAME_ID = os.environ.get("NEW_ID", "0") == "0"
WORKERS = int(os.environ.get("WORKERS", "1"))
RUN_S = 30.0
INTERVAL_S = 0.1
DEADLY_EVERY = 25
DEADLY_PATH = "/c/deadly"
BACK_AFTER_S = 1.5
# The rule counts from `contact_ms` after this crash, and allows this many requests.
CRASHES = 3
ALLOWED = 3


async def revive(world):
    """Start each worker that has ended again."""
    ended_s = {}
    while True:
        now_s = world.record.now()
        for worker in world.workers:
            if worker.is_up:
                ended_s.pop(worker.number, None)
            elif now_s - ended_s.setdefault(worker.number, now_s) >= BACK_AFTER_S:
                await worker.start(same_id=SAME_ID)
        await asyncio.sleep(0.05)


async def main(keep):
    """Play the case; return the exit code and a summary."""
    world = World(
        HERE / "record.txt",
        entries=2,
        routes=[route("unsafe", "/c/", "calls", max_attempts=1)],
        services=[plain_service("calls")],
    )
    keep(world)
    for _ in range(WORKERS):
        worker = world.add_worker("calls")
        worker.manner = {"crashes": lambda message: message.target == DEADLY_PATH}
    await world.start()
    reviving = asyncio.create_task(revive(world))
    tasks = []

    def send(entry, path, body):
        call = world.send(entry, "POST", path, body=body, timeout_s=2.5)
        tasks.append(asyncio.create_task(call))

    for number in range(int(RUN_S / INTERVAL_S)):
        send(world.entries[number % 2], "/c/x", b"%d" % number)
        if TROUBLE and number % DEADLY_EVERY == DEADLY_EVERY - 1:
            # The same path, caller and body, at any entry.
            send(world.entries[number // DEADLY_EVERY % 2], DEADLY_PATH, b"the same")
        await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(*tasks)
    reviving.cancel()
    return verdict(world.record)


def verdict(record):
    """Return 1 if the request reached workers more often than the rule allows."""
    crashed_s = [row["at_s"] for row in record.find("crashes under")]
    from_s = crashed_s[CRASHES - 1] + CONTACT_S if len(crashed_s) >= CRASHES else float("inf")
    reached = [row for row in record.find("reaches") if row["path"] == DEADLY_PATH]
    late = [row for row in reached if row["at_s"] > from_s]
    deadly = {row["request"] for row in record.find("sent") if row["path"] == DEADLY_PATH}
    answers = [row for row in record.find("answered") if row["request"] not in deadly]
    unserved = sum(row["status"] != 200 for row in answers)
    code = 1 if len(late) > ALLOWED else 0
    return code, (
        f"{'BROKEN' if code else 'held'}: BUDGET: the request reached the worker {len(late)} times "
        f"later than {CONTACT_S:.0f} s after the third crash, allowed {ALLOWED}; "
        f"{len(crashed_s)} crashes; {unserved} of {len(answers)} other requests not served"
    )


if __name__ == "__main__":
    play(main, HERE / "record.txt")
