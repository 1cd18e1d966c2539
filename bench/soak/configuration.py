"""The versions of the configuration that a run publishes, and what each of them allows."""

from dataclasses import dataclass, replace

from tests.support.gateways import KEY, configuration, route

CONVERGE_S = 2.0
FIRST_VERSION = 3
SPARE_KEY = "key-of-spare"
SERVICES = ("pool", "annex")
MOVING_PATH = "/moving/x"
TOGGLED_PATH = "/toggled/x"
LONG_PATH = "/long/x"
# Engines can begin a long prompt within this latency, but not within that of the other streams.
LONG_ROUTE = {"name": "r-long", "path_prefix": "/long/", "target_latency_ms": 3000}
TIMEOUTS_MS = (6000, 3000)
# For how long targets are cold after an evacuation, and the requests a second that they then take.
COLD_START_S = 2.0
COLD_PER_S = 4.0
IDLE_LIMITS_MS = (8000, 4000)
# Callers use a connection again within this share of the idle limit.
IDLE_USE_SHARE = 0.8


@dataclass(frozen=True, kw_only=True)
class Version:
    """One version of the configuration.

    Attributes:
        number: Its number.
        written_s: When the store acknowledged it.
        moving_service: The service of the route that moves.
        has_toggled_route: Whether the route that comes and goes is there.
        has_spare_key: Whether the key that comes and goes is there.
        timeout_ms: The time limit of all routes.
        idle_limit_ms: The limit of idle connections.
    """

    number: int
    written_s: float
    moving_service: str = SERVICES[0]
    has_toggled_route: bool = True
    has_spare_key: bool = True
    timeout_ms: int = TIMEOUTS_MS[0]
    idle_limit_ms: int = IDLE_LIMITS_MS[0]

    def document(self, engine: dict) -> dict:
        """Return the document in the operator's format."""
        shared = {"timeout_ms": self.timeout_ms}
        routes = [
            route("safe", **shared),
            route("unsafe", max_attempts=2, **shared),
            route("stream", **shared),
            route("stream", gap_target_ms=1000, **LONG_ROUTE, **shared),
            self._plain_route("moving", service=self.moving_service, **shared),
        ]
        if self.has_toggled_route:
            routes.append(self._plain_route("toggled", **shared))
        document = configuration(self.number, routes=routes)
        document["services"] = [
            {"name": name, "health_path": "/health", "max_connections": 100} for name in SERVICES
        ] + [{"name": "engines", "max_connections": 100, "engine": engine}]
        for service in document["services"]:
            service |= {"cold_start_s": COLD_START_S, "cold_per_s": COLD_PER_S}
        document["limits"]["idle_timeout_ms"] = self.idle_limit_ms
        keys = [KEY, SPARE_KEY] if self.has_spare_key else [KEY]
        document["tenants"] = [{"name": "reef", "api_keys": keys}]
        return document

    def allows(self, path: str, key: str, service: str) -> bool:
        """Return whether a service may run a request with a path and key."""
        if key == SPARE_KEY and not self.has_spare_key:
            return False
        if path == MOVING_PATH:
            return service == self.moving_service
        if path == TOGGLED_PATH:
            return self.has_toggled_route and service == SERVICES[0]
        return True

    def accepts(self, path: str, key: str) -> bool:
        """Return whether a request with a path and key has a route."""
        return (key != SPARE_KEY or self.has_spare_key) and (
            path != TOGGLED_PATH or self.has_toggled_route
        )

    @staticmethod
    def _plain_route(name: str, **changes) -> dict:
        return route("safe", name=f"r-{name}", path_prefix=f"/{name}/", **changes)


class History:
    """All versions of a run, the oldest first."""

    def __init__(self, now_s: float) -> None:
        self.versions = [Version(number=FIRST_VERSION, written_s=now_s)]

    @property
    def newest(self) -> Version:
        """Return the version that was written last."""
        return self.versions[-1]

    def change(self, now_s: float, **changes) -> Version:
        """Add a version and return it."""
        number = self.newest.number + 2
        self.versions.append(replace(self.newest, number=number, written_s=now_s, **changes))
        return self.newest

    def in_force(self, begin_s: float, end_s: float, converge_s: float) -> list[Version]:
        """Return the versions that an entry may use for a request.

        Args:
            begin_s: When the request was sent.
            end_s: When it ended.
            converge_s: How long after its successor a version may still be used; infinity for an
                entry that was disturbed.
        """
        successors = [version.written_s for version in self.versions[1:]] + [float("inf")]
        return [
            version
            for version, replaced_s in zip(self.versions, successors, strict=True)
            if version.written_s <= end_s and replaced_s + converge_s >= begin_s
        ]

    def usable_idle_s(self, now_s: float) -> float:
        """Return how long callers leave a connection unused before they open another."""
        versions = self.in_force(now_s, now_s, CONVERGE_S)
        return IDLE_USE_SHARE * min(version.idle_limit_ms for version in versions) / 1000
