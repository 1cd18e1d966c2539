"""Stopping the RPC server of an entry."""

import unittest

from connectrpc.errors import ConnectError

from cicadatiller.rpc._generated.cicadatiller.v1 import serving_pb
from cicadatiller.rpc._generated.cicadatiller.v1.serving_connect import ServingServiceClientSync

from .support.fleet import WORKSPACE_KEY
from .support.served_fleet import ServedFleet

KEY = {"authorization": f"Bearer {WORKSPACE_KEY}"}


class StopTest(unittest.TestCase):
    def test_call_open_after_the_drain_timeout_fails_with_its_request_id(self):
        served = ServedFleet()
        served.start()
        self.addCleanup(served.stop)
        request = serving_pb.GenerateRequest(
            model="glacier", prompt="review", max_output_tokens=60_000, time_limit_ms=600_000
        )
        client = ServingServiceClientSync(f"http://{served.address}")
        stream = client.generate(request, headers=KEY)
        opened = next(stream).event.value
        served.server.stop(drain_timeout_s=0.05)
        with self.assertRaises(ConnectError) as caught:
            list(stream)
        failure = serving_pb.Failure.from_binary(caught.exception.details[0].message_bytes)
        self.assertEqual(failure.kind, "STOPPING")
        self.assertEqual(failure.run_state, serving_pb.RunState.OUTCOME_UNKNOWN)
        self.assertEqual(failure.request_id, opened.request_id)
