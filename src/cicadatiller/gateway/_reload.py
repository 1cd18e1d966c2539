"""Reloads the platform's settings file when it changes."""

import asyncio
import os
from collections.abc import Callable
from dataclasses import dataclass, fields
from pathlib import Path

import xxhash

from ..kernel import Event, log_event
from ._node import Bounds, NodeSettings

INTERVAL_S = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class SettingsRevision:
    """Identifies the settings that a process follows.

    Attributes:
        number: 1 for the settings at the start; one more for each reload that changed them.
        digest: A digest of the file; equal files have equal digests.
    """

    number: int
    digest: str


class SettingsWatch:
    """Checks the settings file every `INTERVAL_S` and reloads it when it has changed.

    Args:
        path: The file.
        load: Loads and validates it; raises `ValueError` if it is invalid.
        current: The settings that were loaded at the start.
        on_change: Called with the new settings and their revision.

    Attributes:
        revision: The revision of the settings in force.
    """

    def __init__(
        self,
        *,
        path: Path,
        load: Callable[[Path], NodeSettings],
        current: NodeSettings,
        on_change: Callable[[NodeSettings, SettingsRevision], None],
    ) -> None:
        self._path = path
        self._load = load
        self._current = current
        self._on_change = on_change
        self._last_signature = self._file_signature()
        self.revision = SettingsRevision(number=1, digest=self._file_digest())

    async def run(self) -> None:
        """Poll until cancelled; the file may change without a signal to the process."""
        while True:
            await asyncio.sleep(INTERVAL_S)
            if self._file_signature() != self._last_signature:
                self.reload()

    def reload(self) -> None:
        """Reload the file now; invalid settings are logged and the old ones stay."""
        self._last_signature = self._file_signature()
        try:
            node = self._load(self._path)
        except ValueError as error:
            log_event(Event.SETTINGS_REFUSED, reason=str(error), kept_revision=self.revision.number)
            return
        changed = changed_fields(self._current, node)
        digest = self._file_digest()
        if changed or digest != self.revision.digest:
            self.revision = SettingsRevision(number=self.revision.number + 1, digest=digest)
        self._current = node
        log_event(
            Event.SETTINGS_RELOADED,
            name=node.name,
            revision=self.revision.number,
            digest=self.revision.digest,
            changed=changed,
        )
        self._on_change(node, self.revision)

    def _file_signature(self) -> tuple[int, int]:
        try:
            status = os.stat(self._path)
        except OSError:
            return 0, 0
        return status.st_mtime_ns, status.st_size

    def _file_digest(self) -> str:
        try:
            return xxhash.xxh3_64_hexdigest(self._path.read_bytes())
        except OSError:
            return ""


def changed_fields(before: NodeSettings, after: NodeSettings) -> list[str]:
    """Return the names of the settings that differ, those of `Bounds` as "bounds.NAME"."""
    names = [
        field.name
        for field in fields(NodeSettings)
        if field.name != "bounds" and getattr(before, field.name) != getattr(after, field.name)
    ]
    bounds = [
        f"bounds.{field.name}"
        for field in fields(Bounds)
        if getattr(before.bounds, field.name) != getattr(after.bounds, field.name)
    ]
    return names + bounds
