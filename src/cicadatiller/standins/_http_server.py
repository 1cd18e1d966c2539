"""Serves a stand-in over HTTP with CherryPy's WSGI server."""

import contextlib
import gzip
import json
import threading
from collections.abc import Awaitable, Callable, Coroutine, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

import xxhash
from cheroot.wsgi import Server as WsgiServer

from ..channels import split_address
from ..kernel import FailureError, LoopBridge

OK = "200 OK"
NOT_MODIFIED = "304 Not Modified"
NOT_FOUND = "404 Not Found"
BAD_REQUEST = "400 Bad Request"
CONFLICT = "409 Conflict"
GONE = "410 Gone"
UNAVAILABLE = "503 Service Unavailable"

MAX_BODY_BYTES = 64 * 1024 * 1024
STOP_TIMEOUT_S = 2
ACCEPT_BACKLOG = 128
COMPRESS_FROM_BYTES = 4096


@dataclass(frozen=True, kw_only=True)
class Reply:
    """An HTTP response.

    Attributes:
        body: The body.
        status: The status line.
        versioned: Whether the response gets an ETag, supports If-None-Match and is compressed; for
            bodies that change rarely.
    """

    body: bytes
    status: str = OK
    versioned: bool = False


Route = Callable[[bytes], Awaitable[Reply]]
Feed = Callable[[Callable[[bytes], None]], Coroutine[Any, Any, None]]


def json_reply(value: object, status: str = OK) -> Reply:
    """Return a response with a JSON body."""
    return Reply(body=json.dumps(value).encode(), status=status)


def json_fields(body: bytes) -> dict[str, Any]:
    """Parse the JSON body of a request.

    Raises:
        ValueError: If it is not a JSON object.
    """
    fields = json.loads(body)
    if not isinstance(fields, dict):
        raise ValueError(f"expected a JSON object, found {type(fields).__name__}")
    return fields


class StandinServer:
    """Serves routes and feeds from a thread pool; the handlers run on the event loop.

    Args:
        address: The address to listen on, "host:port".
        bridge: Runs the handlers on the event loop.
        routes: Handlers of POST requests by path.
        feeds: Sources of streamed responses to GET requests by path.
        threads: The number of requests served at once.
        poll_s: The longest time until the server notices `stop`.
    """

    def __init__(
        self,
        *,
        address: str,
        bridge: LoopBridge,
        routes: Mapping[str, Route],
        feeds: Mapping[str, Feed] | None = None,
        threads: int = 64,
        poll_s: float = 0.5,
    ) -> None:
        self._bridge = bridge
        self._routes = routes
        self._feeds = feeds or {}
        self._server = WsgiServer(
            split_address(address),
            self._respond,
            numthreads=threads,
            max=threads,
            request_queue_size=ACCEPT_BACKLOG,
            shutdown_timeout=STOP_TIMEOUT_S,
        )
        self._server.max_request_body_size = MAX_BODY_BYTES
        self._server.expiration_interval = poll_s
        self._server.keep_alive_conn_limit = threads * 4

    def start(self) -> None:
        """Bind the address and serve in a thread.

        Raises:
            OSError: If the address cannot be bound.
        """
        self._server.prepare()
        threading.Thread(target=self._server.serve, daemon=True, name="http server").start()

    @property
    def address(self) -> str:
        """Return the bound address, "host:port"."""
        host, port = self._server.bind_addr
        return f"{host}:{port}"

    def stop(self) -> None:
        """End all requests and stop the server."""
        self._bridge.stop()
        self._server.stop()

    def _respond(self, environ: Any, start_response: Any) -> Any:
        path = environ["PATH_INFO"]
        feed = self._feeds.get(path)
        if feed is not None:
            start_response(OK, [("Content-Type", "application/x-ndjson")])
            return self._stream_feed(feed)
        reply = self._call_route(path, environ)
        if reply.versioned:
            return _send_versioned(reply, environ, start_response)
        start_response(reply.status, _headers(reply.body))
        return [reply.body]

    def _call_route(self, path: str, environ: Any) -> Reply:
        body = environ["wsgi.input"].read(int(environ.get("CONTENT_LENGTH") or 0))
        route = self._routes.get(path)
        if route is None:
            return json_reply({"message": f"no route for {path}"}, NOT_FOUND)
        try:
            return self._bridge.call(_run_route(route, body))
        except FailureError as error:
            return json_reply({"message": str(error)}, UNAVAILABLE)

    def _stream_feed(self, feed: Feed) -> Iterator[bytes]:
        lines: Iterator[list[bytes]] = self._bridge.stream(feed)
        with contextlib.suppress(FailureError):
            for batch in lines:
                yield b"".join(batch)


def _headers(body: bytes) -> list[tuple[str, str]]:
    return [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]


def _send_versioned(reply: Reply, environ: Any, start_response: Any) -> list[bytes]:
    etag = ("ETag", f'"{xxhash.xxh3_64_hexdigest(reply.body)}"')
    if environ.get("HTTP_IF_NONE_MATCH") == etag[1]:
        start_response(NOT_MODIFIED, [etag])
        return []
    accepts_gzip = "gzip" in environ.get("HTTP_ACCEPT_ENCODING", "")
    if not accepts_gzip or len(reply.body) < COMPRESS_FROM_BYTES:
        start_response(reply.status, [*_headers(reply.body), etag])
        return [reply.body]
    body = gzip.compress(reply.body)
    start_response(reply.status, [*_headers(body), etag, ("Content-Encoding", "gzip")])
    return [body]


async def _run_route(route: Route, body: bytes) -> Reply:
    try:
        return await route(body)
    except (ValueError, KeyError, TypeError) as error:
        return json_reply({"message": f"bad request: {error!r}"}, BAD_REQUEST)
