"""Routing policies and the estimates that they use."""

from cicadatiller.config import PolicyWeights
from cicadatiller.entry import RouteQuery, routing_registry
from cicadatiller.entry._estimate import RequestSize, estimate
from cicadatiller.entry._prefixes import (
    MAX_PREFIXES,
    PREFIX_BLOCK_CHARACTERS,
    PrefixIndex,
    prefix_hashes,
)
from cicadatiller.membership import Target, long_prompt_rank
from cicadatiller.peer import LoadReport

from .support import PausedCase
from .test_membership import DATA_CENTRES, engine

RATE = 10_000.0
RATED = {"prefill_tokens_per_s": RATE, "prefill_sample_tokens": 100_000}
CONTRACT = "clause " * PREFIX_BLOCK_CHARACTERS


def targets(count: int, **load) -> tuple[Target, ...]:
    made = []
    for number in range(count):
        target = Target(instance=engine(number * DATA_CENTRES))
        target.observe(LoadReport(**RATED, **load), 0.0)
        made.append(target)
    return tuple(made)


def query(
    prompt: str, *, prompt_tokens: int = 0, weights: PolicyWeights | None = None
) -> RouteQuery:
    return RouteQuery(
        workspace="depots",
        prompt=prompt,
        size=RequestSize(prompt_tokens=prompt_tokens or len(prompt) // 4),
        data_centre="hall-0",
        weights=weights or PolicyWeights(),
    )


class EstimateTest(PausedCase):
    def test_sent_work_counts_until_a_report_must_include_it(self):
        target = targets(1)[0]
        work = target.start_work(20_000, 1.0)
        size = RequestSize(prompt_tokens=5_000)
        self.assertEqual(estimate(target, size, PolicyWeights()).wait_s, 2.0)
        target.observe(LoadReport(sequence=1, **RATED), 1.1)
        self.assertEqual(estimate(target, size, PolicyWeights()).wait_s, 2.0)
        work.awaits_first_token = False
        self.assertEqual(estimate(target, size, PolicyWeights()).wait_s, 0.0)

    def test_short_requests_do_not_wait_for_long_ones_ahead(self):
        target = targets(1, queued=2, queued_prompt_tokens=900_000)[0]
        short = estimate(target, RequestSize(prompt_tokens=100), PolicyWeights())
        long = estimate(target, RequestSize(prompt_tokens=100_000), PolicyWeights())
        self.assertLessEqual(short.wait_s, 2 * 4_000 / RATE)
        self.assertEqual(long.wait_s, 90.0)


class AffinityTest(PausedCase):
    def _policy(self, seed: int = 1):
        return routing_registry.create("affinity", seed=seed)

    def test_entries_agree_on_the_home_of_a_prefix(self):
        pool = targets(8)
        chosen = {
            self._policy(seed).choose(query(CONTRACT + str(seed)), pool).address
            for seed in range(6)
        }
        self.assertLessEqual(len(chosen), 2)

    def test_affinity_yields_to_load(self):
        pool = targets(8)
        policy = self._policy()
        first = policy.choose(query(CONTRACT), pool)
        self.assertIs(policy.choose(query(CONTRACT + "more"), pool), first)
        for _ in range(2):
            first.start_work(4_000, 1.0)
        self.assertIsNot(policy.choose(query(CONTRACT + "again"), pool), first)

    def _place_long(self, pool, count: int, weights: PolicyWeights) -> list[str]:
        """Place prompts of 30 s of prefill each; return the addresses of their targets."""
        policy = self._policy()
        chosen = []
        for number in range(count):
            long = query(f"audit {number}", prompt_tokens=300_000, weights=weights)
            target = policy.choose(long, pool)
            target.start_work(300_000, 1.0)
            chosen.append(target.address)
        return chosen

    def test_long_prompts_spread_over_all_targets(self):
        chosen = self._place_long(targets(8), 8, PolicyWeights(long_share=0.7))
        self.assertEqual(len(set(chosen)), 8)

    def test_long_prompts_leave_targets_free_as_the_deployment_weighs_them(self):
        for long_share, used in ((0.0, 3), (0.2, 5), (0.9, 10)):
            with self.subTest(long_share=long_share):
                weights = PolicyWeights(long_share=long_share)
                pool = targets(10)
                self.assertEqual(len(set(self._place_long(pool, used, weights))), used)
                with_spill = self._place_long(pool, 40, weights)
                self.assertEqual(len(set(with_spill)), 10)

    def test_short_prompts_avoid_targets_for_long_prompts(self):
        weights = PolicyWeights(long_share=0.2)
        pool = targets(10)
        ranked = sorted(pool, key=lambda target: long_prompt_rank(target.instance.name))
        policy = self._policy()
        chosen = [policy.choose(query(f"stock {n}", weights=weights), pool) for n in range(60)]
        self.assertLess(sum(target in ranked[:5] for target in chosen), 20)
        for target in ranked[5:]:
            target.start_work(4_000, 1.0)
        self.assertIn(policy.choose(query("stock", weights=weights), pool), ranked[:5])

    def test_memory_held_by_gangs_does_not_count_as_long_work(self):
        held, prefilling = targets(2)
        held.observe(LoadReport(sequence=1, kv_used_tokens=300_000, **RATED), 0.0)
        report = LoadReport(sequence=1, prefilling_long_tokens=300_000, **RATED)
        prefilling.observe(report, 0.0)
        size = RequestSize(prompt_tokens=1_000)
        self.assertEqual(estimate(held, size, PolicyWeights()).wait_s, 0.0)
        self.assertGreater(estimate(prefilling, size, PolicyWeights()).wait_s, 0.0)

    def test_one_target_takes_long_prompts_too(self):
        pool = targets(1)
        weights = PolicyWeights(long_share=0.0)
        self.assertEqual(self._place_long(pool, 2, weights), [pool[0].address] * 2)

    def test_own_data_centre_is_preferred_until_its_load_is_higher(self):
        near = targets(2)
        far = Target(instance=engine(1))
        far.observe(LoadReport(**RATED), 0.0)
        policy = self._policy()
        for number in range(5):
            self.assertIn(policy.choose(query(f"stock {number}"), (*near, far)), near)
        for target in near:
            target.start_work(3_000, 1.0)
        self.assertIs(policy.choose(query("stock"), (*near, far)), far)

    def test_prefix_hashing_and_index_are_bounded(self):
        hashes = prefix_hashes("depots", "x" * 4_000_000)
        self.assertLessEqual(len(hashes), 9)
        memory = PrefixIndex()
        for number in range(MAX_PREFIXES + 5):
            memory.record(((1, number),), "engine-0")
        self.assertEqual(len(memory), MAX_PREFIXES)

    def test_prefixes_differ_by_workspace_and_agree_by_start(self):
        one = prefix_hashes("depots", CONTRACT)
        self.assertEqual(one[0], prefix_hashes("depots", CONTRACT + "tail")[0])
        self.assertNotEqual(one[0], prefix_hashes("audits", CONTRACT)[0])
