"""Tests of evacuated data centres at the own interface, where they are configuration objects."""

import asyncio
import unittest

from cicadatiller.config import restore, take_snapshot
from cicadatiller.kernel import ErrorKind, FailureError, RunState

from .support.configuration import admin, base_change, change, edit, fold_all
from .support.fleet import Fleet
from .support.gangs import KV_TOKENS, MODEL, huge_prompt
from .support.paused_loop import PausedCase

HALL = "hall-a"


class StateTest(unittest.TestCase):
    def test_objects_name_the_evacuated_data_centres_until_they_are_removed(self):
        state = fold_all(base_change(), change("start", edit("evacuation", HALL, {})))
        self.assertEqual(state.evacuated, {HALL})
        self.assertEqual(restore(take_snapshot(state)).evacuated, {HALL})
        state = fold_all(change("end", edit("evacuation", HALL)), state=state)
        self.assertEqual(state.evacuated, frozenset())

    def test_an_operator_of_some_deployments_may_not_evacuate(self):
        limited = admin("nora", key="nora-key", deployments=["north"])
        state = fold_all(base_change(), change("limited", limited))
        state = fold_all(
            change("start", edit("evacuation", HALL, {}), operator="nora", key="nora-key"),
            state=state,
        )
        self.assertEqual(state.evacuated, frozenset())

    def test_two_operators_who_evacuate_at_once_both_see_the_other(self):
        first = change("first", edit("evacuation", HALL, {}, expected=0))
        second = change("second", edit("evacuation", HALL, {}, expected=0))
        state = fold_all(base_change(), first, second)
        self.assertEqual(state.evacuated, {HALL})
        self.assertFalse(state.change("second").accepted)


class FleetTest(PausedCase):
    def run_fleet(self, scenario, **options):
        async def run():
            async with Fleet(**options) as fleet:
                return await scenario(fleet)

        return self.run_paused(run())

    async def apply(self, fleet, change_id, *edits, force=False):
        published = change(change_id, *edits, operator="test", force=force)
        entry = await fleet.entries[0].operators.apply(published, timeout_s=10)
        await asyncio.sleep(1.0)
        return entry.accepted

    def data_centres_used(self, fleet):
        engines = enumerate(fleet.engines.values())
        return {fleet.data_centre(number) for number, engine in engines if engine.executions}

    def test_generations_go_to_engines_of_other_data_centres(self):
        async def scenario(fleet):
            await self.apply(fleet, "start", edit("evacuation", HALL, {}), force=True)
            outcomes = await asyncio.gather(
                *(
                    fleet.ask(fleet.generation(f"prompt {number}"), entry=number % 2)
                    for number in range(12)
                )
            )
            used = self.data_centres_used(fleet)
            await self.apply(fleet, "end", edit("evacuation", HALL))
            for number in range(12):
                await fleet.ask(fleet.generation(f"later {number}"))
            return [o.failure for o in outcomes], used, self.data_centres_used(fleet)

        failures, used, later = self.run_fleet(scenario, engines=4, entries=2)
        self.assertEqual(set(failures), {None})
        self.assertEqual(used, {"hall-b"})
        self.assertEqual(later, {"hall-a", "hall-b"})

    def test_no_engine_of_an_evacuated_data_centre_joins_a_gang(self):
        async def scenario(fleet):
            await self.apply(fleet, "start", edit("evacuation", HALL, {}), force=True)
            prompt = huge_prompt("a", 3 * KV_TOKENS // 2)
            asked = asyncio.create_task(fleet.ask(fleet.generation(prompt)))
            await asyncio.sleep(1.0)
            holding = {n for n, e in fleet.engines.items() if e.kv_used_tokens()}
            asked.cancel()
            return holding

        holding = self.run_fleet(scenario, engines=4, entries=1, model=MODEL)
        self.assertEqual(len(holding), 2)

    def test_an_evacuation_that_leaves_a_model_without_a_target_needs_force(self):
        async def scenario(fleet):
            with self.assertRaises(FailureError) as caught:
                await self.apply(fleet, "start", edit("evacuation", HALL, {}))
            self.assertIs(caught.exception.failure.kind, ErrorKind.CHANGE_REJECTED)
            await self.apply(fleet, "forced", edit("evacuation", HALL, {}), force=True)
            return await fleet.ask(fleet.generation("a"))

        outcome = self.run_fleet(scenario, engines=1, entries=1)
        self.assertIs(outcome.failure.kind, ErrorKind.NO_TARGET)
        self.assertIs(outcome.failure.run_state, RunState.NOT_RUN)
        self.assertGreater(outcome.failure.retry_after_s, 0.0)
        self.assertLess(outcome.took_s, 0.1)
