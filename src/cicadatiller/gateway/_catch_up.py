"""Brings an entry that is behind on a topic up to date, by asking one peer at a time.

Serves entries that the store refuses or that lost their connection to it. Peers announce how far
they have read; an entry that stays behind asks one of them for what it lacks. Nobody sends records
to an entry that did not ask, so one that is behind costs only the peer that answers.
"""

import asyncio
import random
import zlib
from collections.abc import Awaitable, Callable, Iterable, Mapping

from ..fleet import KeyedPage, KeyedRecord, StorePosition, Topic
from ..kernel import Event, TaskSet, log_event
from ..mesh import (
    StoreRecord,
    TopicEra,
    TopicPage,
    TopicRequest,
    pack_records,
    unpack_records,
)
from ._followers import TopicFollower, find_follower

# An entry's own read usually returns within this time of a peer's.
OWN_READ_DELAY_S = 0.3
# An entry that has read nothing yet can't serve, so it asks as soon as its link is open.
START_DELAY_S = 0.03
MAX_PAUSE_S = 3.0
PAUSE_JITTER = 0.3
REPLY_TIMEOUT_S = 1.0
MAX_PAGE_BYTES = 64 * 1024
MAX_SEEN_CHECKSUMS = 1024

RequestPage = Callable[[str, TopicRequest], Awaitable[TopicPage | None]]


class CatchUp:
    """Compares the positions of this entry with those of its peers, and asks for missing records.

    Peers that hold records against those of the store, which came back from an older copy, are
    asked for them once.

    Args:
        followers: The followers of the topics.
        request: Sends a request to a peer; returns None if there is no reply.
        tasks: Runs the requests.
    """

    def __init__(
        self, *, followers: Mapping[Topic, TopicFollower], request: RequestPage, tasks: TaskSet
    ) -> None:
        self._followers = followers
        self._request = request
        self._tasks = tasks
        self._peer_positions: dict[Topic, dict[str, StorePosition]] = {t: {} for t in followers}
        # Checksums of the records that peers hold, and those that were received.
        self._peer_held: dict[Topic, dict[str, int]] = {topic: {} for topic in followers}
        self._seen_held: dict[Topic, set[int]] = {topic: set() for topic in followers}
        self._running: set[Topic] = set()

    def record_offsets(
        self, peer: str, offsets: Mapping[str, int], eras: tuple[TopicEra, ...] = ()
    ) -> None:
        """Record how far a peer has read; topics that this entry does not know are ignored."""
        eras_by_topic = {known.topic: known for known in eras}
        for topic, follower in self._followers.items():
            offset = offsets.get(topic.value)
            if offset is None:
                continue
            known = eras_by_topic.get(topic.value, TopicEra(topic=topic.value))
            self._peer_positions[topic][peer] = StorePosition(era=known.era, offset=offset)
            self._peer_held[topic][peer] = known.held
            follower.era.observe(known.era)
            if self._is_needed(peer, topic, follower) and topic not in self._running:
                self._running.add(topic)
                self._tasks.start(self._run(topic), name=f"catch up on {topic.value}")

    def forget_peer(self, peer: str) -> None:
        """Discard what a peer has announced."""
        for topic in self._followers:
            self._peer_positions[topic].pop(peer, None)
            self._peer_held[topic].pop(peer, None)

    async def _run(self, topic: Topic) -> None:
        try:
            await self._catch_up(topic)
        finally:
            self._running.discard(topic)

    async def _catch_up(self, topic: Topic) -> None:
        follower = self._followers[topic]
        pause_s = self._first_pause_s(topic, follower)
        # Those asked since each of the needed peers was; the last one comes last.
        asked: list[str] = []
        while True:
            await asyncio.sleep(pause_s * random.uniform(1.0, 1.0 + PAUSE_JITTER))
            needed = [
                peer
                for peer in self._peer_positions[topic]
                if self._is_needed(peer, topic, follower)
            ]
            if not needed:
                return
            if any(self._is_ahead(peer, topic, follower) for peer in needed):
                # The store's answer to this entry's long poll may have been lost.
                follower.renew_poll()
            peer = _choose_next(needed, asked)
            pause_s = min(MAX_PAUSE_S, 2 * pause_s)
            complete_until = follower.position or StorePosition()
            while await self._ask(peer, topic, follower, complete_until):
                pause_s = OWN_READ_DELAY_S

    def _first_pause_s(self, topic: Topic, follower: TopicFollower) -> float:
        if any(self._holds_unseen(peer, topic, follower) for peer in self._peer_held[topic]):
            return START_DELAY_S
        if follower.position is not None:
            return OWN_READ_DELAY_S
        reading_for_s = asyncio.get_running_loop().time() - follower.created_s
        return max(START_DELAY_S, OWN_READ_DELAY_S - reading_for_s)

    def _is_needed(self, peer: str, topic: Topic, follower: TopicFollower) -> bool:
        is_ahead = self._is_ahead(peer, topic, follower)
        return is_ahead or self._holds_unseen(peer, topic, follower)

    def _is_ahead(self, peer: str, topic: Topic, follower: TopicFollower) -> bool:
        known = follower.position or StorePosition()
        return self._peer_positions[topic].get(peer, known) > known

    def _holds_unseen(self, peer: str, topic: Topic, follower: TopicFollower) -> bool:
        """Return whether a peer holds records against the store's that this entry may lack.

        Of another era, the peer or this entry has yet to read what the store lists.
        """
        checksum = self._peer_held[topic].get(peer, 0)
        if not checksum or checksum in self._seen_held[topic] or follower.position is None:
            return False
        is_same_era = self._peer_positions[topic][peer].era == follower.position.era
        return is_same_era and checksum != held_checksum(follower)

    async def _ask(
        self, peer: str, topic: Topic, follower: TopicFollower, complete_until: StorePosition
    ) -> bool:
        """Ask a peer for one page; return whether it had records that were missing."""
        before = follower.position or StorePosition()
        if not self._is_needed(peer, topic, follower):
            return False
        if complete_until.era < before.era and complete_until.offset:
            # The first page of the new era had the newest record of every key.
            complete_until = before
        wanted = self._peer_held[topic][peer]
        request = TopicRequest(
            topic=topic.value,
            from_offset=before.offset,
            complete_until=complete_until.offset,
            era=before.era,
            wants_held=self._holds_unseen(peer, topic, follower),
        )
        reply = await self._request(peer, request)
        if reply is None:
            return False
        page = _to_page(reply)
        log_event(
            Event.CONFIG_FROM_PEER,
            topic=topic.value,
            peer=peer,
            from_offset=before.offset,
            era=page.era,
            offset=page.next_offset,
            records=len(page.records),
        )
        follower.apply_catch_up(
            page, is_complete=reply.is_complete, complete_until=complete_until.offset
        )
        if request.wants_held:
            self._apply_held(topic, follower, reply, wanted)
        return (follower.position or StorePosition()) > before

    def _apply_held(
        self, topic: Topic, follower: TopicFollower, reply: TopicPage, checksum: int
    ) -> None:
        seen = self._seen_held[topic]
        if len(seen) >= MAX_SEEN_CHECKSUMS:
            seen.clear()
        seen.add(checksum)
        follower.apply_held(_to_records(reply.held))


