"""HTTP clients of the platform's services."""

import base64
import json
from collections.abc import Mapping
from typing import Any

import cattrs

from ..http_client import HttpClient, HttpReply, HttpUnreachableError
from ..kernel import (
    DocumentError,
    HttpTimeouts,
    UnreadableRecords,
    get_integer,
    get_number,
    host_and_port,
    load_json,
    load_object,
)
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


class _PlatformClient:
    def __init__(self, *, url: str, timeouts: HttpTimeouts, threads: int) -> None:
        self._client = HttpClient(url=url, timeouts=timeouts, threads=threads)

    async def ask(self, path: str, fields: Mapping[str, object], *, wait_s: float = 0.0) -> Any:
        try:
            reply = await self._client.post(path, json.dumps(fields).encode(), wait_s=wait_s)
            return self._decode_response(reply)
        except HttpUnreachableError as error:
            raise PlatformUnavailableError(str(error)) from error
        except (ValueError, KeyError, TypeError) as error:
            raise PlatformUnavailableError(f"the response is invalid: {error!r}") from error

    async def post_conditional(self, path: str, known_etag: str) -> HttpReply:
        try:
            return await self._client.post(path, b"{}", known_etag=known_etag)
        except HttpUnreachableError as error:
            raise PlatformUnavailableError(str(error)) from error

    async def close(self) -> None:
        await self._client.close()

    def _decode_response(self, reply: HttpReply) -> Any:
        if reply.status == HTTP_GONE:
            raise OffsetTrimmedError(get_integer(load_object(reply.body), "first_offset"))
        if reply.status != HTTP_OK:
            raise PlatformUnavailableError(f"unexpected response status {reply.status}")
        return load_json(reply.body)


@log_registry.register("http")
class HttpLog:
    """Client of the log service over HTTP.

    Args:
        url: The base URL.
        timeouts: The timeouts of each call.
        threads: The limit on concurrent calls.
    """

    def __init__(self, *, url: str, timeouts: HttpTimeouts | None = None, threads: int = 4) -> None:
        self._client = _PlatformClient(
            url=url, timeouts=timeouts or HttpTimeouts(), threads=threads
        )

    async def append(self, stream: str, payload: bytes) -> int:
        """Append a record and return its offset; raises `PlatformUnavailableError`."""
        fields = {"stream": stream, "payload": base64.b64encode(payload).decode()}
        reply = await self._client.ask("/append", fields)
        return _parse_int(reply, "offset")

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
        reply = await self._client.ask("/read", fields, wait_s=wait_s)
        try:
            return _parse_log_page(reply)
        except (ValueError, KeyError, TypeError) as error:
            raise PlatformUnavailableError(f"the page of records is invalid: {error!r}") from error

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()


@instance_list_registry.register("http")
class HttpInstanceList:
    """Client of the instance list over HTTP; an unchanged list is not sent again."""

    def __init__(self, *, url: str, timeouts: HttpTimeouts | None = None, threads: int = 1) -> None:
        self._client = _PlatformClient(
            url=url, timeouts=timeouts or HttpTimeouts(), threads=threads
        )
        self._unreadable = UnreadableRecords()
        self._etag = ""
        self._cached: tuple[Instance, ...] = ()

    async def list_instances(self) -> tuple[Instance, ...]:
        """Return the current list; raises `PlatformUnavailableError`."""
        reply = await self._client.post_conditional("/list", self._etag)
        if reply.status == HTTP_NOT_MODIFIED and self._etag:
            return self._cached
        if reply.status != HTTP_OK:
            raise PlatformUnavailableError(f"unexpected response status {reply.status}")
        self._cached = self._parse(reply.body)
        self._etag = reply.etag
        return self._cached

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()

    def _parse(self, body: bytes) -> tuple[Instance, ...]:
        """Return the instances of a list; rows that can't be decoded name none."""
        try:
            rows = enumerate(load_object(body)["instances"])
        except (DocumentError, KeyError, TypeError) as error:
            raise PlatformUnavailableError(f"the instance list is invalid: {error!r}") from error
        instances = (self._parse_row(number, row) for number, row in rows)
        return tuple(instance for instance in instances if instance is not None)

    def _parse_row(self, number: int, row: Any) -> Instance | None:
        key = str(row.get("name", number)) if isinstance(row, dict) else f"row {number}"
        try:
            instance = cattrs.structure(row, Instance)
            problem = host_and_port(instance.address)
            if problem:
                raise DocumentError(problem)
        except Exception as error:
            self._unreadable.add(key, error)
            return None
        self._unreadable.discard(key)
        return instance


@weight_store_registry.register("http")
class HttpWeightStore:
    """Client of the weight store over HTTP."""

    def __init__(self, *, url: str, timeouts: HttpTimeouts | None = None, threads: int = 1) -> None:
        self._client = _PlatformClient(
            url=url, timeouts=timeouts or HttpTimeouts(), threads=threads
        )

    async def acquire(self, model: str, version: str) -> float:
        """Request permission to load weights; raises `PlatformUnavailableError`."""
        reply = await self._client.ask("/acquire", {"model": model, "version": version})
        try:
            return get_number(reply, "wait_s")
        except (ValueError, KeyError, TypeError) as error:
            raise PlatformUnavailableError(f"the response is invalid: {error!r}") from error

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()


def _parse_int(reply: Any, name: str) -> int:
    try:
        return get_integer(reply, name)
    except (ValueError, KeyError, TypeError) as error:
        raise PlatformUnavailableError(f"the response is invalid: {error!r}") from error


def _parse_log_page(reply: Any) -> LogPage:
    records = tuple(
        LogRecord(
            offset=get_integer(row, "offset"),
            time_ms=get_integer(row, "time_ms"),
            payload=base64.b64decode(row["payload"]),
        )
        for row in reply["records"]
    )
    return LogPage(
        records=records,
        next_offset=get_integer(reply, "next_offset"),
        end_offset=get_integer(reply, "end_offset"),
    )
