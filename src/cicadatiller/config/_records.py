"""The records of the configuration stream and their encoding."""

import hashlib
import zlib
from collections.abc import Iterator
from dataclasses import dataclass

import cattrs
import cbor2

CONFIG_STREAM = "configuration"
DIGEST_BYTES = 8
AUDIT_ENTRY_OVERHEAD_BYTES = 300
MAX_RECORD_BYTES = 512 * 1024
COMPRESS_STEP_BYTES = 256 * 1024

_converter = cattrs.Converter(omit_if_default=True)


@dataclass(frozen=True, kw_only=True, slots=True)
class ObjectEdit:
    """A new body for one object, or its removal.

    Attributes:
        kind: The object's kind.
        name: The object's name.
        body_json: The new body; empty to remove the object.
        expected_revision: The revision that the edit is based on; None accepts any.
    """

    kind: str
    name: str
    body_json: str = ""
    expected_revision: int | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class ChangeRecord:
    """A change that an operator requested; the fold decides whether it is accepted.

    Attributes:
        change_id: An id chosen by the operator's client; an id takes effect at most once.
        operator: The name of the operator.
        reason: The operator's reason for the change.
        edits: The edits, which are applied all or none.
        force: Whether the entry skipped its check of the instances.
        operator_key_hash: The hash of the key with which the operator authenticated.
    """

    change_id: str
    operator: str
    reason: str
    edits: tuple[ObjectEdit, ...]
    force: bool = False
    operator_key_hash: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class StoredObject:
    """One object in a snapshot.

    Attributes:
        kind: The object's kind.
        name: The object's name.
        body_json: The body as published.
        revision: The offset of the change that last wrote the object.
    """

    kind: str
    name: str
    body_json: str
    revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ObjectDifference:
    """The effect of a change on one object.

    Attributes:
        kind: The object's kind.
        name: The object's name.
        before_json: The body before the change; empty if the object did not exist.
        after_json: The body after the change; empty if the object was removed.
    """

    kind: str
    name: str
    before_json: str
    after_json: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Conflict:
    """An object whose revision was not the expected one.

    Attributes:
        kind: The object's kind.
        name: The object's name.
        expected_revision: The revision that the edit was based on.
        present_revision: The current revision; zero if the object does not exist.
    """

    kind: str
    name: str
    expected_revision: int
    present_revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class AuditEntry:
    """The verdict on one change, in the audit trail.

    Attributes:
        change_id: The id of the change.
        operator: The name of the operator who requested it.
        reason: The operator's reason for the change.
        offset: The offset of the change on the log.
        time_ms: When the log appended the change, in milliseconds of the log's clock.
        accepted: Whether the change was accepted.
        message: Why the change was rejected, or "accepted".
        differences: The effect of an accepted change on each object.
        conflicts: The objects that had another revision than expected.
        digest: Distinguishes the change from others with the same id.
    """

    change_id: str
    operator: str
    reason: str
    offset: int
    time_ms: int
    accepted: bool
    message: str
    differences: tuple[ObjectDifference, ...] = ()
    conflicts: tuple[Conflict, ...] = ()
    digest: bytes = b""

    @property
    def size_bytes(self) -> int:
        """Return the approximate size of the entry in memory."""
        bodies = sum(len(item.before_json) + len(item.after_json) for item in self.differences)
        return AUDIT_ENTRY_OVERHEAD_BYTES + len(self.reason) + len(self.message) + bodies


@dataclass(frozen=True, kw_only=True, slots=True)
class Snapshot:
    """The whole state at an offset, written to the log before older records are trimmed.

    Attributes:
        covered_offset: The offset of the state.
        objects: All objects, by kind and name.
        audit: The audit trail, oldest first.
    """

    covered_offset: int
    objects: tuple[StoredObject, ...]
    audit: tuple[AuditEntry, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class SnapshotPart:
    """One part of a snapshot; a snapshot may exceed the log's maximum record size.

    Attributes:
        snapshot_id: Distinguishes the parts of snapshots that are written concurrently.
        covered_offset: The offset of the state; below the part's own offset on the log.
        index: The index of this part, from zero.
        count: The number of parts.
        data: This part of the compressed snapshot.
    """

    snapshot_id: str
    covered_offset: int
    index: int
    count: int
    data: bytes


RecordContent = ChangeRecord | SnapshotPart

_RECORD_TYPES: dict[str, type[RecordContent]] = {
    "change": ChangeRecord,
    "snapshot": SnapshotPart,
}
_RECORD_KINDS = {record_type: kind for kind, record_type in _RECORD_TYPES.items()}


def encode_record(record: RecordContent) -> bytes:
    """Encode a record as the payload of a log record."""
    payload: bytes = cbor2.dumps([_RECORD_KINDS[type(record)], _converter.unstructure(record)])
    return payload


def decode_record(payload: bytes) -> RecordContent | None:
    """Decode the payload of a log record; None if this version can't decode it."""
    try:
        kind, body = cbor2.loads(payload)
        return _converter.structure(body, _RECORD_TYPES[kind])
    except Exception:
        return None


def digest_change(change: ChangeRecord) -> bytes:
    """Return a digest that distinguishes a change from others with the same id."""
    return hashlib.sha256(encode_record(change)).digest()[:DIGEST_BYTES]


def pack_in_steps(snapshot: Snapshot) -> Iterator[bytes]:
    """Encode and compress a snapshot in short steps; yield the output of each.

    Some pieces are empty. The caller may let other tasks run between two steps.
    """
    body = _converter.unstructure(snapshot)
    yield b""
    encoded = cbor2.dumps(body)
    yield b""
    compressor = zlib.compressobj()
    for start in range(0, len(encoded), COMPRESS_STEP_BYTES):
        yield compressor.compress(encoded[start : start + COMPRESS_STEP_BYTES])
    yield compressor.flush()


def unpack_snapshot(data: bytes) -> Snapshot | None:
    """Decompress and decode a snapshot; None if it is corrupt."""
    try:
        return _converter.structure(cbor2.loads(zlib.decompress(data)), Snapshot)
    except Exception:
        return None
