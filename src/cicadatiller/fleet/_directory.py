"""The targets that are registered in the store."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from ..kernel import Event, log_event
from ._availability import Availability
from ._breaker import Breaker
from ._target import TargetRecord, TargetState

# Runs that stated something about themselves and are not registered here.
MAX_UNREGISTERED_RUNS = 1024


class Target:
    """One run of a target's program, with its health as this entry observes it.

    Args:
        record: The target's registration in the store.
        availability: What the run has stated before; None if nothing.

    Attributes:
        record: The target's registration in the store.
        breaker: The circuit breaker that ejects the target while it fails.
        availability: Whether the target may get new work by its own statements.
    """

    def __init__(self, *, record: TargetRecord, availability: Availability | None = None) -> None:
        self.breaker = Breaker(name=record.instance_id)
        self.availability = availability or Availability()
        self.update(record)

    def update(self, record: TargetRecord) -> None:
        """Apply a newer registration of the same run."""
        self.record = record
        self.availability.registered_state = record.state

    @property
    def instance_id(self) -> str:
        """Return the instance id of this run."""
        return self.record.instance_id

    @property
    def accepts_work(self) -> bool:
        """Return whether the target does not leave; it may still want no requests for a time."""
        return not self.availability.is_leaving

    @property
    def is_evacuated(self) -> bool:
        """Return whether the operator has evacuated the target's data centre."""
        return self.availability.is_evacuated

    def is_usable(self, now_s: float) -> bool:
        """Return whether the target may be sent new work now."""
        return self.availability.is_usable(now_s)

    def may_help(self, now_s: float) -> bool:
        """Return whether the target may prefill parts of prompts hosted elsewhere."""
        return self.availability.may_help(now_s)

    def record_help_failure(self, now_s: float) -> None:
        """Record that a request was refused because this target failed as its helper."""
        self.availability.record_help_failure(now_s)


@dataclass(frozen=True, kw_only=True, slots=True)
class _UnregisteredRun:
    started_ms: int
    availability: Availability


