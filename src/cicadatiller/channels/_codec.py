"""CBOR encoding of the messages between the processes of the system.

A frame is the array `[version, kind, body]`. Unknown fields of a body are ignored; a frame of an
unknown kind is rejected with an error that names the kind.
"""

import dataclasses
import functools
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, TypeVar

import cbor2

from ..kernel import ErrorKind, fail

if TYPE_CHECKING:
    import cattrs

PROTOCOL_VERSION = 1

M = TypeVar("M")

_types_by_kind: dict[str, type] = {}
_kinds_by_type: dict[type, str] = {}
_body_fields: dict[type, str] = {}
_flat_types: set[type] = set()


def message(
    kind: str, *, is_flat: bool = False, body_field: str | None = None
) -> Callable[[type[M]], type[M]]:
    """Return a class decorator that registers a data class as the message of a kind.

    Args:
        kind: The kind of message.
        is_flat: Whether all fields are plain values of CBOR, which need no conversion.
        body_field: The only field of the class, if its value is the frame's body as it is.
    """

    def register(message_type: type[M]) -> type[M]:
        _types_by_kind[kind] = message_type
        _kinds_by_type[message_type] = kind
        if is_flat:
            _flat_types.add(message_type)
        if body_field is not None:
            _body_fields[message_type] = body_field
        return message_type

    return register


def encode(message: object) -> bytes:
    """Encode a message as a frame."""
    message_type = type(message)
    return cbor2.dumps([PROTOCOL_VERSION, _kinds_by_type[message_type], _to_body(message)])


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
        return _from_body(body, message_type)
    except Exception as error:
        raise fail(
            ErrorKind.PEER_PROTOCOL, f"message of kind {kind!r} has a malformed body"
        ) from error


def _to_body(message: object) -> Any:
    message_type = type(message)
    if message_type in _body_fields:
        return getattr(message, _body_fields[message_type])
    if message_type in _flat_types:
        return {
            field.name: getattr(message, field.name)
            for field in dataclasses.fields(message_type)  # type: ignore[arg-type]
            if getattr(message, field.name) != field.default
        }
    return _converter().unstructure(message)


def _from_body(body: Any, message_type: type) -> object:
    if message_type in _body_fields:
        return message_type(**{_body_fields[message_type]: body})
    if message_type in _flat_types:
        return _from_flat_body(body, message_type)
    return _converter().structure(body, message_type)


def _from_flat_body(body: Any, message_type: type) -> object:
    values = {}
    for field in dataclasses.fields(message_type):
        if field.name not in body:
            continue
        value = body[field.name]
        if not isinstance(value, field.type):  # type: ignore[arg-type]
            raise TypeError(f"{field.name} is of type {type(value).__name__}")
        values[field.name] = value
    return message_type(**values)


@functools.cache
def _converter() -> "cattrs.Converter":
    # Imported on first use, so that entries on the platform start sooner: they need it only for
    # peers that understand the first version of their protocol.
    import cattrs

    converter = cattrs.Converter(omit_if_default=True)
    converter.register_structure_hook(bytes, lambda value, _: bytes(value))
    converter.register_unstructure_hook(bytes, lambda value: value)
    return converter
