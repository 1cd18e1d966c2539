"""The fleet of the chaos bench: its processes can be killed, paused, stopped and replaced."""

import asyncio
import json
import shutil
import signal
import urllib.request
from collections import Counter
from dataclasses import replace
from pathlib import Path
from typing import Any

from bench import fleet
from bench.chaos_transport import FIRST, PORT_OFFSETS, SECOND
from bench.soak.relay import Relay

ENTRIES = 2
ENGINES = 4
SERVICES = 1
ENGINE_MODEL = {"kv_capacity_tokens": 100_000, "step_base_s": 0.02, "model_load_s": 0.2}
ENTRY_OPTIONS = {"drain_timeout_s": 3.0, "balancer_delay_s": 1.0}
SIDECAR_OPTIONS = {"transport": FIRST, "linger_s": 2.0, "drain_timeout_s": 5.0}
STOP_TIMEOUT_S = 40.0
HTTP_TIMEOUT_S = 10.0


def make_layout(first_port: int) -> fleet.Layout:
    """Return the layout; sidecars also use the ports at `PORT_OFFSETS` above the listed ones."""
    return fleet.plan(
        entries=ENTRIES,
        engines=ENGINES,
        services=SERVICES,
        data_centres=("hall-a", "hall-b"),
        first_port=first_port,
        engine_model=ENGINE_MODEL,
        entry_options=ENTRY_OPTIONS,
        sidecar_options=SIDECAR_OPTIONS,
        preload="bench.chaos_transport",
    )


class ChaosFleet:
    """Real processes on loopback, with a relay in front of each sidecar.

    Attributes:
        layout: The processes and their ports.
        relays: The relay in front of each sidecar, by the sidecar's name.
        exit_codes: Exit codes of the processes stopped by SIGTERM, by name.
    """

    def __init__(self, *, layout: fleet.Layout, directory: Path) -> None:
        self.layout = layout
        self._directory = directory
        self._programs = {program.name: program for program in fleet.programs(layout)}
        self._processes: dict[str, Any] = {}
        self._started: list[Any] = []
        self._restart_count = 0
        self._saved_counts: Counter[str] = Counter()
        self.exit_codes: dict[str, int] = {}
        ports = {f"engine-{n}": port for n, port in enumerate(layout.engine_sidecar_ports)}
        ports |= {f"service-{n}": port for n, port in enumerate(layout.service_sidecar_ports)}
        self.relays = {
            name: Relay(
                host=fleet.HOST,
                port=port,
                target_host=fleet.HOST,
                target_port=port + PORT_OFFSETS[FIRST],
            )
            for name, port in ports.items()
        }

    async def start(self) -> None:
        """Start relays and processes and publish the configuration."""
        for relay in self.relays.values():
            await relay.start()
        self._processes = await asyncio.to_thread(fleet.start, self.layout, self._directory)
        self._started.extend(self._processes.values())
        await asyncio.to_thread(fleet.publish, self.layout)

    async def close(self) -> None:
        """Kill all processes of the fleet and close the relays."""
        for process in self._started:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._started:
            await asyncio.to_thread(process.wait)
        for relay in self.relays.values():
            await relay.close()

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL."""
        self._processes[name].kill()
        self._processes[name].wait()

    def pause(self, name: str) -> None:
        """Suspend a process with SIGSTOP."""
        self._processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a paused process with SIGCONT."""
        self._processes[name].send_signal(signal.SIGCONT)

    async def terminate(self, name: str) -> None:
        """Stop a process with SIGTERM and wait until it has exited."""
        process = self._processes[name]
        process.send_signal(signal.SIGTERM)
        self.exit_codes[name] = await asyncio.to_thread(process.wait, STOP_TIMEOUT_S)

    def restart(self, name: str) -> None:
        """Start a process in the slot of an earlier one of the same name."""
        self._processes[name] = self._start(self._programs[name])

    def start_second(self, name: str) -> None:
        """Start a second sidecar on a slot and send new connections to it."""
        program = self._programs[name]
        settings = program.settings | {"transport": SECOND}
        self._processes[f"{name}-second"] = self._start(replace(program, settings=settings))
        relay = self.relays[name]
        relay.target_port += PORT_OFFSETS[SECOND] - PORT_OFFSETS[FIRST]

    def replace_first(self, name: str) -> None:
        """Replace the first of two sidecars on a slot, which has exited, by the second."""
        self._processes[name] = self._processes.pop(f"{name}-second")

    async def set_platform_down(self, down: bool) -> None:
        """Make the log and the instance list fail, or work again."""
        for port in (self.layout.log_port, self.layout.instances_port):
            await self._post(port, "/faults", json.dumps({"down": down}).encode())

    async def set_service_delay(self, delay_s: float) -> None:
        """Set the duration of each call to the services."""
        for port in self.layout.service_ports:
            await self._post(port, "/faults", json.dumps({"delay_s": delay_s}).encode())

    async def is_ready(self) -> bool:
        """Return whether each entry reaches every target."""
        numbers = range(len(self.layout.entry_ports))
        checks = [
            asyncio.to_thread(fleet.reaches_every_target, self.layout, number) for number in numbers
        ]
        return all(await asyncio.gather(*checks))

    async def kv_tokens(self) -> int:
        """Return the KV memory in use on all engines, in tokens."""
        left = 0
        for port in self.layout.engine_ports:
            for path in ("/list_streams", "/list_exports"):
                left += sum(row["kv_tokens"] for row in await self._post(port, path, b"{}"))
        return left

    async def save_executions(self, name: str, prompts: list[str]) -> None:
        """Save the execution counts of an engine before it is killed."""
        port = self.layout.engine_ports[int(name.split("-")[1])]
        counts = await asyncio.gather(*(self._count(port, prompt) for prompt in prompts))
        self._saved_counts.update(dict(zip(prompts, counts, strict=True)))

    async def executions(self, key: str, *, is_call: bool) -> int:
        """Return how often a prompt or payload was executed.

        Executions on a killed engine count only if `save_executions` saved them.
        """
        if is_call:
            ports = self.layout.service_ports
            found = [await self._post(port, "/executions", key.encode()) for port in ports]
            return sum(found)
        found = await asyncio.gather(*(self._count(port, key) for port in self.layout.engine_ports))
        return sum(found) + self._saved_counts[key]

    async def _count(self, port: int, prompt: str) -> int:
        return await self._post(port, "/executions", json.dumps({"prompt": prompt}).encode())

    async def _post(self, port: int, path: str, body: bytes) -> Any:
        return await asyncio.to_thread(_post, port, path, body)

    def _start(self, program: fleet.Program) -> Any:
        self._restart_count += 1
        named = replace(program, name=f"{program.name}-again-{self._restart_count}")
        process = fleet.start_program(self.layout, named, self._directory)
        self._started.append(process)
        return process


def _post(port: int, path: str, body: bytes) -> Any:
    request = urllib.request.Request(f"http://{fleet.HOST}:{port}{path}", data=body, method="POST")
    with urllib.request.urlopen(request, timeout=HTTP_TIMEOUT_S) as response:
        return json.loads(response.read())


def copy_logs(directory: Path, destination: Path) -> None:
    """Copy the logs of all processes, for the analysis of violations."""
    destination.mkdir(parents=True, exist_ok=True)
    for path in directory.glob("*.log"):
        shutil.copy(path, destination / path.name)
