"""Passes the events of a target's stream on to the caller."""

from collections.abc import Awaitable, Callable

from ..egress import AnswerBrokenError, EgressConnection, ResponseHead
from ..ingress import Responder
from ..routes import Route
from ._events import EventSplitter, StreamEvent
from ._outcomes import AttemptOutcome, Delivery
from ._patience import read_patiently
from ._progress import Progress
from ._wire import WireCodec

# A stream that is silent for so many times its longest wanted pause has its target asked.
ASK_GAPS = 2.0
MIN_ASK_S = 0.6
# One that is silent for so many is given up. Callers leave after about eight.
GIVE_UP_GAPS = 6.0
MIN_GIVE_UP_S = 1.5


class StreamRelay:
    """One target's part of a stream.

    Only whole events are passed on, so that another target can go on after the last of them.

    Args:
        codec: The headers of the deployment.
        route: The request's route.
        progress: What the caller has.
        responder: Takes the answer.
        on_first_event: Called at the first event of this target.
        is_alive: Asks whether the target lives.
    """

    def __init__(
        self,
        *,
        codec: WireCodec,
        route: Route,
        progress: Progress,
        responder: Responder,
        on_first_event: Callable[[], None],
        is_alive: Callable[[], Awaitable[bool]],
    ) -> None:
        self._codec = codec
        self._route = route
        self._progress = progress
        self._responder = responder
        self._on_first_event = on_first_event
        self._is_alive = is_alive
        self._splitter = EventSplitter()

    async def run(self, connection: EgressConnection, head: ResponseHead) -> AttemptOutcome:
        """Relay until the end of the stream.

        Raises:
            EgressError: If it breaks off.
            EventTooLongError: If an event has no end.
        """
        has_begun = False
        while data := await self._read(connection):
            events = self._splitter.feed(data)
            if events and not has_begun:
                has_begun = True
                self._on_first_event()
            for event in events:
                await self._pass_on(event, head)
        return await self._end(head)

    async def _pass_on(self, event: StreamEvent, head: ResponseHead) -> None:
        last_id = self._progress.last_event_id
        if not _follows(event.event_id, last_id):
            raise AnswerBrokenError(f"event {event.event_id!r} came after {last_id!r}")
        await self._begin(head)
        await self._responder.send(event.data)
        if event.event_id:
            self._progress.last_event_id = event.event_id

    async def _end(self, head: ResponseHead) -> AttemptOutcome:
        if self._splitter.has_rest:
            return AttemptOutcome(delivery=Delivery.LOST, reason="the stream ends within an event")
        await self._begin(head)
        await self._responder.finish()
        return AttemptOutcome(delivery=Delivery.DONE, reason="", status=head.status)

    async def _begin(self, head: ResponseHead) -> None:
        if not self._responder.has_begun:
            await self._responder.start_stream(head.status, self._codec.caller_headers(head))

    async def _read(self, connection: EgressConnection) -> bytes:
        gap_s = self._route.max_gap_s or 0.0
        return await read_patiently(
            connection.read_body,
            connection,
            first_s=max(MIN_ASK_S, ASK_GAPS * gap_s) if self._route.is_resumable else None,
            whole_s=max(MIN_GIVE_UP_S, GIVE_UP_GAPS * gap_s),
            is_alive=self._is_alive,
        )


def _follows(event_id: bytes, last_event_id: bytes) -> bool:
    """Tell whether an event is the next one; ids that are no numbers can't be checked."""
    if not event_id.isdigit() or not last_event_id.isdigit():
        return True
    return int(event_id) == int(last_event_id) + 1
