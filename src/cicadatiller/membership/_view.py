"""The instances that an entry knows, from the platform's list and its own observations."""

import asyncio
from collections import deque
from collections.abc import Callable

from ..backing import (
    Instance,
    InstanceKind,
    InstanceList,
    InstanceState,
    PlatformUnavailableError,
)
from ..kernel import Event, log_event
from ._target import Target

LIST_POLL_INTERVAL_S = 1.0
MAX_REPORT_AGE_S = 15.0
MAX_UNLISTED_S = 60.0
MAX_REMOVED_ADDRESSES = 1000


class InstanceView:
    """Follows the platform's list of instances and keeps the last one during an outage.

    A target that is missing from the list is kept for up to `MAX_UNLISTED_S` while its load reports
    arrive: the list lags, and may omit an instance that its next version contains again.
    """

    def __init__(self, *, instances: InstanceList) -> None:
        self._instances = instances
        self._targets: dict[str, Target] = {}
        self._by_address: dict[str, Target] = {}
        self._live_entries: frozenset[str] = frozenset()
        self._removed_addresses: deque[str] = deque(maxlen=MAX_REMOVED_ADDRESSES)
        self._listeners: list[Callable[[], None]] = []

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Register a listener; it is called each time the list has been read."""
        self._listeners.append(listener)

    def targets(self) -> tuple[Target, ...]:
        """Return all listed targets, and unlisted ones that are still kept."""
        return tuple(self._targets.values())

    def live_entries(self) -> int:
        """Return the number of live entries in the list."""
        return len(self._live_entries)

    def entry_names(self) -> frozenset[str]:
        """Return the names of the live entries in the list."""
        return self._live_entries

    def target_at(self, address: str) -> Target | None:
        """Return the target whose sidecar listens at an address; None if there is none."""
        return self._by_address.get(address)

    def was_removed(self, address: str) -> bool:
        """Return whether one of the last `MAX_REMOVED_ADDRESSES` removed targets had an address."""
        return address in self._removed_addresses

    async def run(self) -> None:
        """Read the list every `LIST_POLL_INTERVAL_S` until cancelled."""
        while True:
            await self.refresh()
            await asyncio.sleep(LIST_POLL_INTERVAL_S)

    async def refresh(self) -> None:
        """Read and apply the list once; does nothing if the platform is unavailable."""
        try:
            listed = await self._instances.list_instances()
        except PlatformUnavailableError:
            return
        self._apply_list(listed)

    def _apply_list(self, listed: tuple[Instance, ...]) -> None:
        self._remove_unlisted({instance.name for instance in listed})
        live_entries = set()
        for instance in listed:
            if instance.kind is not InstanceKind.ENTRY:
                self._put_target(instance)
            elif instance.state is InstanceState.LIVE:
                live_entries.add(instance.name)
        self._live_entries = frozenset(live_entries)
        self._by_address = {target.address: target for target in self._targets.values()}
        for listener in self._listeners:
            listener()

    def _remove_unlisted(self, names: set[str]) -> None:
        now_s = asyncio.get_running_loop().time()
        for name in set(self._targets) - names:
            target = self._targets[name]
            if target.unlisted_s is None:
                target.unlisted_s = now_s
            if not _should_keep(target, now_s):
                del self._targets[name]
                self._removed_addresses.append(target.address)
                log_event(Event.INSTANCE_GONE, name=name)

    def _put_target(self, instance: Instance) -> None:
        target = self._targets.get(instance.name)
        if target is not None and target.address != instance.address:
            self._removed_addresses.append(target.address)
            target = None
        if target is None:
            self._targets[instance.name] = Target(instance=instance)
            log_event(Event.INSTANCE_SEEN, name=instance.name, address=instance.address)
            return
        target.update(instance)


def _should_keep(target: Target, now_s: float) -> bool:
    unlisted_s = target.unlisted_s
    if target.load is None or target.leaving or target.breaker.is_open or unlisted_s is None:
        return False
    has_recent_report = now_s - target.load_received_s <= MAX_REPORT_AGE_S
    return has_recent_report and now_s - unlisted_s <= MAX_UNLISTED_S
