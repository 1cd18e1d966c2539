"""The failure of an exchange during which the target of a sidecar ended."""

from ..kernel import Failure, FailureError


class TargetEndedError(FailureError):
    """A failure of an exchange whose work the target ran when it ended.

    Attributes:
        run: The run of the target that ended.
        ended_s: The event loop's time at which it did.
    """

    def __init__(self, failure: Failure, *, run: str, ended_s: float) -> None:
        super().__init__(failure)
        self.run = run
        self.ended_s = ended_s
