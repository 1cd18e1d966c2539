"""The server that accepts connections from peers."""

import asyncio
from typing import Protocol

from ..channels import Channel, ChannelClosedError, Listener, Transport, decode, encode
from ..kernel import ErrorKind, Event, FailureError, TaskSet, fail, log_event
from ._bodies import FailureBody, LoadReport
from ._config_messages import ConfigRecords
from ._connection import PeerTiming
from ._connection_messages import Challenge, Hello, Leave, Ping, Pong, Welcome
from ._ended import TargetEndedError
from ._evidence_messages import EvidenceRows
from ._expect import expect_message
from ._link import PeerLink
from ._proof import compute_proof, is_valid_proof, new_nonce
from ._request_messages import Failed


class PeerService(Protocol):
    """Handles the messages that a process receives from its peers."""

    @property
    def incarnation(self) -> str:
        """Return the id of this run of the process."""

    def load_report(self) -> LoadReport:
        """Return the current load."""

    async def handle(self, message: object, link: PeerLink) -> None:
        """Handle one message that opens an exchange; runs in a task of its own.

        Raises:
            FailureError: Sent to the peer as `Failed`.
        """

    def on_peer_config(self, link: PeerLink, records: ConfigRecords | None) -> None:
        """Called when a peer connects or reports its configuration offset, or with its records."""

    def on_peer_evidence(self, link: PeerLink, message: EvidenceRows | None) -> None:
        """Called when a peer connects, or with what it learnt of what crashes targets."""


class PeerServer:
    """Accepts and authenticates peers, and runs a task for each connection and exchange.

    Args:
        transport: Accepts the channels.
        address: The address to listen at, "host:port".
        name: The name of this process.
        secret: The peer secret.
        timing: The timeouts of connections.
        service: Handles the messages.
    """

    def __init__(
        self,
        *,
        transport: Transport,
        address: str,
        name: str,
        secret: str,
        timing: PeerTiming,
        service: PeerService,
    ) -> None:
        self._transport = transport
        self._address = address
        self._name = name
        self._secret = secret
        self._timing = timing
        self._service = service
        self._tasks = TaskSet()
        self._listener: Listener | None = None

    async def start(self) -> None:
        """Start to accept connections."""
        self._listener = await self._transport.listen(self._address, self._serve)

    async def close(self) -> None:
        """Close all connections and stop listening."""
        await self._tasks.close()
        if self._listener is not None:
            await self._listener.close()

    async def _serve(self, channel: Channel) -> None:
        link: PeerLink | None = None
        try:
            async with asyncio.timeout(self._timing.handshake_s):
                link = await self._handshake(channel)
            watch = self._tasks.start(
                self._monitor_frames(channel, link), name=f"watch {link.name}"
            )
            try:
                await self._read(channel, link)
            finally:
                watch.cancel()
        except (ChannelClosedError, TimeoutError):
            pass
        except FailureError as error:
            log_event(Event.PEER_REFUSED, error=str(error))
            await self._refuse(channel, error)
        finally:
            if link is not None:
                link.close()
            await channel.close()

    async def _refuse(self, channel: Channel, error: FailureError) -> None:
        body = FailureBody.of(error.failure)
        try:
            await channel.send(encode(Failed(call=0, attempt=0, failure=body)))
        except ChannelClosedError:
            return

    async def _handshake(self, channel: Channel) -> PeerLink:
        nonce = new_nonce()
        await channel.send(encode(Challenge(nonce=nonce)))
        hello = expect_message(decode(await channel.receive()), Hello, "a hello as the first frame")
        if not is_valid_proof(hello.proof, self._secret, nonce):
            raise fail(
                ErrorKind.UNAUTHENTICATED,
                "proof of the peer secret is invalid; both processes need the same secret",
            )
        link = PeerLink(
            channel=channel,
            name=hello.name,
            config_offset=hello.config_offset,
            offers_config=hello.offers_config,
            takes_evidence=hello.takes_evidence,
        )
        welcome = Welcome(
            name=self._name,
            proof=compute_proof(self._secret, hello.nonce),
            incarnation=self._service.incarnation,
            load=self._service.load_report(),
            takes_evidence=True,
        )
        await channel.send(encode(welcome))
        self._service.on_peer_config(link, None)
        self._service.on_peer_evidence(link, None)
        return link

    async def _monitor_frames(self, channel: Channel, link: PeerLink) -> None:
        """Close the connection if no frame arrives for `silence_s` while the peer reads replies."""
        loop = asyncio.get_running_loop()
        while not link.closed:
            await asyncio.sleep(self._timing.silence_s)
            silent_s = loop.time() - link.last_frame_s
            if link.has_readers and silent_s > self._timing.silence_s:
                log_event(
                    Event.PEER_LOST,
                    peer=link.name,
                    reason=f"no frame received for {silent_s:.1f} s",
                )
                link.close()
                await channel.close()

    async def _read(self, channel: Channel, link: PeerLink) -> None:
        while True:
            message = decode(await channel.receive())
            link.last_frame_s = asyncio.get_running_loop().time()
            if isinstance(message, Leave):
                link.leave(message.call)
                continue
            if isinstance(message, Ping):
                link.config_offset = max(link.config_offset, message.config_offset)
                self._service.on_peer_config(link, None)
                await link.send(Pong(load=self._service.load_report()))
                continue
            if isinstance(message, ConfigRecords):
                self._service.on_peer_config(link, message)
                continue
            if isinstance(message, EvidenceRows):
                self._service.on_peer_evidence(link, message)
                continue
            if not link.calls.is_new(getattr(message, "call", 0)):
                log_event(Event.FRAME_DROPPED, peer=link.name)
                continue
            self._tasks.start(self._handle(message, link), name=f"exchange of {link.name}")

    async def _handle(self, message: object, link: PeerLink) -> None:
        try:
            await self._service.handle(message, link)
        except FailureError as error:
            await link.send(self._failed(message, error))
        except Exception as error:
            # Without a reply, the peer would wait until its time limit.
            log_event(Event.TASK_FAILED, task=f"exchange of {link.name}", error=repr(error))
            unexpected = fail(ErrorKind.INTERNAL, "the exchange failed with an unexpected error")
            await link.send(self._failed(message, unexpected))

    def _failed(self, message: object, error: FailureError) -> Failed:
        ended_run, ended_age_s = "", 0.0
        if isinstance(error, TargetEndedError):
            ended_run = error.run
            ended_age_s = round(asyncio.get_running_loop().time() - error.ended_s, 3)
        return Failed(
            call=getattr(message, "call", 0),
            attempt=getattr(message, "attempt", 0),
            failure=FailureBody.of(error.failure),
            request_id=getattr(message, "request_id", ""),
            ended_run=ended_run,
            ended_age_s=ended_age_s,
            load=self._service.load_report(),
        )
