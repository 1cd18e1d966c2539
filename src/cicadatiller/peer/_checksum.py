"""The checksum of a complete output."""

from collections.abc import Iterable

import xxhash


class AnswerChecksum:
    """Incremental XXH3-64 checksum over the texts of an output, in order, in UTF-8."""

    def __init__(self, texts: Iterable[str] = ()) -> None:
        self._hash = xxhash.xxh3_64()
        self.update(texts)

    def update(self, texts: Iterable[str]) -> None:
        """Add texts."""
        self._hash.update("".join(texts).encode())

    def value(self) -> int:
        """Return the checksum of all texts added."""
        return self._hash.intdigest()


def checksum_bytes(payload: bytes) -> int:
    """Return the checksum of the payload of a call."""
    return xxhash.xxh3_64_intdigest(payload)
