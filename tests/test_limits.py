"""Workspace limits and their division among entries."""

import asyncio

from cicadatiller.config import Workspace
from cicadatiller.entry._limits import WorkspaceLimits
from cicadatiller.entry._usage_share import EQUAL_SHARE_WEIGHT, MIN_SHARE_OF_EQUAL, UsageShare
from cicadatiller.kernel import ErrorKind, FailureError, RunState
from cicadatiller.sidecar._use import MAX_WORKSPACES, UseMeter

from .support import Fleet, PausedCase


class LimiterTest(PausedCase):
    def test_request_is_admitted_after_the_retry_delay_of_its_refusal(self):
        async def scenario():
            workspace = Workspace(deployment="north", prompt_tokens_per_s=100.0)
            limits = WorkspaceLimits()
            with limits.limiter("depots", workspace, 1).admit(1_000):
                pass
            with self.assertRaises(FailureError) as caught:
                limits.limiter("depots", workspace, 1).admit(10).__enter__()
            refusal = caught.exception.failure
            self.assertIs(refusal.kind, ErrorKind.WORKSPACE_LIMIT)
            self.assertIs(refusal.run_state, RunState.NOT_RUN)
            await asyncio.sleep(refusal.retry_after_s)
            with limits.limiter("depots", workspace, 1).admit(10):
                pass

        self.run_paused(scenario())

    def test_concurrency_counts_requests_until_they_end(self):
        async def scenario():
            limits = WorkspaceLimits()
            limiter = limits.limiter("w", Workspace(deployment="d", concurrent_requests=1), 1)
            with limiter.admit(1), self.assertRaises(FailureError):
                limiter.admit(1).__enter__()
            with limiter.admit(1):
                pass

        self.run_paused(scenario())

    def test_idle_limiters_are_dropped_but_not_those_in_debt(self):
        async def scenario():
            limits = WorkspaceLimits()
            workspace = Workspace(deployment="north", prompt_tokens_per_s=100.0)
            for number in range(1000):
                with limits.limiter(f"w{number}", workspace, 1).admit(10):
                    pass
            with limits.limiter("debtor", workspace, 1).admit(1_000_000):
                pass
            await asyncio.sleep(200)
            limits.limiter("late", workspace, 1)
            self.assertEqual(len(limits), 2)
            with self.assertRaises(FailureError):
                limits.limiter("debtor", workspace, 1).admit(1).__enter__()

        self.run_paused(scenario())


class ShareTest(PausedCase):
    def _converge(self, demands: list[float], steps: int = 400) -> list[float]:
        """Return the shares after `steps` steps, each using the lesser of demand and share."""
        count = len(demands)
        shares = [UsageShare(entries=count, now_s=0.0) for _ in demands]
        meter = UseMeter()
        for step in range(steps):
            now_s = step * 0.1
            for number, demand in enumerate(demands):
                meter.record_connection(f"entry-{number}", now_s)
                used = min(demand, shares[number].value(count, now_s))
                if used > 0:
                    shares[number].record_admission()
                    tokens = round(used * 1_000_000)
                    use = meter.record("depots", f"entry-{number}", tokens, now_s)
                    shares[number].record_usage(use, now_s)
        return [share.value(count, now_s) for share in shares]

    def test_split_follows_use_within_its_bound(self):
        cases = {"one entry": [1.0, 0, 0, 0], "uneven": [0.8, 0.1, 0.1, 0], "full": [1.0] * 4}
        for name, demands in cases.items():
            with self.subTest(name):
                shares = self._converge(demands)
                self.assertLessEqual(sum(shares), 1 + MIN_SHARE_OF_EQUAL + EQUAL_SHARE_WEIGHT)
                self.assertGreaterEqual(shares[0], 0.8 * demands[0] / sum(demands))

    def test_entries_that_no_report_covers_are_extrapolated(self):
        share = UsageShare(entries=11, now_s=0.0)
        meter = UseMeter()
        for step in range(200):
            meter.record("depots", "entry-1", 1000, step)
            share.record_usage(meter.record("depots", "entry-0", 1000, step), step)
        self.assertAlmostEqual(share.value(11, 199.0), 1 / 11, delta=0.02)

    def test_meter_is_bounded(self):
        meter = UseMeter()
        for number in range(MAX_WORKSPACES + 10):
            meter.record(f"w{number}", "entry-0", 1, 0.0)
        self.assertEqual(len(meter._uses), MAX_WORKSPACES)

    def test_share_moves_to_the_entry_that_is_used(self):
        async def scenario():
            async with Fleet(entries=2) as fleet:
                for number in range(60):
                    await fleet.ask(fleet.generation(f"stock {number}", 1))
                limiter = fleet.entries[0].service.limits._limiters["depots"]
                now_s = asyncio.get_running_loop().time()
                self.assertGreater(limiter._share.value(2, now_s), 0.8)

        self.run_paused(scenario())
