"""The settings of a sidecar."""

import enum
from dataclasses import dataclass, field

from ..backing import instance_list_registry, log_registry, weight_store_registry
from ..channels import transport_registry
from ..kernel import above_zero, check_values, host_and_port, not_empty, not_negative
from ..peer import PeerTiming
from ..settings import EndpointSettings, PeerTlsSettings, SecretSetting, registered
from ..targets import engine_registry, service_registry


class TargetKind(enum.Enum):
    """The kind of a sidecar's target."""

    ENGINE = "engine"
    SERVICE = "service"


@dataclass(frozen=True, kw_only=True)
class TargetSettings:
    """The target of a sidecar.

    Attributes:
        kind: "engine" or "service".
        endpoint: The plug-in that connects to the target, with its options.
    """

    kind: TargetKind
    endpoint: EndpointSettings

    def __post_init__(self) -> None:
        registry = engine_registry if self.kind is TargetKind.ENGINE else service_registry
        check_values(endpoint=self.endpoint.plugin_problem(registry))


@dataclass(frozen=True, kw_only=True)
class SidecarSettings:
    """The contents of a sidecar's settings file.

    Attributes:
        name: The instance's name in the platform's list.
        address: The peer address, "host:port".
        deployment: The name of the target's deployment.
        target: The target.
        log: The platform's log.
        instances: The platform's list of instances.
        weights: The platform's weight store.
        peer_secret: The secret shared by entries and sidecars.
        transport: The plug-in that carries frames between entries and sidecars.
        peer_tls: TLS settings for entries and other sidecars; None disables TLS.
        timing: The heartbeat interval and the timeouts of peer connections.
        replay_bytes: Bytes of finished responses that are kept for replay.
        orphan_grace_s: How long a repeatable request runs on after its last reader has left.
        linger_s: How long a shutdown waits for entries to learn of it and for late submissions.
        drain_timeout_s: How long a shutdown then waits for running requests.
        log_file: Where log lines go; stderr if empty.
    """

    name: str
    address: str
    deployment: str
    target: TargetSettings
    log: EndpointSettings
    instances: EndpointSettings
    weights: EndpointSettings
    peer_secret: SecretSetting
    transport: str = "websocket"
    peer_tls: PeerTlsSettings | None = None
    timing: PeerTiming = field(default_factory=PeerTiming)
    replay_bytes: int = 16 * 1024 * 1024
    orphan_grace_s: float = 5.0
    linger_s: float = 3.0
    drain_timeout_s: float = 900.0
    log_file: str = ""

    def __post_init__(self) -> None:
        check_values(
            name=not_empty(self.name),
            transport=registered(self.transport, transport_registry),
            address=host_and_port(self.address),
            deployment=not_empty(self.deployment),
            log=self.log.plugin_problem(log_registry),
            instances=self.instances.plugin_problem(instance_list_registry),
            weights=self.weights.plugin_problem(weight_store_registry),
            replay_bytes=above_zero(self.replay_bytes),
            orphan_grace_s=not_negative(self.orphan_grace_s),
            linger_s=not_negative(self.linger_s),
            drain_timeout_s=not_negative(self.drain_timeout_s),
        )
