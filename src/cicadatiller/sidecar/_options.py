"""The identity and limits of a sidecar."""

from dataclasses import dataclass

from ..peer import PeerTiming


@dataclass(frozen=True, kw_only=True)
class SidecarOptions:
    """The identity and limits of a sidecar.

    Attributes:
        name: The instance's name in the platform's list.
        address: The peer address, "host:port".
        deployment: The name of the target's deployment.
        peer_secret: The secret shared by entries and sidecars.
        replay_bytes: Bytes of finished responses that are kept for replay.
        orphan_grace_s: How long a repeatable request runs on after its last reader has left.
        linger_s: How long a shutdown waits for entries to learn of it and for late submissions.
        drain_timeout_s: How long a shutdown then waits for running requests.
        timing: The heartbeat interval and the timeouts of peer connections.
    """

    name: str
    address: str
    deployment: str
    peer_secret: str
    replay_bytes: int = 16 * 1024 * 1024
    orphan_grace_s: float = 5.0
    linger_s: float = 3.0
    drain_timeout_s: float = 900.0
    timing: PeerTiming = PeerTiming()
