"""A stand-in of the platform's store: keyed topics with one partition each."""

import asyncio
import base64
import json
from collections import defaultdict
from urllib.parse import parse_qsl, urlsplit

from web import Server, render

MAX_ITEMS = 500


class Store(Server):
    """Holds records; the stand-ins of workers and of the operator append directly."""

    def __init__(self, host: str, port: int) -> None:
        super().__init__(host, port)
        self.records: dict[str, list[tuple[str, bytes]]] = defaultdict(list)
        self._changed = asyncio.Event()

    def append(self, topic: str, key: str, value: bytes | dict | None) -> int:
        """Append a record and return its offset; no value drops the key."""
        if isinstance(value, dict):
            value = json.dumps(value).encode()
        self.records[topic].append((key, value or b""))
        self._changed.set()
        self._changed = asyncio.Event()
        return len(self.records[topic]) - 1

    def newest(self, topic: str) -> dict[str, tuple[int, bytes]]:
        found: dict[str, tuple[int, bytes]] = {}
        for offset, (key, value) in enumerate(self.records[topic]):
            if value:
                found[key] = (offset, value)
            else:
                found.pop(key, None)
        return found

    async def answer(self, message, reader, writer) -> bool:
        url = urlsplit(message.target)
        query = dict(parse_qsl(url.query))
        await asyncio.sleep(0.002)
        if url.path == "/log-append":
            writer.write(self._append(query["topic"], message.body))
        elif url.path == "/log-newest":
            writer.write(self._newest(query))
        elif url.path == "/log-read":
            writer.write(await self._read(query))
        else:
            writer.write(render(404, {}))
        return True

    def _append(self, topic: str, body: bytes) -> bytes:
        if topic in ("keyed.op", "keyed.servers"):
            return render(403, {})
        first = len(self.records[topic])
        position = 0
        while position < len(body):
            end = position + 4 + int.from_bytes(body[position : position + 4], "big")
            content = body[position + 4 : end]
            key_end = 1 + content[0]
            self.append(topic, content[1:key_end].decode(), content[key_end:])
            position = end
        document = {"offset": first, "end": len(self.records[topic])}
        return render(200, {"Content-Type": "application/json"}, json.dumps(document).encode())

    def _newest(self, query: dict[str, str]) -> bytes:
        topic = query["topic"]
        rows = sorted(self.newest(topic).items())
        rows = [row for row in rows if row[0] > query.get("after", "")]
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in rows[:MAX_ITEMS]
        ]
        document = {
            "items": items,
            "has_more": len(rows) > MAX_ITEMS,
            "end": len(self.records[topic]),
        }
        return render(200, {"Content-Type": "application/json"}, json.dumps(document).encode())

    async def _read(self, query: dict[str, str]) -> bytes:
        topic, first = query["topic"], int(query["from"])
        loop = asyncio.get_running_loop()
        until_s = loop.time() + int(query.get("wait_ms", 0)) / 1000
        while first >= len(self.records[topic]) and loop.time() < until_s:
            try:
                async with asyncio.timeout_at(until_s):
                    await self._changed.wait()
            except TimeoutError:
                break
        records = self.records[topic]
        body = len(records).to_bytes(8, "big") + (0).to_bytes(8, "big")
        for key, value in records[first:]:
            content = bytes([len(key.encode())]) + key.encode() + value
            body += len(content).to_bytes(4, "big") + content
            if len(body) > int(query.get("max_kb", 1024)) * 1024:
                break
        return render(200, {"Content-Type": "application/octet-stream"}, body)
