"""A model worker goes on with streams by bytes without end, until the entry exceeds its memory.

See claim.txt. With TROUBLE=0 no worker is in trouble and none crashes; with TROUBLE=crashes only the
crashes are played.
"""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))
from fleet import APP, MODEL, ZONES, Callers, SoundWorker, configuration, measure_lag, register
from fleet import resident_bytes, start_endless_worker
from standins import HTROP, Entry, Store, free_host, free_port, run

TROUBLE = os.environ.get("TROUBLE", "1")
HAS_CRASHES = TROUBLE != "0"
HAS_ENDLESS_WORKER = TROUBLE not in ("0", "crashes")
# One of them is in trouble, and one at a time crashes: 0.14 each.
MODEL_WORKERS = 7
ORDER_CLIENTS = 12
ORDER_PAUSE_S = (0.0, 0.02)
ORDER_WORK_S = 0.045
ORDER_TIMEOUT_MS = 2500
STREAMS_PER_S = 24.0
# The entry has been in touch for `contact_ms` by then.
CALM_S = 5.0
CRASH_INTERVAL_S = 3.0
DOWN_S = 2.5
CRASHES = 28
WATCHED_S = 85.0
# The platform kills a process that exceeds `memory_mb`.
MEMORY_BYTES = 300 * 1024 * 1024
MEMORY_CHECK_S = 0.02


async def crash_by_turns(workers, store, record, over):
    """Let sound model workers crash one after the other; each is back after `DOWN_S`."""
    for number in range(CRASHES):
        if over.is_set():
            return
        # Not the first one, which is in trouble.
        index = 1 + number % (MODEL_WORKERS - 1)
        worker = workers[index]
        record.write(f"srv_crash: model worker {index} ({worker.port}) crashes")
        worker.end()
        await asyncio.sleep(DOWN_S)
        await worker.start()
        register(store, MODEL, index, f"{worker.host}:{worker.port}")
        await asyncio.sleep(CRASH_INTERVAL_S - DOWN_S)


async def enforce_memory(entry, record, over, seen):
    """Kill the entry's process if it exceeds its memory, as the platform does."""
    while entry.process.returncode is None:
        seen.append(resident_bytes(entry.process.pid))
        if seen[-1] > MEMORY_BYTES:
            record.write(
                f"platform: the entry has {seen[-1] / 2**20:.0f} MB, over its memory_mb = 300; killed"
            )
            await entry.kill()
            over.set()
            return
        await asyncio.sleep(MEMORY_CHECK_S)
    record.write(f"the entry's process ended with {entry.process.returncode}")
    over.set()


async def case(record, folder):
    host = free_host()
    store = Store(host, record)
    await store.start()
    store.write("keyed.op", "config", configuration(order_timeout_ms=ORDER_TIMEOUT_MS))
    apps = [SoundWorker(host, record, ORDER_WORK_S) for _ in range(3)]
    models = [SoundWorker(host, record) for _ in range(MODEL_WORKERS)]
    for worker in apps + models:
        await worker.start()
    for number, worker in enumerate(apps):
        register(store, APP, number, f"{host}:{worker.port}")
    endless = None
    first_port = models[0].port
    if HAS_ENDLESS_WORKER:
        first_port = free_port(host)
        endless = await start_endless_worker(host, first_port, "resumed", record)
    register(store, MODEL, 0, f"{host}:{first_port}")
    for number in range(1, MODEL_WORKERS):
        register(store, MODEL, number, f"{host}:{models[number].port}")
    entry = Entry(
        name="front-heredia-hall-1",
        host=host,
        zone=ZONES[0],
        store=store.address,
        folder=folder,
        peer_port=7340,
        bounds=HTROP,
    )
    over = asyncio.Event()
    sizes = []
    lags = []
    tasks = [asyncio.create_task(measure_lag(lags))]
    try:
        await entry.start()
        if not await entry.wait_until_ready():
            record.write("the entry did not become ready")
            return 2
        record.write("the entry is ready")
        callers = Callers(
            entry, record, order_pause_s=ORDER_PAUSE_S, streams_per_s=STREAMS_PER_S
        )
        until_s = record.now_s() + CALM_S + WATCHED_S + 3.0
        tasks.append(asyncio.create_task(enforce_memory(entry, record, over, sizes)))
        tasks += [asyncio.create_task(callers.send_orders(until_s)) for _ in range(ORDER_CLIENTS)]
        tasks.append(asyncio.create_task(callers.send_streams(until_s)))
        await asyncio.sleep(CALM_S)
        if HAS_CRASHES:
            tasks.append(asyncio.create_task(crash_by_turns(models, store, record, over)))
        try:
            await asyncio.wait_for(over.wait(), WATCHED_S)
        except TimeoutError:
            record.write("the entry stayed within its memory")
        # What the clients whose connections the kill closed have seen.
        await asyncio.sleep(0.5)
        ran = set().union(*(worker.ran for worker in apps))
        return judge(callers, ran, over.is_set(), max(sizes), max(lags), record)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if endless is not None and endless.returncode is None:
            endless.kill()
            await endless.wait()
        for worker in apps + models:
            worker.end()
        store.end()
        await entry.kill()


def judge(callers, ran, has_ended, size_bytes, lag_s, record):
    """Return 1 if LOST was broken: orders of kept connections, closed without an answer."""
    lost = [
        name
        for _, answered_s, status, name, was_kept in callers.orders
        if was_kept and status == 0 and name in ran and name in callers.closed
    ]
    answered = sum(order[2] == 200 for order in callers.orders)
    record.write(f"orders: {answered} of {len(callers.orders)} answered with 200")
    record.write(f"longest lag of this script: {lag_s:.3f} s")
    record.write(f"the entry had {size_bytes / 2**20:.0f} MB at most")
    for name in lost:
        record.write(f"LOST: order {name} reached a sound worker, its kept connection was closed")
    if not answered:
        return 2
    return 1 if has_ended and len(lost) > 3 else 0


run(case, Path(__file__).resolve().parent)
