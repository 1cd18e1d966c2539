"""Peak memory of an entry under bodies of the largest size, and what short requests get beside them.

Run as `python -m bench.held_bytes`. Documents come at the usual rate, then at three times that, to a
target that works slowly on them; every third caller sends slowly. Short requests come all the time.
"""

import asyncio
import contextlib
from collections import Counter

from tests.support.entry_process import ADDRESS, EntryProcess, request_head

MEMORY_MB = 300
MAX_FDS = 4100
BODY = b"clause; " * 524_288
USUAL_PER_S = 3.0
LOADS = (1.0, 3.0)
LOAD_S = 15.0
SHORT_PER_S = 20.0
WORK_S = 4.0
SLOW_UPLOAD_S = 3.0
UPLOAD_PARTS = 30
# Of the route that the short requests take.
SHORT_DUE_S = 0.3
END_S = 10.0


async def work_on_documents(headers: dict[str, str], number: int) -> None:
    """Let the target work for some seconds on each document."""
    if "content-length" in headers:
        await asyncio.sleep(WORK_S)


async def send_document(entry: EntryProcess, statuses: Counter[int], *, is_slow: bool) -> None:
    """Send a document and count the status of its answer; 0 without one."""
    status = 0
    with contextlib.suppress(OSError, IndexError, ValueError):
        reader, writer = await asyncio.open_connection(ADDRESS, entry.caller_port)
        writer.write(request_head("/unsafe/document", length=len(BODY)))
        part_bytes = len(BODY) // UPLOAD_PARTS if is_slow else len(BODY)
        for start in range(0, len(BODY), part_bytes):
            if writer.is_closing():
                break
            writer.write(BODY[start : start + part_bytes])
            if is_slow:
                await asyncio.sleep(SLOW_UPLOAD_S / UPLOAD_PARTS)
        status = int((await reader.readline()).split()[1])
        writer.transport.abort()
    statuses[status] += 1


async def send_short(entry: EntryProcess, taken_s: list[float]) -> None:
    """Send a short request and note the time until its answer; infinite without a success."""
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    status = await entry.status("/safe/short")
    taken_s.append(loop.time() - began_s if status == 200 else float("inf"))


async def every(interval_s: float, duration_s: float, send) -> None:
    """Call a coroutine function with a running number in an interval, and wait for all calls."""
    loop = asyncio.get_running_loop()
    calls = []
    until_s = loop.time() + duration_s
    while loop.time() < until_s:
        calls.append(loop.create_task(send(len(calls))))
        await asyncio.sleep(interval_s)
    await asyncio.wait(calls, timeout=END_S)


async def play(load: float) -> str:
    """Play one load on a new entry and return what was seen."""
    entry = EntryProcess(memory_mb=MEMORY_MB, max_fds=MAX_FDS, max_body_bytes=len(BODY))
    entry.target.script = work_on_documents
    statuses: Counter[int] = Counter()
    taken_s: list[float] = []
    try:
        await entry.start()
        await asyncio.gather(
            every(
                1 / (USUAL_PER_S * load),
                LOAD_S,
                lambda number: send_document(entry, statuses, is_slow=number % 3 == 0),
            ),
            every(1 / SHORT_PER_S, LOAD_S, lambda number: send_short(entry, taken_s)),
        )
        on_time = sum(time_s <= SHORT_DUE_S for time_s in taken_s)
        return (
            f"{load:.0f} x: peak {entry.peak_memory_mb:.0f} of {MEMORY_MB} MB, documents "
            f"{dict(statuses)}, short requests on time {on_time} of {len(taken_s)}"
        )
    finally:
        entry.stop()


def main() -> None:
    """Play each load."""
    for load in LOADS:
        print(asyncio.run(play(load)))


if __name__ == "__main__":
    main()
