"""Keeps in the store what is known of what crashes targets, as all entries may be killed at once."""

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable, Iterable

from ..fleet import KeyedLog, StoreUnavailableError, Topic
from ..kernel import DocumentError, Event, load_object, log_event, rendezvous_weight
from ..mesh import Evidence, from_rows, to_rows
from ._exchange import EvidenceExchange

# The only record of the topic. What entries know of each other's evidence is nearly the same.
KEY = "evidence"
ROWS_FIELD = "rows"
MAX_RECORD_BYTES = 64 * 1024
# Requests that are lost with the same target are stored together.
WRITE_DELAY_S = 0.1
MIN_WRITE_INTERVAL_S = 1.0
# The record has ages, as clocks of instances differ and step, so it is written again meanwhile.
REFRESH_INTERVAL_S = 30.0
RETRY_DELAY_S = 2.0
# Until a link that was cut counts as lost, both ends may take the other one for the writer.
HANDOVER_S = 10.0
HANDOVER_CHECK_INTERVAL_S = 1.0


class StoredEvidence:
    """Reads the evidence that is in the store at the start, and keeps the store's up to date.

    One of the entries that are linked writes, the whole in one record. Before that it reads what
    others wrote who may not have been linked. The record is removed once nothing counts any more.

    Args:
        log: The store.
        exchange: The evidence.
        name: This entry's name.
        connected_peers: Returns the names of the connected peers.
    """

    def __init__(
        self,
        *,
        log: KeyedLog,
        exchange: EvidenceExchange,
        name: str,
        connected_peers: Callable[[], Iterable[str]],
    ) -> None:
        self._log = log
        self._exchange = exchange
        self._name = name
        self._connected_peers = connected_peers
        self._changed = asyncio.Event()
        # Whether the store has a record, as far as this entry knows, and what it wrote itself last.
        self._is_stored = False
        self._written: bytes | None = None
        self._loop = asyncio.get_running_loop()
        self._changed_s = float("-inf")
        exchange.on_changed = self._record_change

    async def run(self) -> None:
        """Read the stored evidence, then store what changes, until cancelled."""
        while not await self._succeeds(self._read):
            await asyncio.sleep(RETRY_DELAY_S)
        while True:
            await self._wait_until_due()
            if not self._is_writer:
                continue
            if await self._succeeds(self._write):
                await asyncio.sleep(MIN_WRITE_INTERVAL_S)
            else:
                await asyncio.sleep(RETRY_DELAY_S)
                self._changed.set()

    def renew(self) -> None:
        """Store the evidence again, as the store may lack it or its writer is gone."""
        if self._is_stored or not self._exchange.lasting().is_empty:
            self._record_change()

    def _record_change(self) -> None:
        self._changed_s = self._loop.time()
        self._changed.set()

    @property
    def _is_writer(self) -> bool:
        """Return whether this entry is the one of those linked with it that writes."""
        names = (self._name, *self._connected_peers())
        return max(names, key=lambda name: rendezvous_weight(KEY, name)) == self._name

    async def _wait_until_due(self) -> None:
        """Wait for a change, or until this entry may have to write without one."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._check_interval_s()):
                await self._changed.wait()
        await asyncio.sleep(WRITE_DELAY_S)
        self._changed.clear()

    def _check_interval_s(self) -> float | None:
        """Return after which time this entry checks whether it has to write; None for never."""
        if not self._is_stored and self._exchange.lasting().is_empty:
            return None
        if not self._is_writer and self._loop.time() - self._changed_s < HANDOVER_S:
            return HANDOVER_CHECK_INTERVAL_S
        return REFRESH_INTERVAL_S

    async def _succeeds(self, call: Callable[[], Awaitable[None]]) -> bool:
        try:
            await call()
        except StoreUnavailableError as error:
            log_event(Event.LOG_READ_FAILED, topic=Topic.EVIDENCE.value, error=str(error))
            return False
        return True

    async def _read(self) -> None:
        """Apply the stored evidence, unless this entry wrote it.

        Raises:
            StoreUnavailableError: If the store does not respond.
        """
        page = await self._log.read_newest(Topic.EVIDENCE)
        values = [record.value for record in page.records if record.key == KEY and record.value]
        self._is_stored = bool(values)
        for value in values:
            if value == self._written:
                continue
            evidence = _decode(value)
            self._exchange.apply(Topic.EVIDENCE.value, evidence)
            log_event(
                Event.EVIDENCE_READ,
                losses=len(evidence.losses),
                opened=len(evidence.opened),
                problem=evidence.problem,
            )

    async def _write(self) -> None:
        """Merge the stored evidence with what this entry knows.

        Raises:
            StoreUnavailableError: If the store does not confirm it.
        """
        await self._read()
        value = _encode(self._exchange.lasting())
        if value is None and not self._is_stored:
            return
        await self._log.put(Topic.EVIDENCE, KEY, value)
        self._written = value
        self._is_stored = value is not None


def _encode(evidence: Evidence) -> bytes | None:
    """Return the record of evidence, without the oldest of what exceeds `MAX_RECORD_BYTES`."""
    most = max(len(evidence.losses), len(evidence.opened), len(evidence.cleared))
    while most > 0:
        part = Evidence(
            losses=evidence.losses[-most:],
            opened=evidence.opened[-most:],
            # The parts of lost requests come first.
            cleared=evidence.cleared[:most],
        )
        value = json.dumps({ROWS_FIELD: to_rows(part)}, separators=(",", ":")).encode()
        if len(value) <= MAX_RECORD_BYTES:
            return value
        most //= 2
    return None


def _decode(value: bytes) -> Evidence:
    """Return the evidence of a record; one that can't be read holds only its problem."""
    try:
        return from_rows(load_object(value)[ROWS_FIELD])
    except (DocumentError, KeyError) as error:
        return Evidence(problem=f"the record can't be decoded: {error!r:.200}")
