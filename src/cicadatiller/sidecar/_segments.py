"""Splits a prompt that exceeds the memory of one engine over several engines."""

from dataclasses import dataclass

from ..peer import Prefill, SegmentRef
from ..targets import ExportRef, ModelRef, StreamSpec
from ._queue import LONG_CLASS

# Leaves a quarter of each engine's memory to other work if enough engines can share the prompt.
PREFERRED_SHARE = 0.75
FULL_SHARE = 1.0


@dataclass(frozen=True, kw_only=True)
class MemberMemory:
    """The memory of one engine that could hold a part of a prompt.

    Attributes:
        address: The sidecar's address.
        capacity_tokens: The KV capacity of its engine.
        free_tokens: The free part of it in the last load report.
    """

    address: str
    capacity_tokens: int
    free_tokens: int = 0


@dataclass(frozen=True, kw_only=True)
class PromptShare:
    """The contiguous part of a prompt that one engine holds.

    Attributes:
        address: The sidecar's address.
        first_token: The index of the first prompt token.
        token_count: The number of prompt tokens.
        kv_tokens: The KV to reserve: the prompt tokens, and on the host also the output.
    """

    address: str
    first_token: int
    token_count: int
    kv_tokens: int


def split_prompt(
    prompt_tokens: int,
    output_tokens: int,
    host: MemberMemory,
    members: tuple[MemberMemory, ...],
) -> tuple[PromptShare, ...] | None:
    """Split a prompt over the fewest engines that can hold it, taken in the given order.

    Args:
        prompt_tokens: The length of the prompt.
        output_tokens: The maximum length of the output, which the host holds.
        host: The engine that decodes; it holds the last share.
        members: The other engines, most preferred first.

    Returns:
        The shares in the order of the prompt, the host's last; None if the memory of all engines
        together is too small.
    """
    for share in (PREFERRED_SHARE, FULL_SHARE):
        available_tokens = [int(host.capacity_tokens * share) - output_tokens]
        if available_tokens[0] <= 0:
            continue
        for count, member in enumerate(members, start=1):
            available_tokens.append(int(member.capacity_tokens * share))
            if sum(available_tokens) >= prompt_tokens:
                return _split_in_proportion(
                    prompt_tokens, output_tokens, host, members[:count], available_tokens
                )
    return None


def _split_in_proportion(
    prompt_tokens: int,
    output_tokens: int,
    host: MemberMemory,
    members: tuple[MemberMemory, ...],
    available_tokens: list[int],
) -> tuple[PromptShare, ...]:
    total = sum(available_tokens)
    shares = []
    first = 0
    for member, member_available in zip(members, available_tokens[1:], strict=True):
        count = min(member_available, -(-prompt_tokens * member_available // total))
        count = min(count, prompt_tokens - first)
        if count == 0:
            continue
        shares.append(
            PromptShare(
                address=member.address, first_token=first, token_count=count, kv_tokens=count
            )
        )
        first += count
    remaining_tokens = prompt_tokens - first
    shares.append(
        PromptShare(
            address=host.address,
            first_token=first,
            token_count=remaining_tokens,
            kv_tokens=remaining_tokens + output_tokens,
        )
    )
    return tuple(shares)


def export_ref(segment: SegmentRef) -> ExportRef:
    """Convert a segment to the form that engines use."""
    return ExportRef(
        engine_address=segment.engine_address,
        export_id=segment.export_id,
        first_token=segment.first_token,
        token_count=segment.token_count,
    )


def export_spec(message: Prefill, chunk_tokens: int, lease_s: float) -> StreamSpec:
    """Return the stream that prefills a segment and keeps it as an export."""
    work = message.work
    segment = message.segment
    return StreamSpec(
        stream_id=segment.export_id,
        model=ModelRef(model=work.model, version=work.version, adapter=work.adapter),
        prompt=work.prompt,
        prompt_tokens=segment.first_token + segment.token_count,
        max_output_tokens=0,
        priority=LONG_CLASS,
        prefill_chunk_tokens=chunk_tokens,
        remote_segments=tuple(export_ref(item) for item in message.before),
        export_id=segment.export_id,
        first_token=segment.first_token,
        lease_s=lease_s,
    )
