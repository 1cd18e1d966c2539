"""The state of one request in the ledger of a sidecar."""

import asyncio

from ..kernel import ErrorKind, Failure, RequestState, RunState, failure
from ..peer import AnswerChecksum, Submit

TOKEN_OVERHEAD_BYTES = 64
ENTRY_OVERHEAD_BYTES = 1024
FINAL_STATES = (RequestState.DONE, RequestState.FAILED, RequestState.TOMBSTONED)


class LedgerEntry:
    """The state, output and readers of one request.

    Attributes:
        request_id: The id of the request.
        workspace: Its workspace.
        state: Its current state.
        submit: The submission of the newest attempt; None before the first.
        attempt: The number of the newest attempt.
        texts: The output so far, from index 0.
        payload: The response of a plain service.
        failure: Why the request failed; None if it did not.
        sent: Whether it was sent to the target.
        ended_run: The run of the target that ended, or seems to have, while it ran the request; empty
            if none did.
        ended_s: The event loop's time at which that run ended.
        ended_address: The address of the sidecar whose target it was; empty if it is this one's.
        deadline_s: The event loop's time at which it must have ended.
        readers: The number of exchanges that read the response.
        reader_left_s: The event loop's time at which the last reader left.
        abandoned: Whether it was cancelled because no exchange read its response.
    """

    def __init__(self, *, request_id: str, workspace: str) -> None:
        self.request_id = request_id
        self.workspace = workspace
        self.state = RequestState.OPENED
        self.submit: Submit | None = None
        self.attempt = 0
        self.texts: list[str] = []
        self.payload = b""
        self.failure: Failure | None = None
        self.sent = False
        self.ended_run = ""
        self.ended_s = 0.0
        self.ended_address = ""
        self.deadline_s = 0.0
        self.readers = 0
        self.reader_left_s = 0.0
        self.abandoned = False
        self._texts_bytes = 0
        self._checksum = AnswerChecksum()
        self._changed = asyncio.Event()

    @property
    def is_final(self) -> bool:
        """Return whether the request has reached a final state."""
        return self.state in FINAL_STATES

    @property
    def repeatable(self) -> bool:
        """Return whether the request may run more than once."""
        return self.submit is not None and self.submit.repeatable

    @property
    def run_state(self) -> RunState:
        """Return whether the request ran, as far as is known."""
        if self.failure is not None:
            return self.failure.run_state
        if self.state is RequestState.DONE:
            return RunState.RAN
        if self.state is RequestState.RUNNING:
            return RunState.OUTCOME_UNKNOWN
        return RunState.NOT_RUN

    @property
    def size_bytes(self) -> int:
        """Return the approximate memory used by the request."""
        prompt = 0
        if self.submit is not None and self.submit.generate is not None:
            prompt = len(self.submit.generate.prompt)
        return ENTRY_OVERHEAD_BYTES + self._texts_bytes + prompt + len(self.payload)

    def checksum(self) -> int:
        """Return the checksum of the output so far."""
        return self._checksum.value()

    def notify(self) -> None:
        """Wake the tasks that wait in `wait_for_change`."""
        self._changed.set()
        self._changed.clear()

    async def wait_for_change(self) -> None:
        """Wait until the state or the output changes, or a reader leaves."""
        await self._changed.wait()

    def start_attempt(self, submit: Submit, deadline_s: float) -> None:
        """Start a new attempt, which continues after the output already delivered."""
        self.submit = submit
        self.attempt = max(submit.attempt, self.attempt + 1)
        self.failure = None
        self.abandoned = False
        self.sent = False
        self.ended_run = ""
        self.ended_s = 0.0
        self.ended_address = ""
        self.state = RequestState.QUEUED
        self.deadline_s = deadline_s
        self.texts = []
        self._texts_bytes = 0
        self._checksum = AnswerChecksum()
        self.add_texts(0, submit.delivered)
        self.notify()

    def record_ended_run(self, run: str, ended_s: float, *, address: str = "") -> None:
        """Record that a run of a target ended, or seems to have, while it ran the request.

        Args:
            run: The run.
            ended_s: The event loop's time at which it ended.
            address: The address of the target's sidecar; empty for this one.
        """
        self.ended_run = run
        self.ended_address = address
        self.ended_s = ended_s
        self.notify()

    def add_texts(self, first_index: int, texts: tuple[str, ...]) -> bool:
        """Append new output; return False if it would leave a gap. Repeated output is ignored."""
        overlap = len(self.texts) - first_index
        if overlap < 0:
            return False
        new_texts = texts[overlap:]
        if new_texts:
            self.texts.extend(new_texts)
            self._checksum.update(new_texts)
            self._texts_bytes += sum(len(text) + TOKEN_OVERHEAD_BYTES for text in new_texts)
            self.notify()
        return True

    def finish(self, payload: bytes = b"") -> None:
        """Record that the response is complete."""
        if self.is_final:
            return
        self.payload = payload
        self.state = RequestState.DONE
        self.notify()

    def end(self, reason: Failure) -> None:
        """Record the failure that ended the request."""
        if self.is_final:
            return
        self.failure = reason
        self.state = RequestState.FAILED
        self.notify()

    def withdraw(self) -> bool:
        """Withdraw the request, so that it never runs; return False if it may have run already."""
        if self.sent or self.state is RequestState.DONE or self.run_state is not RunState.NOT_RUN:
            return False
        self.state = RequestState.TOMBSTONED
        self.failure = failure(ErrorKind.TOMBSTONED, "the request was withdrawn")
        self.notify()
        return True
