"""The messages between entries."""

import math
from dataclasses import dataclass
from typing import Any

from ..channels import message

# An entry sends only what the receiver understands: `Update` to all, `CompactUpdate` and
# `TopicRequest` from `COMPACT_PROTOCOL` on. Until it knows the receiver's version it assumes the
# first.
FIRST_PROTOCOL = 1
COMPACT_PROTOCOL = 2
# The era of senders that state none; equal to the one of stores that state none.
UNSTATED_ERA = 0
UNNUMBERED = 0


@message("mesh-greeting", is_flat=True)
@dataclass(frozen=True, kw_only=True, slots=True)
class Greeting:
    """The first message on a link.

    Attributes:
        name: The name of the sender's instance.
        incarnation: Identifies this run of the sender's process.
        address: The address at which the sender accepts links, "host:port".
        protocol: The newest version of the protocol that the sender understands.
    """

    name: str
    incarnation: str
    address: str
    protocol: int = FIRST_PROTOCOL


@message("mesh-heard", is_flat=True)
@dataclass(frozen=True, kw_only=True, slots=True)
class HeartbeatAck:
    """Acknowledges a heartbeat or snapshot on the link that carried it.

    Attributes:
        protocol: The newest version of the protocol that the acknowledging entry understands.
    """

    protocol: int = FIRST_PROTOCOL


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkShare:
    """One request's share of the work of one target.

    The fields without a description here are those of `Work`.

    Attributes:
        age_s: The time since the request was placed on the target.
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
    """A record of a store topic; see `KeyedRecord`."""

    offset: int
    key: str
    value: bytes | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class TopicUpdate:
    """Records that the sender has read from one topic of the store.

    Attributes:
        topic: The value of the `Topic`, not the topic's name in the store.
        from_offset: The offset at which the read began; None if `records` holds the newest record
            of every key.
        next_offset: The offset at which the next read begins.
        records: The records, in order of offset.
        era: The era of all offsets.
    """

    topic: str
    next_offset: int
    from_offset: int | None = None
    records: tuple[StoreRecord, ...] = ()
    era: int = UNSTATED_ERA


@dataclass(frozen=True, kw_only=True, slots=True)
class TopicEra:
    """What a sender knows of a topic beside its offset; absent where all is zero.

    Attributes:
        topic: The value of the `Topic`.
        era: The era of the offset.
        held: A checksum of the records that the sender holds against those in the store, which came
            back from an older copy; 0 if there are none.
    """

    topic: str
    era: int = UNSTATED_ERA
    held: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetFailure:
    """A target that failed a request.

    Attributes:
        target_id: The instance id of the target.
        reason: Why the request failed.
        is_helper: Whether it failed as a helper of another target.
    """

    target_id: str
    reason: str
    is_helper: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetLeaving:
    """A run of a target that announced that it leaves.

    Attributes:
        target_id: The instance id of the target.
        started_ms: The start time of the run; see `TargetRecord`.
    """

    target_id: str
    started_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetRate:
    """The rate of requests that a run of a target takes from all entries together.

    Attributes:
        target_id: The instance id of the target.
        started_ms: The start time of the run; see `TargetRecord`.
        rate_per_s: The requests a second; None if it limits them no more.
        age_s: The time since it stated this.
        sends: What the sender sent to it beside the requests that it announced as work.
    """

    target_id: str
    started_ms: int
    rate_per_s: float | None = None
    age_s: float = 0.0
    sends: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetCold:
    """A target that stated that it is cold.

    Attributes:
        target_id: The instance id of the target.
        started_ms: The start time of the run; see `TargetRecord`.
        remaining_s: The time for which it stays cold.
    """

    target_id: str
    started_ms: int
    remaining_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class LostRequest:
    """A request that was lost with its target.

    Attributes:
        target_id: The instance id of the target.
        request: What tells the request from others.
        fingerprints: What it has in common with others, the most common first.
        sent_age_s: The time since it was sent to the target.
        lost_age_s: The time since it was lost.
    """

    target_id: str
    request: str
    fingerprints: tuple[str, ...]
    sent_age_s: float
    lost_age_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class TrippedBreaker:
    """The breaker of a fingerprint under which targets crash.

    Attributes:
        fingerprint: The fingerprint.
        losses: The number of losses that count against it.
        age_s: The time since the first of them.
        opens_in_s: The time until requests with it are refused, for entries to object.
        probe_in_s: The time until a request with it may be sent as a probe.
        probe_delay_s: The time between two probes.
        probes: The number of probes that were sent.
    """

    fingerprint: str
    losses: int
    age_s: float
    opens_in_s: float
    probe_in_s: float
    probe_delay_s: float
    probes: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class ClearedFingerprint:
    """A fingerprint with which a request finished `age_s` ago."""

    fingerprint: str
    age_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Evidence:
    """What a sender has learnt of fingerprints under which targets crash.

    Attributes:
        losses: Requests that were lost with their targets.
        opened: Breakers that opened, or whose probes were put off.
        cleared: What finished though a peer blames it.
        problem: Why it could not be read, in which case it holds nothing; never sent.
    """

    losses: tuple[LostRequest, ...] = ()
    opened: tuple[TrippedBreaker, ...] = ()
    cleared: tuple[ClearedFingerprint, ...] = ()
    problem: str = ""

    @property
    def is_empty(self) -> bool:
        """Return whether there is nothing to tell."""
        return not (self.losses or self.opened or self.cleared)


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetPace:
    """The slowdown factor of a target against its engine model; 1.0 is as modelled."""

    target_id: str
    pace: float


@dataclass(frozen=True, kw_only=True, slots=True)
class RetryUse:
    """The sender's requests and retries for one service within the last budget window."""

    service: str
    requests: int
    retries: int


