"""When callers of refused requests should come back."""

import math
import random
import statistics
from collections.abc import Sequence

from ..placement import TargetLoad
from ._job import Job

NO_TARGET_RETRY_S = 1.0
# Within this time the load hardly changes.
MIN_RETRY_AFTER_S = 0.1
# What the load will be after this time is not known.
MAX_RETRY_AFTER_S = 5.0
RETRY_JITTER = 0.5
# Of the time until targets take requests again: the wait of a caller is at least that long.
QUIET_END_JITTER = 0.1


def expected_free_s(
    loads: Sequence[TargetLoad], now_s: float, *, slot_interval_s: float, backlog_age_s: float
) -> float:
    """Return the expected time until the targets of a service have room, in seconds.

    A backlog's remaining time is unknown, but it is likely to last as long again as it has lasted;
    a caller that retries before its end is refused again.

    Args:
        loads: The load of each target.
        now_s: The time on the event loop's clock.
        slot_interval_s: The expected time until the next slot becomes free; infinite if unknown.
        backlog_age_s: The age of the backlog.
    """
    waits_s = [load.prefill_wait_s(now_s) for load in loads]
    prefill_wait_s = statistics.median(waits_s) if waits_s else NO_TARGET_RETRY_S
    known_interval_s = 0.0 if slot_interval_s == math.inf else slot_interval_s
    return max(prefill_wait_s, known_interval_s, backlog_age_s)


def retry_after_s(job: Job, expected_s: float, now_s: float, *, needed_s: float) -> float:
    """Return the delay after which the caller of a refused request should retry, in seconds.

    It leaves the caller enough time for the response. One that has no time for another try is told
    the whole delay, for a request of its own.

    Args:
        job: The request.
        expected_s: The expected time until it can be served.
        now_s: The time on the event loop's clock.
        needed_s: The minimum time from its placement to the end of its response.
    """
    # Without jitter, refused callers would retry at the same time and cause a new burst.
    jittered_s = expected_s * random.uniform(1.0, 1.0 + RETRY_JITTER)
    delay_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, jittered_s))
    latest_s = job.caller_deadline_s - now_s - needed_s
    return round(min(delay_s, latest_s) if latest_s >= MIN_RETRY_AFTER_S else delay_s, 3)


def quiet_retry_after_s(from_s: float, now_s: float) -> float:
    """Return the delay until a target of a service takes requests again, in seconds.

    It is stated by the target, so a caller that has less time would come back in vain.

    Args:
        from_s: When the first target takes requests again.
        now_s: The time on the event loop's clock.
    """
    delay_s = (from_s - now_s) * random.uniform(1.0, 1.0 + QUIET_END_JITTER)
    return round(max(MIN_RETRY_AFTER_S, delay_s), 3)
