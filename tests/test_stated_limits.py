"""Tests of targets that state how many requests a second they take from all entries together."""

import asyncio

from .support.gateways import GatewayCase

ENTRIES = 4
INTERVAL_S = 0.05
# The users' rule: what reaches a target in some window, from the time on in which entries hear of it.
WINDOW_S = 4.0
EXCESS = 1.5
SLACK = 5
CONTACT_S = 3.0


def most_in_window(times_s):
    """Return the largest number of times within `WINDOW_S`."""
    return max(
        (sum(first <= other < first + WINDOW_S for other in times_s) for first in times_s),
        default=0,
    )


class LimitCase(GatewayCase):
    async def load(self, fleet, kind, duration_s, *, entries=ENTRIES, interval_s=INTERVAL_S):
        """Send requests to all entries in turn; return the replies."""
        asking = []
        begin_s = fleet.loop.time()
        while fleet.loop.time() < begin_s + duration_s:
            entry = len(asking) % entries
            asking.append(fleet.loop.create_task(fleet.ask(kind, entry=entry, deadline_ms=9000)))
            await asyncio.sleep(interval_s)
        return await asyncio.gather(*asking)

    def received_since(self, target, since_s):
        return [time_s for time_s, _ in target.received if time_s > since_s]

    def assert_served(self, replies):
        self.assertEqual({reply.status for reply in replies}, {200})

    def assert_within(self, limit_per_s, received_s):
        allowed = EXCESS * WINDOW_S * limit_per_s + SLACK
        self.assertLessEqual(most_in_window(received_s), allowed, received_s)


class StatedLimitTest(LimitCase):
    def check_all_entries_together(self, kind, service, limit, *, targets=3):
        async def scenario(fleet):
            limited = fleet.targets["t-1"]
            limited.limit = limit
            since_s = fleet.loop.time() + CONTACT_S
            replies = await self.load(fleet, kind, 15.0)
            return replies, self.received_since(limited, since_s)

        replies, received_s = self.run_scenario(
            scenario, entries=ENTRIES, targets=(service,) * targets
        )
        self.assert_served(replies)
        self.assertGreater(len(received_s), 0)
        self.assert_within(float(limit), received_s)

    def test_calls_of_all_entries_together_keep_to_the_limit_of_a_target(self):
        self.check_all_entries_together("safe", "pool", b"1")

    def test_streams_and_probes_of_all_entries_together_keep_to_the_limit_of_an_engine(self):
        self.check_all_entries_together("stream", "engines", b"1.2", targets=2)

    def test_limit_of_zero_leaves_little_more_than_what_shows_that_it_ended(self):
        self.check_all_entries_together("safe", "pool", b"0")

    def test_entry_that_starts_later_keeps_to_the_limit_before_the_target_tells_it(self):
        async def scenario(fleet):
            limited = fleet.targets["t-1"]
            limited.limit = b"0.5"
            await self.load(fleet, "safe", 4.0)
            await fleet.add_gateway()
            await asyncio.sleep(2.0)
            since_s = fleet.loop.time()
            await asyncio.gather(*(fleet.ask(entry=ENTRIES) for _ in range(20)))
            return self.received_since(limited, since_s)

        received_s = self.run_scenario(scenario, entries=ENTRIES)
        self.assertLessEqual(len(received_s), 2)

    def test_retries_keep_to_the_limit(self):
        async def scenario(fleet):
            limited, failing, _ = fleet.targets.values()
            limited.limit = b"1"
            failing.script = lambda headers, number: 503
            since_s = fleet.loop.time() + CONTACT_S
            await self.load(fleet, "safe", 12.0)
            return self.received_since(limited, since_s)

        self.assert_within(1.0, self.run_scenario(scenario, entries=ENTRIES, targets=("pool",) * 3))
