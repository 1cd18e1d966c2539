"""Stand-ins for the platform's services and the targets, for tests, the demo and the bench."""

from ._engine import EngineStandin
from ._engine_model import EngineModel, ExportHolder, expected_answer
from ._instances import InstanceListStandin
from ._log import LogStandin
from ._network import BoundNetwork, MemoryNetwork
from ._programs import STANDIN_SETTINGS
from ._service import ServiceStandin
from ._weights import WeightStoreStandin

__all__ = [
    "BoundNetwork",
    "EngineModel",
    "EngineStandin",
    "ExportHolder",
    "InstanceListStandin",
    "LogStandin",
    "MemoryNetwork",
    "STANDIN_SETTINGS",
    "ServiceStandin",
    "WeightStoreStandin",
    "expected_answer",
]
