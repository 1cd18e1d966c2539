"""The graceful shutdown of an entry."""

import asyncio

from ..ingress import IngressServer
from ..kernel import Event, log_event
from ._open_requests import OpenRequests
from ._status import StatusServer

# The load balancer polls readiness once a second and removes an entry after two failed polls.
BALANCER_DELAY_S = 2.5
SHUTDOWN_MARGIN_S = 0.5
# In this time the failures of all open requests are sent.
ANSWER_MARGIN_S = 0.3
SHUTDOWN_POLL_S = 0.05


async def drain(
    *,
    name: str,
    callers: IngressServer,
    status: StatusServer,
    open_requests: OpenRequests,
    shutdown_s: float,
) -> None:
    """Accept callers until the balancer removes the entry, then finish open requests.

    Those that are open `ANSWER_MARGIN_S` before the connections are closed, which is
    `SHUTDOWN_MARGIN_S` before the process is killed, are answered with a failure.

    Args:
        name: The entry's name, for the log.
        callers: The server of the callers.
        status: The server of readiness checks.
        open_requests: The open requests.
        shutdown_s: Time from the stop signal until the process is killed.
    """
    loop = asyncio.get_running_loop()
    log_event(Event.PROCESS_STOPPING, name=name, connections=callers.open_connections)
    status.is_stopping = True
    callers.announce_close()
    deadline_s = loop.time() + shutdown_s - SHUTDOWN_MARGIN_S
    await asyncio.sleep(BALANCER_DELAY_S)
    open_requests.end_all_at(deadline_s - ANSWER_MARGIN_S)
    callers.stop_listening()
    callers.drain()
    while callers.open_connections and loop.time() < deadline_s:
        await asyncio.sleep(SHUTDOWN_POLL_S)
    log_event(Event.PROCESS_STOPPED, name=name, connections=callers.open_connections)
