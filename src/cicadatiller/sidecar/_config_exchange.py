"""Exchanges configuration between a sidecar and the peers that dial it."""

import asyncio
from collections.abc import Callable

from ..backing import LogRecord
from ..config import ConfigStore
from ..kernel import Event, TaskSet, log_event, rendezvous_weight
from ..peer import ConfigRecord, ConfigRecords, FollowConfig, LoadReport, PeerLink, Pong

FOLLOW_TIMEOUT_S = 30.0


class ConfigExchange:
    """Applies newer records from peers, sends peers the records they lack, and follows one entry.

    The followed entry sends each change immediately. It is the connected entry that a rendezvous
    hash ranks first, so that each entry is followed by about the same number of sidecars.

    Args:
        node_id: Unique id of this sidecar.
        store: The current configuration of this sidecar.
        load_report: Returns the current load.
    """

    def __init__(
        self, *, node_id: str, store: ConfigStore, load_report: Callable[[], LoadReport]
    ) -> None:
        self._node_id = node_id
        self._store = store
        self._load_report = load_report
        self._followed: PeerLink | None = None
        self._tasks = TaskSet()

    async def close(self) -> None:
        """Cancel the messages that are still being sent."""
        await self._tasks.close()

    def apply_records(self, link: PeerLink, message: ConfigRecords) -> None:
        """Apply records from a peer and report the new offset to it.

        Without the report the peer would learn the offset only from the next heartbeat.
        """
        if self._store.advance(to_log_records(message)):
            log_event(Event.CONFIG_FROM_PEER, peer=link.name, offset=self._store.state.offset)
        newest = max((record.offset for record in message.records), default=0)
        # A report with an older offset would make the peer resend the same records at once.
        if self._store.state.offset >= newest:
            self._send(link, Pong(load=self._load_report()))

    def handle_offset(self, link: PeerLink) -> None:
        """Send a peer the records that it lacks; follow it if the hash ranks it first."""
        self._follow(link)
        missing = self._store.newer_than(link.config_offset)
        if missing:
            link.config_offset = missing[-1].offset
            self._send(link, ConfigRecords(records=to_config_records(missing)))

    def _follow(self, link: PeerLink) -> None:
        if not link.offers_config or link is self._followed:
            return
        before = self._active_followed()
        if before is not None:
            if self._rank(before) >= self._rank(link):
                return
            self._send(before, FollowConfig(load=self._load_report(), wanted=False))
        self._followed = link
        self._send(link, FollowConfig(load=self._load_report()))

    def _active_followed(self) -> PeerLink | None:
        link = self._followed
        if link is None or link.closed:
            return None
        idle_s = asyncio.get_running_loop().time() - link.last_frame_s
        return link if idle_s < FOLLOW_TIMEOUT_S else None

    def _rank(self, link: PeerLink) -> tuple[int, str]:
        return rendezvous_weight(self._node_id, link.name), link.name

    def _send(self, link: PeerLink, message: object) -> None:
        self._tasks.start(_send_message(link, message), name=f"configuration to {link.name}")


async def _send_message(link: PeerLink, message: object) -> None:
    await link.send(message)


def to_log_records(message: ConfigRecords) -> tuple[LogRecord, ...]:
    """Convert the records of a message to log records."""
    return tuple(
        LogRecord(offset=record.offset, time_ms=record.time_ms, payload=record.payload)
        for record in message.records
    )


def to_config_records(records: tuple[LogRecord, ...]) -> tuple[ConfigRecord, ...]:
    """Convert log records to their wire form."""
    return tuple(
        ConfigRecord(offset=record.offset, time_ms=record.time_ms, payload=record.payload)
        for record in records
    )
