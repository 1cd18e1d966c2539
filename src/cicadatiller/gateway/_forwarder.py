"""Sends a request to a target and brings its answer back."""

import asyncio

from ..egress import ConnectionPool, EgressError, ResponseHead
from ..fleet import Target, TargetDirectory
from ..ingress import Answer, Responder
from ..kernel import ErrorKind, RunState, fail
from ..routes import RouteKind
from ._events import EventSplitter
from ._job import Job
from ._wire import TargetFields, WireCodec

MAX_ANSWER_BYTES = 64 * 1024 * 1024


class Forwarder:
    """Sends requests to targets."""

    def __init__(
        self, *, codec: WireCodec, pool: ConnectionPool, directory: TargetDirectory
    ) -> None:
        self._codec = codec
        self._pool = pool
        self._directory = directory
        self._in_flight: dict[str, int] = {}

    async def forward(self, job: Job, responder: Responder) -> None:
        """Bring the answer of a target to the caller; raises `FailureError`."""
        target = self._choose(job)
        name = target.instance_id
        self._in_flight[name] = self._in_flight.get(name, 0) + 1
        try:
            await self._forward_to(target, job, responder)
        finally:
            self._in_flight[name] -= 1

    def _choose(self, job: Job) -> Target:
        targets = self._directory.targets_of(job.service)
        if not targets:
            raise fail(ErrorKind.NO_TARGET, f"no target of {job.service} is ready")
        return min(targets, key=lambda t: self._in_flight.get(t.instance_id, 0))

    async def _forward_to(self, target: Target, job: Job, responder: Responder) -> None:
        try:
            connection = await self._pool.take(target.record.address)
        except EgressError as error:
            raise fail(ErrorKind.NO_TARGET, str(error)) from error
        try:
            now_s = asyncio.get_running_loop().time()
            fields = TargetFields(
                instance_id=target.instance_id,
                remaining_s=job.limit_s - now_s,
                workspace="" if job.workspace is None else job.workspace.name,
                last_event_id=job.fields.last_event_id,
            )
            connection.start(self._codec.encode_request(job.request, fields))
            head = await connection.read_head()
            if job.route.kind is RouteKind.STREAM and head.status == 200:
                await self._relay_stream(connection, head, job, responder)
                return
            body = await connection.read_whole_body(MAX_ANSWER_BYTES)
            await responder.answer(
                Answer(status=head.status, headers=self._codec.caller_headers(head), body=body)
            )
        except EgressError as error:
            if responder.has_begun:
                responder.abort()
                return
            raise fail(
                ErrorKind.TARGET_LOST, str(error), run_state=RunState.OUTCOME_UNKNOWN
            ) from error
        finally:
            self._pool.give_back(connection)

    async def _relay_stream(
        self, connection, head: ResponseHead, job: Job, responder: Responder
    ) -> None:
        splitter = EventSplitter()
        await responder.start_stream(head.status, self._codec.caller_headers(head))
        while data := await connection.read_body():
            for event in splitter.feed(data):
                await responder.send(event.data)
        await responder.finish()
