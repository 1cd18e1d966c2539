"""Tests of the instance view, circuit breakers and subsets."""

import asyncio
from collections import Counter
from dataclasses import replace

from cicadatiller.backing import Instance, InstanceKind
from cicadatiller.entry._attempts import AttemptTracker
from cicadatiller.entry._peer_selector import EXTRA_PEER_LIFETIME_S, MAX_EXTRA_PEERS, PeerSelector
from cicadatiller.fleet._breaker import MIN_SLOWNESS_SAMPLES
from cicadatiller.kernel import ErrorKind, failure
from cicadatiller.membership import (
    InstanceView,
    Target,
    choose_subset,
    eject_slow,
    usable_targets,
)
from cicadatiller.membership._subset import SUBSET_SIZE
from cicadatiller.membership._view import MAX_UNLISTED_S
from cicadatiller.peer import LoadReport
from cicadatiller.standins import InstanceListStandin

from .support import Fleet, PausedCase

DATA_CENTRES = 6


def engine(number: int, *, deployment: str = "north") -> Instance:
    return Instance(
        name=f"engine-{number}",
        kind=InstanceKind.ENGINE,
        data_centre=f"hall-{number % DATA_CENTRES}",
        deployment=deployment,
        address=f"10.1.{number // 250}.{number % 250}:9100",
    )


class SubsetTest(PausedCase):
    def _subset(self, entry: int, instances) -> set[str]:
        chosen = choose_subset(f"entry-{entry}", f"hall-{entry % DATA_CENTRES}", instances)
        return {instance.name for pool in chosen.values() for instance in pool}

    def test_subsets_have_bounded_size_and_cover_every_target(self):
        instances = [engine(number) for number in range(1000)]
        counts: Counter[str] = Counter()
        for entry in range(360):
            subset = self._subset(entry, instances)
            self.assertEqual(len(subset), SUBSET_SIZE)
            counts.update(subset)
        self.assertEqual(len(counts), 1000)

    def test_small_pool_is_selected_completely_beside_a_large_one(self):
        instances = [engine(number) for number in range(200)]
        instances += [engine(number, deployment="south") for number in range(200, 216)]
        subset = self._subset(0, instances)
        self.assertLessEqual({f"engine-{number}" for number in range(200, 216)}, subset)

    def test_removing_a_selected_target_adds_one_other(self):
        instances = [engine(number) for number in range(500)]
        before = self._subset(3, instances)
        for removed in sorted(before):
            after = self._subset(3, [item for item in instances if item.name != removed])
            self.assertEqual(len(after - before), 1)


