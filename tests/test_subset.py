"""Tests of the subsets of targets that entries use, and of the peers that they link to."""

import asyncio
import tracemalloc
import unittest
from collections import Counter
from unittest import mock

from cicadatiller.fleet import (
    SHARING_ENTRIES,
    TargetDirectory,
    TargetRecord,
    TargetState,
    TargetSubset,
)
from cicadatiller.kernel import rendezvous_weight

from .support.gateways import GatewayFleet
from .support.streams import NetworkCase


def make_directory(targets, service="engines"):
    directory = TargetDirectory()
    for number in range(targets):
        put_target(directory, f"t{number}", service)
    return directory


def put_target(directory, name, service="engines", state=TargetState.READY):
    directory.put(
        TargetRecord(
            instance_id=name,
            service=service,
            address=f"10.0.1.{name}:80",
            data_centre="north-a",
            slots=5,
            state=state,
        )
    )


def make_subsets(entries, directory):
    names = [f"front-{number}" for number in range(entries)]
    subsets = {name: TargetSubset(name=name, directory=directory) for name in names}
    for subset in subsets.values():
        subset.set_entries(names)
    return subsets


def target_names(subset, service="engines"):
    return {target.instance_id for target in subset.targets_of(service)}


class SubsetTest(unittest.TestCase):
    def test_small_fleets_use_all_targets_and_all_peers(self):
        for entries in range(1, SHARING_ENTRIES + 1):
            subsets = make_subsets(entries, make_directory(60))
            for subset in subsets.values():
                self.assertEqual(len(subset.targets_of("engines")), 60)
                self.assertEqual(len(subset.peers), entries - 1)

    def test_each_target_is_shared_by_the_same_number_of_entries(self):
        for entries, targets in ((22, 54), (68, 135), (300, 600)):
            subsets = make_subsets(entries, make_directory(targets))
            users = Counter(name for s in subsets.values() for name in target_names(s))
            self.assertEqual(len(users), targets)
            self.assertLessEqual(max(users.values()), SHARING_ENTRIES + 1)
            self.assertGreaterEqual(min(users.values()), SHARING_ENTRIES - 1)

    def test_subsets_are_of_equal_size(self):
        for entries, targets in ((22, 54), (68, 135), (300, 600)):
            subsets = make_subsets(entries, make_directory(targets))
            sizes = [len(subset.targets_of("engines")) for subset in subsets.values()]
            self.assertLessEqual(max(sizes) - min(sizes), 1)

    def test_peers_are_all_entries_that_share_targets_and_mutual(self):
        subsets = make_subsets(68, make_directory(135))
        for name, subset in subsets.items():
            own = target_names(subset)
            sharing = {
                other
                for other, its_subset in subsets.items()
                if other != name and own & target_names(its_subset)
            }
            self.assertLessEqual(sharing, set(subset.peers))
            self.assertEqual(len(subset.peers), 2 * (SHARING_ENTRIES - 1))
            for peer in subset.peers:
                self.assertIn(name, subsets[peer].peers)

    def test_peers_do_not_grow_with_the_fleet(self):
        counts = {
            len(next(iter(make_subsets(entries, make_directory(20)).values())).peers)
            for entries in (30, 100, 300, 1000)
        }
        self.assertEqual(counts, {2 * (SHARING_ENTRIES - 1)})

    def test_small_pools_are_used_completely(self):
        directory = make_directory(135)
        for number in range(5):
            put_target(directory, f"call-{number}", "calls")
        for subset in make_subsets(68, directory).values():
            self.assertEqual(len(subset.targets_of("calls")), 5)

    def test_one_more_entry_or_target_changes_few_subsets_much(self):
        before = make_subsets(68, make_directory(135))
        after = make_subsets(69, make_directory(136))
        kept = [
            len(target_names(subset) & target_names(after[name])) / len(target_names(subset))
            for name, subset in before.items()
        ]
        self.assertGreater(sum(kept) / len(kept), 0.85)
        self.assertGreater(min(kept), 0.7)

    def test_leaving_targets_are_not_used(self):
        directory = make_directory(60)
        subsets = make_subsets(20, directory)
        before = {name for subset in subsets.values() for name in target_names(subset)}
        put_target(directory, "t7", state=TargetState.LEAVING)
        directory.remove("t8", "gone")
        after = {name for subset in subsets.values() for name in target_names(subset)}
        self.assertEqual(before - after, {"t7", "t8"})

    def test_a_change_of_one_target_does_not_place_all_others_anew(self):
        directory = make_directory(500)
        subset = TargetSubset(name="e0", directory=directory)
        subset.set_entries([f"e{number}" for number in range(40)])
        subset.targets_of("engines")
        with mock.patch(
            "cicadatiller.fleet._subset.rendezvous_weight", wraps=rendezvous_weight
        ) as weight:
            put_target(directory, "t7", state=TargetState.LEAVING)
            put_target(directory, "new")
            subset.targets_of("engines")
        self.assertLessEqual(weight.call_count, 2)

    def test_users_of_a_target_are_the_entries_that_use_it(self):
        subsets = make_subsets(68, make_directory(135))
        names = tuple(subsets)
        for target_id in ("t0", "t50", "t134"):
            expected = [name for name in names if target_id in target_names(subsets[name])]
            for name in names[:5]:
                self.assertEqual(subsets[name].users(target_id, names), expected)


