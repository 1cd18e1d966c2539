"""What an entry shows of itself: its readiness and its metrics."""

from collections.abc import Callable

from ..ingress import Answer, IngressServer, Request, Responder
from ..peer import split_address
from ._exposition import CONTENT_TYPE, Exposition

OK = 200
NOT_FOUND = 404
UNAVAILABLE = 503


class StatusPages:
    """The listeners for the balancer and for the metrics.

    Args:
        is_ready: Tells whether callers can be served.
        exposition: Renders the metrics.
        metrics_path: The path of the metrics.

    Attributes:
        is_stopping: Whether the process shuts down, so that it is not ready.
    """

    def __init__(
        self, *, is_ready: Callable[[], bool], exposition: Exposition, metrics_path: str
    ) -> None:
        self.is_stopping = False
        self._is_ready = is_ready
        self._exposition = exposition
        self._metrics_path = metrics_path.encode()
        self._readiness = IngressServer(handler=self._answer_readiness)
        self._metrics = IngressServer(handler=self._answer_metrics)

    async def start(self, readiness_address: str, host: str, metrics_port: int) -> None:
        """Listen; there are no metrics if their port is 0."""
        await self._readiness.start(*split_address(readiness_address))
        if metrics_port:
            await self._metrics.start(host, metrics_port)

    def close(self) -> None:
        """Close both listeners."""
        self._readiness.close()
        self._metrics.close()

    async def _answer_readiness(self, request: Request, responder: Responder) -> None:
        ready = self._is_ready() and not self.is_stopping
        await responder.answer(Answer(status=OK if ready else UNAVAILABLE))

    async def _answer_metrics(self, request: Request, responder: Responder) -> None:
        if request.path != self._metrics_path:
            await responder.answer(Answer(status=NOT_FOUND))
            return
        headers = ((b"Content-Type", CONTENT_TYPE),)
        await responder.answer(Answer(status=OK, headers=headers, body=self._exposition.render()))
