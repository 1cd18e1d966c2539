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
    """

    def __init__(self, *, epoch: str = "service-1") -> None:
        self.epoch = epoch
        self.executions: Counter[bytes] = Counter()
        self.down = False
        self.lose_replies = 0
        self.delay_s = 0.0

    async def describe(self) -> str:
        """Return the epoch."""
        self._require_up()
        return self.epoch

    async def call(self, call: ServiceCall) -> bytes:
        """Execute a call: "echo" returns the payload, other methods are refused."""
        self._require_up()
        if call.method != "echo":
            raise TargetRefusedError("invalid", f"unknown method {call.method!r}; use echo")
        self.executions[call.payload] += 1
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if self.lose_replies > 0:
            self.lose_replies -= 1
            raise TargetUnreachableError("the reply to the call was lost")
        self._require_up()
        return call.payload

    async def close(self) -> None:
        """Do nothing; there are no connections to close."""

    def _require_up(self) -> None:
        if self.down:
            raise TargetUnreachableError("the service is down")
