"""Handles the requests of callers."""

import random

from ..ingress import Request, Responder
from ..kernel import Event, FailureError, log_event
from ..routes import RouteTable
from ._admission import admit
from ._answers import failure_answer, failure_status
from ._forwarder import Forwarder
from ._sinks import ConfigurationSink
from ._wire import WireCodec


class RequestHandler:
    """Takes a request from admission to its last answer."""

    def __init__(
        self,
        *,
        codec: WireCodec,
        configuration: ConfigurationSink,
        forwarder: Forwarder,
        chance: random.Random,
    ) -> None:
        self._codec = codec
        self._configuration = configuration
        self._forwarder = forwarder
        self._chance = chance

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer one request."""
        fields = self._codec.decode_request(request)
        try:
            job = admit(request, fields, self._table(), self._chance)
            await self._forwarder.forward(job, responder)
        except FailureError as error:
            failure = error.failure
            log_event(
                failure.rule.event,
                request_id=fields.request_id,
                kind=failure.kind.value,
                status=failure_status(failure),
                reason=failure.message,
            )
            await responder.answer(failure_answer(failure, fields.request_id, self._codec))
            return
        log_event(Event.REQUEST_FINISHED, request_id=fields.request_id)

    def _table(self) -> RouteTable | None:
        return self._configuration.table
