"""The HTTP clients of the platform and of targets, against the HTTP servers of the stand-ins."""

import asyncio
import unittest

from cicadatiller.backing import (
    HttpInstanceList,
    HttpLog,
    HttpWeightStore,
    Instance,
    InstanceKind,
    OffsetTrimmedError,
    PlatformUnavailableError,
)
from cicadatiller.http_client import HttpClient, HttpUnreachableError
from cicadatiller.kernel import HttpTimeouts
from cicadatiller.standins import (
    EngineModel,
    EngineStandin,
    InstanceListStandin,
    LogStandin,
    ServiceStandin,
    WeightStoreStandin,
    expected_answer,
)
from cicadatiller.standins._platform_routes import instance_routes, log_routes, weight_routes
from cicadatiller.standins._target_routes import service_routes
from cicadatiller.targets import (
    EngineOrder,
    HttpEngine,
    HttpService,
    ModelRef,
    ServiceCall,
    StreamSpec,
    TargetRefusedError,
    TargetUnreachableError,
)

from .support.standin_servers import serve_engine, serve_routes

MODEL = ModelRef(model="glacier", version="v1")
FAST_ENGINE = EngineModel(
    step_base_s=0.001, load_lag_s=0.0, cache_event_lag_s=0.0, model_load_s=0.0
)
CLOSED_PORT_URL = "http://127.0.0.1:1"
SHORT_TIMEOUTS = HttpTimeouts(connect_s=0.5, read_s=0.2)


def stream(stream_id: str = "s", *, prompt: str = "stock", tokens: int = 5, **changes):
    fields = {
        "stream_id": stream_id,
        "model": MODEL,
        "prompt": prompt,
        "prompt_tokens": 4,
        "max_output_tokens": tokens,
    }
    return StreamSpec(**(fields | changes))


def instance_row(number: int) -> Instance:
    return Instance(
        name=f"engine-{number}",
        kind=InstanceKind.ENGINE,
        data_centre="hall-a",
        deployment="north",
        address=f"127.0.0.1:{9 + number}",
    )


