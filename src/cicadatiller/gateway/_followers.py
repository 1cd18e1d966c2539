"""Followers that keep up with the topics of the store, directly or through peers."""

import asyncio
import random
from collections.abc import Callable
from typing import Protocol

from ..fleet import (
    HistoryLostError,
    KeyedLog,
    KeyedPage,
    KeyedRecord,
    StoreUnavailableError,
    Topic,
)
from ..kernel import Event, log_event

FIRST_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 1.0
RETRY_JITTER = 0.3
READ_JITTER_S = 0.25
# Without a successful read by any entry for this time, the store counts as having had an outage.
OUTAGE_S = 1.5
# Registrations of targets that expired during an outage are renewed within about two seconds of
# its end.
REMOVAL_GRACE_S = 2.0


class TopicSink(Protocol):
    """Applies the records of a topic."""

    def apply(self, record: KeyedRecord, *, grace_s: float) -> None:
        """Apply one record.

        Args:
            record: The record.
            grace_s: Time for which a removal may still be undone by a new record of the same key;
                see `REMOVAL_GRACE_S`.
        """

    def replace(self, page: KeyedPage, *, grace_s: float) -> None:
        """Apply a page with the newest record of each key; keys not in it are removed.

        Args:
            page: The page.
            grace_s: As for `apply`.
        """


