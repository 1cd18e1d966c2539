"""Transports whose listening side is behind the relay of the chaos bench.

Peers dial the address of the relay; the sidecar itself listens on that port plus an offset from
`PORT_OFFSETS`. Two sidecars on one slot use different transports, hence different ports.
"""

from cicadatiller.channels import (
    Channel,
    Handler,
    Listener,
    WebSocketTransport,
    split_address,
    transport_registry,
)

FIRST = "bench-behind-relay"
SECOND = "bench-behind-relay-too"
PORT_OFFSETS = {FIRST: 100, SECOND: 200}


class BehindRelayTransport:
    """WebSocket channels; listens on a higher port than the one that peers dial.

    Args:
        port_offset: Difference between the two ports.
    """

    def __init__(self, *, port_offset: int) -> None:
        self._inner = WebSocketTransport()
        self._port_offset = port_offset

    async def dial(self, address: str) -> Channel:
        """Open a channel."""
        return await self._inner.dial(address)

    async def listen(self, address: str, handler: Handler) -> Listener:
        """Accept channels from the relay."""
        host, port = split_address(address)
        return await self._inner.listen(f"{host}:{port + self._port_offset}", handler)


@transport_registry.register(FIRST)
def open_first() -> BehindRelayTransport:
    """Return the transport of the first sidecar on a slot."""
    return BehindRelayTransport(port_offset=PORT_OFFSETS[FIRST])


@transport_registry.register(SECOND)
def open_second() -> BehindRelayTransport:
    """Return the transport of a second sidecar on a slot."""
    return BehindRelayTransport(port_offset=PORT_OFFSETS[SECOND])
