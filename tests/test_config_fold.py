"""Tests of the fold: which changes are accepted, and the state that results."""

from unittest import mock

import cbor2

from cicadatiller.config import (
    ConfigState,
    ObjectEdit,
    decode_record,
    encode_record,
    fold,
    hash_key,
)

from .support import PausedCase
from .support.configuration import admin, base_change, change, edit, fold_all, record


class FoldTest(PausedCase):
    def setUp(self):
        self.state = fold_all(base_change())
        self.assertTrue(self.state.audit[0].accepted, self.state.audit[0].message)

    def verdict(self, content, state=None):
        after = fold_all(content, state=state or self.state)
        return after, after.change(content.change_id)

    def assert_rejected(self, content, words, state=None):
        before = state or self.state
        after, entry = self.verdict(content, before)
        self.assertFalse(entry.accepted)
        self.assertIn(words, entry.message)
        self.assertEqual(after.objects, before.objects)
        self.assertEqual(after.workspace_names, before.workspace_names)
        self.assertEqual(after.operators, before.operators)

    def test_rejected_changes_do_not_change_any_object(self):
        key = hash_key("k1")
        cases = {
            "touches no object": (),
            "occurs twice": (edit("deployment", "x", {}), edit("deployment", "x", {})),
            "is at revision 1, not 7": (
                edit("deployment", "x", {}),
                edit("model", "glacier", {}, 7),
            ),
            "is at revision 0, not 1": (edit("model", "absent", {}, 1),),
            "does not exist, so": (edit("deployment", "x", {}), edit("model", "absent")),
            "which does not exist": (
                edit("deployment", "x", {}),
                edit("service", "s", {"deployment": "y"}),
            ),
            "still named by 2 objects": (edit("deployment", "x", {}), edit("deployment", "north")),
            "last operator": (edit("operator", "admin"),),
            "same key": (admin("other"),),
            "has a key that workspace 'depots' has": (
                edit("workspace", "w", {"deployment": "south", "key_hashes": [key]}),
            ),
            "required setting is missing": (edit("model", "m", {"deployment": "north"}),),
            "1 to 200 characters": (edit("deployment", "", {}),),
            "not valid JSON": (ObjectEdit(kind="deployment", name="x", body_json="{"),),
        }
        for words, edits in cases.items():
            with self.subTest(words):
                self.assert_rejected(change("c", *edits), words)

    def test_conflict_reports_the_object_and_both_revisions(self):
        _, entry = self.verdict(change("c", edit("model", "glacier", {}, 7)))
        (conflict,) = entry.conflicts
        self.assertEqual((conflict.kind, conflict.name), ("model", "glacier"))
        self.assertEqual((conflict.expected_revision, conflict.present_revision), (7, 1))

    def test_a_change_id_used_twice_keeps_its_first_verdict(self):
        first = change("same", edit("deployment", "a", {}))
        second = change("same", edit("deployment", "b", {}))
        state = fold_all(first, second, state=self.state)
        self.assertIn(("deployment", "a"), state.objects)
        self.assertNotIn(("deployment", "b"), state.objects)
        self.assertEqual([entry.change_id for entry in state.audit], ["base", "same"])
        self.assertEqual(state.offset, 3)
        self.assertEqual((state.change("same").accepted, state.change("same").offset), (True, 2))

    def test_a_key_moves_between_workspaces_in_one_change(self):
        body = {"deployment": "north", "key_hashes": [hash_key("k1")]}
        state, entry = self.verdict(
            change("c", edit("workspace", "depots"), edit("workspace", "owners", body))
        )
        self.assertTrue(entry.accepted, entry.message)
        self.assertEqual(state.workspace_of_key("k1"), "owners")

    def test_deployment_is_removed_together_with_its_objects(self):
        edits = (
            edit("deployment", "north"),
            edit("model", "glacier"),
            edit("workspace", "depots"),
        )
        state, entry = self.verdict(change("c", *edits))
        self.assertTrue(entry.accepted, entry.message)
        self.assertIsNone(state.workspace_of_key("k1"))
        self.assertEqual(state.members, {})

    def test_operator_limited_to_one_deployment(self):
        state = fold_all(change("c", admin("clerk", "clerk-key", ["north"])), state=self.state)
        model = {"deployment": "north", "version": "v2"}
        moved = {"deployment": "south", "version": "v2"}
        cases = {
            (edit("model", "glacier", model),): True,
            (edit("deployment", "north", {}),): True,
            (edit("deployment", "south", {}),): False,
            (edit("model", "glacier", moved),): False,
            (edit("model", "glacier", model), edit("model", "other", moved)): False,
            (admin("friend", "friend-key"),): False,
        }
        for edits, accepted in cases.items():
            with self.subTest(edits=edits):
                wanted = change("d", *edits, operator="clerk", key="clerk-key")
                _, entry = self.verdict(wanted, state)
                self.assertEqual(entry.accepted, accepted, entry.message)
        with self.subTest("a deployment that an operator is limited to stays"):
            removal = change(
                "e",
                edit("deployment", "north"),
                edit("model", "glacier"),
                edit("workspace", "depots"),
            )
            self.assert_rejected(removal, "still named by 1", state)

    def test_revoked_operator_or_key_is_rejected(self):
        wanted = edit("deployment", "x", {})
        self.assert_rejected(change("c", wanted, operator="gone"), "no operator 'gone'")
        rotated = fold_all(change("r", admin(key="new-key")), state=self.state)
        self.assert_rejected(change("c", wanted), "was revoked", rotated)

    def test_an_unlimited_operator_always_remains(self):
        limited = change("c", admin(deployments=["north"]))
        self.assert_rejected(limited, "last operator")
        self.assert_rejected(
            change("c", edit("deployment", "north", {}), admin(deployments=["north"])),
            "first operator",
            ConfigState(offset=1),
        )

    def test_unknown_kinds_and_fields_are_kept_and_ignored(self):
        model = {"deployment": "north", "version": "v2", "speculation": {"depth": 3}}
        policy = {"policy": {"routing": "affinity", "new_weight": 1}}
        content = change(
            "c",
            edit("model", "glacier", model),
            edit("deployment", "north", policy),
            edit("route", "spare", {"deployment": "north"}),
        )
        payload = cbor2.loads(encode_record(content))
        payload[1]["new_field"] = 7
        state = fold(self.state, record(2, cbor2.dumps(payload)))
        self.assertTrue(state.change("c").accepted, state.change("c").message)
        self.assertEqual(state.model("glacier").version, "v2")
        self.assertIn("speculation", state.objects["model", "glacier"].body_json)
        self.assertEqual(state.members["north"], 3)
        with self.subTest("an unknown kind of record moves the offset only"):
            unknown = record(3, cbor2.dumps(["new kind", {}]))
            self.assertIsNone(decode_record(unknown.payload))
            after = fold(state, unknown)
            self.assertEqual((after.offset, after.objects), (3, state.objects))

    def test_only_one_of_concurrent_changes_is_accepted(self):
        for count in (2, 5):
            with self.subTest(count=count):
                changes = [
                    change(
                        f"c{n}",
                        edit("model", "glacier", {"deployment": "north", "version": f"v{n}"}, 1),
                    )
                    for n in range(count)
                ]
                state = fold_all(*changes, state=self.state)
                verdicts = [state.change(f"c{n}").accepted for n in range(count)]
                self.assertEqual(verdicts, [True] + [False] * (count - 1))
                self.assertEqual(state.model("glacier").version, "v0")
                for entry in state.audit[2:]:
                    self.assertEqual(entry.conflicts[0].present_revision, 2)

    def test_the_audit_trail_is_bounded_in_entries_and_bytes(self):
        last = fold_all(change("c", edit("deployment", "d", {})), state=self.state).audit[-1]
        cases = (("MAX_AUDIT_ENTRIES", 5, 5), ("MAX_AUDIT_BYTES", 4 * last.size_bytes, 4))
        for name, bound, kept in cases:
            with self.subTest(name), mock.patch(f"cicadatiller.config._fold.{name}", bound):
                changes = [change(f"c{n}", edit("deployment", f"d{n}", {})) for n in range(9)]
                state = fold_all(*changes, state=self.state)
                newest = [f"c{n}" for n in range(9)][-kept:]
                self.assertEqual([entry.change_id for entry in state.audit], newest)
                total = sum(entry.size_bytes for entry in state.audit)
                self.assertEqual(state.audit_bytes, total)
                self.assertEqual(len(state.objects), len(self.state.objects) + 9)
