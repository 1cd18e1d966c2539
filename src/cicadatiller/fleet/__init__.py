"""The targets that an entry knows, their circuit breakers, and the store that lists them."""

from ._availability import Availability, select_open, select_usable, usable_from_s
from ._breaker import Breaker, HasBreaker, eject_failing, eject_slow, usable_targets
from ._cold_start import ColdLimits, ColdStart
from ._directory import Target, TargetDirectory
from ._fingerprint import (
    REQUEST_KINDS,
    FingerprintKind,
    digest_fields,
    kind_of,
    label_workspace_part,
    rule_of,
)
from ._fingerprint_breakers import (
    WEIGHING_DELAY_S,
    EvidenceListener,
    FingerprintBreakers,
    OpenBreaker,
)
from ._losses import RequestLoss, name_run
from ._request_identity import identify_request
from ._store import (
    UNSTATED_ERA,
    HistoryLostError,
    KeyedLog,
    KeyedPage,
    KeyedRecord,
    StorePosition,
    StoreUnavailableError,
    Topic,
)
from ._subset import SHARING_ENTRIES, TargetSubset, ring_order
from ._target import TargetRecord, TargetState

__all__ = [
    "ColdLimits",
    "ColdStart",
    "REQUEST_KINDS",
    "WEIGHING_DELAY_S",
    "SHARING_ENTRIES",
    "Availability",
    "UNSTATED_ERA",
    "Breaker",
    "HasBreaker",
    "HistoryLostError",
    "KeyedLog",
    "KeyedPage",
    "KeyedRecord",
    "OpenBreaker",
    "FingerprintBreakers",
    "FingerprintKind",
    "EvidenceListener",
    "RequestLoss",
    "StorePosition",
    "StoreUnavailableError",
    "Target",
    "TargetDirectory",
    "TargetRecord",
    "TargetState",
    "TargetSubset",
    "Topic",
    "digest_fields",
    "eject_failing",
    "eject_slow",
    "identify_request",
    "kind_of",
    "name_run",
    "label_workspace_part",
    "ring_order",
    "rule_of",
    "select_open",
    "select_usable",
    "usable_from_s",
    "usable_targets",
]
