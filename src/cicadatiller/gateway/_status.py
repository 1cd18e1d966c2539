"""Serves the readiness check and the metrics of an entry."""

from collections.abc import Callable

from ..channels import split_address
from ..ingress import IngressLimits, IngressServer, Request, Responder, Response
from ..memory_budget import MemoryBudget
from ._exposition import CONTENT_TYPE, Exposition

# Checks and readers of metrics send no bodies.
STATUS_LIMITS = IngressLimits(max_body_bytes=1024)
OK = 200
NOT_FOUND = 404
UNAVAILABLE = 503


class StatusServer:
    """The HTTP listeners for the load balancer's readiness check and for metrics.

    Args:
        is_ready: Returns whether the entry can serve callers.
        exposition: Renders the metrics.
        metrics_path: The path of the metrics endpoint.
        max_connections: How many connections each listener may have open.
        memory: Limits what the connections hold.

    Attributes:
        is_stopping: Whether the process is shutting down; if so, it reports not ready.
    """

    def __init__(
        self,
        *,
        is_ready: Callable[[], bool],
        exposition: Exposition,
        metrics_path: str,
        max_connections: int,
        memory: MemoryBudget,
    ) -> None:
        self.is_stopping = False
        self._is_ready = is_ready
        self._exposition = exposition
        self._metrics_path = metrics_path.encode()
        self._readiness, self._metrics = (
            IngressServer(
                handler=handler,
                limits=STATUS_LIMITS,
                max_connections=max_connections,
                memory=memory,
            )
            for handler in (self._serve_readiness, self._serve_metrics)
        )

    async def start(self, readiness_address: str, host: str, metrics_port: int) -> None:
        """Start listening; the metrics endpoint is disabled if `metrics_port` is 0."""
        await self._readiness.start(*split_address(readiness_address))
        if metrics_port:
            await self._metrics.start(host, metrics_port)

    def close(self) -> None:
        """Close both listeners and their connections."""
        self._readiness.close()
        self._metrics.close()

    async def _serve_readiness(self, request: Request, responder: Responder) -> None:
        ready = self._is_ready() and not self.is_stopping
        await responder.answer(Response(status=OK if ready else UNAVAILABLE))

    async def _serve_metrics(self, request: Request, responder: Responder) -> None:
        if request.path != self._metrics_path:
            await responder.answer(Response(status=NOT_FOUND))
            return
        headers = ((b"Content-Type", CONTENT_TYPE),)
        await responder.answer(Response(status=OK, headers=headers, body=self._exposition.render()))
