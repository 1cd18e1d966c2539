"""The adapter to the users' platform: settings, documents, headers and the framing of records."""

import json
import math
import re
import tempfile
import unittest
from pathlib import Path

from cicadatiller.egress import ExchangeHistory, ResponseHead, ResponseMatch
from cicadatiller.fleet import (
    TargetState,
)
from cicadatiller.gateway import RequestFields, TargetFields
from cicadatiller.ingress import Request
from cicadatiller.kernel import DocumentError
from cicadatiller.platform import (
    PlatformDocuments,
    PlatformHeaders,
    PlatformSettingsError,
    check_deploy_file,
    load_node_settings,
    parse_node_settings,
)
from cicadatiller.routes import RouteKind

from .support.gateways import configuration, route

ROOT = Path(__file__).parents[1]
SOURCES = ROOT / "src" / "cicadatiller"
SETTINGS = {
    "node_name": "front-1",
    "zone": "north-a",
    "ip": "10.1.0.40",
    "internal_port_range": [7340, 7355],
    "listen": {"front": "10.1.0.40:8227", "ready": "10.1.0.40:8220"},
    "bounds": {
        "grace_s": 8,
        "drain_ms": 2000,
        "config_converge_ms": 2000,
        "retry_budget_ratio": 0.2,
        "retry_budget_slack": 106,
        "budget_window_s": 10,
        "hold_max_ms": 20_000,
        "free_ms": 4000,
        "idle_max_ms": 9000,
    },
    "platform": {"address": "10.200.1.7:8223", "form": "log"},
    "coming_next_year": True,
}

# Names of the platform that only the adapter may use: headers, topics, calls and fields. The rest
# of the project has its own names for them.
PLATFORM_NAMES = (
    "attempt-id",
    "deadline-remaining",
    "expect-instance",
    "server-seal",
    "not-executed",
    "token-counts",
    "length-hint",
    "request-urgency",
    "weight-versions",
    "prompt-prefix",
    "last-event-id",
    "at-server",
    "log-read",
    "log-append",
    "log-newest",
    "keyed.op",
    "keyed.servers",
    "keyed.status",
    'path_prefix"',
    "target_latency_ms",
    "traffic_split",
    "stream_resume",
    "cold_remaining",
    "internal_port_range",
    'grace_s"',
    "node_name",
    "CICADATILLER_SETTINGS",
)


class SettingsTest(unittest.TestCase):
    def test_fields_are_decoded_with_their_units(self):
        node = parse_node_settings(SETTINGS)
        self.assertEqual((node.name, node.data_centre), ("front-1", "north-a"))
        self.assertEqual(node.peer_address, "10.1.0.40:7340")
        self.assertEqual(node.store_address, "10.200.1.7:8223")
        self.assertEqual(node.bounds.target_drain_s, 2.0)
        self.assertEqual(node.bounds.hold_after_use_s, 4.0)
        self.assertEqual(node.bounds.retry_slack, 106)

    def test_all_invalid_fields_are_reported_at_once(self):
        wrong = SETTINGS | {"zone": 7, "listen": {"front": ""}, "platform": 3}
        del wrong["ip"]
        with self.assertRaises(PlatformSettingsError) as caught:
            parse_node_settings(wrong)
        for name in ("zone", "ip", "listen.front", "listen.ready", "platform"):
            self.assertIn(f"{name}: expected", str(caught.exception))

    def test_range_of_internal_ports_needs_a_port(self):
        for ports in ([], [0, 5], [70_000, 70_001]):
            with self.assertRaises(PlatformSettingsError) as caught:
                parse_node_settings(SETTINGS | {"internal_port_range": ports})
            self.assertIn("internal_port_range: expected", str(caught.exception))

    def test_path_of_an_unreadable_file_is_named_once(self):
        path = Path("/nonexistent/boot.toml")
        with self.assertRaises(PlatformSettingsError) as caught:
            load_node_settings(path)
        self.assertEqual(str(caught.exception).count(str(path)), 1)

    def test_missing_optional_bounds_get_their_defaults(self):
        bounds = {k: v for k, v in SETTINGS["bounds"].items() if not k.startswith(("free", "idle"))}
        node = parse_node_settings(SETTINGS | {"bounds": bounds})
        self.assertEqual(node.bounds.hold_after_use_s, 4.0)


