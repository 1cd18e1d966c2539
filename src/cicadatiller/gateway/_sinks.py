"""The sink that applies records of the store to the configuration."""

from collections.abc import Callable, Mapping
from typing import Protocol

import xxhash

from ..fleet import KeyedPage, KeyedRecord, TargetRecord
from ..kernel import Event, log_event
from ..routes import RouteTable

CONFIGURATION_KEY = "config"


class DocumentDecoder(Protocol):
    """Decodes the documents of the store. Methods raise `ValueError` for invalid documents."""

    def decode_configuration(self, value: bytes) -> RouteTable:
        """Decode a configuration."""

    def find_evacuated(self, key: str) -> str | None:
        """Return the data centre that a key of the operator evacuates; None for other keys."""

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
        self._record: KeyedRecord | None = None
        # The version in the store; lower than the one in force after the store came back from an
        # older copy, until the operator has written again.
        self._listed_version = 0

    def apply(self, record: KeyedRecord, *, grace_s: float = 0.0) -> None:
        """Apply one record; `grace_s` has no effect, as a configuration is never removed."""
        version = self._put_in_force(record)
        if version is not None:
            self._listed_version = version

    def replace(self, page: KeyedPage, *, grace_s: float = 0.0) -> None:
        """Apply a page with the newest record of each key; without one, the configuration stays."""
        for record in page.records:
            self.apply(record, grace_s=grace_s)

    def merge(self, page: KeyedPage, *, before: Mapping[str, KeyedRecord]) -> None:
        """Apply the first page of a new era; a configuration that is newer than its stays."""
        self._listed_version = 0
        self.replace(page)

    def held(self) -> tuple[KeyedRecord, ...]:
        """Return the configuration in force, if the store has an older one."""
        if self._record is None or self.table is None or self.table.version <= self._listed_version:
            return ()
        return (self._record,)

    def apply_held(self, records: tuple[KeyedRecord, ...]) -> None:
        """Apply the configuration that a peer has in force, if it is newer."""
        for record in records:
            self._put_in_force(record)

    def _put_in_force(self, record: KeyedRecord) -> int | None:
        """Put a configuration in force if it is newer; return its version, None if unreadable."""
        if record.key != CONFIGURATION_KEY or record.value is None:
            return None
        try:
            table = self._decoder.decode_configuration(record.value)
        except ValueError as error:
            log_event(Event.CONFIG_UNREADABLE, offset=record.offset, error=str(error))
            return None
        if self.table is not None and table.version <= self.table.version:
            return table.version
        self.table = table
        self._record = record
        self.digest = xxhash.xxh3_64_hexdigest(record.value)
        log_event(Event.CONFIG_IN_FORCE, version=table.version, offset=record.offset)
        self._on_change(table)
        return table.version
