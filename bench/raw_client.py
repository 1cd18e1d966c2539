"""A minimal client of the Connect protocol, so that the client is not the bottleneck."""

import asyncio
import gzip
import struct
from collections.abc import AsyncIterator

from cicadatiller.rpc._generated.cicadatiller.v1 import serving_pb as pb

PATH = "/cicadatiller.v1.ServingService/Generate"
ENVELOPE = struct.Struct(">BI")
FLAG_COMPRESSED = 1
FLAG_END = 2


class StreamFailedError(Exception):
    """The response ended with an error or was incomplete."""


async def generate(port: int, key: str, request: pb.GenerateRequest) -> AsyncIterator[pb.Tokens]:
    """Send a request on a new connection and yield the tokens as they arrive.

    Raises:
        StreamFailedError: If the response ends with an error or is incomplete.
    """
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        body = request.to_binary()
        # HTTP/1.0 avoids chunked encoding; the accepted encoding is that of Connect clients.
        head = (
            f"POST {PATH} HTTP/1.0\r\nHost: 127.0.0.1\r\nAuthorization: Bearer {key}\r\n"
            "Content-Type: application/connect+proto\r\nConnect-Protocol-Version: 1\r\n"
            f"Connect-Accept-Encoding: gzip\r\nContent-Length: {len(body) + ENVELOPE.size}\r\n\r\n"
        )
        writer.write(head.encode() + ENVELOPE.pack(0, len(body)) + body)
        await reader.readuntil(b"\r\n\r\n")
        while True:
            flags, size = ENVELOPE.unpack(await reader.readexactly(ENVELOPE.size))
            message = await reader.readexactly(size)
            if flags & FLAG_COMPRESSED:
                message = gzip.decompress(message)
            if flags & FLAG_END:
                if b'"error"' in message:
                    raise StreamFailedError(message.decode())
                return
            event = pb.GenerateResponse.from_binary(message).event
            if event is not None and event.field == "tokens":
                yield event.value
    except asyncio.IncompleteReadError as error:
        raise StreamFailedError(
            "the connection was closed before the end of the response"
        ) from error
    finally:
        writer.close()
