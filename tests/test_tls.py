"""TLS of callers, operators and peers, with certificates issued for the test."""

import contextlib
import socket
import tempfile
import unittest
from pathlib import Path

import urllib3

from cicadatiller.backing import HttpInstanceList, HttpLog, HttpWeightStore
from cicadatiller.channels import ChannelClosedError, open_transport
from cicadatiller.peer import PeerLostError, PeerTiming, dial_peer
from cicadatiller.settings import PeerTlsSettings
from cicadatiller.sidecar import Sidecar, SidecarOptions
from cicadatiller.standins import ServiceStandin

from .support.certificates import Authority
from .support.fleet import OPERATOR_KEY, WORKSPACE_KEY
from .support.served_fleet import ServedFleet

OPEN = "/cicadatiller.v1.ServingService/OpenRequest"
STATUS = "/cicadatiller.v1.OperatorService/Status"
TIMEOUT_S = 20.0
CLOSED_PORT_URL = "http://127.0.0.1:1"


class RpcTlsTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        directory = tempfile.TemporaryDirectory()
        cls.addClassCleanup(directory.cleanup)
        cls.authority = Authority(Path(directory.name))
        issued = cls.authority.issue("entry")
        cls.served = ServedFleet(
            tls_certificate_path=issued.certificate_path, tls_key_path=issued.key_path
        )
        cls.served.start()
        cls.addClassCleanup(cls.served.stop)

    def post(self, scheme, path, key, **options):
        with urllib3.PoolManager(retries=False, **options) as pool:
            return pool.request(
                "POST",
                f"{scheme}://{self.served.address}{path}",
                body=b'{"model":"glacier"}' if path == OPEN else b"{}",
                headers={"content-type": "application/json", "authorization": f"Bearer {key}"},
                timeout=TIMEOUT_S,
            )

    def test_callers_and_operators_are_served(self):
        for path, key in ((OPEN, WORKSPACE_KEY), (STATUS, OPERATOR_KEY)):
            with self.subTest(path):
                reply = self.post("https", path, key, ca_certs=self.authority.path)
                self.assertEqual(reply.status, 200)

    def test_certificate_is_verified_and_plain_http_is_not_served(self):
        with self.assertRaises(urllib3.exceptions.SSLError):
            self.post("https", OPEN, WORKSPACE_KEY)
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            self.assertNotEqual(self.post("http", OPEN, WORKSPACE_KEY).status, 200)
        reply = self.post("https", OPEN, WORKSPACE_KEY, ca_certs=self.authority.path)
        self.assertEqual(reply.status, 200)

    def test_client_that_sends_no_data_does_not_block_others(self):
        host, _, port = self.served.address.rpartition(":")
        with socket.create_connection((host, int(port))):
            reply = self.post("https", OPEN, WORKSPACE_KEY, ca_certs=self.authority.path)
            self.assertEqual(reply.status, 200)


class PeerTlsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)
        self.authority = Authority(self.directory)
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            self.address = f"127.0.0.1:{free.getsockname()[1]}"
        self.sidecar = Sidecar(
            options=SidecarOptions(
                name="service-0", address=self.address, deployment="north", peer_secret="s"
            ),
            transport=open_transport("websocket", self.tls(self.authority, "sidecar")),
            log=HttpLog(url=CLOSED_PORT_URL),
            instances=HttpInstanceList(url=CLOSED_PORT_URL),
            weights=HttpWeightStore(url=CLOSED_PORT_URL),
            service=ServiceStandin(),
        )
        await self.sidecar.start()
        self.addAsyncCleanup(self.sidecar.close)

    def tls(self, authority, name):
        issued = authority.issue(name)
        return PeerTlsSettings(
            certificate_path=issued.certificate_path,
            key_path=issued.key_path,
            authority_path=self.authority.path,
        )

    async def dial(self, tls):
        return await dial_peer(
            transport=open_transport("websocket", tls),
            address=self.address,
            name="entry-0",
            secret="s",
            timing=PeerTiming(handshake_s=TIMEOUT_S),
            on_load=lambda load: None,
            on_config=lambda records: None,
            config_offset=lambda: 0,
        )

    async def test_peer_with_a_certificate_is_served(self):
        connection = await self.dial(self.tls(self.authority, "entry"))
        self.assertEqual(connection.incarnation, self.sidecar.incarnation)
        await connection.close()

    async def test_peers_without_a_certificate_of_the_authority_are_rejected(self):
        other = Authority(self.directory, name="strangers")
        for name, tls in {"plain": None, "stranger": self.tls(other, "stranger")}.items():
            with self.subTest(name), self.assertRaises((PeerLostError, ChannelClosedError)):
                await self.dial(tls)
        await self.test_peer_with_a_certificate_is_served()
