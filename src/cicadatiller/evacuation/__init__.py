"""Evacuation: data centres whose targets get no new work, at the operator's request."""

from ._sink import EvacuationSink

__all__ = ["EvacuationSink"]
