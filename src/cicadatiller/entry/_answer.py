"""Assembles one answer from the frames that sidecars send."""

from collections.abc import Callable
from dataclasses import dataclass

from ..kernel import ErrorKind, Event, FailureError, fail, log_event
from ..peer import Accepted, AnswerChecksum, Failed, Finished, PeerCall, Tokens, checksum_bytes
from ._requests import AnswerDone, AnswerTokens, Emit, RequestOpened

MAX_MISSING_TOKENS_ERRORS = 100


class MissingTokensError(Exception):
    """Tokens before the received frame are missing; the answer has to be read again."""


@dataclass(frozen=True, kw_only=True, slots=True)
class EndedTargetRun:
    """A run of a target that ended, or probably did, while it ran a request.

    Attributes:
        run: The run.
        age_s: How long ago it ended when the sidecar reported it.
        address: The address of the sidecar whose target it was; empty if it is the reporting one's.
    """

    run: str
    age_s: float
    address: str


class AnswerReader:
    """Reads the frames of one answer, over any number of exchanges.

    Frames of other requests, of other attempts and frames already received are dropped.

    Args:
        request_id: Id of the request; empty if not known yet.
        emit: Called with the events of the answer.
        on_accepted: Called with the frame by which a sidecar accepts the request.
        on_ended: Called with a run of a target that probably ended, while the request is not given
            up yet.

    Attributes:
        request_id: Id of the request; empty if not known.
        texts: The output received, one text per token.
        next_index: Index of the next token to receive.
        whole: Whether the answer is read from its first token; only then is its checksum compared.
        failed_at_sidecar: Whether the sidecar reported the failure of the current attempt.
        ended: The run of a target that ended in the current attempt, by the sidecar's failure; None
            if none did.
    """

    def __init__(
        self,
        *,
        request_id: str,
        emit: Emit,
        on_accepted: Callable[[Accepted], None],
        on_ended: Callable[[EndedTargetRun], None],
    ) -> None:
        self.request_id = request_id
        self.texts: list[str] = []
        self.next_index = 0
        self.whole = True
        self.failed_at_sidecar = False
        self.ended: EndedTargetRun | None = None
        self._emit = emit
        self._on_accepted = on_accepted
        self._on_ended = on_ended
        self._attempt = 0
        self._missing_tokens_errors = 0
        self._announced = ""

    def announce(self, request_id: str) -> None:
        """Emit the id under which the caller can read the answer again, unless already emitted."""
        self.request_id = request_id
        if request_id != self._announced:
            self._announced = request_id
            self._emit(RequestOpened(request_id=request_id))

    def record_missing_tokens(self) -> None:
        """Count a `MissingTokensError` of this answer.

        Raises:
            FailureError: ANSWER_CORRUPT if there were more than `MAX_MISSING_TOKENS_ERRORS`.
        """
        self._missing_tokens_errors += 1
        if self._missing_tokens_errors > MAX_MISSING_TOKENS_ERRORS:
            raise fail(
                ErrorKind.ANSWER_CORRUPT,
                f"the answer arrived with missing tokens {self._missing_tokens_errors} times",
            )

    async def read(self, call: PeerCall) -> None:
        """Read the frames of one exchange up to the last.

        Raises:
            MissingTokensError: If tokens are missing, so the answer has to be read again from
                `next_index`.
            PeerLostError: If the connection is lost.
            FailureError: If the sidecar reports that the request failed, or the answer is corrupt.
        """
        accepted_here = False
        ended_early = False
        async for reply in call.replies():
            match reply:
                case Accepted() | Failed() if self._is_of_other_request(reply):
                    log_event(
                        Event.FRAME_DROPPED, request_id=self.request_id, other=reply.request_id
                    )
                case Accepted():
                    accepted_here = True
                    self._handle_accepted(reply)
                    if ended_early:
                        raise MissingTokensError
                case Tokens() if accepted_here and reply.attempt == self._attempt:
                    self._handle_tokens(reply)
                case Finished() if accepted_here and reply.attempt == self._attempt:
                    self._finish(reply)
                    return
                case Failed():
                    self.failed_at_sidecar = True
                    self.ended = _ended_run_of(reply)
                    self.request_id = reply.request_id or self.request_id
                    raise FailureError(reply.failure.to_failure())
                case Tokens() | Finished():
                    ended_early = ended_early or isinstance(reply, Finished)
                    log_event(Event.FRAME_DROPPED, request_id=self.request_id)
                case _:
                    raise fail(
                        ErrorKind.PEER_PROTOCOL,
                        f"the sidecar sent an unexpected {type(reply).__name__}",
                    )

    def _is_of_other_request(self, frame: Accepted | Failed) -> bool:
        has_ids = self.request_id and frame.request_id
        return bool(has_ids) and frame.request_id != self.request_id

    def _handle_accepted(self, frame: Accepted) -> None:
        self._attempt = frame.attempt
        self._on_accepted(frame)
        self.announce(frame.request_id)

    def _handle_tokens(self, frame: Tokens) -> None:
        ended = _ended_run_of(frame)
        if ended is not None:
            self._on_ended(ended)
        if not frame.texts:
            return
        if frame.first_index > self.next_index:
            raise MissingTokensError
        if frame.first_index < self.next_index:
            log_event(Event.FRAME_DROPPED, request_id=self.request_id)
            return
        self.texts.extend(frame.texts)
        self._emit(AnswerTokens(first_index=self.next_index, texts=frame.texts))
        self.next_index += len(frame.texts)

    def _finish(self, frame: Finished) -> None:
        if self.next_index < frame.token_count:
            raise MissingTokensError
        if self.whole and not self._matches(frame):
            log_event(Event.CHECKSUM_MISMATCH, request_id=self.request_id)
            raise fail(
                ErrorKind.ANSWER_CORRUPT,
                f"the answer of {frame.token_count} tokens does not match its checksum",
            )
        self._emit(
            AnswerDone(
                token_count=frame.token_count, checksum=frame.checksum, payload=frame.payload
            )
        )

    def _matches(self, frame: Finished) -> bool:
        if frame.payload:
            return checksum_bytes(frame.payload) == frame.checksum
        own = AnswerChecksum(self.texts).value()
        return len(self.texts) == frame.token_count and own == frame.checksum


def _ended_run_of(frame: Tokens | Failed) -> EndedTargetRun | None:
    """Return the run that a frame reports as ended; None if it reports none."""
    if not frame.ended_run:
        return None
    return EndedTargetRun(
        run=frame.ended_run, age_s=max(0.0, frame.ended_age_s), address=frame.ended_address
    )
