"""The stand-in store, with a listener for each entry so that it can treat them differently."""

import asyncio
from functools import partial

from cicadatiller.ingress import IngressServer, Request, Responder, Response
from tests.support.wire import StoreStandin

SLOW_ANSWER_S = 0.8
FIRST_ERA = 1
ERA_HEADER = b"Store-Era"
UNAVAILABLE = 503


class SoakStore(StoreStandin):
    """A store with faults.

    Attributes:
        is_slow: Whether each answer comes late.
        is_silent: Whether calls get no answer.
        loses_answers: Whether calls take effect and get no answer.
        refused_entries: The entries whose calls are refused; a number is in it once for each
            fault that refuses that entry.
        era: The value of the header that rises when an older copy takes over.
    """

    def __init__(self) -> None:
        super().__init__()
        self.is_slow = False
        self.is_silent = False
        self.loses_answers = False
        self.refused_entries: list[int] = []
        self.era = FIRST_ERA
        self._lost_calls_end = asyncio.Event()
        self._written_s: dict[str, list[float]] = {}
        self._listeners: list[IngressServer] = []

    async def listen(self, entry: int, host: str, port: int) -> None:
        """Listen for the calls of one entry."""
        listener = IngressServer(handler=partial(self._serve, entry))
        await listener.start(host, port)
        self._listeners.append(listener)

    def close(self) -> None:
        """Close all listeners and connections."""
        for listener in self._listeners:
            listener.close()

    def write(self, topic, key, value) -> None:
        """Append a record and remember when."""
        now_s = asyncio.get_running_loop().time()
        self._written_s.setdefault(topic, []).append(now_s)
        super().write(topic, key, value)

    def drop_all_history(self) -> None:
        """Drop all records except the newest of each key."""
        for topic in list(self._records):
            self.drop_history(topic)

    def return_to(self, time_s: float) -> None:
        """Go on from a copy as old as a loop time; what was written since is gone."""
        self.era += 1
        for topic, times in self._written_s.items():
            kept = sum(written_s <= time_s for written_s in times)
            del times[kept:], self._records[topic][kept:]
            self._first[topic] = min(self._first[topic], kept)
        self._changed.set()
        self._changed = asyncio.Event()

    def end_lost_calls(self) -> None:
        """Close the connections whose calls got no answer."""
        self._lost_calls_end.set()
        self._lost_calls_end = asyncio.Event()

    async def _serve(self, entry: int, request: Request, responder: Responder) -> None:
        if entry in self.refused_entries:
            await responder.answer(Response(status=UNAVAILABLE))
            return
        if self.is_silent:
            await self._lost_calls_end.wait()
            responder.abort()
            return
        if self.is_slow:
            await asyncio.sleep(SLOW_ANSWER_S)
        response = _KeptResponse()
        await self._handle(request, response)
        if self.loses_answers or self.is_silent:
            await self._lost_calls_end.wait()
            responder.abort()
            return
        answer = response.kept
        headers = (*answer.headers, (ERA_HEADER, b"%d" % self.era))
        await responder.answer(Response(status=answer.status, headers=headers, body=answer.body))

    async def _read(self, query, body):
        """Serve a read; an offset that an older copy doesn't have is gone."""
        topic = query["topic"]
        if self.era > FIRST_ERA and int(query["from"]) > len(self._records[topic]):
            return 410, b'{"first": %d}' % self._first[topic]
        return await super()._read(query, body)


class _KeptResponse:
    """Keeps the response of the stand-in, so that it can be lost or changed."""

    kept: Response

    async def answer(self, answer: Response) -> None:
        self.kept = answer
