"""Tests of answers that are cut, filled up by others, or followed by bytes that are none."""

import asyncio
import itertools
import re

from cicadatiller.fleet import StoreUnavailableError, Topic
from cicadatiller.platform import PlatformLog
from cicadatiller.platform._log import encode_record

from .support.known_red import known_red
from .support.scripted_fleet import ScriptedCase
from .support.scripted_targets import (
    LAST_CHUNK,
    STREAM_TYPE,
    chunk,
    frame,
    identify,
    sound_answer,
    stream_events,
    stream_head,
)
from .support.streams import NetworkCase


class TwoAttemptsTest(ScriptedCase):
    def test_recovered_target_writes_nothing_into_the_answer_of_another(self):
        """The caller reads slowly, so that the failure of the second target waits to be written."""
        size = 512 * 1024
        sends = []

        def answer(exchange):
            if exchange.kind != "request":
                return [sound_answer(exchange)]
            sends.append(exchange)
            if len(sends) > 1:
                return [0.4, frame(500, identify(exchange), b"x" * size)]
            event = stream_events(1, 1)
            rest = chunk(event[6:]) + chunk(stream_events(2, 5)) + LAST_CHUNK
            return [stream_head(exchange), 1.8, chunk(event[:6]), 0.5, rest]

        async def scenario(fleet):
            transport, caller = await fleet.open_caller()
            transport.write(fleet.render("stream"))
            transport.pause_reading()
            await asyncio.sleep(4.0)
            transport.resume_reading()
            await asyncio.sleep(0.5)
            return caller.data

        data = self.run_with_targets(scenario, answer)
        head, _, body = data.partition(b"\r\n\r\n")
        self.assertEqual((len(sends), head.split(b" ")[1]), (2, b"500"))
        self.assertEqual(body[size:], b"")


