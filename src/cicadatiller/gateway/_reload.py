"""Notices that the platform's settings file has changed."""

import asyncio
import os
from collections.abc import Callable
from pathlib import Path

from ..kernel import Event, log_event
from ._node import NodeSettings

INTERVAL_S = 1.0


class SettingsWatch:
    """Reads the file again when it changes, or when it is told to.

    Args:
        path: The file.
        load: Reads it; raises `ValueError` if it can't be used.
        on_change: Takes the settings.
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
        self._seen = self._stamp()

    async def run(self) -> None:
        """Watch until cancelled; the file may change without any signal."""
        while True:
            await asyncio.sleep(INTERVAL_S)
            if self._stamp() != self._seen:
                self.reload()

    def reload(self) -> None:
        """Read the file now; settings that can't be used change nothing."""
        self._seen = self._stamp()
        try:
            node = self._load(self._path)
        except ValueError as error:
            log_event(Event.SETTINGS_REFUSED, reason=str(error))
            return
        log_event(Event.SETTINGS_RELOADED, name=node.name)
        self._on_change(node)

    def _stamp(self) -> tuple[int, int]:
        try:
            status = os.stat(self._path)
        except OSError:
            return 0, 0
        return status.st_mtime_ns, status.st_size
