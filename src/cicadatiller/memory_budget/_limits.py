"""The limits of a process, and what its connections may use of them."""

import math
from dataclasses import dataclass

BYTES_PER_MB = 1024 * 1024
# Of the memory, the rest is left to the kernel's buffers of unread bytes and to fragmentation.
USABLE_SHARE = 0.9
# The interpreter, the configuration at its largest, and what is known of targets and peers.
OWN_BYTES = 96 * BYTES_PER_MB
MIN_HELD_SHARE = 0.25
# Descriptors for files, which sockets can't use.
RESERVED_DESCRIPTORS = 200
# Of the sockets: each caller may need two for targets, if the first is unresponsive, while others are
# being closed or were just accepted, and some are for idle connections, peers and the store.
CALLER_SHARE = 0.2
STATUS_SHARE = 0.0625
MIN_STATUS_CONNECTIONS = 4
MAX_STATUS_CONNECTIONS = 64


@dataclass(frozen=True, kw_only=True, slots=True)
class ProcessLimits:
    """The limits that a deployment sets for a process; 0 for none.

    Attributes:
        memory_mb: The memory at which the process is killed.
        descriptors: The descriptors that it may have open.
    """

    memory_mb: float = 0.0
    descriptors: int = 0

    @property
    def held_bytes(self) -> float:
        """Return the bytes that connections may hold together."""
        if self.memory_mb <= 0:
            return math.inf
        memory_bytes = self.memory_mb * BYTES_PER_MB
        return max(USABLE_SHARE * memory_bytes - OWN_BYTES, MIN_HELD_SHARE * memory_bytes)

    def caller_connections(self, chosen: int) -> int:
        """Return how many connections of callers may be open; at most `chosen`."""
        if self.descriptors <= 0:
            return chosen
        return max(1, min(chosen, int(CALLER_SHARE * self._sockets)))

    @property
    def status_connections(self) -> int:
        """Return how many connections each status listener may have open."""
        if self.descriptors <= 0:
            return MAX_STATUS_CONNECTIONS
        share = int(STATUS_SHARE * self._sockets)
        return max(MIN_STATUS_CONNECTIONS, min(MAX_STATUS_CONNECTIONS, share))

    @property
    def _sockets(self) -> int:
        return max(0, self.descriptors - RESERVED_DESCRIPTORS)
