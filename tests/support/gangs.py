"""Fleets of small engines, and prompts that exceed the memory of one of them."""

import asyncio

from cicadatiller.standins import EngineModel, expected_answer

from .fleet import Fleet
from .paused_loop import PausedCase

KV_TOKENS = 1_000
MODEL = EngineModel(kv_capacity_tokens=KV_TOKENS, prefill_token_s=1 / 1_000)
# Three engines together hold one and a half prompts of this length.
HUGE_PROMPT_TOKENS = 2_000
TIME_LIMIT_S = 300.0


def huge_prompt(name: str, tokens: int = HUGE_PROMPT_TOKENS) -> str:
    """Return a prompt of a given number of tokens."""
    return f"plant history {name} ".ljust(tokens * 4, "x")


def small_fleet(engines: int = 3) -> Fleet:
    """Return a fleet of engines with little memory."""
    return Fleet(engines=engines, entries=1, model=MODEL)


class GangCase(PausedCase):
    """A test case that sends huge prompts to a fleet."""

    def assert_complete(self, outcome, prompt):
        """Check that a response is correct and complete."""
        self.assertIsNone(outcome.failure)
        self.assertEqual(tuple(outcome.texts), expected_answer(prompt, 8))
        self.assertIsNotNone(outcome.done)

    def start_huge_request(self, fleet, name, **changes):
        """Start a huge request."""
        request = fleet.generation(huge_prompt(name), **({"time_limit_s": TIME_LIMIT_S} | changes))
        return asyncio.create_task(fleet.ask(request))
