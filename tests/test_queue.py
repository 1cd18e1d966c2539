"""Tests of the order in which queue policies start waiting requests."""

import random
import unittest
from collections import Counter

from cicadatiller.config import PolicyWeights
from cicadatiller.sidecar import ClassQueue
from cicadatiller.sidecar._queue import FifoQueue, Ticket, Verdict

WEIGHTS = PolicyWeights(
    short_prompt_tokens=100, long_prompt_tokens=1_000, long_share=0.25, ageing_s=10.0
)
SHORT = 50
LONG = 5_000


def ticket(tokens, *, workspace="depots", weight=1.0, queued_s=0.0):
    """Return a waiting request that needs KV for its prompt only."""
    return Ticket(
        request_id=f"{workspace}-{tokens}-{random.random()}",
        workspace=workspace,
        weight=weight,
        prompt_tokens=tokens,
        kv_tokens=tokens,
        queued_s=queued_s,
    )


def starts(_ticket, _set_aside):
    """Allow every request to start."""
    return Verdict.STARTS


class Memory:
    """Engine memory that requests occupy until they are removed from `running`."""

    def __init__(self, capacity):
        self.capacity = capacity
        self.running = []
        self.calls = 0

    def can_start(self, item, set_aside):
        """Return whether the request fits beside the running ones."""
        self.calls += 1
        used = sum(other.kv_tokens for other in self.running)
        fits = used + set_aside + item.kv_tokens <= self.capacity
        return Verdict.STARTS if fits else Verdict.NO_MEMORY


class FifoQueueTest(unittest.TestCase):
    def test_arrival_order_with_a_blocked_head(self):
        queue = FifoQueue(weights=WEIGHTS)
        items = [ticket(LONG), ticket(SHORT), ticket(SHORT)]
        for item in items:
            queue.push(item)
        memory = Memory(capacity=LONG - 1)
        self.assertIsNone(queue.pop(0.0, memory.can_start))
        queue.remove(items[0])
        self.assertIs(queue.pop(0.0, memory.can_start), items[1])
        self.assertEqual(queue.tickets(), (items[2],))


