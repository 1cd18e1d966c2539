"""Tests when a prompt is too large for all engines together, and when it has to wait."""

import asyncio
import json

from cicadatiller.config import ChangeRecord, ObjectEdit
from cicadatiller.kernel import ErrorKind, RunState
from cicadatiller.sidecar._engine_target import EngineTarget
from cicadatiller.standins import EngineStandin

from .support.fleet import DEPLOYMENT
from .support.fleet import MODEL as MODEL_NAME
from .support.gangs import MODEL, GangCase, huge_prompt, small_fleet


class CapacityTest(GangCase):
    def test_prompt_is_not_too_large_while_engines_are_still_unknown(self):
        async def scenario():
            async with small_fleet() as fleet:
                for target in fleet.entries[0].view.targets()[1:]:
                    target.clear_load()
                outcome = await self.start_huge_request(fleet, "a")
                self.assertIs(outcome.failure.kind, ErrorKind.NO_TARGET)
                self.assertIs(outcome.failure.run_state, RunState.NOT_RUN)
                self.assertGreater(outcome.failure.retry_after_s, 0)

        self.run_paused(scenario())

    def test_prompt_is_not_too_large_while_an_engine_is_down(self):
        async def scenario():
            async with small_fleet() as fleet:
                engine = fleet.target_proxies["engine-2"].target
                engine.crash()
                await asyncio.sleep(5)
                outcome = await self.start_huge_request(fleet, "a", time_limit_s=5.0)
                self.assertIs(outcome.failure.kind, ErrorKind.NO_TARGET)
                self.assertIs(outcome.failure.run_state, RunState.NOT_RUN)
                self.assertGreater(outcome.failure.retry_after_s, 0)
                engine.restart("again")
                await fleet.wait_ready()
                self.assert_complete(await self.start_huge_request(fleet, "b"), huge_prompt("b"))

        self.run_paused(scenario())

    def test_host_does_not_find_a_prompt_too_large_while_a_member_is_down(self):
        async def scenario():
            async with small_fleet() as fleet:
                fleet.entries[0].service.dispatcher._large_enough = lambda serving, *_: serving
                fleet.target_proxies["engine-2"].target.crash()
                await asyncio.sleep(5)
                outcome = await self.start_huge_request(fleet, "a", time_limit_s=5.0)
                self.assertIs(outcome.failure.kind, ErrorKind.NO_TARGET)
                self.assertIs(outcome.failure.run_state, RunState.NOT_RUN)

        self.run_paused(scenario())

    def test_host_does_not_find_a_prompt_too_large_before_it_knows_the_list(self):
        async def scenario():
            async with small_fleet() as fleet:
                fleet.instances.down = True
                for sidecar in fleet.sidecars.values():
                    if isinstance(sidecar.target, EngineTarget):
                        sidecar.target.peers._instances = ()
                outcome = await self.start_huge_request(fleet, "a", time_limit_s=5.0)
                self.assertIs(outcome.failure.kind, ErrorKind.NO_TARGET)

        self.run_paused(scenario())

    def test_prompt_is_too_large_for_the_replicas_of_its_model(self):
        async def scenario():
            async with small_fleet(engines=3) as fleet:
                body = {"deployment": DEPLOYMENT, "version": "v1", "replicas": 1}
                edit = ObjectEdit(kind="model", name=MODEL_NAME, body_json=json.dumps(body))
                change = ChangeRecord(
                    change_id="one", operator="test", reason="test", edits=(edit,)
                )
                applied = await fleet.entries[0].operators.apply(change, timeout_s=10)
                self.assertTrue(applied.accepted)
                await asyncio.sleep(30)
                outcome = await self.start_huge_request(fleet, "a")
                self.assertIs(outcome.failure.kind, ErrorKind.TOO_LARGE)

        self.run_paused(scenario())

    def test_prompt_is_not_too_large_before_a_sidecar_knows_its_engine(self):
        async def scenario(is_entry_wrong):
            async with small_fleet(engines=2) as fleet:
                if is_entry_wrong:
                    fleet.entries[0].service.dispatcher._large_enough = lambda serving, *_: serving
                engine = EngineStandin(address="10.0.0.9:9000", model=MODEL, peers={}.get)
                engine.crash()
                await fleet.add_sidecar("engine-9", engine=engine, number=8)
                await asyncio.sleep(5)
                outcome = await self.start_huge_request(fleet, "a", time_limit_s=5.0)
                self.assertIs(outcome.failure.kind, ErrorKind.NO_TARGET)

        for is_entry_wrong in (False, True):
            with self.subTest(is_entry_wrong=is_entry_wrong):
                self.run_paused(scenario(is_entry_wrong))
