"""Tests of the HTTP/1.1 server."""

import asyncio
import unittest

from cicadatiller.ingress import IngressLimits, IngressServer, Response

from .support.streams import NetworkCase

GET = b"GET /a/b HTTP/1.1\r\nHost: north.example\r\n\r\n"
POST = b"POST /a/ HTTP/1.1\r\nHost: n\r\nContent-Length: 3\r\n\r\nabc"
CHUNKED = b"POST /a/ HTTP/1.1\r\nHost: n\r\nTransfer-Encoding: chunked\r\n\r\n"
LIMITS = IngressLimits(
    max_header_bytes=1000, max_body_bytes=100, header_timeout_s=3.0, idle_timeout_s=15.0
)

MALFORMED = {
    "two lengths": b"POST / HTTP/1.1\r\nHost: n\r\nContent-Length: 3\r\n"
    b"Content-Length: 4\r\n\r\nabc",
    "equal lengths": b"POST / HTTP/1.1\r\nHost: n\r\nContent-Length: 3\r\n"
    b"Content-Length: 3\r\n\r\nabc",
    "length and chunks": b"POST / HTTP/1.1\r\nHost: n\r\nContent-Length: 5\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "signed length": b"POST / HTTP/1.1\r\nHost: n\r\nContent-Length: +3\r\n\r\nabc",
    "bare newline": b"GET / HTTP/1.1\r\nHost: n\nX: y\r\n\r\n",
    "bare return": b"GET / HTTP/1.1\r\nHost: n\rX: y\r\n\r\n",
    "space before colon": b"GET / HTTP/1.1\r\nHost : n\r\n\r\n",
    "folded header": b"GET / HTTP/1.1\r\nHost: n\r\nX: a\r\n b\r\n\r\n",
    "NUL in a value": b"GET / HTTP/1.1\r\nHost: n\r\nX: a\x00b\r\n\r\n",
    "bad chunk size": CHUNKED + b"zz\r\nabc\r\n0\r\n\r\n",
    "chunk longer than it says": CHUNKED + b"3\r\nabcd\r\n0\r\n\r\n",
    "newline after chunk size": CHUNKED + b"3\nabc\r\n0\r\n\r\n",
    "huge chunk size": CHUNKED + b"fffffffffffffffff\r\n",
    "unknown coding": b"POST / HTTP/1.1\r\nHost: n\r\n"
    b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    "disguised coding": b"POST / HTTP/1.1\r\nHost: n\r\n"
    b"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
    "two hosts": b"GET / HTTP/1.1\r\nHost: n\r\nHost: m\r\n\r\n",
    "no host": b"GET / HTTP/1.1\r\nX: y\r\n\r\n",
    "old version": b"GET /\r\n\r\n",
    "new version": b"GET / HTTP/2.0\r\nHost: n\r\n\r\n",
    "space in the target": b"GET /a b HTTP/1.1\r\nHost: n\r\n\r\n",
    "unknown method": b"FETCH / HTTP/1.1\r\nHost: n\r\n\r\n",
    "upgrade": b"GET / HTTP/1.1\r\nHost: n\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n",
}


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


