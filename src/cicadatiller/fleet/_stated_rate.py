"""The rate of requests that a target states in its responses, while it is overloaded."""

import math

from ._shared_rate import SharedRate

# As many requests as the target takes in this time may be sent at once, or a single one.
BURST_S = 1.0
# A lower rate counts as this: a request shows whether the target still states it.
MIN_RATE_PER_S = 0.1
# Some responses of an overloaded target may lack its rate, so it holds for this time at least.
HOLD_S = 1.0
# Until all entries know of a limit, some send as before; that is not made up for.
NEWS_S = 0.5
# A target may state another rate in each response. One that differs by more than this share is news,
# and the other entries hear of the rate once in this time while the target states it.
NEWS_SHARE = 0.2
TOLD_INTERVAL_S = 1.0


class StatedRate:
    """Limits the requests to one run of a target to the rate that it states.

    Attributes:
        rate_per_s: The requests a second that it takes from all entries; infinite if it states
            none.
    """

    # There is one for each target, and most are never used.
    __slots__ = (
        "_began_s",
        "_changed_s",
        "_connected_share",
        "_shared",
        "_stated_s",
        "_told_per_s",
        "_told_s",
        "_unstated_s",
        "rate_per_s",
    )

    def __init__(self) -> None:
        self.rate_per_s = math.inf
        self._shared: SharedRate | None = None
        self._connected_share = 1.0
        # When the target last stated a rate, when it last stated none, and when the rate changed.
        self._stated_s = self._unstated_s = self._changed_s = -math.inf
        # When the limit began that is in force.
        self._began_s = -math.inf
        self._told_per_s, self._told_s = math.inf, -math.inf

    @property
    def is_limited(self) -> bool:
        """Return whether the target states a rate."""
        return self._shared is not None

    def age_s(self, now_s: float) -> float:
        """Return the time since the target stated the rate last."""
        stated_s = self._stated_s if self.is_limited else self._unstated_s
        return max(0.0, now_s - stated_s)

    def record(self, rate_per_s: float, now_s: float, *, sent_s: float = math.inf) -> bool:
        """Record a response; return whether it changes the rate.

        Args:
            rate_per_s: The stated rate; infinite if the response states none.
            now_s: The loop time.
            sent_s: When the request was sent that the target answered. Its response may be older
                than the last change if that is.
        """
        if sent_s < self._changed_s:
            return False
        return self._record_statement(rate_per_s, now_s, now_s)

    def record_told(self, rate_per_s: float, stated_s: float, now_s: float) -> bool:
        """Record what the target stated to another entry; return whether it changes the rate.

        Args:
            rate_per_s: The rate; infinite if the target stated none.
            stated_s: The loop time at which it did. A statement that is older than what is known
                changes nothing, as news of several entries overtake each other.
            now_s: The loop time.
        """
        if stated_s <= (self._unstated_s if rate_per_s == math.inf else self._stated_s):
            return False
        if stated_s + HOLD_S <= self._unstated_s:
            return False
        return self._record_statement(rate_per_s, stated_s, now_s)

    def _record_statement(self, rate_per_s: float, stated_s: float, now_s: float) -> bool:
        if rate_per_s < math.inf:
            self._stated_s = stated_s
        elif stated_s - self._stated_s < HOLD_S:
            return False
        else:
            self._unstated_s = stated_s
        if rate_per_s == self.rate_per_s:
            return False
        self.rate_per_s = rate_per_s
        self._changed_s = now_s
        self._share(now_s)
        return True

    def _share(self, now_s: float) -> None:
        """Apply the stated rate; what was sent before a change still counts."""
        rate_per_s = max(MIN_RATE_PER_S, self.rate_per_s)
        if rate_per_s == math.inf:
            self._shared = None
        elif self._shared is not None:
            self._shared.set_rate(rate_per_s, BURST_S, now_s)
        else:
            self._began_s = now_s
            self._shared = SharedRate(
                rate_per_s=rate_per_s,
                burst_s=BURST_S,
                connected_share=self._connected_share,
                now_s=now_s,
            )

    def take_news(self, now_s: float) -> bool:
        """Return whether the rate is news now, after which it is not any more."""
        if not self._is_news(now_s):
            return False
        self._told_per_s, self._told_s = self.rate_per_s, now_s
        return True

    def take_reminder(self, now_s: float) -> bool:
        """Return whether the other entries have to hear now that the target still states a rate."""
        is_due = self._stated_s > self._told_s and now_s - self._told_s >= TOLD_INTERVAL_S
        if not self.is_limited or not is_due:
            return False
        self._told_s = now_s
        return True

    def _is_news(self, now_s: float) -> bool:
        if self.rate_per_s == self._told_per_s:
            return False
        if math.inf in (self.rate_per_s, self._told_per_s):
            return True
        if now_s - self._told_s < TOLD_INTERVAL_S:
            return False
        return abs(self.rate_per_s - self._told_per_s) > NEWS_SHARE * self._told_per_s

    def set_connected_share(self, connected_share: float, now_s: float) -> None:
        """Set the share of the entries using the target that this one counts, itself included."""
        self._connected_share = connected_share
        if self._shared is not None:
            self._shared.set_connected_share(connected_share, now_s)

    def record_send(self, now_s: float) -> None:
        """Record a request to the target, of this entry or of a connected one."""
        if self._shared is None:
            return
        self._shared.record_send(now_s)
        if now_s < self._began_s + NEWS_S:
            self._shared.forgive()

    def next_send_s(self, now_s: float) -> float:
        """Return the loop time from which this entry may send the next request."""
        return now_s if self._shared is None else self._shared.next_send_s(now_s)
