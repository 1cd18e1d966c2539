"""Entries that hear of each other's evidence, targets that end under some requests, no network.

Only the breakers, and what tells requests apart, are the product's own.
"""

import heapq
import itertools
import random
from dataclasses import dataclass, replace

from cicadatiller.entry._crash_guard import request_fingerprint
from cicadatiller.entry._prompt_parts import PartNames
from cicadatiller.entry._requests import WorkRequest
from cicadatiller.fleet import WEIGHING_DELAY_S, FingerprintBreakers, RequestLoss
from cicadatiller.gateway._fingerprint import fingerprints
from cicadatiller.gateway._job import Job
from cicadatiller.gateway._wire import RequestFields
from cicadatiller.ingress import IngressLimits, RequestParser
from cicadatiller.routes import Workspace

PLAY_S = 24.0
# Long enough to know what finishes, as entries do that have not just started.
CALM_S = 6.0
PROBING_ENTRY = 0
COMMON, CRASHING = "5a", "bad0"
SUBJECTS = 6
WORKSPACES = ("reef", "lagoon")


@dataclass(frozen=True, kw_only=True)
class Prompt:
    """What a caller asks for, on either interface.

    Attributes:
        workspace: The caller's workspace.
        parts: What it shares with other prompts.
        session: What belongs to the request itself, or to its session.
        tokens: The length of the prompt.
        body: The rest of it.
    """

    workspace: str
    parts: tuple[str, ...]
    session: str
    tokens: int
    body: bytes


ONE_REQUEST = Prompt(
    workspace=WORKSPACES[0], parts=(COMMON, "5b0"), session="c0", tokens=1000, body=b"copy"
)


def describe_on_platform(prompt):
    """Return what tells a request from others on the platform's interface, and its fingerprints."""
    head = b"POST /stream/x HTTP/1.1\r\nHost: n\r\nContent-Length: %d\r\n\r\n" % len(prompt.body)
    parser = RequestParser(limits=IngressLimits)
    (request,) = parser.feed(head + prompt.body, 0.0)
    fields = RequestFields(
        request_id="a1",
        host="n",
        prompt_tokens=prompt.tokens,
        max_output_tokens=400,
        prompt_parts=(*prompt.parts, prompt.session),
    )
    names = fingerprints(
        request,
        host="n",
        workspace=prompt.workspace,
        prompt_tokens=fields.prompt_tokens,
        max_output_tokens=fields.max_output_tokens,
        prompt_parts=fields.prompt_parts,
    )
    job = Job(
        request=request,
        fields=fields,
        route=None,
        service="engines",
        workspace=Workspace(name=prompt.workspace),
        fingerprints=names,
        caller_deadline_s=0.0,
        deadline_s=0.0,
    )
    return job.identity, names


def describe_on_own_interface(prompt):
    """Return the same on the project's own interface, where a prompt is plain text."""
    lines = (*prompt.parts, f"session {prompt.session}", f"turn {prompt.tokens} {prompt.body!r}")
    request = WorkRequest(
        workspace=prompt.workspace,
        time_limit_s=10.0,
        model="m",
        prompt="\n".join(lines),
        max_output_tokens=400,
    )
    identity = request_fingerprint(request)
    return identity, (*PartNames().all_names(request), identity)


