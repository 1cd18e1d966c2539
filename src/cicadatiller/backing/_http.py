"""Clients of the platform's services over HTTP."""

import base64
import json
from collections.abc import Mapping
from typing import Any

import cattrs

from ..kernel import HttpClient, HttpReply, HttpTimeouts, HttpUnreachableError
from ._protocols import (
    Instance,
    LogPage,
    LogRecord,
    OffsetTrimmedError,
    PlatformUnavailableError,
    instance_list_registry,
    log_registry,
    weight_store_registry,
)

HTTP_OK = 200
HTTP_NOT_MODIFIED = 304
HTTP_GONE = 410


class _PlatformCaller:
    def __init__(self, *, url: str, timeouts: HttpTimeouts, threads: int) -> None:
        self._caller = HttpClient(url=url, timeouts=timeouts, threads=threads)

    async def ask(self, path: str, fields: Mapping[str, object], *, wait_s: float = 0.0) -> Any:
        try:
            reply = await self._caller.post(path, json.dumps(fields).encode(), wait_s=wait_s)
            return self._parse(reply)
        except HttpUnreachableError as error:
            raise PlatformUnavailableError(str(error)) from error
        except (ValueError, KeyError, TypeError) as error:
            raise PlatformUnavailableError(f"the reply can't be read: {error!r}") from error

    async def ask_if_changed(self, path: str, known_etag: str) -> HttpReply:
        try:
            return await self._caller.post(path, b"{}", known_etag=known_etag)
        except HttpUnreachableError as error:
            raise PlatformUnavailableError(str(error)) from error

    async def close(self) -> None:
        await self._caller.close()

    def _parse(self, reply: HttpReply) -> Any:
        if reply.status == HTTP_GONE:
            raise OffsetTrimmedError(int(json.loads(reply.body)["first_offset"]))
        if reply.status != HTTP_OK:
            raise PlatformUnavailableError(f"status {reply.status}")
        return json.loads(reply.body)


@log_registry.register("http")
class HttpLog:
    """The log over HTTP.

    Args:
        url: The base URL.
        timeouts: The limits on each call.
        threads: How many calls may be open at once.
    """

    def __init__(self, *, url: str, timeouts: HttpTimeouts | None = None, threads: int = 4) -> None:
        self._caller = _PlatformCaller(
            url=url, timeouts=timeouts or HttpTimeouts(), threads=threads
        )

    async def append(self, stream: str, payload: bytes) -> int:
        """Append a record and return its offset; raises `PlatformUnavailableError`."""
        fields = {"stream": stream, "payload": base64.b64encode(payload).decode()}
        reply = await self._caller.ask("/append", fields)
        return _whole_number(reply, "offset")

    async def read(
        self, stream: str, from_offset: int, *, limit: int = 1000, wait_s: float = 0.0
    ) -> LogPage:
        """Read records; raises `PlatformUnavailableError` and `OffsetTrimmedError`."""
        fields = {
            "stream": stream,
            "from_offset": from_offset,
            "limit": limit,
            "wait_s": wait_s,
        }
        reply = await self._caller.ask("/read", fields, wait_s=wait_s)
        try:
            return _log_page(reply)
        except (ValueError, KeyError, TypeError) as error:
            raise PlatformUnavailableError(f"the page can't be read: {error!r}") from error

    async def close(self) -> None:
        """Release the connections."""
        await self._caller.close()


@instance_list_registry.register("http")
class HttpInstanceList:
    """The list of instances over HTTP; only a changed list is sent again."""

    def __init__(self, *, url: str, timeouts: HttpTimeouts | None = None, threads: int = 1) -> None:
        self._caller = _PlatformCaller(
            url=url, timeouts=timeouts or HttpTimeouts(), threads=threads
        )
        self._etag = ""
        self._newest: tuple[Instance, ...] = ()

    async def list_instances(self) -> tuple[Instance, ...]:
        """Return the list; raises `PlatformUnavailableError`."""
        reply = await self._caller.ask_if_changed("/list", self._etag)
        if reply.status == HTTP_NOT_MODIFIED and self._etag:
            return self._newest
        if reply.status != HTTP_OK:
            raise PlatformUnavailableError(f"status {reply.status}")
        self._newest = _instances(reply.body)
        self._etag = reply.etag
        return self._newest

    async def close(self) -> None:
        """Release the connections."""
        await self._caller.close()


@weight_store_registry.register("http")
class HttpWeightStore:
    """The weight store over HTTP."""

    def __init__(self, *, url: str, timeouts: HttpTimeouts | None = None, threads: int = 1) -> None:
        self._caller = _PlatformCaller(
            url=url, timeouts=timeouts or HttpTimeouts(), threads=threads
        )

    async def acquire(self, model: str, version: str) -> float:
        """Ask for leave to load weights; raises `PlatformUnavailableError`."""
        reply = await self._caller.ask("/acquire", {"model": model, "version": version})
        try:
            return float(reply["wait_s"])
        except (ValueError, KeyError, TypeError) as error:
            raise PlatformUnavailableError(f"the reply can't be read: {error!r}") from error

    async def close(self) -> None:
        """Release the connections."""
        await self._caller.close()


def _instances(body: bytes) -> tuple[Instance, ...]:
    try:
        rows = json.loads(body)["instances"]
        return tuple(cattrs.structure(row, Instance) for row in rows)
    except Exception as error:
        raise PlatformUnavailableError(f"the list can't be read: {error!r}") from error


def _whole_number(reply: Any, name: str) -> int:
    try:
        return int(reply[name])
    except (ValueError, KeyError, TypeError) as error:
        raise PlatformUnavailableError(f"the reply can't be read: {error!r}") from error


def _log_page(reply: Any) -> LogPage:
    records = tuple(
        LogRecord(
            offset=int(row["offset"]),
            time_ms=int(row["time_ms"]),
            payload=base64.b64decode(row["payload"]),
        )
        for row in reply["records"]
    )
    return LogPage(
        records=records,
        next_offset=int(reply["next_offset"]),
        end_offset=int(reply["end_offset"]),
    )
