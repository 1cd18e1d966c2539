"""Reads JSON documents of other programs, whatever their bytes hold."""

import json
import re
import socket
from collections.abc import Mapping
from typing import Any

from ._checks import is_port

# Whole numbers are passed on to peers, and their encoding has 64 bits.
MAX_INTEGER = 2**63 - 1
# No document of ours is nested nearly as deeply.
MAX_NESTING = 64

# An unterminated string reaches to the end, where the parser stops.
_STRING = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*(?:"|\\?\Z)', re.DOTALL)
_OTHER_THAN_BRACKETS = bytes(byte for byte in range(256) if byte not in b"[]{}")


class DocumentError(ValueError):
    """A document is invalid; the message gives the reason."""


def load_json(data: bytes | str) -> Any:
    """Return the value of a JSON document.

    Args:
        data: The document; bytes are in UTF-8.

    Raises:
        DocumentError: If it can't be decoded, or is nested more deeply than `MAX_NESTING`.
    """
    try:
        encoded = data.encode() if isinstance(data, str) else data
        text = encoded.decode()
        _check_nesting(encoded)
        return json.loads(text)
    except ValueError as error:
        raise DocumentError(f"no valid JSON: {error!r:.200}") from error


def load_object(data: bytes | str) -> dict[str, Any]:
    """Return a JSON document that has to be an object.

    Raises:
        DocumentError: If it can't be decoded or is no object.
    """
    document = load_json(data)
    if not isinstance(document, dict):
        raise DocumentError(f"expected an object, found {type(document).__name__}")
    return document


def get_string(row: Mapping[str, Any], name: str) -> str:
    """Return a field that has to be a non-empty string of printable characters.

    Raises:
        DocumentError: If it is not.
        KeyError: If it is missing.
    """
    value = row[name]
    if not isinstance(value, str) or not value or not value.isprintable():
        raise DocumentError(f"{name} must be a non-empty string, found {value!r:.80}")
    return value


def get_address(row: Mapping[str, Any], name: str) -> str:
    """Return a field that has to be an IPv4 address and a port, "host:port".

    Raises:
        DocumentError: If it is not.
        KeyError: If it is missing.
    """
    address = get_string(row, name)
    host, _, port = address.rpartition(":")
    if not is_port(port) or int(port) == 0:
        raise DocumentError(f"{name} must be of the form host:port, found {address!r:.80}")
    try:
        socket.inet_pton(socket.AF_INET, host)
    except OSError as error:
        raise DocumentError(f"{name} must begin with an IP address, found {host!r:.80}") from error
    return address


def get_integer(row: Mapping[str, Any], name: str, default: int | None = None) -> int:
    """Return a field that has to be an integer of 64 bits.

    Raises:
        DocumentError: If it is not.
        KeyError: If it is missing and there is no default.
    """
    value = row[name] if default is None else row.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int) or abs(value) > MAX_INTEGER:
        raise DocumentError(f"{name} must be an integer of 64 bits, found {_shorten(value)}")
    return value


def get_number(row: Mapping[str, Any], name: str, default: float | None = None) -> float:
    """Return a field that has to be a finite number.

    Raises:
        DocumentError: If it is not.
        KeyError: If it is missing and there is no default.
    """
    value = row[name] if default is None else row.get(name, default)
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    # Not true of NaN either.
    if not (is_number and abs(value) <= MAX_INTEGER):
        raise DocumentError(f"{name} must be a finite number, found {_shorten(value)}")
    return float(value)


def _shorten(value: Any) -> str:
    """Return a short text of a value; very long integers have none."""
    try:
        return f"{value!r:.80}"
    except ValueError:
        return type(value).__name__


def _check_nesting(data: bytes) -> None:
    """Check the nesting of a document before it is parsed.

    The parser calls itself for each level. How many it takes before it raises an error depends on
    the interpreter, and on a small stack the process ends before that.

    Args:
        data: The document, in UTF-8, valid or not.

    Raises:
        DocumentError: If it is nested more deeply than `MAX_NESTING`.
    """
    if data.count(b"[") + data.count(b"{") <= MAX_NESTING:
        return
    depth = 0
    for bracket in _STRING.sub(b"", data).translate(None, _OTHER_THAN_BRACKETS):
        depth += 1 if bracket in b"[{" else -1
        if depth > MAX_NESTING:
            raise DocumentError(f"nested more deeply than {MAX_NESTING} levels")
