"""Compares the committed generated code with the schema, without generating it again."""

import re
import unittest
from unittest.mock import Mock

from cicadatiller.rpc._generated.cicadatiller.v1 import operators_pb, serving_pb
from cicadatiller.rpc._generated.cicadatiller.v1.operators_connect import (
    OperatorServiceWSGIApplication,
)
from cicadatiller.rpc._generated.cicadatiller.v1.serving_connect import (
    ServingServiceWSGIApplication,
)
from cicadatiller.rpc._operators import OperatorServicer
from cicadatiller.rpc._serving import ServingServicer

from .support.schema_text import statements_of_descriptor, statements_of_text

GENERATED = {"serving.proto": serving_pb, "operators.proto": operators_pb}
SERVED = {
    "serving.proto": (ServingServiceWSGIApplication, ServingServicer),
    "operators.proto": (OperatorServiceWSGIApplication, OperatorServicer),
}


class SchemaTest(unittest.TestCase):
    def test_descriptors_match_the_schema(self):
        for name, module in GENERATED.items():
            with self.subTest(name):
                wanted = statements_of_text(name)
                self.assertGreater(len(wanted), 50)
                self.assertEqual(statements_of_descriptor(module.desc().proto), wanted)

    def test_applications_serve_and_servicers_implement_every_rpc(self):
        for name, (application_type, servicer_type) in SERVED.items():
            application = application_type(Mock())
            (service,) = GENERATED[name].desc().proto.service
            wanted = {
                f"{application.path}/{rpc.name}": rpc.server_streaming for rpc in service.method
            }
            served = {
                path: type(endpoint).__name__ == "EndpointServerStreamSync"
                for path, endpoint in application._endpoints.items()
            }
            methods = {re.sub(r"(?<!^)([A-Z])", r"_\1", rpc.name).lower() for rpc in service.method}
            with self.subTest(name):
                self.assertEqual(served, wanted)
                self.assertLessEqual(methods, set(vars(servicer_type)))
