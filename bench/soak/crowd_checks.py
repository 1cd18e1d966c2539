"""Checks of what targets that send without end, and kills of all entries, must not do."""

import statistics
from collections.abc import Iterator

from bench.soak.entries import MEMORY_MB
from bench.soak.observations import CONTACT_S, MACHINE_SLACK_S, Observations
from bench.soak.record import Attempt, Disturbance
from bench.soak.violations import Violation

# As the platform kills a process beyond that.
MAX_RESIDENT_BYTES = MEMORY_MB * 1024 * 1024
# Beside a target that sends without end, calls of other services take little longer than their work.
MIN_CALLS_BESIDE = 10
MAX_ADDED_S = 0.4
# What may reach targets after the fifth that ended under a part of a prompt, or the third that ended
# under a request.
PART_CRASHES = 5
REQUEST_CRASHES = 3
MAX_SENDS_AFTER_CRASHES = 3
# What is known for so long before all entries are killed is in the store.
STORED_S = 2.5


def check_resident(seen: Observations) -> Iterator[Violation]:
    """Entries stay within their memory, whatever targets send."""
    for entry, size_bytes in seen.resident_bytes.items():
        if size_bytes > MAX_RESIDENT_BYTES:
            text = f"entry {entry} had {size_bytes / 2**20:.0f} MB"
            yield Violation(rule="resident", text=text, at_s=0.0)


def check_held_up(seen: Observations) -> Iterator[Violation]:
    """Calls of other services are not held up beside a target that sends without end."""
    for endless in seen.timeline.endless:
        taken_s = [
            one.ended_s - one.sent_s for one in seen.attempts if _is_beside(seen, one, endless)
        ]
        if len(taken_s) < MIN_CALLS_BESIDE:
            continue
        median_s = statistics.median(taken_s)
        if median_s > seen.deployment.call_s + MAX_ADDED_S:
            text = f"{len(taken_s)} calls took {median_s:.2f} s at the median beside {endless}"
            yield Violation(rule="held_up", text=text, at_s=endless.began_s)


def _is_beside(seen: Observations, attempt: Attempt, endless: Disturbance) -> bool:
    """Return whether a call at sound targets was sent while a target sent without end."""
    if attempt.kind == "stream" or not endless.began_s <= attempt.sent_s <= endless.ended_s:
        return False
    is_calm = seen.timeline.is_calm(attempt.entry, attempt.sent_s - CONTACT_S, attempt.ended_s)
    return is_calm and bool(seen.arrivals_of(attempt)) and seen.are_targets_sound(attempt)


def check_forgotten(seen: Observations) -> Iterator[Violation]:
    """What crashes targets is still known after all entries were killed at once."""
    by_id = {attempt.request_id: attempt for attempt in seen.attempts}
    for killed_s in seen.timeline.joint_kills:
        for cause in {crash.cause for crash in seen.timeline.crashes}:
            if not _was_stored(seen, cause, killed_s):
                continue
            sent_on_s = [
                arrival.at_s
                for arrival in seen.arrivals
                if arrival.at_s > killed_s and by_id[arrival.request_id].crash_cause == cause
            ]
            if len(sent_on_s) > MAX_SENDS_AFTER_CRASHES:
                text = f"{len(sent_on_s)} requests with {cause} after the kill of all entries"
                yield Violation(rule="forgotten", text=text, at_s=sent_on_s[0])


def _was_stored(seen: Observations, cause: str, killed_s: float) -> bool:
    """Return whether enough targets had ended, and the store had to know it, before a kill."""
    enough = REQUEST_CRASHES if cause.startswith("/") else PART_CRASHES
    ended_s = sorted(crash.at_s for crash in seen.timeline.crashes if crash.cause == cause)
    if len(ended_s) < enough or ended_s[enough - 1] > killed_s - STORED_S - MACHINE_SLACK_S:
        return False
    begin_s = ended_s[0] - CONTACT_S
    # The kill itself is a disturbance.
    end_s = killed_s - 0.01
    entries = range(seen.deployment.entries)
    return all(seen.timeline.is_calm(entry, begin_s, end_s) for entry in entries)


CROWD_CHECKS = (check_resident, check_held_up, check_forgotten)
