"""Exchanges what crashes targets, among the entries of a platform and among those of the fleet."""

from ._exchange import EvidenceExchange
from ._stored import StoredEvidence
from ._waiting import find_settled, record_weighed

__all__ = ["EvidenceExchange", "StoredEvidence", "find_settled", "record_weighed"]