class SubsetFleetTest(NetworkCase):
    """Entries of a fleet that is larger than the number of entries that share a target."""

    ENTRIES = 24

    def run_scenario(self, scenario):
        async def run():
            fleet = GatewayFleet()
            await fleet.start(entries=self.ENTRIES, targets=("pool",) * 2, settle_s=4.0)
            return await scenario(fleet)

        return self.run_paused(run())

    def test_entries_link_only_to_the_peers_of_their_subset(self):
        async def scenario(fleet):
            await asyncio.sleep(8.0)
            return [len(gateway.peer_sync.mesh.connected_peers) for gateway in fleet.gateways]

        self.assertEqual(self.run_scenario(scenario), [2 * (SHARING_ENTRIES - 1)] * self.ENTRIES)

    def test_a_change_reaches_entries_without_store_access_that_share_no_peer_with_a_reader(self):
        async def scenario(fleet):
            for log in fleet.logs[1:]:
                log.is_refused = True
            await asyncio.sleep(1.0)
            fleet.store.write("keyed.servers", "t-1", None)
            await asyncio.sleep(4.0)
            await asyncio.gather(*(fleet.ask(entry=number) for number in range(self.ENTRIES)))
            return [len(target.runs) for target in fleet.targets.values()]

        self.assertEqual(self.run_scenario(scenario), [0, self.ENTRIES])


class DirectoryTest(unittest.TestCase):
    def test_a_target_that_never_failed_takes_little_memory(self):
        make_directory(10)
        tracemalloc.start()
        try:
            directory = make_directory(1000)
            held_bytes = tracemalloc.get_traced_memory()[0]
        finally:
            tracemalloc.stop()
        self.assertEqual(sum(1 for _ in directory.targets()), 1000)
        self.assertLess(held_bytes, 1000 * 1500)


class StartTest(NetworkCase):
    """All entries of a fleet start at once."""

    def store_calls_per_entry(self, entries):
        async def run():
            fleet = GatewayFleet()
            await fleet.start(entries=0, targets=("pool",) * 30, settle_s=1.0)
            fleet.store.calls.clear()
            for _ in range(entries):
                await fleet.add_gateway()
            await asyncio.sleep(10.0)
            known = [len(gateway.known_entries) for gateway in fleet.gateways]
            return known, len(fleet.store.calls) / entries

        return self.run_paused(run())

    def test_calls_of_the_store_grow_with_the_entries_only(self):
        few_known, few = self.store_calls_per_entry(6)
        many_known, many = self.store_calls_per_entry(24)
        self.assertEqual((few_known, many_known), ([6] * 6, [24] * 24))
        self.assertLess(many, 1.25 * few)
        self.assertLess(many, 10)
