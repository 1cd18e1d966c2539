"""Whether the store answers the reads of one topic, and when to read again if it does not."""

import asyncio
import random
from collections.abc import Callable

from ..fleet import StoreUnavailableError, Topic
from ..kernel import Event, log_event

FIRST_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 1.0
RETRY_JITTER = 0.3
# Without a successful read by any entry for this time, the store counts as having had an outage.
OUTAGE_S = 1.5
# Registrations of targets that expired during an outage are renewed within about two seconds of
# its end.
REMOVAL_GRACE_S = 2.0


class ReadHealth:
    """The outcomes of the reads of one topic, by this entry and by its peers.

    Args:
        topic: The topic.
        on_recovered: Called when records can be read again after an outage of the store.

    Attributes:
        last_read_s: The loop time of the newest read by any entry.
    """

    def __init__(self, *, topic: Topic, on_recovered: Callable[[], None]) -> None:
        self.last_read_s = float("-inf")
        self._topic = topic
        self._on_recovered = on_recovered
        self._loop = asyncio.get_running_loop()
        self._has_read = False
        # Since the last read by this entry, and since the newest by any.
        self._failures = 0
        self._failures_since_read = 0
        self._last_recovery_s = float("-inf")

    @property
    def removal_grace_s(self) -> float:
        """Return the time for which a key that is removed now may still be written again."""
        return max(0.0, self._last_recovery_s + REMOVAL_GRACE_S - self._loop.time())

    def retry_delay_s(self) -> float:
        """Return the time until the next read after a failure, with jitter.

        It grows with the failures since the newest read by any entry: while peers read the store,
        only this entry has no access.
        """
        delay_s: float = FIRST_RETRY_DELAY_S * 2.0 ** (self._failures_since_read - 1)
        jitter = random.uniform(1 - RETRY_JITTER, 1 + RETRY_JITTER)
        return min(MAX_RETRY_DELAY_S, delay_s) * jitter

    def record_read(self) -> None:
        """Record a read by this entry or a peer."""
        now_s = self._loop.time()
        # An entry that started in an outage may know the records from peers already.
        had_outage = now_s - self.last_read_s > OUTAGE_S if self._has_read else self._failures > 0
        self._has_read = True
        self._failures_since_read = 0
        self.last_read_s = now_s
        if had_outage:
            self._last_recovery_s = now_s
            self._on_recovered()

    def record_failure(self, error: StoreUnavailableError) -> None:
        """Record a read of this entry that failed."""
        self._failures += 1
        self._failures_since_read += 1
        if self._failures == 1:
            log_event(Event.LOG_READ_FAILED, topic=self._topic.value, error=str(error))

    def record_success(self, *, next_offset: int | None) -> None:
        """Record that a read of this entry from an offset succeeded."""
        if not self._failures:
            return
        log_event(
            Event.LOG_READ_AGAIN,
            topic=self._topic.value,
            offset=next_offset,
            failures=self._failures,
        )
        self._failures = 0
        self._on_recovered()