class DeployFileTest(unittest.TestCase):
    def check(self, text):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "system.toml"
            path.write_text(text)
            return check_deploy_file(path)

    def test_own_deploy_file_is_valid(self):
        self.assertEqual(check_deploy_file(ROOT / "deploy" / "system.toml"), ())

    def test_all_errors_are_reported_at_once(self):
        errors = self.check("""
            colour = "red"
            [roles.a]
            run = ""
            on = "back"
            share = 2
            serves = ["doors"]
            metrics = "here"
            [roles.b]
            run = "python3 x"
            on = "front"
            serves = ["front"]
            [roles.c]
            run = "python3 x"
            on = "front"
            serves = ["front"]
            """)
        text = "\n".join(errors)
        for field in ("colour", "build", "a.run", "a.on", "a.share", "a.serves", "a.metrics"):
            self.assertIn(f"{field}: ", text)
        self.assertIn("two roles on 'front' list the same value in serves", text)

    def test_serves_that_is_no_list_is_an_error(self):
        text = """
            build = "true"
            [roles.a]
            run = "python3 x"
            on = "front"
            serves = 3
            """
        self.assertIn("roles.a.serves: expected a list", "\n".join(self.check(text)))

    def test_role_that_lists_a_value_twice_is_named_alone(self):
        text = """
            build = "true"
            [roles.a]
            run = "python3 x"
            on = "front"
            serves = ["front", "front"]
            """
        errors = "\n".join(self.check(text))
        self.assertIn("roles.a.serves", errors)
        self.assertNotIn("two roles", errors)

    def test_invalid_toml_is_reported(self):
        self.assertIn("(file)", self.check("= 3")[0])


class DocumentsTest(unittest.TestCase):
    def decode(self, document):
        return PlatformDocuments().decode_configuration(json.dumps(document).encode())

    def test_routes(self):
        split = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
        table = self.decode(
            configuration(
                7,
                routes=[
                    route("stream", traffic_split=split, priority=2),
                    route("unsafe", allow_anonymous=True, hostname="NORTH.example"),
                ],
            )
        )
        self.assertEqual(table.version, 7)
        stream = table.find_route("north.example", "/stream/x")
        self.assertEqual(stream.kind, RouteKind.STREAM)
        self.assertEqual([(s.service, s.weight) for s in stream.splits], [("a", 90), ("b", 10)])
        self.assertEqual((stream.timeout_s, stream.max_gap_s), (10.0, 0.25))
        self.assertTrue(stream.is_idempotent)
        unsafe = table.find_route("north.example", "/unsafe/x")
        self.assertTrue(unsafe.allow_anonymous)
        self.assertFalse(unsafe.is_idempotent)

    def test_engines_are_decoded_into_seconds_and_tokens(self):
        engine = self.decode(configuration(7)).services["engines"].engine
        self.assertEqual((engine.slots, engine.chunk_tokens), (8, 2048))
        self.assertAlmostEqual(engine.step_s, 0.00102)
        self.assertAlmostEqual(engine.step_per_context_token_s, 4.3e-9)
        self.assertAlmostEqual(engine.prefill_pair_s, 1.38e-10)

    def test_keys_are_stored_as_hashes(self):
        table = self.decode(configuration(7))
        self.assertEqual(table.find_workspace(b"key-of-reef").name, "reef")
        self.assertIsNone(table.find_workspace(b"key-of-"))
        self.assertNotIn(b"key-of-reef", repr(vars(table)).encode())

    def test_keys_are_required_even_if_no_workspace_has_one(self):
        self.assertTrue(self.decode(configuration(7, tenants=[])).needs_keys)
        document = configuration(7)
        del document["tenants"]
        self.assertFalse(self.decode(document).needs_keys)

    def test_invalid_configuration_is_an_error(self):
        for value in (b"", b"\xff", b"[]", b"{}", b'{"version": "7", "routes": []}'):
            with self.subTest(value=value), self.assertRaises(DocumentError):
                PlatformDocuments().decode_configuration(value)

    def test_targets(self):
        entry = {
            "service": "pool",
            "address": "10.1.1.1:80",
            "zone": "north-b",
            "version": "v1",
            "slots": 8,
            "state": "draining",
            "cold_remaining_ms": 1500,
            "sequence": 4,
            "born": 1_700_000_000_000,
        }
        record = PlatformDocuments().decode_target("t-1", json.dumps(entry).encode())
        self.assertEqual(record.state, TargetState.LEAVING)
        self.assertEqual((record.data_centre, record.slow_start_s), ("north-b", 1.5))
        self.assertEqual(record.started_ms, 1_700_000_000_000)


