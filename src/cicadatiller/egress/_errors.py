"""The errors of exchanges with servers."""


class EgressError(Exception):
    """An exchange ended without a complete response."""


class ConnectionLostError(EgressError):
    """The connection could not be opened, or was lost before the response was complete."""


class MalformedResponseError(EgressError):
    """The server sent data that is not a valid response, or a response above a limit."""
