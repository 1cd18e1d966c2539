"""Invalid input of callers and peers is refused as NOT_RUN without harm to the process."""

import json
import struct
import unittest

import cbor2
import urllib3
from connectrpc.errors import ConnectError

from cicadatiller.channels import decode, encode
from cicadatiller.config import hash_key
from cicadatiller.kernel import FailureError
from cicadatiller.peer import ConfigRecords, Failed, Hello, PeerLostError, PeerTiming, dial_peer
from cicadatiller.peer._proof import compute_proof
from cicadatiller.rpc._generated.cicadatiller.v1 import operators_pb, serving_pb
from cicadatiller.rpc._generated.cicadatiller.v1.operators_connect import OperatorServiceClientSync
from cicadatiller.rpc._generated.cicadatiller.v1.serving_connect import ServingServiceClientSync
from cicadatiller.standins import expected_answer

from .support.fleet import OPERATOR_KEY, SECRET, WORKSPACE_KEY
from .support.served_fleet import ServedFleet

GENERATE = "/cicadatiller.v1.ServingService/Generate"
CALL = "/cicadatiller.v1.ServingService/Call"
APPLY = "/cicadatiller.v1.OperatorService/Apply"
MAX_BODY_BYTES = 100_000
THREADS = 4
ENVELOPE = struct.Struct(">BI")
KEY = {"authorization": f"Bearer {WORKSPACE_KEY}"}


def failure_of(error: ConnectError) -> serving_pb.Failure:
    """Return the failure in the details of an RPC error."""
    return serving_pb.Failure.from_binary(error.details[0].message_bytes)


def generation(**changes) -> serving_pb.GenerateRequest:
    fields = {
        "model": "glacier",
        "prompt": "stock check",
        "max_output_tokens": 3,
        "time_limit_ms": 20_000,
    }
    return serving_pb.GenerateRequest(**(fields | changes))


served = ServedFleet(threads=THREADS, spare_threads=2, max_body_bytes=MAX_BODY_BYTES)


def setUpModule():  # noqa: N802
    served.start()
    unittest.addModuleCleanup(served.stop)


class ServedCase(unittest.TestCase):
    def setUp(self):
        self.url = f"http://{served.address}"
        self.client = ServingServiceClientSync(self.url)

    def tearDown(self):
        """Check that the process still serves requests and that no refused one ran."""
        before = served.fleet.executions("stock check")
        responses = list(self.client.generate(generation(), headers=KEY))
        texts = [t for r in responses if r.event.field == "tokens" for t in r.event.value.texts]
        self.assertEqual(tuple(texts), expected_answer("stock check", 3))
        self.assertEqual(served.fleet.executions("stock check"), before + 1)

    def assert_refused(self, error: ConnectError, kind: str) -> serving_pb.Failure:
        failure = failure_of(error)
        self.assertEqual(failure.kind, kind)
        self.assertEqual(failure.run_state, serving_pb.RunState.NOT_RUN)
        self.assertTrue(failure.message and failure.advice)
        return failure


