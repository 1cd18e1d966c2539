"""Selects the targets of requests. Pure computation: no I/O and no event loop."""

from ._board import LoadBoard, TargetLoad
from ._calls import CallCandidate, place_call
from ._demand import Demand, expected_demand
from ._engine import pass_s, read_s, write_s
from ._policy import Candidate, Placing, TicketShare, Verdict, judge, place_prompt
from ._prompt import Prompt
from ._queue import Backlog, least_first_s, queue_turn
from ._work import Work

__all__ = [
    "Backlog",
    "CallCandidate",
    "Candidate",
    "Demand",
    "LoadBoard",
    "Placing",
    "Prompt",
    "TargetLoad",
    "TicketShare",
    "Verdict",
    "Work",
    "expected_demand",
    "judge",
    "least_first_s",
    "pass_s",
    "place_call",
    "place_prompt",
    "queue_turn",
    "read_s",
    "write_s",
]
