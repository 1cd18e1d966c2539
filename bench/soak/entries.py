"""Entries as processes of their own, started by a settings file of the platform's format."""

import asyncio
import contextlib
import os
import resource
import signal
import subprocess
import sys
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from bench.soak.client import Connection
from bench.soak.configuration import CONVERGE_S

FRONT_PORT = 8227
READY_PORT = 8220
READY_LIMIT_S = 20.0
POLL_S = 0.1
POLL_TIMEOUT_S = 1.0
# Time beyond its shutdown limit that an entry gets to exit, as the machine may be busy.
EXIT_SLACK_S = 1.0
DRAIN_S = 2.0
RETRY_RATIO = 0.2
RETRY_WINDOW_S = 10
FREE_S = 4.0
EVACUATE_S = 3.0
COLD_OVERSHOOT = 1.5
COLD_SLACK = 5
MEMORY_MB = 100
SETTINGS = """\
node_name = "front-{number}"
role = "entry"
machine_class = "front"
ip = "{host}"
zone = "{data_centre}"
internal_port_range = [7340, 7355]
[listen]
front = "{host}:{front_port}"
ready = "{host}:{ready_port}"
[bounds]
grace_s = {shutdown_s}
drain_ms = {drain_ms}
config_converge_ms = {converge_ms}
evacuate_ms = {evacuate_ms}
cold_overshoot = {cold_overshoot}
cold_slack = {cold_slack}
retry_budget_ratio = {retry_ratio}
budget_window_s = {retry_window_s}
retry_budget_slack = {retry_slack}
hold_max_ms = 20000
free_ms = {free_ms}
idle_max_ms = 9000
[limits]
memory_mb = {memory_mb}
[platform]
address = "{store}"
"""


@dataclass(frozen=True, kw_only=True)
class Exit:
    """How an entry ended that was not killed.

    Attributes:
        code: The exit code; None if it had to be killed after its time.
        was_asked: Whether SIGTERM was sent.
        asked_s: When it was sent; 0 if it was not.
        ended_s: When the exit was seen.
    """

    entry: int
    code: int | None
    was_asked: bool
    asked_s: float = 0.0
    ended_s: float = 0.0


class EntryProcess:
    """One entry and the processes that run it one after another.

    Args:
        number: Its number.
        host: Its loopback address.
        data_centre: Its data centre.
        store: The address at which it finds the store.
        shutdown_s: Time from SIGTERM until it is killed.
        retry_slack: See `Deployment`.
        directory: Where its settings and logs are written.
        source: The directory of the programs' source.

    Attributes:
        exits: How its processes ended, other than by SIGKILL.
        is_in_rotation: Whether the load balancer sends new connections to it.
        is_busy: Whether a fault starts, stops or reloads it.
    """

    def __init__(
        self,
        *,
        number: int,
        host: str,
        data_centre: str,
        store: str,
        shutdown_s: int,
        retry_slack: int,
        directory: Path,
        source: Path,
    ) -> None:
        self.number = number
        self.host = host
        self.exits: list[Exit] = []
        self.is_in_rotation = False
        self.is_busy = False
        self._shutdown_s = shutdown_s
        self._source = source
        self._settings_path = directory / f"entry-{number}.toml"
        self._log_path = directory / f"entry-{number}.log"
        self._settings = SETTINGS.format(
            number=number,
            host=host,
            data_centre=data_centre,
            store=store,
            shutdown_s=shutdown_s,
            retry_slack=retry_slack,
            front_port=FRONT_PORT,
            ready_port=READY_PORT,
            drain_ms=int(DRAIN_S * 1000),
            converge_ms=int(CONVERGE_S * 1000),
            evacuate_ms=round(EVACUATE_S * 1000),
            cold_overshoot=COLD_OVERSHOOT,
            cold_slack=COLD_SLACK,
            retry_ratio=RETRY_RATIO,
            retry_window_s=RETRY_WINDOW_S,
            free_ms=int(FREE_S * 1000),
            memory_mb=MEMORY_MB,
        )
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def resident_bytes(self) -> int:
        """Return the memory of its process; 0 if none runs."""
        if self._process is None:
            return 0
        with contextlib.suppress(OSError, ValueError):
            pages = Path(f"/proc/{self._process.pid}/statm").read_text().split()
            return int(pages[1]) * resource.getpagesize()
        return 0

    @property
    def is_running(self) -> bool:
        """Return whether its process runs, suspended or not."""
        return self._process is not None and self._process.poll() is None

    @contextlib.contextmanager
    def changing(self) -> Iterator[None]:
        """Keep other faults from starting, stopping or reloading it meanwhile."""
        self.is_busy = True
        try:
            yield
        finally:
            self.is_busy = False

    def start(self) -> None:
        """Start a process."""
        self.write_settings()
        environment = os.environ | {
            "CICADATILLER_SETTINGS": str(self._settings_path),
            "PYTHONPATH": str(self._source),
        }
        with self._log_path.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "cicadatiller.platform"],
                env=environment,
                stdout=log,
                stderr=log,
            )

    def write_settings(self, *, are_valid: bool = True) -> None:
        """Write the settings file."""
        self._settings_path.write_text(self._settings if are_valid else "node_name = 7\n")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, if the process runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    async def wait_until_ready(self) -> bool:
        """Wait until it serves callers; return false if it does not in time."""
        deadline_s = asyncio.get_running_loop().time() + READY_LIMIT_S
        while asyncio.get_running_loop().time() < deadline_s:
            if await self.is_ready():
                return True
            await asyncio.sleep(POLL_S)
        return False

    async def is_ready(self) -> bool:
        """Return whether it says that it is ready."""
        request = b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        try:
            async with asyncio.timeout(POLL_TIMEOUT_S):
                connection = await Connection.open(self.host, READY_PORT)
                answer = await connection.ask(request)
        except (OSError, TimeoutError):
            return False
        connection.close()
        return answer.status == 200

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self._process is not None:
            self._process.kill()
            await asyncio.to_thread(self._process.wait)
            self._process = None

    async def stop(self) -> bool:
        """Send SIGTERM, wait for the exit and return whether it came in time."""
        process = self._process
        if process is None:
            return True
        loop = asyncio.get_running_loop()
        asked_s = loop.time()
        process.send_signal(signal.SIGTERM)
        try:
            code: int | None = await asyncio.to_thread(
                process.wait, self._shutdown_s + EXIT_SLACK_S
            )
        except subprocess.TimeoutExpired:
            code = None
            await self.kill()
        self._process = None
        ended = Exit(
            entry=self.number, code=code, was_asked=True, asked_s=asked_s, ended_s=loop.time()
        )
        self.exits.append(ended)
        return code is not None

    def check_own_exit(self) -> bool:
        """Record it if the process ended though nothing ended it; return whether it did."""
        if self._process is None or self._process.poll() is None:
            return False
        self.exits.append(Exit(entry=self.number, code=self._process.returncode, was_asked=False))
        self._process = None
        return True
