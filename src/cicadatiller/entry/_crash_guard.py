"""Keeps requests from targets if targets crash under them, or under a part of their prompts."""

import asyncio
from collections.abc import Callable, Collection

from ..evidence import find_settled
from ..fleet import (
    REQUEST_KINDS,
    WEIGHING_DELAY_S,
    FingerprintBreakers,
    FingerprintKind,
    OpenBreaker,
    RequestLoss,
    identify_request,
    kind_of,
    rule_of,
)
from ..kernel import ErrorKind, FailureError, fail, rendezvous_weight
from ._lost_sidecars import LostSidecars
from ._prompt_parts import PartNames
from ._requests import WorkRequest

# For this time after a loss, which others may follow, all parts that finish are recorded.
RECENT_LOSS_S = 600.0
# The Retry-After where a probe is due that another entry sends.
MIN_RETRY_AFTER_S = 1.0
# In this time an entry that starts reads which entries there are, and what they know.
NO_PROBE_AFTER_START_S = 5.0


def request_fingerprint(request: WorkRequest) -> str:
    """Return what identifies a request however often it comes, under whatever id or key."""
    identity = identify_request(
        workspace=request.workspace,
        operation=(
            request.model,
            request.adapter,
            request.max_output_tokens,
            request.service,
            request.method,
        ),
        prompt=request.prompt,
        body=request.payload,
    )
    return FingerprintKind.REQUEST.label(identity)


class CrashGuard:
    """Refuses a request under which targets crash, and collects the evidence.

    From time to time one request is sent as a probe, by one of the entries. If all targets ended
    together, perhaps for a reason of their own, one copy is tried before, by any entry.

    Args:
        name: This entry's name.
        breakers: The breakers of fingerprints.
        entries: Returns the names of all entries, of which one sends the probes of a fingerprint.
        lost_sidecars: Finds out whether targets ended whose sidecars were lost.
    """

    def __init__(
        self,
        *,
        name: str,
        breakers: FingerprintBreakers,
        entries: Callable[[], Collection[str]],
        lost_sidecars: LostSidecars,
    ) -> None:
        self._name = name
        self._breakers = breakers
        self._entries = entries
        self._lost_sidecars = lost_sidecars
        self._parts = PartNames()
        self._loop = asyncio.get_running_loop()
        self._may_probe_from_s = self._loop.time() + NO_PROBE_AFTER_START_S

    async def admit(self, request: WorkRequest, *, was_sent: bool) -> str:
        """Wait while entries may still object to a breaker, then check that none is open.

        Args:
            request: The request.
            was_sent: Whether it was sent before; the rest of an answer proves less than a whole one.

        Returns:
            The fingerprint whose probe the request may be, for `start_probe`; else empty.

        Raises:
            FailureError: CRASHES_TARGETS, if one is open and the request may not be its probe.
        """
        if not self._breakers.open_breakers:
            return ""
        names = self._all_fingerprints(request)
        opened = await find_settled(self._breakers, names)
        if opened is None:
            return ""
        others = [name for name in names if name != opened.fingerprint]
        has_others = self._breakers.find_open(others, self._loop.time()) is not None
        if was_sent or has_others or not self._may_probe(opened):
            raise self._refusal(opened)
        return opened.fingerprint

    def start_probe(self, fingerprint: str) -> None:
        """Tell all entries that a request is sent now as the probe of a fingerprint.

        Raises:
            FailureError: CRASHES_TARGETS, if it may not be sent any more, as another one was.
        """
        now_s = self._loop.time()
        opened = self._breakers.find_open((fingerprint,), now_s)
        if opened is None:
            return
        if not self._may_probe(opened):
            raise self._refusal(opened)
        self._breakers.record_probe(opened, now_s)

    def _may_probe(self, opened: OpenBreaker) -> bool:
        now_s = self._loop.time()
        if opened.losses < rule_of(opened.fingerprint).steps and not opened.was_probed:
            return True
        is_due = opened.is_probe_due(now_s) and now_s >= self._may_probe_from_s
        return is_due and self._sends_probes_of(opened.fingerprint)

    def _sends_probes_of(self, fingerprint: str) -> bool:
        names = self._entries() or (self._name,)
        return max(names, key=lambda name: rendezvous_weight(name, fingerprint)) == self._name

    def record_finished(self, request: WorkRequest) -> None:
        """Record that one target gave the whole answer to a request."""
        now_s = self._loop.time()
        if self._has_recent_losses(now_s):
            self._breakers.record_finished(self._all_fingerprints(request), now_s)
            return
        # Without losses, few parts need to be known, and each takes time to name.
        parts = self._parts.shared_names(request, now_s)
        self._breakers.record_finished((*parts, request_fingerprint(request)), now_s)

    def record_loss(
        self, request: WorkRequest, *, address: str, run: str, sent_s: float, lost_s: float
    ) -> None:
        """Record that a target ended; `wait_until_weighed` before the request is sent on.

        Args:
            request: The request that the target ran.
            address: The address of the target's sidecar.
            run: The run of the target that ended.
            sent_s: The loop time at which the request was sent.
            lost_s: The loop time at which the run ended.
        """
        loss = self._make_loss(request, f"{address}/{run}", sent_s, lost_s)
        self._breakers.record_loss(loss, self._loop.time())

    def record_lost_sidecar(
        self, request: WorkRequest, *, address: str, run: str, sent_s: float, lost_s: float
    ) -> None:
        """Record a lost sidecar; a loss if its next report names another run of the target.

        The arguments are those of `record_loss`.
        """
        if run:
            loss = self._make_loss(request, f"{address}/{run}", sent_s, lost_s)
            self._lost_sidecars.add(address, run, loss)

    def run_at(self, address: str) -> str:
        """Return the run of the target at a sidecar; empty if it is not known."""
        return self._lost_sidecars.run_at(address)

    def observe_run(self, address: str, run: str) -> None:
        """Handle a sidecar's report of the run of its target; empty if it does not know it."""
        self._lost_sidecars.observe(address, run, self._loop.time())

    def _make_loss(
        self, request: WorkRequest, target_run: str, sent_s: float, lost_s: float
    ) -> RequestLoss:
        return RequestLoss(
            target_id=target_run,
            request=request_fingerprint(request),
            fingerprints=self._all_fingerprints(request),
            sent_s=sent_s,
            lost_s=max(sent_s, lost_s),
        )

    async def wait_until_weighed(self) -> None:
        """Wait until the losses that were recorded so far are weighed."""
        await asyncio.sleep(WEIGHING_DELAY_S)

    def _all_fingerprints(self, request: WorkRequest) -> tuple[str, ...]:
        """Return what a request has in common with others, the most common first."""
        return (*self._parts.all_names(request), request_fingerprint(request))

    def _has_recent_losses(self, now_s: float) -> bool:
        """Return whether a request was lost lately, or a breaker is open."""
        losses = self._breakers.losses
        was_lost = bool(losses) and now_s - losses[-1].lost_s < RECENT_LOSS_S
        return was_lost or bool(self._breakers.open_breakers)

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
    return "a part of this prompt that others have, too; send it without this part"
