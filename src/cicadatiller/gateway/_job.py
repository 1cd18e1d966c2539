"""An admitted request with its route and deadline."""

from dataclasses import dataclass

from ..ingress import Request
from ..routes import Route, Workspace
from ._wire import RequestFields


@dataclass(frozen=True, kw_only=True, slots=True)
class Job:
    """An admitted request.

    Attributes:
        request: The request as the caller sent it.
        fields: The decoded request headers.
        route: Its route in the configuration at its arrival.
        service: Name of the service that runs it.
        workspace: The workspace of the caller; None for anonymous requests.
        fingerprints: What the request has in common with others, the most common first; the last
            one it shares with its copies only.
        caller_deadline_s: Loop time at which the caller stops waiting.
        deadline_s: Loop time at which the response is due: the earlier of the caller's and the
            route's deadline.
    """

    request: Request
    fields: RequestFields
    route: Route
    service: str
    workspace: Workspace | None
    fingerprints: tuple[str, ...]
    caller_deadline_s: float
    deadline_s: float

    @property
    def request_id(self) -> str:
        """Return the request id that the caller chose."""
        return self.fields.request_id

    @property
    def identity(self) -> str:
        """Return what tells the request from others, also from other turns of its session."""
        return self.fingerprints[-1]
