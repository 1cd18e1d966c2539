"""Finds the targets that can serve a request and chooses one of them."""

import asyncio
import random
from collections.abc import Callable

from ..backing import InstanceKind
from ..config import ConfigStore, Deployment, PolicyWeights
from ..kernel import ErrorKind, fail
from ..membership import InstanceView, Target, eject_slow, usable_targets
from ._capacity import can_hold_later, gang_capacity_tokens, is_capacity_unknown
from ._estimate import RequestSize
from ._requests import WorkRequest
from ._routing import RouteQuery, RoutingPolicy, routing_registry

NO_TARGET_RETRY_S = 1.0

MissingTargetCallback = Callable[[str, str], None]


class Dispatcher:
    """Chooses targets by the routing policy of the deployment.

    Args:
        data_centre: Data centre of this entry.
        store: The current configuration.
        view: The instances that this entry knows.
        seed: Seeds the random choices of versions and of routing policies.

    Attributes:
        on_missing: Called with the deployment and the model or service if no connected target
            serves it.
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
        self.on_missing: MissingTargetCallback | None = None

    def weights(self, deployment: str) -> PolicyWeights:
        """Return the policy weights of a deployment."""
        return self._settings(deployment).policy

    def candidates(
        self, request: WorkRequest, deployment: str, version: str, tried: frozenset[str]
    ) -> tuple[Target, ...]:
        """Return the targets that can serve a request, without those tried; never empty.

        Raises:
            FailureError: NO_TARGET, or TOO_LARGE if no engine and no gang can hold the request.
        """
        serving = [
            target for target in self._targets() if _serves(target, request, deployment, version)
        ]
        if not serving and self.on_missing is not None:
            self.on_missing(deployment, request.service or request.model)
        large_enough = self._large_enough(serving, request, deployment, version)
        untried = [target for target in large_enough if target.address not in tried]
        now_s = asyncio.get_running_loop().time()
        eject_slow(large_enough, now_s)
        usable = usable_targets(untried, now_s)
        if not usable:
            raise fail(
                ErrorKind.NO_TARGET,
                f"no usable target serves {request.service or request.model!r} now; "
                "try again later",
                retry_after_s=NO_TARGET_RETRY_S,
            )
        return usable

    def version(
        self,
        request: WorkRequest,
        deployment: str,
        configured: str,
        *,
        only_address: str = "",
        tried: frozenset[str] = frozenset(),
    ) -> str:
        """Choose the version to run for a request that names none.

        During a rollout, each version is chosen with a probability in proportion to the targets
        that serve it, so that the first targets with a new version do not get all requests.

        Args:
            request: The request.
            deployment: Its deployment.
            configured: The version in the configuration.
            only_address: The only address that the request may be sent to; empty for any.
            tried: Addresses to leave out.
        """
        served = [
            version
            for target in self._targets()
            if target.address not in tried and only_address in ("", target.address)
            for version in _served_versions(target, request, deployment)
        ]
        model = self._store.state.model(request.model)
        if tried and model is not None and model.version in served:
            # While a version is being removed, the reports of other targets that still list it may
            # be out of date too.
            return model.version
        return self._random.choice(served) if served else configured

    def choose(
        self, request: WorkRequest, deployment: str, candidates: tuple[Target, ...]
    ) -> Target:
        """Return a candidate whose breaker is due for a probe, else the routing policy's choice."""
        query = RouteQuery(
            workspace=request.workspace,
            prompt=request.prompt,
            size=size_of(request),
            data_centre=self._data_centre,
            weights=self.weights(deployment),
        )
        now_s = asyncio.get_running_loop().time()
        probe_target = next((t for t in candidates if t.breaker.is_probe_due(now_s)), None)
        target = probe_target or self._policy(deployment).choose(query, candidates)
        target.breaker.record_dispatch(now_s)
        return target

    def _targets(self) -> list[Target]:
        """Return the targets outside of the evacuated data centres."""
        evacuated = self._store.state.evacuated
        return [t for t in self._view.targets() if t.instance.data_centre not in evacuated]

    def _large_enough(
        self, serving: list[Target], request: WorkRequest, deployment: str, version: str
    ) -> list[Target]:
        """Return the targets that can hold a request, alone or as members of a gang.

        It is too large only if all engines that may come to serve it can't hold it together. What
        this entry lacks for a moment, such as the report of an engine, is no reason to refuse it
        for good.
        """
        size = size_of(request)
        fitting = [target for target in serving if _fits(target, size)]
        if fitting or not serving:
            return fitting
        allow_gangs = self._settings(deployment).allow_gangs
        if allow_gangs and gang_capacity_tokens(serving) >= size.kv_tokens:
            return [t for t in serving if t.load is not None and t.load.supports_gang]
        pending = self._pending_engines(serving, request, deployment, version)
        if can_hold_later(size, serving, pending, allow_gangs=allow_gangs):
            raise fail(
                ErrorKind.NO_TARGET,
                f"the engines that serve {request.model!r} now can't hold {size.kv_tokens} tokens, "
                f"and {len(pending)} more may serve it soon; try again later",
                retry_after_s=NO_TARGET_RETRY_S,
            )
        raise fail(
            ErrorKind.TOO_LARGE,
            f"no engine and no gang of engines can hold {size.kv_tokens} tokens; "
            "shorten the prompt",
        )

    def _pending_engines(
        self, serving: list[Target], request: WorkRequest, deployment: str, version: str
    ) -> list[Target]:
        """Return the engines that may serve a request soon: unknown ones, and ones without its model.

        Engines without the model load it only if it is configured in this version, and no more of
        them than it may have replicas.
        """
        others = [
            target
            for target in self._view.targets()
            if target not in serving
            and not target.leaving
            and target.instance.deployment == deployment
            and target.instance.kind is InstanceKind.ENGINE
        ]
        model = self._store.state.model(request.model)
        if model is None or model.version != version:
            others = [target for target in others if is_capacity_unknown(target)]
        if model is not None and model.replicas:
            others = others[: max(0, model.replicas - len(serving))]
        return others

    def _settings(self, deployment: str) -> Deployment:
        return self._store.state.deployment(deployment) or Deployment()

    def _policy(self, deployment: str) -> RoutingPolicy:
        name = self.weights(deployment).routing
        policy = self._policies.get(name)
        if policy is None:
            policy = routing_registry.create(name, seed=self._seed)
            self._policies[name] = policy
        return policy


def size_of(request: WorkRequest) -> RequestSize:
    """Return the size of a request."""
    return RequestSize(
        prompt_tokens=request.prompt_tokens, max_output_tokens=request.max_output_tokens
    )


def _fits(target: Target, size: RequestSize) -> bool:
    if target.load is None or is_capacity_unknown(target):
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
