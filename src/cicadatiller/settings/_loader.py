"""Loads YAML settings into frozen data classes and reports all errors at once."""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar, get_args, get_origin

import cattrs
import yaml
from cattrs.errors import ClassValidationError, ForbiddenExtraKeysError, IterableValidationError
from cattrs.v import format_exception
from returns.result import Failure as Err
from returns.result import Result, Success

from ..kernel import SettingsError

T = TypeVar("T")


@dataclass(frozen=True, kw_only=True)
class SecretSetting:
    """A secret, given in the settings or in a separate file.

    Attributes:
        value: The secret itself.
        file: The path of a file with the secret; white space around it is removed.
    """

    value: str = ""
    file: str = ""

    def __post_init__(self) -> None:
        if bool(self.value) == bool(self.file):
            raise ValueError("set exactly one of value and file")
        if self.file and not self.read():
            raise ValueError(f"the file {self.file} is empty")

    def read(self) -> str:
        """Return the secret.

        Raises:
            ValueError: If the file can't be read.
        """
        if not self.file:
            return self.value
        try:
            return Path(self.file).read_text(encoding="utf-8").strip()
        except (OSError, UnicodeDecodeError) as error:
            raise ValueError(f"the file {self.file} can't be read: {error}") from error


_converter = cattrs.Converter(forbid_extra_keys=True)


def _structure_float(value: object, _: type) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"expected a number, got {value!r}")
    if not math.isfinite(value):
        raise ValueError(f"expected a finite number, got {value!r}")
    return float(value)


def _structure_int(value: object, _: type) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"expected an integer, got {value!r}")
    return value


def _structure_str(value: object, _: type) -> str:
    if not isinstance(value, str):
        raise ValueError(f"expected a string, got {value!r}; put it in quotes")
    return value


def _structure_bool(value: object, _: type) -> bool:
    if not isinstance(value, bool):
        raise ValueError(f"expected true or false, got {value!r}")
    return value


def _structure_tuple(value: object, wanted: Any) -> tuple[Any, ...]:
    if not isinstance(value, list):
        raise ValueError(f"expected a list, got {value!r}")
    items_type: Any = list[get_args(wanted)[0]]  # type: ignore[misc]
    return tuple(_converter.structure(value, items_type))


def _is_tuple(wanted: Any) -> bool:
    return get_origin(wanted) is tuple


_converter.register_structure_hook_func(_is_tuple, _structure_tuple)
_converter.register_structure_hook(float, _structure_float)
_converter.register_structure_hook(int, _structure_int)
_converter.register_structure_hook(str, _structure_str)
_converter.register_structure_hook(bool, _structure_bool)


def _describe(error: BaseException, _: type | None) -> str:
    if isinstance(error, ForbiddenExtraKeysError):
        names = ", ".join(sorted(str(name) for name in error.extra_fields))
        return f"unknown settings: {names}; see docs/SETTINGS.md"
    if isinstance(error, KeyError):
        return "required setting is missing"
    if isinstance(error, ValueError):
        return str(error)
    if isinstance(error, TypeError | AttributeError):
        return "expected a mapping of settings"
    return format_exception(error, None)


def _error_messages(error: BaseException, path: str) -> Iterable[str]:
    if isinstance(error, ClassValidationError | IterableValidationError):
        groups = error.group_exceptions()
        for inner, note in groups[0]:
            place = note.name if hasattr(note, "name") else f"[{note.index}]"
            inner_path = f"{path}{place}" if place.startswith("[") else f"{path}.{place}"
            yield from _error_messages(inner, inner_path)
        for inner in groups[1]:
            yield from _error_messages(inner, path)
        return
    if isinstance(error, SettingsError):
        for name, message in error.mistakes.items():
            yield from _error_messages(ValueError(message), f"{path}.{name}")
        return
    yield f"{path.removeprefix('$').removeprefix('.') or '(top)'}: {_describe(error, None)}"


def parse_settings(data: object, settings_type: type[T]) -> Result[T, tuple[str, ...]]:
    """Validate plain data and convert it to settings.

    Args:
        data: The content of a YAML file.
        settings_type: A frozen data class; its `__post_init__` raises `ValueError` for invalid
            values.

    Returns:
        The settings, or one message for each error, with the path of the setting.
    """
    if not isinstance(data, dict):
        return Err(("(top): expected a mapping of settings",))
    try:
        return Success(_converter.structure(data, settings_type))
    except (ClassValidationError, IterableValidationError) as error:
        return Err(tuple(_error_messages(error, "$")))
    except (ValueError, TypeError, RecursionError) as error:
        return Err((f"(top): {error}",))


def load_settings(path: Path, settings_type: type[T]) -> Result[T, tuple[str, ...]]:
    """Load settings from a YAML file; see `parse_settings`."""
    try:
        data = yaml.safe_load(path.read_text(encoding="utf-8"))
    except OSError as error:
        return Err((f"(file): cannot be read: {error.strerror}",))
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        return Err((f"(file): not valid YAML: {error}",))
    return parse_settings(data, settings_type)
