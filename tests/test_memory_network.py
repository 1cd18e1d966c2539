"""`MemoryNetwork` delivers the frames of a channel in send order, as TCP does.

Timers due at the same time run in no defined order, so frames sent together could be reordered.
"""

import asyncio

from cicadatiller.standins import MemoryNetwork

from .support import PausedCase


class MemoryNetworkTest(PausedCase):
    def test_frames_sent_at_one_instant_arrive_in_order(self):
        async def scenario():
            network = MemoryNetwork(latency_s=0.001)
            received = []

            async def handler(channel):
                while len(received) < 200:
                    received.append(await channel.receive())

            await network.listen("10.0.0.1:1", handler)
            channel = await network.dial("10.0.0.1:1")
            sent = [str(number).encode() for number in range(200)]
            for frame in sent:
                await channel.send(frame)
            await asyncio.sleep(1)
            self.assertEqual(received, sent)

        self.run_paused(scenario())
