"""Tests of answers with neither a length nor chunks, which end with their connection."""

import asyncio

from .support.gateways import SETTLE_S, ZONES, GatewayCase, configuration, route
from .support.known_red import known_red
from .support.unframed import UnframedTarget, events

WHOLE_STREAM = (events(1, 5), "close")
PARTS = (b"Prompt-Prefix", b"5a:40,5b:900,f1:60")


def answer_first(first):
    """Return an answer that is `first` at the first request of all targets, then a whole stream."""
    seen = []

    def answer(headers, number):
        seen.append(number)
        if len(seen) == 1:
            return first
        return events(int(headers.get("last-event-id", 0)) + 1, 5), "close"

    return answer


class UnframedCase(GatewayCase):
    def ask(self, kind, answer, *, headers=(), config=None):
        """Return the reply to one request, and the targets."""

        async def scenario(fleet):
            for number in (1, 2):
                service = "engines" if kind == "stream" else "pool"
                target = UnframedTarget(f"u-{number}", service=service, zone=ZONES[number])
                await target.start(f"10.0.2.{number}")
                target.answer = answer
                fleet.targets[target.instance_id] = target
                fleet.register(target)
            await fleet.add_gateway()
            await asyncio.sleep(SETTLE_S)
            reply = await fleet.ask(kind, headers=headers)
            requests = [headers for t in fleet.targets.values() for headers in t.requests]
            losses = fleet.gateways[0].peer_sync.evidence.breakers.losses
            return reply, requests, losses

        return self.run_scenario(scenario, targets=(), entries=0, config=config)


class CallTest(UnframedCase):
    def test_call_is_whole_when_the_connection_is_closed(self):
        reply, requests, _ = self.ask("safe", lambda headers, number: ([b"an", b"swer"], "close"))
        self.assertEqual((reply.status, reply.body, reply.whole), (200, b"answer", True))
        self.assertEqual(len(requests), 1)

    def test_call_that_is_reset_is_not_whole(self):
        reply, requests, _ = self.ask("safe", lambda headers, number: ([b"ans"], "reset"))
        self.assertEqual((reply.status, len(requests)), (502, 2))


class StreamTest(UnframedCase):
    def assert_whole(self, reply):
        self.assertEqual((reply.status, reply.events, reply.whole), (200, [1, 2, 3, 4, 5], True))

    def test_stream_is_whole_when_the_connection_is_closed_after_an_event(self):
        reply, requests, _ = self.ask("stream", lambda headers, number: WHOLE_STREAM)
        self.assert_whole(reply)
        self.assertEqual(len(requests), 1)

    def test_stream_that_ends_inside_an_event_goes_on_at_another_target(self):
        first = ([*events(1, 3), b"id: 4\nda"], "close")
        reply, requests, _ = self.ask("stream", answer_first(first))
        self.assert_whole(reply)
        self.assertEqual({headers.get("last-event-id") for headers in requests}, {None, "3"})

    def test_stream_that_is_reset_after_an_event_goes_on_at_another_target(self):
        reply, _, _ = self.ask("stream", answer_first((events(1, 3), "reset")))
        self.assert_whole(reply)

    def test_stream_that_ends_inside_an_event_and_can_not_go_on_does_not_look_whole(self):
        routes = [route("stream", stream_resume=False, max_attempts=1)]
        reply, _, _ = self.ask(
            "stream",
            answer_first(([*events(1, 3), b"id: 4\nda"], "close")),
            config=configuration(3, routes=routes),
        )
        self.assertEqual((reply.events, reply.whole), ([1, 2, 3], False))

    def test_stream_that_ends_before_its_first_event_is_sent_to_another_target(self):
        for body in ([], [b"id: 1\nda"]):
            for end, lost in (("close", []), ("reset", []), ("crash", [("5a", "5b")])):
                with self.subTest(body=body, end=end):
                    reply, requests, losses = self.ask(
                        "stream", answer_first((body, end)), headers=[PARTS]
                    )
                    self.assert_whole(reply)
                    self.assertEqual(len(requests), 2)
                    self.assertEqual([loss.fingerprints[:2] for loss in losses], lost)

    # The end of a target's last connection is taken for the end of its stream.
    @known_red
    def test_stream_whose_target_crashes_after_an_event_goes_on_at_another_target(self):
        answer = answer_first((events(1, 3), "crash"))
        reply, requests, losses = self.ask("stream", answer, headers=[PARTS])
        self.assertEqual([loss.fingerprints[:2] for loss in losses], [("5a", "5b")])
        self.assertEqual({headers.get("last-event-id") for headers in requests}, {None, "3"})
        self.assert_whole(reply)

    def test_rest_of_a_stream_may_be_empty(self):
        reply, requests, _ = self.ask(
            "stream", lambda headers, number: ([], "close"), headers=[(b"Last-Event-Id", b"5")]
        )
        self.assertEqual((reply.status, reply.events, reply.whole), (200, [], True))
        # A second target confirms it, as the first one may have broken off.
        self.assertEqual(len(requests), 2)
