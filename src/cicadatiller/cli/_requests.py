"""The commands that send requests: `ask` for models, `call` for plain services."""

import sys
from pathlib import Path
from typing import Annotated

import typer
from connectrpc.errors import ConnectError

from ..peer import AnswerChecksum
from ..rpc._generated.cicadatiller.v1 import serving_pb as pb
from ..rpc._generated.cicadatiller.v1.serving_connect import ServingServiceClientSync
from ._client import CommandError, ExitCode, to_command_error
from ._context import exit_on_command_error, get_command_context

FileOption = Annotated[
    Path | None,
    typer.Option("--file", "-f", help="Read the input from a file; - is standard input."),
]
TimeLimitOption = Annotated[float, typer.Option(help="The time limit of the request in seconds.")]
RequestIdOption = Annotated[str, typer.Option(help="The request id of an earlier attempt.")]


class AnswerPrinter:
    """Prints the output of a generation as it arrives and verifies that it is complete."""

    def __init__(self) -> None:
        self._checksum = AnswerChecksum()
        self._count = 0
        self._done: pb.Done | None = None
        self.request_id = ""

    def handle(self, response: pb.GenerateResponse) -> None:
        """Process one message of the stream."""
        if response.event is None:
            return
        value = response.event.value
        if response.event.field == "opened":
            self.request_id = value.request_id
        elif response.event.field == "tokens":
            self._checksum.update(value.texts)
            self._count += len(value.texts)
            typer.echo("".join(value.texts), nl=False)
            sys.stdout.flush()
        else:
            self._done = value

    def finish(self) -> None:
        """End the output; raises `CommandError` unless it is complete and matches its checksum."""
        typer.echo("")
        if self._done is None:
            raise CommandError("the output ended before it was complete", ExitCode.UNKNOWN)
        is_complete = self._done.token_count == self._count
        if not is_complete or self._done.checksum != self._checksum.value():
            raise CommandError(
                "the output does not match its token count or checksum", ExitCode.REFUSED
            )


@exit_on_command_error
def ask(
    ctx: typer.Context,
    prompt: Annotated[str, typer.Argument(help="The prompt, unless --file is given.")] = "",
    file: FileOption = None,
    model: Annotated[str, typer.Option(help="The model.")] = "",
    adapter: Annotated[str, typer.Option(help="An adapter of the model.")] = "",
    max_output_tokens: Annotated[
        int, typer.Option(help="The maximum number of output tokens.")
    ] = 256,
    time_limit_s: TimeLimitOption = 60.0,
    request_id: RequestIdOption = "",
    not_repeatable: Annotated[
        bool, typer.Option("--not-repeatable", help="Run the request at most once.")
    ] = False,
) -> None:
    """Send a prompt to a model and print the output as it is generated.

    Example: cicadatiller ask --model glacier "Which trucks are late?"
    """
    request = pb.GenerateRequest(
        model=model,
        adapter=adapter,
        prompt=_read_input(prompt, file).decode(errors="replace"),
        max_output_tokens=max_output_tokens,
        time_limit_ms=round(time_limit_s * 1000),
        request_id=request_id,
        not_repeatable=not_repeatable,
    )
    connection = get_command_context(ctx).connection
    printer = AnswerPrinter()
    client = connection.make_serving_client(time_limit_s)
    try:
        for response in client.generate(request, headers=connection.headers()):
            printer.handle(response)
    except ConnectError as error:
        raise _with_request_id(to_command_error(error), printer.request_id) from error
    finally:
        client.close()
    printer.finish()


@exit_on_command_error
def call(
    ctx: typer.Context,
    service: str,
    method: str,
    payload: Annotated[str, typer.Argument(help="The payload, unless --file is given.")] = "",
    file: FileOption = None,
    time_limit_s: TimeLimitOption = 30.0,
    request_id: RequestIdOption = "",
    repeatable: Annotated[
        bool, typer.Option("--repeatable", help="The call may run more than once.")
    ] = False,
) -> None:
    """Call a plain service, at most once unless --repeatable is given.

    Example: cicadatiller call dispatch confirm '{"order": 17}'
    """
    connection = get_command_context(ctx).connection
    client = connection.make_serving_client(time_limit_s)
    issued_id = request_id
    try:
        if not issued_id:
            issued_id = _open_request(client, connection.headers(), service)
        request = pb.CallRequest(
            service=service,
            method=method,
            payload=_read_input(payload, file),
            time_limit_ms=round(time_limit_s * 1000),
            request_id=issued_id,
            not_repeatable=not repeatable,
        )
        response = client.call(request, headers=connection.headers())
    except ConnectError as error:
        raise _with_request_id(to_command_error(error), issued_id) from error
    finally:
        client.close()
    typer.echo(response.payload)


def _open_request(client: ServingServiceClientSync, headers: dict[str, str], service: str) -> str:
    """Obtain a request id before the call, so that a call with a lost response can be retried."""
    try:
        opened = client.open_request(pb.OpenRequestRequest(service=service), headers=headers)
    except ConnectError as error:
        command_error = to_command_error(error)
        if command_error.code is ExitCode.UNKNOWN:
            text = f"no entry can be reached; the call was not run: {error}"
            raise CommandError(text, ExitCode.UNREACHABLE) from error
        raise command_error from error
    return str(opened.request_id)


def _read_input(text: str, file: Path | None) -> bytes:
    if text and file:
        raise CommandError("give either the text or --file, not both", ExitCode.USAGE)
    if file is None:
        return text.encode()
    try:
        return sys.stdin.buffer.read() if str(file) == "-" else file.read_bytes()
    except OSError as error:
        raise CommandError(f"cannot read {file}: {error}", ExitCode.USAGE) from error


def _with_request_id(error: CommandError, request_id: str) -> CommandError:
    if not request_id or error.code is not ExitCode.UNKNOWN:
        return error
    return CommandError(
        f"{error}\nTo retry, repeat the command with --request-id {request_id}", error.code
    )
