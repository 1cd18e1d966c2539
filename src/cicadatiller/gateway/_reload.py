"""Reloads the platform's settings file when it changes."""

import asyncio
import os
from collections.abc import Callable
from pathlib import Path

from ..kernel import Event, log_event
from ._node import NodeSettings

INTERVAL_S = 1.0


class SettingsWatch:
    """Checks the settings file every `INTERVAL_S` and reloads it when it has changed.

    Args:
        path: The file.
        load: Loads and validates it; raises `ValueError` if it is invalid.
        on_change: Called with the new settings.
    """

    def __init__(
        self,
        *,
        path: Path,
        load: Callable[[Path], NodeSettings],
        on_change: Callable[[NodeSettings], None],
    ) -> None:
        self._path = path
        self._load = load
        self._on_change = on_change
        self._last_signature = self._file_signature()

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
            log_event(Event.SETTINGS_REFUSED, reason=str(error))
            return
        log_event(Event.SETTINGS_RELOADED, name=node.name)
        self._on_change(node)

    def _file_signature(self) -> tuple[int, int]:
        try:
            status = os.stat(self._path)
        except OSError:
            return 0, 0
        return status.st_mtime_ns, status.st_size
