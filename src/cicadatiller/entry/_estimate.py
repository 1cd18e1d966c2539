"""Estimates how long a request would take on a target."""

from dataclasses import dataclass

from ..config import PolicyWeights
from ..membership import Target
from ..peer import LoadReport

ASSUMED_PREFILL_TOKENS_PER_S = 20_000.0
TRUSTED_LENGTH_FACTOR = 8
LONG_INTERFERENCE_S = 0.06
LONG_REMAINING_SHARE = 0.5
SHORTAGE_REMAINING_SHARE = 0.25
LONG_SHORTAGE_REMAINING_SHARE = 1.0


@dataclass(frozen=True, kw_only=True)
class RequestSize:
    """The size of a request.

    Attributes:
        prompt_tokens: Length of the prompt.
        max_output_tokens: Maximum length of the output.
    """

    prompt_tokens: int
    max_output_tokens: int = 0

    @property
    def kv_tokens(self) -> int:
        """Return the KV memory that is reserved for the request, in tokens."""
        return self.prompt_tokens + self.max_output_tokens


@dataclass(frozen=True, kw_only=True)
class Estimate:
    """The estimated time of a request on a target.

    Attributes:
        wait_s: Time until its prefill starts.
        prefill_s: Time of the prefill.
        decode_s: Time to decode the maximum output; zero if the decode rate is unknown.
        known: Whether the target has reported a prefill rate that is valid for this prompt length.
    """

    wait_s: float
    prefill_s: float
    decode_s: float
    known: bool

    @property
    def first_token_s(self) -> float:
        """Return the time to the first token."""
        return self.wait_s + self.prefill_s

    @property
    def total_s(self) -> float:
        """Return the time to the last token of the maximum output."""
        return self.first_token_s + self.decode_s


def class_limit_tokens(prompt_tokens: int, weights: PolicyWeights) -> float:
    """Return the upper limit of the length class that a prompt belongs to, in tokens."""
    if prompt_tokens <= weights.short_prompt_tokens:
        return weights.short_prompt_tokens
    if prompt_tokens <= weights.long_prompt_tokens:
        return weights.long_prompt_tokens
    return float("inf")


def estimate(
    target: Target, size: RequestSize, weights: PolicyWeights, *, cached_tokens: int = 0
) -> Estimate:
    """Estimate the time of a request from the load report and from work this entry sent since.

    The wait excludes prompts of longer classes because sidecars serve shorter ones first.

    Args:
        target: The target.
        size: The size of the request.
        weights: The weights of the deployment.
        cached_tokens: Length of the prompt's prefix that the target may have cached.
    """
    load = target.load
    known = load is not None and _knows_rate(load, size)
    reported_rate = 0.0 if load is None else load.prefill_tokens_per_s
    rate = reported_rate if known else max(reported_rate, ASSUMED_PREFILL_TOKENS_PER_S)
    decode_rate = 0.0 if load is None else load.decode_tokens_per_s
    limit = class_limit_tokens(size.prompt_tokens, weights)
    wait_s = _tokens_ahead(target, limit) / rate
    wait_s += _running_tokens_ahead(target, size, weights) / rate
    slowdown = 1.0
    if size.prompt_tokens <= weights.long_prompt_tokens and has_long_prompt(target, weights):
        wait_s += LONG_INTERFERENCE_S
        slowdown = 1 / (1 - weights.long_share)
    return Estimate(
        wait_s=slowdown * wait_s,
        prefill_s=slowdown * max(0, size.prompt_tokens - cached_tokens) / rate,
        decode_s=size.max_output_tokens / decode_rate if decode_rate else 0.0,
        known=known,
    )


def _knows_rate(load: LoadReport, size: RequestSize) -> bool:
    """Return whether the reported rate was measured on prompts long enough for this one.

    It is valid up to `TRUSTED_LENGTH_FACTOR` times the prompts it was measured on.
    """
    trusted_tokens = TRUSTED_LENGTH_FACTOR * load.prefill_sample_tokens
    return load.prefill_tokens_per_s > 0 and size.prompt_tokens <= trusted_tokens


def _tokens_ahead(target: Target, limit: float) -> float:
    def is_same_or_shorter_class(tokens: int) -> bool:
        return tokens <= limit

    reported = 0.0
    if target.load is not None:
        reported = min(target.load.queued_prompt_tokens, target.load.queued * limit)
    sent = reported + target.unreported_tokens(is_same_or_shorter_class)
    return max(sent, target.awaiting_prefill_tokens(is_same_or_shorter_class))


def _running_tokens_ahead(target: Target, size: RequestSize, weights: PolicyWeights) -> float:
    """Estimate the work in progress that must end before the prefill can start, in prefill tokens.

    A long prompt waits for other long ones whose prefill is in flight. If the target's memory is
    short, any prompt waits until some of the requests in memory end.
    """
    load = target.load
    if load is None or load.kv_capacity_tokens == 0:
        return 0.0
    ahead = 0.0
    shortage_share = SHORTAGE_REMAINING_SHARE
    if size.prompt_tokens > weights.long_prompt_tokens:
        ahead = LONG_REMAINING_SHARE * load.prefilling_long_tokens
        shortage_share = LONG_SHORTAGE_REMAINING_SHARE
    if _kv_shortage_tokens(target, size) > 0:
        ahead += shortage_share * load.kv_used_tokens
    return ahead


def has_long_prompt(target: Target, weights: PolicyWeights) -> bool:
    """Return whether a target has a long prompt to prefill, as far as this entry knows."""

    def is_long(tokens: int) -> bool:
        return tokens > weights.long_prompt_tokens

    if target.awaiting_prefill_tokens(is_long) > 0:
        return True
    return target.load is not None and target.load.prefilling_long_tokens > 0


def _kv_shortage_tokens(target: Target, size: RequestSize) -> int:
    load = target.load
    if load is None or load.kv_capacity_tokens == 0:
        return 0
    free = load.kv_capacity_tokens - load.kv_used_tokens - target.unreported_tokens(_any_length)
    wanted = min(size.kv_tokens, load.kv_capacity_tokens)
    return max(0, wanted - free)


def _any_length(_: int) -> bool:
    return True
