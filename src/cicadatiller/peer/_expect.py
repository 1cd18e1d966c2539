"""Checks the type of a message that a peer has to send next."""

from typing import TypeVar

from ..kernel import ErrorKind, fail

M = TypeVar("M")


def expect_message(message: object, message_type: type[M], description: str) -> M:
    """Return a message if it is of the expected type.

    Args:
        message: The message that was received.
        message_type: The type that it has to be of.
        description: What was expected, for the error text.

    Raises:
        FailureError: PEER_PROTOCOL, if it is of another type.
    """
    if not isinstance(message, message_type):
        raise fail(ErrorKind.PEER_PROTOCOL, f"expected {description}, got {type(message).__name__}")
    return message
