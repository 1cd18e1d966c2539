"""Background tasks of a process."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine

from ._events import Event, log_event

RESTART_DELAY_S = 0.5


class TaskSet:
    """The background tasks of one process, which are cancelled together.

    If a task started by `keep_running` raises, the error is logged and the task is restarted after
    `RESTART_DELAY_S`, so that one bad message can't end a background service of the process.

    Attributes:
        failures: How often a task of a name has raised.
    """

    def __init__(self) -> None:
        self.failures: Counter[str] = Counter()
        self._tasks: set[asyncio.Task[None]] = set()
        self._closed = False

    def start(self, coroutine: Coroutine[object, object, None], *, name: str) -> asyncio.Task[None]:
        """Start a task that ends by itself; an error that it raises is logged."""
        task = asyncio.get_running_loop().create_task(self._run_logged(coroutine, name), name=name)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        # If the task is cancelled before its first step, it never awaits the coroutine, which must
        # be closed to avoid a "never awaited" warning.
        task.add_done_callback(lambda _: coroutine.close())
        return task

    def keep_running(
        self, run: Callable[[], Coroutine[object, object, None]], *, name: str
    ) -> asyncio.Task[None]:
        """Start a task that runs until `close` and is restarted if it raises."""
        return self.start(self._run_with_restarts(run, name), name=name)

    async def close(self) -> None:
        """Cancel all tasks and wait for them."""
        self._closed = True
        tasks = [task for task in self._tasks if task is not asyncio.current_task()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run_logged(self, coroutine: Awaitable[None], name: str) -> None:
        try:
            await coroutine
        except Exception as error:
            self._record_failure(name, error)

    async def _run_with_restarts(
        self, run: Callable[[], Coroutine[object, object, None]], name: str
    ) -> None:
        while not self._closed:
            try:
                await run()
                return
            except Exception as error:
                self._record_failure(name, error)
                await asyncio.sleep(RESTART_DELAY_S)

    def _record_failure(self, name: str, error: Exception) -> None:
        self.failures[name] += 1
        log_event(Event.TASK_FAILED, task=name, error=repr(error), failures=self.failures[name])
