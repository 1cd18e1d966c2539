"""The targets that are known, by service."""

from collections.abc import Iterable

from ..kernel import Event, log_event
from ._breaker import Breaker
from ._target import TargetRecord, TargetState

# By then the entry of a target that leaves says so.
NO_HELP_S = 3.0


class Target:
    """One run of a target's program, as this entry sees it.

    Attributes:
        record: What the target registered.
        breaker: Keeps work away while it fails.
    """

    def __init__(self, *, record: TargetRecord) -> None:
        self.record = record
        self.breaker = Breaker(name=record.instance_id)
        self._no_help_until_s = float("-inf")

    @property
    def instance_id(self) -> str:
        """Return the id of this run."""
        return self.record.instance_id

    @property
    def takes_work(self) -> bool:
        """Tell whether it may be sent new work."""
        return self.record.state is TargetState.READY

    def note_help_failed(self, now_s: float) -> None:
        """Note that a request was refused because this target did not help with it."""
        self._no_help_until_s = now_s + NO_HELP_S

    def may_help(self, now_s: float) -> bool:
        """Tell whether it may be asked to read parts of others' prompts."""
        return now_s >= self._no_help_until_s


class TargetDirectory:
    """The targets by the id of their run."""

    def __init__(self) -> None:
        self._targets: dict[str, Target] = {}

    def find(self, instance_id: str) -> Target | None:
        """Return a target."""
        return self._targets.get(instance_id)

    def find_at(self, address: str) -> Target | None:
        """Return the target that listens at an address."""
        for target in self._targets.values():
            if target.record.address == address:
                return target
        return None

    def targets(self) -> Iterable[Target]:
        """Return all targets."""
        return self._targets.values()

    def targets_of(self, service: str) -> list[Target]:
        """Return the targets of a service that take work."""
        return [
            target
            for target in self._targets.values()
            if target.takes_work and target.record.service == service
        ]

    def put(self, record: TargetRecord) -> bool:
        """Take what a target registered; return whether it is a run that was not known."""
        known = self._targets.get(record.instance_id)
        if known is None or known.record.started_ms != record.started_ms:
            self._targets[record.instance_id] = Target(record=record)
            log_event(Event.INSTANCE_SEEN, name=record.instance_id, address=record.address)
            return True
        if known.record.state is not record.state:
            log_event(Event.TARGET_LEAVING, name=record.instance_id)
        known.record = record
        return False

    def remove(self, instance_id: str, reason: str) -> bool:
        """Forget a target; return whether it was known."""
        if self._targets.pop(instance_id, None) is None:
            return False
        log_event(Event.INSTANCE_GONE, name=instance_id, reason=reason)
        return True
