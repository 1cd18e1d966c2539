"""Stand-ins of workers: a plain service and model workers, as the pages describe them."""

import asyncio
import json
import random
import time

from web import Server, render

HEARTBEAT_S = 1.2
EVENT_GAP_S = 0.05
TOPIC = "keyed.servers"


class Worker(Server):
    """One worker that registers itself in the store.

    `arrivals` has a row for each request that reached it. `work_s(message)` is how long a request
    works before its answer or first event; `crashes_under(message)` tells whether the worker crashes
    as it begins to answer; `is_model` says whether it answers with events.
    """

    def __init__(self, host, port, *, worker_id, service, store, log, is_model=False, slots=8):
        super().__init__(host, port)
        self.worker_id = worker_id
        self.service = service
        self.store = store
        self.log = log
        self.is_model = is_model
        self.slots = slots
        self.events = 6
        self.work_s = lambda message: 0.02
        self.crashes_under = lambda message: False
        self.on_crash = lambda worker: None
        self.state = "ready"
        self.is_up = False
        self.born = 0
        self.sequence = 0
        self.running = 0
        self.tickets: dict[str, int] = {}
        self._beating: asyncio.Task | None = None

    async def start(self, *, beats: bool = True) -> None:
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.state = "ready"
        await self.listen()
        self.is_up = True
        if beats:
            self._beating = asyncio.create_task(self._beat())

    def entry(self) -> dict:
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": "hall-a",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "stage": "prefill_decode",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "sequence": self.sequence,
            "born": self.born,
        }

    def beat(self) -> None:
        self.store.append(TOPIC, self.worker_id, self.entry())

    def drain(self) -> None:
        """Report that it leaves; the store's answer is the acknowledgement."""
        self.state = "draining"
        self.beat()
        self.log.write("draining", worker=self.worker_id)

    def end(self, *, is_removed: bool) -> None:
        """End as a killed process does; a planned end also removes the entry."""
        self.is_up = False
        if self._beating is not None:
            self._beating.cancel()
        self.stop_at_once()
        if is_removed:
            self.store.append(TOPIC, self.worker_id, None)

    def crash(self, *, back_after_s: float) -> None:
        """End at once, and start again under the same id after a time."""
        if not self.is_up:
            return
        self.log.write("crashed", worker=self.worker_id)
        self.on_crash(self)
        asyncio.get_running_loop().create_task(self._come_back(back_after_s))
        self.end(is_removed=False)

    async def _come_back(self, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        await self.start()
        self.log.write("back", worker=self.worker_id)

    async def _beat(self) -> None:
        self.beat()
        # Workers start at different times, so their beats are spread.
        await asyncio.sleep(random.uniform(0.0, HEARTBEAT_S))
        while True:
            self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    async def answer(self, message, reader, writer) -> bool:
        if message.target == "/report":
            writer.write(self._json(200, self._report()))
            return True
        if message.target == "/order":
            writer.write(self._order(json.loads(message.body)))
            return True
        if message.target == "/health":
            status = 200 if self.state == "ready" else 503
            writer.write(render(status, self._notice() | {"Instance-Id": self.worker_id}))
            return True
        request = message.headers.get("attempt-id", "")
        self.log.write("reached", worker=self.worker_id, request=request)
        common = {"Attempt-Id": request} | self._notice()
        if message.headers.get("expect-instance", self.worker_id) != self.worker_id:
            headers = common | {"Not-Executed": "1", "Instance-Id": self.worker_id}
            writer.write(render(421, headers))
            return True
        if self.running >= 2 * self.slots:
            writer.write(render(503, common | {"Not-Executed": "1"}))
            return True
        self.running += 1
        left = asyncio.create_task(reader.read(1))
        work = asyncio.create_task(self._work(message, common, writer))
        ended = "cut"
        try:
            await asyncio.wait((left, work), return_when=asyncio.FIRST_COMPLETED)
            if work.done():
                ended = "answered" if work.exception() is None else "cut"
        finally:
            work.cancel()
            left.cancel()
            self.running -= 1
            self.log.write("ended", worker=self.worker_id, request=request, how=ended)
        if ended != "answered":
            return False
        # What came while it worked would be the next request, which no caller sends that early.
        try:
            await left
        except asyncio.CancelledError:
            return True
        return False

    async def _work(self, message, common, writer) -> None:
        await asyncio.sleep(self.work_s(message))
        if self.crashes_under(message):
            self.crash(back_after_s=2.0)
            return
        request = common["Attempt-Id"]
        self.log.write("ran", worker=self.worker_id, request=request)
        headers = common | {"Server-Seal": f"seal.{self.worker_id}"}
        if not self.is_model:
            writer.write(render(200, headers, b"x" * 800))
            return
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        head += [f"{name}: {value}" for name, value in headers.items()]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
        first = int(message.headers.get("last-event-id") or 0) + 1
        for number in range(first, self.events + 1):
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_GAP_S)
        writer.write(b"0\r\n\r\n")

    def _notice(self) -> dict[str, str]:
        return {"Server-Leaving": "1"} if self.state == "draining" else {}

    def _report(self) -> dict:
        return {
            "stage": "prefill_decode",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": 0,
            "waiting": max(0, self.running - self.slots),
            "running": min(self.running, self.slots),
            "kv_used": 0,
            "kv_total": 232_000,
            "handles": len(self.tickets),
            "pace": 1.0,
            "born": self.born,
            "tickets": [
                {"id": name, "tokens": tokens, "state": "held", "age_ms": 0}
                for name, tokens in self.tickets.items()
            ],
        }

    def _order(self, order: dict) -> bytes:
        if order["operation"] == "reserve":
            self.tickets[order["id"]] = order["tokens"]
        else:
            self.tickets.pop(order["id"], None)
        return self._json(200, {"free": 232_000 - sum(self.tickets.values())})

    def _json(self, status: int, document: dict) -> bytes:
        headers = {"Content-Type": "application/json"} | self._notice()
        return render(status, headers, json.dumps(document).encode())
