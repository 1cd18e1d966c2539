"""Tests of a part that crashes targets in the turns of one session, of which no two are alike."""

from .support.gateways import configuration
from .test_crashing_prompts import (
    CRASHES_WITHOUT_LIMIT,
    ENTRIES,
    MAX_LATER_SENDS,
    ROUTES,
    TARGETS,
    CrashingPartCase,
)

SOUND_SESSION, CRASHING_SESSION = "f0", "f1"
PLAY_S = 15.0
MIN_CRASHING = 20


class CrashingSessionTest(CrashingPartCase):
    """Each turn has the last part of its session, and a body and a length of its own."""

    turns = 0
    are_bodies_equal = False
    sessions_of_sound = None

    def send(self, fleet, entry, *parts):
        self.turns += 1
        named = ("5a", f"5b{self.rng.randrange(12):x}", *parts, self.session_of(parts))
        value = ",".join(f"{part}:250" for part in named).encode()
        asking = fleet.ask(
            "stream",
            entry=entry,
            headers=[(b"Prompt-Prefix", value)],
            tokens=(1000 + self.turns, 400),
            body=b"prompt" if self.are_bodies_equal else b"turn %d" % self.turns,
            deadline_ms=9000,
        )
        return fleet.loop.create_task(asking)

    def session_of(self, parts):
        if parts:
            return CRASHING_SESSION
        return self.sessions_of_sound or f"f{self.rng.getrandbits(60):x}"

    def check(self):
        async def scenario(fleet):
            sound, crashing = await self.play(fleet, PLAY_S)
            return sound, crashing, self.sends_after_limit(fleet)

        sound, crashing, later_sends = self.run_scenario(
            scenario, entries=ENTRIES, targets=TARGETS, config=configuration(3, routes=ROUTES)
        )
        self.assertGreater(len(crashing), MIN_CRASHING)
        self.assertLessEqual(later_sends, MAX_LATER_SENDS, self.crashed_s)
        self.assertLess(len(self.crashed_s), CRASHES_WITHOUT_LIMIT + MAX_LATER_SENDS)
        self.assert_mostly_served(sound)

    # The turns of one session counted as copies of one request, so the part was never refused.
    def test_turns_of_one_session_are_evidence_against_a_part_as_other_requests_are(self):
        self.check()

    def test_turns_with_equal_bodies_are_evidence_if_their_prompts_differ(self):
        self.are_bodies_equal = True
        self.check()

    def test_sound_turns_of_one_session_are_served_beside_it(self):
        self.sessions_of_sound = SOUND_SESSION
        self.check()
