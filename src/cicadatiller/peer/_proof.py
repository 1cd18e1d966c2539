"""Proofs by which two processes show each other that they know the peer secret."""

import hmac
import secrets

NONCE_BYTES = 16


def new_nonce() -> bytes:
    """Return a random nonce for the peer's proof."""
    return secrets.token_bytes(NONCE_BYTES)


def compute_proof(secret: str, nonce: bytes) -> bytes:
    """Return the HMAC-SHA256 of a nonce under the peer secret."""
    return hmac.digest(secret.encode(), nonce, "sha256")


def is_valid_proof(proof: bytes, secret: str, nonce: bytes) -> bool:
    """Return whether a proof is valid for a nonce; compares in constant time."""
    return hmac.compare_digest(proof, compute_proof(secret, nonce))
