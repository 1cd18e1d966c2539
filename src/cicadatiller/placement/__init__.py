"""Selects the targets of requests. Pure computation: no I/O and no event loop."""

from ._board import LoadBoard, TargetLoad
from ._calls import CallCandidate, place_call
from ._candidate import Candidate
from ._demand import Demand, expected_demand
from ._engine import pass_s, read_s, write_s
from ._placement import Placement, ReservationShare
from ._policy import place_prompt
from ._prompt import Prompt
from ._queue import Ahead, Backlog, min_first_event_s, queue_sort_key
from ._slots import expected_slot_interval_s
from ._verdict import Verdict, evaluate_placement
from ._work import Work

__all__ = [
    "Ahead",
    "Backlog",
    "CallCandidate",
    "Candidate",
    "Demand",
    "LoadBoard",
    "Placement",
    "Prompt",
    "TargetLoad",
    "ReservationShare",
    "Verdict",
    "Work",
    "evaluate_placement",
    "expected_demand",
    "expected_slot_interval_s",
    "min_first_event_s",
    "pass_s",
    "place_call",
    "place_prompt",
    "queue_sort_key",
    "read_s",
    "write_s",
]
