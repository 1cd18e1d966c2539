"""The sink that applies registrations of targets to the directory.

After the store came back from an older copy, the registrations in it may be older than what this
entry knows. Then the newer knowledge is held against the store's until targets write again.
"""

import asyncio
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from ..fleet import KeyedPage, KeyedRecord, TargetDirectory, TargetRecord, TargetState
from ..kernel import UnreadableRecords
from ._sinks import DocumentDecoder

# For this time a target that the store's copy lacks stays in use, to register again.
UNLISTED_GRACE_S = 5.0
# For this time a target that has left is not used, though the store's copy lists it.
DEPARTURE_HOLD_S = 30.0
MAX_DEPARTURES = 1024
# The clocks of instances may differ by this much.
MAX_CLOCK_DIFFERENCE_S = 60.0


@dataclass(frozen=True, kw_only=True, slots=True)
class HeldTarget:
    """What is known of a target against its older registration in the store.

    Attributes:
        record: What peers are told: its newest registration, or a removal if it has left.
        target: Its newest registration.
        listed: The registration in the store if the target has left; None otherwise.
    """

    record: KeyedRecord
    target: TargetRecord
    listed: TargetRecord | None = None


class TargetSink:
    """Applies registrations of targets to the directory.

    Args:
        decoder: Decodes documents.
        directory: The known targets.
        unreadable: Keeps the keys whose record can't be decoded.
        on_new_run: Called with the instance id of each new run of a target.
        on_registered: Called with each registration that was applied.
        on_removed: Called with the instance id of each target that was removed.
    """

    def __init__(
        self,
        *,
        decoder: DocumentDecoder,
        directory: TargetDirectory,
        unreadable: UnreadableRecords,
        on_new_run: Callable[[str], None],
        on_registered: Callable[[TargetRecord], None] = lambda record: None,
        on_removed: Callable[[str], None],
    ) -> None:
        self._decoder = decoder
        self._directory = directory
        self._unreadable = unreadable
        self._on_new_run = on_new_run
        self._on_registered = on_registered
        self._on_removed = on_removed
        self._pending_removals: dict[str, asyncio.TimerHandle] = {}
        # The last registrations of targets that left, in the order in which they did.
        self._departures: dict[str, TargetRecord] = {}
        self._held: dict[str, HeldTarget] = {}
        self._hold_until_s = float("-inf")
        # Records before this offset were in the first page of the era; None if it is unknown, as
        # the first records came from peers.
        self._first_page_end: int | None = None
        self._written_in_era: set[str] = set()
        self._unlisted: set[str] = set()

    def apply(self, record: KeyedRecord, *, grace_s: float) -> None:
        """Apply one record.

        Args:
            record: The registration, or its removal.
            grace_s: Time after which a removal takes effect, unless the target registers again.
        """
        if record.value is None:
            self._unreadable.discard(record.key)
            self._held.pop(record.key, None)
            self._apply_removal(record.key, grace_s)
            return
        target = self._decode(record)
        if target is None:
            self._remove(record.key, "its registration can't be decoded")
            return
        if self._is_outdated(record, target) or self._is_late(target):
            return
        if not self._was_in_first_page(record):
            self._written_in_era.add(record.key)
        self._held.pop(record.key, None)
        self._cancel_pending_removal(record.key)
        self._put(target)

    def replace(self, page: KeyedPage, *, grace_s: float) -> None:
        """Apply a page with the newest record of each key; targets not in it are removed.

        Those that the first page of the era lacked have their grace until then.
        """
        if self._first_page_end is None:
            self._first_page_end = page.next_offset
        listed = {record.key for record in page.records}
        for target in list(self._directory.targets()):
            if target.instance_id not in listed | self._unlisted:
                self._apply_removal(target.instance_id, grace_s)
        for record in page.records:
            self.apply(record, grace_s=grace_s)

    def merge(self, page: KeyedPage, *, before: Mapping[str, KeyedRecord]) -> None:
        """Apply the first page of a new era; what is known to be newer than its records stays.

        Targets that are not in it are removed after `UNLISTED_GRACE_S`, unless they register again.
        """
        newest = {**before, **{key: held.record for key, held in self._held.items()}}
        self._held.clear()
        self._hold_until_s = asyncio.get_running_loop().time() + DEPARTURE_HOLD_S
        self._first_page_end = page.next_offset
        self._written_in_era.clear()
        listed = {record.key for record in page.records}
        for instance_id in self._unlisted & listed:
            self._cancel_pending_removal(instance_id)
        self._unlisted -= listed
        for record in page.records:
            self._merge_record(record, newest.get(record.key, record))
        for target in list(self._directory.targets()):
            if target.instance_id not in listed:
                self._unlisted.add(target.instance_id)
                self._apply_removal(target.instance_id, UNLISTED_GRACE_S)

    def held(self) -> tuple[KeyedRecord, ...]:
        """Return what peers have to know against the registrations in the store."""
        return tuple(held.record for held in self._held.values())

    def apply_held(self, records: tuple[KeyedRecord, ...]) -> None:
        """Apply what a peer holds against the registrations in the store."""
        now_s = asyncio.get_running_loop().time()
        if self._hold_until_s == float("-inf"):
            self._hold_until_s = now_s + DEPARTURE_HOLD_S
        for record in records:
            if record.value is not None:
                self._apply_newer(record)
            elif now_s < self._hold_until_s:
                self._apply_departure(record)

    def _merge_record(self, record: KeyedRecord, newest: KeyedRecord) -> None:
        target = self._decode(record)
        if target is None:
            return
        known = self._directory.find(record.key)
        if known is None:
            departed = self._departures.get(record.key)
            if departed is not None and target.age_order <= departed.age_order:
                self._hold_departure(record, departed, target)
            else:
                self._put(target)
        elif not _is_older(target, known.record):
            self._put(target)
        elif not known.accepts_work or target.started_ms < known.record.started_ms:
            self._held[record.key] = HeldTarget(record=newest, target=known.record)

    def _apply_newer(self, record: KeyedRecord) -> None:
        target = self._decode(record)
        known = self._directory.find(record.key)
        if target is None or known is None or not _is_older(known.record, target):
            return
        self._put(target)
        self._held[record.key] = HeldTarget(record=record, target=target)

    def _apply_departure(self, record: KeyedRecord) -> None:
        known = self._directory.find(record.key)
        if known is None or record.key in self._written_in_era:
            return
        self._remove(record.key, "a peer knows that it left")
        self._hold_departure(record, known.record, known.record)

    def _hold_departure(
        self, record: KeyedRecord, departed: TargetRecord, listed: TargetRecord
    ) -> None:
        removal = KeyedRecord(offset=record.offset, key=record.key, value=None)
        held = HeldTarget(record=removal, target=departed, listed=listed)
        self._held[record.key] = held
        loop = asyncio.get_running_loop()
        loop.call_at(self._hold_until_s, self._end_hold, record.key, held)

    def _end_hold(self, instance_id: str, held: HeldTarget) -> None:
        if self._held.get(instance_id) is held and held.listed is not None:
            del self._held[instance_id]
            self._put(held.listed)

    def _is_outdated(self, record: KeyedRecord, target: TargetRecord) -> bool:
        """Return whether a registration tells less than what is known from before the restore."""
        known = self._known_before(record.key)
        if known is None:
            return False
        if self._was_in_first_page(record):
            return target.age_order <= known.age_order
        return _is_older(target, known)

    def _is_late(self, target: TargetRecord) -> bool:
        """Return whether a run has told more since, so that its record was written late.

        The store may execute a write seconds after newer ones. Runs that state no start can't be
        told apart, and a later one counts anew.
        """
        known = self._directory.find(target.instance_id)
        newest = self._departures.get(target.instance_id) if known is None else known.record
        if newest is None or not target.started_ms:
            return False
        return target.age_order < newest.age_order

    def _known_before(self, instance_id: str) -> TargetRecord | None:
        held = self._held.get(instance_id)
        if held is not None:
            return held.target
        is_holding = asyncio.get_running_loop().time() < self._hold_until_s
        return self._departures.get(instance_id) if is_holding else None

    def _was_in_first_page(self, record: KeyedRecord) -> bool:
        return self._first_page_end is None or record.offset < self._first_page_end

    def _decode(self, record: KeyedRecord) -> TargetRecord | None:
        try:
            target = self._decoder.decode_target(record.key, record.value or b"")
            _check_start(target)
        except ValueError as error:
            self._unreadable.add(record.key, error)
            return None
        self._unreadable.discard(record.key)
        return target

    def _put(self, target: TargetRecord) -> None:
        self._unlisted.discard(target.instance_id)
        self._departures.pop(target.instance_id, None)
        if self._directory.put(target):
            self._on_new_run(target.instance_id)
        self._on_registered(target)

    def _apply_removal(self, instance_id: str, grace_s: float) -> None:
        target = self._directory.find(instance_id)
        if target is None:
            return
        if grace_s <= 0 or not target.accepts_work:
            self._remove(instance_id, "its registration was removed")
            return
        # The registration may have expired because of a store outage, or be missing in the store's
        # copy; the target then renews it.
        if instance_id not in self._pending_removals:
            loop = asyncio.get_running_loop()
            self._pending_removals[instance_id] = loop.call_later(
                grace_s, self._remove, instance_id, "its registration expired and was not renewed"
            )

    def _cancel_pending_removal(self, instance_id: str) -> None:
        timer = self._pending_removals.pop(instance_id, None)
        if timer is not None:
            timer.cancel()

    def _remove(self, instance_id: str, reason: str) -> None:
        self._cancel_pending_removal(instance_id)
        self._unlisted.discard(instance_id)
        self._written_in_era.discard(instance_id)
        target = self._directory.find(instance_id)
        if target is None or not self._directory.remove(instance_id, reason):
            return
        self._departures[instance_id] = target.record
        if len(self._departures) > MAX_DEPARTURES:
            del self._departures[next(iter(self._departures))]
        self._on_removed(instance_id)


def _check_start(target: TargetRecord) -> None:
    """Check the start of a run, which would outdate all true registrations if it lay far ahead.

    Raises:
        ValueError: If it is in the future.
    """
    if target.started_ms > 1000 * (time.time() + MAX_CLOCK_DIFFERENCE_S):
        raise ValueError(f"the start {target.started_ms} is in the future")


def _is_older(target: TargetRecord, known: TargetRecord) -> bool:
    """Return whether a registration was written before another of the same instance id."""
    if target.age_order != known.age_order:
        return target.age_order < known.age_order
    return known.state is TargetState.LEAVING and target.state is TargetState.READY
