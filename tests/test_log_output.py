"""The log output: rate limits, and readers that stall or disappear."""

import asyncio
import json
import os
import unittest

from cicadatiller.kernel import LogOutput
from cicadatiller.kernel._log_output import MAX_LINES_PER_EVENT, MAX_PENDING_BYTES


class LogOutputTest(unittest.TestCase):
    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        self.output = LogOutput(fd=self.writer)

    def lines(self):
        os.set_blocking(self.reader, False)
        data = b""
        while True:
            try:
                part = os.read(self.reader, 1 << 20)
            except BlockingIOError:
                break
            data += part
        return [json.loads(line) for line in data.splitlines() if line]

    def log(self, number=201, timestamp=0.0, **fields):
        self.output({"number": number, "timestamp": timestamp, **fields})

    def test_each_message_is_a_line(self):
        self.log(request_id="a", when=object)
        self.log(request_id="b")
        self.assertEqual([line["request_id"] for line in self.lines()], ["a", "b"])

    def test_lines_of_one_event_are_rate_limited_and_counted(self):
        for number in range(MAX_LINES_PER_EVENT + 25):
            self.log(n=number)
        self.log(number=202)
        self.log(timestamp=1.5)
        lines = self.lines()
        self.assertEqual(len(lines), MAX_LINES_PER_EVENT + 2)
        self.assertEqual(lines[-1]["left_out"], 25)
        self.assertEqual(self.output.left_out, 25)

    def test_burst_of_one_kind_does_not_suppress_another(self):
        for _ in range(MAX_LINES_PER_EVENT + 25):
            self.log(number=202, kind="UNAUTHENTICATED")
        self.log(number=202, kind="OVERLOADED")
        self.assertEqual(self.lines()[-1]["kind"], "OVERLOADED")

    def test_stalled_reader_drops_lines_without_blocking(self):
        async def scenario():
            text = "x" * 1000
            count = 2 * (MAX_PENDING_BYTES + (1 << 20)) // 1000
            for number in range(count):
                self.log(number=number, text=text)
            dropped = self.output.dropped
            before = self.lines()
            await asyncio.sleep(0)
            while self.output._pending:
                await asyncio.sleep(0)
                before += self.lines()
            self.log(number=0, text="last")
            return count, dropped, before, self.lines()

        count, dropped, before, last = asyncio.run(scenario())
        self.assertGreater(dropped, 0)
        self.assertEqual(len(before), count - dropped)
        self.assertEqual(last[0]["dropped"], dropped)

    def test_number_of_lines_left_out_survives_a_dropped_line(self):
        for number in range(MAX_LINES_PER_EVENT + 25):
            self.log(n=number)
        self.log(timestamp=1.5, text="x" * (MAX_PENDING_BYTES + 1))
        self.log(timestamp=1.6)
        last = self.lines()[-1]
        self.assertEqual((last["dropped"], last["left_out"]), (1, 25))

    def test_closed_reader_raises_nothing(self):
        reader, writer = os.pipe()
        output = LogOutput(fd=writer)
        os.close(reader)
        output({"number": 1, "timestamp": 0.0})
        os.close(writer)
        self.assertEqual(output.dropped, 0)
