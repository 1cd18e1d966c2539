"""Connects the threads of the HTTP server to the event loop; no other code crosses between them."""

import asyncio
import concurrent.futures
import queue
from collections.abc import Callable, Coroutine, Iterator
from typing import Any, Generic, TypeVar

from ._errors import ErrorKind, FailureError, RunState, fail

T = TypeVar("T")


class _StreamEnd(Generic[T]):
    def __init__(self, error: BaseException | None) -> None:
        self.error = error


class LoopBridge:
    """Runs coroutines on the event loop for the threads of the HTTP server."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._pending: set[concurrent.futures.Future[Any]] = set()
        self._stopping = False

    def stop(self) -> None:
        """Cancel the pending calls; they fail with STOPPING."""
        self._stopping = True
        for future in list(self._pending):
            future.cancel()

    def call(self, coroutine: Coroutine[Any, Any, T]) -> T:
        """Run a coroutine and return its result; raises `FailureError`."""
        future = self._submit(coroutine)
        try:
            return future.result()
        except FailureError:
            raise
        except BaseException as error:
            future.cancel()
            raise self._as_failure(error) from error

    def stream(
        self, start: Callable[[Callable[[T], None]], Coroutine[Any, Any, None]]
    ) -> Iterator[list[T]]:
        """Run a coroutine that emits items, and yield them in batches as they become available.

        Closing the iterator cancels the coroutine.

        Args:
            start: Returns the coroutine, given the function that it calls with each item.
        """
        items: queue.SimpleQueue[T | _StreamEnd[T]] = queue.SimpleQueue()
        future = self._submit(start(items.put))
        future.add_done_callback(lambda done: items.put(_StreamEnd(_future_error(done))))
        try:
            yield from self._drain(items)
        finally:
            future.cancel()

    def _drain(self, items: "queue.SimpleQueue[T | _StreamEnd[T]]") -> Iterator[list[T]]:
        while True:
            batch, end = _next_batch(items)
            if batch:
                yield batch
            if end is None:
                continue
            if end.error is not None:
                raise self._as_failure(end.error) from end.error
            return

    def _submit(self, coroutine: Coroutine[Any, Any, T]) -> "concurrent.futures.Future[T]":
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        self._pending.add(future)
        future.add_done_callback(self._pending.discard)
        return future

    def _as_failure(self, error: BaseException) -> FailureError:
        if isinstance(error, FailureError):
            return error
        if not isinstance(error, concurrent.futures.CancelledError):
            return fail(ErrorKind.INTERNAL, f"unexpected {type(error).__name__}; see the log")
        if not self._stopping:
            return fail(ErrorKind.CANCELLED, "the request was cancelled")
        return fail(
            ErrorKind.STOPPING,
            "this entry stopped before the answer was complete; attach through another entry",
            run_state=RunState.OUTCOME_UNKNOWN,
        )


def _next_batch(
    items: "queue.SimpleQueue[T | _StreamEnd[T]]",
) -> tuple[list[T], _StreamEnd[T] | None]:
    batch: list[T] = []
    item = items.get()
    while not isinstance(item, _StreamEnd):
        batch.append(item)
        if items.empty():
            return batch, None
        item = items.get()
    return batch, item


def _future_error(done: "concurrent.futures.Future[Any]") -> BaseException | None:
    if done.cancelled():
        return concurrent.futures.CancelledError()
    return done.exception()
