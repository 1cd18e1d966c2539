"""Tests of answers without a length that come while their request is still being sent."""

import asyncio
import socket
import struct
import time
import unittest
from unittest import mock

from cicadatiller.egress import EgressError, ResponseMatcher, TcpKeepalive, _unsent, open_connection
from cicadatiller.egress import render_request_head as render_head
from cicadatiller.http_client import HttpClient, HttpUnreachableError
from cicadatiller.kernel import HttpTimeouts

MATCHER = ResponseMatcher(exchange="request", id_header=b"attempt-id", exchange_id=b"a1")
HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\n\r\n"
UPLOAD = b"u" * 3_000_000
CLOSE_WITH_RESET = struct.pack("ii", 1, 0)
PART_SIZES = (700, 8192, 100_000)
MAX_READ_BYTES = 64 * 1024
# A worker that half-closes resets or closes its connection so long after.
END_DELAYS_S = (0.0, 0.05, 0.3)


class EarlyAnswerCase(unittest.IsolatedAsyncioTestCase):
    """Serves one request on a real socket, as only those are closed on one side."""

    def serve(self, answer):
        """Answer once a part of a request is read; return the address and the task."""
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        self.addCleanup(listener.close)
        host, port = listener.getsockname()
        return f"{host}:{port}", asyncio.create_task(self._serve(listener, answer))

    async def _serve(self, listener, answer):
        loop = asyncio.get_running_loop()
        accepted, _ = await loop.sock_accept(listener)
        with accepted:
            accepted.setblocking(False)
            await loop.sock_recv(accepted, 100)
            await answer(loop, accepted)


class EarlyAnswerTest(EarlyAnswerCase):
    """Issue 53 (MIXED): the part of an answer whose connection was reset was given as whole."""

    async def send(self, answer, upload=UPLOAD):
        """Send an upload to a server that answers once it has its head; return the body."""
        address, task = self.serve(answer)
        connection = await open_connection(address, timeout_s=5.0, keepalive=TcpKeepalive())
        request = render_head(b"POST", b"/x", [(b"Host", b"n")], len(upload))
        connection.start(request, matcher=MATCHER, body=upload)
        try:
            await connection.read_head()
            return await connection.read_whole_body(1024 * 1024)
        finally:
            connection.finish()
            await task

    async def test_a_part_before_a_half_close_and_a_reset_is_not_whole(self):
        for size in PART_SIZES:
            for delay_s in END_DELAYS_S:
                with self.subTest(size=size, delay_s=delay_s):

                    async def answer(loop, accepted, size=size, delay_s=delay_s):
                        await loop.sock_sendall(accepted, HEAD + b"p" * size)
                        accepted.shutdown(socket.SHUT_WR)
                        await asyncio.sleep(delay_s)
                        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, CLOSE_WITH_RESET)

                    with self.assertRaises(EgressError):
                        await self.send(answer)

    async def test_a_part_before_a_close_with_unread_bytes_is_not_whole(self):
        for size in PART_SIZES:
            with self.subTest(size):

                async def answer(loop, accepted, size=size):
                    await loop.sock_sendall(accepted, HEAD + b"p" * size)

                with self.assertRaises(EgressError):
                    await self.send(answer)

    async def test_an_answer_is_whole_if_the_rest_of_the_request_is_read_after_it(self):
        for delay_s in END_DELAYS_S:
            with self.subTest(delay_s):

                async def answer(loop, accepted, delay_s=delay_s):
                    await loop.sock_sendall(accepted, HEAD + b"whole")
                    accepted.shutdown(socket.SHUT_WR)
                    await asyncio.sleep(delay_s)
                    while await loop.sock_recv(accepted, MAX_READ_BYTES):
                        pass

                self.assertEqual(await self.send(answer), b"whole")

    async def test_an_answer_whose_request_is_not_read_on_fails_after_seconds(self):
        async def answer(loop, accepted):
            await loop.sock_sendall(accepted, HEAD + b"part")
            accepted.shutdown(socket.SHUT_WR)
            await asyncio.sleep(1.0)

        began_s = time.monotonic()
        with (
            mock.patch.object(_unsent, "UNSENT_TIMEOUT_S", 0.5),
            self.assertRaisesRegex(EgressError, "not read on"),
        ):
            await self.send(answer)
        self.assertLess(time.monotonic() - began_s, 2.0)

    async def test_an_answer_to_a_short_request_is_whole_at_once(self):
        async def answer(loop, accepted):
            await loop.sock_sendall(accepted, HEAD + b"whole")
            accepted.shutdown(socket.SHUT_WR)
            await asyncio.sleep(0.01)

        async with asyncio.timeout(0.5):
            self.assertEqual(await self.send(answer, b"short"), b"whole")


class HttpClientTest(EarlyAnswerCase):
    """The same at the own interface, whose client ignores that a request could not be sent."""

    async def post(self, answer, body=UPLOAD):
        address, task = self.serve(answer)
        client = HttpClient(url=f"http://{address}", timeouts=HttpTimeouts(), threads=1)
        try:
            return (await client.post("/x", body)).body
        finally:
            await client.close()
            await task

    async def test_a_part_before_a_reset_is_not_whole(self):
        for is_half_closed in (False, True):
            for delay_s in END_DELAYS_S:
                with self.subTest(is_half_closed=is_half_closed, delay_s=delay_s):

                    async def answer(
                        loop, accepted, is_half_closed=is_half_closed, delay_s=delay_s
                    ):
                        await loop.sock_sendall(accepted, HEAD + b"part")
                        if is_half_closed:
                            accepted.shutdown(socket.SHUT_WR)
                        await asyncio.sleep(delay_s)
                        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, CLOSE_WITH_RESET)

                    with self.assertRaises(HttpUnreachableError) as caught:
                        await self.post(answer)
                    self.assertTrue(caught.exception.sent)

    async def test_an_answer_is_whole_if_the_rest_of_the_request_is_read(self):
        for body in (UPLOAD, b"short"):
            with self.subTest(len(body)):

                async def answer(loop, accepted):
                    await loop.sock_sendall(accepted, HEAD + b"whole")
                    accepted.shutdown(socket.SHUT_WR)
                    while await loop.sock_recv(accepted, MAX_READ_BYTES):
                        pass

                self.assertEqual(await self.post(answer, body), b"whole")
