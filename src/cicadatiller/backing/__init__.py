"""Client interfaces of the platform's services, and their HTTP implementations."""

from ._http import HttpInstanceList, HttpLog, HttpWeightStore
from ._protocols import (
    Instance,
    InstanceKind,
    InstanceList,
    InstanceState,
    LogClient,
    LogPage,
    LogRecord,
    OffsetTrimmedError,
    PlatformUnavailableError,
    WeightStore,
    instance_list_registry,
    log_registry,
    weight_store_registry,
)

__all__ = [
    "HttpInstanceList",
    "HttpLog",
    "HttpWeightStore",
    "Instance",
    "InstanceKind",
    "InstanceList",
    "InstanceState",
    "LogClient",
    "LogPage",
    "LogRecord",
    "OffsetTrimmedError",
    "PlatformUnavailableError",
    "WeightStore",
    "instance_list_registry",
    "log_registry",
    "weight_store_registry",
]
