"""Settings files: all errors are reported at once, each with its path, and none as a traceback."""

import re
import tempfile
import unittest
from pathlib import Path

import yaml
from returns.result import Success
from typer.testing import CliRunner

from cicadatiller.cli import app
from cicadatiller.cli._check import SETTINGS_TYPES
from cicadatiller.entry import EntrySettings
from cicadatiller.settings import load_settings, parse_settings
from cicadatiller.sidecar import SidecarSettings

from .support.tables import DOCS

ENDPOINT = {"url": "http://127.0.0.1:1"}
ENTRY = {
    "name": "entry-0",
    "data_centre": "hall-a",
    "http": {"address": "127.0.0.1:1"},
    "log": ENDPOINT,
    "instances": ENDPOINT,
    "peer_secret": {"value": "secret"},
}
SIDECAR = {
    "name": "engine-0",
    "address": "127.0.0.1:1",
    "deployment": "north",
    "target": {"kind": "engine", "endpoint": ENDPOINT},
    "log": ENDPOINT,
    "instances": ENDPOINT,
    "weights": ENDPOINT,
    "peer_secret": {"value": "secret"},
}


def paths_of(data, settings_type=EntrySettings):
    """Return the paths of all settings with errors."""
    parsed = parse_settings(data, settings_type)
    return set() if isinstance(parsed, Success) else {m.split(":")[0] for m in parsed.failure()}


class ParseTest(unittest.TestCase):
    def test_valid_settings(self):
        self.assertEqual(paths_of(ENTRY), set())
        self.assertEqual(paths_of(SIDECAR, SidecarSettings), set())

    def test_each_error_has_the_path_of_its_setting(self):
        changes = {
            "(top)": {"colour": "red"},
            "name": {"name": ""},
            "data_centre": {"data_centre": 7},
            "http": {"http": None},
            "http.address": {"http": {"address": "nowhere"}},
            "http.threads": {"http": {"address": "127.0.0.1:1", "threads": 0}},
            "http.tls_certificate_path": {
                "http": {
                    "address": "127.0.0.1:1",
                    "tls_certificate_path": "/absent.pem",
                    "tls_key_path": "/absent.key",
                }
            },
            "log": {"log": {"url": "http://127.0.0.1:1", "plugin": "absent"}},
            "log.url": {"log": {"url": "ftp://x"}},
            "instances.read_timeout_s": {"instances": ENDPOINT | {"read_timeout_s": "5s"}},
            "peer_secret": {"peer_secret": {}},
            "peer_secret.value": {"peer_secret": {"value": 7}},
            "balancer_delay_s": {"balancer_delay_s": -1},
            "drain_timeout_s": {"drain_timeout_s": float("nan")},
            "seed": {"seed": True},
        }
        for path, change in changes.items():
            with self.subTest(path):
                self.assertEqual(paths_of(ENTRY | change), {path})

    def test_errors_of_several_groups_are_reported_at_once(self):
        data = ENTRY | {"http": {"address": "x", "threads": -1}, "log": {}, "seed": "x"}
        wanted = {"http.address", "http.threads", "log.url", "seed"}
        self.assertEqual(paths_of(data), wanted)

    def test_data_that_is_not_a_mapping(self):
        for data in (None, [], "text", 7, {1: 2}, {"http": [1]}):
            with self.subTest(data):
                self.assertTrue(paths_of(data))

    def test_unknown_kind_of_target(self):
        target = {"kind": "printer", "endpoint": ENDPOINT}
        self.assertEqual(paths_of(SIDECAR | {"target": target}, SidecarSettings), {"target.kind"})


class LoadTest(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = Path(directory.name) / "settings.yaml"

    def test_unreadable_files(self):
        contents = {
            "binary": b"\xff\xfe\x00",
            "not YAML": b"{: [",
            "bad date": b"name: 2024-99-99",
            "deep": b"[" * 5_000,
            "tab": b"a:\n\tb: 1",
        }
        for name, content in contents.items():
            with self.subTest(name):
                self.path.write_bytes(content)
                self.assertNotIsInstance(load_settings(self.path, EntrySettings), Success)
        self.assertNotIsInstance(load_settings(self.path.parent, EntrySettings), Success)
        self.assertNotIsInstance(load_settings(self.path / "absent", EntrySettings), Success)

    def test_secret_from_a_file(self):
        self.path.write_text("from-file\n")
        parsed = parse_settings(ENTRY | {"peer_secret": {"file": str(self.path)}}, EntrySettings)
        self.assertEqual(parsed.unwrap().peer_secret.read(), "from-file")
        self.path.write_text("\n")
        self.assertEqual(
            paths_of(ENTRY | {"peer_secret": {"file": str(self.path)}}), {"peer_secret"}
        )
        self.assertEqual(paths_of(ENTRY | {"peer_secret": {"file": "/absent"}}), {"peer_secret"})

    def test_check_settings_command(self):
        self.path.write_text("name: entry-0\ntarget: {kind: printer}\n")
        result = CliRunner().invoke(app, ["check-settings", str(self.path)])
        self.assertEqual(result.exit_code, 2)
        self.assertIn("target.kind: ", result.output)
        self.assertIn("deployment: ", result.output)
        self.path.write_text("http: {address: '127.0.0.1:1'}\n")
        result = CliRunner().invoke(app, ["check-settings", str(self.path), "--program", "log"])
        self.assertEqual((result.exit_code, "good" in result.output), (0, True))

    def test_check_of_the_platforms_settings_prints_one_line_for_each_mistake(self):
        path = self.path.with_suffix(".toml")
        path.write_text("zone = 3\n")
        result = CliRunner().invoke(app, ["check-settings", str(path)])
        self.assertEqual(result.exit_code, 2)
        lines = result.output.splitlines()
        self.assertIn(f"{path}: zone: expected a non-empty string; found 3", lines)
        self.assertIn(f"{path}: node_name: expected a non-empty string; it is missing", lines)
        self.assertEqual(result.output.count(str(path)), len(lines))

    def test_path_of_a_file_that_is_absent_is_printed_once(self):
        path = str(self.path.with_name("absent.toml"))
        for arguments in (
            ("check-settings", path, "--program", "deploy"),
            ("check-settings", path, "--program", "platform"),
            ("check-settings", path, "--program", "entry"),
            ("validate", "-f", path),
        ):
            with self.subTest(arguments):
                result = CliRunner().invoke(app, arguments)
                self.assertEqual(result.exit_code, 2)
                self.assertEqual(result.output.count(path), 1, result.output)


class OperationsPageTest(unittest.TestCase):
    def test_examples_are_valid_settings(self):
        text = (DOCS / "OPERATIONS.md").read_text(encoding="utf-8")
        blocks = re.findall(r"```yaml\n# (\S+)\.yaml\n(.*?)```", text, re.DOTALL)
        self.assertEqual(len(blocks), 9)
        for name, content in blocks:
            program = "entry" if name.startswith("entry") else name
            program = "sidecar" if name in ("engine-0", "dispatch-0") else program
            with self.subTest(name):
                parsed = parse_settings(yaml.safe_load(content), SETTINGS_TYPES[program])
                self.assertIsInstance(parsed, Success)
