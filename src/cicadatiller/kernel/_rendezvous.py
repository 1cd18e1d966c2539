"""Rendezvous hashing: for a key, every process ranks the same names in the same order."""

import xxhash

MAX_RENDEZVOUS_WEIGHT = 2**64 - 1


def rendezvous_weight(key: str, name: str) -> int:
    """Return the weight of a name for a key.

    Names sorted by weight have a different order for each key. Adding or removing a name does not
    change the order of the others.
    """
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())
