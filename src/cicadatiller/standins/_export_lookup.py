"""Asks other engine stand-ins over HTTP whether they still hold an export."""

import asyncio
import json

from ..kernel import HttpClient, HttpTimeouts, HttpUnreachableError

POLL_S = 0.25
FORGET_S = 5.0
MISSED_POLLS = 4
LOOKUP_TIMEOUTS = HttpTimeouts(connect_s=0.5, read_s=0.5)


class _Watch:
    def __init__(self, now_s: float) -> None:
        self.asked_s = now_s
        self.held = True
        self.missed = 0


class RemoteExports:
    """The exports of one other engine, as it last said; unknown ones count as held."""

    def __init__(self, *, address: str) -> None:
        self._caller = HttpClient(url=f"http://{address}", timeouts=LOOKUP_TIMEOUTS, threads=1)
        self._watches: dict[str, _Watch] = {}

    def holds_export(self, export_id: str) -> bool:
        """Tell whether the engine held an export when it was last asked."""
        now_s = asyncio.get_running_loop().time()
        watch = self._watches.setdefault(export_id, _Watch(now_s))
        watch.asked_s = now_s
        return watch.held

    async def poll(self) -> None:
        """Ask about each export that was wanted lately."""
        now_s = asyncio.get_running_loop().time()
        for export_id, watch in list(self._watches.items()):
            if now_s - watch.asked_s > FORGET_S:
                del self._watches[export_id]
                continue
            await self._ask(export_id, watch)

    async def close(self) -> None:
        """Release the connections."""
        await self._caller.close()

    async def _ask(self, export_id: str, watch: _Watch) -> None:
        body = json.dumps({"export_id": export_id}).encode()
        try:
            reply = await self._caller.post("/holds_export", body)
        except HttpUnreachableError:
            watch.missed += 1
            watch.held = watch.missed < MISSED_POLLS
            return
        watch.missed = 0
        watch.held = reply.status == 200 and json.loads(reply.body) is True


class ExportLookup:
    """Keeps what other engines said of their exports, off the path of the engine's steps."""

    def __init__(self) -> None:
        self._engines: dict[str, RemoteExports] = {}

    def engine_at(self, address: str) -> RemoteExports:
        """Return the exports of the engine at an address."""
        if address not in self._engines:
            self._engines[address] = RemoteExports(address=address)
        return self._engines[address]

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await asyncio.gather(*(engine.poll() for engine in list(self._engines.values())))
            await asyncio.sleep(POLL_S)

    async def close(self) -> None:
        """Release the connections."""
        for engine in self._engines.values():
            await engine.close()
