"""Claim records and the bounded table that they fold into."""

import hashlib
from array import array
from bisect import bisect_left
from collections import OrderedDict
from dataclasses import dataclass

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
        key: The digest of workspace and key.
        made_ms: The time that the key names.
        body: The digest of the request's body.
        request_id: The request id.
        replaces: The offset of the key's claim so far, whose request id was withdrawn at its
            sidecar before it ran; zero if this is the first claim.
    """

    key: bytes
    made_ms: int
    body: bytes
    request_id: str
    replaces: int = 0


@dataclass(frozen=True, kw_only=True)
class ClaimBatch:
    """One record of the claim stream; without claims it only marks the time.

    Attributes:
        writer: The entry that appended it.
        claims: The claims, in their order of arrival.
    """

    writer: str
    claims: tuple[Claim, ...] = ()


def digest(*parts: str | bytes) -> bytes:
    """Return a digest of parts that can't run into each other."""
    return hashlib.blake2b(cbor2.dumps(parts), digest_size=DIGEST_BYTES).digest()


def parse_key_time(key: str) -> Result[int, str]:
    """Return the time, in Unix milliseconds, that an idempotency key begins with."""
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
    """Return the content of a record, or None if it is none of this version."""
    try:
        version, writer, items = cbor2.loads(payload)
        claims = tuple(
            Claim(key=key, made_ms=made_ms, body=body, request_id=request_id, replaces=replaces)
            for key, made_ms, body, request_id, replaces in items
        )
    except (ValueError, TypeError, cbor2.CBORDecodeError):
        return None
    return ClaimBatch(writer=writer, claims=claims) if version == RECORD_VERSION else None


def is_valid_at(claim: Claim, record_ms: int) -> bool:
    """Tell whether a claim that was recorded at a time binds its key; the same everywhere."""
    return record_ms - KEY_VALID_MS <= claim.made_ms <= record_ms + KEY_SKEW_MS


class ClaimTable:
    """Knows the record that claims each key, for as many keys as fit.

    That is the first one, or the first that replaces it.

    Claims older than those that fit, and claims trimmed from the log before they were read, are not
    known. `horizon_ms` lies behind the times of all their keys: a key made up to then may have
    been claimed, a later one that is not in the table was not claimed so far.

    Attributes:
        next_offset: The offset to read next.
        horizon_ms: Keys made up to this time are refused.
    """

    def __init__(self, *, max_segments: int = MAX_SEGMENTS) -> None:
        self.next_offset = 1
        self.horizon_ms = 0
        self._max_segments = max_segments
        self._recent: dict[int, int] = {}
        self._recent_made_ms = 0
        self._segments: list[_Segment] = []
        self._cached: OrderedDict[bytes, Claim] = OrderedDict()
        self._after_gap = False

    def __len__(self) -> int:
        return len(self._recent) + sum(len(segment.keys) for segment in self._segments)

    def skip_to(self, offset: int) -> None:
        """Go on at an offset, as the records before it are trimmed."""
        self.next_offset = offset
        self._after_gap = True

    def advance(self, record: LogRecord, batch: ClaimBatch | None) -> None:
        """Fold one more record in."""
        self.next_offset = record.offset + 1
        if self._after_gap:
            self._after_gap = False
            self.horizon_ms = max(self.horizon_ms, record.time_ms + KEY_SKEW_MS)
        for claim in batch.claims if batch is not None else ():
            is_next = (self.offset_of(claim.key) or 0) == claim.replaces
            is_new = is_next and claim.made_ms > self.horizon_ms
            if is_new and is_valid_at(claim, record.time_ms):
                self._insert(claim, record.offset)

    def offset_of(self, key: bytes) -> int | None:
        """Return the offset of the record that claims a key."""
        short = _short(key)
        known = self._recent.get(short)
        if known is not None:
            return known
        for segment in reversed(self._segments):
            known = segment.find(short)
            if known is not None:
                return known
        return None

    def cached(self, key: bytes) -> Claim | None:
        """Return the claim of a key if it is still held in full."""
        return self._cached.get(key)

    def _insert(self, claim: Claim, offset: int) -> None:
        self._recent[_short(claim.key)] = offset
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
    """Sorted keys with their offsets, 16 bytes each."""

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


def _short(key: bytes) -> int:
    return int.from_bytes(key[:8], "big")