class RequestTest(IngressCase):
    def test_requests_follow_each_other_on_one_connection(self):
        async def scenario():
            await self.serve()
            return await self.call(GET, POST, CHUNKED + b"3\r\nabc\r\n0\r\n\r\n")

        caller = self.run_paused(scenario())
        self.assertEqual(caller.statuses, [200, 200, 200])
        self.assertEqual([r.body for r in self.requests], [b"", b"abc", b"abc"])
        self.assertFalse(caller.closed)

    def test_a_request_may_arrive_byte_by_byte(self):
        async def scenario():
            await self.serve()
            parts = [bytes([byte]) for byte in POST]
            return await self.call(*parts, pause_s=0.01)

        caller = self.run_paused(scenario())
        self.assertEqual(caller.statuses, [200])
        self.assertEqual(self.requests[0].body, b"abc")

    def test_pipelined_requests_are_answered_in_order(self):
        async def scenario():
            order = []

            async def handler(request, responder):
                await asyncio.sleep(0.5 if request.target == b"/slow" else 0.0)
                order.append(request.target)
                await responder.answer(Response(status=200, body=request.target))

            await self.serve(handler)
            slow = GET.replace(b"/a/b", b"/slow")
            caller = await self.call(slow + GET + POST, pause_s=1.0)
            return caller, order

        caller, order = self.run_paused(scenario())
        self.assertEqual(order, [b"/slow", b"/a/b", b"/a/"])
        bodies = [answer.split(b"\r\n\r\n")[1] for answer in caller.received.split(b"HTTP/1.1")[1:]]
        self.assertEqual(bodies, [b"/slow", b"/a/b", b"/a/"])

    def test_more_pipelined_requests_than_max_pending_are_all_answered(self):
        async def scenario():
            await self.serve()
            return await self.call(*[GET * 20] * 3, pause_s=1.0)

        self.assertEqual(self.run_paused(scenario()).statuses, [200] * 60)

    def test_a_stream_to_a_head_request_has_no_body_that_the_next_response_could_follow(self):
        async def scenario():
            async def handler(request, responder):
                await responder.start_stream(200, ())
                await responder.send(b"part")
                await responder.finish()

            await self.serve(handler)
            return await self.call(GET.replace(b"GET", b"HEAD") * 2)

        head, _, rest = self.run_paused(scenario()).received.partition(b"\r\n\r\n")
        self.assertEqual(rest, head + b"\r\n\r\n")

    def test_malformed_requests_get_400_and_a_close_and_are_not_handled(self):
        for name, data in MALFORMED.items():
            with self.subTest(name):

                async def scenario(data=data):
                    await self.serve()
                    return await self.call(data, pause_s=1.0)

                caller = self.run_paused(scenario())
                self.assertEqual(caller.statuses, [400])
                self.assertTrue(caller.closed)
                self.assertEqual(self.requests, [])

    def test_data_after_a_malformed_request_is_ignored(self):
        async def scenario():
            await self.serve()
            return await self.call(MALFORMED["two lengths"] + GET, GET, pause_s=0.05)

        caller = self.run_paused(scenario())
        self.assertEqual(caller.statuses, [400])
        self.assertEqual(self.requests, [])

    def test_a_request_before_a_malformed_one_is_answered(self):
        async def scenario():
            await self.serve()
            return await self.call(GET + MALFORMED["bare newline"], pause_s=1.0)

        caller = self.run_paused(scenario())
        self.assertEqual(caller.statuses, [200, 400])
        self.assertEqual(len(self.requests), 1)

    def test_limits_of_header_and_body(self):
        long_value = b"x" * 1200
        cases = {
            "long header": (431, GET[:-2] + b"X: " + long_value + b"\r\n\r\n"),
            "header without end": (431, GET[:-2] + b"X: " + long_value + long_value),
            "many headers": (431, GET[:-2] + b"X: yyyy\r\n" * 120 + b"\r\n"),
            "long target": (431, GET.replace(b"/a/b", b"/" + long_value)),
            "declared body": (413, POST.replace(b"Length: 3", b"Length: 101")),
            "chunked body": (413, CHUNKED + (b"40\r\n" + b"y" * 64 + b"\r\n") * 2),
        }
        for name, (status, data) in cases.items():
            with self.subTest(name):

                async def scenario(data=data):
                    await self.serve()
                    parts = [data[i : i + 300] for i in range(0, len(data), 300)]
                    return await self.call(*parts, pause_s=0.02)

                caller = self.run_paused(scenario())
                self.assertEqual(caller.statuses, [status])
                self.assertEqual(self.requests, [])

    def test_a_body_at_its_limit_is_accepted(self):
        async def scenario():
            await self.serve()
            request = POST.replace(b"Length: 3", b"Length: 100").replace(b"abc", b"y" * 100)
            return await self.call(request)

        self.assertEqual(self.run_paused(scenario()).statuses, [200])

    def test_expect_100_continue_gets_an_interim_response(self):
        async def scenario():
            await self.serve()
            head = POST.replace(b"\r\n\r\nabc", b"\r\nExpect: 100-continue\r\n\r\n")
            return await self.call(head, b"abc")

        self.assertEqual(self.run_paused(scenario()).statuses, [100, 200])


class TimeoutTest(IngressCase):
    def test_headers_that_take_too_long_get_408(self):
        async def scenario():
            await self.serve()
            return await self.call(GET[:20], GET[20:30], pause_s=2.0)

        caller = self.run_paused(scenario())
        self.assertEqual(caller.statuses, [408])
        self.assertTrue(caller.closed)

    def test_an_idle_connection_is_closed_only_after_the_idle_timeout(self):
        async def scenario():
            await self.serve()
            caller = await self.call(GET, pause_s=14.9)
            early = caller.closed
            await asyncio.sleep(0.3)
            return early, caller.closed

        self.assertEqual(self.run_paused(scenario()), (False, True))

    def test_a_connection_with_a_request_being_handled_is_not_idle(self):
        async def scenario():
            async def handler(request, responder):
                await asyncio.sleep(60)
                await responder.answer(Response(status=200))

            await self.serve(handler)
            return await self.call(GET, pause_s=61)

        self.assertEqual(self.run_paused(scenario()).statuses, [200])

    def test_new_limits_apply_from_the_next_request(self):
        async def scenario():
            server = await self.serve()
            caller = await self.call(GET)
            server.limits = IngressLimits(max_body_bytes=2)
            caller.transport.write(POST)
            await asyncio.sleep(0.1)
            caller.transport.write(POST)
            await asyncio.sleep(0.1)
            return caller

        self.assertEqual(self.run_paused(scenario()).statuses[-1], 413)


class ConnectionBoundTest(IngressCase):
    async def serve_at_most(self, count):
        server = await self.serve()
        server.max_connections = count
        return server

    def test_connections_above_the_bound_are_closed_at_once_and_the_others_are_served(self):
        async def scenario():
            server = await self.serve_at_most(2)
            callers = await asyncio.gather(*(self.call(pause_s=0.1) for _ in range(5)))
            await asyncio.sleep(0.1)
            served = [caller for caller in callers if not caller.closed]
            for caller in served:
                caller.transport.write(GET)
            await asyncio.sleep(0.1)
            return server.open_connections, [caller.statuses for caller in callers]

        open_connections, statuses = self.run_paused(scenario())
        self.assertEqual(open_connections, 2)
        self.assertEqual(sorted(statuses), [[], [], [], [200], [200]])
        self.assertEqual(len(self.requests), 2)

    def test_request_on_a_connection_above_the_bound_is_not_handled(self):
        async def scenario():
            await self.serve_at_most(0)
            return await self.call(GET, pause_s=0.1)

        caller = self.run_paused(scenario())
        self.assertTrue(caller.closed)
        self.assertEqual((caller.received, self.requests), (b"", []))

    def test_a_connection_that_ends_makes_room_for_another_one(self):
        async def scenario():
            await self.serve_at_most(1)
            first = await self.call(GET)
            first.transport.close()
            await asyncio.sleep(0.1)
            return await self.call(GET)

        self.assertEqual(self.run_paused(scenario()).statuses, [200])


class ClosingTest(IngressCase):
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