class CutAnswerTest(ScriptedCase):
    def answer_of_another(self, kind):
        """Return the answer of a target to another request of a kind."""
        headers = ((b"Attempt-Id", b"other"), (b"Server-Seal", b"o"), STREAM_TYPE)
        if kind == "stream":
            return frame(200, headers, stream_events(1, 5), is_chunked=True)
        return frame(200, headers[:2], b"of another")

    def test_head_with_the_ids_of_two_requests_is_no_answer(self):
        """A head that is cut within the signature, and an answer to another request after it."""
        for kind, service in (("unsafe", "pool"), ("safe", "pool"), ("stream", "engines")):
            with self.subTest(kind):

                def answer(exchange, number, kind=kind):
                    own = frame(200, identify(exchange))
                    cut = own.index(b"Server-Seal: s") + len(b"Server-Seal: s")
                    return [own[:cut], 0.02, self.answer_of_another(kind)]

                reply = self.ask(answer, kind=kind, kinds=(service,))
                self.assertNotEqual(reply.status, 200)

    def test_head_that_an_answer_without_an_id_fills_up_is_no_answer(self):
        """The head is cut at each byte behind the one by which it has the caller's id."""
        unmatched = frame(200, ((b"Server-Seal", b"s"),), b"noise")
        for delay_s in (0.0, 0.02):
            whole = frame(200, ((b"Attempt-Id", b"r1"), (b"Server-Seal", b"s"), (b"X", b"y z")))
            for cut in range(len(whole)):
                with self.subTest(delay_s=delay_s, cut=cut):

                    def answer(exchange, number, begin=whole[:cut], delay_s=delay_s):
                        return [begin, delay_s, unmatched] if delay_s else [begin + unmatched]

                    reply = self.ask(answer, kind="unsafe", kinds=("pool",), request_id="r1")
                    self.assertNotEqual(reply.status, 200)

    def test_body_that_another_answer_fills_up_is_not_whole(self):
        """The body ends at each place of the first lines of another answer, and reads differ."""
        body = b"x" * 60
        other = self.answer_of_another("unsafe")
        layouts = {
            "one read": lambda head, begin: [head + begin + other],
            "the head first": lambda head, begin: [head, 0.02, begin + other],
            "the other answer later": lambda head, begin: [head + begin, 0.02, other],
            "three reads": lambda head, begin: [head, 0.02, begin, 0.02, other],
            "the last byte later": lambda head, begin: [
                head + begin + other[: len(body) - len(begin) - 1],
                0.02,
                other[len(body) - len(begin) - 1 :],
            ],
        }
        for (name, layout), cut in itertools.product(layouts.items(), range(1, len(body) + 1)):
            with self.subTest(name, cut=cut):

                def answer(exchange, number, layout=layout, cut=cut):
                    head = frame(200, identify(exchange), body).removesuffix(body)
                    return layout(head, body[:-cut])

                reply = self.ask(answer, kind="unsafe", kinds=("pool",), request_id="a-long-id")
                self.assertNotEqual(reply.status, 200)

    # The end of the body comes before what would tell that the bytes are a head.
    @known_red
    def test_body_that_ends_in_a_head_whose_id_comes_later_is_not_whole(self):
        lines = b"HTTP/1.1 200 OK\r\nDate: Mon, 07 Dec 2026 20:00:00 GMT\r\n"
        other = self.answer_of_another("safe").partition(b"\r\n")[2]

        def answer(exchange, number):
            own = frame(200, identify(exchange), b"x" * 300)
            return [own[:-40], 0.03, lines, 0.03, other]

        reply = self.ask(answer, kind="unsafe", kinds=("pool",))
        self.assertEqual(reply.status, 502)

    def test_safe_request_whose_body_another_answer_fills_up_is_sent_again(self):
        def answer(exchange, number):
            own = sound_answer(exchange)
            return [own] if number > 1 else [own[:-8], 0.02, self.answer_of_another("safe")]

        reply = self.ask(answer, kind="safe", kinds=("pool", "pool"), request_id="a-long-id")
        self.assertEqual((reply.status, reply.body), (200, b"answer to a-long-id"))

    def test_body_that_a_copy_without_an_id_fills_up_is_not_whole(self):
        def answer(exchange, number):
            own = frame(200, identify(exchange), b"x" * 300)
            return [own[:-200], 0.02, frame(200, ((b"Server-Seal", b"s"),), b"ok" * 100)]

        reply = self.ask(answer, kind="unsafe", kinds=("pool",))
        self.assertEqual(reply.status, 502)

    def test_body_that_another_answer_fills_up_in_two_reads_is_not_whole(self):
        def answer(exchange, number):
            own = frame(200, identify(exchange), b"x" * 300)
            other = self.answer_of_another("unsafe")
            return [own[:-200], 0.02, other[:30], 0.02, other[30:]]

        reply = self.ask(answer, kind="unsafe", kinds=("pool",))
        self.assertEqual(reply.status, 502)

    def test_body_that_quotes_a_response_is_whole(self):
        quotes = (b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", b"ends with HTTP/1.1", b"H")
        for body in quotes:
            with self.subTest(body):

                def answer(exchange, number, body=body):
                    own = frame(200, identify(exchange), body)
                    return [own + self.answer_of_another("unsafe")]

                reply = self.ask(answer, kind="unsafe", kinds=("pool",))
                self.assertEqual((reply.status, reply.body), (200, body))

    def test_refused_answer_without_a_length_is_not_completed_by_the_end_of_the_connection(self):
        def answer(exchange, number):
            head = b"\r\n".join(b"%s: %s" % pair for pair in identify(exchange))
            own = b"HTTP/1.1 200 OK\r\n" + head + b"\r\n\r\n" + b"x" * 300
            return [own + self.answer_of_another("unsafe"), "close"]

        reply = self.ask(answer, kind="unsafe", kinds=("pool",))
        self.assertEqual(reply.status, 502)

    def test_event_that_is_cut_by_another_answer_is_not_passed_on(self):
        def answer(exchange, number):
            if number > 1:
                return [sound_answer(exchange)]
            events = stream_events(1, 2)
            begin = b"%x\r\n%s" % (1000, stream_events(3, 3)[:8])
            other = frame(200, ((b"Attempt-Id", b"other"), (b"Server-Seal", b"o")), b"of another")
            return [stream_head(exchange) + chunk(events), begin, 0.02, other, 0.02, "close"]

        reply = self.ask(answer)
        self.assertNotIn(b"other", reply.body)
        self.assert_whole_stream(reply)

    def test_caller_that_resumes_itself_gets_the_rest_although_a_target_breaks_off(self):
        """The first target ends its connection before any event, and states no length."""

        def answer(exchange, number):
            if number > 1:
                return [sound_answer(exchange)]
            whole = frame(200, (*identify(exchange), STREAM_TYPE))
            return [whole.replace(b"Content-Length: 0\r\n", b""), 0.02, "close"]

        reply = self.ask(answer, headers=((b"Last-Event-Id", b"3"),))
        self.assertEqual((reply.status, reply.events, reply.whole), (200, [4, 5], True))

    def test_unsafe_request_that_may_have_run_gets_no_status_that_says_it_has_not(self):
        for status in (408, 429, 503):
            with self.subTest(status):

                def answer(exchange, number, status=status):
                    return [frame(status, identify(exchange), b"ran")]

                reply = self.ask(answer, kind="unsafe", kinds=("pool",))
                self.assertNotIn(reply.status, (408, 421, 429, 503))

    def test_surplus_answer_without_a_length_is_not_passed_on(self):
        def answer(exchange, number):
            other = frame(200, ((b"Attempt-Id", b"other"), (b"Server-Seal", b"o")), b"of another")
            other = other.replace(b"Content-Length: 10\r\n", b"")
            return [other, 0.02, sound_answer(exchange), 0.02, "close"]

        for kind, service in (("unsafe", "pool"), ("stream", "engines")):
            with self.subTest(kind):
                reply = self.ask(answer, kind=kind, kinds=(service,), deadline_ms=1000)
                self.assertNotIn(b"other", reply.body)
                self.assertNotEqual(reply.status, 200)

    def test_surplus_answer_that_begins_with_the_end_of_an_answer_reaches_nobody(self):
        """It begins in the same read as the end of the answer, and ends in the next exchange."""
        for size in (1, 4, 30):
            with self.subTest(size):

                def answer(exchange, size=size):
                    own = sound_answer(exchange)
                    return [own + own[:size], 0.05, own[size:]]

                async def scenario(fleet):
                    return [await fleet.ask("unsafe", request_id=f"u{n}") for n in range(6)]

                replies = self.run_with_targets(scenario, answer, kinds=("pool",))
                bodies = [reply.body for reply in replies]
                self.assertEqual(bodies, [b"answer to u%d" % n for n in range(6)])

    def test_interim_response_of_another_request_does_not_disturb(self):
        def answer(exchange, number):
            hints = b"HTTP/1.1 103 Early Hints\r\nAttempt-Id: other\r\n\r\n"
            return [hints, 0.01, hints + sound_answer(exchange)]

        reply = self.ask(answer, kind="unsafe", kinds=("pool",), request_id="u1")
        self.assertEqual((reply.status, reply.body), (200, b"answer to u1"))

    def test_body_of_a_response_that_has_none_reaches_nobody(self):
        def answer(exchange):
            if exchange.request_id.startswith("n"):
                return [frame(204, identify(exchange), b"HTTP/1.1 200 OK\r\n\r\nof another")]
            return [sound_answer(exchange)]

        async def scenario(fleet):
            replies = []
            for n in range(4):
                replies.append(await fleet.ask("unsafe", request_id=f"n{n}"))
                replies.append(await fleet.ask("unsafe", request_id=f"u{n}"))
            return replies

        replies = self.run_with_targets(scenario, answer, kinds=("pool",))
        self.assertEqual([reply.status for reply in replies], [204, 200] * 4)
        self.assertFalse(any(b"another" in reply.body for reply in replies))


class LateBodyTest(ScriptedCase):
    """Tests that no connection is used again of which more may come."""

    def ask_behind(self, ask_first, answer_first):
        """Return the reply to a request behind one whose answer has a late rest, and the rest.

        The rest comes while the second request waits for its answer.
        """
        second_came = []

        def answer(exchange):
            if exchange.request_id == "u1":
                second_came.append(exchange)
                return [0.05, sound_answer(exchange)]
            if exchange.kind == "request":
                return answer_first(exchange)
            return [sound_answer(exchange)]

        async def scenario(fleet):
            await ask_first(fleet)
            reply = await fleet.ask("unsafe", request_id="u1", deadline_ms=2000)
            return reply, [exchange.number for exchange in second_came]

        return self.run_with_targets(scenario, answer, kinds=("pool",))

    async def send(self, fleet, data):
        """Send a request and wait until the beginning of its answer was passed on."""
        transport, caller = await fleet.open_caller()
        transport.write(data)
        await asyncio.sleep(0.02)
        self.assertTrue(caller.data.startswith(b"HTTP/1.1 "), caller.data)
        transport.abort()

    def assert_new_connection(self, ask_first, answer_first):
        reply, numbers = self.ask_behind(ask_first, answer_first)
        self.assertEqual((reply.status, reply.body), (200, b"answer to u1"))
        self.assertEqual(numbers, [1])

    def test_response_that_has_no_body_and_states_one(self):
        async def ask_first(fleet):
            await self.send(fleet, fleet.render("unsafe", request_id="n1"))

        for status in (204, 304):
            for stated in ((b"Content-Length", b"4"), (b"Transfer-Encoding", b"chunked")):
                with self.subTest(status, stated=stated):

                    def answer(exchange, status=status, stated=stated):
                        head = frame(status, (*identify(exchange), stated))
                        head = head.replace(b"Content-Length: 0\r\n", b"")
                        return [head, 0.03, b"rest"]

                    self.assert_new_connection(ask_first, answer)

    def test_response_to_a_head_request(self):
        async def ask_first(fleet):
            await self.send(fleet, fleet.render(request_id="h1").replace(b"GET", b"HEAD", 1))

        def answer(exchange):
            whole = frame(200, identify(exchange), b"rest")
            return [whole[:-4], 0.03, whole[-4:]]

        self.assert_new_connection(ask_first, answer)

    def test_response_whose_caller_left(self):
        async def ask_first(fleet):
            await fleet.ask(self.kind, request_id="l1", disconnect_after_s=0.02)

        def answer(exchange):
            whole = frame(200, identify(exchange), b"rest of the body")
            return [whole[: self.sent], 0.1, whole[self.sent :]]

        for self.kind in ("safe", "unsafe"):
            for self.sent in (0, 20, -16, -4):
                with self.subTest(self.kind, sent=self.sent):
                    self.assert_new_connection(ask_first, answer)


class CallerConnectionTest(ScriptedCase):
    def run_pipelined(self, requests, answer, *, pause_s=1.0):
        """Return what a caller receives that sends several requests at once."""

        async def scenario(fleet):
            transport, caller = await fleet.open_caller()
            data = [
                fleet.render(kind, request_id=request_id, path=f"/{kind}/{request_id}")
                for kind, request_id in requests
            ]
            transport.write(b"".join(data))
            await asyncio.sleep(pause_s)
            return caller.data

        return self.run_with_targets(scenario, answer, kinds=("pool", "engines", "engines"))

    def test_answers_to_pipelined_requests_come_in_their_order(self):
        def answer(exchange):
            slow = 0.2 if exchange.request_id in ("p1", "p3") else 0.0
            return [slow, sound_answer(exchange)]

        requests = [("unsafe", "p1"), ("stream", "p2"), ("safe", "p3"), ("unsafe", "p4")]
        data = self.run_pipelined(requests, answer)
        found = [line[12:] for line in data.split(b"\r\n") if line.startswith(b"Attempt-Id: ")]
        self.assertEqual(found, [b"p1", b"p2", b"p3", b"p4"])

    def test_nothing_follows_an_answer_that_was_cut(self):
        def answer(exchange):
            if exchange.request_id == "p2":
                return [stream_head(exchange) + chunk(stream_events(1, 2)), 0.02, "reset"]
            return [sound_answer(exchange)]

        requests = [("unsafe", "p1"), ("stream", "p2"), ("unsafe", "p3")]
        data = self.run_pipelined(requests, answer)
        self.assertNotIn(b"p3", data)
        self.assertFalse(data.endswith(b"0\r\n\r\n"))

    def test_request_that_waits_for_an_interim_response_gets_it_after_the_answer_before(self):
        async def scenario(fleet):
            transport, caller = await fleet.open_caller()
            first = fleet.render("unsafe", request_id="p1")
            second = fleet.render(
                "unsafe", request_id="p2", headers=((b"Expect", b"100-continue"),), body=b"later"
            )
            head, _, body = second.partition(b"\r\n\r\n")
            transport.write(first + head + b"\r\n\r\n")
            await asyncio.sleep(0.5)
            return caller.data

        data = self.run_with_targets(
            scenario, lambda exchange: [0.1, sound_answer(exchange)], kinds=("pool",)
        )
        self.assertTrue(data.startswith(b"HTTP/1.1 200"), data[:40])
        self.assertIn(b"HTTP/1.1 100", data)


class RepeatingStore(asyncio.Protocol):
    """A store with 500 records that repeats the first page on a connection to each later read."""

    RECORDS = 500
    PAGE_RECORDS = 100

    def __init__(self):
        self._first = None

    def connection_made(self, transport):
        self._transport = transport

    def data_received(self, data):
        first = int(re.search(rb"from=(\d+)", data)[1])
        last = min(first + self.PAGE_RECORDS, self.RECORDS)
        records = (encode_record(f"k{number}", b"v") for number in range(first, last))
        head = self.RECORDS.to_bytes(8, "big") + bytes(8)
        self._first = self._first or frame(200, body=head + b"".join(records))
        self._transport.write(self._first)


class StorePageTest(NetworkCase):
    def test_page_that_does_not_reach_the_end_is_not_taken_for_the_next_one(self):
        async def run():
            await asyncio.get_running_loop().create_server(RepeatingStore, "10.0.9.1", 80)
            log = PlatformLog(address="10.0.9.1:80")
            first = await log.read(Topic.TARGETS, 0)
            try:
                return await log.read(Topic.TARGETS, first.next_offset)
            except StoreUnavailableError:
                return None

        page = self.run_paused(run())
        if page is not None:
            self.assertEqual([r.key for r in page.records], [f"k{n}" for n in range(100, 200)])
