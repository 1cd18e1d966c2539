"""Connections from a sidecar to the other sidecars of its deployment."""

import asyncio
from collections import defaultdict

from ..backing import Instance, InstanceKind, InstanceState
from ..channels import Transport
from ..config import ConfigStore
from ..membership import long_prompt_rank
from ..peer import LoadReport, PeerConnection, PeerLostError, PeerTiming, Ping, dial_peer

ASK_TIMEOUT_S = 2.0
DIAL_BATCH = 8
IDLE_CLOSE_S = 60.0


class SidecarPeers:
    """Dials sidecars of the same deployment on demand and closes idle connections.

    Args:
        name: The name of this sidecar.
        address: The address of this sidecar, "host:port".
        deployment: The deployment of its target.
        secret: The peer secret.
        transport: Carries the frames.
        timing: The heartbeats and timeouts of connections.
        store: The current configuration.
    """

    def __init__(
        self,
        *,
        name: str,
        address: str,
        deployment: str,
        secret: str,
        transport: Transport,
        timing: PeerTiming,
        store: ConfigStore,
    ) -> None:
        self._name = name
        self._address = address
        self._deployment = deployment
        self._secret = secret
        self._transport = transport
        self._timing = timing
        self._store = store
        self._instances: tuple[Instance, ...] = ()
        self._connections: dict[str, PeerConnection] = {}
        self._locks: defaultdict[str, asyncio.Lock] = defaultdict(asyncio.Lock)
        self._last_used_s: dict[str, float] = {}
        self._load_requests: defaultdict[str, list[asyncio.Future[LoadReport]]] = defaultdict(list)

    def update_instances(self, listed: tuple[Instance, ...]) -> None:
        """Apply the platform's list of instances; an empty one, as in an outage, is ignored."""
        if listed:
            self._instances = listed

    @property
    def has_list(self) -> bool:
        """Return whether the platform's list of instances is known."""
        return bool(self._instances)

    def batches(self) -> tuple[tuple[str, ...], ...]:
        """Return batches of the addresses to dial, sidecars for long work first.

        Those of evacuated data centres are left out, as their engines take no part of new prompts.
        """
        evacuated = self._store.state.evacuated
        others = [
            item
            for item in self._instances
            if item.kind is InstanceKind.ENGINE
            and item.deployment == self._deployment
            and item.state is InstanceState.LIVE
            and item.address != self._address
            and item.data_centre not in evacuated
        ]
        others.sort(key=lambda item: long_prompt_rank(item.name))
        addresses = [item.address for item in others]
        return tuple(
            tuple(addresses[start : start + DIAL_BATCH])
            for start in range(0, len(addresses), DIAL_BATCH)
        )

    async def load(self, address: str) -> LoadReport | None:
        """Request the load of a sidecar; None if it is unreachable or does not reply in time."""
        reply: asyncio.Future[LoadReport] = asyncio.get_running_loop().create_future()
        self._load_requests[address].append(reply)
        try:
            async with asyncio.timeout(ASK_TIMEOUT_S):
                connection = await self.get(address)
                await connection.send(Ping(config_offset=self._store.state.offset))
                return await reply
        except (PeerLostError, TimeoutError):
            await self.drop(address)
            return None
        finally:
            self._load_requests[address].remove(reply)
            if not self._load_requests[address]:
                del self._load_requests[address]

    async def get(self, address: str) -> PeerConnection:
        """Return an open connection, dialled if there is none; raises `PeerLostError`."""
        self._last_used_s[address] = asyncio.get_running_loop().time()
        async with self._locks[address]:
            connection = self._connections.get(address)
            if connection is None or connection.closed:
                connection = await self._dial(address)
                self._connections[address] = connection
            return connection

    async def drop(self, address: str) -> None:
        """Close a connection so that the next use opens a new one."""
        connection = self._connections.pop(address, None)
        if connection is not None:
            await connection.close()

    async def close_idle(self) -> None:
        """Close the connections that were not used for `IDLE_CLOSE_S`.

        A gang uses the connections to its members every second.
        """
        now_s = asyncio.get_running_loop().time()
        for address, used_s in list(self._last_used_s.items()):
            if now_s - used_s > IDLE_CLOSE_S and not self._locks[address].locked():
                del self._last_used_s[address]
                del self._locks[address]
                await self.drop(address)

    async def close(self) -> None:
        """Close all connections."""
        for address in list(self._connections):
            await self.drop(address)

    async def _dial(self, address: str) -> PeerConnection:
        names = (item.name for item in self._instances if item.address == address)
        return await dial_peer(
            transport=self._transport,
            address=address,
            name=self._name,
            secret=self._secret,
            timing=self._timing,
            expected_name=next(names, ""),
            on_load=lambda load: self._record_load(address, load),
            on_config=lambda _: None,
            config_offset=lambda: self._store.state.offset,
        )

    def _record_load(self, address: str, load: LoadReport) -> None:
        for reply in self._load_requests.get(address, ()):
            if not reply.done():
                reply.set_result(load)
