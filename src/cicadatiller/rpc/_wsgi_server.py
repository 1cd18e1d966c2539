"""The WSGI server of an entry.

It stops without cutting off calls that it has received, and ends those whose callers stall while
they send them.
"""

import contextlib
import socket
import sys
import threading
import time
from collections.abc import Iterator
from typing import Any

from cheroot.makefile import MakeFile, StreamReader
from cheroot.server import ChunkedRFile, HTTPConnection, HTTPRequest, KnownLengthRFile
from cheroot.wsgi import Server as WsgiServer

from ..kernel import Event, log_event

# No call began or ended for this long: none is on its way between the threads of the server.
QUIET_S = 0.1
POLL_INTERVAL_S = 0.02
# A request may take this long to arrive, and longer if its bytes come at this rate at least.
READ_GRACE_S = 10.0
MIN_READ_BYTES_PER_S = 10_000
STALL_CHECK_INTERVAL_S = 1.0


class _CountedRequest(HTTPRequest):
    """A request that the server counts, and after which it closes the connection if it drains."""

    server: "EntryWsgiServer"

    @property
    def is_received(self) -> bool:
        """Return whether all of it has arrived."""
        if isinstance(self.rfile, KnownLengthRFile):
            return not self.rfile.remaining
        return isinstance(self.rfile, ChunkedRFile) and self.rfile.closed

    def parse_request(self) -> None:
        self.conn.request = self
        super().parse_request()

    def respond(self) -> None:
        with self.server.counting():
            super().respond()

    def send_headers(self) -> None:
        self.conn.reading_since_s = None
        if self.server.is_draining:
            self.close_connection = True
        super().send_headers()


class _CountingSocket(socket.SocketIO):
    """A socket's file that counts what it received."""

    received_bytes = 0

    def readinto(self, buffer: Any) -> int | None:
        count = super().readinto(buffer)
        self.received_bytes += count or 0
        return count


class _CountingReader(StreamReader):
    def __init__(self, sock: Any, mode: Any, bufsize: int) -> None:
        # As the library's, but for the socket's file.
        super(StreamReader, self).__init__(_CountingSocket(sock, mode), bufsize)
        self.bytes_read = 0


def _make_file(sock: Any, mode: str, bufsize: int) -> Any:
    return (_CountingReader if "r" in mode else MakeFile)(sock, mode, bufsize)


class _CountedConnection(HTTPConnection):
    """A connection that knows since when a request is being received on it.

    Attributes:
        reading_since_s: When its request began to arrive; None while none does, or it is answered.
        request: The request.
    """

    RequestHandlerClass = _CountedRequest
    server: "EntryWsgiServer"

    def __init__(self, server: Any, sock: Any, _: Any = MakeFile) -> None:
        super().__init__(server, sock, _make_file)
        self.reading_since_s: float | None = None
        self.request: _CountedRequest | None = None
        self._received_before = 0

    def communicate(self) -> bool:
        self.reading_since_s = time.monotonic()
        self._received_before = self.rfile.raw.received_bytes
        self.server.connections_in_use.add(self)
        try:
            return bool(super().communicate())  # type: ignore[no-untyped-call]
        finally:
            self.reading_since_s = None
            self.server.connections_in_use.discard(self)

    def is_stalled(self, now_s: float) -> bool:
        """Return whether a request arrives too slowly."""
        since_s = self.reading_since_s
        if since_s is None or self.request is None or self.request.is_received:
            return False
        received: int = self.rfile.raw.received_bytes - self._received_before
        return now_s - since_s > READ_GRACE_S + received / MIN_READ_BYTES_PER_S

    def stop_reading(self) -> None:
        """Let the request end where it is; it can still be answered."""
        # The connection may have been closed meanwhile. The method of TLS sockets ends TLS.
        with contextlib.suppress(OSError):
            socket.socket.shutdown(self.socket, socket.SHUT_RD)


class EntryWsgiServer(WsgiServer):
    """A server that first takes no connections, then answers what it has, and only then stops.

    The library's own stop closes kept connections whose next request has just arrived, and those
    that it has not accepted yet. Its timeout is that of one receive, so it never ends a request of
    which a byte arrives now and then, and which holds a thread.

    Attributes:
        is_draining: Whether each answer closes its connection.
        connections_in_use: The connections that a thread serves.
    """

    ConnectionClass = _CountedConnection
    # The library's manager of connections.
    _connections: Any

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self.is_draining = False
        self.connections_in_use: set[_CountedConnection] = set()
        self._open = 0
        self._changed_s = 0.0
        self._lock = threading.Lock()

    def serve(self) -> None:
        """Serve until `stop` is called."""
        threading.Thread(target=self._end_stalled, daemon=True, name="stalled requests").start()
        super().serve()

    @contextlib.contextmanager
    def counting(self) -> Iterator[None]:
        """Count a request as open."""
        self._change_open(1)
        try:
            yield
        finally:
            self._change_open(-1)

    def drain(self, timeout_s: float) -> None:
        """Take no further connections, and wait until all received requests are answered."""
        self.is_draining = True
        self._close_listener()
        # What has arrived by now is on its way to a thread, so this counts as a change.
        self._change_open(0)
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s and not self._is_quiet():
            time.sleep(POLL_INTERVAL_S)

    def error_log(self, msg: str = "", level: int = 20, traceback: bool = False) -> None:
        """Log a problem that the library reports."""
        error = sys.exc_info()[1] if traceback else None
        log_event(Event.HTTP_PROBLEM, error=msg, cause=repr(error) if error else "")

    def _change_open(self, change: int) -> None:
        with self._lock:
            self._open += change
            self._changed_s = time.monotonic()

    def _end_stalled(self) -> None:
        while self.ready:
            time.sleep(STALL_CHECK_INTERVAL_S)
            now_s = time.monotonic()
            for connection in list(self.connections_in_use):
                if connection.is_stalled(now_s):
                    log_event(Event.HTTP_PROBLEM, error="a request arrives too slowly", cause="")
                    connection.stop_reading()

    def _is_quiet(self) -> bool:
        with self._lock:
            is_idle = not self._open and not self.requests.qsize
            return is_idle and time.monotonic() - self._changed_s >= QUIET_S

    def _close_listener(self) -> None:
        """Accept the connections that the kernel has completed, then stop listening."""
        listener = self.socket
        if listener is None:
            return
        self._connections._selector.unregister(listener.fileno())
        # The thread that accepts may have been told of a connection just before.
        time.sleep(POLL_INTERVAL_S)
        self.socket = None
        # The kernel connects no further callers while the last ones are accepted.
        listener.listen(0)
        listener.settimeout(0.0)
        while (connection := self._connections._from_server_socket(listener)) is not None:
            self.process_conn(connection)
        listener.close()
