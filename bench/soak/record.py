"""What callers saw, and when which part was disturbed."""

from collections import defaultdict
from dataclasses import dataclass, field

NEVER_S = float("inf")


@dataclass(kw_only=True)
class Attempt:
    """One request as its caller saw it.

    Attributes:
        request_id: The id, which no other request has.
        kind: "safe", "unsafe" or "stream".
        path: The path.
        key: The key.
        entry: The number of the entry.
        sent_s: When the last byte of the request was sent.
        idle_s: How long its connection was unused before; 0 for the first request on it.
        deadline_s: When the caller stops waiting.
        ended_s: When the answer was complete, the connection closed or the caller left.
        status: The status; 0 if none came.
        is_whole: Whether the answer was complete.
        body: The body without its chunk framing.
        answer_id: The id of the request that the answer names; empty if it names none.
        signature: The id of the target that gave the answer; empty for one by the entry.
        has_left: Whether the caller closed the connection before the answer was complete.
        is_overdue: Whether the caller left as nothing ended the request in time.
        retry_after_s: The time after which the entry asked the caller to return, if any.
        gives_way: Whether its prompt is beyond the memory of one engine, or no engine can begin
            it within the route's target latency.
        crash_cause: The part of its prompt, or its path, under which targets crash; empty if it
            is sound.
        is_repeat: Whether its caller sent the same request before.
    """

    request_id: str
    kind: str
    path: str
    key: str
    entry: int
    sent_s: float
    deadline_s: float
    idle_s: float = 0.0
    ended_s: float = NEVER_S
    status: int = 0
    is_whole: bool = False
    body: bytes = b""
    answer_id: str = ""
    signature: str = ""
    has_left: bool = False
    is_overdue: bool = False
    retry_after_s: float | None = None
    gives_way: bool = False
    crash_cause: str = ""
    is_repeat: bool = False


@dataclass(kw_only=True)
class CrashCauses:
    """What crashes targets now.

    Attributes:
        parts: Parts of prompts.
        paths: Paths of requests.
        one_session: The parts whose prompts are turns of one session, each with a length of its own.
        events_before: The number of events of a stream that a target sends before it crashes, by
            part or path.
    """

    parts: set[str] = field(default_factory=set)
    paths: set[str] = field(default_factory=set)
    one_session: set[str] = field(default_factory=set)
    events_before: dict[str, int] = field(default_factory=dict)

    def find(self, path: str, parts: list[str]) -> str:
        """Return what in a request crashes targets; empty if nothing does."""
        found = self.parts.intersection(parts) or self.paths.intersection({path})
        return min(found, default="")


@dataclass(frozen=True, kw_only=True)
class Crash:
    """The end of a target under a part of a prompt, or under a request.

    Attributes:
        cause: The part, or the path of the request.
    """

    cause: str
    at_s: float


@dataclass(kw_only=True)
class StatedLimit:
    """The time for which a target states the requests a second that it takes."""

    instance_id: str
    target: int
    rate_per_s: float
    began_s: float
    ended_s: float = NEVER_S


@dataclass(kw_only=True)
class Evacuation:
    """The time for which the operator has evacuated a data centre."""

    data_centre: str
    began_s: float
    ended_s: float = NEVER_S


@dataclass(kw_only=True)
class ColdTime:
    """The time for which a target's registration says that it is cold."""

    instance_id: str
    began_s: float
    ended_s: float


@dataclass(kw_only=True)
class UnnamedTime:
    """The time for which a target's answers to requests do not name the request."""

    target: int
    began_s: float
    ended_s: float = NEVER_S


@dataclass(frozen=True, kw_only=True)
class UnheldTicket:
    """A reservation that a request named as it arrived, and that was not held.

    Attributes:
        target: The number of the target at which it should be held.
    """

    request_id: str
    instance_id: str
    target: int
    name: str
    at_s: float


@dataclass(kw_only=True)
class Disturbance:
    """A time during which a part did not work as it should."""

    began_s: float
    ended_s: float = NEVER_S

    def overlaps(self, begin_s: float, end_s: float) -> bool:
        """Return whether it overlaps a time."""
        return self.began_s <= end_s and self.ended_s >= begin_s


