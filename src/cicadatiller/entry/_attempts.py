"""Follows one request from target to target and learns from what it meets."""

import asyncio
from collections.abc import Callable

from ..kernel import ErrorKind, Failure
from ..membership import SentWork, Target
from ._dispatch import Dispatcher, size_of
from ._estimate import estimate
from ._requests import AnswerDone, AnswerEvent, AnswerTokens, Emit, WorkRequest

MIN_EXPECTED_S = 0.05
TARGET_FAILURES = frozenset({ErrorKind.TARGET_LOST, ErrorKind.INCARNATION_GONE})


class AttemptTracker:
    """The attempts of one request.

    Args:
        request: The request.
        deployment: The workspace's deployment.
        version: The version of the model to run.
        dispatcher: Picks the targets.
        emit: Takes the events of the answer.
        on_first_token: Is told the seconds from the request's start to its first token.

    Attributes:
        version: The version of the next attempt.
    """

    def __init__(
        self,
        *,
        request: WorkRequest,
        deployment: str,
        version: str,
        dispatcher: Dispatcher,
        emit: Emit,
        on_first_token: Callable[[float], None],
    ) -> None:
        self._request = request
        self._deployment = deployment
        self.version = version
        self._dispatcher = dispatcher
        self._emit = emit
        self._on_first_token = on_first_token
        self._target: Target | None = None
        self._work: SentWork | None = None
        self._started_s = asyncio.get_running_loop().time()
        self._expected_s = 0.0
        self._answered = False

    def pick(self, tried: frozenset[str]) -> Target:
        """Choose the target of the next attempt; raises `FailureError`."""
        self._end_attempt()
        request = self._request
        if tried and not self._answered and not request.version:
            # The tried target may have been the last one with this version.
            self.version = self._dispatcher.version(
                request, self._deployment, self.version, tried=tried
            )
        candidates = self._dispatcher.candidates(request, self._deployment, self.version, tried)
        target = self._dispatcher.choose(request, self._deployment, candidates)
        weights = self._dispatcher.weights(self._deployment)
        self._expected_s = estimate(target, size_of(request), weights).first_token_s
        now_s = asyncio.get_running_loop().time()
        self._target = target
        self._work = target.start_work(request.prompt_tokens, now_s)
        return target

    def take(self, event: AnswerEvent) -> None:
        """Pass on an event of the answer."""
        if isinstance(event, AnswerTokens | AnswerDone) and not self._answered:
            self._answered = True
            self._note_first_token()
        self._emit(event)

    def succeed(self) -> None:
        """Note that the answer is whole."""
        if self._target is not None:
            self._target.breaker.record_success()
        self._end_attempt()

    def fail(self, reason: Failure | None) -> None:
        """Note that the request ended without a whole answer."""
        if reason is not None and reason.kind in TARGET_FAILURES and self._target is not None:
            self._target.breaker.record_failure(asyncio.get_running_loop().time())
        if reason is not None and reason.kind is ErrorKind.DEADLINE_EXCEEDED and not self._answered:
            self._note_taken()
        self._end_attempt()

    def _note_first_token(self) -> None:
        now_s = asyncio.get_running_loop().time()
        if not self._request.service:
            self._on_first_token(now_s - self._started_s)
        self._note_taken()

    def _note_taken(self) -> None:
        """Compare the time since the attempt began with what was expected until the first token."""
        if self._work is None or self._target is None:
            return
        self._work.waits = False
        taken_s = asyncio.get_running_loop().time() - self._work.sent_s
        self._target.breaker.record_slowness(taken_s / max(MIN_EXPECTED_S, self._expected_s))

    def _end_attempt(self) -> None:
        if self._target is not None and self._work is not None:
            self._target.end_work(self._work)
        self._target = None
        self._work = None
