"""One request and its response, on a connection of its own."""

import contextlib
import socket
import threading
from functools import partial
from typing import Any

import urllib3

from ._whole_response import ResponseLimits, WholeResponse


class Exchange:
    """One request and its response.

    The connection is opened and used by a thread, and may be aborted by another one.

    Args:
        limits: The limits of the response; None for none.

    Attributes:
        surplus: The first bytes that were received beyond the end of the response.
    """

    def __init__(self, *, limits: ResponseLimits | None) -> None:
        self.surplus = b""
        self._limits = limits
        self._is_request_cut = False
        self._lock = threading.Lock()
        self._socket: socket.socket | None = None
        self._is_aborted = False

    def open_pool(self, url: str) -> urllib3.HTTPConnectionPool:
        """Return a pool for the one connection of the exchange."""
        pool = urllib3.connection_from_url(url, maxsize=1, retries=False)
        base = pool.ConnectionCls
        pool.ConnectionCls = partial(_open_connection, base, self)  # type: ignore[assignment]
        return pool

    def attach(self, opened: socket.socket) -> None:
        """Store the socket of the exchange; an aborted one sends nothing on it."""
        with self._lock:
            self._socket = opened
        if self._is_aborted:
            self.abort()

    def abort(self) -> None:
        """End the exchange, so that the thread stops waiting for the server."""
        with self._lock:
            self._is_aborted = True
            opened = self._socket
        if opened is not None:
            with contextlib.suppress(OSError):
                opened.shutdown(socket.SHUT_RDWR)

    def make_response(self, sock: socket.socket, *args: Any, **options: Any) -> WholeResponse:
        """Return the response that is read from the socket."""
        return WholeResponse(
            sock,
            *args,
            limits=self._limits,
            on_surplus=self._record_surplus,
            is_request_cut=lambda: self._is_request_cut,
            **options,
        )

    def record_cut_request(self) -> None:
        """Record that the connection broke while the request was sent.

        A response that has arrived before is read nevertheless.
        """
        self._is_request_cut = True

    def _record_surplus(self, received: bytes) -> None:
        self.surplus = received


def _open_connection(base: Any, exchange: Exchange, **options: Any) -> Any:
    connection = base(**options)
    connection.response_class = exchange.make_response
    connect = connection.connect

    def connect_and_attach() -> None:
        connect()
        exchange.attach(connection.sock)

    request = connection.request

    def send_request(*args: Any, **arguments: Any) -> None:
        try:
            request(*args, **arguments)
        except OSError:
            exchange.record_cut_request()
            raise

    connection.connect = connect_and_attach
    connection.request = send_request
    return connection
