"""The modules that all programs share: errors, log events, checks, tasks and plug-ins."""

from ._allocator import map_large_blocks
from ._bridge import LoopBridge
from ._build import read_build
from ._checks import (
    SettingsError,
    above_zero,
    check_values,
    host_and_port,
    not_empty,
    not_negative,
)
from ._errors import (
    ERROR_RULES,
    Advice,
    ErrorKind,
    ErrorRule,
    Failure,
    FailureError,
    RpcCode,
    RunState,
    fail,
    failure,
)
from ._events import Event, log_event
from ._exit_codes import EXIT_BAD_SETTINGS, EXIT_FAILED
from ._http_timeouts import HttpTimeouts
from ._incarnation import new_incarnation
from ._json import (
    DocumentError,
    get_address,
    get_integer,
    get_number,
    get_string,
    load_json,
    load_object,
)
from ._log_output import LogOutput
from ._process import TaskSet
from ._prompts import CHARACTERS_PER_TOKEN, PROMPT_BUCKETS, count_prompt_tokens, prompt_bucket
from ._registry import Registry
from ._rendezvous import MAX_RENDEZVOUS_WEIGHT, rendezvous_weight
from ._sockets import is_reset, unacknowledged_bytes
from ._stall import StallWatch
from ._states import RequestState
from ._stray import StrayAction, StrayResponse, log_stray
from ._token_bucket import BucketRate, TokenBucket
from ._unreadable import UnreadableRecords

__all__ = [
    "StrayAction",
    "StrayResponse",
    "log_stray",
    "MAX_RENDEZVOUS_WEIGHT",
    "Advice",
    "CHARACTERS_PER_TOKEN",
    "DocumentError",
    "ERROR_RULES",
    "EXIT_BAD_SETTINGS",
    "EXIT_FAILED",
    "ErrorKind",
    "ErrorRule",
    "Event",
    "Failure",
    "FailureError",
    "HttpTimeouts",
    "LogOutput",
    "LoopBridge",
    "PROMPT_BUCKETS",
    "Registry",
    "RequestState",
    "RpcCode",
    "RunState",
    "StallWatch",
    "SettingsError",
    "TaskSet",
    "BucketRate",
    "TokenBucket",
    "UnreadableRecords",
    "above_zero",
    "check_values",
    "count_prompt_tokens",
    "fail",
    "failure",
    "get_address",
    "get_integer",
    "get_number",
    "get_string",
    "host_and_port",
    "is_reset",
    "load_json",
    "load_object",
    "map_large_blocks",
    "log_event",
    "new_incarnation",
    "not_empty",
    "not_negative",
    "prompt_bucket",
    "read_build",
    "rendezvous_weight",
    "unacknowledged_bytes",
]
