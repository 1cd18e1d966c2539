"""Messages, transports and connections between the processes of the system."""

from ._bodies import (
    FailureBody,
    LoadReport,
    WorkspaceUse,
)
from ._call import PeerCall, PeerLostError
from ._checksum import (
    AnswerChecksum,
    checksum_bytes,
)
from ._codec import (
    PROTOCOL_VERSION,
    decode,
    encode,
    message,
)
from ._config_messages import (
    ConfigRecord,
    ConfigRecords,
    FollowConfig,
)
from ._connection import PeerConnection, PeerTiming
from ._connection_messages import (
    Challenge,
    Hello,
    Leave,
    Ping,
    Pong,
    Welcome,
)
from ._dial import dial_peer
from ._gang_messages import (
    Prefill,
    Prefilled,
    Release,
    Released,
    Reserve,
    Reserved,
    SegmentRef,
)
from ._link import PeerLink
from ._request_messages import (
    Accepted,
    Attach,
    CallWork,
    Cancel,
    Drain,
    Drained,
    Failed,
    Finished,
    GenerateWork,
    GetState,
    Open,
    Opened,
    StateReply,
    Submit,
    Tokens,
    Tombstone,
)
from ._server import (
    PeerServer,
    PeerService,
)
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
    "Accepted",
    "AnswerChecksum",
    "Attach",
    "CallWork",
    "Cancel",
    "Challenge",
    "Channel",
    "ChannelClosedError",
    "ConfigRecord",
    "ConfigRecords",
    "Drain",
    "Drained",
    "Failed",
    "FailureBody",
    "Finished",
    "FollowConfig",
    "GenerateWork",
    "GetState",
    "Handler",
    "Hello",
    "Leave",
    "Listener",
    "LoadReport",
    "Open",
    "Opened",
    "PROTOCOL_VERSION",
    "PeerCall",
    "PeerConnection",
    "PeerLink",
    "PeerLostError",
    "PeerServer",
    "PeerService",
    "PeerTiming",
    "Ping",
    "Pong",
    "Prefill",
    "Prefilled",
    "Release",
    "Released",
    "Reserve",
    "Reserved",
    "SegmentRef",
    "StateReply",
    "Submit",
    "Tokens",
    "Tombstone",
    "Transport",
    "WebSocketTransport",
    "Welcome",
    "WorkspaceUse",
    "checksum_bytes",
    "decode",
    "dial_peer",
    "encode",
    "message",
    "open_transport",
    "split_address",
    "transport_registry",
]
