"""A small HTTP/1.1 server and client, by the standard library alone."""

import asyncio
import socket
import struct
from dataclasses import dataclass, field

RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclass
class Message:
    """A request that a stand-in read, or an answer that a client got.

    `first` is the method (request) or the status (answer); `is_whole` tells whether all of it came.
    """

    first: str = ""
    target: str = ""
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False

    @property
    def status(self) -> int:
        return int(self.first or 0)


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read a start line and headers; None if the connection ended before."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    words = lines[0].split(" ", 2)
    message = Message()
    if words[0].startswith("HTTP/"):
        message.first = words[1]
    else:
        message.first, message.target = words[0], words[1]
    for line in filter(None, lines[1:]):
        name, _, value = line.partition(":")
        message.headers[name.strip().lower()] = value.strip()
    return message


async def read_request(reader: asyncio.StreamReader) -> Message | None:
    """Read one request with its body, which has a length; None if the connection ended."""
    message = await read_head(reader)
    if message is None:
        return None
    length = int(message.headers.get("content-length", 0))
    try:
        message.body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    message.is_whole = True
    return message


def render(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return an answer with a length."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset, as the system does for a process that was killed."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        except OSError:
            pass
    writer.transport.abort()


class Server:
    """Serves HTTP/1.1 connections, one request at a time on each.

    `answer(message, reader, writer)` writes the whole answer and returns whether the connection
    stays.
    """

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    @property
    def address(self) -> str:
        return f"{self.host}:{self.port}"

    async def listen(self) -> None:
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=1 << 20, backlog=256
        )

    def stop_at_once(self) -> None:
        """End as a killed process does: no listener, all connections reset, all work gone."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._writers):
            reset(writer)

    async def answer(self, message, reader, writer) -> bool:
        raise NotImplementedError

    async def _serve(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while (message := await read_request(reader)) is not None:
                if not await self.answer(message, reader, writer):
                    break
                await writer.drain()
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()


class Client:
    """One connection of a client, which sends one request at a time."""

    def __init__(self, reader, writer) -> None:
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, address: str) -> "Client":
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(1.0):
            return cls(*await asyncio.open_connection(host, int(port)))

    async def send(self, method, target, headers, body=b"") -> None:
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        self._writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
        await self._writer.drain()

    async def read(self) -> Message:
        """Read the answer; `is_whole` is false if the connection ended before its end."""
        message = await read_head(self._reader)
        if message is None:
            return Message()
        try:
            if message.headers.get("transfer-encoding", "").lower() == "chunked":
                while True:
                    size = int((await self._reader.readuntil(b"\r\n")).strip(), 16)
                    message.body += (await self._reader.readexactly(size + 2))[:size]
                    if size == 0:
                        break
            else:
                length = int(message.headers.get("content-length", 0))
                message.body = await self._reader.readexactly(length) if length else b""
            message.is_whole = True
        except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
            pass
        return message

    def close(self) -> None:
        self._writer.close()


async def ask(address, method, target, headers, body=b"", *, timeout_s=12.0) -> Message:
    """Send one request on a new connection and return the answer; an empty one if none came."""
    client = None
    try:
        async with asyncio.timeout(timeout_s):
            client = await Client.open(address)
            await client.send(method, target, headers, body)
            return await client.read()
    except (OSError, TimeoutError):
        return Message()
    finally:
        if client is not None:
            client.close()
