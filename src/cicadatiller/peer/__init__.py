"""Messages and connections between entries and sidecars."""

from ._bodies import FailureBody, LoadReport, WorkspaceUse
from ._call import PeerCall, PeerLostError
from ._checksum import AnswerChecksum, checksum_bytes
from ._config_messages import ConfigRecord, ConfigRecords, FollowConfig
from ._connection import PeerConnection, PeerTiming
from ._connection_messages import Challenge, Hello, Leave, Ping, Pong, Welcome
from ._dial import dial_peer
from ._ended import TargetEndedError
from ._evidence_messages import EvidenceRows
from ._evidence_spread import EvidenceSpread
from ._expect import expect_message
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
from ._server import PeerServer, PeerService

__all__ = [
    "Accepted",
    "AnswerChecksum",
    "Attach",
    "CallWork",
    "Cancel",
    "Challenge",
    "ConfigRecord",
    "ConfigRecords",
    "Drain",
    "Drained",
    "EvidenceRows",
    "EvidenceSpread",
    "Failed",
    "FailureBody",
    "Finished",
    "FollowConfig",
    "GenerateWork",
    "GetState",
    "Hello",
    "Leave",
    "LoadReport",
    "Open",
    "Opened",
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
    "TargetEndedError",
    "Tokens",
    "Tombstone",
    "Welcome",
    "WorkspaceUse",
    "checksum_bytes",
    "dial_peer",
    "expect_message",
]
