"""A TCP relay on loopback that can stop forwarding."""

import asyncio
import contextlib
import threading

CHUNK_BYTES = 64 * 1024
READ_REQUEST_START = b"POST /read "


class Relay:
    """Forwards connections from one port to another, in its own thread.

    While `cut` is set it accepts connections and reads from them, but forwards nothing, like a
    middlebox that has lost its connection state.

    Args:
        host: Host of both ports.
        port: The port to listen on.
        target_port: The port to which connections are forwarded.

    Attributes:
        cut: Whether all data is discarded.
        reads: Number of read requests to the log that were forwarded.
    """

    def __init__(self, *, host: str, port: int, target_port: int) -> None:
        self._host = host
        self._port = port
        self._target_port = target_port
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._run, name=f"relay {port}", daemon=True)
        self._tasks: set[asyncio.Task[None]] = set()
        self.cut = False
        self.reads = 0

    def start(self) -> None:
        """Start listening."""
        self._thread.start()
        listening = asyncio.run_coroutine_threadsafe(self._listen(), self._loop)
        listening.result(timeout=5.0)

    def close(self) -> None:
        """Stop listening and close all connections."""
        asyncio.run_coroutine_threadsafe(self._stop(), self._loop).result(timeout=5.0)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        self._loop.run_forever()

    async def _listen(self) -> None:
        self._server = await asyncio.start_server(self._serve, self._host, self._port)

    async def _stop(self) -> None:
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        try:
            target = await asyncio.open_connection(self._host, self._target_port)
        except OSError:
            writer.close()
            return
        to_target = asyncio.ensure_future(self._forward(reader, target[1]))
        to_client = asyncio.ensure_future(self._forward(target[0], writer))
        try:
            await asyncio.wait((to_target, to_client), return_when=asyncio.FIRST_COMPLETED)
        finally:
            to_target.cancel()
            to_client.cancel()
            writer.close()
            target[1].close()

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                if self.cut:
                    continue
                self.reads += chunk.count(READ_REQUEST_START)
                writer.write(chunk)
                await writer.drain()
