"""HTTP clients of model engines and plain services."""

import json
from collections.abc import AsyncIterator
from typing import Any, TypeVar

import cattrs

from ..http_client import HttpClient, HttpReply, HttpUnreachableError
from ..kernel import HttpTimeouts, load_json, load_object
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


class _TargetClient:
    def __init__(self, *, url: str, timeouts: HttpTimeouts, threads: int) -> None:
        self._client = HttpClient(url=url, timeouts=timeouts, threads=threads)
        self.lines = self._client.lines
        self.close = self._client.close

    async def ask(self, path: str, fields: object, *, wait_s: float = 0.0) -> Any:
        body = json.dumps(fields).encode()
        reply = await self.post(path, body, wait_s=wait_s)
        try:
            return load_json(reply)
        except ValueError as error:
            raise TargetUnreachableError(f"the response is not valid JSON: {error}") from error

    async def post(self, path: str, body: bytes, *, wait_s: float) -> bytes:
        try:
            reply = await self._client.post(path, body, wait_s=wait_s)
        except HttpUnreachableError as error:
            raise TargetUnreachableError(str(error), is_refused=not error.sent) from error
        return _response_body(reply)


@engine_registry.register("http")
class HttpEngine:
    """Client of a model engine over HTTP; one streamed response carries the output of all streams.

    Args:
        url: The base URL.
        timeouts: The timeouts of each call.
        threads: The limit on concurrent calls, apart from `outputs`.
    """

    def __init__(self, *, url: str, timeouts: HttpTimeouts | None = None, threads: int = 8) -> None:
        self._client = _TargetClient(url=url, timeouts=timeouts or HttpTimeouts(), threads=threads)

    async def describe(self) -> EngineInfo:
        """Return the engine's description."""
        return _structure(await self._client.ask("/describe", {}), EngineInfo)

    async def load(self) -> EngineLoad:
        """Return the newest load report."""
        return _structure(await self._client.ask("/load", {}), EngineLoad)

    async def submit(self, spec: StreamSpec) -> None:
        """Start a stream; does nothing if a stream with this id exists."""
        await self._client.ask("/submit", cattrs.unstructure(spec))

    async def outputs(self) -> AsyncIterator[tuple[StreamOutput, ...]]:
        """Yield the new output of all streams after each step, until the connection fails."""
        lines = self._client.lines("/outputs")
        try:
            async for line in lines:
                if line:
                    yield _parse_outputs(line)
        except HttpUnreachableError as error:
            raise TargetUnreachableError(str(error)) from error
        finally:
            await lines.aclose()  # type: ignore[attr-defined]

    async def resume(self, stream_id: str, next_index: int) -> StreamOutput:
        """Return the output of a stream, starting at a token index."""
        fields = {"stream_id": stream_id, "next_index": next_index}
        return _structure(await self._client.ask("/resume", fields), StreamOutput)

    async def cancel(self, stream_id: str) -> bool:
        """End a stream and free its memory; return whether it existed."""
        return bool(await self._client.ask("/cancel", {"stream_id": stream_id}))

    async def list_streams(self) -> tuple[StreamStatus, ...]:
        """Return all streams."""
        return _structure(await self._client.ask("/list_streams", {}), tuple[StreamStatus, ...])

    async def list_exports(self) -> tuple[ExportStatus, ...]:
        """Return all exports."""
        return _structure(await self._client.ask("/list_exports", {}), tuple[ExportStatus, ...])

    async def renew_export(self, export_id: str, lease_s: float) -> None:
        """Extend the lease on an export."""
        await self._client.ask("/renew_export", {"export_id": export_id, "lease_s": lease_s})

    async def release_export(self, export_id: str) -> bool:
        """Free an export; return whether it existed."""
        return bool(await self._client.ask("/release_export", {"export_id": export_id}))

    async def order(self, order: EngineOrder) -> None:
        """Set the models and the role of the engine; return once they are in effect."""
        await self._client.ask("/order", cattrs.unstructure(order), wait_s=ORDER_WAIT_S)

    async def cache_events(self, next_sequence: int) -> CacheEvents:
        """Return the cache events from a sequence number on, or a snapshot if it is too old."""
        reply = await self._client.ask("/cache_events", {"next_sequence": next_sequence})
        return _structure(reply, CacheEvents)

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()


@service_registry.register("http")
class HttpService:
    """Client of a plain service over HTTP: each call is a POST to /call/METHOD."""

    def __init__(
        self, *, url: str, timeouts: HttpTimeouts | None = None, threads: int = 32
    ) -> None:
        self._client = _TargetClient(url=url, timeouts=timeouts or HttpTimeouts(), threads=threads)

    async def describe(self) -> str:
        """Return the service's epoch."""
        return str(await self._client.ask("/describe", {}))

    async def call(self, call: ServiceCall) -> bytes:
        """Make one call and return the response body."""
        if not call.method.isidentifier():
            raise TargetRefusedError("invalid", f"method {call.method!r} is not a valid identifier")
        try:
            return await self._client.post(
                f"/call/{call.method}", call.payload, wait_s=call.timeout_s
            )
        except TargetUnreachableError as error:
            if error.is_refused:
                raise TargetRefusedError("unreachable", str(error)) from error
            raise

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()


def _response_body(reply: HttpReply) -> bytes:
    if reply.status == HTTP_OK:
        return reply.body
    if reply.status != HTTP_CONFLICT:
        raise TargetUnreachableError(f"unexpected response status {reply.status}")
    try:
        refusal = load_object(reply.body)
        reason, message = str(refusal["reason"]), str(refusal["message"])
    except (ValueError, KeyError, TypeError) as error:
        raise TargetUnreachableError(f"the body of the refusal is invalid: {error!r}") from error
    raise TargetRefusedError(reason, message)


def _structure(data: Any, wanted: type[T]) -> T:
    try:
        return cattrs.structure(data, wanted)
    except Exception as error:
        raise TargetUnreachableError(f"the response has unexpected fields: {error!r}") from error


def _parse_outputs(line: bytes) -> tuple[StreamOutput, ...]:
    try:
        return tuple(
            StreamOutput(
                stream_id=stream_id,
                first_index=first_index,
                texts=tuple(texts),
                finished=finished,
                error=error,
            )
            for stream_id, first_index, texts, finished, error in load_json(line)
        )
    except (ValueError, TypeError) as problem:
        raise TargetUnreachableError(f"a line of stream output is invalid: {problem}") from problem
