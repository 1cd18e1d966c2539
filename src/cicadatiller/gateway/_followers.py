"""Follows the topics of the store."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from ..fleet import (
    HistoryLostError,
    KeyedLog,
    KeyedPage,
    KeyedRecord,
    StoreUnavailableError,
    TargetDirectory,
    TargetRecord,
    Topic,
)
from ..kernel import Event, log_event
from ..routes import RouteTable

CONFIGURATION_KEY = "config"
LONG_POLL_S = 10.0
RETRY_DELAY_S = 0.25
TARGET_READ_INTERVAL_S = 0.6


class DocumentDecoder(Protocol):
    """Decodes the documents of the store. Methods raise `ValueError` for what can't be read."""

    def decode_configuration(self, value: bytes) -> RouteTable:
        """Return a configuration."""

    def decode_target(self, key: str, value: bytes) -> TargetRecord:
        """Return what a target registered."""


class TopicFollower:
    """Reads one topic as it grows.

    Args:
        log: The store.
        topic: What to follow.
        apply: Takes each record.
        replace: Takes the newest record of every key, when history was dropped or at the start.
        wait_s: How long a read waits for a record.
        interval_s: The pause between reads.
    """

    def __init__(
        self,
        *,
        log: KeyedLog,
        topic: Topic,
        apply: Callable[[KeyedRecord], None],
        replace: Callable[[KeyedPage], None],
        wait_s: float = 0.0,
        interval_s: float = 0.0,
    ) -> None:
        self._log = log
        self._topic = topic
        self._apply = apply
        self._replace = replace
        self._wait_s = wait_s
        self._interval_s = interval_s
        self._next_offset: int | None = None

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            try:
                await self._read_once()
            except StoreUnavailableError as error:
                log_event(Event.LOG_READ_FAILED, topic=self._topic.value, error=str(error))
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            await asyncio.sleep(self._interval_s)

    async def _read_once(self) -> None:
        if self._next_offset is None:
            page = await self._log.read_newest(self._topic)
            self._replace(page)
        else:
            try:
                page = await self._log.read(self._topic, self._next_offset, wait_s=self._wait_s)
            except HistoryLostError:
                self._next_offset = None
                return
            for record in page.records:
                self._apply(record)
        self._next_offset = page.next_offset


class ConfigurationStore:
    """The configuration in force; versions only move forward.

    Attributes:
        table: The configuration; None while none is known.
    """

    def __init__(
        self, *, decoder: DocumentDecoder, on_change: Callable[[RouteTable], None]
    ) -> None:
        self.table: RouteTable | None = None
        self._decoder = decoder
        self._on_change = on_change

    def apply(self, record: KeyedRecord) -> None:
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

    def replace(self, page: KeyedPage) -> None:
        """Take the newest records."""
        for record in page.records:
            self.apply(record)


class TargetFeed:
    """Brings what targets registered into the directory."""

    def __init__(self, *, decoder: DocumentDecoder, directory: TargetDirectory) -> None:
        self._decoder = decoder
        self._directory = directory

    def apply(self, record: KeyedRecord) -> None:
        """Take a record of the topic."""
        if record.value is None:
            self._directory.remove(record.key, "its entry was removed")
            return
        try:
            self._directory.put(self._decoder.decode_target(record.key, record.value))
        except ValueError as error:
            log_event(Event.ENTRY_UNREADABLE, name=record.key, error=str(error))
            self._directory.remove(record.key, "its entry can't be read")

    def replace(self, page: KeyedPage) -> None:
        """Take the newest records; what they lack is gone."""
        listed = {record.key for record in page.records}
        for target in list(self._directory.targets()):
            if target.instance_id not in listed:
                self._directory.remove(target.instance_id, "it is listed no more")
        for record in page.records:
            self.apply(record)
