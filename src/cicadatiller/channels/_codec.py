"""CBOR encoding of the messages between the processes of the system.

A frame is the array `[version, kind, body]`. Unknown fields of a body are ignored; a frame of an
unknown kind is rejected with an error that names the kind.
"""

import operator
from collections.abc import Callable
from typing import TypeVar

import cattrs
import cbor2

from ..kernel import ErrorKind, fail

PROTOCOL_VERSION = 1

M = TypeVar("M")

_types_by_kind: dict[str, type] = {}
_kinds_by_type: dict[type, str] = {}
_converter = cattrs.Converter(omit_if_default=True)
_converter.register_structure_hook(bytes, lambda value, _: bytes(value))
_converter.register_unstructure_hook(bytes, lambda value: value)


def message(kind: str, *, body_field: str | None = None) -> Callable[[type[M]], type[M]]:
    """Return a class decorator that registers a data class as the message of a kind.

    Args:
        kind: The kind of message.
        body_field: The only field of the class, if its value is the frame's body as it is; None to
            convert all fields.
    """

    def register(message_type: type[M]) -> type[M]:
        _types_by_kind[kind] = message_type
        _kinds_by_type[message_type] = kind
        if body_field is not None:
            _converter.register_unstructure_hook(message_type, operator.attrgetter(body_field))
            _converter.register_structure_hook(
                message_type, lambda value, _: message_type(**{body_field: value})
            )
        return message_type

    return register


def encode(message: object) -> bytes:
    """Encode a message as a frame."""
    body = _converter.unstructure(message)
    return cbor2.dumps([PROTOCOL_VERSION, _kinds_by_type[type(message)], body])


def decode(frame: bytes) -> object:
    """Decode the message of a frame.

    Raises:
        FailureError: PEER_PROTOCOL, if the frame is malformed, or its version or kind is unknown.
    """
    try:
        version, kind, body = cbor2.loads(frame)
    except Exception as error:
        raise fail(
            ErrorKind.PEER_PROTOCOL, f"frame is not a valid CBOR message: {error}"
        ) from error
    if version != PROTOCOL_VERSION:
        raise fail(
            ErrorKind.PEER_PROTOCOL,
            f"unsupported protocol version {version!r}; expected {PROTOCOL_VERSION}",
        )
    message_type = _types_by_kind.get(kind) if isinstance(kind, str) else None
    if message_type is None:
        raise fail(ErrorKind.PEER_PROTOCOL, f"unknown message kind {kind!r}")
    try:
        return _converter.structure(body, message_type)
    except Exception as error:
        raise fail(
            ErrorKind.PEER_PROTOCOL, f"message of kind {kind!r} has a malformed body"
        ) from error
