"""Sends responses from the ledger to the peers that read them."""

import asyncio
from collections.abc import Callable

from ..kernel import ErrorKind, Failure, RunState, failure
from ..peer import (
    Accepted,
    Failed,
    FailureBody,
    Finished,
    LoadReport,
    PeerLink,
    Tokens,
    WorkspaceUse,
    checksum_bytes,
)
from ._ledger_entry import LedgerEntry


class ResponseSender:
    """Streams each response to its reader, from the index that the reader requested.

    Args:
        load_report: Returns the current load, which is sent along with the messages.
        on_reader_left: Called with each request that a peer has stopped reading.

    Attributes:
        active_readers: The number of exchanges that are reading a response.
    """

    def __init__(
        self,
        *,
        load_report: Callable[[], LoadReport],
        on_reader_left: Callable[[LedgerEntry], None],
    ) -> None:
        self._load_report = load_report
        self._on_reader_left = on_reader_left
        self.active_readers = 0

    async def send(
        self,
        entry: LedgerEntry,
        *,
        link: PeerLink,
        call: int,
        next_index: int,
        use: WorkspaceUse | None = None,
    ) -> None:
        """Send a response until it is complete or the reader has left.

        Args:
            entry: The request in the ledger.
            link: The connection to the reader.
            call: The number of the reader's exchange on the connection.
            next_index: The index of the first token to send.
            use: The reader's share of the workspace's recent use; sent to the reader if not None.
        """
        accepted = Accepted(
            call=call,
            request_id=entry.request_id,
            attempt=entry.attempt,
            load=self._load_report(),
            use=use,
        )
        entry.readers += 1
        self.active_readers += 1
        link.add_reader(call, entry.notify)
        try:
            if await link.send(accepted):
                await self._stream_tokens(entry, call, next_index, link)
        finally:
            link.remove_reader(call)
            self.active_readers -= 1
            entry.readers -= 1
            entry.reader_left_s = asyncio.get_running_loop().time()
            self._on_reader_left(entry)

    async def _stream_tokens(
        self, entry: LedgerEntry, call: int, next_index: int, link: PeerLink
    ) -> None:
        attempt = entry.attempt
        reported_run = ""
        while link.is_read(call):
            if entry.attempt != attempt:
                await link.send(self._superseded_message(entry, call, attempt))
                return
            texts = tuple(entry.texts[next_index:])
            if texts:
                tokens = Tokens(call=call, attempt=attempt, first_index=next_index, texts=texts)
                if not await link.send(tokens):
                    return
                next_index += len(texts)
                continue
            if not entry.is_final and entry.ended_run not in ("", reported_run):
                reported_run = entry.ended_run
                if not await link.send(_ended_message(entry, call, next_index)):
                    return
                continue
            if entry.is_final:
                await link.send(self._final_message(entry, call))
                return
            await entry.wait_for_change()

    def _superseded_message(self, entry: LedgerEntry, call: int, attempt: int) -> Failed:
        reason = failure(
            ErrorKind.TARGET_LOST,
            "a newer attempt has replaced this one",
            run_state=RunState.RAN,
        )
        return self._failed_message(entry, call, attempt, reason)

    def _final_message(self, entry: LedgerEntry, call: int) -> Finished | Failed:
        if entry.failure is not None:
            return self._failed_message(entry, call, entry.attempt, entry.failure)
        return Finished(
            call=call,
            attempt=entry.attempt,
            token_count=len(entry.texts),
            checksum=checksum_bytes(entry.payload) if entry.payload else entry.checksum(),
            payload=entry.payload,
            load=self._load_report(),
        )

    def _failed_message(
        self, entry: LedgerEntry, call: int, attempt: int, reason: Failure
    ) -> Failed:
        ended_run = entry.ended_run if attempt == entry.attempt else ""
        return Failed(
            call=call,
            attempt=attempt,
            failure=FailureBody.of(reason),
            request_id=entry.request_id,
            ended_run=ended_run,
            ended_age_s=_ended_age_s(entry) if ended_run else 0.0,
            ended_address=entry.ended_address if ended_run else "",
            load=self._load_report(),
        )


def _ended_message(entry: LedgerEntry, call: int, next_index: int) -> Tokens:
    return Tokens(
        call=call,
        attempt=entry.attempt,
        first_index=next_index,
        texts=(),
        ended_run=entry.ended_run,
        ended_age_s=_ended_age_s(entry),
        ended_address=entry.ended_address,
    )


def _ended_age_s(entry: LedgerEntry) -> float:
    return round(asyncio.get_running_loop().time() - entry.ended_s, 3)
