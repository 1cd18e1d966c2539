"""Tests of the HTTP/1.1 server: how responses and connections end."""

import asyncio
import unittest
from dataclasses import replace
from unittest import mock

from cicadatiller.ingress import IngressServer, Response
from cicadatiller.ingress._connection import MAX_PENDING_REQUESTS
from cicadatiller.kernel import Event

from .support.callers import GET, LIMITS, POST, IngressCase


class ClosingTest(IngressCase):
    def test_a_response_that_is_cut_is_logged_with_its_request(self):
        async def scenario():
            async def handler(request, responder):
                await responder.start_stream(200, ())

            await self.serve(handler)
            return await self.call(GET)

        with mock.patch("cicadatiller.ingress._connection.log_event") as log_event:
            caller = self.run_paused(scenario())
        self.assertTrue(caller.closed)
        (cut,) = (call for call in log_event.mock_calls if call.args[0] is Event.RESPONSE_CUT)
        self.assertEqual((cut.kwargs["path"], cut.kwargs["has_begun"]), ("/a/b", True))

    def test_the_handler_is_cancelled_when_the_caller_disconnects(self):
        for how in ("close", "abort"):
            with self.subTest(how):

                async def scenario(how=how):
                    ended = []

                    async def handler(request, responder):
                        try:
                            await asyncio.sleep(60)
                        except asyncio.CancelledError:
                            ended.append(asyncio.get_running_loop().time())
                            raise

                    await self.serve(handler)
                    caller = await self.call(GET)
                    left_s = asyncio.get_running_loop().time()
                    getattr(caller.transport, how)()
                    await asyncio.sleep(1)
                    return ended[0] - left_s

                self.assertLess(self.run_paused(scenario()), 0.01)

    def test_the_handler_is_cancelled_when_the_caller_of_a_large_body_disconnects(self):
        large = b"POST /a HTTP/1.1\r\nHost: n\r\nContent-Length: 900000\r\n\r\n"
        large += b"x" * 900_000

        async def scenario(sent):
            ended = []

            async def handler(request, responder):
                try:
                    await asyncio.sleep(60)
                finally:
                    ended.append(asyncio.get_running_loop().time())

            limits = replace(LIMITS, max_body_bytes=1_000_000)
            await self.serve(handler, limits=limits)
            caller = await self.call(sent, pause_s=1.0)
            left_s = asyncio.get_running_loop().time()
            caller.transport.close()
            await asyncio.sleep(1)
            return [time_s - left_s for time_s in ended]

        for name, sent in {"alone": large, "with one sent ahead": large + GET}.items():
            with self.subTest(name):
                ended = self.run_paused(scenario(sent))
                self.assertEqual(len(ended), 1)
                self.assertLess(ended[0], 0.5)

    def test_an_interrupted_response_does_not_look_complete(self):
        async def scenario():
            async def handler(request, responder):
                await responder.start_stream(200, ())
                await responder.send(b"part")
                raise ValueError("broken")

            await self.serve(handler)
            return await self.call(GET)

        caller = self.run_paused(scenario())
        self.assertTrue(caller.closed)
        self.assertFalse(caller.received.endswith(b"0\r\n\r\n"))

    def test_draining_completes_the_current_request_with_connection_close(self):
        async def scenario():
            async def handler(request, responder):
                await asyncio.sleep(1)
                await responder.answer(Response(status=200))

            server = await self.serve(handler)
            idle = await self.call()
            busy = await self.call(GET)
            server.stop_listening()
            server.drain()
            await asyncio.sleep(0.1)
            idle_closed, busy_closed = idle.closed, busy.closed
            await asyncio.sleep(1)
            return idle_closed, busy_closed, busy

        idle_closed, busy_closed, busy = self.run_paused(scenario())
        self.assertTrue(idle_closed)
        self.assertFalse(busy_closed)
        self.assertIn(b"Connection: close", busy.received)
        self.assertTrue(busy.closed)

    def test_draining_closes_a_connection_after_its_current_stream(self):
        async def scenario():
            async def handler(request, responder):
                self.handled += 1
                await responder.start_stream(200, ())
                await asyncio.sleep(1)
                await responder.finish()

            self.handled = 0
            server = await self.serve(handler)
            caller = await self.call(GET, pause_s=0.5)
            server.drain()
            await asyncio.sleep(1)
            return caller

        caller = self.run_paused(scenario())
        self.assertTrue(caller.received.endswith(b"0\r\n\r\n"))
        self.assertTrue(caller.closed)

    def test_announce_close_keeps_idle_connections_open_until_their_next_response(self):
        async def scenario():
            server = await self.serve()
            idle = await self.call(GET)
            server.announce_close()
            await asyncio.sleep(1)
            still_open = not idle.closed
            idle.transport.write(GET)
            late = await self.call(GET)
            await asyncio.sleep(0.1)
            return still_open, idle, late

        still_open, idle, late = self.run_paused(scenario())
        self.assertTrue(still_open)
        for caller in (idle, late):
            self.assertIn(b"Connection: close", caller.received)
            self.assertTrue(caller.closed)

    def test_connection_close_of_the_caller_is_respected(self):
        async def scenario():
            await self.serve()
            return await self.call(GET[:-2] + b"Connection: close\r\n\r\n")

        caller = self.run_paused(scenario())
        self.assertIn(b"Connection: close", caller.received)
        self.assertTrue(caller.closed)

    def test_a_stream_pauses_while_the_caller_does_not_read(self):
        async def scenario():
            sent = []

            async def handler(request, responder):
                await responder.start_stream(200, ())
                for number in range(100):
                    await responder.send(b"x" * 8000)
                    sent.append(number)
                await responder.finish()

            await self.serve(handler)
            caller = await self.call()
            caller.transport.pause_reading()
            caller.transport.write(GET)
            await asyncio.sleep(1)
            held = len(sent)
            caller.transport.resume_reading()
            await asyncio.sleep(1)
            return held, len(sent), caller

        held, sent, caller = self.run_paused(scenario())
        self.assertLess(held, 12)
        self.assertEqual(sent, 100)
        self.assertTrue(caller.received.endswith(b"0\r\n\r\n"))


