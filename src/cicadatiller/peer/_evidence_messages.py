"""The message with which processes tell each other what crashes targets."""

from dataclasses import dataclass
from typing import Any

from ..channels import message


@message("evidence", body_field="rows")
@dataclass(frozen=True, kw_only=True)
class EvidenceRows:
    """Sends what a process has learnt, unless the receiver knows it already.

    Attributes:
        rows: The evidence as `mesh.to_rows` returns it; not checked yet when received.
    """

    rows: Any