class BreakerTest(PausedCase):
    def test_opens_after_failures_and_closes_after_a_probe(self):
        target = Target(instance=engine(0))
        pool = (target, Target(instance=engine(1)), Target(instance=engine(2)))
        for _ in range(3):
            self.assertIn(target, usable_targets(pool, 0.0))
            target.breaker.record_failure(0.0)
        self.assertNotIn(target, usable_targets(pool, 0.1))
        self.assertIn(target, usable_targets(pool, 2.0))
        target.breaker.record_dispatch(2.0)
        self.assertNotIn(target, usable_targets(pool, 2.1))
        target.breaker.record_success()
        self.assertIn(target, usable_targets(pool, 2.2))

    def test_probes_become_rarer_while_a_target_stays_down(self):
        target = Target(instance=engine(0))
        pool = (target, *(Target(instance=engine(number)) for number in range(1, 4)))
        for _ in range(3):
            target.breaker.record_failure(0.0)
        probes = 0
        for step in range(600):
            if target in usable_targets(pool, step * 0.1):
                probes += 1
                target.breaker.record_failure(step * 0.1)
        self.assertLessEqual(probes, 8)
        self.assertGreaterEqual(probes, 2)

    def test_unreachable_targets_get_no_requests_while_others_are_reachable(self):
        pool = tuple(Target(instance=engine(number)) for number in range(4))
        for target in pool[1:]:
            target.breaker.record_failure(0.0, unreachable=True)
        for step in range(600):
            self.assertEqual(usable_targets(pool, step * 0.1), pool[:1])
        pool[2].breaker.record_reachable(59.0)
        self.assertEqual(usable_targets(pool, 60.0), (pool[0], pool[2]))

    def test_a_partition_does_not_empty_a_pool(self):
        for size in (1, 2, 3, 16):
            with self.subTest(size=size):
                pool = tuple(Target(instance=engine(number)) for number in range(size))
                for target in pool:
                    target.breaker.record_failure(0.0, unreachable=True)
                self.assertGreaterEqual(len(usable_targets(pool, 0.1)), max(1, size // 2))

    def test_slow_outlier_is_ejected_but_not_a_slow_pool(self):
        pool = tuple(Target(instance=engine(number)) for number in range(6))
        for _ in range(2 * MIN_SLOWNESS_SAMPLES):
            for target in pool:
                target.breaker.record_slowness(30.0)
        eject_slow(pool, 0.0)
        self.assertEqual(len(usable_targets(pool, 0.1)), 6)
        for _ in range(5 * MIN_SLOWNESS_SAMPLES):
            for target in pool[1:]:
                target.breaker.record_slowness(1.0)
        eject_slow(pool, 0.0)
        self.assertNotIn(pool[0], usable_targets(pool, 0.1))


class ViewTest(PausedCase):
    def test_unlisted_target_is_kept_while_it_reports(self):
        async def scenario():
            listed = InstanceListStandin()
            view = InstanceView(instances=listed)
            for number in range(2):
                listed.put(engine(number))
            await view.refresh()
            reporting, unresponsive = view.targets()
            now_s = asyncio.get_running_loop().time()
            reporting.observe(LoadReport(sequence=1), now_s)
            for number in range(2):
                listed.remove(f"engine-{number}")
            await view.refresh()
            self.assertEqual(view.targets(), (reporting,))
            self.assertTrue(view.was_removed(unresponsive.address))
            for _ in range(int(MAX_UNLISTED_S) + 2):
                await asyncio.sleep(1)
                reporting.observe(LoadReport(sequence=2), asyncio.get_running_loop().time())
            await view.refresh()
            self.assertEqual(view.targets(), ())

        self.run_paused(scenario())

    def test_address_of_a_target_that_moved_counts_as_removed(self):
        async def scenario():
            listed = InstanceListStandin()
            view = InstanceView(instances=listed)
            listed.put(engine(0))
            await view.refresh()
            old = view.targets()[0].address
            listed.put(replace(engine(0), address="10.9.9.9:9100"))
            await view.refresh()
            self.assertEqual(view.targets()[0].address, "10.9.9.9:9100")
            self.assertTrue(view.was_removed(old))
            self.assertFalse(view.was_removed("10.9.9.9:9100"))

        self.run_paused(scenario())

    def test_leaving_target_stays_leaving(self):
        async def scenario():
            listed = InstanceListStandin()
            view = InstanceView(instances=listed)
            listed.put(engine(0))
            listed.mark_leaving("engine-0")
            await view.refresh()
            listed.put(engine(0))
            await view.refresh()
            self.assertTrue(view.targets()[0].leaving)

        self.run_paused(scenario())

    def test_new_incarnation_restarts_the_report_sequence(self):
        target = Target(instance=engine(0))
        target.observe(LoadReport(sequence=90, queued=9), 1.0)
        target.observe(LoadReport(sequence=1, queued=0), 2.0, first=True)
        self.assertEqual(target.load.queued, 0)
        target.observe(LoadReport(sequence=0, queued=5), 3.0)
        self.assertEqual(target.load.queued, 0)

    def test_list_outage_keeps_targets_and_unreachable_one_is_ejected(self):
        async def scenario():
            async with Fleet(engines=4) as fleet:
                fleet.instances.down = True
                await fleet.sidecars["engine-1"].close()
                for number in range(12):
                    outcome = await fleet.ask(fleet.generation(f"stock {number}"))
                    self.assertIsNone(outcome.failure)
                target = fleet.entries[0].view.target_at("10.0.1.2:9100")
                await asyncio.sleep(3)
                self.assertTrue(target.breaker.is_open)

        self.run_paused(scenario())

    def test_target_without_response_counts_as_slow(self):
        async def scenario():
            async with Fleet(engines=1, entries=1) as fleet:
                service = fleet.entries[0].service
                attempts = AttemptTracker(
                    request=fleet.generation("stock check"),
                    deployment="north",
                    version="v1",
                    dispatcher=service.dispatcher,
                    emit=lambda event: None,
                    on_first_token=lambda taken_s: None,
                )
                target = attempts.pick(frozenset())
                self.assertEqual(target.in_flight, 1)
                await asyncio.sleep(10)
                attempts.record_failure(failure(ErrorKind.DEADLINE_EXCEEDED, "late"))
                self.assertGreater(target.breaker.slowness, 10)
                self.assertEqual(target.in_flight, 0)

        self.run_paused(scenario())

    def test_target_that_fails_again_after_a_completed_request_is_probed_later(self):
        async def scenario():
            async with Fleet(engines=1, entries=1) as fleet:
                loop = asyncio.get_running_loop()
                attempts = AttemptTracker(
                    request=fleet.generation("stock check"),
                    deployment="north",
                    version="v1",
                    dispatcher=fleet.entries[0].service.dispatcher,
                    emit=lambda event: None,
                    on_first_token=lambda taken_s: None,
                )
                breaker = attempts.pick(frozenset()).breaker
                for _ in range(3):
                    breaker.record_failure(loop.time())
                await asyncio.sleep(10)
                attempts.record_success()
                self.assertFalse(breaker.is_open)
                await asyncio.sleep(1)
                for _ in range(3):
                    breaker.record_failure(loop.time())
                self.assertFalse(breaker.is_probe_due(loop.time() + 1.35))
                self.assertTrue(breaker.is_probe_due(loop.time() + 2.65))

        self.run_paused(scenario())

    def test_pool_closes_unwanted_connections_and_clears_their_load(self):
        async def scenario():
            async with Fleet(engines=2, entries=1) as fleet:
                fleet.entries[0].pool.keep(set())
                target = fleet.entries[0].view.target_at("10.0.1.1:9100")
                self.assertIsNone(target.load)
                await asyncio.sleep(3)
                self.assertIsNotNone(target.load)

        self.run_paused(scenario())

    def test_subset_widens_in_steps_for_a_missing_model_and_narrows_again(self):
        class RecordingPool:
            def keep(self, addresses):
                self.kept = addresses

        async def scenario():
            listed = InstanceListStandin()
            for number in range(200):
                listed.put(engine(number))
            view = InstanceView(instances=listed)
            pool = RecordingPool()
            selector = PeerSelector(name="entry-0", data_centre="hall-0", view=view, pool=pool)
            await view.refresh()
            self.assertEqual(len(pool.kept), SUBSET_SIZE)
            for _ in range(50):
                selector.widen("north", "glacier")
                for address in pool.kept:
                    view.target_at(address).observe(LoadReport(), 0.0)
            self.assertGreater(len(pool.kept), SUBSET_SIZE)
            self.assertLessEqual(len(pool.kept), SUBSET_SIZE + MAX_EXTRA_PEERS)
            await asyncio.sleep(EXTRA_PEER_LIFETIME_S + 1)
            await view.refresh()
            self.assertEqual(len(pool.kept), SUBSET_SIZE)

        self.run_paused(scenario())
