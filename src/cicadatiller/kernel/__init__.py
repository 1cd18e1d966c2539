"""The modules that all programs share: errors, log events, ids, settings, tasks and plug-ins."""

from ._bridge import LoopBridge
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
from ._http_timeouts import HttpTimeouts
from ._ids import AttemptId, RequestId, new_incarnation, new_request_id, parse_request_id
from ._log_output import LogOutput
from ._network_settings import EndpointSettings, HttpOptions, PeerTlsSettings, registered
from ._process import TaskSet
from ._program import (
    EXIT_BAD_SETTINGS,
    load_or_report,
    run_from_command_line,
    run_program,
)
from ._prompts import CHARACTERS_PER_TOKEN, PROMPT_BUCKETS, count_prompt_tokens, prompt_bucket
from ._registry import Registry
from ._rendezvous import MAX_RENDEZVOUS_WEIGHT, rendezvous_weight
from ._settings import (
    SecretSetting,
    SettingsError,
    above_zero,
    check_values,
    host_and_port,
    load_settings,
    not_empty,
    not_negative,
    parse_settings,
)
from ._stall import StallWatch
from ._states import RequestState

__all__ = [
    "MAX_RENDEZVOUS_WEIGHT",
    "Advice",
    "AttemptId",
    "CHARACTERS_PER_TOKEN",
    "ERROR_RULES",
    "EXIT_BAD_SETTINGS",
    "EndpointSettings",
    "ErrorKind",
    "ErrorRule",
    "Event",
    "Failure",
    "FailureError",
    "HttpOptions",
    "HttpTimeouts",
    "LogOutput",
    "LoopBridge",
    "PROMPT_BUCKETS",
    "PeerTlsSettings",
    "Registry",
    "RequestId",
    "RequestState",
    "RpcCode",
    "RunState",
    "SecretSetting",
    "StallWatch",
    "SettingsError",
    "TaskSet",
    "above_zero",
    "check_values",
    "count_prompt_tokens",
    "fail",
    "failure",
    "host_and_port",
    "load_or_report",
    "load_settings",
    "log_event",
    "new_incarnation",
    "new_request_id",
    "not_empty",
    "not_negative",
    "parse_request_id",
    "parse_settings",
    "prompt_bucket",
    "registered",
    "rendezvous_weight",
    "run_from_command_line",
    "run_program",
]
