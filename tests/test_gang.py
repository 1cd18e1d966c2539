"""Tests prompts that exceed the memory of one engine."""

import asyncio
import json

from cicadatiller.backing import Instance, InstanceKind
from cicadatiller.config import ChangeRecord, ConfigStore, ObjectEdit
from cicadatiller.kernel import ErrorKind, RunState, fail
from cicadatiller.membership import long_prompt_rank
from cicadatiller.peer import PeerTiming
from cicadatiller.sidecar._engine_target import EngineTarget
from cicadatiller.sidecar._gang import Gang, GangMemberShare, ReservationError
from cicadatiller.sidecar._gang_member import EXPORT_LEASE_S
from cicadatiller.sidecar._peers import IDLE_CLOSE_S, SidecarPeers
from cicadatiller.sidecar._segments import PromptShare
from cicadatiller.standins import EngineModel, MemoryNetwork, expected_answer

from .support import Fleet
from .support.fleet import DEPLOYMENT
from .support.gangs import KV_TOKENS, TIME_LIMIT_S, GangCase, huge_prompt, small_fleet


async def until(condition, limit_s: float = 60.0) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(limit_s):
        while not condition():
            await asyncio.sleep(0.01)


class FakeMember:
    """A member that refuses `refusals` reservations before it accepts one."""

    reserve_calls: list[str] = []

    def __init__(self, address):
        self.address = address
        self.refusals = 0

    def share(self):
        """Return the member with its share."""
        share = PromptShare(address=self.address, first_token=0, token_count=1, kv_tokens=1)
        return GangMemberShare(handle=self, share=share)

    async def reserve(self, hold_id, kv_tokens, ttl_s):
        """Refuse or accept a reservation."""
        self.reserve_calls.append(self.address)
        if self.refusals > 0:
            self.refusals -= 1
            raise fail(ErrorKind.OVERLOADED, "the memory is not free")
        return f"engine {self.address}"


