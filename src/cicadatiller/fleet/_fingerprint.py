"""Fingerprints of what a target is given: what several requests have in common.

On the wire and in logs, a part of a prompt is its id, and the others have the name of their kind
before a colon, which no id of a part has.
"""

import enum
import hashlib
from dataclasses import dataclass, replace

DIGEST_CHARACTERS = 24
KIND_SEPARATOR = ":"
WORKSPACE_SEPARATOR = "@"


class FingerprintKind(enum.Enum):
    """What a fingerprint identifies; the later kinds are shared by fewer requests."""

    PART = ""
    """A part of a prompt, which requests of any workspace may share."""

    WORKSPACE_PART = "workspace-part"
    """A part of a prompt in the requests of one workspace."""

    REQUEST = "request"
    """Method, host, path, workspace and body of a request."""

    # Its name is that of older versions, which had it for queries only.
    EXACT = "query"
    """The same, with the query and the prompt, of a request that has one of these."""

    def label(self, value: str) -> str:
        """Return the fingerprint of this kind with a value."""
        return f"{self.value}{KIND_SEPARATOR}{value}" if self.value else value


@dataclass(frozen=True, kw_only=True, slots=True)
class EvidenceRule:
    """How much evidence opens the breaker of a kind of fingerprint, and how it is probed.

    Attributes:
        targets: The number of targets that ended.
        steps: The number of losses of which each was sent after the one before.
        steps_for_trial: The same, after which a request is sent as a probe at once.
        steps_if_known: The same, of a fingerprint that finished lately.
        requests: The number of different requests.
        is_shared: Whether the requests must come from several workspaces.
        target_share: The least share of these among all targets that ended at about the same
            time; 0 for any.
        max_age_s: How long losses and finished requests count.
        max_probes: The number of probes; None for no limit.
        kept_s: How long a breaker is kept at least.
    """

    targets: int
    steps: int
    steps_for_trial: int
    steps_if_known: int
    requests: int
    is_shared: bool = False
    target_share: float = 0.0
    max_age_s: float
    max_probes: int | None = None
    kept_s: float = 0.0


# One request may be lost several times by chance, as it is sent again, so a part needs two.
WORKSPACE_PART_RULE = EvidenceRule(
    targets=3, steps=3, steps_for_trial=3, steps_if_known=6, requests=2, max_age_s=600.0
)
# What one workspace sends is no reason to refuse the requests of others.
PART_RULE = replace(WORKSPACE_PART_RULE, is_shared=True)
# No other request has something in common with it. Probes are few, as a copy may reach a target
# through an entry that has not heard of the breaker, too.
REQUEST_RULE = EvidenceRule(
    targets=3,
    steps=2,
    steps_for_trial=1,
    steps_if_known=6,
    requests=1,
    target_share=0.5,
    max_age_s=3600.0,
    max_probes=2,
    kept_s=86_400.0,
)
RULES = {
    FingerprintKind.PART: PART_RULE,
    FingerprintKind.WORKSPACE_PART: WORKSPACE_PART_RULE,
    FingerprintKind.REQUEST: REQUEST_RULE,
    FingerprintKind.EXACT: REQUEST_RULE,
}
# Kinds whose fingerprints stand for one request, not for what it shares with others.
REQUEST_KINDS = frozenset({FingerprintKind.REQUEST, FingerprintKind.EXACT})
# Kinds whose fingerprints many requests share.
PART_KINDS = tuple(kind for kind in FingerprintKind if kind not in REQUEST_KINDS)
_RANKS = {kind: rank for rank, kind in enumerate(FingerprintKind)}
_KINDS = {kind.value: kind for kind in FingerprintKind}


def digest_fields(*fields: bytes) -> str:
    """Return a digest of fields, of which only the last may have line breaks."""
    return hashlib.sha256(b"\n".join(fields)).hexdigest()[:DIGEST_CHARACTERS]


def label_workspace_part(part: str, workspace: str) -> str:
    """Return the fingerprint of a part of a prompt in the requests of one workspace."""
    return FingerprintKind.WORKSPACE_PART.label(f"{part}{WORKSPACE_SEPARATOR}{workspace}")


def kind_name(fingerprint: str) -> str:
    """Return the name of a fingerprint's kind; one of an unknown kind counts as a part."""
    name, separator, _ = fingerprint.partition(KIND_SEPARATOR)
    return name if separator and name in _KINDS else FingerprintKind.PART.value


def kind_of(fingerprint: str) -> FingerprintKind:
    """Return the kind of a fingerprint."""
    return _KINDS[kind_name(fingerprint)]


def is_part(fingerprint: str) -> bool:
    """Return whether a fingerprint is that of a part of prompts."""
    return kind_of(fingerprint) in PART_KINDS


def rule_of(fingerprint: str) -> EvidenceRule:
    """Return the rule of a fingerprint's kind."""
    return RULES[kind_of(fingerprint)]


def rank_of(fingerprint: str) -> int:
    """Return a number that is higher for kinds whose fingerprints fewer requests share."""
    return _RANKS[kind_of(fingerprint)]
