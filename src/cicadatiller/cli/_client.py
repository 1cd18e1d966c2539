"""RPC clients of the commands, and the conversion of RPC failures to exit codes."""

import enum
import os
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

from connectrpc.errors import ConnectError

from ..kernel import RunState
from ..rpc._generated.cicadatiller.v1 import serving_pb
from ..rpc._generated.cicadatiller.v1.operators_connect import OperatorServiceClientSync
from ..rpc._generated.cicadatiller.v1.serving_connect import ServingServiceClientSync

KEY_VARIABLE = "CICADATILLER_KEY"
DEFAULT_ENTRY = "http://127.0.0.1:8080"
CALL_TIMEOUT_S = 30.0
# Added to the time limit, so that the client receives the response that the entry sends when the
# limit expires.
RESPONSE_MARGIN_S = 5.0

T = TypeVar("T")


class ExitCode(enum.IntEnum):
    """The exit codes, which the help text lists."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    UNKNOWN = 3
    UNREACHABLE = 4


class CommandError(Exception):
    """Terminates a command with a message and an exit code."""

    def __init__(self, message: str, code: ExitCode) -> None:
        super().__init__(message)
        self.code = code


@dataclass(frozen=True, kw_only=True)
class Connection:
    """The entries that a command calls, and the key that authenticates its calls.

    Attributes:
        entries: The URLs of the entries, in the order in which they are tried.
        key_file: The file with the key; None reads it from `KEY_VARIABLE`.
    """

    entries: tuple[str, ...]
    key_file: Path | None = None

    def headers(self) -> dict[str, str]:
        """Return the request headers, which carry the key."""
        return {"authorization": f"Bearer {self._key()}"}

    def operators(self, call: Callable[[OperatorServiceClientSync, dict[str, str]], T]) -> T:
        """Make an idempotent call to the first entry that responds."""
        headers = self.headers()
        last_error: ConnectError | None = None
        for url in self.entries:
            client = OperatorServiceClientSync(url, timeout_ms=round(CALL_TIMEOUT_S * 1000))
            try:
                return call(client, headers)
            except ConnectError as error:
                if find_failure(error) is not None:
                    raise to_command_error(error) from error
                last_error = error
            finally:
                client.close()
        raise CommandError(f"no entry can be reached: {last_error}", ExitCode.UNREACHABLE)

    def make_serving_client(self, timeout_s: float) -> ServingServiceClientSync:
        """Return a client for one call of the serving RPC, to the first entry only."""
        timeout_ms = round((timeout_s + RESPONSE_MARGIN_S) * 1000)
        return ServingServiceClientSync(self.entries[0], timeout_ms=timeout_ms)

    def _key(self) -> str:
        if self.key_file is None:
            key = os.environ.get(KEY_VARIABLE, "")
        else:
            key = _read_key(self.key_file)
        if not key:
            raise CommandError(
                f"no key was given; set {KEY_VARIABLE} or use --key-file", ExitCode.USAGE
            )
        return key


def find_failure(error: ConnectError) -> Any:
    """Return the `Failure` detail of an error; None if the error does not come from an entry."""
    for detail in error.details:
        failure = detail.value(serving_pb.Failure)
        if failure is not None:
            return failure
    return None


def to_command_error(error: ConnectError) -> CommandError:
    """Return the message and exit code for a failed call."""
    failure = find_failure(error)
    if failure is None:
        return CommandError(f"the outcome is unknown: {error}", ExitCode.UNKNOWN)
    state = RunState(failure.run_state.name)
    code = ExitCode.UNKNOWN if state is RunState.OUTCOME_UNKNOWN else ExitCode.REFUSED
    text = f"{failure.kind} ({state.value}): {failure.message}\n{failure.advice}"
    if failure.retry_after_ms:
        text += f"\nTry again after {failure.retry_after_ms / 1000:g} s."
    return CommandError(text, code)


def _read_key(path: Path) -> str:
    try:
        return path.read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        raise CommandError(f"cannot read the key file: {error}", ExitCode.USAGE) from error
