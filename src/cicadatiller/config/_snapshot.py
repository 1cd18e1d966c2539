"""Takes snapshots, splits them into parts, reassembles and restores them."""

import asyncio
import hashlib
from dataclasses import dataclass, field

from ._indexes import (
    ParsedEdit,
    update_evacuated,
    update_members,
    update_operators,
    update_workspace_names,
)
from ._objects import OpaqueObject, parse_stored_object
from ._records import Snapshot, SnapshotPart, StoredObject, pack_in_steps
from ._state import ConfigState, StateObject

MAX_PART_BYTES = 256 * 1024
MAX_PARTIAL_SNAPSHOTS = 8


def take_snapshot(state: ConfigState) -> Snapshot:
    """Return the snapshot of a state."""
    objects = tuple(
        StoredObject(kind=kind, name=name, body_json=item.body_json, revision=item.revision)
        for (kind, name), item in sorted(state.objects.items(), key=lambda pair: pair[0])
    )
    return Snapshot(covered_offset=state.offset, objects=objects, audit=state.audit)


def restore(snapshot: Snapshot) -> ConfigState:
    """Return the state of a snapshot."""
    objects = {}
    edits = []
    for item in snapshot.objects:
        # An object that only newer versions can parse must not be lost from later snapshots.
        value = parse_stored_object(item.kind, item.body_json).value_or(OpaqueObject())
        key = item.kind, item.name
        objects[key] = StateObject(value=value, body_json=item.body_json, revision=item.revision)
        edits.append(ParsedEdit(key=key, before=None, after=value))
    return ConfigState(
        offset=snapshot.covered_offset,
        objects=objects,
        verdicts={entry.change_id: entry for entry in snapshot.audit},
        workspace_names=update_workspace_names({}, edits),
        operators=update_operators({}, edits),
        evacuated=update_evacuated(frozenset(), edits),
        members=update_members({}, edits),
        audit_bytes=sum(entry.size_bytes for entry in snapshot.audit),
    )


def split_snapshot(
    snapshot: Snapshot, *, max_part_bytes: int = MAX_PART_BYTES
) -> tuple[SnapshotPart, ...]:
    """Split a snapshot into parts that fit into log records."""
    data = b"".join(pack_in_steps(snapshot))
    return _split(data, snapshot.covered_offset, max_part_bytes)


async def split_cooperatively(snapshot: Snapshot) -> tuple[SnapshotPart, ...]:
    """Split a snapshot as `split_snapshot` does, and yield to other tasks between steps."""
    pieces = []
    for piece in pack_in_steps(snapshot):
        pieces.append(piece)
        await asyncio.sleep(0)
    return _split(b"".join(pieces), snapshot.covered_offset, MAX_PART_BYTES)


def _split(data: bytes, covered_offset: int, max_part_bytes: int) -> tuple[SnapshotPart, ...]:
    snapshot_id = hashlib.sha256(data).hexdigest()
    pieces = [data[at : at + max_part_bytes] for at in range(0, len(data), max_part_bytes)]
    return tuple(
        SnapshotPart(
            snapshot_id=snapshot_id,
            covered_offset=covered_offset,
            index=index,
            count=len(pieces),
            data=piece,
        )
        for index, piece in enumerate(pieces)
    )


@dataclass
class _PartialSnapshot:
    covered_offset: int
    pieces: dict[int, bytes] = field(default_factory=dict)


class SnapshotAssembler:
    """Reassembles snapshots from parts, which may be out of order and repeated."""

    def __init__(self) -> None:
        self._partial_snapshots: dict[str, _PartialSnapshot] = {}

    def add(self, part: SnapshotPart) -> bytes | None:
        """Add a part; return the compressed snapshot if that completes one, else None."""
        snapshot = self._partial_snapshots.setdefault(
            part.snapshot_id, _PartialSnapshot(covered_offset=part.covered_offset)
        )
        snapshot.pieces[part.index] = part.data
        if len(snapshot.pieces) < part.count:
            self._evict_oldest()
            return None
        del self._partial_snapshots[part.snapshot_id]
        data = b"".join(snapshot.pieces[index] for index in sorted(snapshot.pieces))
        return data if hashlib.sha256(data).hexdigest() == part.snapshot_id else None

    def _evict_oldest(self) -> None:
        while len(self._partial_snapshots) > MAX_PARTIAL_SNAPSHOTS:
            del self._partial_snapshots[next(iter(self._partial_snapshots))]
