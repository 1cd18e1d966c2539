"""Loads the settings file that the platform provides to each process."""

import tomllib
from pathlib import Path
from typing import Any

from ..cold_start import ColdAllowance
from ..gateway import Bounds, NodeSettings
from ..memory_budget import ProcessLimits

MAX_PORT = 65_535
# Deployments without evacuations do not state the bound.
DEFAULT_EVACUATE_MS = 5_000
SETTINGS_PATH_VARIABLE = "CICADATILLER_SETTINGS"


class PlatformSettingsError(ValueError):
    """The settings file is invalid; the message names the file and each invalid field.

    Args:
        problems: What is wrong, one text for each field, without the path.
        path: The file; None if the fields were not read from one.

    Attributes:
        problems: As the argument.
    """

    def __init__(self, problems: tuple[str, ...], *, path: Path | None = None) -> None:
        message = "; ".join(problems)
        super().__init__(message if path is None else f"{path}: {message}")
        self.problems = problems


def load_node_settings(path: Path) -> NodeSettings:
    """Load a settings file.

    Raises:
        PlatformSettingsError: If it can't be read, or a field is missing or invalid.
    """
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise PlatformSettingsError((f"cannot read: {error.strerror}",), path=path) from error
    except ValueError as error:
        raise PlatformSettingsError((f"not valid TOML: {error}",), path=path) from error
    try:
        return parse_node_settings(document)
    except PlatformSettingsError as error:
        raise PlatformSettingsError(error.problems, path=path) from error


def parse_node_settings(document: dict[str, Any]) -> NodeSettings:
    """Convert the fields of the file to `NodeSettings`; unknown fields are ignored.

    Raises:
        PlatformSettingsError: If a field is missing or invalid.
    """
    reader = _TableReader(document)
    bounds = reader.table("bounds")
    listen = reader.table("listen")
    node = NodeSettings(
        name=reader.text("node_name"),
        data_centre=reader.text("zone"),
        host=reader.text("ip"),
        caller_address=listen.text("front"),
        readiness_address=listen.text("ready"),
        peer_port=reader.first_port("internal_port_range"),
        store_address=reader.table("platform").text("address"),
        limits=_read_limits(reader),
        bounds=Bounds(
            shutdown_s=bounds.number("grace_s"),
            target_drain_s=bounds.number("drain_ms") / 1000,
            config_converge_s=bounds.number("config_converge_ms") / 1000,
            evacuate_s=bounds.number("evacuate_ms", DEFAULT_EVACUATE_MS) / 1000,
            retry_ratio=bounds.number("retry_budget_ratio"),
            retry_slack=bounds.number("retry_budget_slack"),
            retry_window_s=bounds.number("budget_window_s"),
            max_hold_s=bounds.number("hold_max_ms", 20_000) / 1000,
            hold_after_use_s=bounds.number("free_ms", 4_000) / 1000,
            cold_allowance=ColdAllowance(
                overshoot=bounds.number("cold_overshoot", 1.0),
                slack=bounds.number("cold_slack", 1.0),
            ),
            unused_hold_s=bounds.number("idle_max_ms", 9_000) / 1000,
        ),
    )
    reader.raise_problems()
    return node


def _read_limits(reader: "_TableReader") -> ProcessLimits:
    """Return the limits of the process; settings without them have none."""
    if not reader.has("limits"):
        return ProcessLimits()
    limits = reader.table("limits")
    return ProcessLimits(
        memory_mb=limits.number("memory_mb", 0.0), descriptors=int(limits.number("max_fds", 0))
    )


class _TableReader:
    """Reads the fields of a TOML table and collects every problem with them."""

    def __init__(
        self, document: dict[str, Any], path: str = "", problems: list[str] | None = None
    ) -> None:
        self._document = document
        self._path = path
        self._problems: list[str] = [] if problems is None else problems

    def text(self, name: str) -> str:
        value = self._document.get(name)
        if not isinstance(value, str) or not value:
            self._add_problem(name, "a non-empty string")
            return ""
        return value

    def number(self, name: str, default: float | None = None) -> float:
        value = self._document.get(name, default)
        if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
            self._add_problem(name, "a non-negative number")
            return 0.0
        return float(value)

    def first_port(self, name: str) -> int:
        """Return the first port of a range, given as a list of its first and last port."""
        value = self._document.get(name)
        ports = value if isinstance(value, list) else []
        are_valid = all(isinstance(port, int) and 0 < port <= MAX_PORT for port in ports)
        if not ports or not are_valid:
            self._add_problem(name, f"a list of ports from 1 to {MAX_PORT}")
            return 0
        return int(ports[0])

    def has(self, name: str) -> bool:
        return name in self._document

    def table(self, name: str) -> "_TableReader":
        value = self._document.get(name)
        if not isinstance(value, dict):
            self._add_problem(name, "a table")
            value = {}
        return _TableReader(value, f"{self._path}{name}.", self._problems)

    def raise_problems(self) -> None:
        if self._problems:
            raise PlatformSettingsError(tuple(self._problems))

    def _add_problem(self, name: str, wanted: str) -> None:
        value = self._document.get(name)
        found = "it is missing" if value is None else f"found {value!r}"
        self._problems.append(f"{self._path}{name}: expected {wanted}; {found}")
