"""Checks that the reference pages and the code list the same items."""

import dataclasses
import re
import unittest
from pathlib import Path

from cicadatiller.backing import instance_list_registry, log_registry, weight_store_registry
from cicadatiller.channels import transport_registry
from cicadatiller.config import OBJECT_TYPES
from cicadatiller.entry import EntrySettings, routing_registry
from cicadatiller.gateway import GatewaySettings
from cicadatiller.kernel import ERROR_RULES, ErrorKind, Event, RunState
from cicadatiller.sidecar import SidecarSettings, queue_registry
from cicadatiller.standins import STANDIN_SETTINGS
from cicadatiller.targets import engine_registry, service_registry

from .support import Fault
from .support.tables import read_tables, settings_of

SOURCES = Path(__file__).parents[1] / "src"
PROGRAM_SETTINGS = {
    "cicadatiller-entry": EntrySettings,
    "cicadatiller-sidecar": SidecarSettings,
    "cicadatiller.platform": GatewaySettings,
}


class EventsPageTest(unittest.TestCase):
    def test_every_event_has_its_row(self):
        rows = [row[:4] for table in read_tables("EVENTS.md").values() for row in table]
        wanted = [(str(e.number), f"`{e.name.lower()}`", e.level, e.meaning) for e in Event]
        self.assertEqual(sorted(rows), sorted(wanted))

    def test_every_event_is_written_somewhere(self):
        sources = [path.read_text() for path in SOURCES.rglob("*.py") if path.name != "_events.py"]
        for event in Event:
            with self.subTest(event.name):
                mention = re.compile(rf"\bEvent\.{event.name}\b")
                self.assertTrue(any(mention.search(source) for source in sources))

    def test_numbers_are_unique(self):
        numbers = [event.number for event in Event]
        self.assertEqual(len(numbers), len(set(numbers)))


class ArchitecturePageTest(unittest.TestCase):
    def test_every_plug_in_has_its_row(self):
        registries = {
            "routing_registry": routing_registry,
            "queue_registry": queue_registry,
            "transport_registry": transport_registry,
            "engine_registry": engine_registry,
            "service_registry": service_registry,
            "log_registry": log_registry,
            "instance_list_registry": instance_list_registry,
            "weight_store_registry": weight_store_registry,
        }
        documented = {
            name: set(re.findall(r"`([^`]+)`", plugins))
            for names, plugins in read_tables("ARCHITECTURE.md")["Plug-ins"]
            for name in re.findall(r"`([^`]+)`", names)
        }
        self.assertEqual(set(documented), set(registries))
        for name, registry in registries.items():
            with self.subTest(name):
                products = {n for n in registry.names() if not n.startswith(("test-", "bench-"))}
                self.assertEqual(documented[name], products)


class FaultsPageTest(unittest.TestCase):
    def test_every_fault_has_its_row_with_known_events_and_kinds(self):
        rows = read_tables("OPERATIONS.md")["Faults: what an operator sees and does"]
        self.assertEqual([row[0] for row in rows], [fault.value for fault in Fault])
        numbers = {event.number for event in Event}
        names = {kind.value for kind in ErrorKind} | {state.value for state in RunState}
        for fault, seen, events, action in rows:
            with self.subTest(fault):
                self.assertTrue(seen and events and action)
                self.assertLessEqual(set(map(int, re.findall(r"\b\d{3}\b", events))), numbers)
                self.assertLessEqual(set(re.findall(r"`([A-Z_]{4,})`", seen)), names)


class ErrorsPageTest(unittest.TestCase):
    def test_every_kind_has_its_row(self):
        rows = read_tables("ERRORS.md")["Kinds"]
        wanted = [
            (
                f"`{kind.value}`",
                f"`{rule.code.value}`",
                f"`{rule.run_state.value}`",
                rule.advice.value,
                str(rule.event.number),
            )
            for kind, rule in ERROR_RULES.items()
        ]
        self.assertEqual(sorted(row[:5] for row in rows), sorted(wanted))

    def test_every_kind_has_a_rule(self):
        self.assertEqual(set(ERROR_RULES), set(ErrorKind))


class SettingsPageTest(unittest.TestCase):
    def assert_documented(self, heading, settings_type):
        rows = read_tables("SETTINGS.md").get(heading, [])
        documented = {row[0].strip("`"): row[1].strip("`") for row in rows}
        self.assertEqual(documented, settings_of(settings_type))
        self.assertTrue(all(row[2] for row in rows))

    def test_settings_of_programs(self):
        for heading, settings_type in PROGRAM_SETTINGS.items():
            with self.subTest(heading):
                self.assert_documented(heading, settings_type)

    def test_settings_of_standins(self):
        for name, settings_type in STANDIN_SETTINGS.items():
            with self.subTest(name):
                self.assert_documented(f"Stand-in {name}", settings_type)

    def test_configuration_objects(self):
        for name, object_type in OBJECT_TYPES.items():
            with self.subTest(name):
                self.assert_documented(f"Object {name}", object_type)

    def test_page_has_no_other_tables(self):
        wanted = set(PROGRAM_SETTINGS)
        wanted |= {f"Stand-in {name}" for name in STANDIN_SETTINGS}
        wanted |= {f"Object {name}" for name in OBJECT_TYPES}
        self.assertEqual(set(read_tables("SETTINGS.md")), wanted)

    def test_durations_and_sizes_carry_their_unit(self):
        units = ("_s", "_ms", "_bytes", "_tokens", "_per_s")
        for settings_type in PROGRAM_SETTINGS.values():
            for field in dataclasses.fields(settings_type):
                with self.subTest(field.name):
                    if field.type is float:
                        self.assertTrue(field.name.endswith(units))