def _choose_next(needed: list[str], asked: list[str]) -> str:
    """Return a peer that was not asked, or after each was, another one than the last; note it."""
    others = [peer for peer in needed if peer not in asked]
    if not others:
        others = [peer for peer in needed if peer != asked[-1]] or needed
        asked.clear()
    peer = random.choice(others)
    asked.append(peer)
    return peer


def held_checksum(follower: TopicFollower) -> int:
    """Return a checksum of the records that a follower holds against the store's; 0 if none."""
    checksum = 0
    for record in sorted(follower.held(), key=lambda record: record.key):
        checksum = zlib.crc32(record.value or b"", zlib.crc32(record.key.encode(), checksum))
    return checksum


def answer_request(
    followers: Mapping[Topic, TopicFollower], request: TopicRequest
) -> TopicPage | None:
    """Return the reply to a peer's request; None if this entry has nothing newer."""
    follower = find_follower(followers, request.topic)
    if follower is None:
        return None
    end = follower.position or StorePosition()
    era = end.era if request.era is None else request.era
    since = follower.page_since(
        StorePosition(era=era, offset=request.from_offset),
        complete_until=request.complete_until,
        max_bytes=MAX_PAGE_BYTES,
    )
    held = _pack(follower.held()) if request.wants_held else b""
    if since is None:
        if not held:
            return None
        return TopicPage(topic=request.topic, next_offset=end.offset, era=end.era, held=held)
    return TopicPage(
        topic=request.topic,
        next_offset=since.page.next_offset,
        is_complete=since.is_complete,
        records=_pack(since.page.records),
        era=since.page.era,
        held=held,
    )


def _to_page(reply: TopicPage) -> KeyedPage:
    return KeyedPage(
        records=_to_records(reply.records), next_offset=reply.next_offset, era=reply.era
    )


def _pack(records: Iterable[KeyedRecord]) -> bytes:
    return pack_records(StoreRecord(offset=r.offset, key=r.key, value=r.value) for r in records)


def _to_records(packed: bytes) -> tuple[KeyedRecord, ...]:
    records = unpack_records(packed)
    return tuple(KeyedRecord(offset=r.offset, key=r.key, value=r.value) for r in records)
