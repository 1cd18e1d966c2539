"""Client of the platform's store, a keyed log service over HTTP/1.1."""

import base64
from dataclasses import replace
from urllib.parse import urlencode

from ..egress import (
    ConnectionPool,
    EgressError,
    PoolLimits,
    ResponseHead,
    ResponseMatcher,
    Substitute,
    render_request,
)
from ..fleet import (
    UNSTATED_ERA,
    HistoryLostError,
    KeyedPage,
    KeyedRecord,
    StorePosition,
    StoreUnavailableError,
    Topic,
)
from ..kernel import get_integer, load_object

TOPIC_NAMES = {
    Topic.CONFIGURATION: "keyed.op",
    Topic.TARGETS: "keyed.servers",
    Topic.MEMBERS: "keyed.status",
    Topic.EVIDENCE: "keyed.evidence",
}
# Keyed topics have one partition.
PARTITION = 0

CALL_TIMEOUT_S = 1.5
MAX_RESPONSE_BYTES = 4 * 1024 * 1024
MAX_READ_KIB = 1024

LENGTH_BYTES = 4
OFFSET_BYTES = 8
PAGE_HEADER_BYTES = 2 * OFFSET_BYTES
MAX_KEY_BYTES = 255

READ_PATH = "/log-read"

OK = 200
GONE = 410

ERA_HEADER = b"store-era"
MAX_ERA_DIGITS = 18


class PlatformLog:
    """Implements `KeyedLog` over the platform's store.

    Args:
        address: The store's address, "host:port".

    Attributes:
        calls: The number of calls made, including refused ones.
    """

    def __init__(self, *, address: str) -> None:
        self._address = address
        self._pool = ConnectionPool(limits=PoolLimits(max_idle=len(Topic), max_idle_s=30.0))
        self.calls = 0

    async def read_newest(self, topic: Topic) -> KeyedPage:
        """Return the newest record of each key; raises `StoreUnavailableError`."""
        records: list[KeyedRecord] = []
        keys: set[str] = set()
        next_offset: int | None = None
        era: int | None = None
        after = ""
        while True:
            query: dict[str, str | int] = {"topic": TOPIC_NAMES[topic], "part": PARTITION}
            if after:
                query["after"] = after
            head, body = await self._call(b"GET", "/log-newest", query)
            era = decode_era(head) if era is None else era
            if decode_era(head) != era:
                raise StoreUnavailableError("the era changed between two pages of /log-newest")
            try:
                document = load_object(body)
                page = [_decode_item(item) for item in document["items"]]
                # Pages are not read from one snapshot, so reading goes on from the end offset of
                # the first page: records appended while later pages were read are read again.
                next_offset = get_integer(document, "end") if next_offset is None else next_offset
                has_more = bool(document["has_more"])
            except (ValueError, KeyError, TypeError) as error:
                raise StoreUnavailableError(
                    f"the response to /log-newest can't be decoded: {error!r}"
                ) from error
            records.extend(page)
            if not has_more or not page:
                return KeyedPage(records=tuple(records), next_offset=int(next_offset or 0), era=era)
            known_keys = len(keys)
            keys.update(record.key for record in page)
            if len(keys) == known_keys:
                raise StoreUnavailableError("/log-newest repeats its pages without an end")
            after = page[-1].key

    async def read(self, topic: Topic, from_offset: int, *, wait_s: float = 0.0) -> KeyedPage:
        """Return the records from an offset on, waiting up to `wait_s` for the first one.

        Raises:
            HistoryLostError: If the store does not have all of them.
            StoreUnavailableError: If the store sends no valid response.
        """
        query: dict[str, str | int] = {
            "topic": TOPIC_NAMES[topic],
            "part": PARTITION,
            "from": from_offset,
            "max_kb": MAX_READ_KIB,
            "wait_ms": int(wait_s * 1000),
        }
        head, body = await self._call(b"GET", READ_PATH, query, wait_s=wait_s)
        is_kept = False
        try:
            if head.status == GONE:
                raise HistoryLostError(
                    f"offset {from_offset} is not in the store: {body!r}", era=decode_era(head)
                )
            page = replace(decode_page(body, from_offset), era=decode_era(head))
            # Once more for the next read, a page that reaches the end of its topic would go beyond
            # it. After any other response no read follows on the connection.
            is_kept = page.next_offset >= decode_end(body)
            return page
        finally:
            if not is_kept:
                self._pool.close_idle(self._address)

    async def put(self, topic: Topic, key: str, value: bytes | None) -> StorePosition:
        """Append a record and return its position; a value of None removes the key.

        Raises:
            StoreUnavailableError: If the store does not confirm it; it may have taken effect.
        """
        query: dict[str, str | int] = {"topic": TOPIC_NAMES[topic], "part": PARTITION}
        head, body = await self._call(b"POST", "/log-append", query, body=encode_record(key, value))
        try:
            return StorePosition(
                era=decode_era(head), offset=get_integer(load_object(body), "offset")
            )
        except (ValueError, KeyError, TypeError) as error:
            raise StoreUnavailableError(
                f"the response to /log-append can't be decoded: {error!r}"
            ) from error

    def close(self) -> None:
        """Close the connections to the store."""
        self._pool.close()

    async def _call(
        self,
        method: bytes,
        path: str,
        query: dict[str, str | int],
        *,
        body: bytes = b"",
        wait_s: float = 0.0,
    ) -> tuple[ResponseHead, bytes]:
        self.calls += 1
        target = f"{path}?{urlencode(query)}".encode()
        request = render_request(method, target, [(b"Host", self._address.encode())], body)
        try:
            head, answer = await self._pool.exchange(
                self._address,
                request,
                matcher=_match_call(path, str(query["topic"])),
                timeout_s=CALL_TIMEOUT_S + wait_s,
                max_response_bytes=MAX_RESPONSE_BYTES,
            )
        except (EgressError, TimeoutError) as error:
            # The pool's other connections may have failed together with this one.
            self._pool.close_idle(self._address)
            raise StoreUnavailableError(f"{path}: {error!r}") from error
        if head.status not in (OK, GONE):
            self._pool.close_idle(self._address)
            raise StoreUnavailableError(f"{path}: unexpected status {head.status}")
        return head, answer


