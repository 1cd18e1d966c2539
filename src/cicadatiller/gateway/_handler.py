"""Handles the requests of callers from admission to the end of the response."""

import asyncio
import contextlib
import random
from collections.abc import Callable

from ..ingress import Request, Responder
from ..kernel import ErrorKind, Event, FailureError, RunState, StallWatch, fail, log_event
from ..routes import RouteTable
from ._admission import admit
from ._failure_response import failure_response, failure_status
from ._forwarder import Forwarder
from ._metrics import GatewayMetrics
from ._open_requests import OpenRequests
from ._progress import Progress
from ._wire import RequestFields, WireCodec

# How long a request that arrives during startup waits for configuration and targets.
INITIAL_SYNC_WAIT_S = 0.5


class RequestHandler:
    """Admits requests, forwards them, and logs and counts how they end.

    Args:
        codec: Encodes and decodes the deployment's headers.
        table: Returns the current configuration; None until one has been read.
        forwarder: Forwards requests to targets.
        metrics: Counts responses and failures.
        stall: Detects stalls of the process.
        synced: Set once configuration and targets have been read.
        open_requests: Knows when requests end as the entry shuts down.
        rng: Selects one of a route's services by weight.
    """

    def __init__(
        self,
        *,
        codec: WireCodec,
        table: Callable[[], RouteTable | None],
        forwarder: Forwarder,
        metrics: GatewayMetrics,
        stall: StallWatch,
        synced: asyncio.Event,
        open_requests: OpenRequests,
        rng: random.Random,
    ) -> None:
        self._codec = codec
        self._table = table
        self._forwarder = forwarder
        self._metrics = metrics
        self._stall = stall
        self._synced = synced
        self._open_requests = open_requests
        self._rng = rng
        self._loop = asyncio.get_running_loop()

    async def handle(self, request: Request, responder: Responder) -> None:
        """Handle one request and write its response."""
        fields = self._codec.decode_request(request)
        progress = Progress(last_event_id=fields.last_event_id)
        # Many callers whose requests arrived during a stall have disconnected since. Waiting here
        # lets the loop read their closes first, which cancels the handling of these requests.
        await self._stall.wait_until_caught_up()
        if not self._synced.is_set():
            await self._wait_until_synced()
        table = self._table()
        try:
            job = admit(request, fields, table, self._rng)
            if job.deadline_s > self._open_requests.ends_at_s:
                raise fail(ErrorKind.STOPPING, "the entry shuts down before the request's deadline")
            outcome = await self._forwarder.forward(job, responder, progress)
        except FailureError as error:
            await self._answer_failure(error, request, fields, progress, responder)
            return
        except asyncio.CancelledError:
            self._log_end(Event.REQUEST_ABANDONED, request, fields, progress)
            raise
        except Exception as error:
            log_event(
                Event.TASK_FAILED, task="request", request_id=fields.request_id, error=repr(error)
            )
            internal = fail(ErrorKind.INTERNAL, "the entry failed to handle the request")
            await self._answer_failure(internal, request, fields, progress, responder)
            return
        self._metrics.record_finished(outcome.status)
        self._log_end(
            Event.REQUEST_FINISHED,
            request,
            fields,
            progress,
            status=outcome.status,
            config=0 if table is None else table.version,
        )

    async def _wait_until_synced(self) -> None:
        """Wait up to `INITIAL_SYNC_WAIT_S` for the first read of the store to finish."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(INITIAL_SYNC_WAIT_S):
                await self._synced.wait()

    async def _answer_failure(
        self,
        error: FailureError,
        request: Request,
        fields: RequestFields,
        progress: Progress,
        responder: Responder,
    ) -> None:
        failure = error.failure
        table = self._table()
        self._metrics.record_failure(failure)
        is_refusal = failure.run_state is RunState.NOT_RUN
        self._log_end(
            Event.REQUEST_REFUSED if is_refusal else Event.REQUEST_FAILED,
            request,
            fields,
            progress,
            kind=failure.kind.value,
            status=0 if responder.has_begun else failure_status(failure),
            reason=failure.message,
            retry_after_s=failure.retry_after_s,
            host=fields.host,
            path=request.path.decode("latin-1"),
            config=0 if table is None else table.version,
        )
        if responder.has_begun:
            responder.abort()
            return
        await responder.answer(failure_response(failure, fields.request_id, self._codec))

    def _log_end(
        self,
        event: Event,
        request: Request,
        fields: RequestFields,
        progress: Progress,
        **extra: object,
    ) -> None:
        first_s = progress.first_output_s
        log_event(
            event,
            request_id=fields.request_id,
            took_s=round(self._loop.time() - request.read_at_s, 3),
            first_s=None if first_s is None else round(first_s - request.read_at_s, 3),
            waited_s=round(progress.waited_s, 3),
            sends=progress.sends,
            last_event_id=progress.last_event_id.decode("latin-1"),
            **extra,
        )
