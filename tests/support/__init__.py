"""Fixtures and helpers that the tests share."""

from .faults import Fault, FaultInjector
from .fleet import Fleet, Outcome
from .paused_loop import PausedCase, PausedLoop
from .triggers import Step, Trigger

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
