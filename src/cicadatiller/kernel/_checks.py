"""Checks of the values of settings, which report all invalid ones at once."""

from collections.abc import Mapping

MAX_PORT = 65_535
MAX_PORT_DIGITS = 5


class SettingsError(ValueError):
    """One or more settings of a group have invalid values.

    Args:
        mistakes: The error messages by the name of the setting.
    """

    def __init__(self, mistakes: Mapping[str, str]) -> None:
        super().__init__("; ".join(f"{name} {text}" for name, text in mistakes.items()))
        self.mistakes = mistakes


def check_values(**messages: str) -> None:
    """Raise one `SettingsError` with all non-empty messages, if there are any.

    Args:
        **messages: The result of the check of each setting, by the setting's name.
    """
    mistakes = {name: message for name, message in messages.items() if message}
    if mistakes:
        raise SettingsError(mistakes)


def above_zero(value: float) -> str:
    """Return an error message if a value is not above zero, else an empty string."""
    return "" if value > 0 else "must be above zero"


def not_negative(value: float) -> str:
    """Return an error message if a value is negative, else an empty string."""
    return "" if value >= 0 else "must not be negative"


def not_empty(value: str) -> str:
    """Return an error message if a string is empty, else an empty string."""
    return "" if value else "must not be empty"


def is_port(text: str) -> bool:
    """Return whether a text is the number of a port; 0 stands for any free one."""
    is_number = text.isascii() and text.isdecimal() and len(text) <= MAX_PORT_DIGITS
    return is_number and int(text) <= MAX_PORT


def host_and_port(value: str) -> str:
    """Return an error message if an address is not "host:port", else an empty string."""
    host, _, port = value.rpartition(":")
    return "" if host and is_port(port) else f"{value!r} is not of the form host:port"
