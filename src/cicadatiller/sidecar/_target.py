"""What a sidecar has for its target, whichever kind it is."""

from typing import Protocol

from ..backing import Instance
from ..config import ConfigStore
from ..targets import PlainService
from ._gang_member import GangMember
from ._load import ServiceLoadSource
from ._runner import Runner, ServiceRunner
from ._service import LoadSource


class SidecarTarget(Protocol):
    """The target of a sidecar and all that serves it alone."""

    @property
    def runner(self) -> Runner:
        """Return what runs requests."""

    @property
    def load(self) -> LoadSource:
        """Return what tells the target's load."""

    @property
    def gang_member(self) -> GangMember | None:
        """Return the holds of other sidecars' prompts; None if the target takes none."""

    def start(self) -> None:
        """Start what runs in the background."""

    async def take_list(self, instances: tuple[Instance, ...]) -> None:
        """Take the platform's list; an empty one, as in an outage, changes nothing."""

    async def close(self) -> None:
        """Stop at once."""


class ServiceTarget:
    """A plain service.

    Attributes:
        runner: Runs calls.
        load: Tells the load.
    """

    gang_member = None

    def __init__(self, *, service: PlainService, incarnation: str, store: ConfigStore) -> None:
        self._service = service
        self.runner = ServiceRunner(service=service, incarnation=incarnation)
        self.load = ServiceLoadSource(store=store)

    def start(self) -> None:
        """Do nothing: a plain service needs nothing in the background."""

    async def take_list(self, instances: tuple[Instance, ...]) -> None:
        """Do nothing: a plain service has no use for other targets."""

    async def close(self) -> None:
        """Close the connections to the service."""
        await self._service.close()
