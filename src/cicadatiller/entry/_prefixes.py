"""Records which prompt prefixes were sent to which targets."""

from collections import OrderedDict

import xxhash

PREFIX_BLOCK_CHARACTERS = 2048
MAX_PREFIX_BLOCKS = 256
MAX_PREFIXES = 16_384
MAX_HOLDERS = 4


def prefix_hashes(workspace: str, prompt: str) -> tuple[tuple[int, int], ...]:
    """Return (characters, hash) of a prompt's prefixes of 1, 2, 4, 8, ... blocks.

    A prompt shorter than a block counts as one block. At most `MAX_PREFIX_BLOCKS` blocks are
    hashed.
    """
    digest = xxhash.xxh3_64(workspace.encode() + b"\0")
    hashes = []
    start = 0
    end = PREFIX_BLOCK_CHARACTERS
    limit = min(len(prompt), MAX_PREFIX_BLOCKS * PREFIX_BLOCK_CHARACTERS)
    while end <= limit or start == 0:
        digest.update(prompt[start:end].encode())
        hashes.append((min(end, len(prompt)), digest.intdigest()))
        start, end = end, end * 2
    return tuple(hashes)


class PrefixIndex:
    """A bounded index of the targets that prefixes were sent to.

    It is a hint: a target may have evicted a prefix from its cache.
    """

    def __init__(self) -> None:
        self._holders: OrderedDict[int, tuple[str, ...]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._holders)

    def record(self, hashes: tuple[tuple[int, int], ...], target: str) -> None:
        """Record that a prompt with these prefixes is sent to a target."""
        for _, prefix in hashes:
            others = [name for name in self._holders.get(prefix, ()) if name != target]
            self._holders[prefix] = (target, *others[: MAX_HOLDERS - 1])
            self._holders.move_to_end(prefix)
        while len(self._holders) > MAX_PREFIXES:
            self._holders.popitem(last=False)

    def known_characters(self, hashes: tuple[tuple[int, int], ...]) -> dict[str, int]:
        """Return the length of the longest known prefix for each target that holds one."""
        known: dict[str, int] = {}
        for characters, prefix in hashes:
            for name in self._holders.get(prefix, ()):
                known[name] = characters
        return known
