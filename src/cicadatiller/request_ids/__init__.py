"""Ids of requests and attempts."""

from ._ids import AttemptId, RequestId, new_request_id, parse_request_id

__all__ = [
    "AttemptId",
    "RequestId",
    "new_request_id",
    "parse_request_id",
]
