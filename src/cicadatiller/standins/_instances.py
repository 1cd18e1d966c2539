"""A stand-in for the platform's list of instances, which lags behind."""

import asyncio
from dataclasses import replace

from ..backing import Instance, InstanceState, PlatformUnavailableError


class InstanceListStandin:
    """An instance list whose changes become visible after a lag.

    Attributes:
        lag_s: The delay after which a change is visible.
        down: Whether every call fails.
    """

    def __init__(self, *, lag_s: float = 0.0) -> None:
        self.lag_s = lag_s
        self.down = False
        self._instances: dict[str, Instance] = {}
        self._visible: dict[str, Instance] = {}

    def put(self, instance: Instance) -> None:
        """Add or change an instance."""
        self._instances[instance.name] = instance
        self._publish_later()

    def remove(self, name: str) -> None:
        """Remove an instance."""
        self._instances.pop(name, None)
        self._publish_later()

    def mark_leaving(self, name: str) -> None:
        """Set the state of an instance to leaving."""
        self.put(replace(self._instances[name], state=InstanceState.LEAVING))

    async def list_instances(self) -> tuple[Instance, ...]:
        """Return the list without the changes of the last `lag_s`."""
        if self.down:
            raise PlatformUnavailableError("the instance list is down")
        return tuple(self._visible.values())

    async def close(self) -> None:
        """Do nothing; there are no connections to close."""

    def _publish_later(self) -> None:
        snapshot = dict(self._instances)
        if self.lag_s <= 0:
            self._visible = snapshot
            return
        asyncio.get_running_loop().call_later(self.lag_s, self._publish, snapshot)

    def _publish(self, snapshot: dict[str, Instance]) -> None:
        self._visible = snapshot
