"""Keeps requests from targets if targets crash under them, or under a part of their prompts."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ..evidence import find_settled, record_weighed
from ..fleet import (
    REQUEST_KINDS,
    WEIGHING_DELAY_S,
    FingerprintBreakers,
    OpenBreaker,
    RequestLoss,
    Target,
    kind_of,
    name_run,
)
from ..kernel import (
    ErrorKind,
    Event,
    FailureError,
    TaskSet,
    fail,
    log_event,
    rendezvous_weight,
)
from ._attempt import Attempt
from ._crash_check import CrashCheck
from ._job import Job
from ._outcomes import AttemptOutcome
from ._progress import Progress

# Of requests that come after a probe is due, at an entry that does not send it.
MIN_RETRY_AFTER_S = 1.0
# Until all entries know of an entry that starts, two may take themselves for the one that probes.
NO_PROBE_AFTER_START_S = 5.0
# A process that was suspended for longer may no longer be the one that sends probes.
PROBE_PERMIT_S = 2.0
# A target that ended refuses connections at once; one that can't be reached is not waited for.
MAX_REFUSAL_WAIT_S = 0.05
MAX_CHECK_WAIT_S = MAX_REFUSAL_WAIT_S + WEIGHING_DELAY_S


@dataclass(frozen=True, kw_only=True, slots=True)
class _PendingProbe:
    """A request that may be sent as a probe until a loop time."""

    job: Job
    expires_s: float


class RequestGuard:
    """Refuses requests whose fingerprints have open breakers, and collects evidence from others.

    Args:
        name: This entry's name.
        breakers: The breakers of the fingerprints.
        entries: Returns the names of all entries, of which one sends the probes of a fingerprint.
        crashes: Tells whether a target ended.
        tasks: Runs these checks.
    """

    def __init__(
        self,
        *,
        name: str,
        breakers: FingerprintBreakers,
        entries: Callable[[], Iterable[str]],
        crashes: CrashCheck,
        tasks: TaskSet,
    ) -> None:
        self._name = name
        self._breakers = breakers
        self._entries = entries
        self._crashes = crashes
        self._tasks = tasks
        self._loop = asyncio.get_running_loop()
        self._may_probe_from_s = self._loop.time() + NO_PROBE_AFTER_START_S
        # The requests that will be sent as probes, by fingerprint.
        self._probes: dict[str, _PendingProbe] = {}

    async def admit(self, job: Job, progress: Progress) -> None:
        """Check that a request may be sent to a target; one of them may be sent as a probe.

        A request that was lost waits for the check of its target, and while entries may still
        object to a breaker, its requests wait.

        Raises:
            FailureError: If targets crash under it.
        """
        if progress.loss_check is not None:
            await asyncio.wait({progress.loss_check}, timeout=MAX_CHECK_WAIT_S)
        opened = await find_settled(self._breakers, job.fingerprints)
        if opened is None:
            return
        if progress.sends or not self._is_probe(opened, job, progress):
            raise self._refusal(opened)

    def find_refusal(self, job: Job) -> FailureError | None:
        """Return the error with which a waiting request is refused; None if it may wait."""
        opened = self._breakers.find_open(job.fingerprints, self._loop.time())
        if opened is None or self._has_permit(opened.fingerprint, job):
            return None
        return self._refusal(opened)

    def start_probe(self, job: Job, progress: Progress) -> None:
        """Tell all entries that a request is sent now, if it is a probe.

        Raises:
            FailureError: If it may not be sent any more, as the time for that has passed, or
                another entry has sent a probe meanwhile.
        """
        if not self._has_permit(progress.probed, job):
            return
        pending = self._probes.pop(progress.probed)
        now_s = self._loop.time()
        opened = self._breakers.find_open((progress.probed,), now_s)
        if opened is None:
            return
        if now_s > pending.expires_s or not opened.is_probe_due(now_s):
            raise self._refusal(opened)
        self._breakers.record_probe(opened, now_s)

    def watch_probe(self, job: Job, progress: Progress, attempt: Attempt) -> None:
        """Clear a tentative breaker once its probe has run longer than the lost requests did.

        Args:
            job: The request.
            progress: Names the fingerprint whose probe it is, if any.
            attempt: The attempt that is about to run.
        """
        opened = self._breakers.find_open((progress.probed,), self._loop.time())
        if progress.sends or opened is None or not opened.is_tentative:
            return
        watch = self._clear_if_survived(progress, attempt)
        self._tasks.start(watch, name=f"probe {job.request_id}")

    async def _clear_if_survived(self, progress: Progress, attempt: Attempt) -> None:
        fingerprint = progress.probed
        while not attempt.is_closed:
            await asyncio.sleep(self._breakers.survival_time_s(fingerprint))
            has_output = progress.first_output_s is not None
            if has_output and not attempt.is_closed:
                self._breakers.record_cleared(fingerprint, self._loop.time())
                return

    def end_probe(self, job: Job, progress: Progress) -> None:
        """Let another request be the probe, if this one was to be but could not be sent."""
        if self._has_permit(progress.probed, job):
            del self._probes[progress.probed]
            progress.probed = ""

    def record_finished(self, job: Job, attempt: Attempt) -> None:
        """Record an attempt with a complete response, if its target gave all of it."""
        if not attempt.is_resumed:
            self._breakers.record_finished(job.fingerprints, self._loop.time())

    def record_failure(
        self, job: Job, progress: Progress, attempt: Attempt, outcome: AttemptOutcome
    ) -> None:
        """Record a failed attempt; only one whose target ended counts."""
        if not outcome.is_disconnected:
            return
        host = attempt.grant.host
        loss = RequestLoss(
            target_id=name_run(host.instance_id, host.record.started_ms),
            request=job.identity,
            fingerprints=job.fingerprints,
            sent_s=attempt.began_s,
            lost_s=self._loop.time(),
        )
        check = self._record_if_ended(job, host, loss)
        progress.loss_check = self._tasks.start(check, name=f"check {host.instance_id}")

    async def _record_if_ended(self, job: Job, target: Target, loss: RequestLoss) -> None:
        has_ended = await self._crashes.has_ended(target)
        log_event(
            Event.LOSS_CHECKED,
            request_id=job.request_id,
            target=target.instance_id,
            has_ended=has_ended,
            fingerprints=job.fingerprints,
        )
        if has_ended:
            await record_weighed(self._breakers, loss)

    def _is_probe(self, opened: OpenBreaker, job: Job, progress: Progress) -> bool:
        """Return whether a request that was not sent yet is the probe of an open breaker."""
        now_s = self._loop.time()
        others = [name for name in job.fingerprints if name != opened.fingerprint]
        if self._breakers.find_open(others, now_s) is not None:
            return False
        if opened.fingerprint == progress.probed:
            return True
        has_settled = opened.is_tentative or now_s >= self._may_probe_from_s
        is_due = opened.is_probe_due(now_s) and has_settled
        if progress.probed or not is_due or opened.fingerprint in self._probes:
            return False
        if not self._sends_probes_of(opened.fingerprint):
            return False
        pending = _PendingProbe(job=job, expires_s=now_s + PROBE_PERMIT_S)
        self._probes[opened.fingerprint] = pending
        progress.probed = opened.fingerprint
        return True

    def _has_permit(self, fingerprint: str, job: Job) -> bool:
        """Return whether a request will be sent as the probe of a fingerprint."""
        pending = self._probes.get(fingerprint)
        return pending is not None and pending.job is job

    def _sends_probes_of(self, fingerprint: str) -> bool:
        owner = max(self._entries(), key=lambda name: rendezvous_weight(name, fingerprint))
        return owner == self._name

    def _refusal(self, opened: OpenBreaker) -> FailureError:
        left_s = max(MIN_RETRY_AFTER_S, opened.retry_at_s - self._loop.time())
        return fail(
            ErrorKind.CRASHES_TARGETS,
            f"targets crash under {_describe(opened.fingerprint)}",
            retry_after_s=round(left_s, 3),
        )


def _describe(fingerprint: str) -> str:
    """Return what a caller is told of a fingerprint."""
    if kind_of(fingerprint) in REQUEST_KINDS:
        return "this request; do not send it again as it is"
    return f"{fingerprint} of the prompt; send it without this part"