class TargetDirectory:
    """The known targets by instance id.

    What a run has stated about itself is kept while its registration is missing, so that a
    registration that is read again does not undo it.

    Attributes:
        revision: Changes whenever a target is added, updated or removed.
    """

    def __init__(self) -> None:
        self.revision = 0
        self._targets: dict[str, Target] = {}
        self._evacuated: frozenset[str] = frozenset()
        self._unregistered: OrderedDict[str, _UnregisteredRun] = OrderedDict()

    def find(self, instance_id: str) -> Target | None:
        """Return the target with an instance id; None if it is unknown."""
        return self._targets.get(instance_id)

    def find_at(self, address: str, *, other_than: Target | None = None) -> Target | None:
        """Return the target that listens at an address; None if there is none.

        If a run that is gone is still registered beside its successor, the later one is returned.

        Args:
            address: The address, "host:port".
            other_than: A target that does not listen there any more.
        """
        at_address = [
            target
            for target in self._targets.values()
            if target.record.address == address and target is not other_than
        ]
        return max(at_address, key=lambda target: target.record.started_ms, default=None)

    def targets(self) -> Iterable[Target]:
        """Return all targets."""
        return self._targets.values()

    def targets_of(self, service: str) -> list[Target]:
        """Return the targets of a service that neither leave nor are evacuated."""
        return [
            target
            for target in self._targets.values()
            if target.accepts_work and not target.is_evacuated and target.record.service == service
        ]

    def evacuated(self) -> list[Target]:
        """Return the targets of the evacuated data centres."""
        return [target for target in self._targets.values() if target.is_evacuated]

    def set_evacuated(self, data_centres: frozenset[str]) -> None:
        """Set the data centres whose targets get no new work."""
        self._evacuated = data_centres
        self.revision += 1
        for target in self._targets.values():
            self._mark_evacuated(target)

    def announced_leaving(self) -> list[Target]:
        """Return the targets that stated in a response that they leave."""
        return [t for t in self._targets.values() if t.availability.has_announced_leaving]

    def limited(self) -> list[Target]:
        """Return the targets that state the rate of requests that they take."""
        return [t for t in self._targets.values() if t.availability.rate.is_limited]

    def put(self, record: TargetRecord) -> bool:
        """Add or update a target's registration; return whether it is a new run."""
        known = self._targets.get(record.instance_id)
        if known is None or known.record.started_ms != record.started_ms:
            self._add_run(record, known)
            return True
        if known.record.state is not record.state and record.state is TargetState.LEAVING:
            log_event(Event.TARGET_LEAVING, name=record.instance_id, source="registration")
        if known.record != record:
            self.revision += 1
        known.update(record)
        self._mark_evacuated(known)
        return False

    def remove(self, instance_id: str, reason: str) -> bool:
        """Remove a target; return whether it was known."""
        target = self._targets.pop(instance_id, None)
        if target is None:
            return False
        self.revision += 1
        # Without a start time, a later run could not be told from this one.
        if target.record.started_ms:
            self._remember(instance_id, _unregistered(target))
        log_event(Event.INSTANCE_GONE, name=instance_id, reason=reason)
        return True

    def record_leaving(self, instance_id: str, started_ms: int, source: str) -> bool:
        """Record that a run announced that it leaves; return whether this is news.

        Args:
            instance_id: The target's instance id.
            started_ms: The start time of the run, as in `TargetRecord`.
            source: Where this entry learnt it, for the log.
        """
        availability = self.availability_of(instance_id, started_ms)
        if availability is None or availability.has_announced_leaving:
            return False
        availability.has_announced_leaving = True
        self.revision += 1
        log_event(Event.TARGET_LEAVING, name=instance_id, source=source)
        return True

    def availability_of(self, instance_id: str, started_ms: int) -> Availability | None:
        """Return what a run states, which may not be registered; None if a later run is known.

        Args:
            instance_id: The target's instance id.
            started_ms: The start time of the run, as in `TargetRecord`.
        """
        target = self._targets.get(instance_id)
        if target is not None and target.record.started_ms >= started_ms:
            return target.availability if target.record.started_ms == started_ms else None
        run = self._unregistered.get(instance_id)
        if run is None or run.started_ms < started_ms:
            run = _UnregisteredRun(started_ms=started_ms, availability=Availability())
            self._remember(instance_id, run)
        return run.availability if run.started_ms == started_ms else None

    def _add_run(self, record: TargetRecord, known: Target | None) -> None:
        availability = self._stated_before(record, known)
        self.revision += 1
        target = Target(record=record, availability=availability)
        self._mark_evacuated(target)
        self._targets[record.instance_id] = target
        log_event(Event.INSTANCE_SEEN, name=record.instance_id, address=record.address)

    def _mark_evacuated(self, target: Target) -> None:
        target.availability.is_evacuated = target.record.data_centre in self._evacuated

    def _stated_before(self, record: TargetRecord, known: Target | None) -> Availability | None:
        """Return what a run stated before its registration was read; None if it is a later run.

        A registration with an earlier start than the statement is an old one, and the target that
        made the statement is the one that listens.
        """
        if known is not None and known.record.started_ms > record.started_ms > 0:
            self._remember(record.instance_id, _unregistered(known))
        run = self._unregistered.get(record.instance_id)
        if run is None or record.started_ms > run.started_ms:
            self._unregistered.pop(record.instance_id, None)
            return None
        if record.started_ms == run.started_ms:
            del self._unregistered[record.instance_id]
        return run.availability

    def _remember(self, instance_id: str, run: _UnregisteredRun) -> None:
        known = self._unregistered.get(instance_id)
        if known is not None and known.started_ms > run.started_ms:
            return
        self._unregistered[instance_id] = run
        self._unregistered.move_to_end(instance_id)
        if len(self._unregistered) > MAX_UNREGISTERED_RUNS:
            self._unregistered.popitem(last=False)


def _unregistered(target: Target) -> _UnregisteredRun:
    return _UnregisteredRun(started_ms=target.record.started_ms, availability=target.availability)
