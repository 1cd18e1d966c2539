"""Decides how long a silent target is waited for."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from ..egress import EgressConnection, EgressError

T = TypeVar("T")


class TargetSilentError(EgressError):
    """A target sent nothing for too long."""


async def read_patiently(
    read: Callable[[], Awaitable[T]],
    connection: EgressConnection,
    *,
    first_s: float | None,
    whole_s: float,
    is_alive: Callable[[], Awaitable[bool]],
) -> T:
    """Return what a connection brings next.

    A target that is busy with a long read is as silent as one that is dead, but it answers a
    question. A process that stood still finds its time limits passed and its data waiting.

    Args:
        read: Reads the connection.
        connection: What is read.
        first_s: After so much silence the target is asked whether it lives; None to wait for ever.
        whole_s: After so much silence it is given up even if it lives.
        is_alive: Asks the target.

    Raises:
        TargetSilentError: If it is given up.
        EgressError: If the connection ends.
    """
    if first_s is None:
        return await read()
    try:
        return await _read_within(read, connection, first_s)
    except TimeoutError:
        pass
    if not await is_alive():
        raise TargetSilentError(f"the target was silent for {first_s:.1f} s and does not answer")
    try:
        return await _read_within(read, connection, max(0.0, whole_s - first_s))
    except TimeoutError:
        raise TargetSilentError(f"the target was silent for {whole_s:.1f} s") from None


async def _read_within(
    read: Callable[[], Awaitable[T]], connection: EgressConnection, limit_s: float
) -> T:
    try:
        async with asyncio.timeout(limit_s):
            return await read()
    except TimeoutError:
        if connection.has_news:
            return await read()
        raise
