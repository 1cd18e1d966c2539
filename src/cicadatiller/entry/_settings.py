"""The settings file of an entry."""

from dataclasses import dataclass, field

from ..backing import instance_list_registry, log_registry
from ..channels import transport_registry
from ..kernel import above_zero, check_values, not_empty, not_negative
from ..peer import PeerTiming
from ..settings import EndpointSettings, HttpOptions, PeerTlsSettings, SecretSetting, registered


@dataclass(frozen=True, kw_only=True)
class EntrySettings:
    """The settings of an entry.

    Attributes:
        name: Name of the instance in the platform's list.
        data_centre: Data centre of the instance.
        http: Options of the RPC server for callers and operators.
        log: The platform's log.
        instances: The platform's list of instances.
        peer_secret: The secret shared by entries and sidecars.
        transport: The plug-in that carries frames between entries and sidecars.
        peer_tls: TLS options of connections to sidecars; no TLS if absent.
        timing: Timeouts after which a peer connection counts as lost.
        bootstrap_key_hash: Hash of a key that is valid while no operator is configured.
        seed: Seeds the random choices of versions and of routing policies.
        balancer_delay_s: On a shutdown, time for which the health endpoint fails before new calls
            are refused.
        drain_timeout_s: Maximum time that a shutdown waits for open calls.
        log_retention_s: Time for which the platform's log keeps a record.
        log_file: Path of the log file; stderr if empty.
    """

    name: str
    data_centre: str
    http: HttpOptions
    log: EndpointSettings
    instances: EndpointSettings
    peer_secret: SecretSetting
    transport: str = "websocket"
    peer_tls: PeerTlsSettings | None = None
    timing: PeerTiming = field(default_factory=PeerTiming)
    bootstrap_key_hash: str = ""
    seed: int = 0
    balancer_delay_s: float = 5.0
    drain_timeout_s: float = 900.0
    log_retention_s: float = 24 * 3600.0
    log_file: str = ""

    def __post_init__(self) -> None:
        check_values(
            name=not_empty(self.name),
            transport=registered(self.transport, transport_registry),
            data_centre=not_empty(self.data_centre),
            log=self.log.plugin_problem(log_registry),
            instances=self.instances.plugin_problem(instance_list_registry),
            balancer_delay_s=not_negative(self.balancer_delay_s),
            drain_timeout_s=not_negative(self.drain_timeout_s),
            log_retention_s=above_zero(self.log_retention_s),
        )
