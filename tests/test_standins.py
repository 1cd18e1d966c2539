"""Tests of stand-ins whose faults other tests rely on."""

import asyncio

from cicadatiller.backing import PlatformUnavailableError
from cicadatiller.standins import EngineModel, EngineStandin, LogStandin
from cicadatiller.targets import EngineOrder, ModelRef, StreamSpec

from .support.paused_loop import PausedCase

MODEL = ModelRef(model="glacier", version="v1")


class LogStandinTest(PausedCase):
    def test_waiting_read_fails_when_the_log_goes_down(self):
        async def scenario():
            log = LogStandin()
            loop = asyncio.get_running_loop()
            read = loop.create_task(log.read("s", 1, wait_s=60.0))
            await asyncio.sleep(1.0)
            log.down = True
            began_s = loop.time()
            with self.assertRaises(PlatformUnavailableError):
                await read
            return loop.time() - began_s

        self.assertLess(self.run_paused(scenario()), 1.0)


class EngineStandinTest(PausedCase):
    def test_restarted_engine_reports_its_new_state(self):
        async def scenario():
            engine = EngineStandin(address="10.0.0.1:9000", model=EngineModel(), peers={}.get)
            task = asyncio.get_running_loop().create_task(engine.run())
            await engine.order(EngineOrder(models=(MODEL,), role="mixed", fence=1))
            await asyncio.sleep(EngineModel().model_load_s + 1.0)
            prompt = "x" * 4000
            await engine.submit(
                StreamSpec(
                    stream_id="s",
                    model=MODEL,
                    prompt=prompt,
                    prompt_tokens=1000,
                    max_output_tokens=5000,
                    priority=0,
                )
            )
            await asyncio.sleep(2.0)
            before = await engine.load()
            engine.restart("second")
            after = await engine.load()
            task.cancel()
            return before.running_streams, after.running_streams

        self.assertEqual(self.run_paused(scenario()), (1, 0))
