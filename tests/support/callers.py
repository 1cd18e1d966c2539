"""Callers of the HTTP/1.1 server over an in-memory network."""

import asyncio

from cicadatiller.ingress import IngressLimits, IngressServer, Response

from .streams import NetworkCase

GET = b"GET /a/b HTTP/1.1\r\nHost: north.example\r\n\r\n"
POST = b"POST /a/ HTTP/1.1\r\nHost: n\r\nContent-Length: 3\r\n\r\nabc"
CHUNKED = b"POST /a/ HTTP/1.1\r\nHost: n\r\nTransfer-Encoding: chunked\r\n\r\n"
LIMITS = IngressLimits(
    max_header_bytes=1000, max_body_bytes=100, header_timeout_s=3.0, idle_timeout_s=15.0
)


class Caller(asyncio.Protocol):
    """The caller's end of a connection."""

    def __init__(self):
        self.received = b""
        self.closed = False
        self.reset = False
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.received += data

    def connection_lost(self, exc):
        self.closed = True
        self.reset = exc is not None

    @property
    def statuses(self):
        parts = self.received.split(b"HTTP/1.1 ")[1:]
        return [int(part[:3]) for part in parts]


class IngressCase(NetworkCase):
    """Serves at one address, and records the requests that are handled."""

    async def serve(self, handler=None, limits=LIMITS):
        self.requests = []

        async def answer(request, responder):
            self.requests.append(request)
            await responder.answer(Response(status=200, body=b"ok " + request.target))

        server = IngressServer(handler=handler or answer, limits=limits)
        await server.start("10.0.0.1", 80)
        return server

    async def call(self, *parts, pause_s=0.01):
        loop = asyncio.get_running_loop()
        transport, caller = await loop.create_connection(Caller, "10.0.0.1", 80)
        for part in parts:
            transport.write(part)
            await asyncio.sleep(pause_s)
        return caller
