"""Tests against crowds of callers that don't behave, on the entry as a process.

They guard against a process that runs out of memory or descriptors, or that serves nobody else
meanwhile. They check what does not depend on the machine's speed: that the process lives, that its
peak memory and open descriptors stay under the limits in its settings, and that one ordinary
request is answered while the crowd is still there.
"""

import asyncio
import contextlib
import unittest
from dataclasses import dataclass

from .support.entry_process import ADDRESS, EntryProcess, request_head

MEMORY_MB = 80
# Of these, 200 are reserved for files.
MAX_FDS = 300
MAX_SOCKETS = 100
BODY_BYTES = 1_048_576
CROWD = 120
PIECE_BYTES = 16 * 1024
FAR_OVER_BYTES = 40 * BODY_BYTES
# By then all that the crowd has sent was read, or will not be.
SETTLE_S = 3.0
ORDINARY_TRIES = 8
ORDINARY_PAUSE_S = 0.5
WORK_S = 5.0
# Their lines have less than the limit of 16 KiB together.
FIELDS = 1500
FIRST_FIELD = "a0"

# With a route, without one, and those of the listeners for checks and metrics.
ROUTED, UNROUTED, READY, METRICS = "/unsafe/x", "/nowhere/x", "/readiness", "/metrics"
ORDINARY, LONG = "/safe/x", "/safe/long"


@dataclass(frozen=True, kw_only=True)
class Observed:
    """What an entry did while a crowd was there."""

    is_alive: bool
    peak_memory_mb: float
    most_sockets: int
    ordinary_status: int
    ready_status: int


class Crowd:
    """Connections that stay open until the test ends."""

    def __init__(self, port):
        self.port = port
        self._writers = []
        self._tasks = []

    async def open(self, behave, count=CROWD):
        """Open connections, each of which behaves in its own task."""
        for _ in range(count):
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(ADDRESS, self.port)
                self._writers.append(writer)
                self._tasks.append(asyncio.create_task(self._behave(behave, reader, writer)))

    async def _behave(self, behave, reader, writer):
        with contextlib.suppress(OSError):
            await behave(reader, writer)

    def close(self):
        for task in self._tasks:
            task.cancel()
        for writer in self._writers:
            writer.transport.abort()


@contextlib.asynccontextmanager
async def running_entry():
    """Run an entry with the limits of these tests."""
    entry = EntryProcess(memory_mb=MEMORY_MB, max_fds=MAX_FDS, max_body_bytes=BODY_BYTES)
    try:
        await entry.start()
        yield entry
    finally:
        entry.stop()


async def observe(behave, *, port_name, prepare):
    """Run an entry and a crowd that behaves in a way, and return what was seen."""
    async with running_entry() as entry:
        if prepare is not None:
            prepare(entry.target)
        crowd = Crowd(getattr(entry, port_name))
        try:
            await crowd.open(behave)
            await asyncio.sleep(SETTLE_S)
            ready_status = await entry.status(READY, port=entry.ready_port)
            ordinary_status = await ask_ordinarily(entry)
            return Observed(
                is_alive=entry.is_alive,
                peak_memory_mb=entry.peak_memory_mb,
                most_sockets=entry.most_sockets,
                ordinary_status=ordinary_status,
                ready_status=ready_status,
            )
        finally:
            crowd.close()


async def ask_ordinarily(entry):
    """Return the status of an ordinary request; callers repeat what was refused."""
    status = 0
    for _ in range(ORDINARY_TRIES):
        status = await entry.status(ORDINARY)
        if status == 200:
            break
        await asyncio.sleep(ORDINARY_PAUSE_S)
    return status


def work_long(target):
    """Let a target work for some seconds on each request of the crowd."""

    async def script(headers, number):
        if "content-length" in headers or FIRST_FIELD in headers:
            await asyncio.sleep(WORK_S)

    target.script = script


def answer_at_length(target):
    """Let a target answer with long bodies at one path."""
    target.bodies = {LONG: b"y" * 900_000}


async def write_in_pieces(writer, data, *, piece_bytes=PIECE_BYTES):
    """Write data in pieces, each once the one before was taken."""
    for start in range(0, len(data), piece_bytes):
        writer.write(data[start : start + piece_bytes])
        await writer.drain()


def almost_a_body(path):
    """Return a behaviour: a body of legal size, in one piece, that stops short of its end."""

    async def behave(reader, writer):
        writer.write(request_head(path, length=BODY_BYTES) + b"x" * (BODY_BYTES - 1))
        await writer.drain()

    return behave


def almost_a_body_in_pieces(path):
    """Return a behaviour: the same in small pieces."""

    async def behave(reader, writer):
        writer.write(request_head(path, length=BODY_BYTES))
        await write_in_pieces(writer, b"x" * (BODY_BYTES - 1))

    return behave


