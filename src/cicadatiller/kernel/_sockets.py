"""What the kernel tells of a TCP socket without reading from it."""

import contextlib
import fcntl
import socket
import struct
import termios
from typing import Protocol


class Socket(Protocol):
    """The part of a socket, or of asyncio's view of one, that is asked."""

    def fileno(self) -> int:
        """Return the descriptor."""

    def getsockopt(self, level: int, option: int, /) -> int:
        """Return the value of an option."""


def is_reset(sock: Socket) -> bool:
    """Return whether a connection was reset, as long as no call has returned that error."""
    return sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0


def unacknowledged_bytes(sock: Socket) -> int:
    """Return the bytes that the peer's machine has not taken; 0 if the kernel does not tell."""
    with contextlib.suppress(OSError):
        answer = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, struct.pack("i", 0))
        return int(struct.unpack("i", answer)[0])
    return 0
