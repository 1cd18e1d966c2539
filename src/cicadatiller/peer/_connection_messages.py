"""Messages of the handshake, heartbeats and the end of exchanges."""

from dataclasses import dataclass, field

from ..channels import message
from ._bodies import LoadReport
from ._exchanges import ExchangeMessage


@message("challenge")
@dataclass(frozen=True, kw_only=True)
class Challenge:
    """The first frame of a connection, from the accepting side."""

    nonce: bytes


@message("hello")
@dataclass(frozen=True, kw_only=True)
class Hello:
    """The dialling side's reply to the challenge.

    Attributes:
        name: The dialling process's name.
        proof: HMAC-SHA256 of the accepting side's nonce under the peer secret.
        nonce: A nonce for the proof of the accepting side.
        config_offset: The offset of the dialling side's current configuration.
        offers_config: Whether the accepting side may follow the dialling side's configuration.
        takes_evidence: Whether the dialling side takes `EvidenceRows`.
    """

    name: str
    proof: bytes
    nonce: bytes
    config_offset: int = 0
    offers_config: bool = False
    takes_evidence: bool = False


@message("welcome")
@dataclass(frozen=True, kw_only=True)
class Welcome:
    """The accepting side's reply to a hello with a valid proof.

    Attributes:
        name: The accepting process's name.
        proof: HMAC-SHA256 of the dialling side's nonce under the peer secret.
        incarnation: The id of this run of the accepting process.
        load: The load of the accepting side's target.
        takes_evidence: Whether the accepting side takes `EvidenceRows`.
    """

    name: str
    proof: bytes
    incarnation: str
    load: LoadReport = field(default_factory=LoadReport)
    takes_evidence: bool = False


@message("ping")
@dataclass(frozen=True, kw_only=True)
class Ping:
    """Requests a `Pong`; sent while exchanges are open, or to get a load report."""

    config_offset: int = 0


@message("pong")
@dataclass(frozen=True, kw_only=True)
class Pong:
    """The reply to a `Ping`."""

    load: LoadReport


@message("leave")
@dataclass(frozen=True, kw_only=True)
class Leave(ExchangeMessage):
    """Stops the replies to an exchange; its request continues to run. There is no reply."""
