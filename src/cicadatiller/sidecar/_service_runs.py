"""Follows the runs of a plain service, to tell the calls under which one ended."""

import asyncio

from ..targets import PlainService, TargetRefusedError, TargetUnreachableError
from ._engine_driver import MIN_REFUSALS_OF_ENDED, RETRY_DELAY_S

POLL_INTERVAL_S = 1.0
# A service that does not respond in this time counts as silent, not as ended.
DESCRIBE_TIMEOUT_S = 0.5


class ServiceRuns:
    """Knows the current run of a plain service, by its epoch.

    Args:
        service: The service.

    Attributes:
        current: The epoch of the run that responded last; empty before that, and after it has ended.
    """

    def __init__(self, *, service: PlainService) -> None:
        self._service = service
        self._check: asyncio.Task[bool] | None = None
        self.current = ""

    async def run(self) -> None:
        """Poll the epoch until cancelled."""
        while True:
            is_refused = await self._poll()
            await asyncio.sleep(RETRY_DELAY_S if is_refused else POLL_INTERVAL_S)

    async def has_ended(self, epoch: str) -> bool:
        """Return whether a run that did not respond to a call has ended.

        Returns:
            False also if it is not known.
        """
        if not epoch:
            return False
        if self._check is None or self._check.done():
            self._check = asyncio.get_running_loop().create_task(self._is_refused_repeatedly())
        is_refused = await asyncio.shield(self._check)
        return is_refused or self.current not in ("", epoch)

    async def close(self) -> None:
        """End a check that is under way."""
        if self._check is not None:
            self._check.cancel()

    async def _is_refused_repeatedly(self) -> bool:
        """Return whether the next `MIN_REFUSALS_OF_ENDED` polls are refused a connection.

        A service that restarts its server refuses one, too, though its run goes on.
        """
        for number in range(MIN_REFUSALS_OF_ENDED):
            if number:
                await asyncio.sleep(RETRY_DELAY_S)
            if not await self._poll():
                return False
        self.current = ""
        return True

    async def _poll(self) -> bool:
        """Read the epoch; return whether the connection was refused."""
        try:
            async with asyncio.timeout(DESCRIBE_TIMEOUT_S):
                self.current = await self._service.describe()
        except TargetUnreachableError as error:
            return error.is_refused
        except (TargetRefusedError, TimeoutError):
            return False
        return False