class CallerRefusalTest(ServedCase):
    def generate_error(self, request, headers=KEY) -> ConnectError:
        with self.assertRaises(ConnectError) as caught:
            list(self.client.generate(request, headers=headers))
        return caught.exception

    def test_wrong_keys(self):
        for name, headers in {
            "none": {},
            "wrong": {"authorization": "Bearer nobody"},
            "operator": {"authorization": f"Bearer {OPERATOR_KEY}"},
        }.items():
            with self.subTest(name):
                self.assert_refused(self.generate_error(generation(), headers), "UNAUTHENTICATED")
        operators = OperatorServiceClientSync(self.url)
        with self.assertRaises(ConnectError) as caught:
            operators.status(operators_pb.StatusRequest(), headers=KEY)
        self.assert_refused(caught.exception, "UNAUTHENTICATED")

    def test_unknown_objects_and_impossible_values(self):
        cases = {
            "model": (generation(model="absent"), "UNKNOWN_MODEL"),
            "adapter": (generation(adapter="absent"), "UNKNOWN_MODEL"),
            "output": (generation(max_output_tokens=2**32 - 1), "INVALID_REQUEST"),
            "no time": (generation(time_limit_ms=0), "INVALID_REQUEST"),
            "too much time": (generation(time_limit_ms=2**32 - 1), "INVALID_REQUEST"),
            "damaged id": (generation(request_id="ct1.!!!"), "UNKNOWN_REQUEST"),
            "foreign id": (generation(request_id="abc"), "UNKNOWN_REQUEST"),
        }
        for name, (request, kind) in cases.items():
            with self.subTest(name):
                self.assert_refused(self.generate_error(request), kind)

    def test_request_id_of_another_workspace(self):
        opened = self.client.open_request(
            serving_pb.OpenRequestRequest(model="glacier"), headers=KEY
        )
        self._add_workspace("others", "other-key")
        other = {"authorization": "Bearer other-key"}
        request_id = opened.request_id
        error = self.generate_error(generation(request_id=request_id), other)
        self.assert_refused(error, "UNKNOWN_REQUEST")
        calls = {
            "attach": lambda: list(
                self.client.attach(
                    serving_pb.AttachRequest(request_id=request_id, time_limit_ms=5_000),
                    headers=other,
                )
            ),
            "cancel": lambda: self.client.cancel(
                serving_pb.CancelRequest(request_id=request_id), headers=other
            ),
            "get": lambda: self.client.get_request(
                serving_pb.GetRequestRequest(request_id=request_id), headers=other
            ),
        }
        for name, call in calls.items():
            with self.subTest(name), self.assertRaises(ConnectError) as caught:
                call()
            self.assert_refused(caught.exception, "UNKNOWN_REQUEST")

    def _add_workspace(self, name: str, key: str) -> None:
        body = json.dumps({"deployment": "north", "key_hashes": [hash_key(key)]})
        change = operators_pb.ObjectChange(kind="workspace", name=name, body_json=body)
        request = operators_pb.ApplyRequest(change_id=name, reason="test", changes=[change])
        headers = {"authorization": f"Bearer {OPERATOR_KEY}"}
        OperatorServiceClientSync(self.url).apply(request, headers=headers)


class RawRefusalTest(ServedCase):
    """Sends bodies that the generated client can't produce."""

    def post(self, path, body, content_type, **headers):
        headers = KEY | {"content-type": content_type} | headers
        with urllib3.PoolManager(retries=False) as pool:
            return pool.request("POST", self.url + path, body=body, headers=headers, timeout=20)

    def assert_unary_refused(self, response, kind):
        self.assertGreaterEqual(response.status, 400)
        self._assert_error(response.json(), kind)

    def assert_stream_refused(self, response, kind):
        self.assertEqual(response.status, 200)
        flags, length = ENVELOPE.unpack(response.data[: ENVELOPE.size])
        self.assertEqual((flags, length), (2, len(response.data) - ENVELOPE.size))
        self._assert_error(json.loads(response.data[ENVELOPE.size :])["error"], kind)

    def _assert_error(self, error, kind):
        self.assertIn(f"{kind} (NOT_RUN)", error["message"])
        (detail,) = error["details"]
        self.assertEqual(detail["type"], "cicadatiller.v1.Failure")
        self.assertEqual(detail["debug"]["runState"], "RUN_STATE_NOT_RUN")

    def test_malformed_unary_bodies(self):
        bodies = {
            "protobuf": (b"\xff\xff\xff\xff", "application/proto"),
            "json": (b"{", "application/json"),
            "negative length": (b'{"time_limit_ms":-5}', "application/json"),
            "wrong type": (b'{"service":7}', "application/json"),
        }
        for path in (CALL, APPLY):
            for name, (body, content_type) in bodies.items():
                if path == APPLY and name in ("negative length", "wrong type"):
                    continue
                with self.subTest(name, path=path):
                    response = self.post(path, body, content_type)
                    self.assert_unary_refused(response, "INVALID_REQUEST")

    def test_unknown_content_type_and_method(self):
        self.assert_unary_refused(self.post(CALL, b"x", "text/plain"), "INVALID_REQUEST")
        absent = CALL.replace("Call", "Absent")
        self.assert_unary_refused(self.post(absent, b"", "application/proto"), "INVALID_REQUEST")

    def test_malformed_stream_bodies(self):
        message = b'{"model":"glacier","maxOutputTokens":-1}'
        bodies = {
            "protobuf": (ENVELOPE.pack(0, 4) + b"\xff" * 4, "application/connect+proto"),
            "negative": (ENVELOPE.pack(0, len(message)) + message, "application/connect+json"),
            "huge length": (ENVELOPE.pack(0, 2**32 - 1) + b"x", "application/connect+proto"),
        }
        for name, (body, content_type) in bodies.items():
            with self.subTest(name):
                response = self.post(GENERATE, body, content_type)
                kind = "TOO_LARGE" if name == "huge length" else "INVALID_REQUEST"
                self.assert_stream_refused(response, kind)

    def test_oversized_bodies(self):
        body = b"x" * (MAX_BODY_BYTES + 100)
        for chunked in (False, True):
            sent = iter([body]) if chunked else body
            with self.subTest("unary", chunked=chunked):
                response = self.post(CALL, sent, "application/proto")
                self.assert_unary_refused(response, "TOO_LARGE")
            framed = ENVELOPE.pack(0, len(body)) + body
            sent = iter([framed]) if chunked else framed
            with self.subTest("stream", chunked=chunked):
                response = self.post(GENERATE, sent, "application/connect+proto")
                self.assert_stream_refused(response, "TOO_LARGE")


