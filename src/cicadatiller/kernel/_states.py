"""The states of a request."""

import enum


class RequestState(enum.Enum):
    """The state of a request in the ledger of its sidecar."""

    OPENED = "OPENED"
    QUEUED = "QUEUED"
    RUNNING = "RUNNING"
    DONE = "DONE"
    FAILED = "FAILED"
    TOMBSTONED = "TOMBSTONED"
