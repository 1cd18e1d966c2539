"""Graceful shutdown of a sidecar, with handover of the requests that outlast it."""

import asyncio

from ..kernel import ErrorKind, Failure, RequestState, RunState, failure
from ._ledger import Ledger
from ._ledger_entry import LedgerEntry
from ._service import SidecarService

# An entry detects a silent connection and attaches again on a new one within this time.
REATTACH_WINDOW_S = 4.0
READER_POLL_S = 0.1


async def drain(
    service: SidecarService, ledger: Ledger, *, linger_s: float, timeout_s: float
) -> None:
    """Refuse new requests, wait for running ones and hand over those that outlast the timeout.

    Entries learn with the next reply that the target is leaving. Requests that they sent before are
    still served. Submissions under ids that were issued before are accepted until
    `LATE_SUBMISSION_GRACE_S` after the target began to leave, which may precede this call, but not
    after `linger_s`.
    Repeatable requests that outlast the timeout end here, and the entries resume them at another
    target after the output already delivered. Requests that must not be repeated run to their end;
    their own deadlines bound the wait. A response whose final frame was lost on a silent connection
    can be read again for `REATTACH_WINDOW_S`.
    """
    service.start_leaving()
    await asyncio.sleep(linger_s)
    service.refuse_late_submissions()
    try:
        async with asyncio.timeout(timeout_s):
            await service.wait_until_idle()
    except TimeoutError:
        hand_over(service, ledger)
    await _wait_until_read(service, ledger)


async def _wait_until_read(service: SidecarService, ledger: Ledger) -> None:
    """Wait until no request runs and no reader has left within the last `REATTACH_WINDOW_S`."""
    loop = asyncio.get_running_loop()
    await service.wait_until_idle()
    while loop.time() < ledger.last_read_s() + REATTACH_WINDOW_S:
        await asyncio.sleep(READER_POLL_S)
        await service.wait_until_idle()


def hand_over(service: SidecarService, ledger: Ledger) -> None:
    """End the repeatable requests so that the entries resume them at other targets."""
    for entry in ledger.entries():
        if entry.state in (RequestState.QUEUED, RequestState.RUNNING) and entry.repeatable:
            entry.end(_leaving_failure(entry))
            service.stop(entry)


def _leaving_failure(entry: LedgerEntry) -> Failure:
    return failure(
        ErrorKind.TARGET_LEAVING,
        "the target is leaving; resume the request at another target",
        run_state=RunState.RAN if entry.sent else RunState.NOT_RUN,
    )
