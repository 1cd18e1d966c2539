"""The dialling side of a connection to a peer."""

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass

from ..channels import Channel, ChannelClosedError, decode, encode
from ..kernel import Event, FailureError, TaskSet, log_event
from ._bodies import LoadReport, WorkspaceUse
from ._call import PeerCall, PeerLostError
from ._config_messages import ConfigRecords, FollowConfig
from ._connection_messages import Leave, Ping, Pong, Welcome
from ._ended import TargetEndedError
from ._evidence_messages import EvidenceRows
from ._exchanges import ExchangeMessage
from ._request_messages import Accepted, Failed, Finished, Tokens

_STREAM_FRAMES = (Accepted, Tokens, Finished)
# No two exchanges of a process have the same number, so that a frame which reaches a later
# connection is not taken for one of an exchange there.
_numbers = itertools.count(1)


@dataclass(frozen=True, kw_only=True)
class PeerTiming:
    """Heartbeat interval and timeouts of connections to peers.

    Attributes:
        heartbeat_s: The time between pings while exchanges are open.
        silence_s: A connection with open exchanges on which no frame arrives for this time is lost.
        handshake_s: The time limit for opening a connection, including the handshake.
    """

    heartbeat_s: float = 0.5
    silence_s: float = 1.5
    handshake_s: float = 2.0

    def __post_init__(self) -> None:
        if not 0 < self.heartbeat_s < self.silence_s:
            raise ValueError(
                f"heartbeat_s ({self.heartbeat_s:g}) must be above zero and below silence_s "
                f"({self.silence_s:g})"
            )


