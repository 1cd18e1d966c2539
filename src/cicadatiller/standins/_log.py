"""A stand-in for the platform's log."""

import asyncio
import time
from collections import defaultdict

from ..backing import LogPage, LogRecord, OffsetTrimmedError, PlatformUnavailableError


class LogStandin:
    """An in-memory append-only log with configurable faults.

    Attributes:
        lose_replies: The number of upcoming appends that take effect and then fail.
        delay_s: The delay of each call.
        appends: The number of records appended.
    """

    def __init__(self) -> None:
        self._down = False
        self.lose_replies = 0
        self.delay_s = 0.0
        self.appends = 0
        self._streams: dict[str, list[LogRecord]] = defaultdict(list)
        self._trimmed: dict[str, int] = defaultdict(int)
        self._appended = asyncio.Event()

    @property
    def down(self) -> bool:
        """Whether every call fails before it takes effect, waiting reads included."""
        return self._down

    @down.setter
    def down(self, down: bool) -> None:
        self._down = down
        self._appended.set()
        self._appended = asyncio.Event()

    async def append(self, stream: str, payload: bytes) -> int:
        """Append a record and return its offset."""
        await self._apply_faults()
        records = self._streams[stream]
        offset = self._trimmed[stream] + len(records) + 1
        records.append(LogRecord(offset=offset, time_ms=int(time.time() * 1000), payload=payload))
        self.appends += 1
        self._appended.set()
        self._appended = asyncio.Event()
        if self.lose_replies > 0:
            self.lose_replies -= 1
            raise PlatformUnavailableError("the reply to the append was lost")
        return offset

    async def read(
        self, stream: str, from_offset: int, *, limit: int = 1000, wait_s: float = 0.0
    ) -> LogPage:
        """Read records, starting at an offset; wait up to `wait_s` for the first one.

        Args:
            stream: The stream to read.
            from_offset: The offset of the first record to return.
            limit: The maximum number of records.
            wait_s: The longest wait for a record if there is none yet.

        Raises:
            OffsetTrimmedError: If the offset was trimmed.
            PlatformUnavailableError: If the log is down.
        """
        await self._apply_faults()
        if wait_s > 0 and from_offset > self._end_offset(stream) - 1:
            await self._wait_for_records(stream, from_offset, wait_s)
            await self._apply_faults()
        first = self._trimmed[stream] + 1
        if from_offset < first:
            raise OffsetTrimmedError(first)
        start = from_offset - first
        records = tuple(self._streams[stream][start : start + limit])
        return LogPage(
            records=records,
            next_offset=from_offset + len(records),
            end_offset=self._end_offset(stream),
        )

    def trim(self, stream: str, first_offset: int) -> None:
        """Drop the records before an offset."""
        drop = max(0, first_offset - self._trimmed[stream] - 1)
        del self._streams[stream][:drop]
        self._trimmed[stream] += drop

    async def close(self) -> None:
        """Do nothing; there are no connections to close."""

    def _end_offset(self, stream: str) -> int:
        return self._trimmed[stream] + len(self._streams[stream]) + 1

    async def _apply_faults(self) -> None:
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if self.down:
            raise PlatformUnavailableError("the log is down")

    async def _wait_for_records(self, stream: str, from_offset: int, wait_s: float) -> None:
        try:
            async with asyncio.timeout(wait_s):
                while from_offset >= self._end_offset(stream) and not self.down:
                    await self._appended.wait()
        except TimeoutError:
            return
