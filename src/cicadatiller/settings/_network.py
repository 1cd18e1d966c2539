"""Settings of the addresses that a process listens on and of the services that it connects to."""

import ssl
from dataclasses import dataclass
from typing import Any, TypeVar

from ..kernel import HttpTimeouts, Registry, above_zero, check_values, host_and_port, not_empty

MAX_BODY_BYTES = 12 * 1024 * 1024

T = TypeVar("T")


@dataclass(frozen=True, kw_only=True)
class HttpOptions:
    """Settings of the RPC server.

    Attributes:
        address: The address to listen on, "host:port".
        threads: The limit on answers that are sent concurrently; calls for further ones are
            refused immediately.
        spare_threads: Additional threads: half for short calls and operators, the rest for
            refusals and the health endpoint.
        tls_certificate_path: The certificate, a PEM file; empty to disable TLS.
        tls_key_path: The private key, a PEM file; empty to disable TLS.
        max_body_bytes: The limit on the size of a request body.
    """

    address: str
    threads: int = 256
    spare_threads: int = 16
    tls_certificate_path: str = ""
    tls_key_path: str = ""
    max_body_bytes: int = MAX_BODY_BYTES

    def __post_init__(self) -> None:
        check_values(
            address=host_and_port(self.address),
            threads=above_zero(self.threads),
            spare_threads=above_zero(self.spare_threads),
            max_body_bytes=above_zero(self.max_body_bytes),
            tls_certificate_path=_certificate_problem(self.tls_certificate_path, self.tls_key_path),
        )


@dataclass(frozen=True, kw_only=True)
class PeerTlsSettings:
    """Mutual TLS between the system's own processes.

    Attributes:
        certificate_path: The certificate of this process, a PEM file.
        key_path: The private key of this process, a PEM file.
        authority_path: The certificate of the authority that signs all peers' certificates, a PEM
            file.
    """

    certificate_path: str
    key_path: str
    authority_path: str

    def __post_init__(self) -> None:
        check_values(
            certificate_path=_certificate_problem(self.certificate_path, self.key_path)
            or not_empty(self.certificate_path),
            authority_path=_authority_problem(self.authority_path),
        )

    def server_context(self) -> ssl.SSLContext:
        """Return the TLS context of accepted connections."""
        return self._context(ssl.Purpose.CLIENT_AUTH)

    def client_context(self) -> ssl.SSLContext:
        """Return the TLS context of connections that this process opens.

        Peers are dialled by IP address and may be replaced at any time, so host names are not
        checked: a certificate proves that the authority signed the peer's key, not its address.
        """
        return self._context(ssl.Purpose.SERVER_AUTH)

    def _context(self, purpose: ssl.Purpose) -> ssl.SSLContext:
        context = ssl.create_default_context(purpose, cafile=self.authority_path)
        context.check_hostname = False
        context.verify_mode = ssl.CERT_REQUIRED
        context.load_cert_chain(self.certificate_path, self.key_path)
        return context


@dataclass(frozen=True, kw_only=True)
class EndpointSettings:
    """Settings of the client of a target or of one service of the platform.

    Attributes:
        url: The base URL, "http://host:port".
        plugin: The name of the client plug-in.
        connect_timeout_s: The timeout of opening a connection.
        read_timeout_s: The timeout of each read.
        threads: The limit on concurrent calls.
    """

    url: str
    plugin: str = "http"
    connect_timeout_s: float = 1.0
    read_timeout_s: float = 5.0
    threads: int = 16

    def __post_init__(self) -> None:
        has_http_scheme = self.url.startswith(("http://", "https://"))
        check_values(
            url="" if has_http_scheme else f"{self.url!r} does not begin with http:// or https://",
            connect_timeout_s=above_zero(self.connect_timeout_s),
            read_timeout_s=above_zero(self.read_timeout_s),
            threads=above_zero(self.threads),
        )

    def open(self, registry: Registry[T]) -> T:
        """Create the client from its plug-in."""
        timeouts = HttpTimeouts(connect_s=self.connect_timeout_s, read_s=self.read_timeout_s)
        return registry.create(self.plugin, url=self.url, timeouts=timeouts, threads=self.threads)

    def plugin_problem(self, registry: Registry[Any]) -> str:
        """Return an error message if the plug-in is not registered, else an empty string."""
        return registered(self.plugin, registry)


def registered(name: str, registry: Registry[Any]) -> str:
    """Return an error message if no plug-in has this name, else an empty string."""
    if name in registry.names():
        return ""
    return f"unknown plugin {name!r}; use one of: {', '.join(registry.names())}"


def _certificate_problem(certificate_path: str, key_path: str) -> str:
    if not certificate_path and not key_path:
        return ""
    if not certificate_path or not key_path:
        return "set both the certificate and its key, or neither"
    try:
        ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER).load_cert_chain(certificate_path, key_path)
    except OSError as error:
        return f"the certificate and key can't be loaded: {error}"
    return ""


def _authority_problem(path: str) -> str:
    try:
        ssl.create_default_context(cafile=path)
    except OSError as error:
        return f"the certificate {path} can't be loaded: {error}"
    return ""
