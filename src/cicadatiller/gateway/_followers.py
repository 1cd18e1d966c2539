"""Followers that keep up with the topics of the store, directly or through peers."""

import asyncio
import random
from collections.abc import Callable, Mapping

from ..fleet import (
    HistoryLostError,
    KeyedLog,
    KeyedPage,
    KeyedRecord,
    StorePosition,
    StoreUnavailableError,
    Topic,
)
from ..kernel import Event, log_event
from ._known_records import CatchUpPage, KnownRecords
from ._read_health import ReadHealth
from ._store_era import StoreEra
from ._topic_sink import TopicSink

READ_JITTER = 0.5
# After this many reads in a row with new records, only the newest record of each key is read, since
# the records between would delay it.
MAX_READS_OF_ALL_RECORDS = 2
# In a new era all entries read all topics again; the reads are spread over this time.
ERA_READ_JITTER_S = 0.4


class TopicFollower:
    """Reads new records of one topic, unless a peer has just read and sent them.

    Args:
        log: The store.
        topic: The topic to follow.
        sink: Applies the records.
        wait_s: Maximum time for which a long poll waits for a record.
        interval_s: Maximum age of the newest read by any entry; after it this entry reads. 0 to
            read without a pause.
        change_interval_s: Minimum time between the end of a read with new records and the next
            read. Records that come faster are read together.
        on_read: Called with the topic, the first offset and the page that this entry read.
        on_change: Called after records were applied, from the store or from a peer.
        on_store_recovered: Called when records can be read again after an outage of the store.

    Attributes:
        interval_s: As the argument.
        change_interval_s: As the argument.
        created_s: The loop time at which it was created.
        era: The store's newest era; the followers of an entry share it.
    """

    def __init__(
        self,
        *,
        log: KeyedLog,
        topic: Topic,
        sink: TopicSink,
        wait_s: float = 0.0,
        interval_s: float = 0.0,
        change_interval_s: float = 0.0,
        on_read: Callable[[Topic, int, KeyedPage], None] = lambda topic, from_offset, page: None,
        on_change: Callable[[], None],
        on_store_recovered: Callable[[], None] = lambda: None,
    ) -> None:
        self._log = log
        self._topic = topic
        self._sink = sink
        self._wait_s = wait_s
        self.interval_s = interval_s
        self.change_interval_s = change_interval_s
        self._reads_with_records = 0
        self._on_read = on_read
        self._on_change = on_change
        self._health = ReadHealth(topic=topic, on_recovered=on_store_recovered)
        self._loop = asyncio.get_running_loop()
        self.created_s = self._loop.time()
        self.era = StoreEra()
        self._delayed_for_era: int | None = None
        self._known = KnownRecords()
        self._read_due_s = float("inf")
        self._awaited = StorePosition()
        self._wake_up = asyncio.Event()
        self._read_timeout: asyncio.Timeout | None = None
        self._is_polling = False

    @property
    def position(self) -> StorePosition | None:
        """Return the position of the next read; None until the topic has been read."""
        return self._known.position

    @property
    def next_offset(self) -> int | None:
        """Return the offset of `position`."""
        return None if self.position is None else self.position.offset

    @property
    def is_of_earlier_era(self) -> bool:
        """Return whether the records are of an earlier era than the store's newest."""
        newest = self.era.newest
        return newest is not None and self.position is not None and self.position.era < newest

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        while True:
            await self._wait_until_due()
            try:
                await self._read_until_renewed()
            except StoreUnavailableError as error:
                self._health.record_failure(error)
                await self._sleep(self._health.retry_delay_s())

    def read_soon(self) -> None:
        """Read the topic now, as the known records may be out of date."""
        self._health.last_read_s = float("-inf")
        self._restart_read()

    def renew_poll(self) -> None:
        """Restart a running long poll, as the store may have lost it in an outage.

        A read of the newest records, which does not wait for any, goes on.
        """
        if self._is_polling or self._read_timeout is None:
            self._restart_read()

    def era_risen(self) -> None:
        """Read the topic again, if its records are of an earlier era."""
        if self.is_of_earlier_era:
            self._restart_read()

    def read_within(self, delay_s: float, *, end: StorePosition) -> None:
        """Read the topic after a delay, unless the records before `end` are known by then.

        Args:
            delay_s: The delay.
            end: The store has records up to this position.
        """
        self.era.observe(end.era)
        if self.position is None or self.position < end:
            self._awaited = end
            self._read_due_s = self._loop.time() + delay_s
            self._wake_up.set()

    def page_since(
        self, position: StorePosition, *, complete_until: int, max_bytes: int
    ) -> CatchUpPage | None:
        """Return what an entry lacks that has read up to a position; see `KnownRecords`."""
        return self._known.page_since(position, complete_until=complete_until, max_bytes=max_bytes)

    def held(self) -> tuple[KeyedRecord, ...]:
        """Return the records of earlier eras that are in force against the store's own."""
        return self._sink.held()

    def apply_held(self, records: tuple[KeyedRecord, ...]) -> None:
        """Apply records that a peer holds against those of the store."""
        self._sink.apply_held(records)
        self._on_change()

    def apply_catch_up(
        self, page: KeyedPage, *, is_complete: bool, complete_until: int = 0
    ) -> None:
        """Apply the records with which a peer brought this entry up to date.

        They do not count as a read of the store, as the peer may have read them long ago.

        Args:
            page: The records.
            is_complete: Whether `page` has the newest record of every key.
            complete_until: The offset up to which this entry knew all removals; 0 if it had no
                records before the first page.
        """
        position = self.position
        if page.end <= (position or StorePosition()):
            return
        self.era.observe(page.era)
        if position is not None and page.era > position.era:
            if is_complete and page.era == self.era.newest:
                self._merge(page)
            return
        if is_complete:
            self._replace(page)
            return
        if not complete_until:
            self._known.forget_removals_before(page.next_offset)
        self._apply(page)

    def apply_read_of_peer(self, from_offset: int, page: KeyedPage) -> None:
        """Apply records that a peer has just read from the store.

        Records after a gap or of another era are ignored; the gap is closed by this entry's next
        read or by `apply_catch_up`.

        Args:
            from_offset: The first offset of the peer's read.
            page: The records.
        """
        position = self.position
        if position is None:
            return
        self.era.observe(page.era)
        if page.era != position.era or from_offset > position.offset:
            return
        self._health.record_read()
        self._apply(page)

    def _restart_read(self) -> None:
        self._wake_up.set()
        if self._read_timeout is not None and not self._read_timeout.expired():
            self._read_timeout.reschedule(self._loop.time())

    async def _wait_until_due(self) -> None:
        if self.position is None:
            return
        await self._wait_for_interval()
        if self.is_of_earlier_era and self._delayed_for_era != self.era.newest:
            self._delayed_for_era = self.era.newest
            await asyncio.sleep(random.uniform(0.0, ERA_READ_JITTER_S))

    async def _wait_for_interval(self) -> None:
        if self.interval_s == 0:
            if self._reads_with_records and not self.is_of_earlier_era:
                await self._sleep(self.change_interval_s)
            return
        interval_s = self.interval_s * random.uniform(1.0, 1.0 + READ_JITTER)
        while not self.is_of_earlier_era:
            if self.position is not None and self.position >= self._awaited:
                self._read_due_s = float("inf")
            due_s = min(self._health.last_read_s + interval_s, self._read_due_s)
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
            self._is_polling = False

    async def _sleep(self, delay_s: float) -> None:
        """Sleep until the delay has passed or `read_soon` or `renew_poll` is called."""
        self._wake_up.clear()
        try:
            async with asyncio.timeout(delay_s):
                await self._wake_up.wait()
        except TimeoutError:
            return

    async def _read_once(self) -> None:
        position = self.position
        must_read_all = self._reads_with_records >= MAX_READS_OF_ALL_RECORDS
        if position is None or self.is_of_earlier_era or must_read_all:
            await self._read_newest()
            return
        try:
            self._is_polling = True
            page = await self._log.read(self._topic, position.offset, wait_s=self._wait_s)
        except HistoryLostError as error:
            self._is_polling = False
            await self._handle_lost_history(error, position)
            return
        if not self._may_use(page.era, position):
            return
        self._health.record_read()
        self._health.record_success(next_offset=self.next_offset)
        self._count_read(has_records=bool(page.records))
        self._apply(page)
        self._on_read(self._topic, position.offset, page)

    def _may_use(self, era: int, position: StorePosition) -> bool:
        """Return whether a response of an era to a read from a position is of use.

        One of a later era is not: the position's offset means nothing there. All records are then
        read next.

        Raises:
            StoreUnavailableError: If it is of an earlier era, and so was sent before others.
        """
        if era < position.era:
            raise StoreUnavailableError(f"a late response of era {era}, after one of later eras")
        self.era.observe(era)
        # A peer's page may have moved this entry to a later era during the read.
        return era == position.era and self.position is not None and self.position.era == era

    async def _handle_lost_history(self, error: HistoryLostError, position: StorePosition) -> None:
        if error.era is None or self._may_use(error.era, position):
            await self._read_newest(lost_from=position)

    async def _read_newest(self, *, lost_from: StorePosition | None = None) -> None:
        """Read the newest record of each key.

        Args:
            lost_from: The position from which on the store has no records; None if it may have.

        Raises:
            StoreUnavailableError: If the response is of an earlier era than others before, or if
                the store has lost records and lists none after them.
        """
        page = await self._log.read_newest(self._topic)
        if self.era.newest is not None and page.era < self.era.newest:
            raise StoreUnavailableError(f"a late response of era {page.era}")
        if lost_from is not None and page.end <= lost_from:
            raise StoreUnavailableError(f"no records from offset {lost_from.offset} on")
        self.era.observe(page.era)
        self._health.record_read()
        self._health.record_success(next_offset=self.next_offset)
        position = self.position
        if position is not None and page.era > position.era:
            self._count_read(has_records=False)
            self._merge(page)
            return
        is_new = position is None or page.end > position
        self._count_read(has_records=is_new and position is not None)
        if is_new:
            self._replace(page)

    def _count_read(self, *, has_records: bool) -> None:
        self._reads_with_records = self._reads_with_records + 1 if has_records else 0

    def _apply(self, page: KeyedPage) -> None:
        """Apply the newest record of each key; those before it have no effect any more."""
        grace_s = self._health.removal_grace_s
        added = self._known.add(page)
        for record in added:
            self._sink.apply(record, grace_s=grace_s)
        if added:
            self._on_change()

    def _replace(self, page: KeyedPage) -> None:
        self._known.replace(page)
        self._sink.replace(page, grace_s=self._health.removal_grace_s)
        self._on_change()

    def _merge(self, page: KeyedPage) -> None:
        """Apply the first page of a new era."""
        before = self.position or StorePosition()
        self._sink.merge(page, before=self._known.newest)
        self._known.replace(page)
        log_event(
            Event.STORE_COPY_MERGED,
            topic=self._topic.value,
            era=page.era,
            offset=page.next_offset,
            era_before=before.era,
            offset_before=before.offset,
            held=len(self._sink.held()),
        )
        self._on_change()


def find_follower(
    followers: Mapping[Topic, TopicFollower], topic_name: str
) -> TopicFollower | None:
    """Return the follower of a topic by its name; None if this version does not know the topic."""
    return next((f for topic, f in followers.items() if topic.value == topic_name), None)
