"""The order in which targets are preferred for long prompts; the same in every process."""

import xxhash


def long_prompt_rank(instance_name: str) -> int:
    """Return an instance's rank for long prompts; instances of lower rank are preferred."""
    return xxhash.xxh3_64_intdigest(instance_name.encode())
