"""Reads the configuration stream continuously."""

import asyncio
import random

from ..backing import LogClient, OffsetTrimmedError, PlatformUnavailableError
from ..kernel import Event, log_event
from ._records import CONFIG_STREAM
from ._store import ConfigStore

LONG_POLL_S = 5.0
RETRY_DELAY_S = 1.0
MIN_INTERVAL_SHARE = 0.6


class ConfigTail:
    """Keeps a store up to date from the log.

    Args:
        log: The log to read.
        store: The store to advance.
        interval_s: The maximum time between two reads, reduced by random jitter; zero to follow the
            log with long polls.
        seed: Seeds the jitter.

    Attributes:
        log_reachable: Whether the last read succeeded.
        last_read_s: When the last read succeeded, or `run` started, on the event loop's clock.
        reads: The number of reads of the log.
    """

    def __init__(
        self, *, log: LogClient, store: ConfigStore, interval_s: float = 0.0, seed: int = 0
    ) -> None:
        self._log = log
        self._store = store
        self._interval_s = interval_s
        self._random = random.Random(seed)
        self._next_offset = 1
        self.log_reachable = False
        self.last_read_s = 0.0
        self.reads = 0

    async def run(self) -> None:
        """Read the log until cancelled."""
        self.last_read_s = self.last_read_s or asyncio.get_running_loop().time()
        while True:
            try:
                if self._interval_s:
                    await self._read_to_end()
                    share = self._random.uniform(MIN_INTERVAL_SHARE, 1.0)
                    await asyncio.sleep(self._interval_s * share)
                else:
                    await self.read_once(wait_s=LONG_POLL_S)
            except PlatformUnavailableError as error:
                if self.log_reachable:
                    log_event(Event.LOG_READ_FAILED, error=str(error))
                self.log_reachable = False
                await asyncio.sleep(RETRY_DELAY_S)

    async def read_once(self, *, wait_s: float = 0.0) -> bool:
        """Read one page; raises `PlatformUnavailableError`.

        Returns:
            Whether there may be more to read at once.
        """
        # Records that a peer sent need not be read from the log.
        start = max(self._next_offset, self._store.state.offset + 1)
        self.reads += 1
        try:
            page = await self._log.read(CONFIG_STREAM, start, wait_s=wait_s)
        except OffsetTrimmedError as error:
            self._record_read()
            self._next_offset = max(self._next_offset, error.first_offset)
            return True
        self._record_read()
        self._store.advance(page.records)
        self._next_offset = max(self._next_offset, page.next_offset)
        return page.next_offset < page.end_offset

    async def _read_to_end(self) -> None:
        while await self.read_once():
            pass

    def _record_read(self) -> None:
        self.log_reachable = True
        self.last_read_s = asyncio.get_running_loop().time()
