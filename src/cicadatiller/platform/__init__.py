"""The adapter to the users' platform: its names, formats and calls, without any decision logic."""

from ._deploy import check_deploy_file
from ._documents import PlatformDocuments
from ._headers import PlatformHeaders
from ._log import PlatformLog
from ._orders import PlatformEngineClient
from ._settings import PlatformSettingsError, load_node_settings, parse_node_settings

__all__ = [
    "PlatformDocuments",
    "PlatformHeaders",
    "PlatformLog",
    "PlatformEngineClient",
    "PlatformSettingsError",
    "check_deploy_file",
    "load_node_settings",
    "parse_node_settings",
]
