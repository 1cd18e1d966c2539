"""Tests of what entries accept from peers about what crashes targets."""

from unittest import mock

from cicadatiller.kernel import Event
from cicadatiller.mesh import ClearedFingerprint, Evidence, LostRequest, TrippedBreaker
from cicadatiller.mesh._evidence import MAX_NAME_LENGTH, MAX_ROWS, from_rows, to_rows

from .support.gateways import GatewayCase, configuration

LOST = LostRequest(
    target_id="t", request="f1", fingerprints=("5a", "5b"), sent_age_s=0.2, lost_age_s=0.1
)
TRIPPED = TrippedBreaker(
    fingerprint="5a", losses=3, age_s=1.0, opens_in_s=0.0, probe_in_s=60.0, probe_delay_s=60.0
)
CLEARED = ClearedFingerprint(fingerprint="5c", age_s=0.1)
ROWS = to_rows(Evidence(losses=(LOST,), opened=(TRIPPED,), cleared=(CLEARED,)))
LOST_ROW, TRIPPED_ROW, CLEARED_ROW = (group[0] for group in ROWS)
MALFORMED = {
    "no list": 7,
    "text": "rows",
    "groups missing": [[LOST_ROW]],
    "a group of another type": [[LOST_ROW], 3, []],
    "a loss without times": [[LOST_ROW[:3]], [], []],
    "times as text": [[[*LOST_ROW[:3], "1", "2"]], [], []],
    "a target without a name": [[[None, *LOST_ROW[1:]]], [], []],
    "fingerprints of another type": [[[*LOST_ROW[:2], [1.5, None], 1, 1]], [], []],
    "numbers as fingerprints": [[[*LOST_ROW[:2], [1.5, 7], 1, 1]], [], []],
    "a number as a name": [[], [[7, *TRIPPED_ROW[1:]]], []],
    "a name as a count": [[], [[*TRIPPED_ROW[:5], "3", 0]], []],
    "too many fingerprints": [[[*LOST_ROW[:2], ["5a"] * 999, 1, 1]], [], []],
    "a long name": [[["t" * (MAX_NAME_LENGTH + 1), *LOST_ROW[1:]]], [], []],
    "too many rows": [[], [], [CLEARED_ROW] * (MAX_ROWS + 1)],
    "no time": [[], [[*TRIPPED_ROW[:1], float("nan"), *TRIPPED_ROW[2:]]], []],
    "an endless time": [[], [], [["5c", float("inf")]]],
    "a time beyond any range": [[], [], [["5c", 10**400]]],
    "a count beyond any range": [[], [[*TRIPPED_ROW[:5], 10**400, 0]], []],
    "good rows beside a bad one": [[LOST_ROW], [TRIPPED_ROW], [["5c", None]]],
}


class EvidenceTest(GatewayCase):
    def apply(self, *messages):
        """Let an entry apply messages of one link; return its state and the lines that it wrote."""

        async def scenario(fleet):
            exchange = fleet.gateways[0].peer_sync.evidence
            for rows in messages:
                exchange.apply("front-9", from_rows(rows))
            breakers = exchange.breakers
            return len(breakers.losses), len(breakers.open_breakers)

        with mock.patch("cicadatiller.evidence._exchange.log_event") as log_event:
            state = self.run_scenario(scenario, config=configuration(3))
        lines = [call for call in log_event.mock_calls if call.args[0] is Event.EVIDENCE_REFUSED]
        return state, len(lines)

    def test_sound_message_is_applied(self):
        self.assertEqual(self.apply(ROWS), ((1, 1), 0))

    def test_malformed_message_changes_nothing_and_is_logged(self):
        for name, rows in MALFORMED.items():
            with self.subTest(name):
                self.assertEqual(self.apply(rows), ((0, 0), 1))

    def test_malformed_messages_are_logged_once_a_link(self):
        self.assertEqual(self.apply(*MALFORMED.values()), ((0, 0), 1))
