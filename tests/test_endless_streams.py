"""Streams whose targets send bytes without end that are no event."""

import asyncio
import tracemalloc
import unittest

from cicadatiller.egress import MalformedResponseError, ResponseHead
from cicadatiller.gateway._events import MAX_TURN_BLOCKS, EventSplitter, EventTooLongError
from cicadatiller.gateway._progress import Progress
from cicadatiller.gateway._stream import StreamRelay
from cicadatiller.platform import PlatformHeaders
from cicadatiller.routes import Route, RouteKind, Split

from .support.endless import EndlessSender
from .support.gateways import GatewayCase
from .support.streams import NetworkCase

# Blocks that no caller takes for an event, as none has data or a number as its id.
NO_EVENTS = {
    "id": b"id\n\n",
    "id without a number": b"id: x\n\n",
    "retry": b"retry: 3000\n\n",
    "long retry": b"retry: 3000" + b" " * 1011 + b"\n\n",
    "event": b"event: a\n\n",
    "comment": b":\n\n",
    "blank": b"\n\n",
    "blank with returns": b"\n\r\n",
    "unknown": b"gibberish\n\n",
}
EVENT_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)
PART_BYTES = 4096
ROUTE = Route(
    name="r-stream",
    host="n",
    path_prefix="/",
    kind=RouteKind.STREAM,
    splits=(Split(service="engines"),),
    timeout_s=60.0,
    target_latency_s=0.3,
    max_gap_s=0.25,
)
# What one entry may hold more while twelve such streams are read.
MAX_GROWTH_BYTES = 8 * 1024 * 1024
MAX_TAKEN_BYTES = 512 * 1024
# A failure may have a body of 1 MiB.
MAX_FAILURE_BYTES = 1200 * 1024


def chunk(data):
    """Return a chunk of a body."""
    return b"%x\r\n" % len(data) + data + b"\r\n"


