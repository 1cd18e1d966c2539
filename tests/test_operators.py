"""The operations that an entry provides for operators."""

import asyncio

from cicadatiller.config import hash_key
from cicadatiller.kernel import ErrorKind, FailureError
from cicadatiller.rpc._status import data_centre_statuses

from .support import Fleet, PausedCase
from .support.configuration import ADMIN_KEY, admin, change, edit
from .support.fleet import OPERATOR_KEY

MODEL = {"deployment": "north", "version": "v1"}


class OperatorsTest(PausedCase):
    def run_with_fleet(self, scenario, **fields):
        async def run():
            async with Fleet(**fields) as fleet:
                admin_service = fleet.entries[0].operators
                setup = change("admin", admin(), admin("clerk", "clerk-key", ["north"]))
                entry = await admin_service.apply(setup, 5)
                self.assertTrue(entry.accepted, entry.message)
                await scenario(fleet, admin_service)

        self.run_paused(run())

    async def assert_fails(self, kind, awaitable):
        with self.assertRaises(FailureError) as caught:
            await awaitable
        self.assertIs(caught.exception.failure.kind, kind, caught.exception)
        return caught.exception.failure.message

    def test_authentication_by_key(self):
        async def scenario(fleet, admin_service):
            self.assertEqual(admin_service.authenticate(ADMIN_KEY), "admin")
            self.assertEqual(admin_service.authenticate("clerk-key"), "clerk")
            for key in ("", "wrong", OPERATOR_KEY):
                with self.assertRaises(FailureError) as caught:
                    admin_service.authenticate(key)
                self.assertIs(caught.exception.failure.kind, ErrorKind.UNAUTHENTICATED)
            revoked = await admin_service.apply(change("revoke", edit("operator", "clerk")), 5)
            self.assertTrue(revoked.accepted)
            with self.assertRaises(FailureError):
                admin_service.authenticate("clerk-key")

        self.run_with_fleet(scenario)

    def test_refused_changes_are_not_appended_to_the_log(self):
        async def scenario(fleet, admin_service):
            appends = fleet.log.appends
            misspelled = change("typo", edit("model", "glacier", MODEL | {"versoin": "v2"}))
            message = await self.assert_fails(
                ErrorKind.INVALID_REQUEST, admin_service.apply(misspelled, 5)
            )
            self.assertIn("versoin", message)
            forbidden = change(
                "foreign", edit("deployment", "south", {}), operator="clerk", key="clerk-key"
            )
            await self.assert_fails(ErrorKind.PERMISSION_DENIED, admin_service.apply(forbidden, 5))
            without_id = change("", edit("deployment", "south", {}))
            await self.assert_fails(ErrorKind.INVALID_REQUEST, admin_service.apply(without_id, 5))
            keys = [hash_key(str(number)) for number in range(8000)]
            too_large = change(
                "huge", edit("workspace", "w", {"deployment": "north", "key_hashes": keys})
            )
            await self.assert_fails(ErrorKind.TOO_LARGE, admin_service.apply(too_large, 5))
            self.assertEqual(fleet.log.appends, appends)

        self.run_with_fleet(scenario)

    def test_a_change_that_leaves_a_model_without_target_is_rejected_unless_forced(self):
        async def scenario(fleet, admin_service):
            await admin_service.apply(change("south", edit("deployment", "south", {})), 5)
            moved = edit("model", "glacier", MODEL | {"deployment": "south"})
            message = await self.assert_fails(
                ErrorKind.CHANGE_REJECTED, admin_service.apply(change("move", moved), 5)
            )
            self.assertIn("would have no target", message)
            await self.assert_fails(
                ErrorKind.CHANGE_REJECTED, admin_service.preview(change("m2", moved), 5)
            )
            forced = await admin_service.apply(change("forced", moved, force=True), 5)
            self.assertTrue(forced.accepted, forced.message)

        self.run_with_fleet(scenario)

    def test_removal_of_a_model_in_use_is_rejected(self):
        async def scenario(fleet, admin_service):
            work = asyncio.create_task(fleet.ask(fleet.generation("audit " * 4000, 500)))
            removal = change("gone", edit("model", "glacier"))
            await asyncio.sleep(0.3)
            self.assertFalse(work.done())
            message = await self.assert_fails(
                ErrorKind.CHANGE_REJECTED, admin_service.apply(removal, 5)
            )
            self.assertIn("in use on 1 targets", message)
            self.assertIsNone((await work).failure)

        self.run_with_fleet(scenario)

    def test_the_last_target_drains_only_if_forced(self):
        async def scenario(fleet, admin_service):
            await admin_service.drain("engine-0")
            await asyncio.sleep(5)
            await self.assert_fails(ErrorKind.CHANGE_REJECTED, admin_service.drain("engine-1"))
            await self.assert_fails(ErrorKind.CHANGE_REJECTED, admin_service.drain("service-0"))
            await admin_service.apply(change("limit", admin("south", "south-key")), 5)
            await admin_service.drain("engine-1", operator="clerk", force=True)
            await asyncio.sleep(5)
            leaving = {t.instance.name for t in fleet.entries[0].view.targets() if t.leaving}
            self.assertEqual(leaving, {"engine-0", "engine-1"})

        self.run_with_fleet(scenario)

    def test_a_limited_operator_drains_its_own_targets_only(self):
        async def scenario(fleet, admin_service):
            await admin_service.apply(
                change("s", edit("deployment", "south", {}), admin("other", "other", ["south"])), 5
            )
            await self.assert_fails(
                ErrorKind.PERMISSION_DENIED, admin_service.drain("engine-0", operator="other")
            )

        self.run_with_fleet(scenario)

    def test_a_preview_returns_the_differences_and_changes_nothing(self):
        async def scenario(fleet, admin_service):
            wanted = change("v2", edit("model", "glacier", MODEL | {"version": "v2"}))
            appends = fleet.log.appends
            preview = await admin_service.preview(wanted, 5)
            (difference,) = preview.entry.differences
            self.assertTrue(preview.entry.accepted and preview.is_fresh)
            self.assertIn("v1", difference.before_json)
            self.assertIn("v2", difference.after_json)
            self.assertEqual(
                (fleet.log.appends, admin_service.state.model("glacier").version), (appends, "v1")
            )
            with self.subTest("during a log outage it states the offset at which it was evaluated"):
                fleet.log.down = True
                preview = await admin_service.preview(wanted, 5)
                self.assertFalse(preview.is_fresh)
                self.assertEqual(preview.offset, admin_service.state.offset)
            with self.subTest("a slow log does not delay it beyond its timeout"):
                fleet.log.down, fleet.log.delay_s = False, 60.0
                started_s = asyncio.get_running_loop().time()
                preview = await admin_service.preview(wanted, 5)
                self.assertLessEqual(asyncio.get_running_loop().time() - started_s, 5)
                self.assertFalse(preview.is_fresh)

        self.run_with_fleet(scenario)

    def test_a_removal_is_idempotent_by_its_change_id(self):
        async def scenario(fleet, admin_service):
            removal = change("gone", edit("operator", "clerk"))
            entry = await admin_service.apply(removal, 5)
            self.assertTrue(entry.accepted)
            self.assertEqual(await admin_service.apply(removal, 5), entry)
            self.assertEqual((await admin_service.preview(removal, 5)).entry, entry)
            again = await admin_service.apply(change("again", edit("operator", "clerk")), 5)
            self.assertFalse(again.accepted)
            self.assertIn("does not exist", admin_service.state.change("again").message)

        self.run_with_fleet(scenario)

    def test_history_waits_for_the_next_change(self):
        async def scenario(fleet, admin_service):
            loop = asyncio.get_running_loop()
            started_s = loop.time()
            await admin_service.wait_for_history(admin_service.state.offset + 1, 60.0)
            self.assertAlmostEqual(loop.time() - started_s, 5.0)
            waiting = asyncio.create_task(
                admin_service.wait_for_history(admin_service.state.offset + 1, 4.0)
            )
            await asyncio.sleep(1)
            await admin_service.apply(change("x", edit("deployment", "x", {})), 5)
            await waiting
            self.assertLess(loop.time() - started_s, 7.0)

        self.run_with_fleet(scenario)

    def test_status_has_totals_for_each_data_centre(self):
        async def scenario(fleet, admin_service):
            await admin_service.drain("engine-0")
            await asyncio.sleep(15)
            targets = admin_service.view.targets()
            statuses = data_centre_statuses(targets, admin_service.state.offset + 3)
            self.assertEqual([s.data_centre for s in statuses], ["hall-a", "hall-b"])
            self.assertEqual([s.targets for s in statuses], [2, 1])
            self.assertEqual([s.reachable for s in statuses], [2, 1])
            self.assertEqual([s.leaving for s in statuses], [1, 0])
            self.assertEqual([s.config_lag_records for s in statuses], [3, 3])
            self.assertEqual(list(statuses[1].loaded), ["glacier@v1"])
            self.assertEqual(statuses[1].kv_capacity_tokens, 100_000)

        self.run_with_fleet(scenario)

    def test_a_key_of_another_workspace_is_rejected(self):
        async def scenario(fleet, admin_service):
            body = {"deployment": "north", "key_hashes": [hash_key("workspace-key")]}
            entry = await admin_service.apply(change("w", edit("workspace", "owners", body)), 5)
            self.assertFalse(entry.accepted)
            self.assertEqual(admin_service.state.workspace_of_key("workspace-key"), "depots")

        self.run_with_fleet(scenario)
