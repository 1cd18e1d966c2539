"""Finds the targets that can take a request and picks one of them."""

import asyncio
import random
from collections.abc import Callable

from ..backing import InstanceKind
from ..config import ConfigStore, Deployment, PolicyWeights
from ..kernel import ErrorKind, fail
from ..membership import InstanceView, Target, eject_slow, usable_targets
from ._estimate import Size
from ._requests import WorkRequest
from ._routing import RouteQuery, RoutingPolicy, routing_registry

NO_TARGET_RETRY_S = 1.0

NoteMissing = Callable[[str, str], None]


class Dispatcher:
    """Picks targets by the policy of the deployment.

    Args:
        data_centre: Where this entry is.
        store: The configuration in force.
        view: The instances.
        seed: Seeds the choices of routing policies.

    Attributes:
        on_missing: Is told the deployment and the model or service that no known target has.
    """

    def __init__(
        self, *, data_centre: str, store: ConfigStore, view: InstanceView, seed: int
    ) -> None:
        self._data_centre = data_centre
        self._store = store
        self._view = view
        self._seed = seed
        self._random = random.Random(seed)
        self._policies: dict[str, RoutingPolicy] = {}
        self.on_missing: NoteMissing | None = None

    def weights(self, deployment: str) -> PolicyWeights:
        """Return how a deployment weighs its measures."""
        return self._settings(deployment).policy

    def candidates(
        self, request: WorkRequest, deployment: str, version: str, tried: frozenset[str]
    ) -> tuple[Target, ...]:
        """Return the targets that can take a request; never empty.

        Raises:
            FailureError: NO_TARGET, or TOO_LARGE if no engine nor gang can hold the request.
        """
        serving = [
            target
            for target in self._view.targets()
            if _serves(target, request, deployment, version)
        ]
        if not serving and self.on_missing is not None:
            self.on_missing(deployment, request.service or request.model)
        large_enough = self._large_enough(serving, size_of(request), deployment)
        untried = [target for target in large_enough if target.address not in tried]
        now_s = asyncio.get_running_loop().time()
        eject_slow(large_enough, now_s)
        usable = usable_targets(untried, now_s)
        if not usable:
            raise fail(
                ErrorKind.NO_TARGET,
                "no target can take the request now",
                retry_after_s=NO_TARGET_RETRY_S,
            )
        return usable

    def version(
        self,
        request: WorkRequest,
        deployment: str,
        configured: str,
        *,
        home: str = "",
        tried: frozenset[str] = frozenset(),
    ) -> str:
        """Return the version to run for a request that names none.

        While versions roll, each is taken in proportion to the targets that serve it, so that the
        first targets with a new version do not get everything.

        Args:
            request: The request.
            deployment: Its deployment.
            configured: The version in the configuration.
            home: The only address that the request may go to; empty for any.
            tried: Addresses to leave out.
        """
        served = [
            version
            for target in self._view.targets()
            if target.address not in tried and home in ("", target.address)
            for version in _served_versions(target, request, deployment)
        ]
        model = self._store.state.model(request.model)
        if tried and model is not None and model.version in served:
            # Where a version is going, the reports of others that have it may be out of date too.
            return model.version
        return self._random.choice(served) if served else configured

    def choose(
        self, request: WorkRequest, deployment: str, candidates: tuple[Target, ...]
    ) -> Target:
        """Return one of the candidates."""
        query = RouteQuery(
            workspace=request.workspace,
            prompt=request.prompt,
            size=size_of(request),
            data_centre=self._data_centre,
            weights=self.weights(deployment),
        )
        now_s = asyncio.get_running_loop().time()
        probed = next((t for t in candidates if t.breaker.is_probe_due(now_s)), None)
        target = probed or self._policy(deployment).choose(query, candidates)
        target.breaker.record_dispatch(now_s)
        return target

    def _large_enough(self, serving: list[Target], size: Size, deployment: str) -> list[Target]:
        fitting = [target for target in serving if _fits(target, size)]
        if fitting or not serving:
            return fitting
        gang = [t for t in serving if t.load is not None and t.load.supports_gang]
        together = sum(t.load.kv_capacity_tokens for t in gang if t.load is not None)
        if self._settings(deployment).allow_gangs and together >= size.kv_tokens:
            return gang
        raise fail(
            ErrorKind.TOO_LARGE,
            f"no engine nor gang of engines can hold {size.kv_tokens} tokens; shorten the prompt",
        )

    def _settings(self, deployment: str) -> Deployment:
        return self._store.state.deployment(deployment) or Deployment()

    def _policy(self, deployment: str) -> RoutingPolicy:
        name = self.weights(deployment).routing
        policy = self._policies.get(name)
        if policy is None:
            policy = routing_registry.create(name, seed=self._seed)
            self._policies[name] = policy
        return policy


def size_of(request: WorkRequest) -> Size:
    """Return the size of a request."""
    return Size(prompt_tokens=request.prompt_tokens, max_output_tokens=request.max_output_tokens)


def _fits(target: Target, size: Size) -> bool:
    if target.load is None or target.load.kv_capacity_tokens == 0:
        return True
    return size.kv_tokens <= target.load.kv_capacity_tokens


def _serves(target: Target, request: WorkRequest, deployment: str, version: str) -> bool:
    instance = target.instance
    if target.leaving or target.load is None or instance.deployment != deployment:
        return False
    if request.service:
        return instance.kind is InstanceKind.SERVICE and instance.service == request.service
    return version in _served_versions(target, request, deployment)


def _served_versions(target: Target, request: WorkRequest, deployment: str) -> list[str]:
    """Return the versions in which a target serves a request's model and adapter."""
    instance = target.instance
    if target.leaving or target.load is None or instance.deployment != deployment:
        return []
    if instance.kind is not InstanceKind.ENGINE:
        return []
    versions = []
    for served in target.load.loaded:
        model, _, rest = served.rpartition("@")
        version, _, adapter = rest.partition("+")
        if model == request.model and adapter == request.adapter:
            versions.append(version)
    return versions
