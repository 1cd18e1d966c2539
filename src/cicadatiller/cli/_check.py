"""The command `cicadatiller check-settings`."""

import tomllib
from pathlib import Path
from typing import Annotated, Any

import typer
import yaml

from ..entry import EntrySettings
from ..gateway import GatewaySettings
from ..kernel import EXIT_BAD_SETTINGS
from ..platform import PlatformSettingsError, check_deploy_file, load_node_settings
from ..sidecar import SidecarSettings
from ..standins import STANDIN_SETTINGS
from ..startup import load_or_report

SETTINGS_TYPES: dict[str, type[Any]] = {
    "entry": EntrySettings,
    "sidecar": SidecarSettings,
    "gateway": GatewaySettings,
    **STANDIN_SETTINGS,
}


DEPLOY_FILE = "deploy"
PLATFORM_SETTINGS = "platform"
PROGRAMS = (*SETTINGS_TYPES, DEPLOY_FILE, PLATFORM_SETTINGS)


def check_settings(
    file: Annotated[
        Path, typer.Argument(help="The file: YAML, or TOML for platform and deploy files.")
    ],
    program: Annotated[
        str, typer.Option(help=f"One of: {', '.join(PROGRAMS)}; detected from the file if empty.")
    ] = "",
) -> None:
    """Check a settings or deploy file; print all mistakes and exit with code 2 if there are any."""
    name = program or _detect_program(file)
    if name not in PROGRAMS:
        raise typer.BadParameter(f"unknown program {name!r}; use: {', '.join(PROGRAMS)}")
    if not _is_valid(file, name):
        raise typer.Exit(EXIT_BAD_SETTINGS)
    typer.echo(f"{file}: good settings for {name}")


def _is_valid(file: Path, name: str) -> bool:
    if name == DEPLOY_FILE:
        return _print_mistakes(file, check_deploy_file(file))
    if name != PLATFORM_SETTINGS:
        return load_or_report(file, SETTINGS_TYPES[name]) is not None
    try:
        load_node_settings(file)
    except PlatformSettingsError as error:
        return _print_mistakes(file, error.problems)
    return True


def _print_mistakes(file: Path, mistakes: tuple[str, ...]) -> bool:
    for mistake in mistakes:
        typer.echo(f"{file}: {mistake}", err=True)
    return not mistakes


def _detect_program(file: Path) -> str:
    try:
        text = file.read_text(encoding="utf-8")
        data = tomllib.loads(text) if file.suffix == ".toml" else yaml.safe_load(text)
    except (OSError, yaml.YAMLError, ValueError, RecursionError):
        return PLATFORM_SETTINGS if file.suffix == ".toml" else "entry"
    if file.suffix == ".toml":
        return DEPLOY_FILE if "roles" in data else PLATFORM_SETTINGS
    return "sidecar" if isinstance(data, dict) and "target" in data else "entry"
