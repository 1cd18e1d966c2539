"""Tests of the own interface's feeds of lines that come faster than they are read."""

import asyncio
import unittest

from cicadatiller.http_client import HttpClient
from cicadatiller.http_client._client import LINE_OVERHEAD_BYTES, MAX_QUEUED_BYTES, READ_BLOCK_BYTES
from cicadatiller.kernel import HttpTimeouts

SENT_BYTES = 48 * 1024 * 1024
LINES = {"blank": b"\n", "short": b"[]\n", "long": b"x" * 4000 + b"\n"}
MAX_TURN_S = 0.1
# A block more than the limit, of blank lines at worst.
MAX_HELD_BYTES = MAX_QUEUED_BYTES + READ_BLOCK_BYTES * (1 + LINE_OVERHEAD_BYTES)


class EndlessFeedTest(unittest.IsolatedAsyncioTestCase):
    """Issue 53: what a feed sent was queued without a limit, and read in one turn of the loop."""

    async def open(self, line):
        self.sent_bytes = 0

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
            part = line * (65_536 // len(line))
            while self.sent_bytes < SENT_BYTES:
                writer.write(part)
                self.sent_bytes += len(part)
                try:
                    await writer.drain()
                except ConnectionError:
                    break
            writer.close()

        return await self.read_from(serve)

    async def read_from(self, serve):
        """Return the lines of a server's feed."""
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        client = HttpClient(url=f"http://{host}:{port}", timeouts=HttpTimeouts(), threads=1)
        self.addAsyncCleanup(client.close)
        return client.lines("/outputs")

    async def test_a_feed_that_is_not_read_holds_little(self):
        for name, line in LINES.items():
            with self.subTest(name):
                lines = await self.open(line)
                self.assertEqual(await anext(lines), line[:-1])
                await asyncio.sleep(0.5)
                held_bytes = lines.ag_frame.f_locals["reader"].queued_bytes
                self.assertLessEqual(held_bytes, MAX_HELD_BYTES)
                # What the kernel holds on both sides comes on top.
                self.assertLess(self.sent_bytes, SENT_BYTES)
                await lines.aclose()

    async def test_other_tasks_get_their_turn_while_a_feed_is_read(self):
        lines = await self.open(LINES["blank"])
        loop = asyncio.get_running_loop()
        longest_s = 0.0

        async def measure():
            nonlocal longest_s
            while True:
                began_s = loop.time()
                await asyncio.sleep(0)
                longest_s = max(longest_s, loop.time() - began_s)

        measuring = asyncio.create_task(measure())
        until_s = loop.time() + 0.5
        async for _ in lines:
            if loop.time() > until_s:
                break
        measuring.cancel()
        await lines.aclose()
        self.assertLess(longest_s, MAX_TURN_S)

    async def test_all_lines_of_a_feed_arrive_in_order(self):
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
            writer.write(b"".join(b"%d\n" % number for number in range(100_000)))
            writer.close()

        lines = await self.read_from(serve)
        for number in range(100_000):
            self.assertEqual(int(await anext(lines)), number)
        await lines.aclose()
