"""Tests of the start order, memory and estimates of one engine."""

import asyncio
import math
import random

from cicadatiller.config import PolicyWeights
from cicadatiller.kernel import ErrorKind, FailureError, RunState
from cicadatiller.sidecar._memory import CLAIM_TTL_S
from cicadatiller.sidecar._queue import Ticket
from cicadatiller.sidecar._scheduler import Scheduler

from .support import PausedCase

WEIGHTS = PolicyWeights(
    short_prompt_tokens=100,
    long_prompt_tokens=1_000,
    long_share=0.5,
    long_in_flight_tokens=6_000,
    prefill_in_flight_tokens=400,
    ageing_s=10.0,
)
CAPACITY = 10_000
RATE = 1_000.0


class SchedulerTest(PausedCase):
    def make(self, weights=WEIGHTS):
        """Return a scheduler of an engine whose capacity is known."""
        self.scheduler = Scheduler(weights=weights)
        self.scheduler.capacity_tokens = CAPACITY
        return self.scheduler

    def ticket(self, tokens, *, output=0, limit_s=math.inf):
        """Return a request that is queued now."""
        now_s = asyncio.get_running_loop().time()
        return Ticket(
            request_id=f"request-{random.random()}",
            workspace="depots",
            weight=1.0,
            prompt_tokens=tokens,
            kv_tokens=tokens + output,
            queued_s=now_s,
            deadline_s=now_s + limit_s,
        )

    async def serve(self, ticket, *, rate=RATE, decode_s=0.0):
        """Run a request on an engine with a prefill rate; return the time at which it started."""
        await self.scheduler.acquire(ticket)
        granted_s = asyncio.get_running_loop().time()
        try:
            await asyncio.sleep(ticket.prompt_tokens / rate)
            self.scheduler.prefill_ended(ticket.request_id)
            await asyncio.sleep(decode_s)
        finally:
            self.scheduler.release(ticket)
        return granted_s

    def test_prefill_rate_is_observed(self):
        async def scenario():
            self.make()
            for _ in range(5):
                await self.serve(self.ticket(300))
            self.assertAlmostEqual(self.scheduler.rates.prefill_tokens_per_s, RATE, delta=1)

        self.run_paused(scenario())

    def test_cancelled_prefill_does_not_distort_the_rate(self):
        async def scenario():
            self.make()
            await self.serve(self.ticket(300))
            cancelled = asyncio.create_task(self.serve(self.ticket(3_000)))
            await asyncio.sleep(2)
            cancelled.cancel()
            await asyncio.gather(cancelled, return_exceptions=True)
            await self.serve(self.ticket(300))
            self.assertAlmostEqual(self.scheduler.rates.prefill_tokens_per_s, RATE, delta=1)

        self.run_paused(scenario())

    def test_long_prefill_in_flight_does_not_distort_the_rate(self):
        async def scenario():
            self.make()
            long = asyncio.create_task(self.serve(self.ticket(4_000), rate=RATE / 2))
            await asyncio.sleep(0)
            self.assertEqual(self.scheduler.prefilling_tokens, 4_000)
            while not long.done():
                await self.serve(self.ticket(100), rate=RATE / 2)
                if self.scheduler.rates.prefill_tokens_per_s:
                    self.assertAlmostEqual(
                        self.scheduler.rates.prefill_tokens_per_s, RATE, delta=50
                    )
            self.assertAlmostEqual(self.scheduler.rates.prefill_tokens_per_s, RATE, delta=50)

        self.run_paused(scenario())

    def test_request_that_cannot_meet_its_deadline_fails_at_once(self):
        async def scenario():
            self.make()
            await self.serve(self.ticket(300))
            running = asyncio.create_task(self.serve(self.ticket(5_000)))
            await asyncio.sleep(0)
            started_s = asyncio.get_running_loop().time()
            with self.assertRaises(FailureError) as caught:
                await self.serve(self.ticket(2_000, limit_s=3.0))
            failure = caught.exception.failure
            self.assertIs(failure.kind, ErrorKind.DEADLINE_UNREACHABLE)
            self.assertIs(failure.run_state, RunState.NOT_RUN)
            self.assertGreater(failure.retry_after_s, 0)
            self.assertEqual(asyncio.get_running_loop().time(), started_s)
            await running

        self.run_paused(scenario())

    def test_waiting_request_fails_when_its_deadline_is_unreachable(self):
        async def scenario():
            self.make()
            await self.serve(self.ticket(300))
            blocker = self.ticket(10, output=CAPACITY - 10)
            running = asyncio.create_task(self.serve(blocker, decode_s=60))
            await asyncio.sleep(1)
            started_s = asyncio.get_running_loop().time()
            with self.assertRaises(FailureError) as caught:
                await self.serve(self.ticket(2_000, limit_s=10.0))
            self.assertIs(caught.exception.failure.kind, ErrorKind.DEADLINE_UNREACHABLE)
            self.assertAlmostEqual(asyncio.get_running_loop().time() - started_s, 8.0, places=1)
            self.assertEqual(self.scheduler.queued, 0)
            running.cancel()

        self.run_paused(scenario())

    def test_idle_engine_accepts_a_request_despite_the_estimate(self):
        async def scenario():
            self.make()
            await self.serve(self.ticket(300), rate=1.0)
            await self.serve(self.ticket(300, limit_s=100.0))
            self.assertGreater(self.scheduler.rates.prefill_tokens_per_s, 1.0)

        self.run_paused(scenario())

    def test_rate_of_tiny_prompts_is_not_used_for_long_ones(self):
        async def scenario():
            self.make()
            # A step's fixed cost makes a tiny prompt about as slow as one 100 times longer.
            await self.serve(self.ticket(3), rate=RATE / 100)
            running = asyncio.create_task(self.serve(self.ticket(300)))
            await asyncio.sleep(0)
            self.assertEqual(self.scheduler.estimate_wait_s(2_000), 0.0)
            await self.serve(self.ticket(2_000, limit_s=10.0))
            await running
            # The rate is used again once it was measured with longer prompts.
            self.assertAlmostEqual(
                self.scheduler.rates.prefill_rate_for(2_000), RATE, delta=RATE / 3
            )

        self.run_paused(scenario())

    def test_long_prefill_gets_its_share_beside_short_prompts(self):
        async def scenario():
            self.make()
            await self.serve(self.ticket(100))
            await self.scheduler.acquire(self.ticket(4_000))
            started_s = asyncio.get_running_loop().time()
            grant_times_s = await asyncio.gather(*(self.serve(self.ticket(100)) for _ in range(50)))
            elapsed_s = max(grant_times_s) - started_s
            self.assertGreaterEqual(elapsed_s, 50 * 100 / (RATE * 0.5) - 1.0)

        self.run_paused(scenario())

    def test_prefill_in_flight_is_bounded_by_class(self):
        async def scenario():
            self.make()
            tasks = [asyncio.create_task(self.serve(self.ticket(3_000))) for _ in range(3)]
            tasks += [asyncio.create_task(self.serve(self.ticket(100))) for _ in range(6)]
            await asyncio.sleep(0.01)
            self.assertEqual(self.scheduler.running(), 2 + 4)
            self.assertEqual(self.scheduler.queued, 1 + 2)
            await asyncio.gather(*tasks)
            self.assertEqual(self.scheduler.used_tokens(), 0)

        self.run_paused(scenario())

    def test_claim_blocks_all_but_short_requests_until_it_expires(self):
        async def scenario():
            self.make()
            first = self.ticket(500, output=5_000)
            running = asyncio.create_task(self.serve(first, decode_s=5))
            await asyncio.sleep(1)
            self.assertFalse(self.scheduler.hold("gang", 9_000))
            medium = asyncio.create_task(self.serve(self.ticket(500)))
            short = asyncio.create_task(self.serve(self.ticket(50)))
            await asyncio.sleep(0.5)
            self.assertTrue(short.done())
            self.assertFalse(medium.done())
            await asyncio.sleep(CLAIM_TTL_S)
            self.scheduler.wake()
            await medium
            await running
            self.assertTrue(self.scheduler.hold("gang", 9_000))
            self.scheduler.release_hold("gang")
            self.assertEqual(self.scheduler.used_tokens(), 0)

        self.run_paused(scenario())

    def test_claims_are_served_in_order(self):
        async def scenario():
            self.make()
            self.assertTrue(self.scheduler.hold("a", 9_000))
            self.assertFalse(self.scheduler.hold("b", 5_000))
            self.assertFalse(self.scheduler.hold("c", 6_000))
            self.scheduler.release_hold("a")
            self.assertFalse(self.scheduler.hold("c", 6_000))
            self.assertTrue(self.scheduler.hold("b", 5_000))

        self.run_paused(scenario())

    def test_requests_and_claims_get_memory_in_order_of_arrival(self):
        async def scenario():
            self.make()
            self.assertTrue(self.scheduler.hold("a", 6_000))
            waiting = asyncio.create_task(self.serve(self.ticket(5_000), decode_s=2))
            await asyncio.sleep(0.1)
            self.assertFalse(self.scheduler.hold("b", 4_000))
            self.assertFalse(self.scheduler.hold("c", 2_000))
            younger = asyncio.create_task(self.serve(self.ticket(4_500)))
            await asyncio.sleep(0.1)
            self.scheduler.release_hold("a")
            await asyncio.sleep(0)
            self.assertEqual(self.scheduler.used_tokens(), 5_000)
            self.assertTrue(self.scheduler.hold("b", 4_000))
            self.assertEqual(self.scheduler.used_tokens(), 9_000)
            self.scheduler.release_hold("b")
            self.scheduler.release_hold("c")
            await asyncio.gather(waiting, younger)
            self.assertEqual(self.scheduler.used_tokens(), 0)

        self.run_paused(scenario())

    def test_long_prefill_is_counted_separately(self):
        async def scenario():
            self.make()
            tasks = [asyncio.create_task(self.serve(self.ticket(n))) for n in (50, 300, 2_000)]
            await asyncio.sleep(0.01)
            self.assertEqual(self.scheduler.prefilling_long_tokens, 2_000)
            self.assertEqual(self.scheduler.prefilling_tokens, 2_350)
            await asyncio.gather(*tasks)
            self.assertEqual(self.scheduler.prefilling_long_tokens, 0)

        self.run_paused(scenario())

    def test_cancelled_requests_leave_nothing_behind(self):
        async def scenario():
            self.make()
            rng = random.Random(3)
            tasks = []
            for _ in range(200):
                item = self.ticket(rng.choice((50, 500, 3_000)), output=rng.randrange(500))
                tasks.append(asyncio.create_task(self.serve(item, decode_s=rng.random())))
                await asyncio.sleep(rng.random() * 0.1)
                rng.choice(tasks).cancel()
                if rng.random() < 0.05:
                    self.scheduler.use_weights(PolicyWeights(ageing_s=rng.uniform(1, 20)))
            await asyncio.gather(*tasks, return_exceptions=True)
            self.assertEqual(self.scheduler.used_tokens(), 0)
            self.assertEqual(self.scheduler.running(), 0)
            self.assertEqual((self.scheduler.queued, self.scheduler.queued_prompt_tokens), (0, 0))
            self.assertEqual([self.scheduler._budget.in_flight(n) for n in range(3)], [0, 0, 0])

        self.run_paused(scenario())
