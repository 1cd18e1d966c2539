"""Tests of the HTTP/1.1 client."""

import asyncio
import sys
import unittest

from cicadatiller.egress import (
    ConnectionLostError,
    ConnectionPool,
    ConnectTimeoutEstimator,
    EgressError,
    MalformedResponseError,
    PoolLimits,
    ResponseMatcher,
    Substitute,
    TcpKeepalive,
    open_connection,
    render_request,
    render_request_head,
)

from .support.streams import NetworkCase

ADDRESS = "10.0.0.9:80"
CALL_MATCHER = ResponseMatcher(exchange="call", substitute=Substitute.SAME_KIND)
REQUEST = render_request(b"GET", b"/x", [(b"Host", b"n")])
WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Id: 1\r\n\r\nok"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
UNFRAMED = b"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nok"


class Server(asyncio.Protocol):
    """Runs the next of `steps` with the transport each time that data arrives."""

    def __init__(self, steps):
        self.steps = list(steps)
        self.received = b""
        self.transport = None
        self.lost = False

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.received += data
        if self.steps:
            self.steps.pop(0)(self.transport)

    def connection_lost(self, exc):
        self.lost = True


def send_parts(*parts):
    """Return a step that writes parts; "close" and "reset" close or abort the connection."""

    def step(transport):
        for part in parts:
            if part == "close":
                transport.close()
            elif part == "reset":
                transport.abort()
            else:
                transport.write(part)

    return step


class EgressCase(NetworkCase):
    async def connect(self, *steps):
        loop = asyncio.get_running_loop()
        self.servers = []

        def accept():
            self.servers.append(Server(steps))
            return self.servers[-1]

        loop.network.listen("10.0.0.9", 80, accept)
        return await open_connection(ADDRESS, timeout_s=1.0, keepalive=TcpKeepalive())

    async def ask(self, connection, **options):
        connection.start(REQUEST, **{"matcher": CALL_MATCHER, **options})
        head = await connection.read_head()
        body = await connection.read_whole_body(1000)
        return head, body, connection.finish()


