"""Entries that send to one target which states how much it takes, without a network.

Only what limits the rate is the product's own.
"""

import heapq
import itertools
import math
import random
from dataclasses import dataclass

from cicadatiller.fleet._stated_rate import StatedRate

STEP_S = 0.01
PLAY_S = 14.0


@dataclass(frozen=True, kw_only=True)
class Need:
    """What a target states, and how entries send to it.

    Attributes:
        stated: The rates that its answers state in turn; None for an answer that states none.
        entries: The number of entries, each of which always has a request that waits.
        work_s: The time until the target answers.
        max_delay_s: The longest time until an entry hears of what another one sent or was told;
            news overtake each other.
        shares: The share of the entries that each counts, which changes once a second.
        seed: Seeds the delays and the order of the entries.
    """

    stated: tuple[float | None, ...]
    entries: int
    work_s: float
    max_delay_s: float
    shares: tuple[float, ...]
    seed: int


class LimitPlay:
    """Plays a target's need.

    Attributes:
        sent_s: When requests were sent.
        named: When the target named a rate, and which.
        told: How often an entry told the others of a rate.
    """

    def __init__(self, need, make_rate=StatedRate):
        self.need = need
        self.rng = random.Random(need.seed)
        self.rates = [make_rate() for _ in range(need.entries)]
        self.stated = itertools.cycle(need.stated)
        self.sent_s, self.named, self.told = [], [], 0
        self.now_s = 0.0
        self._events, self._order = [], itertools.count()

    def run(self):
        """Play to the end; return the play."""
        steps = round(PLAY_S / STEP_S)
        for step in range(steps):
            self.now_s = step * STEP_S
            while self._events and self._events[0][0] <= self.now_s:
                _, _, call, arguments = heapq.heappop(self._events)
                call(*arguments)
            if step % round(1 / STEP_S) == 0:
                share = self.need.shares[step // round(1 / STEP_S) % len(self.need.shares)]
                for rate in self.rates:
                    rate.set_connected_share(share, self.now_s)
            for entry in self.rng.sample(range(self.need.entries), self.need.entries):
                self._send_one(entry)
        return self

    def _at(self, delay_s, call, *arguments):
        heapq.heappush(self._events, (self.now_s + delay_s, next(self._order), call, arguments))

    def _send_one(self, entry):
        rate = self.rates[entry]
        if rate.next_send_s(self.now_s) > self.now_s:
            return
        rate.record_send(self.now_s)
        self.sent_s.append(self.now_s)
        self._tell(entry, lambda peer: peer.record_send(self.now_s))
        self._at(self.need.work_s, self._answer, entry, self.now_s)

    def _tell(self, entry, apply):
        for number, peer in enumerate(self.rates):
            if number != entry:
                self._at(self.rng.uniform(0.0, self.need.max_delay_s), apply, peer)

    def _answer(self, entry, sent_s):
        stated = next(self.stated)
        if stated is not None:
            self.named.append((self.now_s, stated))
        rate, told_s = self.rates[entry], self.now_s
        rate.record(math.inf if stated is None else stated, told_s, sent_s=sent_s)
        if rate.take_news(told_s) or rate.take_reminder(told_s):
            self.told += 1
            now = rate.rate_per_s
            self._tell(entry, lambda peer: peer.record_told(now, told_s, self.now_s))