class HeadersTest(unittest.TestCase):
    def request(self, *headers, method=b"POST"):
        return Request(
            method=method,
            target=b"/x",
            headers=((b"Host", b"n"), *headers),
            body=b"",
            keep_alive=True,
            read_at_s=0.0,
        )

    def test_caller_headers_are_decoded(self):
        fields = PlatformHeaders().decode_request(
            self.request(
                (b"ATTEMPT-ID", b"a1"),
                (b"Deadline-Remaining-Ms", b"2500"),
                (b"Authorization", b"bearer  secret "),
                (b"Token-Counts", b"1460,80"),
                (b"Length-Hint", b"44"),
                (b"Last-Event-Id", b"12"),
            )
        )
        wanted = RequestFields(
            request_id="a1",
            host="n",
            remaining_s=2.5,
            key=b"secret",
            prompt_tokens=1460,
            max_output_tokens=80,
            output_estimate_tokens=44,
            last_event_id=b"12",
        )
        self.assertEqual(fields, wanted)

    def test_invalid_header_values_are_ignored(self):
        fields = PlatformHeaders().decode_request(
            self.request(
                (b"Deadline-Remaining-Ms", b"soon"),
                (b"Authorization", b"Basic abc"),
                (b"Token-Counts", b"many"),
                (b"Length-Hint", b"-3"),
            )
        )
        self.assertEqual(fields, RequestFields(request_id="", host="n"))

    def test_parts_of_a_prompt_are_decoded_or_none_of_them(self):
        def parts(value):
            return (
                PlatformHeaders()
                .decode_request(self.request((b"Prompt-Prefix", value)))
                .prompt_parts
            )

        self.assertEqual(
            parts(b"5c1e07a2:800, 91BD3F06:410,e4:250"), ("5c1e07a2", "91bd3f06", "e4")
        )
        for malformed in (b"", b",", b"5c:800,,e4:2", b"5c:800,:2", b"5c 91:3", b"\xff:1"):
            self.assertEqual(parts(malformed), (), malformed)

    def test_limit_of_a_target_is_a_plain_number(self):
        def limit(*values):
            headers = tuple((b"Server-Limit", value) for value in values)
            head = ResponseHead(status=200, headers=headers, has_length=True)
            return PlatformHeaders().decode_notice(head).rate_per_s

        self.assertEqual([limit(b"1.1"), limit(b" 20 "), limit(b"0")], [1.1, 20.0, 0.0])
        self.assertEqual(limit(), math.inf)
        for malformed in (b"", b"-1", b"nan", b"inf", b"1e3", b"1,5", b"1.", b"fast", b"1 2"):
            self.assertIsNone(limit(malformed), malformed)

    def test_request_headers_for_a_target(self):
        request = self.request((b"Authorization", b"Bearer k"), (b"Token-Counts", b"9,9"))
        fields = TargetFields(
            instance_id="t-1",
            remaining_s=1.5,
            workspace="reef",
            last_event_id=b"3",
            helpers=("10.0.0.1:80/w1", "10.0.0.2:80"),
        )
        lines = PlatformHeaders().encode_request(request, fields).split(b"\r\n")
        for line in (
            b"Deadline-Remaining-Ms: 1500",
            b"Expect-Instance: t-1",
            b"Tenant: reef",
            b"Last-Event-Id: 3",
            b"Helpers: 10.0.0.1:80/w1,10.0.0.2:80",
            b"Token-Counts: 9,9",
        ):
            self.assertIn(line, lines)
        self.assertFalse(any(line.startswith(b"Authorization") for line in lines))

    def test_response_headers_of_a_target(self):
        def head(status, *headers):
            return ResponseHead(status=status, headers=headers, has_length=True)

        codec = PlatformHeaders()
        self.assertTrue(codec.says_not_run(head(503, (b"Not-Executed", b"1"))))
        self.assertTrue(codec.says_not_run(head(421)))
        self.assertFalse(codec.says_not_run(head(503)))
        self.assertEqual(codec.blamed_address(head(503, (b"At-Server", b"1.2.3.4:5"))), "1.2.3.4:5")

    def test_response_is_tied_to_a_request_by_its_id_and_if_successful_its_signature(self):
        named, signed = (b"Attempt-Id", b"a"), (b"Server-Seal", b"s")
        other = (b"Attempt-Id", b"b")
        cases = {
            ResponseMatch.OWN: ((200, named, signed), (503, named), (421, named), (404, named)),
            ResponseMatch.OTHER: ((200, other, signed), (421, other)),
            ResponseMatch.UNMATCHED: ((200, named), (200, signed), (421,), (503, signed), (404,)),
        }
        matcher = PlatformHeaders().match_request("a")
        for expected, heads in cases.items():
            for status, *headers in heads:
                with self.subTest(expected, status=status, headers=headers):
                    head = ResponseHead(status=status, headers=tuple(headers), has_length=True)
                    self.assertIs(matcher.match(head, ExchangeHistory()), expected)

    def test_response_without_id_is_of_an_earlier_order_if_the_target_names_its_responses(self):
        head = ResponseHead(status=200, headers=(), has_length=True)
        matcher = PlatformHeaders().match_request("a")
        for names_responses, expected in (
            (False, ResponseMatch.UNMATCHED),
            (True, ResponseMatch.OTHER),
        ):
            history = ExchangeHistory(unnamed={"order"}, names_responses=names_responses)
            matcher.record(history)
            with self.subTest(expected):
                self.assertIs(matcher.match(head, history), expected)


class BoundaryTest(unittest.TestCase):
    def test_platform_names_appear_only_in_the_adapter(self):
        names = re.compile("|".join(map(re.escape, PLATFORM_NAMES)), re.IGNORECASE)
        for path in SOURCES.rglob("*.py"):
            if "platform" in path.parts or "_generated" in path.parts:
                continue
            with self.subTest(path.name):
                found = names.findall(path.read_text())
                self.assertEqual(found, [])

    def test_only_check_settings_imports_the_adapter(self):
        for path in SOURCES.rglob("*.py"):
            if "platform" not in path.parts and path.name != "_check.py":
                self.assertNotIn("from ..platform", path.read_text(), path.name)