class ResponseTest(EgressCase):
    def test_complete_responses(self):
        cases = {"length": (WHOLE, True), "chunks": (CHUNKED, True)}
        for name, (answer, reusable) in cases.items():
            with self.subTest(name):

                async def scenario(answer=answer):
                    return await self.ask(await self.connect(send_parts(answer)))

                head, body, kept = self.run_paused(scenario())
                self.assertEqual((head.status, body, kept), (200, b"ok", reusable))

    def test_a_response_without_length_ends_with_its_connection(self):
        async def scenario():
            return await self.ask(await self.connect(send_parts(UNFRAMED, "close")))

        head, body, kept = self.run_paused(scenario())
        self.assertEqual((body, kept, head.has_length), (b"ok", False, False))

    def test_incomplete_or_malformed_responses(self):
        cases = {
            "reset without length": (UNFRAMED, "reset"),
            "short of its length": (WHOLE[:-1], "close"),
            "short and reset": (WHOLE[:-1], "reset"),
            "no last chunk": (CHUNKED[:-5], "close"),
            "within its headers": (WHOLE[:30], "close"),
            "nothing": ("close",),
            "no answer": (b"garbage\r\n\r\n",),
            "two lengths": (WHOLE.replace(b"X-Id: 1", b"Content-Length: 3"),),
            "bad chunk": (CHUNKED.replace(b"2\r\n", b"g\r\n"),),
        }
        for name, steps in cases.items():
            with self.subTest(name):

                async def scenario(steps=steps):
                    connection = await self.connect(send_parts(*steps))
                    with self.assertRaises(EgressError):
                        await self.ask(connection)
                    return connection

                self.assertFalse(self.run_paused(scenario()).finish())

    def test_error_of_a_malformed_response_tells_what_is_wrong(self):
        headers = b"".join(b"X-%d: %s\r\n" % (number, b"v" * 1000) for number in range(100))
        cases = {
            "headers exceed": b"HTTP/1.1 200 OK\r\n" + headers + b"\r\n",
            "cannot parse": b"garbage\r\n\r\n",
        }
        for text, data in cases.items():
            with self.subTest(text):

                async def scenario(data=data):
                    connection = await self.connect(send_parts(data))
                    with self.assertRaises(MalformedResponseError) as caught:
                        await self.ask(connection)
                    return str(caught.exception)

                self.assertIn(text, self.run_paused(scenario()))

    def test_interim_responses_are_skipped(self):
        async def scenario():
            interim = b"HTTP/1.1 100 Continue\r\n\r\n"
            return await self.ask(await self.connect(send_parts(interim + WHOLE)))

        self.assertEqual(self.run_paused(scenario())[:2][1], b"ok")

    def test_a_response_to_an_earlier_request_is_discarded(self):
        async def scenario():
            late = WHOLE.replace(b"X-Id: 1", b"X-Id: 0").replace(b"ok", b"no")
            connection = await self.connect(send_parts(late, WHOLE))
            return await self.ask(
                connection,
                matcher=ResponseMatcher(exchange="request", id_header=b"x-id", exchange_id=b"1"),
            )

        head, body, _ = self.run_paused(scenario())
        self.assertEqual((head.find(b"x-id"), body), (b"1", b"ok"))

    def test_a_connection_with_data_after_the_response_is_not_reused(self):
        for name, extra in {"bytes": b"junk", "a second answer": WHOLE}.items():
            with self.subTest(name):

                async def scenario(extra=extra):
                    connection = await self.connect(send_parts(WHOLE + extra))
                    answer = await self.ask(connection)
                    await asyncio.sleep(0.1)
                    return answer, connection.is_open

                (_, body, kept), is_open = self.run_paused(scenario())
                self.assertEqual((body, kept, is_open), (b"ok", False, False))

    def test_data_on_an_idle_connection_closes_it(self):
        async def scenario():
            connection = await self.connect(send_parts(WHOLE))
            await self.ask(connection)
            self.servers[0].transport.write(WHOLE)
            await asyncio.sleep(0.1)
            with self.assertRaises(MalformedResponseError):
                connection.start(REQUEST, matcher=CALL_MATCHER)

        self.run_paused(scenario())

    def test_a_response_before_the_request_is_sent_is_read_and_the_connection_closed(self):
        async def scenario():
            connection = await self.connect(send_parts(WHOLE))
            loop = asyncio.get_running_loop()
            loop.network.links[0][1].pause_reading()
            connection.start(
                render_request(b"POST", b"/x", [], b"y" * 900_000), matcher=CALL_MATCHER
            )
            self.servers[0].transport.write(WHOLE)
            await connection.read_head()
            body = await connection.read_whole_body(1000)
            return body, connection.finish()

        self.assertEqual(self.run_paused(scenario()), (b"ok", False))

    def test_a_long_body_is_sent_whole_and_not_kept_by_the_idle_connection(self):
        """Guards against idle connections that hold the bodies of ended requests."""

        async def scenario():
            body = b"y" * 900_000
            head = render_request_head(b"POST", b"/x", [], len(body))

            def answer_when_whole(transport):
                server = self.servers[0]
                if len(server.received) < len(head) + len(body):
                    server.steps.insert(0, answer_when_whole)
                else:
                    transport.write(WHOLE)

            connection = await self.connect(answer_when_whole)
            references = sys.getrefcount(body)
            connection.start(head, matcher=CALL_MATCHER, body=body)
            await connection.read_head()
            await connection.read_whole_body(1000)
            is_reusable = connection.finish()
            is_whole = self.servers[0].received == head + body
            return is_whole, is_reusable, sys.getrefcount(body) - references

        self.assertEqual(self.run_paused(scenario()), (True, True, 0))

    def test_a_body_longer_than_allowed_is_an_error(self):
        async def scenario():
            long = WHOLE.replace(b"Length: 2", b"Length: 2000").replace(b"ok", b"y" * 2000)
            with self.assertRaises(MalformedResponseError):
                await self.ask(await self.connect(send_parts(long)))

        self.run_paused(scenario())

    def test_reading_pauses_while_the_response_is_not_consumed(self):
        async def scenario():
            size = 1_000_000
            answer = WHOLE.replace(b"Length: 2", b"Length: %d" % size)[:-2] + b"y" * size

            def step(transport):
                for start in range(0, len(answer), 8192):
                    transport.write(answer[start : start + 8192])

            connection = await self.connect(step)
            connection.start(REQUEST, matcher=CALL_MATCHER)
            await connection.read_head()
            await asyncio.sleep(1)
            held = size - self.servers[0].transport.get_write_buffer_size()
            body = await connection.read_whole_body(size)
            return held, len(body)

        held, size = self.run_paused(scenario())
        self.assertLess(held, 200_000)
        self.assertEqual(size, 1_000_000)


