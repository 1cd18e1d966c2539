"""Checks that callers get whole answers of their own."""

from collections.abc import Iterator

from bench.soak.observations import CONTACT_S, MACHINE_SLACK_S, Observations
from bench.soak.record import Attempt, UnnamedTime
from bench.soak.targets import ENDLESS_BLOCKS, STREAM_EVENTS, Arrival
from bench.soak.violations import Violation, describe, violation_of

REFUSALS = frozenset({408, 421, 429, 503})
DENIALS = frozenset({401, 403, 404})
GATEWAY_FAILURES = frozenset({502, 504})
# All that entries answer by themselves here. Targets answer requests with 200 or refuse them.
OWN_STATUSES = REFUSALS | DENIALS | GATEWAY_FAILURES
# Of a target that is taken out, an entry probes it so often, at first after 1 s, then ever later.
MAX_PROBES = 3
PROBES_SLACK = 3
# Breakers of other targets may still be open for so long after a fault, and a part of a service
# stays in.
OTHERS_SOUND_S = 10.0


def check_answers(seen: Observations) -> Iterator[Violation]:
    """A caller's answer is its own, and a stream is in order and never looks complete early."""
    for attempt in seen.attempts:
        reason = _find_foreign_part(seen, attempt)
        if reason:
            text = f"{reason}: {describe(seen, attempt)}, body {attempt.body[-80:]!r}"
            yield violation_of("mixed", attempt, text, attempt.ended_s)
    for entry, stray in seen.strays:
        yield Violation(rule="mixed", text=f"entry {entry} sent unasked {stray[:80]!r}", at_s=0.0)


def _find_foreign_part(seen: Observations, attempt: Attempt) -> str:
    """Return what in an answer is not the caller's own; empty if nothing is."""
    if attempt.status == 0:
        return ""
    if attempt.answer_id not in ("", attempt.request_id):
        return f"names {attempt.answer_id}"
    if attempt.status != 200:
        if attempt.signature:
            return f"failure signed by {attempt.signature}"
        return "" if attempt.status in OWN_STATUSES else "no answer of an entry"
    if not attempt.answer_id:
        return "names no request"
    ran_at = {run.headers.get("expect-instance") for _, run in seen.runs_of(attempt)}
    if attempt.signature not in ran_at:
        return f"signed by {attempt.signature or 'none'}"
    return "" if _is_body_right(seen, attempt) else "another body"


def _is_body_right(seen: Observations, attempt: Attempt) -> bool:
    if attempt.kind != "stream":
        expected = b"answer to " + attempt.request_id.encode()
        return attempt.body == expected if attempt.is_whole else expected.startswith(attempt.body)
    expected = b"".join(
        b"id: %d\ndata: %d\n\n" % (number, number) for number in range(1, STREAM_EVENTS + 1)
    )
    body = attempt.body
    for block in ENDLESS_BLOCKS if seen.timeline.endless else ():
        body = body.replace(block, b"")
        if not attempt.is_whole:
            body = _without_partial(body, block)
    return body == expected if attempt.is_whole else expected.startswith(body)


def _without_partial(body: bytes, block: bytes) -> bytes:
    """Return a body without the first part of a block at its end, as it may be cut anywhere."""
    sizes = (size for size in range(len(block) - 1, 0, -1) if body.endswith(block[:size]))
    size = next(sizes, 0)
    return body[: len(body) - size]


def check_reservations(seen: Observations) -> Iterator[Violation]:
    """Memory that a request names as reserved is held as it arrives, if its target is sound."""
    by_id = {attempt.request_id: attempt for attempt in seen.attempts}
    for ticket in seen.unheld_tickets:
        attempt = by_id[ticket.request_id]
        is_sound = seen.timeline.is_target_sound(
            ticket.target, attempt.sent_s - CONTACT_S, ticket.at_s
        )
        is_calm = seen.timeline.is_calm(attempt.entry, attempt.sent_s - CONTACT_S, ticket.at_s)
        if is_sound and is_calm:
            yield violation_of("unheld", attempt, str(ticket), ticket.at_s)


def check_unnamed(seen: Observations) -> Iterator[Violation]:
    """A target whose answers name no request gets each request once at most, and is taken out."""
    for unnamed in seen.timeline.unnamed:
        arrivals = [
            arrival
            for arrival in seen.arrivals
            if arrival.target == unnamed.target
            and arrival.has_matched
            and unnamed.began_s <= arrival.at_s <= unnamed.ended_s
        ]
        yield from _find_second_attempts(unnamed, arrivals)
        yield from _find_not_taken_out(seen, unnamed, arrivals)


def _find_second_attempts(unnamed: UnnamedTime, arrivals: list[Arrival]) -> Iterator[Violation]:
    known: set[str] = set()
    for arrival in arrivals:
        if arrival.request_id in known:
            text = f"{arrival.request_id} arrived again at {unnamed}"
            yield Violation(rule="unnamed", text=text, at_s=arrival.at_s)
        known.add(arrival.request_id)


def _find_not_taken_out(
    seen: Observations, unnamed: UnnamedTime, arrivals: list[Arrival]
) -> Iterator[Violation]:
    is_one_instance = len({arrival.instance_id for arrival in arrivals}) == 1
    if not is_one_instance or not _are_others_sound(seen, unnamed):
        return
    by_id = {attempt.request_id: attempt for attempt in seen.attempts}
    from_s = unnamed.began_s + CONTACT_S + MACHINE_SLACK_S
    late_s = [
        arrival.at_s
        for arrival in arrivals
        if arrival.at_s > from_s
        and seen.timeline.is_calm(
            by_id[arrival.request_id].entry, unnamed.began_s - CONTACT_S, arrival.at_s
        )
    ]
    allowed = MAX_PROBES * seen.deployment.entries + PROBES_SLACK
    if len(late_s) > allowed:
        text = f"{len(late_s)} requests, allowed {allowed}, at {unnamed}"
        yield Violation(rule="unnamed", text=text, at_s=late_s[0])


def _are_others_sound(seen: Observations, unnamed: UnnamedTime) -> bool:
    """Return whether nothing else keeps entries from taking a target out."""
    service = seen.services[unnamed.target]
    others = [
        number
        for number, name in seen.services.items()
        if name == service and number != unnamed.target
    ]
    return bool(others) and all(
        seen.timeline.is_target_sound(number, unnamed.began_s - OTHERS_SOUND_S, unnamed.ended_s)
        for number in others
    )


ANSWER_CHECKS = (check_answers, check_reservations, check_unnamed)
