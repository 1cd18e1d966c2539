"""Identifiers of requests, attempts and runs of a process."""

import base64
import binascii
import secrets
from dataclasses import dataclass

import cbor2
from returns.result import Failure as Err
from returns.result import Result, Success

REQUEST_ID_PREFIX = "ct1."
NONCE_BYTES = 16
MAX_REQUEST_ID_LENGTH = 512


@dataclass(frozen=True, kw_only=True)
class RequestId:
    """Identifies a request and the sidecar incarnation whose ledger runs it at most once.

    Attributes:
        address: The sidecar's peer address, "host:port".
        incarnation: The id of the run of the sidecar's process; see `new_incarnation`.
        workspace: The workspace that the request belongs to.
        sequence: The position among the ids that the incarnation has issued.
        nonce: Random, so that ids can't be guessed; 32 hex digits.
    """

    address: str
    incarnation: str
    workspace: str
    sequence: int
    nonce: str

    def __str__(self) -> str:
        parts = [self.address, self.incarnation, self.workspace, self.sequence, self.nonce]
        return REQUEST_ID_PREFIX + base64.urlsafe_b64encode(cbor2.dumps(parts)).decode().rstrip("=")


def new_request_id(*, address: str, incarnation: str, workspace: str, sequence: int) -> RequestId:
    """Create an id with a random nonce."""
    return RequestId(
        address=address,
        incarnation=incarnation,
        workspace=workspace,
        sequence=sequence,
        nonce=secrets.token_hex(NONCE_BYTES),
    )


def parse_request_id(text: str) -> Result[RequestId, str]:
    """Parse the string form of a request id.

    Returns:
        The id, or an error message for the caller.
    """
    if not text.startswith(REQUEST_ID_PREFIX) or len(text) > MAX_REQUEST_ID_LENGTH:
        return Err("not a request id of this system; use one that OpenRequest returned")
    encoded = text.removeprefix(REQUEST_ID_PREFIX)
    try:
        parts = cbor2.loads(base64.urlsafe_b64decode(encoded + "=" * (-len(encoded) % 4)))
    except (binascii.Error, ValueError, cbor2.CBORDecodeError):
        return Err("the request id is damaged; copy it whole")
    if not isinstance(parts, list) or [type(part) for part in parts] != [str, str, str, int, str]:
        return Err("the request id is damaged; copy it whole")
    address, incarnation, workspace, sequence, nonce = parts
    request_id = RequestId(
        address=address,
        incarnation=incarnation,
        workspace=workspace,
        sequence=sequence,
        nonce=nonce,
    )
    return Success(request_id)


@dataclass(frozen=True, kw_only=True)
class AttemptId:
    """Identifies one attempt at a request.

    Attributes:
        request_id: The request.
        number: The number of the attempt, from 1.
    """

    request_id: str
    number: int