class ConnectTimeoutEstimatorTest(unittest.TestCase):
    def test_varying_connect_times_get_a_longer_timeout_than_steady_ones(self):
        steady, varying = ConnectTimeoutEstimator(), ConnectTimeoutEstimator()
        for number in range(40):
            steady.record_connect(0.05)
            varying.record_connect(0.02 if number % 2 else 0.08)
        self.assertLess(steady.timeout_s, varying.timeout_s)
        self.assertGreater(steady.timeout_s, 0.05)

    def test_the_timeout_adapts_to_a_network_that_became_slow(self):
        estimator = ConnectTimeoutEstimator()
        for _ in range(40):
            estimator.record_connect(0.002)
        before_s = estimator.timeout_s
        while estimator.timeout_s < 0.4:
            estimator.record_timeout()
        estimator.record_connect(0.4)
        self.assertLess(before_s, 0.2)
        self.assertGreater(estimator.timeout_s, 0.4)


class PoolTest(EgressCase):
    def test_connections_are_reused_until_max_idle_s(self):
        async def scenario():
            first = await self.connect(*[send_parts(WHOLE)] * 4)
            pool = ConnectionPool(limits=PoolLimits(max_idle_s=4.0))
            await self.ask_without_finish(first)
            pool.release(first)
            again = await pool.acquire(ADDRESS, matcher=CALL_MATCHER)
            same = again is first
            await self.ask_without_finish(again)
            pool.release(again)
            await asyncio.sleep(4.1)
            return same, await pool.acquire(ADDRESS, matcher=CALL_MATCHER) is first

        self.assertEqual(self.run_paused(scenario()), (True, False))

    def test_the_keep_alive_timeout_of_the_server_is_respected(self):
        async def scenario():
            short_keep_alive = WHOLE.replace(b"X-Id: 1", b"Keep-Alive: timeout=2")
            first = await self.connect(send_parts(short_keep_alive))
            pool = ConnectionPool()
            await self.ask_without_finish(first)
            pool.release(first)
            await asyncio.sleep(1.1)
            return await pool.acquire(ADDRESS, matcher=CALL_MATCHER) is first

        self.assertFalse(self.run_paused(scenario()))

    def test_a_connection_with_connection_close_is_not_reused(self):
        async def scenario():
            last = WHOLE.replace(b"X-Id: 1", b"Connection: close")
            first = await self.connect(send_parts(last))
            pool = ConnectionPool()
            await self.ask_without_finish(first)
            pool.release(first)
            return await pool.acquire(ADDRESS, matcher=CALL_MATCHER) is first

        self.assertFalse(self.run_paused(scenario()))

    def test_on_a_fast_network_a_hanging_connect_times_out_early(self):
        async def scenario():
            pool = ConnectionPool()
            await self.connect(*[send_parts(WHOLE)])
            for _ in range(20):
                await pool.acquire(ADDRESS, matcher=CALL_MATCHER)
            loop = asyncio.get_running_loop()
            loop.network.unreachable.add(ADDRESS)
            began_s = loop.time()
            with self.assertRaises(ConnectionLostError):
                await pool.acquire(
                    ADDRESS, matcher=CALL_MATCHER, timeout_s=pool.connect_timeout.timeout_s
                )
            return loop.time() - began_s

        self.assertLess(self.run_paused(scenario()), 0.2)

    def test_a_connect_without_reply_times_out(self):
        async def scenario():
            loop = asyncio.get_running_loop()
            loop.network.unreachable.add(ADDRESS)
            before_s = loop.time()
            with self.assertRaises(ConnectionLostError):
                await ConnectionPool().acquire(ADDRESS, matcher=CALL_MATCHER, timeout_s=0.5)
            return loop.time() - before_s

        self.assertAlmostEqual(self.run_paused(scenario()), 0.5, places=1)

    async def ask_without_finish(self, connection):
        connection.start(REQUEST, matcher=CALL_MATCHER)
        await connection.read_head()
        await connection.read_whole_body(1000)
