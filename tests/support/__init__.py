"""Fixtures and helpers that the tests share."""

from .faults import Fault, FaultInjector, Step, Trigger
from .fleet import Fleet, Outcome
from .paused_loop import PausedCase, PausedLoop

__all__ = [
    "Fault",
    "FaultInjector",
    "Fleet",
    "Outcome",
    "PausedCase",
    "PausedLoop",
    "Step",
    "Trigger",
]
