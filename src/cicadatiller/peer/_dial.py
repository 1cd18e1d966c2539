"""Opens connections to peers."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

from ..channels import Channel, ChannelClosedError, Transport, decode, encode
from ..kernel import ErrorKind, Event, FailureError, fail, log_event
from ._bodies import LoadReport, WorkspaceUse
from ._call import PeerLostError
from ._config_messages import ConfigRecords
from ._connection import PeerConnection, PeerTiming
from ._connection_messages import Challenge, Hello, Welcome
from ._evidence_messages import EvidenceRows
from ._expect import expect_message
from ._proof import compute_proof, is_valid_proof, new_nonce


async def dial_peer(
    *,
    transport: Transport,
    address: str,
    name: str,
    secret: str,
    timing: PeerTiming,
    expected_name: str = "",
    on_load: Callable[[LoadReport], None],
    on_config: Callable[[ConfigRecords], None],
    config_offset: Callable[[], int],
    offers_config: bool = False,
    on_use: Callable[[WorkspaceUse], None] | None = None,
    on_evidence: Callable[[str, EvidenceRows], None] | None = None,
) -> PeerConnection:
    """Open a connection to a peer; both sides prove that they know the peer secret.

    Args:
        transport: Opens the channel.
        address: The peer's address, "host:port".
        name: The name of this process.
        secret: The peer secret.
        timing: The heartbeat interval and timeouts.
        expected_name: The name of the peer; empty if it is not known. An address may belong to
            another instance than the platform's list says.
        on_load: Called with each load report of the peer.
        on_config: Called with configuration records that the peer sends.
        config_offset: Returns the offset of this process's current configuration.
        offers_config: Whether the peer may follow this process's configuration.
        on_use: Called with each report of this process's share in a workspace's use.
        on_evidence: Called with the peer's name and what it learnt of what crashes targets; None
            if this process does not take that.

    Raises:
        PeerLostError: If the peer can't be reached, its handshake fails, or it has another name.
    """
    channel: Channel | None = None
    try:
        async with asyncio.timeout(timing.handshake_s):
            channel = await transport.dial(address)
            hello = Hello(
                name=name,
                proof=b"",
                nonce=new_nonce(),
                config_offset=config_offset(),
                offers_config=offers_config,
                takes_evidence=on_evidence is not None,
            )
            welcome = await _handshake(channel, secret, hello)
    except (ChannelClosedError, FailureError, TimeoutError) as error:
        if channel is not None:
            await channel.close()
        is_refused = channel is None and isinstance(error, ChannelClosedError)
        raise PeerLostError(f"cannot reach {address}: {error}", is_refused=is_refused) from error
    if expected_name and welcome.name != expected_name:
        log_event(Event.PEER_REFUSED, peer=address, name=welcome.name, expected=expected_name)
        await channel.close()
        raise PeerLostError(f"{address} belongs to another instance by now", is_refused=True)
    log_event(Event.PEER_CONNECTED, peer=address, incarnation=welcome.incarnation)
    on_load(welcome.load)
    return PeerConnection(
        address=address,
        channel=channel,
        welcome=welcome,
        timing=timing,
        on_load=on_load,
        on_config=on_config,
        config_offset=config_offset,
        on_use=on_use,
        on_evidence=on_evidence,
    )


async def _handshake(channel: Channel, secret: str, hello: Hello) -> Welcome:
    challenge = expect_message(
        decode(await channel.receive()), Challenge, "a challenge as the first frame"
    )
    await channel.send(encode(replace(hello, proof=compute_proof(secret, challenge.nonce))))
    welcome = expect_message(
        decode(await channel.receive()), Welcome, "a welcome in reply to the hello"
    )
    if not is_valid_proof(welcome.proof, secret, hello.nonce):
        raise fail(
            ErrorKind.UNAUTHENTICATED,
            "the peer's proof of the peer secret is invalid; both processes need the same secret",
        )
    return welcome
