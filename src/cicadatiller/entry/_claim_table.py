"""Claim records of idempotency keys, and the bounded table built from them."""

import hashlib
from array import array
from bisect import bisect_left
from collections import OrderedDict
from dataclasses import dataclass
from typing import Any

import cbor2
from returns.result import Failure as Err
from returns.result import Result, Success

from ..backing import LogRecord

CLAIM_STREAM = "claims"
RECORD_VERSION = 2
DIGEST_BYTES = 16
KEY_VALID_MS = 3_600_000
KEY_SKEW_MS = 60_000
SEGMENT_CLAIMS = 4096
MAX_SEGMENTS = 256
MAX_CACHED_CLAIMS = 4096


@dataclass(frozen=True, kw_only=True)
class Claim:
    """Binds an idempotency key to a request id.

    Attributes:
        key: Digest of workspace and key.
        made_ms: The time at the start of the key, in Unix milliseconds.
        body: Digest of the request's body.
        request_id: The request id.
        replaces: Offset of the claim that this one replaces, whose request id was withdrawn at
            its sidecar before it ran; zero if this is the first claim of the key.
    """

    key: bytes
    made_ms: int
    body: bytes
    request_id: str
    replaces: int = 0


@dataclass(frozen=True, kw_only=True)
class ClaimBatch:
    """One record of the claim stream; without claims it only provides a record time.

    Attributes:
        writer: Name of the entry that appended it.
        claims: The claims, in their order of arrival.
    """

    writer: str
    claims: tuple[Claim, ...] = ()


def digest(*parts: str | bytes) -> bytes:
    """Return a digest of parts; their boundaries are part of the digest."""
    return hashlib.blake2b(cbor2.dumps(parts), digest_size=DIGEST_BYTES).digest()


def parse_key_time(key: str) -> Result[int, str]:
    """Return the time at the start of an idempotency key, in Unix milliseconds."""
    made, separator, rest = key.partition("-")
    if not separator or not rest or not made.isascii() or not made.isdigit() or len(made) > 15:
        return Err(
            "an idempotency key is the Unix time in ms at which it was made, a hyphen and at least "
            'one more character, as in "1764820000000-order-17"'
        )
    return Success(int(made))


def encode_batch(batch: ClaimBatch) -> bytes:
    """Return the payload of a record."""
    claims = [[c.key, c.made_ms, c.body, c.request_id, c.replaces] for c in batch.claims]
    return cbor2.dumps([RECORD_VERSION, batch.writer, claims])


def decode_batch(payload: bytes) -> ClaimBatch | None:
    """Return the content of a record, or None if it is unreadable or of another version."""
    try:
        version, writer, items = cbor2.loads(payload)
        claims = tuple(_decode_claim(*fields) for fields in items)
    except (ValueError, TypeError, cbor2.CBORDecodeError):
        return None
    return ClaimBatch(writer=writer, claims=claims) if version == RECORD_VERSION else None


def _decode_claim(key: Any, made_ms: Any, body: Any, request_id: Any, replaces: Any) -> Claim:
    """Return a claim of a record that another writer may have left.

    Raises:
        TypeError: If a field has another type.
    """
    is_bytes = isinstance(key, bytes) and isinstance(body, bytes)
    is_integer = type(made_ms) is int and type(replaces) is int
    if not (is_bytes and is_integer and isinstance(request_id, str)):
        raise TypeError("a field of a claim has another type")
    return Claim(key=key, made_ms=made_ms, body=body, request_id=request_id, replaces=replaces)


def is_valid_at(claim: Claim, record_ms: int) -> bool:
    """Return whether a claim that was recorded at `record_ms` binds its key.

    Depends on the record only, so that all entries get the same result.
    """
    return record_ms - KEY_VALID_MS <= claim.made_ms <= record_ms + KEY_SKEW_MS


class ClaimTable:
    """Maps each key to the offset of its current claim, for a bounded number of keys.

    The current claim is the first one of the key, or the first that replaced it.

    The oldest claims are evicted when the table is full, and claims trimmed from the log before
    they were read are missing. All their keys were made at or before `horizon_ms`: a key made up
    to then may have been claimed; a later key that is not in the table is unclaimed so far.

    Attributes:
        next_offset: Offset to read next.
        horizon_ms: Keys made at or before this time are refused.
    """

    def __init__(self, *, max_segments: int = MAX_SEGMENTS) -> None:
        self.next_offset = 1
        self.horizon_ms = 0
        self._max_segments = max_segments
        self._recent: dict[int, int] = {}
        self._recent_made_ms = 0
        self._segments: list[_Segment] = []
        self._cached: OrderedDict[bytes, Claim] = OrderedDict()
        self._skipped_records = False

    def __len__(self) -> int:
        return len(self._recent) + sum(len(segment.keys) for segment in self._segments)

    def skip_to(self, offset: int) -> None:
        """Continue at an offset because the records before it were trimmed."""
        self.next_offset = offset
        self._skipped_records = True

    def advance(self, record: LogRecord, batch: ClaimBatch | None) -> None:
        """Apply the next record."""
        self.next_offset = record.offset + 1
        if self._skipped_records:
            self._skipped_records = False
            self.horizon_ms = max(self.horizon_ms, record.time_ms + KEY_SKEW_MS)
        for claim in batch.claims if batch is not None else ():
            is_next = (self.offset_of(claim.key) or 0) == claim.replaces
            is_new = is_next and claim.made_ms > self.horizon_ms
            if is_new and is_valid_at(claim, record.time_ms):
                self._insert(claim, record.offset)

    def offset_of(self, key: bytes) -> int | None:
        """Return the offset of the record with a key's current claim; None if there is none."""
        short = _short_key(key)
        known = self._recent.get(short)
        if known is not None:
            return known
        for segment in reversed(self._segments):
            known = segment.find(short)
            if known is not None:
                return known
        return None

    def cached(self, key: bytes) -> Claim | None:
        """Return the current claim of a key; None if it is not cached."""
        return self._cached.get(key)

    def _insert(self, claim: Claim, offset: int) -> None:
        self._recent[_short_key(claim.key)] = offset
        self._recent_made_ms = max(self._recent_made_ms, claim.made_ms)
        self._cached[claim.key] = claim
        if len(self._cached) > MAX_CACHED_CLAIMS:
            self._cached.popitem(last=False)
        if len(self._recent) >= SEGMENT_CLAIMS:
            self._freeze()

    def _freeze(self) -> None:
        self._segments.append(_Segment(self._recent, self._recent_made_ms))
        self._recent = {}
        self._recent_made_ms = 0
        if len(self._segments) > self._max_segments:
            oldest = self._segments.pop(0)
            self.horizon_ms = max(self.horizon_ms, oldest.made_ms)


class _Segment:
    """Sorted keys with their offsets, 16 bytes per claim."""

    def __init__(self, offsets: dict[int, int], made_ms: int) -> None:
        self.made_ms = made_ms
        ordered = sorted(offsets.items())
        self.keys = array("Q", (key for key, _ in ordered))
        self._offsets = array("Q", (offset for _, offset in ordered))

    def find(self, key: int) -> int | None:
        place = bisect_left(self.keys, key)
        if place == len(self.keys) or self.keys[place] != key:
            return None
        return self._offsets[place]


def _short_key(key: bytes) -> int:
    return int.from_bytes(key[:8], "big")
