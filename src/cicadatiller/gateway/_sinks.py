"""Sinks that apply records of the store to the configuration and the target directory."""

import asyncio
from collections.abc import Callable
from typing import Protocol

import xxhash

from ..fleet import KeyedPage, KeyedRecord, TargetDirectory, TargetRecord
from ..kernel import Event, log_event
from ..routes import RouteTable

CONFIGURATION_KEY = "config"


class DocumentDecoder(Protocol):
    """Decodes the documents of the store. Methods raise `ValueError` for invalid documents."""

    def decode_configuration(self, value: bytes) -> RouteTable:
        """Decode a configuration."""

    def decode_target(self, key: str, value: bytes) -> TargetRecord:
        """Decode the registration of a target; `key` is its instance id."""


class ConfigurationSink:
    """Holds the current configuration and replaces it by newer versions only.

    Args:
        decoder: Decodes documents.
        on_change: Called with each configuration that becomes the current one.

    Attributes:
        table: The current configuration; None until one was read.
        digest: A digest of its document; empty until one was read.
    """

    def __init__(
        self, *, decoder: DocumentDecoder, on_change: Callable[[RouteTable], None]
    ) -> None:
        self.table: RouteTable | None = None
        self.digest = ""
        self._decoder = decoder
        self._on_change = on_change

    def apply(self, record: KeyedRecord, *, grace_s: float = 0.0) -> None:
        """Apply one record; `grace_s` has no effect, as a configuration is never removed."""
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
        self.digest = xxhash.xxh3_64_hexdigest(record.value)
        log_event(Event.CONFIG_IN_FORCE, version=table.version, offset=record.offset)
        self._on_change(table)

    def replace(self, page: KeyedPage, *, grace_s: float = 0.0) -> None:
        """Apply a page with the newest record of each key; without one, the configuration stays."""
        for record in page.records:
            self.apply(record, grace_s=grace_s)


class TargetSink:
    """Applies registrations of targets to the directory.

    Args:
        decoder: Decodes documents.
        directory: The known targets.
        on_new_run: Called with the instance id of each new run of a target.
        on_removed: Called with the instance id of each target that was removed.
    """

    def __init__(
        self,
        *,
        decoder: DocumentDecoder,
        directory: TargetDirectory,
        on_new_run: Callable[[str], None],
        on_removed: Callable[[str], None],
    ) -> None:
        self._decoder = decoder
        self._directory = directory
        self._on_new_run = on_new_run
        self._on_removed = on_removed
        self._pending_removals: dict[str, asyncio.TimerHandle] = {}

    def apply(self, record: KeyedRecord, *, grace_s: float = 0.0) -> None:
        """Apply one record.

        Args:
            record: The registration, or its removal.
            grace_s: Time after which a removal takes effect, unless the target registers again.
        """
        if record.value is None:
            self._apply_removal(record.key, grace_s)
            return
        try:
            target = self._decoder.decode_target(record.key, record.value)
        except ValueError as error:
            log_event(Event.ENTRY_UNREADABLE, name=record.key, error=str(error))
            self._remove(record.key, "its registration can't be decoded")
            return
        self._cancel_pending_removal(record.key)
        if self._directory.put(target):
            self._on_new_run(record.key)

    def replace(self, page: KeyedPage, *, grace_s: float = 0.0) -> None:
        """Apply a page with the newest record of each key; targets not in it are removed."""
        listed = {record.key for record in page.records}
        for target in list(self._directory.targets()):
            if target.instance_id not in listed:
                self._apply_removal(target.instance_id, grace_s)
        for record in page.records:
            self.apply(record, grace_s=grace_s)

    def _apply_removal(self, instance_id: str, grace_s: float) -> None:
        target = self._directory.find(instance_id)
        if target is None:
            return
        if grace_s <= 0 or not target.accepts_work:
            self._remove(instance_id, "its registration was removed")
            return
        # The registration may have expired because of a store outage; the target then renews it.
        if instance_id not in self._pending_removals:
            loop = asyncio.get_running_loop()
            self._pending_removals[instance_id] = loop.call_later(
                grace_s, self._remove, instance_id, "its registration expired and was not renewed"
            )

    def _cancel_pending_removal(self, instance_id: str) -> None:
        timer = self._pending_removals.pop(instance_id, None)
        if timer is not None:
            timer.cancel()

    def _remove(self, instance_id: str, reason: str) -> None:
        self._cancel_pending_removal(instance_id)
        if self._directory.remove(instance_id, reason):
            self._on_removed(instance_id)
