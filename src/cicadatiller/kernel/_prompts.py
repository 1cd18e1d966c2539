"""Estimates the length of prompts in tokens and groups them by length."""

CHARACTERS_PER_TOKEN = 4
# The upper bound of each bucket in tokens, inclusive; the last bucket has none.
PROMPT_BUCKETS: dict[str, int | None] = {
    "<=4k": 4_000,
    "4k-32k": 32_000,
    "32k-128k": 128_000,
    ">128k": None,
}


def count_prompt_tokens(prompt: str) -> int:
    """Return the estimated length of a prompt in tokens, from its size in UTF-8."""
    return -(-len(prompt.encode()) // CHARACTERS_PER_TOKEN)


def prompt_bucket(prompt_tokens: int) -> str:
    """Return the name of the bucket for a length in tokens."""
    for bucket, limit_tokens in PROMPT_BUCKETS.items():
        if limit_tokens is None or prompt_tokens <= limit_tokens:
            return bucket
    raise ValueError("the last entry of PROMPT_BUCKETS must have the bound None")
