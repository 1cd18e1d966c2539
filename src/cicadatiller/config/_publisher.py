"""Publishes changes and settles their verdicts."""

import asyncio
from collections.abc import Awaitable, Callable

from ..backing import LogClient, PlatformUnavailableError
from ..kernel import ErrorKind, Event, fail, log_event
from ._records import CONFIG_STREAM, AuditEntry, ChangeRecord, digest_change, encode_record
from ._store import ConfigStore

PROBE_TIMEOUT_S = 2.0
PROBE_SHARE = 0.5
RETRY_S = 0.2
POLL_S = 0.05
LOG_RETRY_AFTER_S = 5.0


class Publisher:
    """Appends changes to the log and answers only after reading the verdict back.

    A change may be appended several times, because a change id takes effect once.

    Args:
        log: The log.
        store: Where the verdict is read.
        refresh: Reads what the log has into the store; returns whether there is more.
    """

    def __init__(
        self, *, log: LogClient, store: ConfigStore, refresh: Callable[[], Awaitable[bool]]
    ) -> None:
        self._log = log
        self._store = store
        self._refresh = refresh

    async def refresh(self, *, timeout_s: float) -> bool:
        """Read the log to its end; return whether that succeeded in time."""
        try:
            async with asyncio.timeout(timeout_s):
                while await self._refresh():
                    pass
        except (TimeoutError, PlatformUnavailableError):
            return False
        return True

    async def apply(self, change: ChangeRecord, *, timeout_s: float) -> AuditEntry:
        """Append a change and return its verdict.

        Raises:
            FailureError: CHANGE_NOT_SENT if the change was not appended and will not be,
                CHANGE_UNKNOWN if it may have been and no verdict was learned in time,
                CHANGE_REJECTED if its id belongs to another change.
        """
        end_s = asyncio.get_running_loop().time() + timeout_s
        # Nothing has been sent before the log answers this read, so a failure is certain.
        if not await self.refresh(timeout_s=timeout_s * PROBE_SHARE):
            raise fail(
                ErrorKind.CHANGE_NOT_SENT,
                f"the log does not answer, so change {change.change_id!r} was not sent to it; "
                "apply it again later",
                retry_after_s=LOG_RETRY_AFTER_S,
            )
        try:
            async with asyncio.timeout_at(end_s):
                entry = await self._settle(change)
        except TimeoutError as error:
            log_event(Event.CHANGE_UNSETTLED, change_id=change.change_id)
            raise fail(
                ErrorKind.CHANGE_UNKNOWN,
                f"the verdict of change {change.change_id!r} was not learned in {timeout_s:g} s; "
                "ask GetChange, or apply it again with the same change id",
            ) from error
        return self._check(change, entry)

    async def _settle(self, change: ChangeRecord) -> AuditEntry:
        payload = encode_record(change)
        while True:
            entry = self._store.state.change(change.change_id)
            if entry is not None:
                return entry
            try:
                await self._log.append(CONFIG_STREAM, payload)
                return await self._read_back(change.change_id)
            except PlatformUnavailableError:
                await asyncio.sleep(RETRY_S)
            # The append may have taken effect; its record is looked for before another try.
            await self.refresh(timeout_s=PROBE_TIMEOUT_S)

    async def _read_back(self, change_id: str) -> AuditEntry:
        while True:
            entry = self._store.state.change(change_id)
            if entry is not None:
                return entry
            try:
                is_more = await self._refresh()
            except PlatformUnavailableError:
                is_more = False
            if not is_more and self._store.state.change(change_id) is None:
                await asyncio.sleep(POLL_S)

    def _check(self, change: ChangeRecord, entry: AuditEntry) -> AuditEntry:
        if entry.digest != digest_change(change):
            raise fail(
                ErrorKind.CHANGE_REJECTED,
                f"the change id {change.change_id!r} belongs to another change, at offset "
                f"{entry.offset}; choose a new one",
            )
        log_event(
            Event.CHANGE_ACCEPTED if entry.accepted else Event.CHANGE_REFUSED,
            change_id=entry.change_id,
            operator=entry.operator,
            offset=entry.offset,
            verdict=entry.message,
        )
        return entry
