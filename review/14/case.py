"""LIMIT: a worker whose Server-Limit varies from answer to answer gets far more than it takes."""

import asyncio
import itertools
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-3"))
from standins import CONTACT_S, World, plain_service, play, route  # noqa: E402

# Without the trouble the worker states one limit all the time.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMITS = (4.0, 3.9, 3.8, 3.9) if TROUBLE else (4.0,)
WORKERS = 3
REQUESTS_PER_S = 50
CALM_S, NEED_S = 2.0, 14.0
WINDOW_S = 4.0
# By the highest limit that the worker ever names.
ALLOWED = 1.5 * max(LIMITS) * WINDOW_S + 5


async def main(keep):
    """Play the case; return the exit code and a summary."""
    world = World(
        HERE / "record.txt",
        entries=2,
        routes=[route("safe", "/c/", "calls")],
        services=[plain_service("calls")],
    )
    keep(world)
    for _ in range(WORKERS):
        world.add_worker("calls", work_s=0.06)
    needy = world.workers[0]
    limits = itertools.cycle(LIMITS)

    def state_limit(message):
        limit = next(limits)
        world.record.add("states", worker=needy.instance, limit=limit)
        return [("Server-Limit", f"{limit:.1f}")]

    await world.start()
    tasks = []
    for number in range(int((CALM_S + NEED_S) * REQUESTS_PER_S)):
        if number == int(CALM_S * REQUESTS_PER_S):
            needy.manner = {"headers": state_limit}
        entry = world.entries[number % 2]
        tasks.append(asyncio.create_task(world.send(entry, "GET", "/c/x", timeout_s=2.5)))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*tasks)
    return verdict(world.record, needy.instance)


def verdict(record, worker):
    """Return 1 if the worker got more in some window than the rule allows."""
    stated = record.find("states")
    if not stated:
        return 2, "could not run: the worker got no request while it was in need"
    from_s = stated[0]["at_s"] + CONTACT_S
    at_s = [row["at_s"] for row in record.find("reaches") if row["worker"] == worker]
    at_s = [when for when in at_s if when > from_s]
    most = max((sum(b <= a <= b + WINDOW_S for a in at_s) for b in at_s), default=0)
    code = 1 if most > ALLOWED else 0
    return code, (
        f"{'BROKEN' if code else 'held'}: LIMIT: the worker that named limits of {min(LIMITS)} to "
        f"{max(LIMITS)} a second got {most} requests in {WINDOW_S:.0f} s; allowed {ALLOWED:.0f}"
    )


if __name__ == "__main__":
    play(main, HERE / "record.txt")
