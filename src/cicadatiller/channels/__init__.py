"""Channels for frames between processes, and the encoding of the messages in the frames.

A package of its own, so that processes load only the messages that they use.
"""

from ._codec import PROTOCOL_VERSION, decode, encode, message
from ._transport import (
    Channel,
    ChannelClosedError,
    Handler,
    Listener,
    Transport,
    WebSocketTransport,
    open_transport,
    split_address,
    transport_registry,
)

__all__ = [
    "PROTOCOL_VERSION",
    "Channel",
    "ChannelClosedError",
    "Handler",
    "Listener",
    "Transport",
    "WebSocketTransport",
    "decode",
    "encode",
    "message",
    "open_transport",
    "split_address",
    "transport_registry",
]
