"""Ids of the runs of a process."""

import secrets

INCARNATION_BYTES = 16


def new_incarnation() -> str:
    """Return a random 128-bit id for one run of a process, as 32 hex digits."""
    return secrets.token_hex(INCARNATION_BYTES)