class GangTest(GangCase):
    async def assert_idle(self, fleet):
        """Check that no engine and no sidecar has memory in use."""
        await asyncio.sleep(EXPORT_LEASE_S + 1)
        self.assertEqual(fleet.kv_used_tokens(), 0)
        for sidecar in fleet.sidecars.values():
            self.assertEqual(sidecar.service.load_report().kv_used_tokens, 0)

    def test_concurrent_huge_prompts_all_finish(self):
        for count in (1, 2, 5):
            with self.subTest(count=count):
                self.run_paused(self._run_concurrent(count))

    async def _run_concurrent(self, count):
        async with small_fleet() as fleet:
            tasks = [self.start_huge_request(fleet, str(number)) for number in range(count)]
            for number, task in enumerate(tasks):
                self.assert_complete(await task, huge_prompt(str(number)))
                self.assertEqual(fleet.executions(huge_prompt(str(number))), 1)
            await self.assert_idle(fleet)

    def test_huge_prompt_is_reserved_under_steady_load(self):
        async def scenario():
            async with small_fleet() as fleet:
                stop = asyncio.Event()
                outcomes = []

                async def keep_busy(number):
                    turn = 0
                    while not stop.is_set():
                        turn += 1
                        prompt = f"stock check {number}/{turn} ".ljust(800, "y")
                        outcomes.append(await fleet.ask(fleet.generation(prompt, tokens=20)))

                busy = [asyncio.create_task(keep_busy(number)) for number in range(24)]
                await asyncio.sleep(1)
                self.assert_complete(await self.start_huge_request(fleet, "a"), huge_prompt("a"))
                stop.set()
                await asyncio.gather(*busy)
                self.assertEqual([o.failure for o in outcomes if o.failure], [])
                started = sum(sum(e.executions.values()) for e in fleet.engines.values())
                self.assertEqual(started, len(outcomes) + 1)
                await self.assert_idle(fleet)

        self.run_paused(scenario())

    def test_lost_member_engine_restarts_the_request(self):
        for phase_s in (0.5, 1.2, 1.9):
            with self.subTest(phase_s=phase_s):
                self.run_paused(self._lose_member(phase_s))

    async def _lose_member(self, phase_s):
        async with small_fleet(engines=4) as fleet:
            task = self.start_huge_request(fleet, "a")
            await asyncio.sleep(phase_s)
            holders = [e for e in fleet.engines.values() if e.kv_used_tokens() > 0]
            holders[0].restart("engine-2")
            self.assert_complete(await task, huge_prompt("a"))
            await self.assert_idle(fleet)

    def test_lost_member_fails_a_request_that_must_not_be_repeated(self):
        async def scenario():
            async with small_fleet(engines=4) as fleet:
                task = self.start_huge_request(fleet, "verdict", repeatable=False)
                await asyncio.sleep(1.5)
                holder = next(e for e in fleet.engines.values() if e.kv_used_tokens() > 0)
                holder.crash()
                outcome = await task
                self.assertIs(outcome.failure.kind, ErrorKind.TARGET_LOST)
                self.assertIsNot(outcome.failure.run_state, RunState.NOT_RUN)
                self.assertLessEqual(fleet.executions(huge_prompt("verdict")), 1)
                await self.assert_idle(fleet)

        self.run_paused(scenario())

    def test_members_free_their_memory_when_the_coordinator_closes(self):
        async def scenario():
            async with small_fleet(engines=4) as fleet:
                task = self.start_huge_request(fleet, "a")
                await asyncio.sleep(1.5)
                coordinator = next(s for s in fleet.sidecars.values() if s.ledger.entries())
                await coordinator.close()
                outcome = await task
                if outcome.failure is None:
                    self.assert_complete(outcome, huge_prompt("a"))
                else:
                    self.assertIsNot(outcome.failure.run_state, RunState.NOT_RUN)
                await self.assert_idle(fleet)

        self.run_paused(scenario())

    def test_holds_expire_when_their_coordinator_is_unreachable(self):
        async def scenario():
            async with small_fleet(engines=4) as fleet:
                self.start_huge_request(fleet, "a")
                await asyncio.sleep(1.5)
                coordinator = next(s for s in fleet.sidecars.values() if s.ledger.entries())
                for number in range(4):
                    address = f"10.0.1.{number + 1}:9100"
                    fleet.network.unreachable.add(address)
                    if fleet.sidecars[f"engine-{number}"] is not coordinator:
                        fleet.network.reset(address)
                await self.assert_idle(fleet)

        self.run_paused(scenario())

    def test_drain_of_each_sidecar_interrupts_no_request(self):
        for number in range(4):
            with self.subTest(sidecar=number):
                self.run_paused(self._drain_one(number))

    async def _drain_one(self, number):
        async with small_fleet(engines=4) as fleet:
            task = self.start_huge_request(fleet, "verdict", repeatable=False)
            await asyncio.sleep(1.2)
            sidecar = fleet.sidecars[f"engine-{number}"]
            await sidecar.drain()
            await sidecar.close()
            self.assert_complete(await task, huge_prompt("verdict"))
            self.assertEqual(fleet.executions(huge_prompt("verdict")), 1)
            fleet.sidecars.pop(f"engine-{number}")
            await self.assert_idle(fleet)

    def test_unresponsive_connections_between_members_cause_no_restart(self):
        for phase_s in (0.2, 1.2, 2.0):
            with self.subTest(phase_s=phase_s):
                self.run_paused(self._drop_frames(phase_s))

    async def _drop_frames(self, phase_s):
        async with small_fleet(engines=4) as fleet:
            task = self.start_huge_request(fleet, "verdict", repeatable=False)
            await asyncio.sleep(phase_s)
            for number in range(4):
                fleet.network.drop_frames(f"10.0.1.{number + 1}:9100")
            self.assert_complete(await task, huge_prompt("verdict"))
            self.assertEqual(fleet.executions(huge_prompt("verdict")), 1)
            await self.assert_idle(fleet)

    def test_idle_connections_between_sidecars_are_closed(self):
        async def scenario():
            async with small_fleet() as fleet:
                self.assert_complete(await self.start_huge_request(fleet, "a"), huge_prompt("a"))
                targets = [sidecar.target for sidecar in fleet.sidecars.values()]
                peers = [target.peers for target in targets if isinstance(target, EngineTarget)]
                self.assertTrue(any(p._connections for p in peers))
                await asyncio.sleep(IDLE_CLOSE_S + 2)
                self.assertEqual([p._connections for p in peers], [{}, {}, {}])

        self.run_paused(scenario())

    def test_leases_are_renewed_during_a_long_decode(self):
        async def scenario():
            slow = EngineModel(kv_capacity_tokens=KV_TOKENS, step_base_s=0.1)
            async with Fleet(engines=4, entries=1, model=slow) as fleet:
                tokens = int(4 * EXPORT_LEASE_S / slow.step_base_s)
                prompt = huge_prompt("a")
                request = fleet.generation(prompt, tokens=tokens, time_limit_s=TIME_LIMIT_S)
                outcome = await fleet.ask(request)
                self.assertIsNone(outcome.failure)
                self.assertEqual(tuple(outcome.texts), expected_answer(prompt, tokens))
                self.assertGreater(outcome.took_s, 3 * EXPORT_LEASE_S)
                self.assertEqual(fleet.executions(prompt), 1)
                await self.assert_idle(fleet)

        self.run_paused(scenario())

    def test_engines_for_long_work_are_tried_first(self):
        network = MemoryNetwork()
        peers = SidecarPeers(
            name="engine-0",
            address="address-0",
            deployment=DEPLOYMENT,
            secret="secret",
            transport=network.bind("address-0"),
            timing=PeerTiming(),
            store=ConfigStore(),
        )
        peers.update_instances(
            tuple(
                Instance(
                    name=f"engine-{number}",
                    kind=InstanceKind.ENGINE,
                    data_centre=f"hall-{number % 3}",
                    deployment=DEPLOYMENT,
                    address=f"address-{number}",
                )
                for number in range(20)
            )
        )
        addresses = [address for batch in peers.batches() for address in batch]
        ranked = sorted(range(1, 20), key=lambda number: long_prompt_rank(f"engine-{number}"))
        self.assertEqual(addresses, [f"address-{number}" for number in ranked])

    def test_members_are_reserved_in_the_order_of_addresses(self):
        async def scenario():
            members = [FakeMember(address) for address in ("c", "a", "b", "d")]
            members[2].refusals = 3
            gang = Gang(gang_id="gang", members=tuple(member.share() for member in members))
            await gang.reserve(10.0)
            self.assertEqual(FakeMember.reserve_calls, ["a", "b", "b", "b", "b", "c", "d"])

        FakeMember.reserve_calls = []
        self.run_paused(scenario())

    def test_later_members_are_not_reserved_before_earlier_ones(self):
        async def scenario():
            members = [FakeMember(address) for address in ("a", "b", "c")]
            members[1].refusals = 10**6
            gang = Gang(gang_id="gang", members=tuple(member.share() for member in members))
            with self.assertRaises(ReservationError):
                await gang.reserve(10.0)
            self.assertNotIn("c", FakeMember.reserve_calls)

        FakeMember.reserve_calls = []
        self.run_paused(scenario())

    def test_cancel_releases_all_members(self):
        async def scenario():
            async with small_fleet(engines=4) as fleet:
                task = self.start_huge_request(fleet, "a")
                await asyncio.sleep(1.5)
                self.assertGreater(fleet.kv_used_tokens(), 0)
                entry = next(e for s in fleet.sidecars.values() for e in s.ledger.entries())
                await fleet.entries[0].service.cancel("depots", entry.request_id)
                outcome = await task
                self.assertIs(outcome.failure.kind, ErrorKind.CANCELLED)
                await self.assert_idle(fleet)

        self.run_paused(scenario())

    def test_prompt_larger_than_all_engines_is_refused_without_running(self):
        async def scenario():
            async with small_fleet() as fleet:
                prompt = huge_prompt("too large", 3 * KV_TOKENS)
                outcome = await fleet.ask(fleet.generation(prompt))
                self.assertIs(outcome.failure.kind, ErrorKind.TOO_LARGE)
                self.assertIs(outcome.failure.run_state, RunState.NOT_RUN)
                self.assertEqual(fleet.executions(prompt), 0)

        self.run_paused(scenario())

    def test_deployment_without_gangs_refuses_without_running(self):
        async def scenario():
            async with small_fleet() as fleet:
                edit = ObjectEdit(
                    kind="deployment", name=DEPLOYMENT, body_json=json.dumps({"allow_gangs": False})
                )
                change = ChangeRecord(
                    change_id="no-gangs", operator="test", reason="test", edits=(edit,)
                )
                applied = await fleet.entries[0].operators.apply(change, timeout_s=10)
                self.assertTrue(applied.accepted)
                await asyncio.sleep(1)
                outcome = await self.start_huge_request(fleet, "a")
                self.assertIs(outcome.failure.kind, ErrorKind.TOO_LARGE)
                self.assertIs(outcome.failure.run_state, RunState.NOT_RUN)
                self.assertEqual(fleet.kv_used_tokens(), 0)

        self.run_paused(scenario())
