"""Messages with which a sidecar uses other sidecars' engines to prefill one long prompt."""

from dataclasses import dataclass, field

from ..channels import message
from ._bodies import LoadReport
from ._request_messages import GenerateWork


@message("reserve")
@dataclass(frozen=True, kw_only=True)
class Reserve:
    """Reserves or renews a hold of KV memory for a gang; the reply is `Reserved` or `Failed`.

    Attributes:
        call: The number of the exchange on this connection.
        hold_id: The id of the hold, chosen by the coordinator.
        kv_tokens: The size of the hold in tokens of KV memory.
        ttl_s: The hold expires after this time unless another `Reserve` renews it.
    """

    call: int
    hold_id: str
    kv_tokens: int
    ttl_s: float


@message("reserved")
@dataclass(frozen=True, kw_only=True)
class Reserved:
    """Confirms that the memory is held.

    Attributes:
        call: The number of the exchange on this connection.
        engine_address: The address where other engines fetch exports of the sender's engine.
        load: The load of the sender's target.
    """

    call: int
    engine_address: str
    load: LoadReport = field(default_factory=LoadReport)


@dataclass(frozen=True, kw_only=True)
class SegmentRef:
    """A part of a prompt's KV that an engine holds as an export.

    Attributes:
        engine_address: The address of the engine that holds the export.
        export_id: The id of the export at that engine.
        first_token: The index of the segment's first token in the prompt.
        token_count: The length of the segment in tokens.
    """

    engine_address: str
    export_id: str
    first_token: int
    token_count: int


@message("prefill")
@dataclass(frozen=True, kw_only=True)
class Prefill:
    """Prefills one segment and keeps it as an export; the reply is `Prefilled`.

    Attributes:
        call: The number of the exchange on this connection.
        hold_id: The hold whose memory is used.
        work: The generation with the whole prompt.
        segment: The segment to prefill; its `engine_address` is the receiver's engine.
        before: The preceding segments, in order.
        budget_s: The remaining time.
    """

    call: int
    hold_id: str
    work: GenerateWork
    segment: SegmentRef
    before: tuple[SegmentRef, ...]
    budget_s: float


@message("prefilled")
@dataclass(frozen=True, kw_only=True)
class Prefilled:
    """Confirms that the segment is in the engine's memory.

    Attributes:
        call: The number of the exchange on this connection.
        load: The load of the sender's target.
    """

    call: int
    load: LoadReport = field(default_factory=LoadReport)


@message("release")
@dataclass(frozen=True, kw_only=True)
class Release:
    """Releases a hold with its memory and exports; the reply is `Released`. Idempotent.

    Attributes:
        call: The number of the exchange on this connection.
        hold_id: The hold, as in `Reserve`.
    """

    call: int
    hold_id: str


@message("released")
@dataclass(frozen=True, kw_only=True)
class Released:
    """Confirms that the hold is released.

    Attributes:
        call: The number of the exchange on this connection.
        load: The load of the sender's target.
    """

    call: int
    load: LoadReport = field(default_factory=LoadReport)