class ClassQueueTest(unittest.TestCase):
    def setUp(self):
        self.queue = ClassQueue(weights=WEIGHTS)

    def push_all(self, *items):
        """Add requests and return them."""
        for item in items:
            self.queue.push(item)
        return items

    def pop_all(self, count, now_s=0.0):
        """Start `count` requests; None stands for each that is missing."""
        return [self.queue.pop(now_s, starts) for _ in range(count)]

    def test_short_starts_before_medium(self):
        medium, short = self.push_all(ticket(500), ticket(SHORT))
        self.assertEqual(self.pop_all(3), [short, medium, None])

    def test_ageing_moves_a_request_to_a_shorter_class(self):
        medium, short = self.push_all(ticket(500), ticket(SHORT, queued_s=11.0))
        self.assertEqual(self.pop_all(2, now_s=11.0), [medium, short])

    def test_long_gets_its_share_of_service_while_short_keeps_coming(self):
        served = Counter()
        for _ in range(10):
            self.push_all(ticket(LONG))
        for _ in range(2_000):
            self.push_all(ticket(SHORT))
            item = self.queue.pop(0.0, starts)
            served["long" if item.prompt_tokens == LONG else "short"] += item.prompt_tokens
        share = served["long"] / sum(served.values())
        self.assertGreaterEqual(share, WEIGHTS.long_share)
        self.assertLessEqual(share, WEIGHTS.long_share + LONG / sum(served.values()))

    def test_workspaces_share_by_weight(self):
        for _ in range(400):
            self.push_all(
                ticket(SHORT, workspace="small"), ticket(SHORT, workspace="large", weight=3.0)
            )
        served = Counter(item.workspace for item in self.pop_all(400))
        self.assertAlmostEqual(served["large"], 300, delta=1)

    def test_flood_of_one_workspace_does_not_delay_another(self):
        self.push_all(*(ticket(SHORT, workspace="flood") for _ in range(1_000)))
        self.pop_all(10)
        (other,) = self.push_all(ticket(SHORT, workspace="other"))
        self.assertIn(other, self.pop_all(2))

    def test_idle_workspace_gains_no_credit(self):
        self.push_all(ticket(SHORT, workspace="late"))
        self.pop_all(1)
        self.push_all(*(ticket(SHORT, workspace="steady") for _ in range(100)))
        self.pop_all(100)
        for _ in range(20):
            self.push_all(ticket(SHORT, workspace="late"), ticket(SHORT, workspace="steady"))
        served = Counter(item.workspace for item in self.pop_all(20))
        self.assertAlmostEqual(served["late"], 10, delta=1)

    def test_overtaking_of_a_blocked_request_is_bounded(self):
        memory = Memory(capacity=LONG)
        (large,) = self.push_all(ticket(LONG))
        memory.running = [ticket(1_000)]
        overtaken_tokens = 0
        for _ in range(1_000):
            self.push_all(ticket(SHORT))
            item = self.queue.pop(0.0, memory.can_start)
            if item is large:
                break
            if item is not None:
                overtaken_tokens += item.kv_tokens
                memory.running.append(item)
            if len(memory.running) > 20 or item is None:
                memory.running.pop(0)
        self.assertIs(item, large)
        self.assertLessEqual(overtaken_tokens, LONG + SHORT)

    def test_two_blocked_heads_do_not_block_each_other(self):
        memory = Memory(capacity=LONG)
        self.push_all(ticket(LONG), ticket(900))
        memory.running = [ticket(LONG - 200)]
        for _ in range(200):
            self.push_all(ticket(SHORT))
            self.queue.pop(0.0, memory.can_start)
        memory.running = []
        self.assertIsNotNone(self.queue.pop(0.0, memory.can_start))

    def test_removed_requests_are_skipped(self):
        first, second = self.push_all(ticket(SHORT), ticket(SHORT))
        self.queue.remove(first)
        self.assertEqual(self.queue.tickets(), (second,))
        self.assertEqual(self.pop_all(2), [second, None])

    def test_removed_pinned_request_blocks_no_other(self):
        memory = Memory(capacity=LONG)
        memory.running = [ticket(1_000)]
        (large,) = self.push_all(ticket(LONG))
        for _ in range(200):
            self.push_all(ticket(SHORT))
            self.queue.pop(0.0, memory.can_start)
        self.queue.remove(large)
        self.push_all(ticket(SHORT))
        self.assertIsNotNone(self.queue.pop(0.0, memory.can_start))

    def test_pop_checks_few_of_thousands_of_requests(self):
        rng = random.Random(1)
        for number in range(5_000):
            self.push_all(ticket(rng.choice((SHORT, 500, LONG)), workspace=f"w{number % 50}"))
        memory = Memory(capacity=0)
        for _ in range(100):
            self.assertIsNone(self.queue.pop(0.0, memory.can_start))
        self.assertLessEqual(memory.calls, 100 * 6)

    def test_every_request_is_served_once(self):
        rng = random.Random(2)
        items = self.push_all(
            *(
                ticket(rng.choice((SHORT, 500, LONG)), workspace=f"w{rng.randrange(7)}")
                for _ in range(500)
            )
        )
        removed = set(rng.sample(items, 100))
        memory = Memory(capacity=2 * LONG)
        served = []
        for number in range(5_000):
            if number < 100:
                self.queue.remove(items[number]) if items[number] in removed else None
            item = self.queue.pop(float(number), memory.can_start)
            if item is not None:
                served.append(item)
                memory.running.append(item)
            elif memory.running:
                memory.running.pop(rng.randrange(len(memory.running)))
        self.assertEqual(len(served), len(set(served)))
        withdrawn = {item for item in items[:100] if item in removed}
        self.assertEqual(self.queue.tickets(), ())
        self.assertTrue(set(items) - withdrawn <= set(served))
