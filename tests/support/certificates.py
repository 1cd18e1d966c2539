"""A certificate authority for tests of TLS."""

import datetime
import ipaddress
from dataclasses import dataclass
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

LIFETIME = datetime.timedelta(days=1)


@dataclass(frozen=True, kw_only=True)
class Certificate:
    """Paths of a certificate and its private key, both PEM files."""

    certificate_path: str
    key_path: str


class Authority:
    """Issues certificates and writes them to a directory as PEM files."""

    def __init__(self, directory: Path, name: str = "authority") -> None:
        self._directory = directory
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._name = _name(name)
        certificate = _builder(self._name, self._name, self._key.public_key()).add_extension(
            x509.BasicConstraints(ca=True, path_length=0), critical=True
        )
        signed = certificate.sign(self._key, hashes.SHA256())
        self.path = str(_write_certificate(directory / f"{name}.pem", signed))

    def issue(self, name: str) -> Certificate:
        """Issue a certificate for 127.0.0.1."""
        key = ec.generate_private_key(ec.SECP256R1())
        addresses = x509.SubjectAlternativeName([x509.IPAddress(ipaddress.ip_address("127.0.0.1"))])
        builder = _builder(_name(name), self._name, key.public_key())
        signed = builder.add_extension(addresses, critical=False).sign(self._key, hashes.SHA256())
        path = _write_certificate(self._directory / f"{name}.pem", signed)
        key_path = self._directory / f"{name}.key"
        key_path.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return Certificate(certificate_path=str(path), key_path=str(key_path))


def _name(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


def _builder(subject, issuer, public_key) -> x509.CertificateBuilder:
    now = datetime.datetime.now(datetime.UTC)
    return (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(public_key)
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - LIFETIME)
        .not_valid_after(now + LIFETIME)
    )


def _write_certificate(path: Path, certificate: x509.Certificate) -> Path:
    path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    return path
