"""Decides whether this sidecar may send orders to the engine in its slot."""

import asyncio
import enum
import json
import random

from ..backing import LogClient, LogRecord, OffsetTrimmedError, PlatformUnavailableError
from ..kernel import DocumentError, Event, load_object, log_event

INCARNATION_STREAM = "incarnations"
LEASE_S = 15.0
APPEND_RETRY_S = 1.0
APPEND_RETRY_LIMIT_S = 30.0


class Authority(enum.Enum):
    """The orders that may be sent now; ADDITIVE ones only add models."""

    NONE = "none"
    ADDITIVE = "additive"
    FULL = "full"


class Fence:
    """The incarnation record of a slot, whose offset is the fencing number.

    For an engine that checks the number no lease is needed. For one that ignores it, an order is
    allowed only within `LEASE_S` after a read of the stream found no newer record. A new holder
    waits `LEASE_S` after its own record, so that no order of an older holder can follow its own.
    While the log is down no sidecar can take over the slot, so orders that only add models are
    allowed.

    Args:
        log: The platform's log.
        slot: The name of the instance.
        incarnation: The id of this run of the sidecar.

    Attributes:
        number: The fencing number; zero until the record is written.
        superseded: Whether a newer holder of the slot was seen; never reset.
    """

    def __init__(self, *, log: LogClient, slot: str, incarnation: str) -> None:
        self._log = log
        self._slot = slot
        self._incarnation = incarnation
        self._random = random.Random(incarnation)
        self._next_offset = 1
        self._lease_end_s = 0.0
        self._old_leases_end_s: float | None = None
        self.number = 0
        self.superseded = False

    async def run(self) -> None:
        """Write the incarnation record; retries until it is written."""
        delay_s = APPEND_RETRY_S
        loop = asyncio.get_running_loop()
        self._old_leases_end_s = loop.time() + LEASE_S
        payload = json.dumps({"slot": self._slot, "incarnation": self._incarnation}).encode()
        while self.number == 0:
            try:
                # If the reply is lost, a second record is written, which is harmless.
                number = await self._log.append(INCARNATION_STREAM, payload)
            except PlatformUnavailableError:
                await asyncio.sleep(delay_s * (0.5 + self._random.random()))
                delay_s = min(APPEND_RETRY_LIMIT_S, delay_s * 2)
                continue
            self.number = number
            self._next_offset = number + 1
            self._old_leases_end_s = loop.time() + LEASE_S

    async def authorise(self, *, engine_checks: bool) -> Authority:
        """Return the orders that may be sent now."""
        if self.superseded:
            return Authority.NONE
        if engine_checks:
            return Authority.FULL if self.number else Authority.NONE
        now_s = asyncio.get_running_loop().time()
        if self._old_leases_end_s is None or now_s < self._old_leases_end_s:
            return Authority.NONE
        try:
            newer = await self._read_newer()
        except PlatformUnavailableError:
            return Authority.ADDITIVE
        if newer:
            self.superseded = True
            return Authority.NONE
        if self.number == 0:
            return Authority.NONE
        self._lease_end_s = now_s + LEASE_S
        return Authority.FULL

    def has_lease(self) -> bool:
        """Return whether the lease is valid; checked immediately before an order is sent."""
        if asyncio.get_running_loop().time() < self._lease_end_s:
            return True
        log_event(Event.LEASE_LAPSED, slot=self._slot, fence=self.number)
        return False

    async def _read_newer(self) -> bool:
        """Return whether the stream has a record of a newer holder of the slot."""
        while True:
            try:
                page = await self._log.read(INCARNATION_STREAM, self._next_offset)
            except OffsetTrimmedError as error:
                self._next_offset = error.first_offset
                continue
            if any(self._is_newer(record) for record in page.records):
                return True
            self._next_offset = page.next_offset
            if not page.records:
                return False

    def _is_newer(self, record: LogRecord) -> bool:
        if self.number == 0 or record.offset <= self.number:
            return False
        try:
            fields = load_object(record.payload)
        except DocumentError:
            return False
        is_of_slot = fields.get("slot") == self._slot
        return is_of_slot and fields.get("incarnation") != self._incarnation
