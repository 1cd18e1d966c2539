"""Forwards the events of a target's stream to the caller."""

import asyncio
from collections.abc import Awaitable, Callable

from ..egress import EgressConnection, MalformedResponseError, ResponseHead
from ..ingress import Responder
from ..routes import Route
from ._events import EventSplitter, StreamEvent
from ._liveness import read_with_liveness_check
from ._outcomes import AttemptOutcome, Delivery
from ._progress import Progress
from ._waiter import stream_patience_s
from ._wire import WireCodec

# A stream without data for this multiple of its route's event gap triggers a liveness check of the
# target, if another target may resume it. Other streams are read until the deadline.
LIVENESS_CHECK_DELAY_GAPS = 2.0
MIN_LIVENESS_CHECK_DELAY_S = 0.6
# The attempt fails after this multiple of the gap. Callers disconnect after about eight gaps.
TIMEOUT_GAPS = 6.0
MIN_TIMEOUT_S = 1.5
# Of a stream beyond one for each token of its output: some may have none.
MAX_EXTRA_EVENTS = 256
MAX_ID_DIGITS = 18
# Between two turns of a stream whose target has sent more blocks than one turn forwards.
TURN_PAUSE_S = 0.01


class StreamRelay:
    """Forwards the stream of one attempt.

    Only complete events are forwarded, so that another target can resume after the last of them.

    Args:
        codec: Encodes and decodes the deployment's headers.
        route: The request's route.
        progress: Records the last event that was forwarded.
        responder: Writes the response to the caller.
        on_output: Called before anything is written to the caller.
        on_first_event: Called at the first event of this attempt.
        is_alive: Runs a liveness check of the target.
        max_output_tokens: The limit on the output that the caller stated; 0 if it stated none.
    """

    def __init__(
        self,
        *,
        codec: WireCodec,
        route: Route,
        progress: Progress,
        responder: Responder,
        on_output: Callable[[], None],
        on_first_event: Callable[[], None],
        is_alive: Callable[[], Awaitable[bool]],
        max_output_tokens: int = 0,
    ) -> None:
        self._codec = codec
        self._route = route
        self._progress = progress
        self._responder = responder
        self._on_output = on_output
        self._on_first_event = on_first_event
        self._is_alive = is_alive
        self._max_events = max_output_tokens + MAX_EXTRA_EVENTS if max_output_tokens else None
        self._events = 0
        self._splitter = EventSplitter()
        self._has_begun = False
        self._is_resumed = responder.has_begun
        # What comes before the first event of a resumed stream; without an event it is none.
        self._held = bytearray()
        # When bytes that are no event came first since the last event.
        self._without_event_since_s: float | None = None

    async def run(
        self, connection: EgressConnection, head: ResponseHead, *, has_timeouts: bool
    ) -> AttemptOutcome:
        """Forward events until the end of the stream; may be called again after a timeout.

        Args:
            connection: The connection to the target.
            head: The head of the target's response.
            has_timeouts: Whether to give up after a time without data.

        Raises:
            TargetUnresponsiveError: If the target sent no data in time.
            EgressError: If the connection fails, an event's id is out of order, the response
                is no continuation of the stream that the caller receives, it goes on for longer
                than callers wait for an event without one, or has more events than its output
                may have tokens.
            EventTooLongError: If an event, or what comes before it, exceeds a limit of
                `EventSplitter`.
        """
        self._check_continues(head)
        while data := await self._read(connection, has_timeouts=has_timeouts):
            await self._forward_turn(data, connection, head)
            while self._splitter.is_behind:
                await asyncio.sleep(TURN_PAUSE_S)
                await self._forward_turn(b"", connection, head)
            if connection.is_readable:
                # Else a target that sends fast would keep this task from waiting.
                await asyncio.sleep(0.0)
        return await self._finish(head)

    async def _forward_turn(
        self, data: bytes, connection: EgressConnection, head: ResponseHead
    ) -> None:
        """Forward some of the blocks that are complete with more data."""
        events = self._splitter.feed(data, connection.received_s)
        for event in events:
            await self._forward_event(event, head)
        progress = sum(event.is_progress for event in events)
        self._check_number_of_events(progress)
        self._check_time_without_event(connection.received_s, has_progress=progress > 0)

    def _check_number_of_events(self, more: int) -> None:
        """Count events; each has a token at least, so that the caller's limit bounds them."""
        self._events += more
        if self._max_events is not None and self._events > self._max_events:
            raise MalformedResponseError(f"the stream has more than {self._max_events} events")

    def _check_time_without_event(self, now_s: float, *, has_progress: bool) -> None:
        """Check for how long the target has sent bytes that are no event; silence does not count."""
        if has_progress:
            self._without_event_since_s = None
            return
        if self._without_event_since_s is None:
            self._without_event_since_s = now_s
        patience_s = stream_patience_s(self._route)
        if now_s - self._without_event_since_s > patience_s:
            raise MalformedResponseError(f"the stream has no event for {patience_s:.1f} s")

    async def _forward_event(self, event: StreamEvent, head: ResponseHead) -> None:
        if event.is_control:
            await self._forward_control(event, head)
            return
        self._check_follows(event)
        self._on_output()
        if not self._has_begun:
            self._has_begun = True
            self._on_first_event()
        await self._start_response(head)
        await self._responder.send(bytes(self._held) + event.data)
        self._held.clear()
        if event.event_id:
            self._progress.last_event_id = event.event_id
        else:
            self._progress.can_resume = False

    async def _forward_control(self, block: StreamEvent, head: ResponseHead) -> None:
        if self._is_resumed and not self._has_begun:
            self._held += block.data
            return
        self._on_output()
        await self._start_response(head)
        await self._responder.send(block.data)

    def _check_continues(self, head: ResponseHead) -> None:
        """Check that a response may go on with what the caller receives, if that has begun."""
        found, expected = head.media_type, self._progress.content_type
        if self._is_resumed and found and expected and found != expected:
            raise MalformedResponseError(
                f"a response of type {found!r} does not continue one of {expected!r}"
            )

    def _check_follows(self, event: StreamEvent) -> None:
        """Check that an event is the next one.

        One without an id follows only in the stream of one target.
        """
        last_id = self._progress.last_event_id
        if not event.event_id and not self._is_resumed:
            return
        if not _is_next_event(event.event_id, last_id):
            raise MalformedResponseError(
                f"stream event {event.event_id!r} follows event {last_id!r}"
            )

    async def _finish(self, head: ResponseHead) -> AttemptOutcome:
        if self._splitter.has_partial_event:
            return _ended_early("stream ended within an event", head)
        if self._is_resumed and not self._has_begun:
            return _ended_early("resumed stream ended without an event", head)
        if not head.has_length and not self._has_begun and not self._is_empty_rest():
            return _ended_early("connection ended before the first event", head)
        self._on_output()
        await self._start_response(head)
        await self._responder.finish()
        return AttemptOutcome(delivery=Delivery.DONE, reason="", status=head.status)

    def _is_empty_rest(self) -> bool:
        """Return whether nothing is left of a stream that the caller resumes by itself.

        One target that ends its connection may have broken off; two are believed.
        """
        was_empty_before = self._progress.has_empty_end
        self._progress.has_empty_end = True
        return was_empty_before and bool(self._progress.last_event_id)

    async def _start_response(self, head: ResponseHead) -> None:
        if not self._responder.has_begun:
            self._progress.content_type = head.media_type
            await self._responder.start_stream(head.status, self._codec.caller_headers(head))

    async def _read(self, connection: EgressConnection, *, has_timeouts: bool) -> bytes:
        gap_s = self._route.max_gap_s or 0.0
        return await read_with_liveness_check(
            connection.read_body,
            connection,
            probe_after_s=(
                max(MIN_LIVENESS_CHECK_DELAY_S, LIVENESS_CHECK_DELAY_GAPS * gap_s)
                if has_timeouts
                else None
            ),
            give_up_after_s=max(MIN_TIMEOUT_S, TIMEOUT_GAPS * gap_s),
            is_alive=self._is_alive,
        )


def _ended_early(reason: str, head: ResponseHead) -> AttemptOutcome:
    return AttemptOutcome(
        delivery=Delivery.LOST, reason=reason, has_head=True, is_disconnected=not head.has_length
    )


def _is_next_event(event_id: bytes, last_event_id: bytes) -> bool:
    """Return whether an event may follow another one; ids that are numbers increase by one."""
    if not last_event_id.isdigit():
        return bool(event_id) or not last_event_id
    if not event_id.isdigit() or max(len(event_id), len(last_event_id)) > MAX_ID_DIGITS:
        return False
    return int(event_id) == int(last_event_id) + 1
