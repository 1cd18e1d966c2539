"""Entries that place on the same targets with views of each other's work that are out of date."""

import unittest
from collections import Counter
from dataclasses import replace

from cicadatiller.fleet import TargetSubset
from cicadatiller.gateway import Contention
from cicadatiller.kernel import MAX_RENDEZVOUS_WEIGHT, rendezvous_weight
from cicadatiller.placement import TargetLoad

from .support.placement_baselines import share_of_worth, share_on_time
from .support.placement_simulation import PlacementSimulation
from .support.simulated_engines import ENGINE
from .test_placement import HUGE, MIDDLE, SHORT, mostly_long, mostly_short
from .test_subset import make_directory

ENTRIES = 23
ENGINES = 54
MODEL = replace(ENGINE, slots=6, kv_capacity_tokens=197_200, steps_per_pass=48)
DELAYS_S = (0.005, 0.075)


def many_entries_load():
    """Return phases of mostly long and mostly short prompts for `ENGINES` engines."""
    short = replace(SHORT, arrivals_per_s=45.0, target_latency_s=0.32)
    middle = replace(MIDDLE, arrivals_per_s=3.06)
    huge = replace(HUGE, arrivals_per_s=1.89, mean_tokens=190_000)
    kinds = (short, middle, huge)
    phases = []
    for factors, length_s in (((0.33, 1.3, 2.8), 4.0), ((2.5, 0.5, 0.05), 6.0)):
        rates = zip(kinds, factors, strict=True)
        phases.append(
            ([replace(k, arrivals_per_s=f * k.arrivals_per_s) for k, f in rates], length_s)
        )
    return phases


def subsets_of_engines(entries, engines):
    """Return the names of the engines that each entry uses."""
    directory = make_directory(engines)
    names = [f"entry {number}" for number in range(entries)]
    subsets = []
    for name in names:
        subset = TargetSubset(name=name, directory=directory)
        subset.set_entries(names)
        subsets.append([t.instance_id.replace("t", "e") for t in subset.targets_of("engines")])
    return subsets


class ContentionSimulation(PlacementSimulation):
    """Entries that allow for the work of others that they don't know of."""

    def __init__(self, *, entries, unheard=(), **options):
        super().__init__(entries=entries, describe=self.describe, **options)
        self.unheard = unheard
        self.contentions = [
            Contention(
                owner=f"entry {entry}",
                view_age_s=lambda entry=entry: self._delays_s[entry],
                unheard_s=lambda entry=entry: self.unheard_by(entry),
                users=lambda target_id, names: names,
                own_requests=lambda entry=entry: self.own_requests(entry),
                own_targets=lambda entry=entry: len(self._subsets[entry]),
            )
            for entry in range(entries)
        ]

    def own_requests(self, entry):
        loads = (self.boards[entry].load(name) for name in self._subsets[entry])
        works = [work for load in loads for work in load.works.values()]
        return sum(work.writes and work.owner == f"entry {entry}" for work in works)

    def unheard_by(self, entry):
        everyone = range(len(self.boards))
        silent = everyone if entry in self.unheard else self.unheard
        return {f"entry {other}": 2.0 for other in silent if other != entry}

    def describe(self, entry, name, load, now_s, age_s):
        weight = rendezvous_weight(f"entry {entry}", name)
        return {
            "unknown_requests": self.contentions[entry].unknown_requests(name, load, now_s),
            "preference": weight / MAX_RENDEZVOUS_WEIGHT,
        }


def simulate(kind=PlacementSimulation, *, phases, seeds=(1, 2), **options):
    """Return the requests of several runs."""
    requests = []
    for seed in seeds:
        requests += kind(seed=seed, **options).run(phases)
    return requests


class ManyEntriesTest(unittest.TestCase):
    """Short streams gather on few targets, and many entries want their last slots."""

    OPTIONS = {"engines": ENGINES, "entries": ENTRIES, "model": MODEL, "delays_s": DELAYS_S}

    def test_short_prompts_rarely_find_their_slot_taken(self):
        before = simulate(phases=many_entries_load(), **self.OPTIONS)
        after = simulate(
            ContentionSimulation,
            phases=many_entries_load(),
            subsets=subsets_of_engines(ENTRIES, ENGINES),
            **self.OPTIONS,
        )
        taken = [sum(r.place_was_taken for r in requests) for requests in (before, after)]
        self.assertLess(5 * taken[1], taken[0])
        self.assertGreater(share_on_time(after, "short"), 0.95)
        self.assertGreater(share_on_time(after, "short") - share_on_time(before, "short"), 0.2)
        for kind in ("middle", "huge"):
            self.assertGreater(share_on_time(after, kind), 0.9)

    def test_few_entries_lose_nothing(self):
        options = {"engines": 16, "entries": 5, "delays_s": (0.002, 0.01)}
        phases = [(mostly_long(), 6.0), (mostly_short(), 6.0)]
        before = share_of_worth(simulate(phases=phases, **options))
        after = share_of_worth(simulate(ContentionSimulation, phases=phases, **options))
        self.assertGreaterEqual(after, before)


class CutOffTest(unittest.TestCase):
    def test_entries_that_are_cut_off_spread_their_requests(self):
        options = {"engines": 16, "entries": 5, "delays_s": (0.002, 0.01), "cut_off": (0, 1)}
        phases = [(mostly_short(), 8.0)]
        before = simulate(phases=phases, **options)
        after = simulate(ContentionSimulation, phases=phases, unheard=(0, 1), **options)
        self.assertLess(
            sum(request.place_was_taken for request in after),
            0.6 * sum(request.place_was_taken for request in before),
        )
        self.assertGreater(share_on_time(after, "short"), share_on_time(before, "short"))

    def test_peers_that_are_gone_for_long_are_not_counted(self):
        unheard = Counter()
        contention = Contention(
            owner="own",
            view_age_s=lambda: 0.0,
            unheard_s=lambda: unheard,
            users=lambda target_id, names: names,
            own_requests=lambda: 1,
            own_targets=lambda: 2,
        )
        found = []
        for time_s in (2.0, 100.0):
            unheard["peer"] = time_s
            found.append(contention.unknown_requests("t", TargetLoad(), 1.0))
        self.assertEqual(found, [0.5, 0.0])