@dataclass(frozen=True, kw_only=True, slots=True)
class EndedRunUse:
    """What a run of an entry used of the retry budget of a service until it ended or lost its link.

    Attributes:
        entry: The name of the entry.
        run: The incarnation of its process.
        service: The service.
        requests: The requests within the budget window before its end.
        retries: The retries within the budget window before its end.
        age_s: The time since its end.
    """

    entry: str
    run: str
    service: str
    requests: int
    retries: int
    age_s: float


@message("mesh-update")
@dataclass(frozen=True, kw_only=True, slots=True)
class Update:
    """The changes since the previous update; one without changes shows that the sender is alive.

    Attributes:
        is_snapshot: Whether `added` lists all work of the sender; other work of it has ended.
        added: Work that was placed.
        begun: The ids of work whose first event was received.
        ended: The ids of work that ended.
        news: Records that were read from the store.
        failures: Targets that failed.
        paces: Slowdown factors that targets reported.
        retries: The sender's use of the retry budgets.
        known_offsets: The next offset of each topic that the sender has read; unread topics are
            absent. None except in heartbeats, snapshots and updates with `leaving`; the peer
            acknowledges an update that has it.
        known_eras: The eras of `known_offsets`. Older versions of this program send none.
        leaving: Targets that announced that they leave. An update that has it has `known_offsets`,
            too: older peers can't read a compact update with later fields but without that one.
        evidence: What crashes targets; with `known_offsets`, as `leaving`.
        rates: Targets that limit their requests; with `known_offsets`, as `leaving`.
        ended_runs: The use of runs of entries that ended lately; only in snapshots.
        cold: Targets that are cold; with `known_offsets`, as `leaving`.
    """

    is_snapshot: bool = False
    added: tuple[WorkShare, ...] = ()
    begun: tuple[str, ...] = ()
    ended: tuple[str, ...] = ()
    news: tuple[TopicUpdate, ...] = ()
    failures: tuple[TargetFailure, ...] = ()
    paces: tuple[TargetPace, ...] = ()
    retries: tuple[RetryUse, ...] = ()
    known_offsets: dict[str, int] | None = None
    known_eras: tuple[TopicEra, ...] = ()
    leaving: tuple[TargetLeaving, ...] = ()
    evidence: Evidence = Evidence()
    rates: tuple[TargetRate, ...] = ()
    ended_runs: tuple[EndedRunUse, ...] = ()
    cold: tuple[TargetCold, ...] = ()


@message("mesh-load", body_field="fields")
@dataclass(frozen=True, kw_only=True, slots=True)
class CompactUpdate:
    """An `Update` as a list of numbers; see `compact` and `expand`."""

    fields: list[Any]


@message("mesh-topic-request", is_flat=True)
@dataclass(frozen=True, kw_only=True, slots=True)
class TopicRequest:
    """Asks a peer for the records of a topic that the sender lacks.

    Attributes:
        topic: The value of the `Topic`.
        from_offset: The first offset that the sender lacks; 0 if it has no records.
        complete_until: The offset up to which the sender knew all records, removals included, before
            the first request of a series; 0 if it had no records then.
        era: The era of both offsets. Older versions of this program send none; theirs is taken to
            be the receiver's.
        wants_held: Whether the sender wants the records that the receiver holds against those in
            the store, too.
        number: The number of the request on its link, from 1. Older versions send none.
    """

    topic: str
    from_offset: int = 0
    complete_until: int = 0
    era: int | None = None
    wants_held: bool = False
    number: int = UNNUMBERED


@message("mesh-topic-page", is_flat=True)
@dataclass(frozen=True, kw_only=True, slots=True)
class TopicPage:
    """The reply to a `TopicRequest`: the newest record of each key that changed since its offset.

    Attributes:
        topic: The value of the `Topic`.
        next_offset: The offset at which the next request begins.
        is_complete: Whether `records` holds the newest record of every key, so that keys without
            one were removed.
        records: The records in order of offset, as CBOR compressed with zlib.
        era: The era of all offsets.
        held: The records that the sender holds against those in the store, in the form of
            `records`, if they were asked for.
        number: The number of the request that it answers. Older versions send none.
    """

    topic: str
    next_offset: int
    is_complete: bool = False
    records: bytes = b""
    era: int = UNSTATED_ERA
    held: bytes = b""
    number: int = UNNUMBERED
