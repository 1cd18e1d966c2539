"""Tests against callers whose bytes have no end."""

import asyncio

from cicadatiller.ingress import IngressLimits, IngressServer, Response
from cicadatiller.ingress._connection import MAX_PENDING_BODY_BYTES

from .support.endless import EndlessSender
from .support.streams import NetworkCase

CHUNKED = b"POST /a HTTP/1.1\r\nHost: n\r\nTransfer-Encoding: chunked\r\n\r\n"
GET = b"GET /a HTTP/1.1\r\nHost: n\r\n\r\n"
BLOCK = b"x" * 1024
LIMITS = IngressLimits(idle_timeout_s=1e6)

ENDLESS_PARTS = {
    "header value": (b"GET / HTTP/1.1\r\nHost: n\r\nX: ", BLOCK),
    "target": (b"GET /", BLOCK),
    "chunk size": (CHUNKED, b"0" * 1024),
    "chunk extension": (CHUNKED + b"1;", BLOCK),
    "trailer value": (CHUNKED + b"1\r\nx\r\n0\r\nX: ", BLOCK),
    "trailers": (CHUNKED + b"1\r\nx\r\n0\r\n", b"X: " + BLOCK + b"\r\n"),
    "chunks": (CHUNKED, b"400\r\n" + BLOCK + b"\r\n"),
    "blank lines between requests": (GET, b"\r\n" * 500),
}


class EndlessRequestTest(NetworkCase):
    async def serve(self, handler):
        self.server = IngressServer(handler=handler, limits=LIMITS)
        await self.server.start("10.0.0.1", 80)

    async def send(self, first, part, *, for_s):
        loop = asyncio.get_running_loop()
        caller = EndlessSender(first, part, interval_s=0.0005, waits_for_request=False)
        await loop.create_connection(caller.accept, "10.0.0.1", 80)
        await asyncio.sleep(for_s)
        return caller

    def test_a_request_without_end_is_refused_at_once_and_its_connection_closed(self):
        for name, (first, part) in ENDLESS_PARTS.items():
            with self.subTest(name):

                async def scenario(first=first, part=part):
                    async def handler(request, responder):
                        await responder.answer(Response(status=200))

                    await self.serve(handler)
                    return await self.send(first, part, for_s=5.0)

                caller = self.run_paused(scenario())
                self.assertEqual(caller.open_connections, 0)
                self.assertLess(caller.sent_bytes, 8 * 1024 * 1024)

    def test_pipelined_requests_are_not_read_faster_than_they_are_answered(self):
        cases = {
            "many": GET * 100,
            "large": b"POST /a HTTP/1.1\r\nHost: n\r\nContent-Length: 100000\r\n\r\n"
            + b"y" * 100_000,
        }
        for name, part in cases.items():
            with self.subTest(name):

                async def scenario(part=part):
                    waiting = []

                    async def handler(request, responder):
                        connection = next(iter(self.server._connections))
                        waiting.append([len(r.body) for r in connection._pending])
                        await asyncio.sleep(0.1)
                        await responder.answer(Response(status=200))

                    await self.serve(handler)
                    await self.send(b"", part, for_s=20.0)
                    return waiting

                waiting = self.run_paused(scenario())
                self.assertGreater(len(waiting), 100)
                self.assertLessEqual(max(len(bodies) for bodies in waiting), 8 + 100)
                self.assertLess(
                    max(sum(bodies) for bodies in waiting), MAX_PENDING_BODY_BYTES + 400_000
                )
