"""The at-most-once request ledger of one sidecar incarnation."""

import asyncio
import math
from collections import OrderedDict
from dataclasses import replace

from returns.result import Success

from ..kernel import ErrorKind, RequestState, RunState, fail
from ..peer import Submit
from ..request_ids import new_request_id, parse_request_id
from ._ledger_entry import LedgerEntry

MAX_OPENED = 20_000
OPENED_TTL_S = 900.0
REPLAY_TTL_S = 900.0


class Ledger:
    """Records every request of this incarnation and allows each to run at most once.

    An evicted id never runs, whether it was never used or its response is no longer kept.

    Args:
        address: The peer address of this sidecar.
        incarnation: The id of this run of the sidecar.
        replay_bytes: Bytes of finished responses that are kept for replay.
    """

    def __init__(self, *, address: str, incarnation: str, replay_bytes: int) -> None:
        self.address = address
        self._incarnation = incarnation
        self._replay_bytes = replay_bytes
        self._entries: dict[str, LedgerEntry] = {}
        self._opened: OrderedDict[str, float] = OrderedDict()
        self._ended: OrderedDict[str, float] = OrderedDict()
        self._ended_bytes: dict[str, int] = {}
        self._kept_bytes = 0
        self._issued = 0

    @property
    def kept_bytes(self) -> int:
        """Return the approximate memory used by ended requests."""
        return self._kept_bytes

    def entries(self) -> tuple[LedgerEntry, ...]:
        """Return all entries."""
        return tuple(self._entries.values())

    def last_read_s(self) -> float:
        """Return the event loop's time at which a reader of a response last left."""
        return max((entry.reader_left_s for entry in self._entries.values()), default=-math.inf)

    def open(self, workspace: str) -> LedgerEntry:
        """Issue a request id; nothing runs until it is submitted."""
        self._issued += 1
        request_id = new_request_id(
            address=self.address,
            incarnation=self._incarnation,
            workspace=workspace,
            sequence=self._issued,
        )
        entry = LedgerEntry(request_id=str(request_id), workspace=workspace)
        self._entries[entry.request_id] = entry
        self._opened[entry.request_id] = asyncio.get_running_loop().time()
        self._evict_unused()
        return entry

    def find(self, request_id: str, workspace: str) -> LedgerEntry:
        """Return the entry of a request that belongs to a workspace.

        Raises:
            FailureError: UNKNOWN_REQUEST, INCARNATION_GONE or REPLAY_EXPIRED.
        """
        entry = self._entries.get(request_id)
        if entry is not None and entry.workspace == workspace:
            return entry
        parsed_id = parse_request_id(request_id)
        if not isinstance(parsed_id, Success):
            raise fail(ErrorKind.UNKNOWN_REQUEST, str(parsed_id.failure()))
        id_parts = parsed_id.unwrap()
        if id_parts.workspace != workspace:
            raise fail(ErrorKind.UNKNOWN_REQUEST, "there is no such request in this workspace")
        if id_parts.incarnation != self._incarnation:
            raise fail(
                ErrorKind.INCARNATION_GONE,
                "the sidecar process that held this request has ended; it will not run again",
            )
        raise fail(
            ErrorKind.REPLAY_EXPIRED,
            "the response to this request is no longer kept; the request will not run again",
            run_state=RunState.OUTCOME_UNKNOWN,
        )

    def submit(self, message: Submit, deadline_s: float) -> tuple[LedgerEntry, bool]:
        """Record a submission.

        Returns:
            The entry, and whether it must be run now; if not, its response is read or replayed.

        Raises:
            FailureError: As `find`, or TOMBSTONED, or KEY_CONFLICT if the id was used for another
                request body. No later submission can run this body under the id, so `NOT_RUN`
                stays true.
        """
        entry = self._entry_to_run(message)
        if entry.submit is not None and not _is_same_work(entry.submit, message):
            raise fail(
                ErrorKind.KEY_CONFLICT,
                "the request id was already used for another request body; open a new request",
            )
        if entry.state is RequestState.TOMBSTONED:
            raise fail(ErrorKind.TOMBSTONED, "the request was withdrawn before it ran")
        if not _may_run(entry, message):
            return entry, False
        self._opened.pop(entry.request_id, None)
        self._remove_end_record(entry.request_id)
        entry.start_attempt(message, deadline_s)
        return entry, True

    def tombstone(self, request_id: str, workspace: str) -> LedgerEntry:
        """Withdraw a request unless it was sent to the target."""
        entry = self.find(request_id, workspace)
        if entry.withdraw():
            self.record_end(entry)
        return entry

    def record_end(self, entry: LedgerEntry) -> None:
        """Count an ended entry against the replay limits and evict the oldest ones beyond them."""
        self._opened.pop(entry.request_id, None)
        self._remove_end_record(entry.request_id)
        self._ended[entry.request_id] = asyncio.get_running_loop().time()
        self._ended_bytes[entry.request_id] = entry.size_bytes
        self._kept_bytes += entry.size_bytes
        self._evict_ended()

    def _remove_end_record(self, request_id: str) -> None:
        self._ended.pop(request_id, None)
        self._kept_bytes -= self._ended_bytes.pop(request_id, 0)

    def _evict_ended(self) -> None:
        oldest_s = asyncio.get_running_loop().time() - REPLAY_TTL_S
        kept_bytes = self._kept_bytes
        dropped = []
        for request_id, ended_s in self._ended.items():
            if kept_bytes <= self._replay_bytes and ended_s >= oldest_s:
                break
            if self._entries[request_id].readers == 0:
                kept_bytes -= self._ended_bytes[request_id]
                dropped.append(request_id)
        for request_id in dropped:
            self._remove_end_record(request_id)
            del self._entries[request_id]

    def _evict_unused(self) -> None:
        oldest_s = asyncio.get_running_loop().time() - OPENED_TTL_S
        while self._opened:
            request_id, opened_s = next(iter(self._opened.items()))
            if len(self._opened) <= MAX_OPENED and opened_s >= oldest_s:
                return
            del self._opened[request_id]
            del self._entries[request_id]

    def _entry_to_run(self, message: Submit) -> LedgerEntry:
        if not message.request_id:
            return self.open(message.workspace)
        parsed_id = parse_request_id(message.request_id)
        from_other_run = (
            isinstance(parsed_id, Success) and parsed_id.unwrap().incarnation != self._incarnation
        )
        if not (from_other_run and message.attempt > 1 and message.repeatable):
            return self.find(message.request_id, message.workspace)
        if parsed_id.unwrap().workspace != message.workspace:
            raise fail(ErrorKind.UNKNOWN_REQUEST, "there is no such request in this workspace")
        entry = self._entries.get(message.request_id)
        if entry is None:
            entry = LedgerEntry(request_id=message.request_id, workspace=message.workspace)
            self._entries[message.request_id] = entry
        return entry


def _is_same_work(first: Submit, other: Submit) -> bool:
    """Compare two submissions without the model version, which the entry chooses."""
    if first.repeatable != other.repeatable or first.invoke != other.invoke:
        return False
    if first.generate is None or other.generate is None:
        return first.generate is other.generate
    return first.generate == replace(other.generate, version=first.generate.version)


def _may_run(entry: LedgerEntry, message: Submit) -> bool:
    if entry.state is RequestState.OPENED:
        return True
    if entry.state is not RequestState.FAILED:
        return False
    if entry.run_state is RunState.NOT_RUN:
        return True
    return message.repeatable and (entry.abandoned or message.attempt > entry.attempt)
