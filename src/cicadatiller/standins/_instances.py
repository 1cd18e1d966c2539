"""A stand-in for the platform's lagging list of instances."""

import asyncio
from dataclasses import replace

from ..backing import Instance, InstanceState, PlatformUnavailableError


class InstanceListStandin:
    """A list that shows changes only after a lag.

    Attributes:
        lag_s: How long a change stays unseen.
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
        """Say that an instance is leaving."""
        self.put(replace(self._instances[name], state=InstanceState.LEAVING))

    async def list_instances(self) -> tuple[Instance, ...]:
        """Return the list as it was a while ago."""
        if self.down:
            raise PlatformUnavailableError("the instance list is down")
        return tuple(self._visible.values())

    async def close(self) -> None:
        """Do nothing."""

    def _publish_later(self) -> None:
        snapshot = dict(self._instances)
        if self.lag_s <= 0:
            self._visible = snapshot
            return
        asyncio.get_running_loop().call_later(self.lag_s, self._publish, snapshot)

    def _publish(self, snapshot: dict[str, Instance]) -> None:
        self._visible = snapshot
