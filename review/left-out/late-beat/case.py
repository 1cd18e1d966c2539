"""A worker's beat gets no answer from the store and is executed after newer ones."""

import asyncio
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parents[1] / "lib"))

from rig import (
    CONTACT_S,
    DRAIN_S,
    Rig,
    has_trouble,
    headers,
    main,
    plain_service,
    route,
)  # noqa: E402
from web import ask  # noqa: E402
from workers import HEARTBEAT_S, TOPIC  # noqa: E402

SERVICE = "dispatch-app"
# The call without an answer is executed that much later; the pages allow 1 to 6 s.
LATE_S = 5.8
SLACK_S = 0.1


async def play(case: Path) -> str:
    rig = Rig(case, entries=3)
    try:
        stock = route("stock", "safe", SERVICE, timeout_ms=3000, target_latency_ms=125)
        rig.configure([stock], [plain_service(SERVICE)])
        workers = [rig.add_worker(f"i-{name}", SERVICE) for name in "abc"]
        await rig.start()
        leaving = workers[1]
        # The beats of this worker go on at the same interval, from a time that is known.
        leaving._beating.cancel()
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        lost = leaving.entry()
        rig.log.write("beat-without-answer", worker=leaving.worker_id, sequence=lost["sequence"])
        if has_trouble():
            loop.call_later(LATE_S, rig.store.append, TOPIC, leaving.worker_id, lost)
            loop.call_later(
                LATE_S,
                rig.log.write,
                "beat-executed-late",
                *(),
            )

        async def beat():
            next_s = began_s + LATE_S - 0.05 - 4 * HEARTBEAT_S
            while True:
                await asyncio.sleep(max(0.0, next_s - loop.time()))
                leaving.beat()
                rig.log.write("beat", state=leaving.state, sequence=leaving.sequence)
                next_s += HEARTBEAT_S

        leaving._beating = asyncio.create_task(beat())
        # The store has been without disruption for `contact_ms` when it is told of the leaving.
        await asyncio.sleep(CONTACT_S + 0.2)
        leaving.drain()
        acknowledged_s = rig.log.now()
        # The service is used little: nobody asks for some seconds, then a few do.
        await asyncio.sleep(began_s + LATE_S + 0.2 - loop.time())
        for turn in range(30):
            entry = rig.entries[turn % len(rig.entries)]
            request = f"check-{turn}"
            rig.log.write("sent", request=request, entry=entry.number)
            answer = await ask(entry.address, "GET", "/stock/1", headers(request, left_ms=3000))
            rig.log.write("answered", request=request, status=answer.status)
            await asyncio.sleep(0.04)
        late = [
            row["request"]
            for at_s, row in rig.log.find("reached", worker=leaving.worker_id)
            if at_s > acknowledged_s + DRAIN_S + SLACK_S
        ]
        print(f"{len(late)} requests reached {leaving.worker_id} more than {DRAIN_S} s after")
        return f"DRAIN: {len(late)} requests" if late else ""
    finally:
        rig.close()


if __name__ == "__main__":
    main(play, CASE)
