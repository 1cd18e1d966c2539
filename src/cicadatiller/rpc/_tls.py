"""TLS of the RPC server."""

import ssl
from typing import Any

from cheroot.ssl.builtin import BuiltinSSLAdapter


class DeferredTlsAdapter(BuiltinSSLAdapter):
    """Performs the TLS handshake in the thread that reads the request.

    The adapter of the server library performs it in the thread that accepts connections, where a
    client that sends no data would block all others.
    """

    def wrap(self, sock: Any) -> tuple[ssl.SSLSocket, dict[str, str]]:
        """Wrap an accepted socket."""
        wrapped = self.context.wrap_socket(sock, server_side=True, do_handshake_on_connect=False)
        return wrapped, {"wsgi.url_scheme": "https", "HTTPS": "on"}