@dataclass(frozen=True, kw_only=True)
class Load:
    """What callers send, and how targets and entries behave.

    Attributes:
        is_one_request: Whether the crashing requests are copies of one, which sound ones resemble but
            for what belongs to it, instead of requests with one part.
        crashing_sessions: The number of sessions whose turns have the part; 0 if each has its own.
        sound_sessions: The same of the sound requests.
        turns_of_subject: How many crashing requests in a row share a part of their own that
            follows the one under which targets end; 0 if they share those of the sound ones.
        turns_are_unlike: Whether each turn has a body of its own; else only its length differs.
        workspaces: The number of workspaces that send.
        entries: The number of entries.
        targets: The number of targets.
        max_attempts: How often a request is sent at most.
        retries: How often a caller comes again after a loss.
        crashing_interval_s: The time between two moments at which crashing requests come.
        crashing_at_once: How many come then.
        sound_interval_s: The time between two others.
        crash_s: The time from the begin of a request with the part to the end of its target.
        run_s: The time that sound requests take.
        restart_s: The time until a target that ended is back.
        delay_s: The time until an entry hears of another one's evidence.
        seed: Seeds the rest.
    """

    is_one_request: bool
    crashing_sessions: int
    sound_sessions: int
    turns_of_subject: int
    turns_are_unlike: bool
    workspaces: int
    entries: int
    targets: int
    max_attempts: int
    retries: int
    crashing_interval_s: float
    crashing_at_once: int
    sound_interval_s: float
    crash_s: float
    run_s: float
    restart_s: float
    delay_s: float
    seed: int


@dataclass(kw_only=True)
class Sent:
    """A request on its way; `running_at` is the run of its target."""

    entry: int
    is_crashing: bool
    identity: str
    names: tuple[str, ...]
    at_s: float
    sends: int = 0
    retries_left: int = 0
    sent_s: float = 0.0
    running_at: str = ""


