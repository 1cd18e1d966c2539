"""A thread pool that grows with the number of concurrent calls."""

from typing import Any

from cheroot.workers.threadpool import ThreadPool, WorkerThread

INITIAL_THREADS = 4
MIN_IDLE_THREADS = 2
MAX_THREADS_PER_GROWTH = 8


class GrowingThreadPool(ThreadPool):
    """Starts threads when fewer than `MIN_IDLE_THREADS` would be idle, up to a limit.

    Args:
        server: The server whose connections the threads serve.
        max_threads: The maximum number of threads.
    """

    _threads: list[WorkerThread]

    def __init__(self, server: Any, max_threads: int) -> None:
        super().__init__(server, min=min(INITIAL_THREADS, max_threads), max=max_threads)

    def put(self, obj: Any) -> None:
        """Queue a connection, after starting threads if too few are idle."""
        if len(self._threads) < self.max and self.idle < self.qsize + MIN_IDLE_THREADS:
            self._start_threads(min(MAX_THREADS_PER_GROWTH, self.max - len(self._threads)))
        super().put(obj)

    def _start_threads(self, count: int) -> None:
        """Start threads; unlike `grow`, does not wait for them, which would block the acceptor."""
        workers = [WorkerThread(self.server) for _ in range(count)]  # type: ignore[no-untyped-call]
        for worker in workers:
            worker.start()
        self._threads.extend(workers)
