"""The settings of programs: loading from YAML, and settings that several programs have."""

from ._loader import SecretSetting, load_settings, parse_settings
from ._network import EndpointSettings, HttpOptions, PeerTlsSettings, registered

__all__ = [
    "EndpointSettings",
    "HttpOptions",
    "PeerTlsSettings",
    "SecretSetting",
    "load_settings",
    "parse_settings",
    "registered",
]
