"""Tells whether the other side has closed a connection that is not read."""

import select
import socket


def has_peer_closed(sock: socket.socket | None) -> bool:
    """Return whether the other side has closed, though bytes that it sent before are unread."""
    if sock is None:
        return False
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))