class PlatformClientTest(unittest.IsolatedAsyncioTestCase):
    async def test_log_preserves_offsets_and_payloads(self):
        async with serve_routes(log_routes(LogStandin())) as url:
            log = HttpLog(url=url)
            self.assertEqual(
                [await log.append("a", b"\x00one"), await log.append("a", b"two")], [1, 2]
            )
            page = await log.read("a", 1)
            self.assertEqual([r.payload for r in page.records], [b"\x00one", b"two"])
            self.assertEqual((page.next_offset, page.end_offset), (3, 3))
            await log.close()

    async def test_waiting_read_returns_with_the_next_record(self):
        async with serve_routes(log_routes(LogStandin())) as url:
            log = HttpLog(url=url)
            read_task = asyncio.create_task(log.read("a", 1, wait_s=30.0))
            await log.append("a", b"one")
            self.assertEqual([r.payload for r in (await read_task).records], [b"one"])
            await log.close()

    async def test_close_aborts_a_waiting_read(self):
        async with serve_routes(log_routes(LogStandin())) as url:
            log = HttpLog(url=url)
            await log.append("b", b"one")
            read_task = asyncio.create_task(log.read("a", 1, wait_s=600.0))
            await log.append("b", b"two")
            await asyncio.sleep(0.05)
            await log.close()
            with self.assertRaises(PlatformUnavailableError):
                await read_task

    async def test_trimmed_offset_is_reported(self):
        standin = LogStandin()
        async with serve_routes(log_routes(standin)) as url:
            log = HttpLog(url=url)
            await log.append("a", b"one")
            standin.trim("a", 2)
            with self.assertRaises(OffsetTrimmedError) as caught:
                await log.read("a", 1)
            self.assertEqual(caught.exception.first_offset, 2)
            await log.close()

    async def test_append_takes_effect_although_its_response_is_lost(self):
        standin = LogStandin()
        standin.lose_replies = 1
        async with serve_routes(log_routes(standin)) as url:
            log = HttpLog(url=url)
            with self.assertRaises(PlatformUnavailableError):
                await log.append("a", b"one")
            self.assertEqual(standin.appends, 1)
            await log.close()

    async def test_outage_timeout_and_refused_connection_raise_unavailable(self):
        standin = LogStandin()
        async with serve_routes(log_routes(standin)) as url:
            slow_log = HttpLog(url=url, timeouts=SHORT_TIMEOUTS)
            standin.delay_s = 2.0
            with self.assertRaises(PlatformUnavailableError):
                await slow_log.append("a", b"one")
            standin.delay_s = 0.0
            standin.down = True
            for client in (slow_log, HttpLog(url=CLOSED_PORT_URL)):
                with self.assertRaises(PlatformUnavailableError):
                    await client.read("a", 1)
                await client.close()

    async def test_instance_list_is_sent_again_only_when_it_changed(self):
        instances = InstanceListStandin()
        rows = [instance_row(number) for number in range(100)]
        for row in rows:
            instances.put(row)
        async with serve_routes(instance_routes(instances)) as url:
            http_client = HttpClient(url=url, timeouts=HttpTimeouts(), threads=1)
            first = await http_client.post("/list", b"{}")
            again = await http_client.post("/list", b"{}", known_etag=first.etag)
            self.assertEqual((first.status, again.status, again.body), (200, 304, b""))
            client = HttpInstanceList(url=url)
            for _ in range(2):
                self.assertEqual(await client.list_instances(), tuple(rows))
            instances.remove("engine-7")
            self.assertEqual(len(await client.list_instances()), 99)
            changed = await http_client.post("/list", b"{}", known_etag=first.etag)
            self.assertEqual(changed.status, 200)
            await http_client.close()
            await client.close()

    async def test_instance_list_and_weight_store(self):
        instances = InstanceListStandin()
        row = instance_row(0)
        instances.put(row)
        async with serve_routes(instance_routes(instances)) as url:
            client = HttpInstanceList(url=url)
            self.assertEqual(await client.list_instances(), (row,))
            instances.down = True
            with self.assertRaises(PlatformUnavailableError):
                await client.list_instances()
            await client.close()
        async with serve_routes(weight_routes(WeightStoreStandin(interval_s=60.0))) as url:
            weights = HttpWeightStore(url=url)
            self.assertEqual(await weights.acquire("glacier", "v1"), 0.0)
            self.assertGreater(await weights.acquire("glacier", "v1"), 0.0)
            await weights.close()


