"""One version of the configuration, made for lookups."""

import hashlib
from collections import defaultdict
from collections.abc import Iterable, Mapping

from ..ingress import IngressLimits
from ._types import Route, Service, Workspace

# The host, then the routes with the longest prefix first.
_ByHost = dict[str, tuple[Route, ...]]


def hash_key(key: bytes) -> bytes:
    """Return what is kept of a workspace's key."""
    return hashlib.sha256(key).digest()


class RouteTable:
    """A version of the configuration. It never changes.

    Args:
        version: The version; later ones are larger.
        routes: All routes.
        services: All services.
        workspaces: The workspaces by the hash of each of their keys.
        needs_keys: Whether requests must carry a key.
        limits: What callers may send.

    Attributes:
        version: The version.
        services: The services by name.
        needs_keys: Whether requests must carry a key.
        limits: What callers may send.
    """

    def __init__(
        self,
        *,
        version: int,
        routes: Iterable[Route] = (),
        services: Iterable[Service] = (),
        workspaces: Mapping[bytes, Workspace] | None = None,
        needs_keys: bool = False,
        limits: IngressLimits | None = None,
    ) -> None:
        self.version = version
        self.services = {service.name: service for service in services}
        self.needs_keys = needs_keys
        self.limits = limits or IngressLimits()
        self._workspaces = dict(workspaces or {})
        self._by_host = _group_by_host(routes)

    @property
    def routes(self) -> tuple[Route, ...]:
        """Return all routes."""
        return tuple(route for routes in self._by_host.values() for route in routes)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path.

        Args:
            host: The host, in lower case and without a port.
            path: The path without the query.
        """
        for route in self._by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_workspace(self, key: bytes) -> Workspace | None:
        """Return the workspace that holds a key."""
        return self._workspaces.get(hash_key(key))


def _group_by_host(routes: Iterable[Route]) -> _ByHost:
    grouped: dict[str, list[Route]] = defaultdict(list)
    for route in routes:
        grouped[route.host].append(route)
    return {
        host: tuple(sorted(group, key=lambda route: len(route.path_prefix), reverse=True))
        for host, group in grouped.items()
    }
