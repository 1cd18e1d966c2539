"""The errors of exchanges with servers."""


class EgressError(Exception):
    """An exchange ended without a complete response."""


class ConnectionLostError(EgressError):
    """The connection could not be opened, or was lost before the response was complete."""


class MalformedResponseError(EgressError):
    """The server sent data that is not a valid response, or a response above a limit."""


def describe_parse_failure(error: Exception) -> str:
    """Return why a response could not be parsed."""
    # httptools replaces an exception of a callback by its own, of which it is the context.
    if isinstance(error.__context__, MalformedResponseError):
        return str(error.__context__)
    return f"cannot parse the response: {error}"
