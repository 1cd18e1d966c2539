"""Refusals on admission, the limit on open requests, the retry budget and latency metrics."""

from cicadatiller.config import PolicyWeights
from cicadatiller.entry import EntryMetrics
from cicadatiller.entry._admission import MAX_QUEUED_REQUESTS, Admission
from cicadatiller.entry._estimate import RequestSize
from cicadatiller.entry._retry_budget import MAX_RETRIES, RETRY_SHARE, RetryBudget
from cicadatiller.kernel import ErrorKind, FailureError, RunState
from cicadatiller.rpc._latency import latency_summary
from cicadatiller.standins import EngineModel

from .support import Fleet, PausedCase
from .test_routing import RATE, targets

WEIGHTS = PolicyWeights()


class AdmissionTest(PausedCase):
    def _refusal(self, size: RequestSize, limit_s: float, pool):
        try:
            Admission().check(size, limit_s, pool, WEIGHTS)
        except FailureError as error:
            self.assertIs(error.failure.run_state, RunState.NOT_RUN)
            return error.failure
        return None

    def test_request_too_slow_for_an_idle_target_is_refused(self):
        size = RequestSize(prompt_tokens=100_000)
        refusal = self._refusal(size, 9.0, targets(2))
        self.assertIs(refusal.kind, ErrorKind.DEADLINE_UNREACHABLE)
        self.assertIsNone(self._refusal(size, 11.0, targets(2)))

    def test_output_counts_when_its_rate_is_known(self):
        size = RequestSize(prompt_tokens=10, max_output_tokens=1000)
        pool = targets(1, decode_tokens_per_s=50.0)
        self.assertIs(self._refusal(size, 10.0, pool).kind, ErrorKind.DEADLINE_UNREACHABLE)
        self.assertIsNone(self._refusal(size, 21.0, pool))

    def test_retry_delay_of_an_overload_refusal_grows_with_the_backlog(self):
        size = RequestSize(prompt_tokens=1000)
        waits = []
        for backlog in (100, 200):
            pool = targets(2, queued=backlog, queued_prompt_tokens=backlog * 4_000)
            refusal = self._refusal(size, 10.0, pool)
            self.assertIs(refusal.kind, ErrorKind.OVERLOADED)
            waits.append(refusal.retry_after_s)
        self.assertGreater(waits[1], waits[0])
        self.assertLessEqual(waits[0], 100 * 4_000 / RATE)

    def test_a_wait_is_no_reason_to_refuse_what_ends_in_time(self):
        # Guards against refusals at a share of the time limit: the caller has all of it.
        size = RequestSize(prompt_tokens=10_000)
        time_s = size.prompt_tokens / RATE
        for wait_s in (1.0, 5.0, 9.0 - time_s):
            backlog = int(wait_s * RATE)
            pool = targets(2, queued=backlog // 4_000 + 1, queued_prompt_tokens=backlog)
            self.assertIsNone(self._refusal(size, 10.0, pool), wait_s)

    def test_a_refused_caller_is_told_when_its_request_would_end_in_time(self):
        size = RequestSize(prompt_tokens=10_000)
        wait_s = 12.0
        pool = targets(2, queued=100, queued_prompt_tokens=int(wait_s * RATE))
        refusal = self._refusal(size, 10.0, pool)
        self.assertIs(refusal.kind, ErrorKind.OVERLOADED)
        self.assertAlmostEqual(refusal.retry_after_s, wait_s + size.prompt_tokens / RATE - 10.0)

    def test_one_free_target_is_enough(self):
        busy = targets(1, queued=200, queued_prompt_tokens=800_000)
        self.assertIsNone(self._refusal(RequestSize(prompt_tokens=1000), 10.0, busy + targets(1)))

    def test_unknown_rates_admit_until_the_queues_are_full(self):
        pool = targets(1, queued=MAX_QUEUED_REQUESTS - 1)
        for number, kind in ((0, None), (1, ErrorKind.OVERLOADED)):
            with self.subTest(number=number):
                pool = targets(1, queued=MAX_QUEUED_REQUESTS - 1 + number)
                for target in pool:
                    target.load = type(target.load)(queued=target.load.queued)
                refusal = self._refusal(RequestSize(prompt_tokens=1000), 0.01, pool)
                self.assertIs(refusal and refusal.kind, kind)

    def test_open_requests_are_capped(self):
        admission = Admission(max_open_requests=1)
        with admission.slot(), self.assertRaises(FailureError) as caught:
            admission.slot().__enter__()
        self.assertIs(caught.exception.failure.kind, ErrorKind.OVERLOADED)
        with admission.slot():
            pass

    def test_prompt_larger_than_all_memory_is_refused_as_not_run(self):
        async def scenario():
            model = EngineModel(kv_capacity_tokens=1_000)
            async with Fleet(model=model) as fleet:
                outcome = await fleet.ask(fleet.generation("audit " * 10_000))
                self.assertIs(outcome.failure.kind, ErrorKind.TOO_LARGE)
                self.assertIs(outcome.failure.run_state, RunState.NOT_RUN)

        self.run_paused(scenario())


class EstimateAfterTinyPromptsTest(PausedCase):
    def test_long_prompt_after_tiny_ones_is_not_refused(self):
        async def scenario():
            model = EngineModel(kv_capacity_tokens=200_000)
            async with Fleet(engines=1, entries=1, model=model) as fleet:
                for number in range(40):
                    await fleet.ask(fleet.generation(f"stock {number}", 2))
                outcome = await fleet.ask(fleet.generation("audit " * 90_000, 4))
                self.assertIsNone(outcome.failure, outcome.failure)
                self.assertLess(outcome.took_s, 15)

        self.run_paused(scenario())


class RetryBudgetTest(PausedCase):
    def test_retries_are_a_share_of_successes(self):
        budget = RetryBudget()
        self.assertEqual(sum(budget.take() for _ in range(1000)), MAX_RETRIES)
        spent = 0
        for _ in range(2000):
            budget.record_success()
            spent += budget.take()
        self.assertLessEqual(spent, 2000 * RETRY_SHARE + 1)
        while budget.take():
            pass
        for _ in range(10_000):
            budget.record_success()
        self.assertEqual(sum(budget.take() for _ in range(1000)), MAX_RETRIES)

    def test_metrics_count_refusals_and_first_tokens(self):
        async def scenario():
            async with Fleet() as fleet:
                await fleet.ask(fleet.generation("stock check"))
                await fleet.ask(fleet.generation("stock check", model="absent"))
                metrics = fleet.entries[0].service.metrics
                self.assertEqual(
                    metrics.failures(), {(ErrorKind.UNKNOWN_MODEL, RunState.NOT_RUN): 1}
                )
                counts = [figures.count for figures in metrics.time_to_first_token()]
                self.assertEqual(counts, [1, 0, 0, 0])

        self.run_paused(scenario())


class LatencyTest(PausedCase):
    def test_operators_read_the_histograms(self):
        metrics = EntryMetrics()
        for tokens, elapsed_s in ((100, 0.5), (200_000, 40.0)):
            metrics.record_first_token(tokens, elapsed_s)
        summaries = [latency_summary(figures) for figures in metrics.time_to_first_token()]
        self.assertEqual([s.count for s in summaries], [1, 0, 0, 1])
        self.assertEqual([s.bucket for s in summaries], ["<=4k", "4k-32k", "32k-128k", ">128k"])
        self.assertAlmostEqual(summaries[3].p95_ms, 40_000, delta=400)