class TopicFollower:
    """Reads new records of one topic, unless a peer has just read and sent them.

    Args:
        log: The store.
        topic: The topic to follow.
        sink: Applies the records.
        wait_s: Maximum time for which a long poll waits for a record.
        interval_s: Maximum age of the newest read by any entry; after it this entry reads. 0 to
            read without a pause.
        on_read: Called with the topic, the first offset and the page that this entry read.
        on_change: Called after records were applied, from the store or from a peer.
        on_store_recovered: Called when records can be read again after an outage of the store.

    Attributes:
        next_offset: First offset of the next read; None until the topic has been read.
    """

    def __init__(
        self,
        *,
        log: KeyedLog,
        topic: Topic,
        sink: TopicSink,
        wait_s: float = 0.0,
        interval_s: float = 0.0,
        on_read: Callable[[Topic, int, KeyedPage], None],
        on_change: Callable[[], None],
        on_store_recovered: Callable[[], None] = lambda: None,
    ) -> None:
        self.next_offset: int | None = None
        self._log = log
        self._topic = topic
        self._sink = sink
        self._wait_s = wait_s
        self._interval_s = interval_s
        self._on_read = on_read
        self._on_change = on_change
        self._on_store_recovered = on_store_recovered
        self._loop = asyncio.get_running_loop()
        self._newest: dict[str, KeyedRecord] = {}
        self._last_read_s = self._loop.time()
        self._last_change_s = self._loop.time()
        self._failures = 0
        self._last_recovery_s = float("-inf")
        self._wake_up = asyncio.Event()
        self._read_timeout: asyncio.Timeout | None = None

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        while True:
            await self._wait_until_due()
            try:
                await self._read_until_renewed()
            except StoreUnavailableError as error:
                self._record_failure(error)
                await self._sleep(self._retry_delay_s())

    def read_soon(self) -> None:
        """Read the topic now, as the known records may be out of date."""
        self._last_read_s = float("-inf")
        self.renew_poll()

    def renew_poll(self) -> None:
        """Restart a running long poll, as the store may have lost it in an outage."""
        self._wake_up.set()
        if self._read_timeout is not None and not self._read_timeout.expired():
            self._read_timeout.reschedule(self._loop.time())

    def newest(self) -> KeyedPage:
        """Return the newest record of each key."""
        records = sorted(self._newest.values(), key=lambda record: record.offset)
        return KeyedPage(records=tuple(records), next_offset=self.next_offset or 0)

    def unchanged_for_s(self) -> float:
        """Return the time since a record was last applied."""
        return self._loop.time() - self._last_change_s

    def apply_from_peer(self, from_offset: int | None, page: KeyedPage) -> None:
        """Apply records that a peer read.

        Records after a gap are ignored; the gap is closed by this entry's next read, or by a page
        with the newest record of each key.

        Args:
            from_offset: First offset of the peer's read; None if the page has the newest record of
                each key.
            page: The records.
        """
        if from_offset is None:
            if self.next_offset is None or page.next_offset > self.next_offset:
                log_event(Event.CONFIG_FROM_PEER, topic=self._topic.value, offset=page.next_offset)
                self._replace(page)
            return
        if self.next_offset is None or from_offset > self.next_offset:
            return
        self._apply(page)

    async def _wait_until_due(self) -> None:
        if self.next_offset is None or self._interval_s == 0:
            return
        jitter_s = random.uniform(0, READ_JITTER_S)
        while True:
            due_s = self._last_read_s + self._interval_s + jitter_s
            remaining_s = due_s - self._loop.time()
            if remaining_s <= 0:
                return
            await self._sleep(remaining_s)

    async def _read_until_renewed(self) -> None:
        try:
            async with asyncio.timeout(None) as self._read_timeout:
                await self._read_once()
        except TimeoutError:
            log_event(Event.POLL_RENEWED, topic=self._topic.value, offset=self.next_offset)
        finally:
            self._read_timeout = None

    async def _sleep(self, delay_s: float) -> None:
        """Sleep until the delay has passed or `read_soon` or `renew_poll` is called."""
        self._wake_up.clear()
        try:
            async with asyncio.timeout(delay_s):
                await self._wake_up.wait()
        except TimeoutError:
            return

    async def _read_once(self) -> None:
        from_offset = self.next_offset
        if from_offset is None:
            await self._read_newest()
            return
        try:
            page = await self._log.read(self._topic, from_offset, wait_s=self._wait_s)
        except HistoryLostError:
            await self._read_newest()
            return
        self._record_success()
        self._apply(page)
        self._on_read(self._topic, from_offset, page)

    async def _read_newest(self) -> None:
        page = await self._log.read_newest(self._topic)
        self._record_success()
        self._replace(page)

    def _apply(self, page: KeyedPage) -> None:
        self._record_read()
        grace_s = self._grace_s()
        known = self.next_offset or 0
        for record in page.records:
            if record.offset < known:
                continue
            self._update_newest(record)
            self._sink.apply(record, grace_s=grace_s)
            self._last_change_s = self._last_read_s
        self.next_offset = max(known, page.next_offset)
        if page.records:
            self._on_change()

    def _replace(self, page: KeyedPage) -> None:
        self._record_read()
        self._last_change_s = self._last_read_s
        self._newest = {record.key: record for record in page.records if record.value is not None}
        self._sink.replace(page, grace_s=self._grace_s())
        self.next_offset = max(self.next_offset or 0, page.next_offset)
        self._on_change()

    def _record_read(self) -> None:
        now_s = self._loop.time()
        had_outage = now_s - self._last_read_s > OUTAGE_S
        self._last_read_s = now_s
        if had_outage:
            self._last_recovery_s = now_s
            self._on_store_recovered()

    def _grace_s(self) -> float:
        """Return the time for which a key that is removed now may still be written again."""
        return max(0.0, self._last_recovery_s + REMOVAL_GRACE_S - self._last_read_s)

    def _update_newest(self, record: KeyedRecord) -> None:
        if record.value is None:
            self._newest.pop(record.key, None)
        else:
            self._newest[record.key] = record

    def _retry_delay_s(self) -> float:
        delay_s: float = FIRST_RETRY_DELAY_S * 2.0 ** (self._failures - 1)
        jitter = random.uniform(1 - RETRY_JITTER, 1 + RETRY_JITTER)
        return min(MAX_RETRY_DELAY_S, delay_s) * jitter

    def _record_failure(self, error: StoreUnavailableError) -> None:
        self._failures += 1
        if self._failures == 1:
            log_event(Event.LOG_READ_FAILED, topic=self._topic.value, error=str(error))

    def _record_success(self) -> None:
        if self._failures:
            log_event(
                Event.LOG_READ_AGAIN,
                topic=self._topic.value,
                offset=self.next_offset,
                failures=self._failures,
            )
            self._failures = 0
            self._on_store_recovered()
