"""The instances that an entry knows, from the platform's list and from what it sees itself."""

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

LIST_POLL_S = 1.0
ANSWERED_LATELY_S = 15.0
UNLISTED_LIMIT_S = 60.0
DROPPED_ADDRESSES = 1000


class InstanceView:
    """Follows the platform's list; an outage of the list changes nothing.

    A target that the list lacks stays for up to `UNLISTED_LIMIT_S` while it answers: the list lags
    and may lose rows that are back in its next version.
    """

    def __init__(self, *, instances: InstanceList) -> None:
        self._instances = instances
        self._targets: dict[str, Target] = {}
        self._by_address: dict[str, Target] = {}
        self._live_entries = 0
        self._dropped: deque[str] = deque(maxlen=DROPPED_ADDRESSES)
        self._listeners: list[Callable[[], None]] = []

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call a listener after each change of the list."""
        self._listeners.append(listener)

    def targets(self) -> tuple[Target, ...]:
        """Return all targets that are listed or answered lately."""
        return tuple(self._targets.values())

    def live_entries(self) -> int:
        """Return how many entries the list shows as live."""
        return self._live_entries

    def target_at(self, address: str) -> Target | None:
        """Return the target whose sidecar has an address."""
        return self._by_address.get(address)

    def was_dropped(self, address: str) -> bool:
        """Tell whether a target that had an address is gone, as far as is remembered."""
        return address in self._dropped

    async def run(self) -> None:
        """Poll the list until cancelled."""
        while True:
            await self.refresh()
            await asyncio.sleep(LIST_POLL_S)

    async def refresh(self) -> None:
        """Read the list once."""
        try:
            listed = await self._instances.list_instances()
        except PlatformUnavailableError:
            return
        self._take(listed)

    def _take(self, listed: tuple[Instance, ...]) -> None:
        self._drop_unlisted({instance.name for instance in listed})
        live_entries = 0
        for instance in listed:
            if instance.kind is not InstanceKind.ENTRY:
                self._put(instance)
            elif instance.state is InstanceState.LIVE:
                live_entries += 1
        self._live_entries = live_entries
        self._by_address = {target.address: target for target in self._targets.values()}
        for listener in self._listeners:
            listener()

    def _drop_unlisted(self, names: set[str]) -> None:
        now_s = asyncio.get_running_loop().time()
        for name in set(self._targets) - names:
            target = self._targets[name]
            if target.unlisted_s is None:
                target.unlisted_s = now_s
            if not _still_answers(target, now_s):
                del self._targets[name]
                self._dropped.append(target.address)
                log_event(Event.INSTANCE_GONE, name=name)

    def _put(self, instance: Instance) -> None:
        known = self._targets.get(instance.name)
        if known is None or known.address != instance.address:
            self._targets[instance.name] = Target(instance=instance)
            log_event(Event.INSTANCE_SEEN, name=instance.name, address=instance.address)
            return
        known.update(instance)


def _still_answers(target: Target, now_s: float) -> bool:
    unlisted_s = target.unlisted_s
    if target.load is None or target.leaving or target.breaker.is_open or unlisted_s is None:
        return False
    answered_lately = now_s - target.load_at_s <= ANSWERED_LATELY_S
    return answered_lately and now_s - unlisted_s <= UNLISTED_LIMIT_S