def almost_a_body_in_chunks(path):
    """Return a behaviour: the same in chunks, without the last one."""

    async def behave(reader, writer):
        head = request_head(path, headers=b"Transfer-Encoding: chunked\r\n")
        writer.write(head.replace(b"GET", b"POST", 1))
        chunk = b"%x\r\n" % PIECE_BYTES + b"x" * PIECE_BYTES + b"\r\n"
        await write_in_pieces(writer, chunk * (BODY_BYTES // PIECE_BYTES), piece_bytes=len(chunk))

    return behave


def whole_body(path):
    """Return a behaviour: a whole body of legal size, whose answer is awaited."""

    async def behave(reader, writer):
        writer.write(request_head(path, length=BODY_BYTES) + b"x" * BODY_BYTES)
        await writer.drain()
        await reader.read()

    return behave


def body_far_over_the_limit(path):
    """Return a behaviour: a body far over the limit, sent on whatever is answered."""

    async def behave(reader, writer):
        writer.write(request_head(path, length=FAR_OVER_BYTES))
        await write_in_pieces(writer, b"x" * (4 * BODY_BYTES))

    return behave


def many_short_fields(path):
    """Return a behaviour: requests of legal size made of very many short fields, sent ahead."""

    async def behave(reader, writer):
        fields = b"".join(b"a%x:\r\n" % number for number in range(FIELDS))
        writer.write(request_head(path, headers=fields) * 9)
        writer.write(request_head(path, headers=fields)[:-2])
        await writer.drain()

    return behave


def requests_ahead(path, *, count=200):
    """Return a behaviour: many requests sent ahead whose answers are not read."""

    async def behave(reader, writer):
        reader._transport.pause_reading()
        writer.write(request_head(path) * count)
        await writer.drain()

    return behave


def slow_sender(path):
    """Return a behaviour: a head that comes byte by byte and stops half-way."""

    async def behave(reader, writer):
        head = request_head(path)
        for start in range(len(head) // 2):
            writer.write(head[start : start + 1])
            await writer.drain()
            await asyncio.sleep(0.05)

    return behave


def slow_reader(path):
    """Return a behaviour: a request whose long answer is never read."""

    async def behave(reader, writer):
        reader._transport.pause_reading()
        writer.write(request_head(path))
        await writer.drain()

    return behave


class HostileCallersTest(unittest.TestCase):
    def check(self, behave, *, port_name="caller_port", prepare=None):
        """Check what must hold while a crowd behaves in a way."""
        found = asyncio.run(observe(behave, port_name=port_name, prepare=prepare))
        self.assertTrue(found.is_alive)
        self.assertLess(found.peak_memory_mb, MEMORY_MB)
        self.assertLess(found.most_sockets, MAX_SOCKETS)
        self.assertEqual(found.ordinary_status, 200)
        self.assertEqual(found.ready_status, 200)

    def test_bodies_in_one_piece_that_stop_short_of_their_end(self):
        self.check(almost_a_body(ROUTED))

    def test_bodies_in_small_pieces_that_stop_short_of_their_end(self):
        self.check(almost_a_body_in_pieces(UNROUTED))

    def test_bodies_in_chunks_that_stop_short_of_their_end(self):
        self.check(almost_a_body_in_chunks(ROUTED))

    def test_whole_bodies_at_once(self):
        self.check(whole_body(ROUTED), prepare=work_long)

    def test_bodies_far_over_the_limit(self):
        self.check(body_far_over_the_limit(ROUTED))

    def test_requests_of_very_many_short_fields(self):
        self.check(many_short_fields(ROUTED), prepare=work_long)

    def test_requests_sent_ahead_whose_answers_are_not_read(self):
        self.check(requests_ahead(LONG), prepare=answer_at_length)

    def test_heads_that_come_slowly_and_stop_half_way(self):
        self.check(slow_sender(ROUTED))

    def test_long_answers_that_are_not_read(self):
        self.check(slow_reader(LONG), prepare=answer_at_length)

    def test_bodies_at_the_readiness_check(self):
        self.check(almost_a_body(READY), port_name="ready_port")

    def test_slow_heads_at_the_readiness_check(self):
        self.check(slow_sender(READY), port_name="ready_port")

    def test_requests_ahead_at_the_metrics(self):
        self.check(requests_ahead(METRICS), port_name="metrics_port")

    def test_a_single_request_inside_the_limits_is_served_in_calm(self):
        async def ask():
            async with running_entry() as entry:
                return await entry.status(ROUTED, body=b"x" * BODY_BYTES)

        self.assertEqual(asyncio.run(ask()), 200)
