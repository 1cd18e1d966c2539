"""Requests through an entry to a target and back, without faults."""

from cicadatiller.kernel import ErrorKind, RunState
from cicadatiller.standins import expected_answer

from .support import Fleet, PausedCase


class WholePathTest(PausedCase):
    def test_generation_is_whole(self):
        async def scenario():
            async with Fleet() as fleet:
                outcome = await fleet.ask(fleet.generation("stock check"))
                self.assertEqual(tuple(outcome.texts), expected_answer("stock check", 8))
                self.assertIsNotNone(outcome.done)
                self.assertEqual(fleet.executions("stock check"), 1)
                self.assertEqual(fleet.kv_used_tokens(), 0)

        self.run_paused(scenario())

    def test_call_with_one_id_through_two_entries_runs_once(self):
        async def scenario():
            async with Fleet() as fleet:
                request_id = await fleet.entries[0].service.open_request("depots", "", "dispatch")
                request = fleet.service_call(b"two pallets", request_id=request_id)
                first = await fleet.ask(request, entry=0)
                second = await fleet.ask(request, entry=1)
                self.assertEqual(first.done.payload, b"two pallets")
                self.assertEqual(second.done.payload, b"two pallets")
                self.assertEqual(fleet.service.executions[b"two pallets"], 1)

        self.run_paused(scenario())

    def test_unknown_model_is_refused_unrun(self):
        async def scenario():
            async with Fleet() as fleet:
                outcome = await fleet.ask(fleet.generation("x", model="absent"))
                self.assertIs(outcome.failure.kind, ErrorKind.UNKNOWN_MODEL)
                self.assertIs(outcome.failure.run_state, RunState.NOT_RUN)

        self.run_paused(scenario())