class EngineClientTest(unittest.IsolatedAsyncioTestCase):
    async def test_outputs_yields_the_complete_output_of_a_stream(self):
        engine = EngineStandin(address="127.0.0.1:9", model=FAST_ENGINE, loaded=(MODEL,))
        async with serve_engine(engine) as url:
            client = HttpEngine(url=url)
            outputs = client.outputs()
            self.assertEqual(await anext(outputs), ())
            await client.submit(stream())
            await client.submit(stream())
            texts = []
            async for batch in outputs:
                texts.extend(batch[0].texts)
                if batch[0].finished:
                    break
            await outputs.aclose()
            self.assertEqual(tuple(texts), expected_answer("stock", 5))
            self.assertEqual(engine.executions["stock"], 1)
            resumed = await client.resume("s", 3)
            self.assertEqual(resumed.texts, expected_answer("stock", 5)[3:])
            await client.close()

    async def test_outputs_starts_with_the_position_of_each_stream(self):
        engine = EngineStandin(address="127.0.0.1:9", model=FAST_ENGINE, loaded=(MODEL,))
        async with serve_engine(engine) as url:
            client = HttpEngine(url=url)
            await client.submit(stream())
            while not (await client.list_streams())[0].finished:
                await asyncio.sleep(0.01)
            outputs = client.outputs()
            (output,) = await anext(outputs)
            await outputs.aclose()
            self.assertEqual((output.first_index, output.finished), (5, True))
            await client.close()

    async def test_every_other_method(self):
        engine = EngineStandin(address="127.0.0.1:9", model=FAST_ENGINE, loaded=())
        async with serve_engine(engine) as url:
            client = HttpEngine(url=url)
            await client.order(EngineOrder(models=(MODEL,), role="prefill", fence=7))
            info = await client.describe()
            self.assertEqual((info.loaded, info.role, info.fence), ((MODEL,), "prefill", 7))
            self.assertEqual((await client.load()).running_streams, 0)
            await client.submit(stream("e", export_id="x", lease_s=60.0))
            while not await client.list_exports():
                await asyncio.sleep(0.01)
            await client.renew_export("x", 90.0)
            (export,) = await client.list_exports()
            self.assertGreater(export.lease_left_s, 60.0)
            self.assertEqual(
                [await client.release_export("x"), await client.release_export("x")], [True, False]
            )
            self.assertEqual([await client.cancel("e"), await client.cancel("e")], [True, False])
            self.assertEqual((await client.cache_events(1)).events, ())
            await client.close()

    async def test_refusals_have_a_reason(self):
        engine = EngineStandin(address="127.0.0.1:9", model=FAST_ENGINE, loaded=(MODEL,))
        async with serve_engine(engine) as url:
            client = HttpEngine(url=url)
            await client.order(EngineOrder(models=(MODEL,), role="mixed", fence=7))
            stale = EngineOrder(models=(MODEL,), role="mixed", fence=6)
            cases = {
                "unknown-model": client.submit(stream(model=ModelRef(model="absent"))),
                "memory": client.submit(stream(prompt_tokens=10**9)),
                "unknown-stream": client.resume("absent", 0),
                "unknown-export": client.renew_export("absent", 1.0),
                "stale-fence": client.order(stale),
            }
            for reason, call in cases.items():
                with self.subTest(reason), self.assertRaises(TargetRefusedError) as caught:
                    await call
                self.assertEqual(caught.exception.reason, reason)
            await client.close()

    async def test_outputs_and_calls_fail_after_a_crash(self):
        engine = EngineStandin(address="127.0.0.1:9", model=FAST_ENGINE, loaded=(MODEL,))
        async with serve_engine(engine) as url:
            client = HttpEngine(url=url)
            outputs = client.outputs()
            await anext(outputs)
            engine.crash()
            with self.assertRaises(TargetUnreachableError):
                await anext(outputs)
            with self.assertRaises(TargetUnreachableError):
                await client.describe()
            await client.close()


class ServiceClientTest(unittest.IsolatedAsyncioTestCase):
    async def test_call_and_its_failures(self):
        standin = ServiceStandin()
        async with serve_routes(service_routes(standin)) as url:
            client = HttpService(url=url)
            call = ServiceCall(call_id="c", method="echo", payload=b"\xffpallets", timeout_s=5.0)
            self.assertEqual(await client.call(call), b"\xffpallets")
            self.assertEqual(await client.describe(), standin.epoch)
            standin.lose_replies = 1
            with self.assertRaises(TargetUnreachableError):
                await client.call(call)
            self.assertEqual(standin.executions[b"\xffpallets"], 2)
            invalid_call = ServiceCall(
                call_id="c", method="../faults", payload=b"{}", timeout_s=5.0
            )
            with self.assertRaises(TargetRefusedError):
                await client.call(invalid_call)
            await client.close()

    async def test_call_that_could_not_be_sent_is_refused(self):
        client = HttpService(url=CLOSED_PORT_URL)
        call = ServiceCall(call_id="c", method="echo", payload=b"", timeout_s=5.0)
        with self.assertRaises(TargetRefusedError) as caught:
            await client.call(call)
        self.assertEqual(caught.exception.reason, "unreachable")
        await client.close()


class LinesTest(unittest.IsolatedAsyncioTestCase):
    async def test_end_of_response_raises_however_early_it_is_closed(self):
        async def feed(emit):
            emit(b"one\ntwo\n")

        async with serve_routes({}, {"/feed": feed}) as url:
            http_client = HttpClient(url=url, timeouts=HttpTimeouts(), threads=1)
            for _ in range(50):
                found = []
                with self.assertRaises(HttpUnreachableError):
                    async for line in http_client.lines("/feed"):
                        found.append(line)
                self.assertEqual(found, [b"one", b"two"])
            await http_client.close()

    async def test_unknown_path_raises(self):
        async with serve_routes({}) as url:
            http_client = HttpClient(url=url, timeouts=HttpTimeouts(), threads=1)
            with self.assertRaises(HttpUnreachableError):
                async for _ in http_client.lines("/absent"):
                    self.fail("an unknown path must not yield lines")
            await http_client.close()
