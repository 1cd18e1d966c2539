"""Exchange of load, target health, retry use and store records between an entry and its peers."""

import asyncio
from collections.abc import Callable, Iterable, Mapping

from ..channels import Transport
from ..evidence import EvidenceExchange
from ..fleet import UNSTATED_ERA, KeyedPage, KeyedRecord, Target, TargetDirectory, Topic
from ..kernel import TaskSet
from ..mesh import (
    EndedRunUse,
    Greeting,
    Mesh,
    RetryUse,
    StoreRecord,
    TopicEra,
    TopicPage,
    TopicRequest,
    TopicUpdate,
    Update,
    WorkShare,
)
from ..placement import LoadBoard, Work
from ._catch_up import MAX_PAGE_BYTES, REPLY_TIMEOUT_S, CatchUp, answer_request, held_checksum
from ._ended_runs import EndedRun
from ._followers import TopicFollower, find_follower
from ._retry_budget import RetryBudget
from ._target_sync import TargetSync

MAX_UNRESPONSIVE_PEER_WORK_S = 10.0


class PeerSync:
    """Synchronises this entry's state with its peers.

    Changes of this entry's own are collected and sent to all peers in one update, in the next
    iteration of the event loop. Updates of peers are applied to the load board, the directory, the
    retry budget and the followers.

    Args:
        greeting: Identifies this entry to its peers.
        transport: Carries the frames.
        tasks: Runs the links.
        board: The load of each target.
        directory: The known targets.
        budget: The retry budget.
        followers: The followers of the topics whose records are shared with peers.
        on_change: Called after peers' work was added or removed.
        on_breaker_opened: Called after the breaker of a fingerprint opened.
        on_peer_given_up: Called with the name of a peer that could not be reached for long.
        on_peer_cold: As in `TargetSync`.
        cold_targets: Returns the targets that are cold.

    Attributes:
        targets: What is learnt of targets.
        mesh: The links to the peers.
        evidence: What is known of what crashes targets.
    """

    def __init__(
        self,
        *,
        greeting: Greeting,
        transport: Transport,
        tasks: TaskSet,
        board: LoadBoard,
        directory: TargetDirectory,
        budget: RetryBudget,
        followers: Mapping[Topic, TopicFollower],
        on_change: Callable[[], None],
        on_breaker_opened: Callable[[], None] = lambda: None,
        on_peer_given_up: Callable[[str], None] = lambda name: None,
        on_peer_cold: Callable[[str, Target, float], None] = lambda peer, target, remaining_s: None,
        cold_targets: Callable[[], Iterable[Target]] = tuple,
        on_peer_lost: Callable[[], None] = lambda: None,
    ) -> None:
        self._board = board
        self._directory = directory
        self._budget = budget
        self._followers = followers
        self._on_change = on_change
        self._on_peer_given_up = on_peer_given_up
        self._on_peer_lost = on_peer_lost
        self._loop = asyncio.get_running_loop()
        self._greeting = greeting
        self._unheard_since_s: dict[str, float] = {}
        self._own_works: dict[str, tuple[Work, ...]] = {}
        self._peer_target_ids: dict[str, dict[str, tuple[str, ...]]] = {}
        self._pending_added: list[WorkShare] = []
        self._pending_begun: list[str] = []
        self._pending_ended: list[str] = []
        self._pending_topic_updates: list[TopicUpdate] = []
        self._has_new_offsets = False
        self._flush_handle: asyncio.Handle | None = None
        self.evidence = EvidenceExchange(
            on_pending=self._schedule_flush, on_opened=on_breaker_opened
        )
        self.targets = TargetSync(
            board=board,
            directory=directory,
            on_pending=self._schedule_flush,
            on_peer_cold=on_peer_cold,
            cold=cold_targets,
        )
        self.mesh = Mesh(greeting=greeting, transport=transport, listener=self, tasks=tasks)
        self._catch_up = CatchUp(followers=followers, request=self._request_page, tasks=tasks)

    @property
    def own_requests(self) -> int:
        """Return the number of requests that this entry has in flight."""
        return len(self._own_works)

    def work_added(self, works: tuple[Work, ...]) -> None:
        """Announce to the peers that a request was placed."""
        self._own_works[works[0].work_id] = works
        self._pending_added.extend(self._to_share(work) for work in works)
        self._schedule_flush()

    def work_begun(self, work_id: str) -> None:
        """Announce to the peers that a request had its first event."""
        self._pending_begun.append(work_id)
        self._schedule_flush()

    def work_ended(self, work_id: str) -> None:
        """Announce to the peers that a request has ended."""
        if self._own_works.pop(work_id, None) is not None:
            self._pending_ended.append(work_id)
            self._schedule_flush()

    def topic_read(self, topic: Topic, from_offset: int, page: KeyedPage) -> None:
        """Send to the peers the records that this entry read, so that they need not read them.

        Larger pages are only announced, as one record of another writer may be as large as all that
        a link queues; peers read them from the store, or ask for them part by part.
        """
        if sum(len(record.value or b"") for record in page.records) > MAX_PAGE_BYTES:
            self.offsets_changed()
            return
        self._pending_topic_updates.append(_to_topic_update(topic, from_offset, page))
        self._schedule_flush()

    def offsets_changed(self) -> None:
        """Announce to the peers how far this entry has read, without the records."""
        self._has_new_offsets = True
        self._schedule_flush()

    def topic_page(self, request: TopicRequest) -> TopicPage | None:
        """Return the reply to a peer's request; None if this entry has nothing newer."""
        return answer_request(self._followers, request)

    def peer_given_up(self, name: str) -> None:
        """Handle a peer that could not be reached for long."""
        self._unheard_since_s.pop(name, None)
        self._on_peer_given_up(name)

    def unheard_s(self) -> dict[str, float]:
        """Return the time since the link of each peer timed out, by name."""
        now_s = self._loop.time()
        return {name: now_s - since_s for name, since_s in self._unheard_since_s.items()}

    def snapshot(self) -> Update:
        """Return the full state, which is sent first on each new link."""
        works = [self._to_share(work) for group in self._own_works.values() for work in group]
        learnt = self.targets.snapshot()
        return Update(
            is_snapshot=True,
            added=tuple(works),
            retries=self._retry_use(),
            known_offsets=self.known_offsets(),
            known_eras=self.known_eras(),
            leaving=learnt.leaving,
            evidence=self.evidence.snapshot(),
            rates=learnt.rates,
            ended_runs=self._ended_run_uses(),
            cold=learnt.cold,
        )

    def heartbeat(self) -> Update:
        """Return the update that is sent as a heartbeat."""
        return Update(
            retries=self._retry_use(),
            known_offsets=self.known_offsets(),
            known_eras=self.known_eras(),
        )

    def known_offsets(self) -> dict[str, int]:
        """Return the next offset of each topic that has been read, by topic name."""
        return {
            topic.value: follower.next_offset
            for topic, follower in self._followers.items()
            if follower.next_offset is not None
        }

    def known_eras(self) -> tuple[TopicEra, ...]:
        """Return the eras of `known_offsets`, and checksums of what is held against the store."""
        eras = []
        for topic, follower in self._followers.items():
            era = UNSTATED_ERA if follower.position is None else follower.position.era
            held = held_checksum(follower)
            if era != UNSTATED_ERA or held:
                eras.append(TopicEra(topic=topic.value, era=era, held=held))
        return tuple(eras)

    def peer_connected(self, name: str, incarnation: str) -> None:
        """Handle the link of a run of a peer."""
        self._budget.begin_run(name, incarnation, self._loop.time())

    def apply_update(self, name: str, update: Update) -> None:
        """Apply an update of a peer."""
        now_s = self._loop.time()
        self._unheard_since_s.pop(name, None)
        self._apply_work(name, update, now_s)
        self.targets.apply(name, update)
        self.evidence.apply(name, update.evidence)
        for use in update.retries:
            self._budget.record_peer_use(name, use.service, use.requests, use.retries)
        self._apply_ended_runs(update.ended_runs, now_s)
        for news in update.news:
            self._apply_topic_update(news)
        if update.known_offsets is not None:
            self._catch_up.record_offsets(name, update.known_offsets, update.known_eras)
        self._budget.connected_entries = 1 + len(self.mesh.connected_peers)
        self._on_change()

    def _apply_work(self, name: str, update: Update, now_s: float) -> None:
        """Apply what a peer placed, and how its requests went on."""
        if update.is_snapshot:
            self._drop_peer_works(name, now_s)
        else:
            self._count_sends(update.added, now_s)
        target_ids_by_work = self._peer_target_ids.setdefault(name, {})
        self._apply_added(name, update.added, target_ids_by_work, now_s)
        for work_id in update.begun:
            self._board.record_first_event(work_id, target_ids_by_work.get(work_id, ()), now_s)
        for work_id in update.ended:
            self._board.remove(work_id, target_ids_by_work.pop(work_id, ()), now_s, by_peer=True)

    def _apply_ended_runs(self, uses: tuple[EndedRunUse, ...], now_s: float) -> None:
        """Apply the use of earlier runs of this entry and of its peers."""
        own = self._greeting
        for use in uses:
            is_own = use.entry == own.name and use.run != own.incarnation
            if is_own or use.entry in self.mesh.selected_peers:
                self._budget.record_ended_run(
                    EndedRun(
                        entry=use.entry,
                        run=use.run,
                        service=use.service,
                        requests=use.requests,
                        retries=use.retries,
                        ended_s=now_s - use.age_s,
                    )
                )

    def peer_lost(self, name: str, *, timed_out: bool) -> None:
        """Drop the work of a peer whose inbound link was lost.

        After a timeout of the link (`timed_out`) the peer may only be stalled or cut off while
        targets continue its work, so that work is kept until its expected end, at most for
        `MAX_UNRESPONSIVE_PEER_WORK_S`.
        """
        if timed_out:
            self._unheard_since_s[name] = self._loop.time()
            self._drop_peer_works_when_due(name)
        else:
            self._drop_peer_works(name, self._loop.time())
        self._budget.end_run(name, self._loop.time())
        self._catch_up.forget_peer(name)
        self.evidence.forget_peer(name)
        self._on_peer_lost()
        self._budget.connected_entries = 1 + len(self.mesh.connected_peers)
        self._on_change()

    def _drop_peer_works_when_due(self, name: str) -> None:
        now_s = self._loop.time()
        for work_id, target_ids in self._peer_target_ids.get(name, {}).items():
            works = (self._board.load(target).works.get(work_id) for target in target_ids)
            end_s = max((w.expected_end_s for w in works if w is not None), default=now_s)
            remaining_s = min(MAX_UNRESPONSIVE_PEER_WORK_S, max(0.0, end_s - now_s))
            self._loop.call_later(remaining_s, self._drop_work_if_disconnected, name, work_id)

    def _drop_work_if_disconnected(self, name: str, work_id: str) -> None:
        if name not in self.mesh.connected_peers:
            target_ids = self._peer_target_ids.get(name, {}).pop(work_id, ())
            self._board.remove(work_id, target_ids, self._loop.time())
            self._on_change()

    def _apply_added(
        self,
        name: str,
        shares: tuple[WorkShare, ...],
        target_ids_by_work: dict[str, tuple[str, ...]],
        now_s: float,
    ) -> None:
        targets: dict[str, list[str]] = {}
        for share in shares:
            self._board.load(share.target_id).add(_to_work(name, share, now_s))
            targets.setdefault(share.work_id, []).append(share.target_id)
        for work_id, target_ids in targets.items():
            target_ids_by_work[work_id] = tuple(target_ids)

    def _count_sends(self, shares: tuple[WorkShare, ...], now_s: float) -> None:
        for share in shares:
            target = self._directory.find(share.target_id)
            if target is not None and share.writes:
                target.availability.record_send(now_s, is_own=False)

    def _apply_topic_update(self, news: TopicUpdate) -> None:
        """Apply `news`, the records of one topic that a peer read; unknown topics are ignored."""
        follower = find_follower(self._followers, news.topic)
        if follower is None:
            return
        page = KeyedPage(
            records=tuple(
                KeyedRecord(offset=r.offset, key=r.key, value=r.value) for r in news.records
            ),
            next_offset=news.next_offset,
            era=news.era,
        )
        if news.from_offset is None:
            follower.apply_catch_up(page, is_complete=True)
        else:
            follower.apply_read_of_peer(news.from_offset, page)

    async def _request_page(self, peer: str, request: TopicRequest) -> TopicPage | None:
        return await self.mesh.request(peer, request, timeout_s=REPLY_TIMEOUT_S)

    def _drop_peer_works(self, name: str, now_s: float) -> None:
        for work_id, target_ids in self._peer_target_ids.pop(name, {}).items():
            self._board.remove(work_id, target_ids, now_s)

    def _to_share(self, work: Work) -> WorkShare:
        return WorkShare(
            work_id=work.work_id,
            target_id=work.target_id,
            age_s=self._loop.time() - work.placed_s,
            read_s=work.read_s,
            read_tokens=work.read_tokens,
            kv_tokens=work.kv_tokens,
            context_tokens=work.context_tokens,
            writes=work.writes,
            max_gap_s=work.max_gap_s,
            due_in_s=work.due_in_s,
            worth=work.worth,
            write_s=work.write_s,
            has_begun=work.has_begun,
        )

    def _ended_run_uses(self) -> tuple[EndedRunUse, ...]:
        now_s = self._loop.time()
        return tuple(
            EndedRunUse(
                entry=ended.entry,
                run=ended.run,
                service=ended.service,
                requests=ended.requests,
                retries=ended.retries,
                age_s=now_s - ended.ended_s,
            )
            for ended in self._budget.ended_runs(now_s)
        )

    def _retry_use(self) -> tuple[RetryUse, ...]:
        now_s = self._loop.time()
        return tuple(
            RetryUse(service=service, requests=requests, retries=retries)
            for service, requests, retries in self._budget.own_use(now_s)
        )

    def _schedule_flush(self) -> None:
        if self._flush_handle is None:
            self._flush_handle = self._loop.call_soon(self._flush)

    def _flush(self) -> None:
        self._flush_handle = None
        evidence = self.evidence.take_pending()
        learnt = self.targets.take()
        has_offsets = self._has_new_offsets or learnt.needs_offsets or not evidence.is_empty
        update = Update(
            added=tuple(self._pending_added),
            begun=tuple(self._pending_begun),
            ended=tuple(self._pending_ended),
            news=tuple(self._pending_topic_updates),
            failures=learnt.failures,
            paces=learnt.paces,
            known_offsets=self.known_offsets() if has_offsets else None,
            known_eras=self.known_eras() if has_offsets else (),
            leaving=learnt.leaving,
            evidence=evidence,
            rates=learnt.rates,
            cold=learnt.cold,
        )
        self._has_new_offsets = False
        self._pending_added, self._pending_begun, self._pending_ended = [], [], []
        self._pending_topic_updates = []
        self.mesh.broadcast(update)


def _to_topic_update(topic: Topic, from_offset: int, page: KeyedPage) -> TopicUpdate:
    return TopicUpdate(
        topic=topic.value,
        from_offset=from_offset,
        next_offset=page.next_offset,
        records=tuple(StoreRecord(offset=r.offset, key=r.key, value=r.value) for r in page.records),
        era=page.era,
    )


def _to_work(owner: str, share: WorkShare, now_s: float) -> Work:
    return Work(
        work_id=share.work_id,
        owner=owner,
        target_id=share.target_id,
        read_s=share.read_s,
        read_tokens=share.read_tokens,
        kv_tokens=share.kv_tokens,
        context_tokens=share.context_tokens,
        writes=share.writes,
        max_gap_s=share.max_gap_s,
        due_in_s=share.due_in_s,
        worth=share.worth,
        write_s=share.write_s,
        placed_s=now_s - share.age_s,
        has_begun=share.has_begun,
    )
