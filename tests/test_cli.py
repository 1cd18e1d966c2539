"""The program `cicadatiller`, against a running fleet."""

import http.server
import json
import os
import re
import tempfile
import threading
import unittest
from pathlib import Path
from unittest import mock

from typer.testing import CliRunner

from cicadatiller.cli import app
from cicadatiller.cli._client import ExitCode
from cicadatiller.cli._manifests import format_difference
from cicadatiller.config import hash_key
from cicadatiller.kernel import ErrorKind, RunState, failure
from cicadatiller.rpc._generated.cicadatiller.v1 import operators_pb as pb
from cicadatiller.standins import EngineModel, expected_answer

from .support.configuration import ADMIN_KEY, change, edit
from .support.fleet import OPERATOR_KEY, WORKSPACE_KEY
from .support.live import LiveFleet, free_port

CONFIGURATION_PAGE = Path(__file__).parent.parent / "docs" / "CONFIGURATION.md"
FAST_ENGINE = EngineModel(kv_capacity_tokens=100_000, step_base_s=0.001, model_load_s=0.0)


class LiveFleetTestCase(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        directory = tempfile.TemporaryDirectory()
        cls.addClassCleanup(directory.cleanup)
        cls.directory = Path(directory.name)
        cls.live = LiveFleet(engines=2, entries=1, model=FAST_ENGINE)
        cls.addClassCleanup(cls.live.close)

    def run_cli(self, *arguments, key=OPERATOR_KEY, entry=None):
        variables = {"CICADATILLER_KEY": key, "CICADATILLER_ENTRY": entry or self.live.url}
        with mock.patch.dict(os.environ, variables):
            return CliRunner().invoke(app, arguments)

    def write(self, name, text):
        path = self.directory / name
        path.write_text(text)
        return str(path)


class PageTest(LiveFleetTestCase):
    def test_every_command_of_the_configuration_page(self):
        text = CONFIGURATION_PAGE.read_text()
        text = text.replace("{MARISOL_HASH}", hash_key(OPERATOR_KEY))
        text = text.replace("{CLERKS_HASH}", hash_key("clerks-key"))
        for name, body in re.findall(r"File `(\S+)`:\n\n```yaml\n(.*?)```", text, re.S):
            self.write(name, body)
        examples = []
        for block in re.findall(r"```console\n(.*?)```", text, re.S):
            for example in re.split(r"^\$ ", block, flags=re.M)[1:]:
                examples.append(example.strip().splitlines())
        self.assertGreater(len(examples), 15)
        for command, *lines in examples:
            with self.subTest(command):
                self.check(command, lines)

    def check(self, command, lines):
        expected_code = 0
        if lines and lines[-1].startswith("exit code"):
            expected_code = int(lines.pop().removeprefix("exit code "))
        arguments = [
            argument[1:-1] if argument.startswith('"') else argument
            for argument in re.findall(r'"[^"]*"|\S+', command)[1:]
        ]
        arguments = [
            str(self.directory / argument) if argument.endswith(".yaml") else argument
            for argument in arguments
        ]
        key = WORKSPACE_KEY if arguments[0] in ("ask", "call") else OPERATOR_KEY
        result = self.run_cli(*arguments, key=key)
        output = re.sub(r" +", " ", result.output)
        self.assertEqual(result.exit_code, expected_code, result.output)
        for line in lines:
            self.assertIn(re.sub(r" +", " ", line).strip(), output)


class CommandTest(LiveFleetTestCase):
    def test_ask_prints_the_complete_output(self):
        path = self.write("prompt.txt", "stock check")
        for arguments in (("stock check",), ("--file", path)):
            result = self.run_cli(
                "ask",
                "--model",
                "glacier",
                "--max-output-tokens",
                "6",
                *arguments,
                key=WORKSPACE_KEY,
            )
            self.assertEqual(result.exit_code, 0, result.output)
            self.assertEqual(result.stdout, "".join(expected_answer("stock check", 6)) + "\n")

    def test_a_repeated_call_with_the_same_request_id_runs_once(self):
        opened = self.live.run(
            self.live.fleet.entries[0].service.open_request("depots", "", "dispatch")
        )
        for _ in range(2):
            result = self.run_cli(
                "call", "dispatch", "echo", "order", "--request-id", opened, key=WORKSPACE_KEY
            )
            self.assertEqual((result.exit_code, result.stdout), (0, "order\n"))
        self.assertEqual(self.live.fleet.service.executions[b"order"], 1)

    def test_exit_codes_without_a_traceback(self):
        closed_port_url = f"http://127.0.0.1:{free_port()}"
        invalid_file = self.write(
            "bad.yaml", "- kind: model\n  name: m\n  body: {versoin: v1}\n- kind: x\n"
        )
        valid_file = self.write("good.yaml", "kind: deployment\nname: south\n")
        cases = (
            (("list",), "wrong-key", None, ExitCode.REFUSED),
            (("get", "model", "absent"), OPERATOR_KEY, None, ExitCode.REFUSED),
            (("list",), "", None, ExitCode.USAGE),
            (("check-settings", invalid_file), OPERATOR_KEY, None, ExitCode.USAGE),
            (("frobnicate",), OPERATOR_KEY, None, ExitCode.USAGE),
            (("validate", "-f", invalid_file), OPERATOR_KEY, None, ExitCode.USAGE),
            (("validate", "-f", "absent.yaml"), OPERATOR_KEY, None, ExitCode.USAGE),
            (("list",), OPERATOR_KEY, closed_port_url, ExitCode.UNREACHABLE),
            (("apply", "-f", valid_file), OPERATOR_KEY, closed_port_url, ExitCode.UNREACHABLE),
            (
                ("call", "dispatch", "echo", "x"),
                WORKSPACE_KEY,
                closed_port_url,
                ExitCode.UNREACHABLE,
            ),
            (("list",), OPERATOR_KEY, f"{closed_port_url} {self.live.url}", ExitCode.OK),
            (
                ("apply", "-f", valid_file),
                OPERATOR_KEY,
                f"{closed_port_url} {self.live.url}",
                ExitCode.OK,
            ),
        )
        for arguments, key, entry, code in cases:
            with self.subTest(arguments=arguments, entry=entry):
                result = self.run_cli(*arguments, key=key, entry=entry)
                self.assertEqual(result.exit_code, code, result.output)
                self.assertNotIn("Traceback", result.output)
                self.assertIn(type(result.exception), (type(None), SystemExit))
        result = self.run_cli("validate", "-f", invalid_file)
        self.assertIn("versoin", result.output)
        self.assertIn("object 2", result.output)

    def test_apply_during_an_outage_and_after_a_lost_response(self):
        valid_file = self.write("good.yaml", "kind: deployment\nname: south\n")
        self.live.fleet.log.down = True
        result = self.run_cli("apply", "-f", valid_file, "--time-limit-s", "2")
        self.assertEqual(result.exit_code, ExitCode.REFUSED, result.output)
        self.assertIn("CHANGE_NOT_SENT (NOT_RUN)", result.output)
        self.assertIn("Apply the change again", result.output)
        self.assertNotIn("OpenRequest", result.output)
        self.live.fleet.log.down = False
        self.live.fleet.log.lose_replies = 1
        result = self.run_cli("apply", "-f", valid_file, "--change-id", "mine")
        self.assertEqual(result.exit_code, 0, result.output)
        again = self.run_cli("apply", "-f", valid_file, "--change-id", "mine")
        self.assertEqual(again.exit_code, 0, again.output)
        history = json.loads(self.run_cli("--output", "json", "history").output)
        self.assertEqual([row["change_id"] for row in history].count("mine"), 1)

    def test_history_reads_all_pages_and_exports_every_change(self):
        admin_service = self.live.fleet.entries[0].operators
        first = admin_service.state.offset + 1
        for number in range(3):
            self.live.run(
                admin_service.apply(
                    change(f"c{number}", edit("deployment", f"d{number}", {}), key=ADMIN_KEY), 5
                )
            )
        with mock.patch("cicadatiller.cli._reading.HISTORY_PAGE", 2):
            exported = self.run_cli("history", "--export", "--from-offset", str(first))
        rows = [json.loads(line) for line in exported.output.splitlines()]
        self.assertEqual([row["change_id"] for row in rows], ["c0", "c1", "c2"])
        self.assertEqual(
            rows[0]["differences"],
            [{"kind": "deployment", "name": "d0", "before": None, "after": {}}],
        )

    def test_wait_lists_the_nodes_that_have_not_applied_the_change(self):
        valid_file = self.write("good.yaml", "kind: deployment\nname: south\n")
        closed_port_url = f"http://127.0.0.1:{free_port()}"
        result = self.run_cli(
            "apply",
            "-f",
            valid_file,
            "--wait",
            "--wait-timeout-s",
            "0.1",
            entry=f"{self.live.url} {closed_port_url}",
        )
        self.assertEqual(result.exit_code, ExitCode.UNKNOWN, result.output)
        self.assertIn(closed_port_url, result.output)

    def test_status_in_each_format(self):
        metrics = self.live.fleet.entries[0].service.metrics
        for run_state in (RunState.NOT_RUN, RunState.OUTCOME_UNKNOWN, RunState.OUTCOME_UNKNOWN):
            metrics.record_failure(failure(ErrorKind.TARGET_LOST, "lost").with_run_state(run_state))
        for output in ("json", "yaml", "table"):
            result = self.run_cli("--output", output, "status")
            self.assertEqual(result.exit_code, 0, result.output)
            self.assertIn("engine-1", result.output)
            self.assertIn("TARGET_LOST", result.output)
        body = json.loads(self.run_cli("--output", "json", "status").output)
        self.assertEqual([row["data_centre"] for row in body["data_centres"]], ["hall-a", "hall-b"])
        self.assertTrue(body["log_reachable"])
        lost = [row for row in body["failures"] if row["kind"] == "TARGET_LOST"]
        self.assertEqual(
            [(row["run_state"], row["count"]) for row in lost],
            [("NOT_RUN", 1), ("OUTCOME_UNKNOWN", 2)],
        )

    def test_keys_new_prints_a_key_and_its_hash(self):
        lines = self.run_cli("keys", "new").output.split()
        self.assertEqual(lines[3], hash_key(lines[1]))


class DifferenceTest(unittest.TestCase):
    def test_a_difference_also_shows_unchanged_fields(self):
        difference = pb.ObjectDifference(
            kind="model",
            name="glacier",
            before_json='{"deployment": "north", "version": "v1"}',
            after_json='{"deployment": "north", "version": "v2"}',
        )
        self.assertEqual(
            format_difference(difference),
            "model glacier: change\n   deployment: north\n  -version: v1\n  +version: v2",
        )


class FollowedTest(unittest.TestCase):
    """Which settings and configuration the entries on the platform follow."""

    PAGE = (
        'cicadatiller_followed_settings_info{digest="ab",entry="front-1",revision="2"} 1.0\n'
        'cicadatiller_followed_config_info{digest="cd",version="74"} 1.0\n'
    )

    def serve(self, text):
        class Handler(http.server.BaseHTTPRequestHandler):
            def do_GET(self):  # noqa: N802
                self.send_response(200)
                self.end_headers()
                self.wfile.write(text.encode())

            def log_message(self, *arguments):
                pass

        server = http.server.HTTPServer(("127.0.0.1", 0), Handler)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        self.addCleanup(server.server_close)
        self.addCleanup(server.shutdown)
        return f"http://127.0.0.1:{server.server_address[1]}/metrics"

    def status(self, *urls):
        arguments = [part for url in urls for part in ("--metrics", url)]
        variables = {"CICADATILLER_KEY": "k", "CICADATILLER_ENTRY": "http://127.0.0.1:1"}
        with mock.patch.dict(os.environ, variables):
            return CliRunner().invoke(app, ["--output", "json", "status", *arguments])

    def test_one_row_for_each_entry(self):
        url = self.serve(self.PAGE)
        closed = f"http://127.0.0.1:{free_port()}/metrics"
        rows = json.loads(self.status(url, closed).stdout)
        self.assertEqual(
            rows[0],
            {
                "entry": "front-1",
                "settings_revision": "2",
                "settings_digest": "ab",
                "config_version": "74",
                "config_digest": "cd",
                "problem": "",
            },
        )
        self.assertEqual(rows[1]["entry"], closed)
        self.assertTrue(rows[1]["problem"])

    def test_no_answer_is_an_error(self):
        result = self.status(f"http://127.0.0.1:{free_port()}/metrics")
        self.assertEqual(result.exit_code, ExitCode.UNREACHABLE)
