"""What this entry and its peers tell each other."""

import asyncio
from collections.abc import Callable, Mapping

from ..fleet import KeyedPage, KeyedRecord, TargetDirectory, Topic
from ..kernel import TaskSet
from ..mesh import (
    Greeting,
    Mesh,
    RetryUse,
    StoreRecord,
    TargetFailure,
    TargetPace,
    TopicNews,
    Update,
    WorkShare,
)
from ..peer import Transport
from ..placement import LoadBoard, Work
from ._followers import TopicFollower
from ._retry_budget import RetryBudget

SHARE_DELAY_S = 0.3
MAX_SILENT_WORK_S = 10.0


class Team:
    """Keeps this entry's view of the fleet and that of its peers alike.

    Args:
        greeting: What this entry says of itself.
        transport: Carries the frames.
        tasks: Runs the links.
        board: The work of all targets.
        directory: The targets.
        budget: The retry budget.
        followers: The topics of the store that are shared.
        on_change: Called when work of peers was taken in.
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
    ) -> None:
        self._board = board
        self._directory = directory
        self._budget = budget
        self._followers = followers
        self._on_change = on_change
        self._loop = asyncio.get_running_loop()
        self._own: dict[str, tuple[Work, ...]] = {}
        self._theirs: dict[str, dict[str, tuple[str, ...]]] = {}
        self._added: list[WorkShare] = []
        self._begun: list[str] = []
        self._ended: list[str] = []
        self._news: list[TopicNews] = []
        self._failures: list[TargetFailure] = []
        self._paces: list[TargetPace] = []
        self._flush: asyncio.Handle | None = None
        self.mesh = Mesh(greeting=greeting, transport=transport, listener=self, tasks=tasks)

    def work_added(self, works: tuple[Work, ...]) -> None:
        """Tell peers of a request that was placed."""
        self._own[works[0].work_id] = works
        self._added.extend(self._share(work) for work in works)
        self._schedule()

    def work_begun(self, work_id: str) -> None:
        """Tell peers that a request's first event was seen."""
        self._begun.append(work_id)
        self._schedule()

    def work_ended(self, work_id: str) -> None:
        """Tell peers that a request is over."""
        if self._own.pop(work_id, None) is not None:
            self._ended.append(work_id)
            self._schedule()

    def target_failed(self, target_id: str, reason: str, *, is_helper: bool = False) -> None:
        """Tell peers of a target that failed, by itself or as a helper."""
        failure = TargetFailure(target_id=target_id, reason=reason, is_helper=is_helper)
        self._failures.append(failure)
        self._schedule()

    def target_paced(self, target_id: str, pace: float) -> None:
        """Tell peers how fast a target says it is."""
        self._paces.append(TargetPace(target_id=target_id, pace=pace))
        self._schedule()

    def topic_read(self, topic: Topic, from_offset: int, page: KeyedPage) -> None:
        """Tell peers what was read of the store."""
        self._news.append(_news(topic, from_offset, page))
        self._schedule()

    def snapshot(self) -> Update:
        """Return all that a peer has to know."""
        works = [self._share(work) for group in self._own.values() for work in group]
        return Update(
            is_snapshot=True,
            added=tuple(works),
            retries=self._retry_use(),
            known_offsets=self.known_offsets(),
        )

    def heartbeat(self) -> Update:
        """Return what is said when there is nothing new."""
        return Update(retries=self._retry_use(), known_offsets=self.known_offsets())

    def known_offsets(self) -> dict[str, int]:
        """Return the next offset of each topic that is known."""
        return {
            topic.value: follower.next_offset
            for topic, follower in self._followers.items()
            if follower.next_offset is not None
        }

    def peer_said(self, name: str, update: Update) -> None:
        """Take what a peer says."""
        now_s = self._loop.time()
        if update.is_snapshot:
            self._forget(name, now_s)
        theirs = self._theirs.setdefault(name, {})
        self._take_added(name, update.added, theirs, now_s)
        for work_id in update.begun:
            self._board.begin(work_id, theirs.get(work_id, ()), now_s)
        for work_id in update.ended:
            self._board.remove(work_id, theirs.pop(work_id, ()), now_s, by_peer=True)
        for failure in update.failures:
            self._take_failure(name, failure, now_s)
        for paced in update.paces:
            self._board.load(paced.target_id).note_pace(paced.pace)
        for use in update.retries:
            self._budget.note_peer(name, use.service, use.requests, use.retries)
        for news in update.news:
            self._take_news(news)
        if update.known_offsets is not None:
            self._help_behind(update.known_offsets)
        self._budget.entries = 1 + len(self.mesh.heard_peers)
        self._on_change()

    def peer_lost(self, name: str, *, is_silent: bool) -> None:
        """Forget the work of a peer that is gone.

        One that only fell silent may stand still or be cut off while targets go on with its work.
        """
        if is_silent:
            self._forget_as_it_ends(name)
        else:
            self._forget(name, self._loop.time())
        self._budget.forget_peer(name)
        self._budget.entries = 1 + len(self.mesh.heard_peers)
        self._on_change()

    def _forget_as_it_ends(self, name: str) -> None:
        now_s = self._loop.time()
        for work_id, target_ids in self._theirs.get(name, {}).items():
            works = (self._board.load(target).works.get(work_id) for target in target_ids)
            ends_s = max((w.expected_end_s for w in works if w is not None), default=now_s)
            rest_s = min(MAX_SILENT_WORK_S, max(0.0, ends_s - now_s))
            self._loop.call_later(rest_s, self._forget_unheard, name, work_id)

    def _forget_unheard(self, name: str, work_id: str) -> None:
        if name not in self.mesh.heard_peers:
            target_ids = self._theirs.get(name, {}).pop(work_id, ())
            self._board.remove(work_id, target_ids, self._loop.time())
            self._on_change()

    def _take_added(
        self,
        name: str,
        shares: tuple[WorkShare, ...],
        theirs: dict[str, tuple[str, ...]],
        now_s: float,
    ) -> None:
        targets: dict[str, list[str]] = {}
        for share in shares:
            self._board.load(share.target_id).add(_work(name, share, now_s))
            targets.setdefault(share.work_id, []).append(share.target_id)
        for work_id, target_ids in targets.items():
            theirs[work_id] = tuple(target_ids)

    def _take_failure(self, name: str, failure: TargetFailure, now_s: float) -> None:
        target = self._directory.find(failure.target_id)
        if target is None:
            return
        if failure.is_helper:
            target.note_help_failed(now_s)
        else:
            target.breaker.note_peer_failure(name, now_s)

    def _take_news(self, news: TopicNews) -> None:
        follower = self._followers.get(Topic(news.topic))
        if follower is not None:
            page = KeyedPage(
                records=tuple(
                    KeyedRecord(offset=r.offset, key=r.key, value=r.value) for r in news.records
                ),
                next_offset=news.next_offset,
            )
            follower.take_from_peer(news.from_offset, page)

    def _help_behind(self, offsets: Mapping[str, int]) -> None:
        """Send a peer that can't read the store what it lacks."""
        for topic, follower in self._followers.items():
            known = follower.next_offset
            if known is None or offsets.get(topic.value, -1) >= known:
                continue
            if follower.known_for_s() < SHARE_DELAY_S:
                continue
            self._news.append(_news(topic, None, follower.newest()))
            self._schedule()

    def _forget(self, name: str, now_s: float) -> None:
        for work_id, target_ids in self._theirs.pop(name, {}).items():
            self._board.remove(work_id, target_ids, now_s)

    def _share(self, work: Work) -> WorkShare:
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

    def _retry_use(self) -> tuple[RetryUse, ...]:
        now_s = self._loop.time()
        return tuple(
            RetryUse(service=service, requests=requests, retries=retries)
            for service, requests, retries in self._budget.own_use(now_s)
        )

    def _schedule(self) -> None:
        if self._flush is None:
            self._flush = self._loop.call_soon(self._send)

    def _send(self) -> None:
        self._flush = None
        update = Update(
            added=tuple(self._added),
            begun=tuple(self._begun),
            ended=tuple(self._ended),
            news=tuple(self._news),
            failures=tuple(self._failures),
            paces=tuple(self._paces),
        )
        self._added, self._begun, self._ended = [], [], []
        self._news, self._failures, self._paces = [], [], []
        self.mesh.tell(update)


def _news(topic: Topic, from_offset: int | None, page: KeyedPage) -> TopicNews:
    return TopicNews(
        topic=topic.value,
        from_offset=from_offset,
        next_offset=page.next_offset,
        records=tuple(StoreRecord(offset=r.offset, key=r.key, value=r.value) for r in page.records),
    )


def _work(owner: str, share: WorkShare, now_s: float) -> Work:
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
