"""Polls other engine stand-ins over HTTP for the exports that they hold."""

import asyncio
import json

from ..http_client import HttpClient, HttpUnreachableError
from ..kernel import HttpTimeouts

POLL_INTERVAL_S = 0.25
WATCH_EXPIRY_S = 5.0
MAX_MISSED_POLLS = 4
LOOKUP_TIMEOUTS = HttpTimeouts(connect_s=0.5, read_s=0.5)


class _Watch:
    def __init__(self, now_s: float) -> None:
        self.looked_up_s = now_s
        self.held = True
        self.missed_polls = 0


class RemoteExports:
    """The exports of one other engine, as of the last poll.

    An export counts as held until a response does not confirm it, or until `MAX_MISSED_POLLS`
    polls in a row fail.
    """

    def __init__(self, *, address: str) -> None:
        self._client = HttpClient(url=f"http://{address}", timeouts=LOOKUP_TIMEOUTS, threads=1)
        self._watches: dict[str, _Watch] = {}

    def holds_export(self, export_id: str) -> bool:
        """Return whether the engine held an export at the last poll; registers it for polling."""
        now_s = asyncio.get_running_loop().time()
        watch = self._watches.setdefault(export_id, _Watch(now_s))
        watch.looked_up_s = now_s
        return watch.held

    async def poll(self) -> None:
        """Query each watched export; stop watching those not looked up for `WATCH_EXPIRY_S`."""
        now_s = asyncio.get_running_loop().time()
        for export_id, watch in list(self._watches.items()):
            if now_s - watch.looked_up_s > WATCH_EXPIRY_S:
                del self._watches[export_id]
                continue
            await self._query(export_id, watch)

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()

    async def _query(self, export_id: str, watch: _Watch) -> None:
        body = json.dumps({"export_id": export_id}).encode()
        try:
            reply = await self._client.post("/holds_export", body)
        except HttpUnreachableError:
            watch.missed_polls += 1
            watch.held = watch.missed_polls < MAX_MISSED_POLLS
            return
        watch.missed_polls = 0
        watch.held = reply.status == 200 and json.loads(reply.body) is True


class ExportLookup:
    """Caches the exports of other engines, so that engine steps do not wait for HTTP."""

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
            await asyncio.sleep(POLL_INTERVAL_S)

    async def close(self) -> None:
        """Close the connections."""
        for engine in self._engines.values():
            await engine.close()
