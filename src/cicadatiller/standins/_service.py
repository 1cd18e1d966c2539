"""A stand-in for a plain service, such as a dispatch application."""

import asyncio
from collections import Counter

from ..targets import ServiceCall, TargetRefusedError, TargetUnreachableError


class ServiceStandin:
    """Echoes payloads and counts the executions of each; implements `PlainService`.

    Attributes:
        executions: The number of executions per payload.
        down: Whether calls fail before they take effect.
        lose_replies: The number of upcoming calls that take effect and then fail.
        delay_s: The delay of each call, after it took effect.
        refused_describes: The number of upcoming calls of `describe` whose connection is refused.
        crash_payloads: Payloads under which it crashes once it has executed one of them.
        crash_restart_s: The time after which it runs again.
        crashed_s: The loop times at which it crashed in this way.
    """

    def __init__(self, *, epoch: str = "service-1") -> None:
        self.epoch = epoch
        self.executions: Counter[bytes] = Counter()
        self.down = False
        self.lose_replies = 0
        self.delay_s = 0.0
        self.refused_describes = 0
        self.crash_payloads: frozenset[bytes] = frozenset()
        self.crash_restart_s = 2.0
        self.crashed_s: list[float] = []
        self._runs = 0

    async def describe(self) -> str:
        """Return the epoch."""
        self._require_up()
        if self.refused_describes > 0:
            self.refused_describes -= 1
            raise TargetUnreachableError("the connection was refused", is_refused=True)
        return self.epoch

    async def call(self, call: ServiceCall) -> bytes:
        """Execute a call: "echo" returns the payload, other methods are refused."""
        self._require_up()
        if call.method != "echo":
            raise TargetRefusedError("invalid", f"unknown method {call.method!r}; use echo")
        self.executions[call.payload] += 1
        runs = self._runs
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if call.payload in self.crash_payloads:
            self._crash()
        if self.lose_replies > 0:
            self.lose_replies -= 1
            raise TargetUnreachableError("the reply to the call was lost")
        self._require_up()
        if self._runs != runs:
            raise TargetUnreachableError("the service crashed")
        return call.payload

    async def close(self) -> None:
        """Do nothing; there are no connections to close."""

    def _crash(self) -> None:
        loop = asyncio.get_running_loop()
        if not self.down:
            self.crashed_s.append(loop.time())
            self.down = True
            self._runs += 1
            loop.call_later(self.crash_restart_s, self._restart)

    def _restart(self) -> None:
        self.down = False
        self.epoch = f"{self.epoch}+"

    def _require_up(self) -> None:
        if self.down:
            raise TargetUnreachableError("the service is down", is_refused=True)
