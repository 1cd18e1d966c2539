"""Removes streams and KV exports from the engine that no request owns.

A stream id starts with the incarnation of the sidecar that made it. Streams of this incarnation
are cancelled as soon as no request uses them. Incarnations that had streams when the engine's
streams were first listed are predecessors of this one; no caller can receive their output any
more, so their streams are cancelled after `PREDECESSOR_GRACE_S`. Incarnations that appear later
belong to a sidecar that took over the slot, and their streams are kept: of two sidecars on one slot
the later one wins. No request runs longer than the longest time limit, so a stream older than
`LONGEST_STREAM_S` is cancelled whoever made it.

The id of an export contains the incarnation of the coordinator, not of the sidecar that holds the
memory. So an export is released as soon as its hold has ended here. It is released after
`PREDECESSOR_GRACE_S` if it, or the stream that prefills it, was there at the first listing. A
current hold of this sidecar keeps its exports. Any other export ends with its lease.
"""

import asyncio
import contextlib
from typing import Protocol

from ..kernel import Event, log_event
from ..targets import ExportStatus, StreamStatus, TargetUnreachableError
from ._engine_driver import EngineDriver

RECONCILE_INTERVAL_S = 2.0
PREDECESSOR_GRACE_S = 4.0
LONGEST_STREAM_S = 4 * 3600.0


class ExportOwner(Protocol):
    """Determines which exports are in use."""

    def owns_export(self, export_id: str) -> bool:
        """Return whether an export belongs to a current hold."""

    def has_ended(self, export_id: str) -> bool:
        """Return whether an export belongs to a hold that was released or has expired here."""


class Reconciler:
    """Removes orphaned streams and exports from the engine and resumes missing streams.

    Args:
        driver: Lists and cancels the streams of the engine.
        incarnation: The incarnation of this sidecar.
        exports: Determines which exports are in use; None if exports are not managed.
    """

    def __init__(
        self, *, driver: EngineDriver, incarnation: str, exports: ExportOwner | None = None
    ) -> None:
        self._driver = driver
        self._incarnation = incarnation
        self._exports = exports
        self._initial_export_ids: frozenset[str] | None = None
        self._exports_first_seen_s: dict[str, float] = {}
        self._predecessors: frozenset[str] | None = None
        self._first_seen_s: dict[str, float] = {}
        self._last_missing: frozenset[str] = frozenset()

    async def run(self) -> None:
        """Reconcile every `RECONCILE_INTERVAL_S` until cancelled."""
        while True:
            with contextlib.suppress(TargetUnreachableError):
                streams = await self._driver.list_streams()
                self.cancel_orphans(streams)
                self.resume_missing(streams)
                await self.release_orphan_exports(await self._driver.list_exports(), streams)
            await asyncio.sleep(RECONCILE_INTERVAL_S)

    def cancel_orphans(self, listed: tuple[StreamStatus, ...]) -> None:
        """Cancel the listed streams that are orphans."""
        open_ids = [status.stream_id for status in listed if not status.finished]
        if self._predecessors is None:
            owners = {incarnation_of(stream_id) for stream_id in open_ids}
            self._predecessors = frozenset(owners - {self._incarnation})
        now_s = asyncio.get_running_loop().time()
        self._first_seen_s = {
            stream_id: self._first_seen_s.get(stream_id, now_s) for stream_id in open_ids
        }
        for stream_id in open_ids:
            if self._is_orphan(stream_id, now_s - self._first_seen_s[stream_id]):
                log_event(Event.ORPHAN_CANCELLED, stream_id=stream_id)
                self._driver.cancel(stream_id)

    def resume_missing(self, listed: tuple[StreamStatus, ...]) -> None:
        """Resume the streams in use here that were missing from two successive lists.

        Something else, such as a later sidecar on the slot, has cancelled them, and the engine
        sends no output for that.
        """
        missing = self._driver.stream_ids() - {status.stream_id for status in listed}
        for stream_id in missing & self._last_missing:
            self._driver.request_resume(stream_id)
        self._last_missing = missing

    async def release_orphan_exports(
        self, listed: tuple[ExportStatus, ...], streams: tuple[StreamStatus, ...]
    ) -> None:
        """Release the listed exports that are orphans.

        Args:
            listed: The engine's exports.
            streams: The engine's streams; those that prefill a segment become exports.
        """
        ids = [status.export_id for status in listed]
        if self._initial_export_ids is None:
            self._initial_export_ids = frozenset(ids) | {status.stream_id for status in streams}
        now_s = asyncio.get_running_loop().time()
        self._exports_first_seen_s = {
            export_id: self._exports_first_seen_s.get(export_id, now_s) for export_id in ids
        }
        for export_id in ids:
            if self._is_orphan_export(export_id, now_s - self._exports_first_seen_s[export_id]):
                log_event(Event.ORPHAN_CANCELLED, export_id=export_id)
                await self._driver.release_export(export_id)

    def _is_orphan_export(self, export_id: str, seen_for_s: float) -> bool:
        if self._exports is None or self._exports.owns_export(export_id):
            return False
        if self._exports.has_ended(export_id):
            return True
        is_old = self._initial_export_ids is not None and export_id in self._initial_export_ids
        return is_old and seen_for_s >= PREDECESSOR_GRACE_S

    def _is_orphan(self, stream_id: str, seen_for_s: float) -> bool:
        if self._driver.owns(stream_id):
            return False
        owner = incarnation_of(stream_id)
        if owner == self._incarnation:
            return True
        if self._predecessors is not None and owner in self._predecessors:
            return seen_for_s >= PREDECESSOR_GRACE_S
        return seen_for_s >= LONGEST_STREAM_S


def incarnation_of(stream_id: str) -> str:
    """Return the incarnation that made a stream, from the id."""
    return stream_id.partition("/")[0]
