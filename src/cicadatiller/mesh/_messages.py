"""The messages between entries."""

import math
from dataclasses import dataclass

from ..peer import message


@message("mesh-greeting")
@dataclass(frozen=True, kw_only=True, slots=True)
class Greeting:
    """The first message on a link.

    Attributes:
        name: The sender's instance.
        incarnation: This run of the sender.
        address: Where the sender accepts links, "host:port".
    """

    name: str
    incarnation: str
    address: str


@message("mesh-heard")
@dataclass(frozen=True, kw_only=True, slots=True)
class Heard:
    """The answer to a heartbeat, on the same link."""


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkShare:
    """A request's part of the work of one target; see `Work`.

    Attributes:
        age_s: How long ago it was placed.
    """

    work_id: str
    target_id: str
    age_s: float = 0.0
    read_s: float = 0.0
    read_tokens: int = 0
    kv_tokens: int = 0
    context_tokens: int = 0
    writes: bool = True
    max_gap_s: float = math.inf
    due_in_s: float = math.inf
    worth: float = 1.0
    write_s: float = 0.0
    has_begun: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreRecord:
    """A record of the store; see `KeyedRecord`."""

    offset: int
    key: str
    value: bytes | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class TopicNews:
    """What was read of one topic of the store.

    Attributes:
        topic: The topic's name within the system.
        from_offset: Where the read began; None if the records are the newest of every key.
        next_offset: Where the next read begins.
        records: The records, in order of offset.
    """

    topic: str
    next_offset: int
    from_offset: int | None = None
    records: tuple[StoreRecord, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetFailure:
    """A target that did not bring a request to a good end.

    Attributes:
        target_id: The target.
        reason: What happened.
        is_helper: Whether it only failed to help another target.
    """

    target_id: str
    reason: str
    is_helper: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetPace:
    """How much slower a target is than its model; 1 if it is as fast."""

    target_id: str
    pace: float


@dataclass(frozen=True, kw_only=True, slots=True)
class RetryUse:
    """How much of the retry budget of a service the sender used within the last window."""

    service: str
    requests: int
    retries: int


@message("mesh-update")
@dataclass(frozen=True, kw_only=True, slots=True)
class Update:
    """What changed since the update before; an empty one shows that the sender lives.

    Attributes:
        is_snapshot: Whether `added` is all work of the sender, so that the rest is over.
        added: Work that was placed.
        begun: Work whose first event was seen.
        ended: Work that is over.
        news: What was read of the store.
        failures: Targets that failed.
        paces: How fast targets said they are.
        retries: The sender's use of the retry budget.
        known_offsets: The next offset of each topic that the sender knows; a topic that it knows
            nothing of is missing. None but in heartbeats and snapshots.
    """

    is_snapshot: bool = False
    added: tuple[WorkShare, ...] = ()
    begun: tuple[str, ...] = ()
    ended: tuple[str, ...] = ()
    news: tuple[TopicNews, ...] = ()
    failures: tuple[TargetFailure, ...] = ()
    paces: tuple[TargetPace, ...] = ()
    retries: tuple[RetryUse, ...] = ()
    known_offsets: dict[str, int] | None = None
