"""Publishes changes on the log and returns their verdicts."""

import asyncio
from collections.abc import Awaitable, Callable

from ..backing import LogClient, PlatformUnavailableError
from ..kernel import ErrorKind, Event, fail, log_event
from ._records import CONFIG_STREAM, AuditEntry, ChangeRecord, digest_change, encode_record
from ._store import ConfigStore

READ_TIMEOUT_S = 2.0
INITIAL_READ_SHARE = 0.5
RETRY_DELAY_S = 0.2
POLL_INTERVAL_S = 0.05
LOG_RETRY_AFTER_S = 5.0


class Publisher:
    """Appends changes to the log and waits until the store has folded their verdicts.

    A change may be appended several times, because a change id takes effect only once.

    Args:
        log: The log to append to.
        store: The store that folds the log and has the verdicts.
        refresh: Reads one page of the log into the store; returns whether there may be more.
    """

    def __init__(
        self, *, log: LogClient, store: ConfigStore, refresh: Callable[[], Awaitable[bool]]
    ) -> None:
        self._log = log
        self._store = store
        self._refresh = refresh

    async def refresh(self, *, timeout_s: float) -> bool:
        """Read the log to its end; return whether that succeeded within `timeout_s`."""
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
                CHANGE_UNKNOWN if it may have been appended and there is no verdict within
                `timeout_s`, CHANGE_REJECTED if its id belongs to another change.
        """
        deadline_s = asyncio.get_running_loop().time() + timeout_s
        # Nothing is appended before this read succeeds, so after a failure the change was not sent.
        if not await self.refresh(timeout_s=timeout_s * INITIAL_READ_SHARE):
            raise fail(
                ErrorKind.CHANGE_NOT_SENT,
                f"the log does not respond, so change {change.change_id!r} was not sent to it; "
                "apply the change again later",
                retry_after_s=LOG_RETRY_AFTER_S,
            )
        try:
            async with asyncio.timeout_at(deadline_s):
                entry = await self._append_until_decided(change)
        except TimeoutError as error:
            log_event(Event.CHANGE_UNSETTLED, change_id=change.change_id)
            raise fail(
                ErrorKind.CHANGE_UNKNOWN,
                f"no verdict on change {change.change_id!r} within {timeout_s:g} s; "
                "call GetChange, or apply the change again with the same change id",
            ) from error
        return self._verify_verdict(change, entry)

    async def _append_until_decided(self, change: ChangeRecord) -> AuditEntry:
        payload = encode_record(change)
        while True:
            entry = self._store.state.change(change.change_id)
            if entry is not None:
                return entry
            try:
                await self._log.append(CONFIG_STREAM, payload)
                return await self._wait_for_verdict(change.change_id)
            except PlatformUnavailableError:
                await asyncio.sleep(RETRY_DELAY_S)
            # The append may have taken effect, so read the log for its record before the retry.
            await self.refresh(timeout_s=READ_TIMEOUT_S)

    async def _wait_for_verdict(self, change_id: str) -> AuditEntry:
        while True:
            entry = self._store.state.change(change_id)
            if entry is not None:
                return entry
            try:
                is_more = await self._refresh()
            except PlatformUnavailableError:
                is_more = False
            if not is_more and self._store.state.change(change_id) is None:
                await asyncio.sleep(POLL_INTERVAL_S)

    def _verify_verdict(self, change: ChangeRecord, entry: AuditEntry) -> AuditEntry:
        if entry.digest != digest_change(change):
            raise fail(
                ErrorKind.CHANGE_REJECTED,
                f"the change id {change.change_id!r} belongs to another change, at offset "
                f"{entry.offset}; use a new change id",
            )
        log_event(
            Event.CHANGE_ACCEPTED if entry.accepted else Event.CHANGE_REFUSED,
            change_id=entry.change_id,
            operator=entry.operator,
            offset=entry.offset,
            verdict=entry.message,
        )
        return entry
