"""The HTTP server of an entry, with callers that accept compressed responses."""

import struct
import unittest

import urllib3

from cicadatiller.rpc._generated.cicadatiller.v1 import serving_pb

from .support.fleet import WORKSPACE_KEY
from .support.served_fleet import ServedFleet

GENERATE = "/cicadatiller.v1.ServingService/Generate"
ENVELOPE = struct.Struct(">BI")
FLAG_COMPRESSED = 1
TOKENS = 20
served = ServedFleet()


def setUpModule():  # noqa: N802
    served.start()
    unittest.addModuleCleanup(served.stop)


def split_envelopes(data):
    while data:
        flags, size = ENVELOPE.unpack(data[: ENVELOPE.size])
        yield flags, data[ENVELOPE.size : ENVELOPE.size + size]
        data = data[ENVELOPE.size + size :]


class UncompressedResponseTest(unittest.TestCase):
    def test_no_message_of_a_stream_is_compressed_and_all_tokens_are_received(self):
        request = serving_pb.GenerateRequest(
            model="glacier",
            prompt="stock check",
            max_output_tokens=TOKENS,
            time_limit_ms=20_000,
        ).to_binary()
        headers = {
            "authorization": f"Bearer {WORKSPACE_KEY}",
            "content-type": "application/connect+proto",
            "connect-accept-encoding": "gzip",
            "accept-encoding": "gzip",
        }
        with urllib3.PoolManager(retries=False) as pool:
            response = pool.request(
                "POST",
                f"http://{served.address}{GENERATE}",
                body=ENVELOPE.pack(0, len(request)) + request,
                headers=headers,
                timeout=20,
            )
        envelopes = list(split_envelopes(response.data))
        self.assertFalse([flags for flags, _ in envelopes if flags & FLAG_COMPRESSED])
        events = [serving_pb.GenerateResponse.from_binary(m).event for _, m in envelopes[:-1]]
        texts = [text for e in events if e.field == "tokens" for text in e.value.texts]
        self.assertEqual(len(texts), TOKENS)


if __name__ == "__main__":
    unittest.main()
