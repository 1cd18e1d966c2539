"""Tests of the HTTP/1.1 server: requests, limits and timeouts."""

import asyncio

from cicadatiller.ingress import IngressLimits, Response

from .support.callers import CHUNKED, GET, POST, IngressCase

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

    def test_connections_closed_for_idleness_are_counted(self):
        async def scenario():
            server = await self.serve()
            idle, left = await self.call(GET), await self.call(GET)
            left.transport.abort()
            await asyncio.sleep(16.0)
            return idle.closed, server.idle_closed

        self.assertEqual(self.run_paused(scenario()), (True, 1))

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
