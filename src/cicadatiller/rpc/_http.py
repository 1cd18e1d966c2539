"""The HTTP server of an entry: CherryPy, with the RPC applications mounted in its tree."""

import threading
from typing import Any

import cherrypy

from ..channels import split_address
from ..entry import Entry
from ..kernel import ErrorKind, LoopBridge, fail
from ..settings import HttpOptions
from ._generated.cicadatiller.v1.operators_connect import OperatorServiceWSGIApplication
from ._generated.cicadatiller.v1.serving_connect import ServingServiceWSGIApplication
from ._middleware import CallLimitMiddleware
from ._operators import OperatorServicer
from ._serving import ServingServicer
from ._threads import GrowingThreadPool
from ._tls import DeferredTlsAdapter
from ._wsgi_server import EntryWsgiServer

ACCEPT_BACKLOG = 512
CLOSE_TIMEOUT_S = 5.0
# Above the limit of the RPC applications plus this margin, the HTTP server itself cuts off a body
# that has no Content-Length, and refuses one that has.
BODY_LIMIT_MARGIN_BYTES = 64 * 1024
HEALTH_PATH = "/health"
# Connect, gRPC-Web and unary calls each negotiate the compression with a header of their own.
ACCEPT_ENCODING_VARIABLES = (
    "HTTP_CONNECT_ACCEPT_ENCODING",
    "HTTP_GRPC_ACCEPT_ENCODING",
    "HTTP_ACCEPT_ENCODING",
)


class RpcServer:
    """Serves the RPC services and the health endpoint of one entry."""

    def __init__(
        self, *, options: HttpOptions, entry: Entry, bridge: LoopBridge, entry_name: str
    ) -> None:
        self._options = options
        self._entry = entry
        self._bridge = bridge
        self.healthy = True
        tree = cherrypy._cptree.Tree()
        serving = ServingServiceWSGIApplication(
            ServingServicer(service=entry.service, bridge=bridge),
            read_max_bytes=options.max_body_bytes,
        )
        operators = OperatorServiceWSGIApplication(
            OperatorServicer(
                admin=entry.operators,
                metrics=entry.service.metrics,
                bridge=bridge,
                entry_name=entry_name,
            ),
            read_max_bytes=options.max_body_bytes,
        )
        long_call_slots = threading.Semaphore(options.threads)
        short_call_slots = threading.Semaphore(max(1, options.spare_threads // 2))
        for application in (serving, operators):
            middleware = CallLimitMiddleware(
                _disable_compression(application),
                long_call_slots=long_call_slots,
                short_call_slots=short_call_slots,
                max_body_bytes=options.max_body_bytes,
            )
            tree.graft(middleware, application.path)
        tree.graft(self._health, HEALTH_PATH)
        threads = options.threads + options.spare_threads
        self._server = EntryWsgiServer(
            split_address(options.address),
            tree,
            request_queue_size=ACCEPT_BACKLOG,
        )
        self._server.requests = GrowingThreadPool(self._server, threads)
        self._server.max_request_body_size = options.max_body_bytes + BODY_LIMIT_MARGIN_BYTES
        self._server.keep_alive_conn_limit = threads * 4
        if options.tls_certificate_path:
            self._server.ssl_adapter = DeferredTlsAdapter(
                options.tls_certificate_path, options.tls_key_path
            )

    @property
    def address(self) -> str:
        """Return the bound address, "host:port"."""
        host, port = self._server.bind_addr
        return f"{host}:{port}"

    def start(self) -> None:
        """Bind the address; `serve` must then be run in a separate thread."""
        try:
            self._server.prepare()
        except OSError as error:
            raise fail(
                ErrorKind.INTERNAL, f"cannot listen on {self._options.address}: {error}"
            ) from error

    def serve(self) -> None:
        """Serve calls until `stop` is called."""
        self._server.serve()

    def start_draining(self) -> None:
        """Report that this entry stops, and close each connection with its next answer."""
        self.healthy = False
        self._server.is_draining = True

    def stop(self, drain_timeout_s: float = 0.0) -> None:
        """Stop accepting calls and wait for open ones; abort those left after the timeout."""
        self._server.shutdown_timeout = CLOSE_TIMEOUT_S
        abort_timer = threading.Timer(drain_timeout_s, self._bridge.stop)
        abort_timer.start()
        try:
            self._server.drain(drain_timeout_s + CLOSE_TIMEOUT_S)
            self._server.stop()
        finally:
            abort_timer.cancel()

    def _health(self, environ: Any, start_response: Any) -> list[bytes]:
        if self.healthy:
            start_response("200 OK", [("Content-Type", "text/plain")])
            return [b"ok\n"]
        start_response("503 Service Unavailable", [("Content-Type", "text/plain")])
        return [b"stopping\n"]


def _disable_compression(application: Any) -> Any:
    """Disable compression: each message holds few tokens and would be compressed separately."""

    def respond(environ: Any, start_response: Any) -> Any:
        for header in ACCEPT_ENCODING_VARIABLES:
            environ.pop(header, None)
        return application(environ, start_response)

    return respond
