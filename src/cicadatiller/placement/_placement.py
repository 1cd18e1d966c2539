"""The targets chosen for a prompt."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class ReservationShare:
    """The part of a prompt's KV cache to reserve at one member of its gang."""

    target_id: str
    tokens: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Placement:
    """The targets chosen for a prompt, with the expected effects.

    Attributes:
        host_id: The target that gets the request and decodes the output.
        helper_ids: The targets that prefill parts of the prompt; with the host, they are its gang.
        shares: The KV cache tokens to reserve, in the order in which they are filled: at the host if
            it needs much of its memory, then at helpers.
        host_kv_tokens: The KV cache tokens that the host needs.
        part_prefill_s: The prefill time of each member's part, as modelled.
        first_event_in_s: The expected time until the first event.
        own_loss: The value that the prompt itself is expected to lose by being late.
        loss_to_others: The value that other requests are expected to lose because of this one.
        cost: What placements are compared by: both losses, the expected loss if the caller leaves
            before the first event, and the costs that decide between similar losses.
    """

    host_id: str
    helper_ids: tuple[str, ...] = ()
    shares: tuple[ReservationShare, ...] = ()
    host_kv_tokens: int = 0
    part_prefill_s: float = 0.0
    first_event_in_s: float = 0.0
    own_loss: float = 0.0
    loss_to_others: float = 0.0
    cost: float = 0.0
