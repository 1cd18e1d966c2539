"""Plays seeded changes of the configuration and silent targets beside callers that keep connections.

Each request that an entry has read gets a complete response or a refusal.
"""

import asyncio
import os
import random

from .support.gateways import GatewayCase, configuration, parse_reply, route

FIRST_SEED = int(os.environ.get("SEED", "1"))
SEEDS = range(FIRST_SEED, FIRST_SEED + int(os.environ.get("N", "12")))
PLAY_S = 8.0
DEADLINE_MS = 4000
SLACK_S = 0.1
MIN_TIMEOUT_MS = 3000
MIN_IDLE_TIMEOUT_MS = 2000
MAX_PAUSE_S = 0.8 * MIN_IDLE_TIMEOUT_MS / 1000
MAX_SILENCE_S = 1.2


class KeptConnection:
    """A caller that sends requests over one connection while the entry keeps it open."""

    def __init__(self, fleet, entry):
        self._fleet = fleet
        self._entry = entry
        self._transport = None
        self._caller = None

    async def ask(self, kind, path):
        """Return the reply, and the time that it took."""
        if self._transport is None or self._caller.ended.is_set():
            self._transport, self._caller = await self._fleet.open_caller(self._entry)
        self._caller.data = b""
        began_s = self._fleet.loop.time()
        self._transport.write(self._fleet.render(kind, path=path, deadline_ms=DEADLINE_MS))
        while (reply := parse_reply(self._caller.data)) is None and not self._caller.ended.is_set():
            self._caller.changed.clear()
            await self._caller.changed.wait()
        reply = reply or parse_reply(self._caller.data, ended=True)
        reply.taken_s = self._fleet.loop.time() - began_s
        if reply.headers.get("connection", "").lower() == "close":
            self.close()
        return reply

    def close(self):
        if self._transport is not None:
            self._transport.abort()
            self._transport = None


def draw_configuration(rng, version):
    """Return a configuration that may move, split, add and remove routes and change limits."""
    routes = []
    for kind in ("safe", "unsafe", "stream"):
        services = ("engines", "engines-2") if kind == "stream" else ("pool", "pool-2")
        changes = {
            "service": rng.choice(services),
            "timeout_ms": rng.choice((MIN_TIMEOUT_MS, 10_000)),
            "target_latency_ms": rng.choice((100, 300)),
        }
        if rng.random() < 0.3:
            changes["traffic_split"] = [
                {"service": service, "weight": rng.randint(1, 9)} for service in services
            ]
        if rng.random() < 0.9:
            routes.append(route(kind, **changes))
        if rng.random() < 0.3:
            routes.append(route(kind, name=f"r-{kind}-x", path_prefix=f"/{kind}/x/", **changes))
    base = configuration(version, routes=routes)
    engines, pool = base["services"][1], base["services"][0]
    base["services"] += [engines | {"name": "engines-2"}, pool | {"name": "pool-2"}]
    if rng.random() < 0.1:
        base["services"] = base["services"][:2]
    base["limits"] |= {"idle_timeout_ms": rng.choice((MIN_IDLE_TIMEOUT_MS, 5000, 15_000))}
    if rng.random() < 0.2:
        base["tenants"] = [{"name": "reef", "api_keys": ["another-key"]}]
    return base


class AnswersBesideChangesTest(GatewayCase):
    async def change(self, fleet, rng):
        for version in range(4, 200):
            await asyncio.sleep(rng.uniform(0.02, 0.8))
            fleet.store.write("keyed.op", "config", draw_configuration(rng, version))

    async def silence(self, fleet, rng):
        while True:
            await asyncio.sleep(rng.uniform(0.2, 2.0))
            target = rng.choice(list(fleet.targets.values()))
            await target.fall_silent(rng.uniform(0.3, MAX_SILENCE_S))

    async def call(self, fleet, rng, entry, replies):
        connection = KeptConnection(fleet, entry)
        end_s = fleet.loop.time() + PLAY_S
        while fleet.loop.time() < end_s:
            kind = rng.choice(("safe", "unsafe", "stream", "stream"))
            path = f"/{kind}/x/y" if rng.random() < 0.2 else None
            replies.append((kind, await connection.ask(kind, path)))
            await asyncio.sleep(rng.choice((0.0, 0.01, 0.3, MAX_PAUSE_S)))
        connection.close()

    def play(self, seed):
        async def scenario(fleet):
            rng = random.Random(seed)
            for target in fleet.targets.values():
                target.gap_s = rng.choice((0.05, 0.2))
            troubles = [
                fleet.loop.create_task(trouble(fleet, random.Random(rng.random())))
                for trouble in (self.change, self.silence)
            ]
            replies = []
            callers = (
                self.call(fleet, random.Random(rng.random()), number % 2, replies)
                for number in range(16)
            )
            await asyncio.gather(*callers)
            for task in troubles:
                task.cancel()
            return replies

        targets = ("pool", "pool", "pool-2", "engines", "engines", "engines-2", "engines-2")
        first = draw_configuration(random.Random(seed), 3)
        return self.run_scenario(scenario, entries=2, targets=targets, config=first)

    def test_every_request_gets_a_complete_response_or_a_refusal(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                replies = self.play(seed)
                self.assertGreater(sum(reply.status == 200 for _, reply in replies), 50)
                for kind, reply in replies:
                    timed_out = reply.taken_s >= MIN_TIMEOUT_MS / 1000
                    self.assertTrue(reply.whole or timed_out, (kind, reply))
                    self.assertLess(reply.taken_s, DEADLINE_MS / 1000 + SLACK_S, (kind, reply))


class ChangedServiceTest(GatewayCase):
    def test_stream_with_long_event_gaps_is_not_cut_when_a_change_drops_its_service(self):
        async def scenario(fleet):
            for target in fleet.targets.values():
                target.gap_s = 0.8
            asking = fleet.loop.create_task(fleet.ask("stream", deadline_ms=9000))
            await asyncio.sleep(0.1)
            change = configuration(4, routes=[route("stream", service="engines-2")])
            change["services"][1] |= {"name": "engines-2"}
            fleet.store.write("keyed.op", "config", change)
            reply = await asking
            return reply, len(fleet.runs)

        for targets in (("engines",), ("engines", "engines")):
            with self.subTest(targets=targets):
                reply, runs = self.run_scenario(scenario, targets=targets)
                self.assertEqual((reply.events, reply.whole), ([1, 2, 3, 4, 5], True), reply)
                self.assertEqual(runs, 1)
