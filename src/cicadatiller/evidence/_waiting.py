"""Waits of requests for what entries may still say of what crashes targets."""

import asyncio
from collections.abc import Iterable

from ..fleet import WEIGHING_DELAY_S, FingerprintBreakers, OpenBreaker, RequestLoss


async def find_settled(
    breakers: FingerprintBreakers, fingerprints: Iterable[str]
) -> OpenBreaker | None:
    """Return the first open breaker of a request, once no entry may object to one any more."""
    names = tuple(fingerprints)
    loop = asyncio.get_running_loop()
    now_s = loop.time()
    known_at_s = breakers.objections_end_s(names, now_s)
    if known_at_s > now_s:
        await asyncio.sleep(known_at_s - now_s)
    return breakers.find_open(names, loop.time())


async def record_weighed(breakers: FingerprintBreakers, loss: RequestLoss) -> None:
    """Record a loss, and wait until it is weighed: its request is not sent on before."""
    breakers.record_loss(loss, asyncio.get_running_loop().time())
    await asyncio.sleep(WEIGHING_DELAY_S)
