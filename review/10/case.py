"""All entries are killed while prompts with a part come that crashes workers.

See claim.txt. With TROUBLE=0 neither happens; with TROUBLE=prompts the prompts come, and no entry is
killed.
"""

import asyncio
import itertools
import os
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))
from fleet import APP, HOST, KEY, MODEL, ZONES, SoundWorker, configuration, register
from standins import HTROP, Entry, Store, free_host, read_message, run

TROUBLE = os.environ.get("TROUBLE", "1")
HAS_CRASHING_PROMPTS = TROUBLE != "0"
HAS_KILLS = TROUBLE not in ("0", "prompts")
ENTRIES = 2
MODEL_WORKERS = 8
CONTACT_S = HTROP["contact_ms"] / 1000
CRASHING_PART = "dead1"
# "The worker is back after some seconds."
DOWN_S = 3.0
# The first token of a prompt.
FIRST_TOKEN_S = 0.1
CRASHING_INTERVAL_S = 4.0
SOUND_PER_S = 4.0
CALM_S = 6.0
# herd_kill, on core: all of them are killed.
KILLS_AT_S = (17.6, 41.6, 65.6)
RESTART_DELAY_S = 0.5
ENDS_AT_S = 86.0
ALLOWED = 3


class Fleet:
    """What all model workers share."""

    def __init__(self, store, record):
        self.store = store
        self.record = record
        self.arrivals = []
        self.crashes = []
        self.tasks = set()

    def keep(self, task):
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


class ModelWorker(SoundWorker):
    """A model worker that crashes as it begins to write an answer on the crashing part."""

    def __init__(self, host, number, fleet):
        super().__init__(host, fleet.record)
        self._number = number
        self._fleet = fleet

    def register(self):
        register(self._fleet.store, MODEL, self._number, f"{self.host}:{self.port}")

    async def _stream(self, name, last, writer, headers=None):
        if name.startswith(CRASHING_PART):
            now_s = self._fleet.record.now_s()
            self._fleet.arrivals.append(now_s)
            self._record.write(f"worker {self._number}: crashing request {name} reaches it")
            await asyncio.sleep(FIRST_TOKEN_S)
            self._fleet.crashes.append(self._fleet.record.now_s())
            self._record.write(f"worker {self._number}: crashes under {name}")
            self._fleet.keep(asyncio.create_task(self._come_back()))
            self.end()
            return
        await super()._stream(name, last, writer)

    async def _come_back(self):
        await asyncio.sleep(DOWN_S)
        await self.start()
        self.register()


class Clients:
    """Clients of two tenants that send prompts to any entry, each on a new connection."""

    def __init__(self, entries, record):
        self.served = 0
        self.sent = 0
        self._entries = entries
        self._record = record
        self._numbers = itertools.count(1)
        self._tasks = set()

    def start(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def send_sound(self):
        while True:
            self.start(self._send(f"{next(self._numbers):016x}", "5a:600"))
            await asyncio.sleep(random.expovariate(SOUND_PER_S))

    async def send_crashing(self):
        """No two alike; the rest of their prompts is that of sound ones."""
        due_s = CALM_S
        while True:
            await asyncio.sleep(due_s - self._record.now_s())
            due_s += CRASHING_INTERVAL_S
            name = f"{CRASHING_PART}{next(self._numbers):011x}"
            self.start(self._send(name, f"5a:600,{CRASHING_PART}:800"))

    async def _send(self, name, parts):
        entry = random.choice(self._entries)
        # A worker sees the part by the request's id, which begins with it.
        request = (
            f"POST /reviews/season HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {name}\r\nModel: m\r\n"
            f"Token-Counts: 5000,1376\r\nPrompt-Prefix: aa:40,{parts},{name[::-1]}:3560\r\n"
            f"Deadline-Remaining-Ms: 10000\r\nAuthorization: Bearer {random.choice((KEY, 'k2'))}\r\n"
            f"Content-Length: 16\r\nConnection: close\r\n\r\n{name}"
        )
        is_crashing = name.startswith(CRASHING_PART)
        self.sent += not is_crashing
        status = 0
        try:
            async with asyncio.timeout(10.0):
                reader, writer = await asyncio.open_connection(entry.host, entry.front_port)
                writer.write(request.encode())
                message = await read_message(reader)
                status = 0 if message is None else int(message[0].split()[1])
                writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            pass
        self.served += status == 200 and not is_crashing
        if is_crashing:
            self._record.write(f"client: crashing request {name} to {entry.name} got {status}")

    def cancel(self):
        for task in self._tasks:
            task.cancel()


async def case(record, folder):
    host = free_host()
    store = Store(host, record)
    await store.start()
    document = configuration(order_timeout_ms=1500)
    document["tenants"].append({"name": "owners", "api_keys": ["k2"]})
    store.write("keyed.op", "config", document)
    fleet = Fleet(store, record)
    app = SoundWorker(host, record)
    workers = [ModelWorker(host, number, fleet) for number in range(MODEL_WORKERS)]
    for worker in [app, *workers]:
        await worker.start()
    register(store, APP, 0, f"{host}:{app.port}")
    for worker in workers:
        worker.register()
    entries = [
        Entry(
            name=f"front-{number + 1}",
            host=free_host(),
            zone=ZONES[number],
            store=store.address,
            folder=folder,
            peer_port=7340,
            bounds=HTROP,
        )
        for number in range(ENTRIES)
    ]
    clients = Clients(entries, record)
    tasks = []
    started_s = [0.0]
    try:
        await start_all(entries, record)
        tasks.append(asyncio.create_task(clients.send_sound()))
        if HAS_CRASHING_PROMPTS:
            tasks.append(asyncio.create_task(clients.send_crashing()))
        for kill_s in KILLS_AT_S if HAS_KILLS else ():
            await asyncio.sleep(kill_s - record.now_s())
            record.write("herd_kill: all entries are killed")
            await asyncio.gather(*(entry.kill() for entry in entries))
            await asyncio.sleep(RESTART_DELAY_S)
            await start_all(entries, record)
            started_s.append(record.now_s())
        await asyncio.sleep(ENDS_AT_S - record.now_s())
        return judge(fleet, clients, started_s, record)
    finally:
        clients.cancel()
        for task in [*tasks, *fleet.tasks]:
            task.cancel()
        for entry in entries:
            await entry.kill()
        for worker in [app, *workers]:
            worker.end()
        store.end()


async def start_all(entries, record):
    for entry in entries:
        await entry.start()
    for entry in entries:
        if not await entry.wait_until_ready():
            raise RuntimeError(f"{entry.name} did not become ready")
    record.write("all entries are ready")


def judge(fleet, clients, started_s, record):
    """Return 1 if too many crashing requests reached workers, sent by machines in touch."""
    record.write(f"{len(fleet.crashes)} crashes, {len(fleet.arrivals)} crashing requests arrived")
    record.write(f"{clients.served} of {clients.sent} sound prompts were served")
    if not clients.served:
        return 2
    if len(fleet.crashes) < 5:
        return 0
    from_s = sorted(fleet.crashes)[4] + CONTACT_S
    late = [
        at_s
        for at_s in fleet.arrivals
        if at_s > from_s and at_s - max(s for s in started_s if s <= at_s) > CONTACT_S + 0.1
    ]
    record.write(f"BUDGET: {len(late)} arrived later than contact_ms after the fifth crash: {late}")
    return 1 if len(late) > ALLOWED else 0


run(case, Path(__file__).resolve().parent)
