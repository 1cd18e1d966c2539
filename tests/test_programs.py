"""Runs the programs as processes on loopback, started from YAML settings."""

import os
import signal
import subprocess
import sys
import tempfile
import unittest
import urllib.request
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from connectrpc.errors import ConnectError

from bench.fleet import OPERATOR_KEY, plan, publish, start, wait_until
from cicadatiller.rpc._generated.cicadatiller.v1 import operators_pb, serving_pb
from cicadatiller.rpc._generated.cicadatiller.v1.operators_connect import OperatorServiceClientSync
from cicadatiller.rpc._generated.cicadatiller.v1.serving_connect import ServingServiceClientSync
from cicadatiller.standins import expected_answer

AUTH_HEADERS = {"authorization": "Bearer workspace-0-key"}
STOP_TIMEOUT_S = 60.0
FAST_ENGINE_MODEL = {"step_base_s": 0.01, "model_load_s": 0.0}


class FleetTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        directory = tempfile.TemporaryDirectory()
        cls.addClassCleanup(directory.cleanup)
        cls.directory = Path(directory.name)
        cls.layout = plan(
            entries=2,
            engines=1,
            services=1,
            data_centres=("hall-a", "hall-b"),
            engine_model=FAST_ENGINE_MODEL,
            sidecar_options={"linger_s": 0.2},
        )
        cls.processes = start(cls.layout, cls.directory)
        cls.addClassCleanup(cls._kill_processes)
        publish(cls.layout)
        cls.clients = [
            ServingServiceClientSync(cls.layout.entry_url(number)) for number in range(2)
        ]

    @classmethod
    def _kill_processes(cls):
        for process in cls.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()

    def log_of(self, name):
        return (self.directory / f"{name}.log").read_text()

    def test_1_generation_is_whole_through_each_entry(self):
        request = serving_pb.GenerateRequest(
            model="glacier", prompt="stock check", max_output_tokens=12, time_limit_ms=30_000
        )
        for client in self.clients:
            events = [r.event for r in client.generate(request, headers=AUTH_HEADERS)]
            texts = [text for e in events if e.field == "tokens" for text in e.value.texts]
            self.assertEqual(tuple(texts), expected_answer("stock check", 12))
            self.assertEqual(events[-1].field, "done")

    def test_2_call_with_one_id_through_two_entries_runs_once(self):
        opened = self.clients[0].open_request(
            serving_pb.OpenRequestRequest(service="dispatch"), headers=AUTH_HEADERS
        )
        request = serving_pb.CallRequest(
            service="dispatch",
            method="echo",
            payload=b"two pallets",
            time_limit_ms=30_000,
            request_id=opened.request_id,
            not_repeatable=True,
        )
        replies = [client.call(request, headers=AUTH_HEADERS) for client in self.clients]
        self.assertEqual([reply.payload for reply in replies], [b"two pallets"] * 2)
        port = self.layout.service_ports[0]
        url = f"http://127.0.0.1:{port}/executions"
        with urllib.request.urlopen(url, data=b"two pallets") as response:
            self.assertEqual(response.read(), b"1")

    def test_3_both_entries_have_the_configuration(self):
        for number in range(2):
            client = OperatorServiceClientSync(self.layout.entry_url(number))
            status = client.status(
                operators_pb.StatusRequest(), headers={"authorization": f"Bearer {OPERATOR_KEY}"}
            )
            self.assertEqual(status.config_offset, 1)
            self.assertTrue(status.log_reachable)

    def test_4_entry_finishes_an_open_stream_after_sigterm(self):
        request = serving_pb.GenerateRequest(
            model="glacier", prompt="review", max_output_tokens=40, time_limit_ms=60_000
        )
        texts = []
        signalled = False
        for response in self.clients[1].generate(request, headers=AUTH_HEADERS):
            if response.event.field == "tokens":
                texts.extend(response.event.value.texts)
                if not signalled:
                    self.processes["entry-1"].send_signal(signal.SIGTERM)
                    signalled = True
        self.assertEqual(tuple(texts), expected_answer("review", 40))
        self.assertEqual(self.processes["entry-1"].wait(STOP_TIMEOUT_S), 0)
        with self.assertRaises(ConnectError):
            list(self.clients[1].generate(request, headers=AUTH_HEADERS))

    def test_5_sidecar_finishes_a_running_call_after_sigterm(self):
        faults = f"http://127.0.0.1:{self.layout.service_ports[0]}/faults"
        with urllib.request.urlopen(faults, data=b'{"delay_s": 0.5}'):
            pass
        request = serving_pb.CallRequest(
            service="dispatch",
            method="echo",
            payload=b"one pallet",
            time_limit_ms=60_000,
            not_repeatable=True,
        )
        with ThreadPoolExecutor() as threads:
            call = threads.submit(self.clients[0].call, request, headers=AUTH_HEADERS)
            url = faults.replace("/faults", "/executions")
            wait_until(
                lambda: urllib.request.urlopen(url, data=b"one pallet").read() == b"1",
                timeout_s=STOP_TIMEOUT_S,
                what="the call to reach the service",
            )
            self.processes["service-0"].send_signal(signal.SIGTERM)
            self.assertEqual(call.result().payload, b"one pallet")
        self.assertEqual(self.processes["service-0"].wait(STOP_TIMEOUT_S), 0)

    def test_6_sigterm_ends_every_process_with_exit_code_0(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        codes = {name: item.wait(STOP_TIMEOUT_S) for name, item in self.processes.items()}
        self.assertEqual(codes, dict.fromkeys(codes, 0))
        for name in codes:
            self.assertNotIn("Traceback", self.log_of(name), name)
        for name in ("entry-0", "entry-1", "engine-0", "service-0"):
            self.assertIn("cicadatiller:process_stopped", self.log_of(name))


class BadSettingsTest(unittest.TestCase):
    COMMANDS = {
        "entry": ("-c", "from cicadatiller.rpc import main; main()"),
        "sidecar": ("-c", "from cicadatiller.sidecar import main; main()"),
        "engine": ("-m", "cicadatiller.standins", "engine"),
    }

    def test_bad_settings_end_with_exit_code_2_and_every_mistake(self):
        text = "name: ''\nhttp: {address: nowhere, threads: -1}\nseed: 1.5\ncolour: red\n"
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "bad.yaml"
            path.write_text(text)
            running = {
                program: subprocess.Popen(
                    [sys.executable, *command, "--settings", str(path)],
                    stdout=subprocess.PIPE,
                    stderr=subprocess.PIPE,
                    text=True,
                    env=os.environ,
                )
                for program, command in self.COMMANDS.items()
            }
            outcomes = {
                program: (*process.communicate(timeout=STOP_TIMEOUT_S), process.returncode)
                for program, process in running.items()
            }
        for program, (_, errors, code) in outcomes.items():
            with self.subTest(program):
                self.assertEqual(code, 2, errors)
                self.assertIn("colour", errors)
                self.assertNotIn("Traceback", errors)
        entry_errors = outcomes["entry"][1]
        for path in ("http.address", "http.threads", "seed", "peer_secret", "data_centre"):
            self.assertIn(f"bad.yaml: {path}: ", entry_errors)
