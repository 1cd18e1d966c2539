"""Tests of responses of targets whose status is none."""

import asyncio
import unittest

from cicadatiller.egress import (
    ConnectionPool,
    EgressError,
    ResponseMatcher,
    Substitute,
    render_request,
)
from cicadatiller.http_client import HttpClient, HttpUnreachableError
from cicadatiller.kernel import HttpTimeouts

from .support.endless import EndlessSender
from .support.gateways import GatewayCase
from .support.streams import NetworkCase

# Below 100 a status counted as that of an interim response, from 600 on as a final one.
NO_STATUSES = (b"000", b"001", b"099", b"600", b"999", b"20", b"2000", b"-20", b"+20", b"0x1")
ADDRESS = "10.0.0.9:80"


def answer_with(status):
    """Return an answer with a status and a body."""
    return b"HTTP/1.1 " + status + b" X\r\nContent-Length: 6\r\n\r\nanswer"


class StatusTest(GatewayCase):
    """Issue 53 (MIXED): a status that is none was passed on, or taken for an interim response."""

    def ask(self, kind, status, *, targets):
        async def scenario(fleet):
            fleet.targets["t-1"].stop()
            server = EndlessSender(answer_with(status), b"")
            fleet.network.listen("10.0.1.1", 80, server.accept)
            replies = [await fleet.ask(kind) for _ in range(6)]
            return replies, server

        return self.run_scenario(scenario, targets=targets)

    def test_a_call_not_to_be_repeated_gets_502_at_once(self):
        for kind in ("unsafe", "stream"):
            service = "engines" if kind == "stream" else "pool"
            for status in NO_STATUSES:
                with self.subTest(kind=kind, status=status):
                    replies, _ = self.ask(kind, status, targets=(service,))
                    self.assertLessEqual({reply.status for reply in replies}, {502, 503})
                    self.assertEqual(replies[0].status, 502)
                    self.assertLess(replies[0].taken_s, 1.0)

    def test_an_idempotent_call_is_answered_by_another_target_and_the_breaker_opens(self):
        for status in NO_STATUSES:
            with self.subTest(status):
                replies, server = self.ask("safe", status, targets=("pool", "pool"))
                self.assertEqual({reply.status for reply in replies}, {200})
                self.assertLess(max(reply.taken_s for reply in replies), 1.0)
                self.assertLess(server.requests, 4)


class InterimTest(NetworkCase):
    def test_interim_responses_are_still_skipped(self):
        async def scenario():
            interim = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"
            final = b"HTTP/1.1 599 X\r\nContent-Length: 2\r\n\r\nok"
            server = EndlessSender(interim + final, b"")
            asyncio.get_running_loop().network.listen("10.0.0.9", 80, server.accept)
            head, body = await ConnectionPool().exchange(
                ADDRESS,
                render_request(b"GET", b"/x", [(b"Host", b"n")]),
                matcher=ResponseMatcher(exchange="call", substitute=Substitute.SAME_KIND),
                timeout_s=1.0,
                max_response_bytes=10,
            )
            return head.status, body

        self.assertEqual(self.run_paused(scenario()), (599, b"ok"))

    def test_a_call_of_the_store_or_an_engine_fails_at_once(self):
        for status in NO_STATUSES:
            with self.subTest(status):

                async def scenario(status=status):
                    server = EndlessSender(answer_with(status), b"")
                    asyncio.get_running_loop().network.listen("10.0.0.9", 80, server.accept)
                    with self.assertRaises(EgressError):
                        await ConnectionPool().exchange(
                            ADDRESS,
                            render_request(b"GET", b"/x", [(b"Host", b"n")]),
                            matcher=ResponseMatcher(
                                exchange="call", substitute=Substitute.SAME_KIND
                            ),
                            timeout_s=1.0,
                            max_response_bytes=10,
                        )

                self.run_paused(scenario())


class OwnInterfaceTest(unittest.IsolatedAsyncioTestCase):
    """The standard library's client takes any number for a status that Python reads as one."""

    async def post(self, status):
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer_with(status))
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        client = HttpClient(url=f"http://{host}:{port}", timeouts=HttpTimeouts(), threads=1)
        try:
            return await client.post("/x", b"")
        finally:
            await client.close()
            server.close()

    async def test_a_status_that_is_none_is_an_error(self):
        for status in (*NO_STATUSES, b"0200", b"+200", b"2_00"):
            with self.subTest(status), self.assertRaises(HttpUnreachableError):
                await self.post(status)

    async def test_any_other_status_is_passed_on(self):
        for status in (200, 304, 409, 599):
            self.assertEqual((await self.post(b"%d" % status)).status, status)
