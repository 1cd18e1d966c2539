"""The interface to the target of a sidecar, and its implementation for plain services."""

from typing import Protocol

from ..backing import Instance
from ..config import ConfigStore
from ..kernel import TaskSet
from ..targets import PlainService
from ._gang_member import GangMember
from ._load import ServiceLoadSource
from ._runner import Runner, ServiceRunner
from ._service import LoadSource
from ._service_runs import ServiceRuns


class SidecarTarget(Protocol):
    """The target of a sidecar and the components that depend on its kind."""

    @property
    def runner(self) -> Runner:
        """Return the runner of the target's requests."""

    @property
    def load(self) -> LoadSource:
        """Return the source of the target's load reports."""

    @property
    def gang_member(self) -> GangMember | None:
        """Return the holds of gangs on the target; None if the target can't join gangs."""

    def start(self) -> None:
        """Start the background tasks."""

    async def update_instances(self, instances: tuple[Instance, ...]) -> None:
        """Apply the platform's list of instances; an empty one, as in an outage, is ignored."""

    async def close(self) -> None:
        """Stop without waiting for running requests."""


class ServiceTarget:
    """A plain service as the target of a sidecar.

    Attributes:
        runner: Runs calls to the service.
        load: Reports the load of the service.
    """

    gang_member = None

    def __init__(self, *, service: PlainService, incarnation: str, store: ConfigStore) -> None:
        self._service = service
        self._tasks = TaskSet()
        self._runs = ServiceRuns(service=service)
        self.runner = ServiceRunner(service=service, runs=self._runs, incarnation=incarnation)
        self.load = ServiceLoadSource(store=store, runs=self._runs)

    def start(self) -> None:
        """Start the background tasks."""
        self._tasks.keep_running(self._runs.run, name="run of the service")

    async def update_instances(self, instances: tuple[Instance, ...]) -> None:
        """Do nothing: a plain service does not use other targets."""

    async def close(self) -> None:
        """Stop the tasks and close the connections to the service."""
        await self._tasks.close()
        await self._runs.close()
        await self._service.close()
