"""A request on its way through an entry."""

from dataclasses import dataclass

from ..ingress import Request
from ..routes import Route, Workspace
from ._wire import RequestFields


@dataclass(frozen=True, kw_only=True, slots=True)
class Job:
    """A request that was let in.

    Attributes:
        request: What the caller sent.
        fields: What its headers say.
        route: Its route, by the configuration at its arrival.
        service: The service that runs it.
        workspace: Who sent it; None for anonymous requests.
        caller_limit_s: When the caller stops waiting, by the loop's time.
        limit_s: When it must have its answer: the caller's limit or the route's, if sooner.
    """

    request: Request
    fields: RequestFields
    route: Route
    service: str
    workspace: Workspace | None
    caller_limit_s: float
    limit_s: float

    @property
    def request_id(self) -> str:
        """Return the caller's id of the request."""
        return self.fields.request_id
