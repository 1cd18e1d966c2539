"""The targets that are registered in the store."""

from collections.abc import Iterable

from ..kernel import Event, log_event
from ._breaker import Breaker
from ._target import TargetRecord, TargetState

# Long enough for the registration of a target that is shutting down to say LEAVING.
HELP_BACKOFF_S = 3.0


class Target:
    """One run of a target's program, with its health as this entry observes it.

    Attributes:
        record: The target's registration in the store.
        breaker: The circuit breaker that ejects the target while it fails.
    """

    def __init__(self, *, record: TargetRecord) -> None:
        self.record = record
        self.breaker = Breaker(name=record.instance_id)
        self._help_backoff_until_s = float("-inf")

    @property
    def instance_id(self) -> str:
        """Return the instance id of this run."""
        return self.record.instance_id

    @property
    def accepts_work(self) -> bool:
        """Return whether the target may be sent new work."""
        return self.record.state is TargetState.READY

    def record_help_failure(self, now_s: float) -> None:
        """Record that a request was refused because this target failed as its helper.

        The target is not used as a helper for `HELP_BACKOFF_S`.
        """
        self._help_backoff_until_s = now_s + HELP_BACKOFF_S

    def may_help(self, now_s: float) -> bool:
        """Return whether the target may prefill parts of prompts hosted elsewhere."""
        return now_s >= self._help_backoff_until_s


class TargetDirectory:
    """The known targets by instance id.

    Attributes:
        revision: Changes whenever a target is added, updated or removed.
    """

    def __init__(self) -> None:
        self.revision = 0
        self._targets: dict[str, Target] = {}

    def find(self, instance_id: str) -> Target | None:
        """Return the target with an instance id; None if it is unknown."""
        return self._targets.get(instance_id)

    def find_at(self, address: str) -> Target | None:
        """Return the target that listens at an address; None if there is none."""
        for target in self._targets.values():
            if target.record.address == address:
                return target
        return None

    def targets(self) -> Iterable[Target]:
        """Return all targets."""
        return self._targets.values()

    def targets_of(self, service: str) -> list[Target]:
        """Return the targets of a service that accept new work."""
        return [
            target
            for target in self._targets.values()
            if target.accepts_work and target.record.service == service
        ]

    def put(self, record: TargetRecord) -> bool:
        """Add or update a target's registration; return whether it is a new run."""
        known = self._targets.get(record.instance_id)
        if known is None or known.record.started_ms != record.started_ms:
            self.revision += 1
            self._targets[record.instance_id] = Target(record=record)
            log_event(Event.INSTANCE_SEEN, name=record.instance_id, address=record.address)
            return True
        if known.record.state is not record.state:
            log_event(Event.TARGET_LEAVING, name=record.instance_id)
        if known.record != record:
            self.revision += 1
        known.record = record
        return False

    def remove(self, instance_id: str, reason: str) -> bool:
        """Remove a target; return whether it was known."""
        if self._targets.pop(instance_id, None) is None:
            return False
        self.revision += 1
        log_event(Event.INSTANCE_GONE, name=instance_id, reason=reason)
        return True
