"""The compact form of evidence, and what of it is accepted from peers."""

from dataclasses import fields
from typing import Any

from ._messages import ClearedFingerprint, Evidence, LostRequest, TrippedBreaker

MS_PER_S = 1_000
# More than an entry keeps of each kind.
MAX_ROWS = 2048
MAX_NAME_LENGTH = 256
MAX_FINGERPRINTS = 256
# Of counts and of times in seconds.
MAX_NUMBER = 1_000_000
# The fields of an open breaker's row before the probes, which older versions neither send nor read.
OPENED_FIELDS_WITHOUT_PROBES = 6


def to_rows(evidence: Evidence) -> list[list[Any]]:
    """Return evidence as lists without field names; times are in milliseconds."""
    if evidence.is_empty:
        return []
    losses = [
        [
            lost.target_id,
            lost.request,
            lost.fingerprints,
            _ms(lost.sent_age_s),
            _ms(lost.lost_age_s),
        ]
        for lost in evidence.losses
    ]
    opened = [
        [
            tripped.fingerprint,
            _ms(tripped.age_s),
            _ms(tripped.opens_in_s),
            _ms(tripped.probe_in_s),
            _ms(tripped.probe_delay_s),
            tripped.losses,
            tripped.probes,
        ]
        for tripped in evidence.opened
    ]
    cleared = [[cleared.fingerprint, _ms(cleared.age_s)] for cleared in evidence.cleared]
    return [losses, opened, cleared]


def from_rows(rows: Any) -> Evidence:
    """Return the evidence of `to_rows`; if it is malformed, only its `problem`."""
    if not rows:
        return Evidence()
    try:
        return _to_evidence(rows)
    except (ArithmeticError, LookupError, TypeError, ValueError) as error:
        return Evidence(problem=f"rows are malformed: {error!r}")


def find_problem(evidence: Evidence) -> str:
    """Return why the evidence of a peer is not accepted; empty if it is."""
    if evidence.problem:
        return evidence.problem
    groups = (evidence.losses, evidence.opened, evidence.cleared)
    if any(len(group) > MAX_ROWS for group in groups):
        return f"more than {MAX_ROWS} rows"
    problems = (_find_row_problem(row) for group in groups for row in group)
    return next(filter(None, problems), "")


def _find_row_problem(row: Any) -> str:
    """Return why a row is not accepted; empty if it is."""
    for field in fields(row):
        value = getattr(row, field.name)
        if field.type is float or field.type is int:
            if not _is_number(value):
                return f"{field.name} is {value!r:.50}"
        elif field.type is str:
            if not _is_name(value):
                return f"{field.name} is {value!r:.50}"
        elif len(value) > MAX_FINGERPRINTS or not all(map(_is_name, value)):
            return f"{field.name} are {value!r:.50}"
    return ""


def _is_number(value: Any) -> bool:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    # Not true of NaN either.
    return is_number and abs(value) <= MAX_NUMBER


def _is_name(value: Any) -> bool:
    return isinstance(value, str) and len(value) <= MAX_NAME_LENGTH


def _to_evidence(rows: list[list[Any]]) -> Evidence:
    losses, opened, cleared = rows[:3]
    return Evidence(
        losses=tuple(
            LostRequest(
                target_id=row[0],
                request=row[1],
                fingerprints=tuple(row[2]),
                sent_age_s=row[3] / MS_PER_S,
                lost_age_s=row[4] / MS_PER_S,
            )
            for row in losses
        ),
        opened=tuple(
            TrippedBreaker(
                fingerprint=row[0],
                age_s=row[1] / MS_PER_S,
                opens_in_s=row[2] / MS_PER_S,
                probe_in_s=row[3] / MS_PER_S,
                probe_delay_s=row[4] / MS_PER_S,
                losses=row[5],
                probes=row[6] if len(row) > OPENED_FIELDS_WITHOUT_PROBES else 0,
            )
            for row in opened
        ),
        cleared=tuple(
            ClearedFingerprint(fingerprint=row[0], age_s=row[1] / MS_PER_S) for row in cleared
        ),
    )


def _ms(time_s: float) -> int:
    return round(time_s * MS_PER_S)
