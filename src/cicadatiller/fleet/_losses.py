"""The requests that were lost with their targets, and what they tell of what they have in common."""

from collections import OrderedDict
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from ._fingerprint import (
    REQUEST_KINDS,
    RULES,
    FingerprintKind,
    is_part,
    kind_of,
    label_workspace_part,
    rank_of,
    rule_of,
)

MAX_LOSSES = 256
MAX_LOSS_AGE_S = max(rule.max_age_s for rule in RULES.values())
# Of a fingerprint that stands for one request: only targets that ended this close to those that it
# was lost with are compared with them.
NEARBY_S = 2.0
RUN_SEPARATOR = "@"
# One target that ends again and again may do so for a reason of its own.
MIN_INSTANCES = 2


def name_run(instance_id: str, started_ms: int) -> str:
    """Return the name of a run of a target, which may start again under its instance id.

    Args:
        instance_id: The instance id.
        started_ms: The start in Unix milliseconds; 0 if it is unknown.
    """
    return f"{instance_id}{RUN_SEPARATOR}{started_ms}" if started_ms else instance_id


def _instance_of(run: str) -> str:
    instance_id, separator, started_ms = run.rpartition(RUN_SEPARATOR)
    return instance_id if separator and started_ms.isdigit() else run


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestLoss:
    """A request that was lost with its target. Times are loop times.

    Attributes:
        target_id: The run of the target, see `name_run`.
        request: What tells the request from others; see `identify_request`.
        fingerprints: What it has in common with others, the most common first.
        sent_s: When it was sent to the target.
        lost_s: When it was lost.
    """

    target_id: str
    request: str
    fingerprints: tuple[str, ...]
    sent_s: float
    lost_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class LossSummary:
    """What the losses tell of one fingerprint.

    Attributes:
        targets: The number of targets that ended.
        steps: The number of losses of which each was sent after the one before.
        since_s: When the first of these happened.
        spread_s: The difference between the longest and the shortest time from sending to loss.
    """

    targets: int
    steps: int
    since_s: float
    spread_s: float