class EvidencePlay:
    """Plays a load on some entries.

    Args:
        load: What happens.
        describe: Returns what tells a prompt's request from others, and its fingerprints.

    Attributes:
        crashed_s: When targets ended under crashing requests.
        reached_s: When crashing requests reached targets.
        sound: When each sound request came, and whether it was sent on at once.
    """

    def __init__(self, load, describe):
        self.load = load
        self.describe = describe
        self.now_s = 0.0
        self.crashed_s, self.reached_s, self.sound = [], [], []
        self.rng = random.Random(load.seed)
        self.turns = itertools.count(1)
        self.crashing_turns = itertools.count()
        self.down_until_s = [0.0] * load.targets
        self.running = [[] for _ in range(load.targets)]
        self.runs = [0] * load.targets
        self._events, self._order = [], itertools.count()
        self.entries = [_Entry(self) for _ in range(load.entries)]

    def at(self, at_s, call, *arguments):
        heapq.heappush(self._events, (at_s, next(self._order), call, arguments))

    def run(self):
        """Play to the end."""
        self.at(0.0, self._come, False, self.load.sound_interval_s)
        self.at(CALM_S, self._come, True, self.load.crashing_interval_s)
        while self._events and self._events[0][0] < PLAY_S:
            self.now_s, _, call, arguments = heapq.heappop(self._events)
            call(*arguments)

    def _come(self, is_crashing, interval_s):
        self.at(self.now_s + interval_s, self._come, is_crashing, interval_s)
        for _ in range(self.load.crashing_at_once if is_crashing else 1):
            self._ask(is_crashing)

    def _ask(self, is_crashing):
        is_copy = is_crashing and self.load.is_one_request
        prompt = ONE_REQUEST if is_copy else self._draw_prompt(is_crashing)
        identity, names = self.describe(prompt)
        sent = Sent(
            entry=self.rng.randrange(self.load.entries),
            is_crashing=is_crashing,
            identity=identity,
            names=names,
            at_s=self.now_s,
            retries_left=self.load.retries,
        )
        self.admit(sent)

    def _draw_prompt(self, is_crashing):
        load, turn = self.load, next(self.turns)
        sessions = load.crashing_sessions if is_crashing else load.sound_sessions
        number = turn % sessions if sessions else turn
        return Prompt(
            workspace=WORKSPACES[self.rng.randrange(load.workspaces)],
            parts=self._draw_parts(is_crashing),
            session=f"{'c' if is_crashing else 'e'}{number:x}",
            tokens=1000 + turn,
            body=b"turn %d" % turn if load.turns_are_unlike else b"prompt",
        )

    def _draw_parts(self, is_crashing):
        subject = f"5b{self.rng.randrange(SUBJECTS):x}"
        if not is_crashing:
            return (COMMON, subject)
        turn, turns = next(self.crashing_turns), self.load.turns_of_subject
        return (COMMON, CRASHING, f"5c{turn // turns:x}") if turns else (COMMON, subject, CRASHING)

    def admit(self, sent):
        """Send a request on, refuse it, or let it wait until no entry may object any more."""
        breakers = self.entries[sent.entry].breakers
        settled_s = breakers.objections_end_s(sent.names, self.now_s)
        if settled_s > self.now_s:
            self.at(settled_s, self.admit, sent)
            return
        opened = breakers.find_open(sent.names, self.now_s)
        may_send = opened is None or self._may_probe(sent, opened)
        if not sent.is_crashing and not sent.sends:
            self.sound.append((sent.at_s, may_send))
        if not may_send:
            return
        if opened is not None:
            breakers.record_probe(opened, self.now_s)
        self._send(sent)

    def _may_probe(self, sent, opened):
        others = [name for name in sent.names if name != opened.fingerprint]
        breakers = self.entries[sent.entry].breakers
        if sent.sends or breakers.find_open(others, self.now_s) is not None:
            return False
        return sent.entry == PROBING_ENTRY and opened.is_probe_due(self.now_s)

    def _send(self, sent):
        up = [n for n in range(self.load.targets) if self.down_until_s[n] <= self.now_s]
        if not up:
            return
        target = self.rng.choice(up)
        sent.sends += 1
        sent.sent_s = self.now_s
        sent.running_at = f"t-{target}@{self.runs[target]}"
        self.running[target].append(sent)
        if sent.is_crashing:
            self.reached_s.append(self.now_s)
            self.at(self.now_s + self.load.crash_s, self._crash, target, sent)
        else:
            self.at(self.now_s + self.load.run_s, self._finish, target, sent, sent.running_at)

    def _crash(self, target, sent):
        if sent not in self.running[target]:
            return
        self.crashed_s.append(self.now_s)
        self.down_until_s[target] = self.now_s + self.load.restart_s
        self.runs[target] += 1
        lost, self.running[target] = self.running[target], []
        for one in lost:
            self.entries[one.entry].record_loss(one)
            self.at(self.now_s + WEIGHING_DELAY_S, self._go_on, one)

    def _go_on(self, sent):
        if sent.sends < self.load.max_attempts:
            self.admit(sent)
        elif sent.retries_left:
            again = replace(
                sent,
                entry=self.rng.randrange(self.load.entries),
                at_s=self.now_s,
                sends=0,
                retries_left=sent.retries_left - 1,
            )
            self.admit(again)

    def _finish(self, target, sent, running_at):
        if sent in self.running[target] and sent.running_at == running_at:
            self.running[target].remove(sent)
            self.entries[sent.entry].breakers.record_finished(sent.names, self.now_s)


class _Entry:
    """One entry's breakers, and what its peers hear of them."""

    def __init__(self, play):
        self._play = play
        self.breakers = FingerprintBreakers(listener=self, started_s=-CALM_S)

    def record_loss(self, sent):
        loss = RequestLoss(
            target_id=sent.running_at,
            request=sent.identity,
            fingerprints=sent.names,
            sent_s=sent.sent_s,
            lost_s=self._play.now_s,
        )
        self.breakers.record_loss(loss, self._play.now_s)

    def request_lost(self, loss):
        self._play.at(self._play.now_s + WEIGHING_DELAY_S, self._weigh)
        self._tell(lambda peer: peer.record_loss(loss, self._play.now_s))

    def breaker_opened(self, opened):
        self._tell(lambda peer: peer.record_open(opened, self._play.now_s))

    def fingerprint_cleared(self, fingerprint, cleared_s):
        self._tell(lambda peer: peer.record_cleared(fingerprint, cleared_s))

    def _weigh(self):
        self.breakers.weigh(self._play.now_s)

    def _tell(self, apply):
        heard_s = self._play.now_s + self._play.load.delay_s
        for peer in self._play.entries:
            if peer is not self:
                self._play.at(heard_s, apply, peer.breakers)
