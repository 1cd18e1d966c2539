"""Messages with which a sidecar uses other sidecars' engines to prefill one long prompt."""

from dataclasses import dataclass

from ..channels import message
from ._exchanges import ExchangeMessage, ReplyWithLoad
from ._request_messages import GenerateWork


@message("reserve")
@dataclass(frozen=True, kw_only=True)
class Reserve(ExchangeMessage):
    """Reserves or renews a hold of KV memory for a gang; the reply is `Reserved` or `Failed`.

    Attributes:
        hold_id: The id of the hold, chosen by the coordinator.
        kv_tokens: The size of the hold in tokens of KV memory.
        ttl_s: The hold expires after this time unless another `Reserve` renews it.
    """

    hold_id: str
    kv_tokens: int
    ttl_s: float


@message("reserved")
@dataclass(frozen=True, kw_only=True)
class Reserved(ReplyWithLoad):
    """Confirms that the memory is held.

    Attributes:
        engine_address: The address where other engines fetch exports of the sender's engine.
    """

    engine_address: str


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
class Prefill(ExchangeMessage):
    """Prefills one segment and keeps it as an export; the reply is `Prefilled`.

    Attributes:
        hold_id: The hold whose memory is used.
        work: The generation with the whole prompt.
        segment: The segment to prefill; its `engine_address` is the receiver's engine.
        before: The preceding segments, in order.
        budget_s: The remaining time.
    """

    hold_id: str
    work: GenerateWork
    segment: SegmentRef
    before: tuple[SegmentRef, ...]
    budget_s: float


@message("prefilled")
@dataclass(frozen=True, kw_only=True)
class Prefilled(ReplyWithLoad):
    """Confirms that the segment is in the engine's memory."""


@message("release")
@dataclass(frozen=True, kw_only=True)
class Release(ExchangeMessage):
    """Releases a hold with its memory and exports; the reply is `Released`. Idempotent.

    Attributes:
        hold_id: The hold, as in `Reserve`.
    """

    hold_id: str


@message("released")
@dataclass(frozen=True, kw_only=True)
class Released(ReplyWithLoad):
    """Confirms that the hold is released."""
