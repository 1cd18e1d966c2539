"""Load generator: sends a configured mix of requests and measures latency and failures."""

from ._driver import LoadDriver
from ._main import main
from ._measure import RunResult
from ._mix import LengthBand, Mix, WorkspaceShare
from ._plan import PlannedRequest, make_payload, make_prompt, plan_requests
from ._report import to_json, to_text

__all__ = [
    "LengthBand",
    "LoadDriver",
    "Mix",
    "PlannedRequest",
    "RunResult",
    "WorkspaceShare",
    "main",
    "make_payload",
    "make_prompt",
    "plan_requests",
    "to_json",
    "to_text",
]
