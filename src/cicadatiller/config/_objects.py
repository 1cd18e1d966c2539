"""The objects of the configuration, which operators create and change."""

import dataclasses
import hashlib
import hmac
import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import cattrs
from returns.result import Failure as Err
from returns.result import Result, Success

from ..kernel import DocumentError, load_json
from ..settings import parse_settings

MAX_TIME_LIMIT_S = 3600.0


def hash_key(key: str) -> str:
    """Return the hash that is stored in place of a key: SHA-256, as 64 hex digits."""
    return hashlib.sha256(key.encode()).hexdigest()


def _require(condition: bool, message: str) -> None:
    if not condition:
        raise ValueError(message)


@dataclass(frozen=True, kw_only=True, slots=True)
class PolicyWeights:
    """Policies and limits by which a deployment's requests are scheduled.

    Attributes:
        routing: The name of a routing policy.
        queue: The name of a queue policy.
        short_prompt_tokens: Prompts up to this length count as short.
        long_prompt_tokens: Prompts above this length count as long.
        long_share: The minimum share of prefill for long prompts while any is queued.
        long_in_flight_tokens: The maximum number of prompt tokens of long prompts in prefill on
            an engine at a time.
        prefill_in_flight_tokens: The same limit for short prompts and, separately, for medium ones;
            further requests stay in the sidecar's queue, where their order can still change.
        prefill_chunk_tokens: The maximum number of prefilled tokens between two decode steps.
        long_chunk_tokens: The part of `prefill_chunk_tokens` that long prompts may use.
        ageing_s: A request that has been queued for this time is treated as one length class
            shorter.
    """

    routing: str = "affinity"
    queue: str = "classes"
    short_prompt_tokens: int = 4_000
    long_prompt_tokens: int = 32_000
    long_share: float = 0.3
    long_in_flight_tokens: int = 300_000
    prefill_in_flight_tokens: int = 16_384
    prefill_chunk_tokens: int = 2048
    long_chunk_tokens: int = 1024
    ageing_s: float = 5.0

    def __post_init__(self) -> None:
        _require(self.short_prompt_tokens > 0, "short_prompt_tokens must be above zero")
        _require(
            self.short_prompt_tokens <= self.long_prompt_tokens,
            "long_prompt_tokens must not be below short_prompt_tokens",
        )
        _require(0 <= self.long_share < 1, "long_share must be at least 0 and below 1")
        _require(self.long_in_flight_tokens > 0, "long_in_flight_tokens must be above zero")
        _require(self.prefill_in_flight_tokens > 0, "prefill_in_flight_tokens must be above zero")
        _require(self.prefill_chunk_tokens >= 0, "prefill_chunk_tokens must not be negative")
        _require(self.long_chunk_tokens >= 0, "long_chunk_tokens must not be negative")
        _require(self.ageing_s > 0, "ageing_s must be above zero")


@dataclass(frozen=True, kw_only=True, slots=True)
class Deployment:
    """A set of targets, with the models, services and workspaces that use them."""

    policy: PolicyWeights = field(default_factory=PolicyWeights)
    allow_gangs: bool = True


@dataclass(frozen=True, kw_only=True, slots=True)
class Model:
    """A model of a deployment.

    Attributes:
        deployment: The name of the deployment.
        version: The version to serve.
        adapters: The names of the adapters to serve with the model.
        context_tokens: The maximum length of a prompt and its output together.
        replicas: The number of engines that should serve the model; zero for all.
        min_available: The number of engines that must be able to serve the model during a rollout.
    """

    deployment: str
    version: str
    adapters: tuple[str, ...] = ()
    context_tokens: int = 1_000_000
    replicas: int = 0
    min_available: int = 1

    def __post_init__(self) -> None:
        _require(bool(self.deployment), "deployment must be named")
        _require(bool(self.version), "version must be named")
        _require(self.context_tokens > 0, "context_tokens must be above zero")
        _require(self.replicas >= 0, "replicas must not be negative")
        _require(self.min_available >= 0, "min_available must not be negative")


@dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A plain service of a deployment."""

    deployment: str

    def __post_init__(self) -> None:
        _require(bool(self.deployment), "deployment must be named")


@dataclass(frozen=True, kw_only=True, slots=True)
class Workspace:
    """A customer's share of a deployment.

    Attributes:
        deployment: The name of the deployment.
        key_hashes: The hashes of the workspace's keys, as `cicadatiller keys new` prints them.
        weight: The weight of the workspace in fair sharing.
        requests_per_s: The maximum sustained rate of requests.
        prompt_tokens_per_s: The maximum sustained rate of prompt tokens.
        concurrent_requests: The maximum number of open requests.
        max_time_limit_s: The maximum time limit that a request may set.
    """

    deployment: str
    key_hashes: tuple[str, ...] = ()
    weight: float = 1.0
    requests_per_s: float = 100.0
    prompt_tokens_per_s: float = 2_000_000.0
    concurrent_requests: int = 1000
    max_time_limit_s: float = 900.0

    def __post_init__(self) -> None:
        _require(bool(self.deployment), "deployment must be named")
        _require(self.weight > 0, "weight must be above zero")
        _require(self.requests_per_s > 0, "requests_per_s must be above zero")
        _require(self.prompt_tokens_per_s > 0, "prompt_tokens_per_s must be above zero")
        _require(self.concurrent_requests > 0, "concurrent_requests must be above zero")
        _require(
            0 < self.max_time_limit_s <= MAX_TIME_LIMIT_S,
            f"max_time_limit_s must be above zero and at most {MAX_TIME_LIMIT_S:g}",
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class Operator:
    """A person or program that may change the configuration.

    Attributes:
        key_hash: The hash of the operator's key.
        deployments: The deployments that the operator may change; if empty, all of them and also
            operators.
    """

    key_hash: str
    deployments: tuple[str, ...] = ()

    def __post_init__(self) -> None:
        _require(len(self.key_hash) == 64, "key_hash must be 64 hex digits")

    def matches(self, key: str) -> bool:
        """Return whether a key is the operator's; compares in constant time."""
        return hmac.compare_digest(self.key_hash, hash_key(key))


@dataclass(frozen=True, kw_only=True, slots=True)
class Evacuation:
    """The evacuation of the data centre that has the object's name.

    Its targets get no new work, whatever their deployment, until the object is removed.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class OpaqueObject:
    """An object of a kind that only newer versions of the program know.

    Attributes:
        deployment: The deployment that the object references; None if it references none.
    """

    deployment: str | None = None


ConfigValue = Deployment | Model | Service | Workspace | Operator | Evacuation | OpaqueObject

OBJECT_TYPES: dict[str, type[ConfigValue]] = {
    "deployment": Deployment,
    "model": Model,
    "service": Service,
    "workspace": Workspace,
    "operator": Operator,
    "evacuation": Evacuation,
}


def parse_object(kind: str, body_json: str) -> Result[ConfigValue, str]:
    """Parse the JSON body of an object from an operator; unknown fields are errors.

    Returns:
        The object, or a description of the errors.
    """
    object_type = OBJECT_TYPES.get(kind)
    if object_type is None:
        return Err(f"unknown kind {kind!r}; use one of: {', '.join(OBJECT_TYPES)}")
    return _load_body(body_json).bind(lambda data: parse_settings(data, object_type).alt("; ".join))


def parse_stored_object(kind: str, body_json: str) -> Result[ConfigValue, str]:
    """Parse the JSON body of an object from the log; unknown kinds and fields are ignored."""
    object_type = OBJECT_TYPES.get(kind)
    if object_type is None:
        return _load_body(body_json).map(_to_opaque)
    return _load_body(body_json).bind(
        lambda data: parse_settings(_known_fields(data, object_type), object_type).alt("; ".join)
    )


def normalize_body(body_json: str) -> str:
    """Return a body with sorted keys; fields that only newer versions know are kept."""
    return json.dumps(load_json(body_json), sort_keys=True)


def format_object(value: ConfigValue) -> str:
    """Return the JSON body of an object, with sorted keys and all fields."""
    data: Any = cattrs.unstructure(value)
    return json.dumps(data, sort_keys=True)


def _load_body(body_json: str) -> Result[Mapping[str, Any], str]:
    try:
        data = load_json(body_json)
    except DocumentError as error:
        return Err(f"the body is not valid JSON: {error}")
    if not isinstance(data, dict):
        return Err("the body must be a JSON object")
    return Success(data)


def _known_fields(data: Mapping[str, Any], object_type: type[Any]) -> dict[str, Any]:
    known = {}
    for item in dataclasses.fields(object_type):
        if item.name not in data:
            continue
        value = data[item.name]
        if item.type is PolicyWeights and isinstance(value, dict):
            value = _known_fields(value, PolicyWeights)
        known[item.name] = value
    return known


def _to_opaque(data: Mapping[str, Any]) -> ConfigValue:
    deployment = data.get("deployment")
    return OpaqueObject(deployment=deployment if isinstance(deployment, str) else None)