class LossTable:
    """The losses that are not forgotten."""

    def __init__(self) -> None:
        self._losses: OrderedDict[tuple[str, str], RequestLoss] = OrderedDict()
        self._by_fingerprint: dict[str, list[RequestLoss]] = {}

    @property
    def losses(self) -> tuple[RequestLoss, ...]:
        """Return the losses in the order in which this entry learnt of them."""
        return tuple(self._losses.values())

    @property
    def first_lost_s(self) -> float:
        """Return when the first request was lost."""
        return min((loss.lost_s for loss in self._losses.values()), default=float("inf"))

    def count(self, fingerprint: str) -> int:
        """Return the number of losses of a fingerprint."""
        return len(self._by_fingerprint.get(fingerprint, ()))

    def share(self, fingerprint: str) -> float:
        """Return the share of a part in the lost prompts."""
        prompts = sum(is_part(loss.fingerprints[0]) for loss in self._losses.values())
        return self.count(fingerprint) / max(1, prompts)

    def longest_time_to_loss_s(self, fingerprint: str) -> float:
        """Return the longest time from sending a request with a fingerprint to its loss."""
        losses = self._by_fingerprint.get(fingerprint, ())
        return max((loss.lost_s - loss.sent_s for loss in losses), default=0.0)

    def is_common(self, fingerprint: str) -> bool:
        """Return whether a part may be one that all prompts of a route have.

        It may if all lost prompts that begin with the same part have it, and one target ran
        several of them.
        """
        losses = self._by_fingerprint.get(fingerprint, ())
        kind = kind_of(fingerprint)
        if kind in REQUEST_KINDS or len(losses) <= len(self._targets(fingerprint)):
            return False
        first_parts = {_first_of_kind(loss, kind) for loss in losses}
        alike = sum(_first_of_kind(loss, kind) in first_parts for loss in self._losses.values())
        return alike == len(losses)

    def add(self, loss: RequestLoss, now_s: float) -> bool:
        """Add a loss; return whether it is new and may count."""
        key = (loss.target_id, loss.request)
        if key in self._losses or now_s - loss.lost_s > MAX_LOSS_AGE_S or not loss.fingerprints:
            return False
        self._losses[key] = loss
        for fingerprint in loss.fingerprints:
            self._by_fingerprint.setdefault(fingerprint, []).append(loss)
        self._forget(now_s)
        return True

    def weigh(
        self,
        fingerprint: str,
        *,
        after_s: float,
        blamed: Collection[str],
        may_be_sound: bool,
        now_s: float,
    ) -> LossSummary | None:
        """Return the evidence against a fingerprint, if it suffices for one that never finished.

        Args:
            fingerprint: The fingerprint.
            after_s: When it finished last; only later losses count.
            blamed: The fingerprints whose breakers are open: they explain losses.
            may_be_sound: Whether requests with it may finish, though none is known to have.
            now_s: The loop time.
        """
        rule = rule_of(fingerprint)
        losses = self._by_fingerprint.get(fingerprint, ())
        if len(losses) < rule.targets:
            return None
        finished_lately = after_s > now_s - rule.max_age_s
        may_be_sound = may_be_sound or finished_lately
        explained = self._explained(
            fingerprint, blamed, finished_lately=finished_lately, may_be_sound=may_be_sound
        )
        after_s = max(after_s, now_s - rule.max_age_s)
        counted = [
            loss for loss in losses if loss.lost_s > after_s and not _explains(explained, loss)
        ]
        targets = {loss.target_id for loss in counted}
        if targets <= explained.keys():
            return None
        if len(targets) < rule.targets or len(set(map(_instance_of, targets))) < MIN_INSTANCES:
            return None
        if len({loss.request for loss in counted}) < rule.requests:
            return None
        if rule.is_shared and _is_from_one_workspace(fingerprint, counted):
            return None
        steps = _successive(counted)
        if len(steps) < rule.steps_for_trial:
            return None
        others = self._unrelated(counted, explained) if rule.target_share else 0
        if len(targets) < rule.target_share * (len(targets) + others):
            return None
        durations_s = [loss.lost_s - loss.sent_s for loss in counted]
        return LossSummary(
            targets=len(targets),
            steps=len(steps),
            since_s=steps[0].lost_s,
            spread_s=max(durations_s) - min(durations_s),
        )

    def _explained(
        self,
        fingerprint: str,
        blamed: Collection[str],
        *,
        finished_lately: bool,
        may_be_sound: bool,
    ) -> Mapping[str, set[str]]:
        """Return the targets that ended under other fingerprints, each with these.

        The losses of a narrower fingerprint are the wider one's, too, unless requests with the wider
        one finished lately. A part is also narrower than one that all its lost requests had: the
        turns of a session share both, other sessions only the wider one. That does not hold against
        a fingerprint that may be sound.

        A single request that was lost with all targets that ended under another one, and with
        more, is the likelier cause of both, so its losses are not explained by that one.
        """
        explained: dict[str, set[str]] = {}
        own_targets = self._targets(fingerprint)
        for other in blamed:
            if other == fingerprint:
                continue
            targets = self._targets(other)
            are_requests = {kind_of(fingerprint), kind_of(other)} <= REQUEST_KINDS
            if are_requests and targets < own_targets:
                continue
            is_narrower = not finished_lately and rank_of(other) > rank_of(fingerprint)
            if not may_be_sound and self._implies(other, fingerprint):
                is_narrower = True
            narrower = other if is_narrower else ""
            for target_id in targets:
                explained.setdefault(target_id, set()).add(narrower)
        return explained

    def _implies(self, part: str, other: str) -> bool:
        """Return whether all requests that were lost with a part had another one as well."""
        losses = self._by_fingerprint.get(part, ())
        return is_part(part) and all(other in loss.fingerprints for loss in losses)

    def _targets(self, fingerprint: str) -> set[str]:
        return {loss.target_id for loss in self._by_fingerprint.get(fingerprint, ())}

    def _unrelated(self, counted: list[RequestLoss], explained: Mapping[str, set[str]]) -> int:
        """Return how many targets ended near these losses under no request that was lost so often.

        If they are many, targets end for a reason of their own.
        """
        times_s = [loss.lost_s for loss in counted]
        nearby = [
            loss
            for loss in self._losses.values()
            if any(abs(loss.lost_s - time_s) <= NEARBY_S for time_s in times_s)
        ]
        related = {loss.target_id for loss in nearby if self._is_repeated(loss)}
        return len({loss.target_id for loss in nearby} - related - set(explained))

    def _is_repeated(self, loss: RequestLoss) -> bool:
        """Return whether a request was lost with as many targets as may open its breaker."""
        return any(
            len(self._targets(name)) >= rule_of(name).targets
            for name in loss.fingerprints
            if kind_of(name) in REQUEST_KINDS
        )

    def _forget(self, now_s: float) -> None:
        for key, loss in list(self._losses.items()):
            if len(self._losses) <= MAX_LOSSES and now_s - loss.lost_s <= MAX_LOSS_AGE_S:
                continue
            del self._losses[key]
            for fingerprint in loss.fingerprints:
                self._by_fingerprint[fingerprint].remove(loss)
                if not self._by_fingerprint[fingerprint]:
                    del self._by_fingerprint[fingerprint]


def _first_of_kind(loss: RequestLoss, kind: FingerprintKind) -> str:
    """Return the first fingerprint of a kind of a lost request; empty if it has none."""
    return next((name for name in loss.fingerprints if kind_of(name) is kind), "")


def _explains(explained: Mapping[str, set[str]], loss: RequestLoss) -> bool:
    """Return whether another fingerprint than the loss's own narrower ones explains a loss."""
    causes = explained.get(loss.target_id, set())
    return bool(causes) and causes.isdisjoint(loss.fingerprints)


def _is_from_one_workspace(part: str, losses: Iterable[RequestLoss]) -> bool:
    """Return whether one workspace sent the lost requests with a part.

    Entries of older versions do not say which.
    """
    prefix = label_workspace_part(part, "")
    names = {name for loss in losses for name in loss.fingerprints if name.startswith(prefix)}
    return len(names) == 1


def _successive(losses: Iterable[RequestLoss]) -> list[RequestLoss]:
    """Return the losses on different targets of which each was sent after the one before."""
    successive: list[RequestLoss] = []
    targets = set()
    for loss in sorted(losses, key=lambda loss: loss.lost_s):
        is_later = not successive or loss.sent_s >= successive[-1].lost_s
        if is_later and loss.target_id not in targets:
            successive.append(loss)
            targets.add(loss.target_id)
    return successive
