"""Another writer leaves an entry that can't be read beside those of the workers."""

import asyncio
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib"))

from rig import DRAIN_S, Rig, has_trouble, headers, main, plain_service, route  # noqa: E402
from web import ask  # noqa: E402

SERVICE = "dispatch-app"
UNREADABLE = b"[" * 100_000
PER_ENTRY = 12
# Less than this beyond the bound is not held against the system.
SLACK_S = 0.1


async def send_some(rig: Rig, phase: str, per_entry: int) -> int:
    """Send requests to all entries at the same time; return how many succeeded."""

    async def send(entry, number):
        request = f"{phase}-{entry.number}-{number}"
        rig.log.write("sent", request=request, entry=entry.number)
        answer = await ask(entry.address, "GET", "/stock/1", headers(request, left_ms=3000))
        rig.log.write("answered", request=request, status=answer.status)
        return answer.status == 200

    calls = [send(entry, number) for entry in rig.entries for number in range(per_entry)]
    return sum(await asyncio.gather(*calls))


async def play(case: Path) -> str:
    rig = Rig(case, entries=2)
    try:
        stock = route("stock", "safe", SERVICE, timeout_ms=3000, target_latency_ms=125)
        rig.configure([stock], [plain_service(SERVICE)])
        workers = [rig.add_worker(f"i-{name}", SERVICE) for name in "abcdefgh"]
        for worker in workers:
            worker.work_s = lambda message: 0.3
        await rig.start()
        before = await send_some(rig, "before", PER_ENTRY)
        if has_trouble():
            rig.store.append("keyed.servers", "i-0", UNREADABLE)
            rig.log.write("forged", key="i-0", bytes=len(UNREADABLE))
        await asyncio.sleep(3.0)
        leaving = workers[1]
        leaving.drain()
        acknowledged_s = rig.log.now()
        await asyncio.sleep(DRAIN_S + 0.7)
        after = await send_some(rig, "after", PER_ENTRY)
        late = [
            (at_s, row["request"])
            for at_s, row in rig.log.find("reached", worker=leaving.worker_id)
            if at_s > acknowledged_s + DRAIN_S + SLACK_S
        ]
        # Not judged: the service is released, its new workers take over.
        for name in "opqrstuv":
            await rig.add_worker(f"i-{name}", SERVICE).start()
        await asyncio.sleep(3.0)
        for worker in workers:
            worker.drain()
        await asyncio.sleep(DRAIN_S + 1.0)
        for worker in workers:
            worker.end(is_removed=True)
        await asyncio.sleep(3.0)
        released = await send_some(rig, "released", PER_ENTRY)
        rig.log.write("summary", before=before, after=after, late=len(late), released=released)
        total = PER_ENTRY * len(rig.entries)
        print(f"served of {total}: before {before}, after {after}, by the new workers {released}")
        if before < total:
            raise RuntimeError("not all requests were served before the trouble")
        return f"DRAIN: {len(late)} requests reached {leaving.worker_id} too late" if late else ""
    finally:
        rig.close()


if __name__ == "__main__":
    main(play, CASE)
