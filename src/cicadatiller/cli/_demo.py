"""The program `cicadatiller-demo`: all components in one process, with stand-in targets."""

import asyncio
import json
import os
import sys
import threading
import time
from collections.abc import Callable, Iterable

from connectrpc.code import Code
from connectrpc.errors import ConnectError

from ..backing import Instance, InstanceKind
from ..config import hash_key
from ..entry import Entry, EntryOptions
from ..kernel import LoopBridge, TaskSet
from ..rpc import RpcServer
from ..rpc._generated.cicadatiller.v1 import operators_pb, serving_pb
from ..rpc._generated.cicadatiller.v1.operators_connect import OperatorServiceClientSync
from ..rpc._generated.cicadatiller.v1.serving_connect import ServingServiceClientSync
from ..settings import HttpOptions
from ..sidecar import Sidecar, SidecarOptions
from ..standins import (
    EngineModel,
    EngineStandin,
    InstanceListStandin,
    LogStandin,
    MemoryNetwork,
    ServiceStandin,
    WeightStoreStandin,
    expected_answer,
)

PEER_SECRET = "demo-peer-secret"
OPERATOR_KEY = "demo-operator-key"
WORKSPACE_KEY = "demo-workspace-key"
DATA_CENTRES = ("heredia-hall", "cartago-hall")
ENGINES = 4
ENGINE_KV_TOKENS = 120_000
BASE_PORT = 18_440
CRASHING_PROMPT = "a prompt that crashes engines"
CRASH_RESTART_S = 0.5
MAX_CRASHES = 3
READY_TIMEOUT_S = 10.0
RETRY_DELAY_S = 0.5
# Faster engines than those of the bench, so that the demo ends within seconds.
ENGINE_MODEL = EngineModel(
    kv_capacity_tokens=ENGINE_KV_TOKENS, step_base_s=0.004, prefill_token_s=1 / 200_000
)


class DemoFleet:
    """Runs stand-ins, entries and sidecars as tasks of one event loop."""

    def __init__(self) -> None:
        self.network = MemoryNetwork(latency_s=0.0005)
        self.log = LogStandin()
        self.instances = InstanceListStandin()
        self.weights = WeightStoreStandin()
        self.dispatch = ServiceStandin()
        self.engines: dict[str, EngineStandin] = {}
        self.sidecars: list[Sidecar] = []
        self.entries: list[Entry] = []
        self.servers: list[RpcServer] = []
        self._tasks = TaskSet()

    async def start(self) -> None:
        """Start all components."""
        for number in range(ENGINES):
            await self._start_engine(number)
        await self._start_service()
        for number, data_centre in enumerate(DATA_CENTRES):
            await self._start_entry(number, data_centre)

    async def stop(self) -> None:
        """Stop all components."""
        for server in self.servers:
            await asyncio.to_thread(server.stop)
        for entry in self.entries:
            await entry.close()
        for sidecar in self.sidecars:
            await sidecar.close()
        await self._tasks.close()

    async def _start_engine(self, number: int) -> None:
        address = f"10.0.0.{number + 1}:9000"
        engine = EngineStandin(address=address, model=ENGINE_MODEL, peers=self.engines.get)
        engine.crash_texts = (CRASHING_PROMPT,)
        engine.crash_restart_s = CRASH_RESTART_S
        self.engines[address] = engine
        self._tasks.keep_running(engine.run, name=f"engine {number}")
        await self._start_sidecar(f"engine-{number}", InstanceKind.ENGINE, number, engine=engine)

    async def _start_service(self) -> None:
        await self._start_sidecar(
            "dispatch-0", InstanceKind.SERVICE, ENGINES, service=self.dispatch
        )

    async def _start_sidecar(
        self,
        name: str,
        kind: InstanceKind,
        number: int,
        *,
        engine: EngineStandin | None = None,
        service: ServiceStandin | None = None,
    ) -> None:
        address = f"10.0.1.{number + 1}:9100"
        sidecar = Sidecar(
            options=SidecarOptions(
                name=name, address=address, deployment="heladera", peer_secret=PEER_SECRET
            ),
            transport=self.network.bind(address),
            log=self.log,
            instances=self.instances,
            weights=self.weights,
            engine=engine,
            service=service,
        )
        await sidecar.start()
        self.sidecars.append(sidecar)
        self.instances.put(
            Instance(
                name=name,
                kind=kind,
                data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
                deployment="heladera",
                address=address,
                service="dispatch" if service else "",
            )
        )

    async def _start_entry(self, number: int, data_centre: str) -> None:
        name = f"entry-{number}"
        options = EntryOptions(
            name=name,
            data_centre=data_centre,
            peer_secret=PEER_SECRET,
            bootstrap_key_hash=hash_key(OPERATOR_KEY),
            seed=number,
        )
        entry = Entry(
            options=options,
            transport=self.network.bind(name),
            log=self.log,
            instances=self.instances,
        )
        await entry.start()
        server = RpcServer(
            options=HttpOptions(address=f"127.0.0.1:{BASE_PORT + number}", threads=16),
            entry=entry,
            bridge=LoopBridge(asyncio.get_running_loop()),
            entry_name=name,
        )
        server.start()
        threading.Thread(target=server.serve, daemon=True, name=name).start()
        self.entries.append(entry)
        self.servers.append(server)
        self.instances.put(
            Instance(
                name=name,
                kind=InstanceKind.ENTRY,
                data_centre=data_centre,
                deployment="",
                address=f"127.0.0.1:{BASE_PORT + number}",
            )
        )


