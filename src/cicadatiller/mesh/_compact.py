"""The compact form of updates: lists of whole numbers without field names.

A request's load is announced to several peers three times, so the size of an update decides how
many bytes pass between data centres. Times are sent in milliseconds and microseconds, and ids of
work without the part that names the sender's process.
"""

import math
import zlib
from collections.abc import Iterable
from typing import Any

import cbor2

from ._evidence import from_rows, to_rows
from ._messages import (
    UNSTATED_ERA,
    EndedRunUse,
    RetryUse,
    StoreRecord,
    TargetCold,
    TargetFailure,
    TargetLeaving,
    TargetPace,
    TargetRate,
    TopicEra,
    TopicUpdate,
    Update,
    WorkShare,
)

FIELD_COUNT = 15
OFFSETS_FIELD = 8
ERAS_FIELD = 9
LEAVING_FIELD = 10
EVIDENCE_FIELD = 11
RATES_FIELD = 12
ENDED_RUNS_FIELD = 13
COLD_FIELD = 14
# The fields of a rate's row before the age, which older versions neither send nor read.
RATE_FIELDS_WITHOUT_AGE = 4
# The fields of a topic's row before the era, which older versions neither send nor read.
TOPIC_FIELDS_WITHOUT_ERA = 4
MS_PER_S = 1_000
US_PER_S = 1_000_000
PACE_UNITS = 100
WORTH_UNITS = 1_000
WRITES_FLAG = 1
BEGUN_FLAG = 2
ZLIB_LEVEL = 1
MAX_RECORDS_BYTES = 64 * 1024 * 1024
# Fewer records hardly get smaller by compression.
MIN_PACKED_RECORDS = 2


def compact(update: Update, incarnation: str) -> list[Any]:
    """Return the compact form of an update.

    Args:
        update: The update.
        incarnation: The incarnation in the sender's greeting, with which its work ids begin.
    """
    prefix = f"{incarnation}-"
    fields: list[Any] = [
        int(update.is_snapshot),
        [_share_row(share, prefix) for share in update.added],
        [_short_id(work_id, prefix) for work_id in update.begun],
        [_short_id(work_id, prefix) for work_id in update.ended],
        [_topic_row(news) for news in update.news],
        [[failure.target_id, int(failure.is_helper)] for failure in update.failures],
        [[paced.target_id, round(paced.pace * PACE_UNITS)] for paced in update.paces],
        [[use.service, use.requests, use.retries] for use in update.retries],
        update.known_offsets,
        _eras_field(update),
        [[leaving.target_id, leaving.started_ms] for leaving in update.leaving],
        to_rows(update.evidence),
        [_rate_row(rate) for rate in update.rates],
        [
            [e.entry, e.run, e.service, e.requests, e.retries, _ms(e.age_s)]
            for e in update.ended_runs
        ],
        [[c.target_id, c.started_ms, _ms(c.remaining_s)] for c in update.cold],
    ]
    while fields[-1] in (None, []):
        fields.pop()
    return fields


def expand(fields: list[Any], incarnation: str) -> Update:
    """Return the update of a compact form.

    Args:
        fields: The compact form. Further fields of a newer version are ignored.
        incarnation: The incarnation in the sender's greeting.

    Raises:
        ValueError: If it is malformed.
    """
    prefix = f"{incarnation}-"
    try:
        padded = [*fields, *[[]] * (FIELD_COUNT - len(fields))]
        return Update(
            is_snapshot=bool(padded[0]),
            added=tuple(_to_share(row, prefix) for row in padded[1]),
            begun=tuple(_full_id(short_id, prefix) for short_id in padded[2]),
            ended=tuple(_full_id(short_id, prefix) for short_id in padded[3]),
            news=tuple(_to_topic_update(row) for row in padded[4]),
            failures=tuple(
                TargetFailure(target_id=row[0], reason="", is_helper=bool(row[1]))
                for row in padded[5]
            ),
            paces=tuple(
                TargetPace(target_id=row[0], pace=row[1] / PACE_UNITS) for row in padded[6]
            ),
            retries=tuple(
                RetryUse(service=row[0], requests=row[1], retries=row[2]) for row in padded[7]
            ),
            known_offsets=_to_offsets(fields),
            known_eras=_to_eras(padded[ERAS_FIELD], padded[OFFSETS_FIELD]),
            leaving=tuple(
                TargetLeaving(target_id=row[0], started_ms=row[1]) for row in padded[LEAVING_FIELD]
            ),
            evidence=from_rows(padded[EVIDENCE_FIELD]),
            rates=tuple(_to_rate(row) for row in padded[RATES_FIELD]),
            ended_runs=tuple(map(_to_ended_run, padded[ENDED_RUNS_FIELD])),
            cold=tuple(
                TargetCold(target_id=row[0], started_ms=row[1], remaining_s=row[2] / MS_PER_S)
                for row in padded[COLD_FIELD]
            ),
        )
    except (ArithmeticError, AttributeError, LookupError, TypeError) as error:
        raise ValueError(f"compact update is malformed: {error!r}") from error


def _to_offsets(fields: list[Any]) -> dict[str, int] | None:
    """Return the offsets; None if the update has none, which is not the same as no offset."""
    has_offsets = len(fields) > OFFSETS_FIELD and fields[OFFSETS_FIELD] is not None
    return dict(fields[OFFSETS_FIELD]) if has_offsets else None


