"""Clients of targets over HTTP."""

import json
from collections.abc import AsyncIterator
from typing import Any, TypeVar

import cattrs

from ..kernel import HttpClient, HttpReply, HttpTimeouts, HttpUnreachableError
from ._protocols import (
    CacheEvents,
    EngineInfo,
    EngineLoad,
    EngineOrder,
    ExportStatus,
    ServiceCall,
    StreamOutput,
    StreamSpec,
    StreamStatus,
    TargetRefusedError,
    TargetUnreachableError,
    engine_registry,
    service_registry,
)

HTTP_OK = 200
HTTP_CONFLICT = 409
ORDER_WAIT_S = 600.0

T = TypeVar("T")


class _TargetCaller:
    def __init__(self, *, url: str, timeouts: HttpTimeouts, threads: int) -> None:
        self._caller = HttpClient(url=url, timeouts=timeouts, threads=threads)
        self.lines = self._caller.lines
        self.close = self._caller.close

    async def ask(self, path: str, fields: object, *, wait_s: float = 0.0) -> Any:
        body = json.dumps(fields).encode()
        reply = await self.post(path, body, wait_s=wait_s)
        try:
            return json.loads(reply)
        except ValueError as error:
            raise TargetUnreachableError(f"the reply can't be read: {error}") from error

    async def post(
        self, path: str, body: bytes, *, wait_s: float, fresh_connection: bool = False
    ) -> bytes:
        try:
            reply = await self._caller.post(
                path, body, wait_s=wait_s, fresh_connection=fresh_connection
            )
        except HttpUnreachableError as error:
            if fresh_connection and not error.sent:
                raise TargetRefusedError("unreachable", str(error)) from error
            raise TargetUnreachableError(str(error)) from error
        return _body_of(reply)


@engine_registry.register("http")
class HttpEngine:
    """A model engine over HTTP; the output of all streams comes over one long response.

    Args:
        url: The base URL.
        timeouts: The limits on each call.
        threads: How many calls may be open at once, besides the output.
    """

    def __init__(self, *, url: str, timeouts: HttpTimeouts | None = None, threads: int = 8) -> None:
        self._caller = _TargetCaller(url=url, timeouts=timeouts or HttpTimeouts(), threads=threads)

    async def describe(self) -> EngineInfo:
        """Return what the engine says of itself."""
        return _structure(await self._caller.ask("/describe", {}), EngineInfo)

    async def load(self) -> EngineLoad:
        """Return the newest load report."""
        return _structure(await self._caller.ask("/load", {}), EngineLoad)

    async def submit(self, spec: StreamSpec) -> None:
        """Start a stream, or do nothing if a stream of this id exists."""
        await self._caller.ask("/submit", cattrs.unstructure(spec))

    async def outputs(self) -> AsyncIterator[tuple[StreamOutput, ...]]:
        """Yield the new output of all streams, step by step, until the engine is lost."""
        lines = self._caller.lines("/outputs")
        try:
            async for line in lines:
                if line:
                    yield _parse_step(line)
        except HttpUnreachableError as error:
            raise TargetUnreachableError(str(error)) from error
        finally:
            await lines.aclose()  # type: ignore[attr-defined]

    async def resume(self, stream_id: str, next_index: int) -> StreamOutput:
        """Return the output of a stream from an index on."""
        fields = {"stream_id": stream_id, "next_index": next_index}
        return _structure(await self._caller.ask("/resume", fields), StreamOutput)

    async def cancel(self, stream_id: str) -> bool:
        """End a stream and free its memory; return whether it existed."""
        return bool(await self._caller.ask("/cancel", {"stream_id": stream_id}))

    async def list_streams(self) -> tuple[StreamStatus, ...]:
        """Return all streams."""
        return _structure(await self._caller.ask("/list_streams", {}), tuple[StreamStatus, ...])

    async def list_exports(self) -> tuple[ExportStatus, ...]:
        """Return all exports."""
        return _structure(await self._caller.ask("/list_exports", {}), tuple[ExportStatus, ...])

    async def renew_export(self, export_id: str, lease_s: float) -> None:
        """Extend the lease on an export."""
        await self._caller.ask("/renew_export", {"export_id": export_id, "lease_s": lease_s})

    async def release_export(self, export_id: str) -> bool:
        """Free an export; return whether it existed."""
        return bool(await self._caller.ask("/release_export", {"export_id": export_id}))

    async def order(self, order: EngineOrder) -> None:
        """Make the engine take on a wanted state; returns when it serves it."""
        await self._caller.ask("/order", cattrs.unstructure(order), wait_s=ORDER_WAIT_S)

    async def cache_events(self, next_sequence: int) -> CacheEvents:
        """Return the cache events from a sequence number on, or a snapshot."""
        reply = await self._caller.ask("/cache_events", {"next_sequence": next_sequence})
        return _structure(reply, CacheEvents)

    async def close(self) -> None:
        """Release the connections."""
        await self._caller.close()


@service_registry.register("http")
class HttpService:
    """A plain service over HTTP: each call is a POST to /call/METHOD.

    A call goes over a connection of its own, so that a reply lost to a closing connection is never
    taken for a call that was not made.
    """

    def __init__(
        self, *, url: str, timeouts: HttpTimeouts | None = None, threads: int = 32
    ) -> None:
        self._caller = _TargetCaller(url=url, timeouts=timeouts or HttpTimeouts(), threads=threads)

    async def describe(self) -> str:
        """Return the service's epoch."""
        return str(await self._caller.ask("/describe", {}))

    async def call(self, call: ServiceCall) -> bytes:
        """Make one call and return the response body."""
        if not call.method.isidentifier():
            raise TargetRefusedError("invalid", f"{call.method!r} is not the name of a method")
        return await self._caller.post(
            f"/call/{call.method}", call.payload, wait_s=call.timeout_s, fresh_connection=True
        )

    async def close(self) -> None:
        """Release the connections."""
        await self._caller.close()


def _body_of(reply: HttpReply) -> bytes:
    if reply.status == HTTP_OK:
        return reply.body
    if reply.status != HTTP_CONFLICT:
        raise TargetUnreachableError(f"status {reply.status}")
    try:
        refusal = json.loads(reply.body)
        reason, message = str(refusal["reason"]), str(refusal["message"])
    except (ValueError, KeyError, TypeError) as error:
        raise TargetUnreachableError(f"the refusal can't be read: {error!r}") from error
    raise TargetRefusedError(reason, message)


def _structure(data: Any, wanted: type[T]) -> T:
    try:
        return cattrs.structure(data, wanted)
    except Exception as error:
        raise TargetUnreachableError(f"the reply can't be read: {error!r}") from error


def _parse_step(line: bytes) -> tuple[StreamOutput, ...]:
    try:
        return tuple(
            StreamOutput(
                stream_id=stream_id,
                first_index=first_index,
                texts=tuple(texts),
                finished=finished,
                error=error,
            )
            for stream_id, first_index, texts, finished, error in json.loads(line)
        )
    except (ValueError, TypeError) as problem:
        raise TargetUnreachableError(f"the output can't be read: {problem}") from problem
