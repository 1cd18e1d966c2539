"""Requests of a sidecar for the load of another one."""

import asyncio
import functools

from cicadatiller.peer import LoadReport, PeerTiming
from cicadatiller.sidecar._peers import ASK_TIMEOUT_S, IDLE_CLOSE_S, SidecarPeers
from cicadatiller.standins import MemoryNetwork

from .support.paused_loop import PausedCase

ADDRESS = "10.0.0.2:9100"


class SilentConnection:
    """A connection whose peer is asked, and answers only when the test says so."""

    def __init__(self):
        self.asked = 0

    async def send(self, message):
        self.asked += 1

    async def close(self):
        pass


class PeersWithoutNetwork(SidecarPeers):
    """Uses one connection that needs no dial."""

    def __init__(self):
        super().__init__(
            name="a",
            address="10.0.0.1:9100",
            deployment="north",
            secret="s",
            transport=MemoryNetwork().bind("a"),
            timing=PeerTiming(),
            store=FakeStore(),
        )
        self.connection = SilentConnection()

    async def get(self, address):
        return self.connection


class FakeStore:
    class state:  # noqa: N801
        offset = 1


class LoadRequestTest(PausedCase):
    def test_concurrent_requests_for_one_sidecar_get_the_same_reply(self):
        async def scenario():
            peers = PeersWithoutNetwork()
            loop = asyncio.get_running_loop()
            first = loop.create_task(peers.load(ADDRESS))
            await asyncio.sleep(0.5)
            second = loop.create_task(peers.load(ADDRESS))
            await asyncio.sleep(0.5)
            peers._record_load(ADDRESS, LoadReport(sequence=7))
            began_s = loop.time()
            loads = [await first, await second]
            return [load.sequence for load in loads], loop.time() - began_s

        loads, taken_s = self.run_paused(scenario())
        self.assertEqual(loads, [7, 7])
        self.assertLess(taken_s, 0.1)

    def test_sidecar_that_does_not_reply_has_no_load(self):
        async def scenario():
            peers = PeersWithoutNetwork()
            began_s = asyncio.get_running_loop().time()
            load = await peers.load(ADDRESS)
            return load, asyncio.get_running_loop().time() - began_s

        load, taken_s = self.run_paused(scenario())
        self.assertIsNone(load)
        self.assertAlmostEqual(taken_s, ASK_TIMEOUT_S)

    def test_sidecars_that_are_not_used_any_more_are_forgotten(self):
        async def scenario():
            peers = PeersWithoutNetwork()
            peers.get = functools.partial(SidecarPeers.get, peers)
            for number in range(5):
                await peers.load(f"10.0.0.{number}:9100")
            await asyncio.sleep(IDLE_CLOSE_S + 1)
            await peers.close_idle()
            return {
                name: len(value) for name, value in vars(peers).items() if hasattr(value, "keys")
            }

        self.assertEqual(set(self.run_paused(scenario()).values()), {0})
