"""Decides where requests go; pure code, without a network."""

from ._board import LoadBoard, TargetLoad
from ._calls import CallCandidate, place_call
from ._engine import pass_s, read_s, write_s
from ._policy import Candidate, Placing, Prompt, TicketShare, is_worth_it, place_prompt
from ._work import Work

__all__ = [
    "CallCandidate",
    "Candidate",
    "LoadBoard",
    "Placing",
    "Prompt",
    "TargetLoad",
    "TicketShare",
    "Work",
    "is_worth_it",
    "pass_s",
    "place_call",
    "place_prompt",
    "read_s",
    "write_s",
]
