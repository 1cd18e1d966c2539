"""The configuration: its objects, its records on the log, and the state folded from them."""

from ._fold import MAX_AUDIT_ENTRIES, fold
from ._indexes import ParsedEdit
from ._objects import (
    OBJECT_TYPES,
    ConfigValue,
    Deployment,
    Evacuation,
    Model,
    OpaqueObject,
    Operator,
    PolicyWeights,
    Service,
    Workspace,
    format_object,
    hash_key,
    parse_object,
)
from ._publisher import Publisher
from ._records import (
    CONFIG_STREAM,
    MAX_RECORD_BYTES,
    AuditEntry,
    ChangeRecord,
    Conflict,
    ObjectDifference,
    ObjectEdit,
    Snapshot,
    SnapshotPart,
    StoredObject,
    decode_record,
    encode_record,
)
from ._snapshot import restore, split_snapshot, take_snapshot
from ._snapshot_writer import SnapshotWriter
from ._state import ConfigState, StateObject
from ._store import ConfigStore
from ._tail import ConfigTail
from ._validate import check_operator, find_conflicts, parse_edits, validate_change

__all__ = [
    "AuditEntry",
    "CONFIG_STREAM",
    "ChangeRecord",
    "ConfigState",
    "ConfigStore",
    "ConfigTail",
    "ConfigValue",
    "Conflict",
    "Deployment",
    "Evacuation",
    "MAX_AUDIT_ENTRIES",
    "MAX_RECORD_BYTES",
    "Model",
    "OBJECT_TYPES",
    "ObjectDifference",
    "ObjectEdit",
    "OpaqueObject",
    "Operator",
    "ParsedEdit",
    "PolicyWeights",
    "Publisher",
    "Service",
    "Snapshot",
    "SnapshotPart",
    "SnapshotWriter",
    "StateObject",
    "StoredObject",
    "Workspace",
    "check_operator",
    "decode_record",
    "encode_record",
    "find_conflicts",
    "fold",
    "format_object",
    "hash_key",
    "parse_edits",
    "parse_object",
    "restore",
    "split_snapshot",
    "take_snapshot",
    "validate_change",
]