def fill(block, size=PART_BYTES):
    """Return a chunk of a size that consists of one block again and again."""
    return chunk(block * max(1, size // len(block)))


class EndlessStreamCase(GatewayCase):
    def replace_target(self, fleet, number, first, part, **options):
        fleet.targets[f"t-{number}"].stop()
        server = EndlessSender(first, part, **options)
        fleet.network.listen(f"10.0.1.{number}", 80, server.accept)
        return server


class EndlessStreamTest(EndlessStreamCase):
    def test_a_resumed_stream_without_an_event_is_not_held_without_end(self):
        """review/6: what came before the first event of a resumed stream had no limit."""
        for name, block in NO_EVENTS.items():
            with self.subTest(name):

                async def scenario(fleet, block=block):
                    first, second = fleet.targets.values()
                    for target in (first, second):
                        target.script = lambda headers, number: 2
                    server = self.replace_target(fleet, 2, EVENT_HEAD, fill(block))
                    tracemalloc.start()
                    try:
                        replies = await fleet.ask_many(12, "stream", deadline_ms=9000)
                        return replies, server, tracemalloc.get_traced_memory()[1]
                    finally:
                        tracemalloc.stop()

                replies, server, peak_bytes = self.run_scenario(scenario, targets=("engines",) * 2)
                self.assertLess(peak_bytes, MAX_GROWTH_BYTES)
                self.assertLess(server.sent_bytes, 12 * MAX_TAKEN_BYTES)
                self.assertEqual(server.open_connections, 0)
                self.assertFalse(any(reply.whole and reply.status == 200 for reply in replies))
                self.assertLess(max(reply.taken_s for reply in replies), 3.0)

    def test_a_stream_without_an_event_after_sound_ones_ends(self):
        """review/7: blocks of a known field counted as events, so that they had no limit."""
        for name, block in NO_EVENTS.items():
            with self.subTest(name):

                async def scenario(fleet, block=block):
                    first = EVENT_HEAD + chunk(b"id: 1\ndata: 1\n\n")
                    server = self.replace_target(fleet, 1, first, fill(block))
                    replies = await fleet.ask_many(4, "stream", deadline_ms=9000)
                    return replies, server

                replies, server = self.run_scenario(scenario, targets=("engines",))
                self.assertLess(server.sent_bytes, 8 * MAX_TAKEN_BYTES)
                self.assertEqual(server.open_connections, 0)
                self.assertLess(max(reply.taken_s for reply in replies), 3.0)

    def test_a_stream_whose_blocks_come_slowly_ends_once_callers_wait_no_longer(self):
        """A target that sent a comment now and then kept its place until the deadline."""

        async def scenario(fleet):
            first = EVENT_HEAD + chunk(b"id: 1\ndata: 1\n\n")
            server = self.replace_target(fleet, 1, first, chunk(b":\n\n"), interval_s=0.3)
            reply = await fleet.ask("stream", deadline_ms=60_000)
            await asyncio.sleep(0.1)
            return reply, server

        reply, server = self.run_scenario(scenario, targets=("engines",))
        self.assertEqual(reply.events, [1])
        self.assertFalse(reply.whole)
        self.assertLess(reply.taken_s, 4.0)
        self.assertEqual(server.open_connections, 0)

    def test_a_stream_with_more_events_than_its_output_may_have_tokens_ends(self):
        """Soak seed 14003: events of some bytes went on until the deadline, with their memory."""

        async def scenario(fleet):
            part = fill(b"data\n\n")
            server = self.replace_target(fleet, 1, EVENT_HEAD, part, interval_s=0.01)
            reply = await fleet.ask("stream", deadline_ms=9000)
            await asyncio.sleep(0.1)
            return reply, server

        reply, server = self.run_scenario(scenario, targets=("engines",))
        self.assertFalse(reply.whole)
        self.assertLess(reply.taken_s, 2.0)
        self.assertEqual(server.open_connections, 0)

    def test_a_stream_with_an_id_of_thousands_of_digits_goes_on_at_another_target(self):
        """Python reads no number of more than 4,300 digits; the error ended the whole request."""

        async def scenario(fleet):
            first = chunk(b"id: 1\ndata: 1\n\nid: " + b"9" * 5000 + b"\ndata: 2\n\n")
            server = self.replace_target(fleet, 1, EVENT_HEAD + first, b"")
            return await fleet.ask_many(12, "stream", deadline_ms=5000), server

        replies, server = self.run_scenario(scenario, targets=("engines", "engines"))
        self.assertGreater(server.requests, 0)
        for reply in replies:
            self.assertEqual((reply.events, reply.whole), ([1, 2, 3, 4, 5], True))

    def test_silence_before_a_partial_event_does_not_end_a_stream(self):
        """A target may be silent for longer than callers wait; only bytes that are no event count."""
        target = _Source([(b"id: 1\ndata: 1\n\n", 0.0), (b"id: 2\nda", 9.0), (b"ta: 2\n\n", 0.1)])

        async def scenario():
            outcome, responder = await relay(target)
            return outcome.delivery.value, b"".join(responder.sent)

        self.assertEqual(
            NetworkCase.run_paused(self, scenario()),
            ("done", b"id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"),
        )


class EndlessFailureTest(EndlessStreamCase):
    """Issue 53 (LOST): callers of a stream heard nothing while a failure's body had no end."""

    def ask(self, head, *, interval_s, targets):
        async def scenario(fleet):
            server = self.replace_target(fleet, 1, head, 512 * b"x", interval_s=interval_s)
            replies = [await fleet.ask("stream", deadline_ms=9000) for _ in range(4)]
            await asyncio.sleep(0.1)
            return replies, server

        return self.run_scenario(scenario, targets=targets)

    def test_the_caller_gets_502_soon_and_little_is_read(self):
        for status in (b"404 X\r\n", b"500 X\r\n", b"503 X\r\nNot-Executed: 1\r\n"):
            for interval_s in (0.0001, 0.01, 60.0):
                with self.subTest(status=status, interval_s=interval_s):
                    replies, server = self.ask(
                        b"HTTP/1.1 " + status + b"\r\n",
                        interval_s=interval_s,
                        targets=("engines",),
                    )
                    self.assertEqual(replies[0].status, 502)
                    self.assertLess(replies[0].taken_s, 2.0)
                    self.assertLess(server.sent_bytes, len(replies) * MAX_FAILURE_BYTES)
                    # The entry may await a report.
                    self.assertLessEqual(server.open_connections, 1)

    def test_another_target_answers_within_the_time_for_which_callers_wait(self):
        for status in (b"404 X", b"500 X"):
            with self.subTest(status):
                replies, _ = self.ask(
                    b"HTTP/1.1 " + status + b"\r\n\r\n",
                    interval_s=0.01,
                    targets=("engines", "engines"),
                )
                for reply in replies:
                    self.assertEqual((reply.status, reply.events), (200, [1, 2, 3, 4, 5]))
                    self.assertLess(reply.taken_s, 2.2)


class TurnTest(unittest.IsolatedAsyncioTestCase):
    """What a relay does before other tasks get their turn."""

    async def test_a_relay_forwards_some_blocks_in_a_turn_however_fast_they_come(self):
        """review/7: thousands of blocks were forwarded before another request got its turn."""
        sound = b"id: 1\ndata: 1\n\n"
        blocks = {
            "data": b"data\n\n" * 4096,
            "numbered": b"".join(b"id: %d\n\n" % number for number in range(1, 4096)),
            "after sound events": sound + b"data:x\n\n" * 4096,
            "no events": sound + b"id\n\n" * 600,
        }
        for name, data in blocks.items():
            with self.subTest(name):
                parts = [data[at : at + PART_BYTES] for at in range(0, len(data), PART_BYTES)]
                counted = [0]
                ticker = asyncio.create_task(self._count_turns(counted))
                await relay(_Source([(part, 0.0) for part in parts]), counted=counted)
                ticker.cancel()
                self.assertLessEqual(max(counted), MAX_TURN_BLOCKS + 1)

    async def _count_turns(self, counted):
        while True:
            counted.append(0)
            await asyncio.sleep(0)


class SplitterLimitTest(unittest.TestCase):
    def test_all_blocks_are_returned_a_few_at_a_time(self):
        data = b"".join(b"id: %d\ndata: x\n\n" % number for number in range(500))
        splitter = EventSplitter()
        events = splitter.feed(data)
        self.assertEqual(len(events), MAX_TURN_BLOCKS)
        while splitter.is_behind:
            more = splitter.feed(b"")
            self.assertLessEqual(len(more), MAX_TURN_BLOCKS)
            events += more
        self.assertEqual(b"".join(event.data for event in events), data)
        self.assertFalse(splitter.has_partial_event)

    def test_blocks_without_an_event_are_limited_by_number_and_bytes(self):
        for name, block in NO_EVENTS.items():
            with self.subTest(name):
                splitter = EventSplitter()
                splitter.feed(b"id: 1\ndata: 1\n\n")
                taken_bytes = 0
                with self.assertRaises(EventTooLongError):
                    while taken_bytes < MAX_TAKEN_BYTES:
                        splitter.feed(block)
                        taken_bytes += len(block)


class _Source:
    """A connection whose parts are there at once, or after a time without data."""

    def __init__(self, parts):
        self._parts = list(parts)
        self.received_s = 0.0

    @property
    def is_readable(self):
        return not self._parts or not self._parts[0][1]

    async def read_body(self):
        if not self._parts:
            return b""
        data, silence_s = self._parts.pop(0)
        if silence_s:
            await asyncio.sleep(silence_s)
        self.received_s = asyncio.get_running_loop().time()
        return data


class _Responder:
    """Counts what is sent in each turn."""

    def __init__(self, counted):
        self.has_begun = False
        self.sent = []
        self._counted = counted

    async def start_stream(self, status, headers):
        self.has_begun = True

    async def send(self, data):
        self.sent.append(data)
        if self._counted:
            self._counted[-1] += 1

    async def finish(self):
        pass


async def relay(source, *, counted=None):
    """Forward all that a connection has; return the outcome, or the error, and the responder."""
    responder = _Responder(counted)
    relayed = StreamRelay(
        codec=PlatformHeaders(),
        route=ROUTE,
        progress=Progress(),
        responder=responder,
        on_output=lambda: None,
        on_first_event=lambda: None,
        is_alive=lambda: asyncio.sleep(0, True),
    )
    head = ResponseHead(status=200, headers=(), has_length=True)
    try:
        return await relayed.run(source, head, has_timeouts=False), responder
    except (MalformedResponseError, EventTooLongError) as error:
        return error, responder