class OverloadTest(ServedCase):
    def test_request_beyond_the_admission_limit_is_refused_at_once(self):
        long = generation(prompt="long", max_output_tokens=20_000, time_limit_ms=600_000)
        streams = [self.client.generate(long, headers=KEY) for _ in range(THREADS)]
        ids = [next(stream).event.value.request_id for stream in streams]
        with self.assertRaises(ConnectError) as caught:
            list(self.client.generate(generation(), headers=KEY))
        failure = self.assert_refused(caught.exception, "OVERLOADED")
        self.assertGreater(failure.retry_after_ms, 0)
        request = serving_pb.CallRequest(service="dispatch", method="echo", time_limit_ms=1_000)
        with self.assertRaises(ConnectError) as caught:
            self.client.call(request, headers=KEY)
        self.assert_refused(caught.exception, "OVERLOADED")
        with urllib3.PoolManager() as pool:
            self.assertEqual(pool.request("GET", f"{self.url}/health").status, 200)
        for stream, request_id in zip(streams, ids, strict=True):
            cancel = serving_pb.CancelRequest(request_id=request_id)
            self.client.cancel(cancel, headers=KEY)
            with self.assertRaises(ConnectError) as caught:
                list(stream)
            self.assertEqual(failure_of(caught.exception).kind, "CANCELLED")


class PeerRefusalTest(ServedCase):
    """A sidecar refuses malformed frames and wrong secrets."""

    def exchange(self, frame, *, authenticated=True):
        """Send a frame to the engine's sidecar and return its reply."""
        return served.run(self._exchange(frame, authenticated))

    async def _exchange(self, frame, authenticated):
        address = next(iter(served.fleet.sidecars.values())).ledger.address
        channel = await served.fleet.network.bind("stranger").dial(address)
        challenge = decode(await channel.receive())
        if authenticated:
            proof = compute_proof(SECRET, challenge.nonce)
            hello = Hello(name="stranger", proof=proof, nonce=b"n" * 16, config_offset=0)
            await channel.send(encode(hello))
            await channel.receive()
        await channel.send(frame)
        reply = decode(await channel.receive())
        while isinstance(reply, ConfigRecords):
            reply = decode(await channel.receive())
        await channel.close()
        return reply

    def test_malformed_frames(self):
        submit = {
            "call": 1,
            "attempt": 1,
            "request_id": "",
            "workspace": "depots",
            "deployment": "north",
            "budget_s": 5.0,
            "repeatable": True,
            "generate": {
                "model": "glacier",
                "version": "v1",
                "adapter": "",
                "prompt": "stock check",
                "prompt_tokens": -5,
                "max_output_tokens": 3,
            },
        }
        frames = {
            "not CBOR": b"\xff\x00garbage",
            "not a frame": cbor2.dumps({"a": 1}),
            "deep": b"\x81" * 5_000,
            "other version": cbor2.dumps([99, "ping", {}]),
            "unknown kind": cbor2.dumps([1, "explode", {}]),
            "damaged body": cbor2.dumps([1, "open", {"call": "x"}]),
            "negative length": cbor2.dumps([1, "submit", submit]),
        }
        for authenticated in (True, False):
            for name, frame in frames.items():
                with self.subTest(name, authenticated=authenticated):
                    reply = self.exchange(frame, authenticated=authenticated)
                    self.assertIsInstance(reply, Failed)
                    self.assertEqual(reply.failure.kind, "PEER_PROTOCOL")
                    self.assertEqual(reply.failure.run_state, "NOT_RUN")

    def test_wrong_secret(self):
        async def dial():
            fleet = served.fleet
            return await dial_peer(
                transport=fleet.network.bind("stranger"),
                address=next(iter(fleet.sidecars.values())).ledger.address,
                name="stranger",
                secret="wrong",
                timing=PeerTiming(),
                on_load=lambda load: None,
                on_config=lambda records: None,
                config_offset=lambda: 0,
            )

        with self.assertRaises((PeerLostError, FailureError)):
            served.run(dial())
