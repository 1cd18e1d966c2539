"""Evacuation: data centres whose targets get no new work, at the operator's request."""

from ._sink import EvacuationSink
from ._usage import count_requests

__all__ = ["EvacuationSink", "count_requests"]