class OldVersionTest(IngressCase):
    """Callers of HTTP/1.0, which can't read chunks: the end of the connection ends a body."""

    OLD_GET = GET.replace(b"HTTP/1.1", b"HTTP/1.0")

    async def stream(self, request, responder):
        await responder.start_stream(200, ())
        await responder.send(b"one ")
        await responder.send(b"two")
        await responder.finish()

    def test_stream_is_not_chunked_and_ends_with_the_connection(self):
        for request in (self.OLD_GET, self.OLD_GET[:-2] + b"Connection: keep-alive\r\n\r\n"):
            with self.subTest(request):

                async def scenario(request=request):
                    await self.serve(self.stream)
                    return await self.call(request)

                caller = self.run_paused(scenario())
                head, _, body = caller.received.partition(b"\r\n\r\n")
                self.assertNotIn(b"transfer-encoding", head.lower())
                self.assertIn(b"Connection: close", head)
                self.assertEqual(body, b"one two")
                self.assertTrue(caller.closed)
                self.assertFalse(caller.reset)

    def test_stream_of_a_caller_that_can_read_chunks_stays_chunked(self):
        async def scenario():
            await self.serve(self.stream)
            return await self.call(GET)

        caller = self.run_paused(scenario())
        self.assertTrue(caller.received.endswith(b"4\r\none \r\n3\r\ntwo\r\n0\r\n\r\n"))
        self.assertFalse(caller.closed)


class InterruptedOldStreamTest(unittest.IsolatedAsyncioTestCase):
    """An unfinished stream without chunks has to be reset, on the sockets of the system."""

    async def asyncSetUp(self):
        self.finishing = asyncio.Event()
        self.server = IngressServer(handler=self.stream)
        self.port = await self.server.start("127.0.0.1", 0)

    async def asyncTearDown(self):
        self.server.close()
        await asyncio.sleep(0)

    async def stream(self, request, responder):
        await responder.start_stream(200, ())
        await responder.send(b"part")
        if request.target == b"/failing":
            await self.finishing.wait()
            raise ValueError("broken")
        await self.finishing.wait()
        await responder.finish()

    async def open_stream(self, target):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(b"GET %s HTTP/1.0\r\nHost: n\r\n\r\n" % target)
        await reader.readuntil(b"part")
        self.addCleanup(writer.close)
        return reader, writer

    async def test_stream_that_fails_is_reset(self):
        reader, _ = await self.open_stream(b"/failing")
        self.finishing.set()
        with self.assertRaises(ConnectionResetError):
            await reader.read()

    async def test_stream_that_is_cut_off_at_shutdown_is_reset(self):
        reader, _ = await self.open_stream(b"/")
        self.server.close()
        with self.assertRaises(ConnectionResetError):
            await reader.read()

    async def test_stream_to_a_caller_that_closed_its_sending_side_is_reset(self):
        reader, writer = await self.open_stream(b"/")
        writer.write_eof()
        with self.assertRaises(ConnectionResetError):
            await reader.read()

    async def test_stream_that_ends_well_is_closed_without_a_reset(self):
        reader, _ = await self.open_stream(b"/")
        self.finishing.set()
        self.assertEqual(await reader.read(), b"")


class SentAheadTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_close_is_seen_while_requests_sent_ahead_pause_reading(self):
        """Guards against work for a caller that left, as its close is behind unread bytes."""
        ended = asyncio.Event()

        async def handler(request, responder):
            try:
                await asyncio.sleep(60)
            finally:
                ended.set()

        server = IngressServer(handler=handler)
        port = await server.start("127.0.0.1", 0)
        self.addCleanup(server.close)
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(GET * (MAX_PENDING_REQUESTS + 1))
        await writer.drain()
        await asyncio.sleep(0.2)
        # These stay unread, in front of the close.
        writer.write(GET * 10)
        writer.close()
        async with asyncio.timeout(5):
            await ended.wait()


class LimitsInForceTest(IngressCase):
    def test_an_idle_connection_takes_the_limits_that_are_in_force_at_its_next_request(self):
        """Guards against 413 by a limit that the operator has raised meanwhile."""
        large = b"POST /a/ HTTP/1.1\r\nHost: n\r\nContent-Length: 500\r\n\r\n" + b"x" * 500

        async def scenario():
            server = await self.serve()
            caller = await self.call(POST)
            server.limits = replace(LIMITS, max_body_bytes=1000)
            caller.transport.write(large)
            await asyncio.sleep(0.1)
            return caller.statuses

        self.assertEqual(self.run_paused(scenario()), [200, 200])