def _match_call(path: str, topic: str) -> ResponseMatcher:
    """Return the matcher of a response of the store; the reads of a topic share connections."""
    # decode_page finds out a page of an earlier read by its offsets.
    is_read = path == READ_PATH
    return ResponseMatcher(
        exchange=f"{path} {topic}",
        substitute=Substitute.SAME_KIND if is_read else Substitute.NONE,
    )


def decode_era(head: ResponseHead) -> int:
    """Return the era that a response states; `UNSTATED_ERA` if it states none.

    Raises:
        StoreUnavailableError: If it is not a number.
    """
    value = head.find(ERA_HEADER)
    if value is None:
        return UNSTATED_ERA
    if not value.isdigit() or len(value) > MAX_ERA_DIGITS:
        raise StoreUnavailableError(f"the era {value!r:.80} is not a number")
    return int(value)


def encode_record(key: str, value: bytes | None) -> bytes:
    """Encode a keyed record for an append.

    Raises:
        ValueError: If the key is empty or longer than `MAX_KEY_BYTES`.
    """
    name = key.encode()
    if not 0 < len(name) <= MAX_KEY_BYTES:
        raise ValueError(f"key must be 1 to {MAX_KEY_BYTES} bytes long, found {len(name)}")
    content = bytes([len(name)]) + name + (value or b"")
    return len(content).to_bytes(LENGTH_BYTES, "big") + content


def decode_end(body: bytes) -> int:
    """Return the end of the topic, as the response to a read states it."""
    return int.from_bytes(body[:OFFSET_BYTES], "big")


def decode_page(body: bytes, from_offset: int) -> KeyedPage:
    """Decode the response to a read.

    Raises:
        StoreUnavailableError: If it is truncated, or has records that are not those from the offset
            on, as in a repeated response to an earlier read.
    """
    if len(body) < PAGE_HEADER_BYTES:
        raise StoreUnavailableError(
            f"the response has {len(body)} bytes; its header alone takes {PAGE_HEADER_BYTES}"
        )
    end_offset = decode_end(body)
    first = int.from_bytes(body[OFFSET_BYTES:PAGE_HEADER_BYTES], "big")
    offset = max(from_offset, first)
    records: list[KeyedRecord] = []
    position = PAGE_HEADER_BYTES
    while position < len(body):
        begin = position + LENGTH_BYTES
        end = begin + int.from_bytes(body[position:begin], "big")
        if begin > len(body) or end > len(body):
            raise StoreUnavailableError(f"the response is truncated in the record at {offset}")
        record = _decode_content(offset, body[begin:end])
        if record is not None:
            records.append(record)
        offset += 1
        position = end
    if records and offset > end_offset:
        raise StoreUnavailableError(
            f"the records end at {offset}, but the response states {end_offset}"
        )
    return KeyedPage(records=tuple(records), next_offset=offset)


def _decode_content(offset: int, content: bytes) -> KeyedRecord | None:
    """Decode a record; return None if another writer left one without a valid key."""
    if not content:
        return None
    end = 1 + content[0]
    try:
        key = content[1:end].decode()
    except UnicodeDecodeError:
        return None
    if len(content) < end or not key:
        return None
    value = content[end:]
    return KeyedRecord(offset=offset, key=key, value=value or None)


def _decode_item(item: dict[str, object]) -> KeyedRecord:
    value = base64.b64decode(str(item["value"]))
    return KeyedRecord(offset=int(str(item["offset"])), key=str(item["key"]), value=value or None)
