"""Brings an entry that is behind on a topic up to date, by asking one peer at a time.

Serves entries that the store refuses or that lost their connection to it. Peers announce how far
they have read; an entry that stays behind asks one of them for what it lacks. Nobody sends records
to an entry that did not ask, so one that is behind costs only the peer that answers.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Mapping

from ..fleet import KeyedPage, KeyedRecord, Topic
from ..kernel import Event, TaskSet, log_event
from ..mesh import StoreRecord, TopicPage, TopicRequest, pack_records, unpack_records
from ._followers import TopicFollower, find_follower

# An entry's own read usually returns within this time of a peer's.
OWN_READ_DELAY_S = 0.3
# An entry that has read nothing yet can't serve, so it asks as soon as its link is open.
START_DELAY_S = 0.03
MAX_PAUSE_S = 3.0
PAUSE_JITTER = 0.3
REPLY_TIMEOUT_S = 1.0
MAX_PAGE_BYTES = 64 * 1024

RequestPage = Callable[[str, TopicRequest], Awaitable[TopicPage | None]]


class CatchUp:
    """Compares the offsets of this entry with those of its peers, and asks for missing records.

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
        self._peer_offsets: dict[Topic, dict[str, int]] = {topic: {} for topic in followers}
        self._running: set[Topic] = set()

    def record_offsets(self, peer: str, offsets: Mapping[str, int]) -> None:
        """Record how far a peer has read; topics that this entry does not know are ignored."""
        for topic, follower in self._followers.items():
            offset = offsets.get(topic.value)
            if offset is None:
                continue
            self._peer_offsets[topic][peer] = offset
            if offset > (follower.next_offset or 0) and topic not in self._running:
                self._running.add(topic)
                self._tasks.start(self._run(topic), name=f"catch up on {topic.value}")

    def forget_peer(self, peer: str) -> None:
        """Discard the offsets of a peer."""
        for offsets in self._peer_offsets.values():
            offsets.pop(peer, None)

    async def _run(self, topic: Topic) -> None:
        try:
            await self._catch_up(topic)
        finally:
            self._running.discard(topic)

    async def _catch_up(self, topic: Topic) -> None:
        follower = self._followers[topic]
        pause_s = self._first_pause_s(follower)
        asked = ""
        while True:
            await asyncio.sleep(pause_s * random.uniform(1.0, 1.0 + PAUSE_JITTER))
            ahead = self._peers_ahead(topic, follower)
            if not ahead:
                return
            # The store's answer to this entry's long poll may have been lost.
            follower.renew_poll()
            others = [peer for peer in ahead if peer != asked]
            asked = random.choice(others or ahead)
            pause_s = min(MAX_PAUSE_S, 2 * pause_s)
            complete_until = follower.next_offset or 0
            while await self._ask(asked, topic, follower, complete_until):
                pause_s = OWN_READ_DELAY_S

    def _first_pause_s(self, follower: TopicFollower) -> float:
        if follower.next_offset is not None:
            return OWN_READ_DELAY_S
        reading_for_s = asyncio.get_running_loop().time() - follower.created_s
        return max(START_DELAY_S, OWN_READ_DELAY_S - reading_for_s)

    def _peers_ahead(self, topic: Topic, follower: TopicFollower) -> list[str]:
        known = follower.next_offset or 0
        return [peer for peer, offset in self._peer_offsets[topic].items() if offset > known]

    async def _ask(
        self, peer: str, topic: Topic, follower: TopicFollower, complete_until: int
    ) -> bool:
        """Ask a peer for one page; return whether it had records that were missing."""
        before = follower.next_offset or 0
        if self._peer_offsets[topic].get(peer, 0) <= before:
            return False
        request = TopicRequest(topic=topic.value, from_offset=before, complete_until=complete_until)
        reply = await self._request(peer, request)
        if reply is None:
            return False
        page = _to_page(reply)
        log_event(
            Event.CONFIG_FROM_PEER,
            topic=topic.value,
            peer=peer,
            from_offset=before,
            offset=page.next_offset,
            records=len(page.records),
        )
        follower.apply_catch_up(page, is_complete=reply.is_complete, complete_until=complete_until)
        return (follower.next_offset or 0) > before


def answer_request(
    followers: Mapping[Topic, TopicFollower], request: TopicRequest
) -> TopicPage | None:
    """Return the reply to a peer's request; None if this entry has nothing newer."""
    follower = find_follower(followers, request.topic)
    if follower is None:
        return None
    since = follower.page_since(
        request.from_offset, complete_until=request.complete_until, max_bytes=MAX_PAGE_BYTES
    )
    if since is None:
        return None
    records = [StoreRecord(offset=r.offset, key=r.key, value=r.value) for r in since.page.records]
    return TopicPage(
        topic=request.topic,
        next_offset=since.page.next_offset,
        is_complete=since.is_complete,
        records=pack_records(records),
    )


def _to_page(reply: TopicPage) -> KeyedPage:
    records = unpack_records(reply.records)
    return KeyedPage(
        records=tuple(KeyedRecord(offset=r.offset, key=r.key, value=r.value) for r in records),
        next_offset=reply.next_offset,
    )