class DemoCaller:
    """Makes the calls of an operator and of callers, outside of the event loop's thread."""

    def __init__(
        self,
        *,
        dispatch: ServiceStandin,
        engines: Iterable[EngineStandin],
        print_line: Callable[[str], None],
    ) -> None:
        self._dispatch = dispatch
        self._engines = tuple(engines)
        self._print_line = print_line
        self._headers = {"authorization": f"Bearer {WORKSPACE_KEY}"}
        self._clients = [
            ServingServiceClientSync(f"http://127.0.0.1:{BASE_PORT + number}")
            for number in range(len(DATA_CENTRES))
        ]

    def run(self) -> bool:
        """Make all calls; return whether every response was correct."""
        self._publish()
        self._wait_until_ready()
        results = [
            self._generate("a stock check", 1_000, 24),
            self._generate("a contract audit larger than one engine's memory", 200_000, 16),
            self._confirm_order_twice(),
            self._repeat_crashing_prompt(),
            self._generate("a stock check after the crashes", 1_000, 24),
        ]
        return all(results)

    def _publish(self) -> None:
        client = OperatorServiceClientSync(f"http://127.0.0.1:{BASE_PORT}")
        bodies = {
            ("deployment", "heladera"): {},
            ("model", "glacier"): {"deployment": "heladera", "version": "v1"},
            ("service", "dispatch"): {"deployment": "heladera"},
            ("workspace", "depots"): {
                "deployment": "heladera",
                "key_hashes": [hash_key(WORKSPACE_KEY)],
            },
        }
        changes = [
            operators_pb.ObjectChange(kind=kind, name=name, body_json=json.dumps(body))
            for (kind, name), body in bodies.items()
        ]
        request = operators_pb.ApplyRequest(
            change_id=f"demo-{os.getpid()}", reason="set up the demo", changes=changes
        )
        reply = client.apply(request, headers={"authorization": f"Bearer {OPERATOR_KEY}"})
        self._print_line(
            f"The operator published a deployment: {reply.message}, offset {reply.offset}."
        )

    def _wait_until_ready(self) -> None:
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        for client in self._clients:
            while time.monotonic() < deadline_s:
                try:
                    request = serving_pb.OpenRequestRequest(model="glacier")
                    client.open_request(request, headers=self._headers)
                    break
                except ConnectError:
                    time.sleep(0.05)

    def _generate(self, title: str, prompt_tokens: int, output_tokens: int) -> bool:
        prompt = f"{title}: ".ljust(prompt_tokens * 4, "x")
        request = serving_pb.GenerateRequest(
            model="glacier",
            prompt=prompt,
            max_output_tokens=output_tokens,
            time_limit_ms=20_000,
        )
        try:
            first_s, texts = self._read_tokens(request)
        except ConnectError as error:
            self._print_line(f"{title} ({prompt_tokens} tokens) failed: {error}")
            return False
        whole = tuple(texts) == expected_answer(prompt, output_tokens)
        self._print_line(
            f"{title} ({prompt_tokens} tokens): {len(texts)} tokens, the first after "
            f"{first_s * 1000:.0f} ms; {'complete and correct' if whole else 'INCORRECT'}."
        )
        return whole

    def _read_tokens(self, request: serving_pb.GenerateRequest) -> tuple[float, list[str]]:
        """Return the time to the first token and all tokens; retries refusals that allow it."""
        started_s = time.monotonic()
        first_s = 0.0
        texts: list[str] = []
        while True:
            try:
                for response in self._clients[0].generate(request, headers=self._headers):
                    if response.event is not None and response.event.field == "tokens":
                        first_s = first_s or time.monotonic() - started_s
                        texts.extend(response.event.value.texts)
                return first_s, texts
            except ConnectError as error:
                is_late = time.monotonic() - started_s > READY_TIMEOUT_S
                if error.code is not Code.UNAVAILABLE or texts or is_late:
                    raise
                time.sleep(RETRY_DELAY_S)

    def _repeat_crashing_prompt(self) -> bool:
        """Send a prompt that crashes engines through both entries, under one idempotency key."""
        request = serving_pb.GenerateRequest(
            model="glacier",
            prompt=CRASHING_PROMPT,
            max_output_tokens=8,
            time_limit_ms=20_000,
            idempotency_key=f"{time.time_ns() // 1_000_000}-demo",
        )
        answers = sum(self._is_answered(client, request) for client in self._clients)
        crashes = sum(len(engine.crashed_s) for engine in self._engines)
        self._print_line(
            f"{CRASHING_PROMPT}, sent through both entries: {answers} responses, it ended "
            f"{crashes} engines and is refused from now on."
        )
        return not answers and crashes <= MAX_CRASHES

    def _is_answered(
        self, client: ServingServiceClientSync, request: serving_pb.GenerateRequest
    ) -> bool:
        try:
            for _ in client.generate(request, headers=self._headers):
                pass
        except ConnectError:
            return False
        return True

    def _confirm_order_twice(self) -> bool:
        opened = self._clients[0].open_request(
            serving_pb.OpenRequestRequest(service="dispatch"), headers=self._headers
        )
        payload = b"two pallets of popsicles for pulperia La Amistad"
        request = serving_pb.CallRequest(
            service="dispatch",
            method="echo",
            payload=payload,
            time_limit_ms=5_000,
            request_id=opened.request_id,
            not_repeatable=True,
        )
        replies = [client.call(request, headers=self._headers) for client in self._clients]
        executions = self._dispatch.executions[payload]
        self._print_line(
            f"an order confirmation, sent through both entries with the same request id: "
            f"{len(replies)} responses, executed {executions} time(s)."
        )
        return executions == 1 and all(reply.payload == payload for reply in replies)


async def run_demo() -> bool:
    """Run the demo; return whether every response was correct and the call was executed once."""
    fleet = DemoFleet()
    await fleet.start()
    try:
        caller = DemoCaller(
            dispatch=fleet.dispatch,
            engines=fleet.engines.values(),
            print_line=lambda line: print(line, flush=True),
        )
        return await asyncio.to_thread(caller.run)
    finally:
        await fleet.stop()


def demo_main() -> None:
    """Run `cicadatiller-demo`."""
    sys.exit(0 if asyncio.run(run_demo()) else 1)
