"""One version of the configuration, indexed for lookups."""

import hashlib
from collections import defaultdict
from collections.abc import Iterable, Mapping

from ..ingress import IngressLimits
from ._types import Route, Service, Workspace

# The routes of each host, the longest path prefix first.
_ByHost = dict[str, tuple[Route, ...]]


def hash_key(key: bytes) -> bytes:
    """Return the SHA-256 digest of a workspace's key, which is stored in place of the key."""
    return hashlib.sha256(key).digest()


class RouteTable:
    """One immutable version of the configuration.

    Args:
        version: The version number; it grows with each version.
        routes: All routes.
        services: All services.
        workspaces: The workspaces by `hash_key` of each of their keys.
        needs_keys: Whether requests must carry a key.
        limits: The size and time limits on requests; None for the defaults.

    Attributes:
        version: The version number.
        services: The services by name.
        needs_keys: Whether requests must carry a key, except on routes with `allow_anonymous`.
        limits: The size and time limits on requests.
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
        """Return the route whose prefix is the longest match for a path; None without a match.

        Args:
            host: The host, in lower case and without a port.
            path: The path without the query.
        """
        for route in self._by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_workspace(self, key: bytes) -> Workspace | None:
        """Return the workspace that a key belongs to, or None."""
        return self._workspaces.get(hash_key(key))


def _group_by_host(routes: Iterable[Route]) -> _ByHost:
    grouped: dict[str, list[Route]] = defaultdict(list)
    for route in routes:
        grouped[route.host].append(route)
    return {
        host: tuple(sorted(group, key=lambda route: len(route.path_prefix), reverse=True))
        for host, group in grouped.items()
    }