@dataclass(frozen=True, kw_only=True)
class Shutdown:
    """A SIGTERM of an entry."""

    entry: int
    began_s: float


@dataclass(kw_only=True)
class Timeline:
    """When which part was disturbed.

    Attributes:
        shutdowns: Each SIGTERM of an entry.
        kills: The entry and the time of each SIGKILL.
        freezes: By the number of the entry.
        crashes: Each end of a target under a part of a prompt or a request.
        limits: Each limit that a target stated.
        unnamed: Each time for which a target's answers did not name their requests.
        evacuations: Each evacuation of a data centre.
        cold: Each time for which a target was cold.
        endless: Each time for which a target sent bytes without end.
        joint_kills: When all entries were killed at once.
    """

    shutdowns: list[Shutdown] = field(default_factory=list)
    kills: list[tuple[int, float]] = field(default_factory=list)
    freezes: dict[int, list[Disturbance]] = field(default_factory=lambda: defaultdict(list))
    crashes: list[Crash] = field(default_factory=list)
    limits: list[StatedLimit] = field(default_factory=list)
    unnamed: list[UnnamedTime] = field(default_factory=list)
    evacuations: list[Evacuation] = field(default_factory=list)
    cold: list[ColdTime] = field(default_factory=list)
    endless: list["Disturbance"] = field(default_factory=list)
    joint_kills: list[float] = field(default_factory=list)
    _entries: dict[int, list[Disturbance]] = field(default_factory=lambda: defaultdict(list))
    _targets: dict[int, list[Disturbance]] = field(default_factory=lambda: defaultdict(list))
    _store: list[Disturbance] = field(default_factory=list)

    def disturb_entry(self, number: int, now_s: float) -> Disturbance:
        """Record that an entry, or its link to the store, is disturbed from now on."""
        return _add(self._entries[number], now_s)

    def disturb_target(self, number: int, now_s: float) -> Disturbance:
        """Record that a target breaks off answers, or that its link does, from now on."""
        return _add(self._targets[number], now_s)

    def disturb_store(self, now_s: float) -> Disturbance:
        """Record that the store is disturbed from now on."""
        return _add(self._store, now_s)

    def freeze(self, number: int, now_s: float) -> Disturbance:
        """Record that an entry does not run from now on."""
        return _add(self.freezes[number], now_s)

    def is_calm(self, entry: int, begin_s: float, end_s: float) -> bool:
        """Return whether neither an entry nor the store was disturbed in a time."""
        return not any(
            disturbance.overlaps(begin_s, end_s)
            for disturbance in (*self._entries[entry], *self._store)
        )

    def is_target_sound(self, number: int, begin_s: float, end_s: float) -> bool:
        """Return whether a target broke off no answer in a time."""
        return not any(
            disturbance.overlaps(begin_s, end_s) for disturbance in self._targets[number]
        )

    def was_killed(self, entry: int, begin_s: float, end_s: float) -> bool:
        """Return whether an entry was killed in a time."""
        return any(
            number == entry and begin_s <= killed_s <= end_s for number, killed_s in self.kills
        )

    def is_shutting_down(self, entry: int, begin_s: float, end_s: float, shutdown_s: float) -> bool:
        """Return whether the shutdown of an entry overlaps a time."""
        return any(
            shutdown.entry == entry
            and shutdown.began_s <= end_s
            and shutdown.began_s + shutdown_s >= begin_s
            for shutdown in self.shutdowns
        )

    def last_end_s(self) -> float:
        """Return when the last disturbance ended."""
        groups = (*self._entries.values(), *self._targets.values(), self._store)
        return max((one.ended_s for group in groups for one in group), default=0.0)

    def frozen_s(self, entry: int, begin_s: float, end_s: float) -> float:
        """Return for how long an entry was suspended in a time."""
        return sum(
            max(0.0, min(freeze.ended_s, end_s) - max(freeze.began_s, begin_s))
            for freeze in self.freezes[entry]
        )


def _add(disturbances: list[Disturbance], now_s: float) -> Disturbance:
    disturbance = Disturbance(began_s=now_s)
    disturbances.append(disturbance)
    return disturbance
