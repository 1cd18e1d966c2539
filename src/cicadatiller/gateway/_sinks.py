"""Takes what the store says into the configuration in force and the directory of targets."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from ..fleet import KeyedPage, KeyedRecord, TargetDirectory, TargetRecord
from ..kernel import Event, log_event
from ..routes import RouteTable

CONFIGURATION_KEY = "config"


class DocumentDecoder(Protocol):
    """Decodes the documents of the store. Methods raise `ValueError` for what can't be read."""

    def decode_configuration(self, value: bytes) -> RouteTable:
        """Return a configuration."""

    def decode_target(self, key: str, value: bytes) -> TargetRecord:
        """Return what a target registered."""


class ConfigurationSink:
    """The configuration in force; versions only move forward.

    Args:
        decoder: Decodes documents.
        on_change: Takes each configuration that comes into force.

    Attributes:
        table: The configuration; None while none is known.
    """

    def __init__(
        self, *, decoder: DocumentDecoder, on_change: Callable[[RouteTable], None]
    ) -> None:
        self.table: RouteTable | None = None
        self._decoder = decoder
        self._on_change = on_change

    def apply(self, record: KeyedRecord, *, grace_s: float = 0.0) -> None:
        """Take a record of the topic."""
        if record.key != CONFIGURATION_KEY or record.value is None:
            return
        try:
            table = self._decoder.decode_configuration(record.value)
        except ValueError as error:
            log_event(Event.CONFIG_UNREADABLE, offset=record.offset, error=str(error))
            return
        if self.table is not None and table.version <= self.table.version:
            return
        self.table = table
        log_event(Event.CONFIG_IN_FORCE, version=table.version, offset=record.offset)
        self._on_change(table)

    def replace(self, page: KeyedPage, *, grace_s: float = 0.0) -> None:
        """Take the newest records."""
        for record in page.records:
            self.apply(record, grace_s=grace_s)


class TargetSink:
    """Brings what targets registered into the directory.

    Args:
        decoder: Decodes documents.
        directory: The targets.
        on_run: Takes the id of each run of a target that was not known.
        on_gone: Takes the id of each target that is gone.
    """

    def __init__(
        self,
        *,
        decoder: DocumentDecoder,
        directory: TargetDirectory,
        on_run: Callable[[str], None],
        on_gone: Callable[[str], None],
    ) -> None:
        self._decoder = decoder
        self._directory = directory
        self._on_run = on_run
        self._on_gone = on_gone
        self._doubtful: dict[str, asyncio.TimerHandle] = {}

    def apply(self, record: KeyedRecord, *, grace_s: float = 0.0) -> None:
        """Take a record of the topic."""
        if record.value is None:
            self._take_removal(record.key, grace_s)
            return
        try:
            target = self._decoder.decode_target(record.key, record.value)
        except ValueError as error:
            log_event(Event.ENTRY_UNREADABLE, name=record.key, error=str(error))
            self._remove(record.key, "its entry can't be read")
            return
        self._settle(record.key)
        if self._directory.put(target):
            self._on_run(record.key)

    def replace(self, page: KeyedPage, *, grace_s: float = 0.0) -> None:
        """Take the newest records; what they lack is gone."""
        listed = {record.key for record in page.records}
        for target in list(self._directory.targets()):
            if target.instance_id not in listed:
                self._take_removal(target.instance_id, grace_s)
        for record in page.records:
            self.apply(record, grace_s=grace_s)

    def _take_removal(self, instance_id: str, grace_s: float) -> None:
        target = self._directory.find(instance_id)
        if target is None:
            return
        if grace_s <= 0 or not target.takes_work:
            self._remove(instance_id, "its entry was removed")
            return
        # The entry may have lapsed only because the store was away; the target writes it anew then.
        if instance_id not in self._doubtful:
            loop = asyncio.get_running_loop()
            self._doubtful[instance_id] = loop.call_later(
                grace_s, self._remove, instance_id, "its entry lapsed and did not come back"
            )

    def _settle(self, instance_id: str) -> None:
        timer = self._doubtful.pop(instance_id, None)
        if timer is not None:
            timer.cancel()

    def _remove(self, instance_id: str, reason: str) -> None:
        self._settle(instance_id)
        if self._directory.remove(instance_id, reason):
            self._on_gone(instance_id)
