"""Selects the targets of one request's attempts and records their outcomes."""

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
    """Tracks the attempts of one request: their targets, their load there and their outcomes.

    Outcomes and times to first token are recorded in the circuit breakers of the targets.

    Args:
        request: The request.
        deployment: The workspace's deployment.
        version: The version of the model to run.
        dispatcher: Chooses the targets.
        emit: Called with the events of the answer.
        on_first_token: Called with the seconds from the request's start to its first token.

    Attributes:
        version: The model version of the next attempt.
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
        """Choose the target of the next attempt.

        Args:
            tried: Addresses of the targets to leave out.

        Raises:
            FailureError: NO_TARGET, or TOO_LARGE if no engine and no gang can hold the request.
        """
        self._end_attempt()
        request = self._request
        if tried and not self._answered and not request.version:
            # A target that was tried may have been the last one with this version.
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

    def handle_event(self, event: AnswerEvent) -> None:
        """Forward an event of the answer to the caller."""
        if isinstance(event, AnswerTokens | AnswerDone) and not self._answered:
            self._answered = True
            self._record_first_token()
        self._emit(event)

    def record_success(self) -> None:
        """Record that the answer is complete."""
        if self._target is not None:
            self._target.breaker.record_success(asyncio.get_running_loop().time())
        self._end_attempt()

    def record_failure(self, reason: Failure | None) -> None:
        """Record that the request ended without a complete answer."""
        if reason is not None and reason.kind in TARGET_FAILURES and self._target is not None:
            self._target.breaker.record_failure(asyncio.get_running_loop().time())
        if reason is not None and reason.kind is ErrorKind.DEADLINE_EXCEEDED and not self._answered:
            self._record_slowness()
        self._end_attempt()

    def _record_first_token(self) -> None:
        now_s = asyncio.get_running_loop().time()
        if not self._request.service:
            self._on_first_token(now_s - self._started_s)
        self._record_slowness()

    def _record_slowness(self) -> None:
        """Record the ratio of the attempt's time so far to its expected time to first token."""
        if self._work is None or self._target is None:
            return
        self._work.awaits_first_token = False
        elapsed_s = asyncio.get_running_loop().time() - self._work.sent_s
        self._target.breaker.record_slowness(elapsed_s / max(MIN_EXPECTED_S, self._expected_s))

    def _end_attempt(self) -> None:
        if self._target is not None and self._work is not None:
            self._target.end_work(self._work)
        self._target = None
        self._work = None