def pack_records(records: Iterable[StoreRecord]) -> bytes:
    """Return records as compressed CBOR, as in `TopicPage.records`."""
    return zlib.compress(cbor2.dumps([_record_row(record) for record in records]), ZLIB_LEVEL)


def unpack_records(packed: bytes) -> tuple[StoreRecord, ...]:
    """Return the records of `pack_records`.

    Raises:
        ValueError: If they are malformed or longer than `MAX_RECORDS_BYTES`.
    """
    if not packed:
        return ()
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(packed, MAX_RECORDS_BYTES)
        if not decompressor.eof:
            raise ValueError("records are truncated or too long")
        return tuple(_to_record(row) for row in cbor2.loads(data))
    except (zlib.error, cbor2.CBORError, LookupError, RecursionError, TypeError) as error:
        raise ValueError(f"records are malformed: {error!r}") from error


def _short_id(work_id: str, prefix: str) -> int | str:
    number = work_id.removeprefix(prefix)
    return int(number) if number.isdigit() else work_id


def _full_id(short_id: int | str, prefix: str) -> str:
    return f"{prefix}{short_id}" if isinstance(short_id, int) else short_id


def _share_row(share: WorkShare, prefix: str) -> list[Any]:
    flags = WRITES_FLAG * share.writes + BEGUN_FLAG * share.has_begun
    return [
        _short_id(share.work_id, prefix),
        share.target_id,
        flags,
        round(share.age_s * MS_PER_S),
        round(share.read_s * US_PER_S),
        share.read_tokens,
        share.kv_tokens,
        share.context_tokens,
        _limit_ms(share.max_gap_s),
        _limit_ms(share.due_in_s),
        round(share.worth * WORTH_UNITS),
        round(share.write_s * MS_PER_S),
    ]


def _to_share(row: list[Any], prefix: str) -> WorkShare:
    return WorkShare(
        work_id=_full_id(row[0], prefix),
        target_id=row[1],
        writes=bool(row[2] & WRITES_FLAG),
        has_begun=bool(row[2] & BEGUN_FLAG),
        age_s=row[3] / MS_PER_S,
        read_s=row[4] / US_PER_S,
        read_tokens=row[5],
        kv_tokens=row[6],
        context_tokens=row[7],
        max_gap_s=_limit_s(row[8]),
        due_in_s=_limit_s(row[9]),
        worth=row[10] / WORTH_UNITS,
        write_s=row[11] / MS_PER_S,
    )


def _rate_row(rate: TargetRate) -> list[Any]:
    return [rate.target_id, rate.started_ms, rate.rate_per_s, rate.sends, _ms(rate.age_s)]


def _to_rate(row: list[Any]) -> TargetRate:
    return TargetRate(
        target_id=row[0],
        started_ms=row[1],
        rate_per_s=row[2],
        sends=row[3],
        age_s=row[4] / MS_PER_S if len(row) > RATE_FIELDS_WITHOUT_AGE else 0.0,
    )


def _to_ended_run(row: list[Any]) -> EndedRunUse:
    return EndedRunUse(
        entry=row[0],
        run=row[1],
        service=row[2],
        requests=row[3],
        retries=row[4],
        age_s=row[5] / MS_PER_S,
    )


def _ms(time_s: float) -> int:
    return round(time_s * MS_PER_S)


def _limit_ms(limit_s: float) -> int | None:
    return None if limit_s == math.inf else round(limit_s * MS_PER_S)


def _limit_s(limit_ms: int | None) -> float:
    return math.inf if limit_ms is None else limit_ms / MS_PER_S


def _topic_row(news: TopicUpdate) -> list[Any]:
    records: bytes | list[list[Any]]
    if len(news.records) >= MIN_PACKED_RECORDS:
        records = pack_records(news.records)
    else:
        records = [_record_row(record) for record in news.records]
    row = [news.topic, news.next_offset, news.from_offset, records]
    return [*row, news.era] if news.era else row


def _to_topic_update(row: list[Any]) -> TopicUpdate:
    return TopicUpdate(
        topic=row[0],
        next_offset=row[1],
        from_offset=row[2],
        records=_to_records(row[3]),
        era=row[4] if len(row) > TOPIC_FIELDS_WITHOUT_ERA else UNSTATED_ERA,
    )


def _eras_field(update: Update) -> int | list[list[Any]]:
    """Return the eras as one number if all topics have the same, else as a row for each topic."""
    if not update.known_eras:
        return []
    common = update.known_eras[0].era
    if update.known_eras == _common_eras(common, update.known_offsets):
        return common
    return [[known.topic, known.era, known.held] for known in update.known_eras]


def _to_eras(
    field: int | list[list[Any]], known_offsets: Iterable[str] | None
) -> tuple[TopicEra, ...]:
    if isinstance(field, int):
        return _common_eras(field, known_offsets)
    return tuple(TopicEra(topic=row[0], era=row[1], held=row[2]) for row in field)


def _common_eras(era: int, topics: Iterable[str] | None) -> tuple[TopicEra, ...]:
    return tuple(TopicEra(topic=topic, era=era) for topic in topics or ())


def _to_records(packed_or_rows: bytes | list[list[Any]]) -> tuple[StoreRecord, ...]:
    if isinstance(packed_or_rows, bytes):
        return unpack_records(packed_or_rows)
    return tuple(_to_record(row) for row in packed_or_rows)


def _record_row(record: StoreRecord) -> list[Any]:
    return [record.offset, record.key, record.value]


def _to_record(row: list[Any]) -> StoreRecord:
    return StoreRecord(offset=row[0], key=row[1], value=row[2])
