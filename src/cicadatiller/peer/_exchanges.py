"""Base classes of the messages that belong to an exchange."""

from dataclasses import dataclass, field

from ._bodies import LoadReport


@dataclass(frozen=True, kw_only=True)
class ExchangeMessage:
    """A message of one exchange.

    Attributes:
        call: The number of the exchange on this connection.
    """

    call: int


@dataclass(frozen=True, kw_only=True)
class ReplyWithLoad(ExchangeMessage):
    """A reply that also reports the sender's load.

    Attributes:
        load: The load of the sender's target.
    """

    load: LoadReport = field(default_factory=LoadReport)


@dataclass(frozen=True, kw_only=True)
class RequestOrder(ExchangeMessage):
    """A message about a request that the sidecar's ledger may have.

    Attributes:
        request_id: The request.
        workspace: The workspace that the request belongs to.
    """

    request_id: str
    workspace: str