class PeerConnection:
    """An authenticated connection to one incarnation of a peer.

    Args:
        channel: The open channel.
        welcome: The peer's reply to the hello.
        timing: The heartbeat interval and timeouts.
        on_load: Called with each load report of the peer.
        on_config: Called with configuration records that the peer sends.
        config_offset: Returns the offset of this process's current configuration.
        on_use: Called with each report of this process's share in a workspace's use.
        on_evidence: Called with the peer's name and what it learnt of what crashes targets.

    Attributes:
        address: The peer's address.
        incarnation: The peer's incarnation.
        name: The peer's name.
        closed: Whether the connection is closed.
        is_followed: Whether the peer asked to be sent each change of the configuration at once.
        takes_evidence: Whether the peer takes `EvidenceRows`.
    """

    def __init__(
        self,
        *,
        address: str,
        channel: Channel,
        welcome: Welcome,
        timing: PeerTiming,
        on_load: Callable[[LoadReport], None],
        on_config: Callable[[ConfigRecords], None],
        config_offset: Callable[[], int],
        on_use: Callable[[WorkspaceUse], None] | None = None,
        on_evidence: Callable[[str, EvidenceRows], None] | None = None,
    ) -> None:
        self.address = address
        self.incarnation = welcome.incarnation
        self.name = welcome.name
        self._channel = channel
        self._timing = timing
        self._on_load = on_load
        self._on_config = on_config
        self._on_use = on_use
        self._on_evidence = on_evidence
        self._config_offset = config_offset
        self._calls: dict[int, PeerCall] = {}
        self._tasks = TaskSet()
        self._last_frame_s = asyncio.get_running_loop().time()
        self._heartbeat_needed = asyncio.Event()
        self.closed = False
        self.is_followed = False
        self.takes_evidence = welcome.takes_evidence
        self._tasks.start(self._read(), name=f"read {address}")
        self._tasks.start(self._run_heartbeat(), name=f"watch {address}")

    @property
    def idle(self) -> bool:
        """Return whether no exchange is open."""
        return not self._calls

    def open_call(self) -> PeerCall:
        """Open an exchange; raises `PeerLostError` if the connection is closed."""
        if self.closed:
            raise PeerLostError(f"connection to {self.address} is closed")
        call = PeerCall(
            number=next(_numbers),
            address=self.address,
            forget=self.forget,
            leave=self.leave,
        )
        if not self._calls:
            self._last_frame_s = asyncio.get_running_loop().time()
        self._calls[call.number] = call
        self._heartbeat_needed.set()
        return call

    async def send(self, message: object) -> None:
        """Send a message; raises `PeerLostError`."""
        try:
            await self._channel.send(encode(message))
        except ChannelClosedError as error:
            await self._close_lost(str(error))
            raise PeerLostError(str(error)) from error

    async def ask(self, make: Callable[[int], object], *, timeout_s: float) -> object:
        """Send one message and return its one reply.

        Args:
            make: Returns the message for the number of the exchange.
            timeout_s: The time limit for sending the message and receiving the reply.

        Raises:
            PeerLostError: If the connection is lost or no reply arrives within `timeout_s`.
            FailureError: If the reply is `Failed`; `TargetEndedError` if it names a run that ended.
        """
        call = self.open_call()
        try:
            async with asyncio.timeout(timeout_s):
                await self.send(make(call.number))
                reply = await call.next_reply()
                while isinstance(reply, _STREAM_FRAMES):
                    log_event(Event.FRAME_DROPPED, peer=self.address)
                    reply = await call.next_reply()
        except TimeoutError as error:
            raise PeerLostError(f"{self.address} did not reply within {timeout_s} s") from error
        finally:
            call.close()
        if isinstance(reply, Failed):
            raise _to_error(reply)
        return reply

    async def check(self) -> None:
        """Ping the peer; raises `PeerLostError` if no frame arrives within `silence_s`."""
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        await self.send(Ping(config_offset=self._config_offset()))
        await asyncio.sleep(self._timing.silence_s)
        if self._last_frame_s < sent_s and not self.closed:
            await self._close_lost(f"no frame received for {self._timing.silence_s} s")
        if self.closed:
            raise PeerLostError(f"connection to {self.address} was lost")

    def forget(self, number: int) -> None:
        """Drop further replies to an exchange."""
        self._calls.pop(number, None)
        if not self._calls:
            self._heartbeat_needed.clear()

    def leave(self, number: int) -> None:
        """Drop further replies to an exchange and send `Leave` to the peer."""
        known = number in self._calls
        self.forget(number)
        if known and not self.closed:
            self._tasks.start(self._try_send(Leave(call=number)), name=f"leave {self.address}")

    async def close(self) -> None:
        """Close the connection; open exchanges end with `PeerLostError`."""
        await self._close_once()
        await self._tasks.close()

    async def _close_lost(self, reason: str) -> None:
        if not self.closed:
            log_event(Event.PEER_LOST, peer=self.address, reason=reason)
            await self._close_once()

    async def _close_once(self) -> None:
        if self.closed:
            return
        self.closed = True
        for call in list(self._calls.values()):
            call.put(None)
        self._heartbeat_needed.set()
        await self._channel.close()

    async def _read(self) -> None:
        loop = asyncio.get_running_loop()
        while not self.closed:
            try:
                frame = await self._channel.receive()
            except ChannelClosedError as error:
                await self._close_lost(str(error))
                return
            self._last_frame_s = loop.time()
            try:
                self._dispatch(decode(frame))
            except FailureError as error:
                log_event(Event.PEER_REFUSED, peer=self.address, error=str(error))
                await self._close_lost(str(error))

    def _dispatch(self, message: object) -> None:
        if isinstance(message, FollowConfig):
            self.is_followed = message.wanted
        load = getattr(message, "load", None)
        if isinstance(load, LoadReport):
            self._on_load(load)
        use = getattr(message, "use", None)
        if isinstance(use, WorkspaceUse) and self._on_use is not None:
            self._on_use(use)
        if isinstance(message, Pong | FollowConfig):
            return
        if isinstance(message, ConfigRecords):
            self._on_config(message)
            return
        if isinstance(message, EvidenceRows):
            if self._on_evidence is not None:
                self._on_evidence(self.name, message)
            return
        if not isinstance(message, ExchangeMessage):
            return
        call = self._calls.get(message.call)
        if call is None:
            log_event(Event.FRAME_DROPPED, peer=self.address, call=message.call)
            return
        call.put(message)

    async def _run_heartbeat(self) -> None:
        loop = asyncio.get_running_loop()
        while not self.closed:
            await self._heartbeat_needed.wait()
            if self.closed:
                return
            if loop.time() - self._last_frame_s > self._timing.silence_s:
                await self._close_lost(f"no frame received for {self._timing.silence_s} s")
                return
            ping = Ping(config_offset=self._config_offset())
            self._tasks.start(self._try_send(ping), name=f"ping {self.address}")
            await asyncio.sleep(self._timing.heartbeat_s)

    async def _try_send(self, message: object) -> None:
        try:
            await self.send(message)
        except PeerLostError:
            return


def _to_error(reply: Failed) -> FailureError:
    failure = reply.failure.to_failure()
    if not reply.ended_run:
        return FailureError(failure)
    ended_s = asyncio.get_running_loop().time() - max(0.0, reply.ended_age_s)
    return TargetEndedError(failure, run=reply.ended_run, ended_s=ended_s)
