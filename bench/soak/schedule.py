"""The deployment and the faults that one seed stands for."""

import enum
import random
from collections.abc import Sequence
from dataclasses import dataclass, replace
from pathlib import Path
from typing import TypeVar

import cattrs
import orjson

from tests.support.gateways import ZONES

HEALTHY_START_S = 1.0
HEALTHY_END_S = 5.0
MIN_FAULTS = 12
MAX_FAULTS = 36
# Some faults strike the same part again, or another part, within this time after the one before.
SERIES_SHARE = 0.4
MAX_SERIES_GAP_S = 1.0
CALL_TIMES_S = (0.02, 0.1, 0.3)
# A sound target may send nothing for this long and go on afterwards.
MAX_SILENCE_S = 1.2
MIN_DURATION_S = 0.3
MAX_DURATION_S = 3.0

Option = TypeVar("Option")


class FaultKind(enum.Enum):
    """What a fault does; `Fault.subject` is an entry, a target or nothing."""

    ENTRY_STOP = "entry_stop"
    ENTRY_KILL = "entry_kill"
    ENTRY_FREEZE = "entry_freeze"
    ENTRY_RELOAD = "entry_reload"
    ENTRY_BAD_SETTINGS = "entry_bad_settings"
    STORE_LINK_DELAY = "store_link_delay"
    STORE_LINK_RESET = "store_link_reset"
    STORE_LINK_ONE_WAY = "store_link_one_way"
    STORE_LINK_SILENT = "store_link_silent"
    STORE_SLOW = "store_slow"
    STORE_SILENT = "store_silent"
    STORE_REFUSES_ENTRY = "store_refuses_entry"
    STORE_LOSES_ANSWERS = "store_loses_answers"
    STORE_DROPS_HISTORY = "store_drops_history"
    STORE_OLDER_COPY = "store_older_copy"
    TARGET_LINK_DELAY = "target_link_delay"
    TARGET_LINK_RESET = "target_link_reset"
    TARGET_LINK_ONE_WAY = "target_link_one_way"
    TARGET_LINK_SILENT = "target_link_silent"
    TARGET_SILENT = "target_silent"
    TARGET_CRASH = "target_crash"
    TARGET_REBORN = "target_reborn"
    TARGET_DRAIN = "target_drain"
    TARGET_GARBLE = "target_garble"
    TARGET_REFUSES = "target_refuses"
    TARGET_LOSES_ANSWERS = "target_loses_answers"
    TARGET_LIMIT = "target_limit"
    TARGET_REPEATS_ANSWERS = "target_repeats_answers"
    TARGET_REPEATS_REFUSALS = "target_repeats_refusals"
    TARGET_CUTS_HEADS = "target_cuts_heads"
    TARGET_UNNAMED = "target_unnamed"
    TARGET_UNSIGNED = "target_unsigned"
    TARGET_WRONG_REST = "target_wrong_rest"
    TARGET_ENDLESS = "target_endless"
    ENTRIES_KILL = "entries_kill"
    PROMPT_CRASH = "prompt_crash"
    REQUEST_CRASH = "request_crash"
    ROUTE_MOVE = "route_move"
    ROUTE_TOGGLE = "route_toggle"
    TIMEOUT_CHANGE = "timeout_change"
    IDLE_LIMIT_CHANGE = "idle_limit_change"
    KEY_TOGGLE = "key_toggle"
    ZONE_EVACUATE = "zone_evacuate"
    ZONE_COLD = "zone_cold"
    STORE_UNREADABLE = "store_unreadable"


ENTRY_FAULTS = frozenset(
    kind for kind in FaultKind if kind.value.startswith(("entry_", "store_link_", "store_refuses"))
)
TARGET_FAULTS = frozenset(kind for kind in FaultKind if kind.value.startswith("target_"))
# Drawn beside the others, by a generator of their own: they last longer than the others.
LONG_FAULTS = (FaultKind.PROMPT_CRASH, FaultKind.TARGET_LIMIT, FaultKind.REQUEST_CRASH)
MAX_LONG_FAULTS = 2
MIN_LONG_S = 8.0
MAX_LONG_S = 12.0
# Drawn by generators of their own, as older seeds have none of them.
OPERATOR_FAULTS = (FaultKind.ZONE_EVACUATE, FaultKind.STORE_UNREADABLE, FaultKind.ZONE_COLD)
MAX_OPERATOR_FAULTS = 2
ANSWER_FAULTS = (
    FaultKind.TARGET_REPEATS_ANSWERS,
    FaultKind.TARGET_REPEATS_REFUSALS,
    FaultKind.TARGET_CUTS_HEADS,
    FaultKind.TARGET_UNNAMED,
    FaultKind.TARGET_UNSIGNED,
    FaultKind.TARGET_WRONG_REST,
)
LONG_ANSWER_FAULTS = (FaultKind.TARGET_REPEATS_ANSWERS, FaultKind.TARGET_UNNAMED)
MAX_ANSWER_FAULTS = 2
MIN_ANSWER_FAULT_S = 1.0
MAX_ANSWER_FAULT_S = 5.0
# Bytes without end, and kills of all entries at once.
CROWD_FAULTS = (FaultKind.TARGET_ENDLESS, FaultKind.ENTRIES_KILL)
MAX_CROWD_FAULTS = 2
CRASH_FAULTS = frozenset({FaultKind.PROMPT_CRASH, FaultKind.REQUEST_CRASH})
# The time that entries need at least to learn what crashes targets, and to store it.
MIN_KNOWN_S = 6.0
# The shortest and the longest; of kills, the time until the entries start again.
CROWD_FAULT_S = {FaultKind.TARGET_ENDLESS: (2.0, 5.0), FaultKind.ENTRIES_KILL: (0.3, 1.0)}
# Drawn only if asked for.
OPTIONAL_FAULTS = frozenset({FaultKind.STORE_OLDER_COPY})


@dataclass(frozen=True, kw_only=True)
class Fault:
    """One fault.

    Attributes:
        at_s: Its begin, from the start of the load.
        kind: What it does.
        subject: The number of the entry or target that it hits; 0 if it hits neither.
        for_s: How long it lasts; 0 if it has no duration.
    """

    at_s: float
    kind: FaultKind
    subject: int
    for_s: float

    @property
    def number(self) -> int:
        """Return a number that the begin determines, for what the schedule leaves open."""
        return int(self.at_s * 100)

    def choose(self, options: Sequence[Option]) -> Option:
        """Return the option that the begin determines."""
        return options[self.number % len(options)]

    def choose_by_duration(self, options: Sequence[Option]) -> Option:
        """Return the option that the duration determines."""
        return options[int(self.for_s * 100) % len(options)]


@dataclass(frozen=True, kw_only=True)
class Deployment:
    """The processes of a run and the load on them.

    Attributes:
        entries: Number of entries.
        engines: Number of targets that serve streams.
        services: Number of targets of each of the two plain services.
        callers: Number of callers, each with one request at a time.
        call_s: How long targets work on a call.
        shutdown_s: Time from SIGTERM until an entry is killed.
        retry_slack: Retries that are allowed in each window beyond a share of the requests.
        load_s: Duration of the load.
    """

    entries: int
    engines: int
    services: int
    callers: int
    call_s: float
    shutdown_s: int
    retry_slack: int
    load_s: float


@dataclass(frozen=True, kw_only=True)
class Schedule:
    """All that a run is made from."""

    seed: int
    deployment: Deployment
    faults: tuple[Fault, ...]

    def without(self, dropped: tuple[Fault, ...]) -> "Schedule":
        """Return this schedule with fewer faults."""
        kept = tuple(fault for fault in self.faults if fault not in dropped)
        return replace(self, faults=kept)


def draw(
    seed: int,
    *,
    entries: int | None = None,
    load_s: float | None = None,
    kinds: frozenset[FaultKind] | None = None,
) -> Schedule:
    """Draw a schedule from a seed.

    Args:
        seed: The seed.
        entries: Number of entries; None to draw it.
        load_s: Duration of the load; None to draw it.
        kinds: The kinds of fault to draw from; None for all that are not optional.
    """
    rng = random.Random(seed)
    deployment = Deployment(
        entries=rng.randint(2, 5),
        engines=rng.randint(3, 6),
        services=rng.randint(2, 3),
        callers=rng.randint(16, 40),
        call_s=rng.choice(CALL_TIMES_S),
        shutdown_s=rng.randint(5, 8),
        retry_slack=rng.randint(5, 30),
        load_s=float(rng.randint(16, 26)),
    )
    deployment = replace(
        deployment,
        entries=entries or deployment.entries,
        load_s=load_s or deployment.load_s,
    )
    wanted = kinds or frozenset(FaultKind) - OPTIONAL_FAULTS
    others = wanted - {*LONG_FAULTS, *ANSWER_FAULTS, *OPERATOR_FAULTS, *CROWD_FAULTS}
    allowed = sorted(others, key=lambda kind: kind.value)
    faults: list[Fault] = []
    for _ in range(rng.randint(MIN_FAULTS, MAX_FAULTS) if allowed else 0):
        previous = faults[-1] if faults and rng.random() < SERIES_SHARE else None
        faults.append(_draw_fault(rng, deployment, allowed, previous))
    faults += _draw_long_faults(random.Random(f"{seed}/long"), deployment, wanted)
    faults += _draw_answer_faults(random.Random(f"{seed}/answers"), deployment, wanted)
    faults += _draw_operator_faults(random.Random(f"{seed}/operator"), deployment, wanted)
    faults += _draw_crowd_faults(seed, deployment, wanted)
    return Schedule(
        seed=seed,
        deployment=deployment,
        faults=tuple(sorted(faults, key=lambda fault: fault.at_s)),
    )


def load(path: Path) -> Schedule:
    """Load a schedule from a file."""
    return cattrs.structure(orjson.loads(path.read_bytes()), Schedule)


def save(schedule: Schedule, path: Path) -> None:
    """Write a schedule to a file, from which `load` makes it again."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(orjson.dumps(cattrs.unstructure(schedule), option=orjson.OPT_INDENT_2))


def _draw_long_faults(
    rng: random.Random, deployment: Deployment, wanted: frozenset[FaultKind]
) -> list[Fault]:
    """Draw the faults that have to last until all entries know of them."""
    faults = []
    for kind in LONG_FAULTS:
        for _ in range(rng.randint(0, MAX_LONG_FAULTS)):
            faults.append(_draw_lasting_fault(rng, deployment, kind, MIN_LONG_S, MAX_LONG_S))
    return [fault for fault in faults if fault.kind in wanted]


def _draw_operator_faults(
    rng: random.Random, deployment: Deployment, wanted: frozenset[FaultKind]
) -> list[Fault]:
    """Draw evacuations and cold targets, which may overlap, and records of another writer."""
    faults = []
    for kind in OPERATOR_FAULTS:
        for _ in range(rng.randint(0, MAX_OPERATOR_FAULTS)):
            faults.append(_draw_lasting_fault(rng, deployment, kind, MIN_LONG_S, MAX_LONG_S))
    return [fault for fault in faults if fault.kind in wanted]


def _draw_crowd_faults(
    seed: int, deployment: Deployment, wanted: frozenset[FaultKind]
) -> list[Fault]:
    """Draw targets that send without end, and kills of all entries.

    A kill comes while something crashes targets, if the seed has that, late enough to be known.
    """
    rng = random.Random(f"{seed}/crowd")
    long = _draw_long_faults(random.Random(f"{seed}/long"), deployment, CRASH_FAULTS)
    crashes = [fault for fault in long if fault.kind in CRASH_FAULTS]
    faults = []
    for kind in CROWD_FAULTS:
        for _ in range(rng.randint(0, MAX_CROWD_FAULTS)):
            shortest_s, longest_s = CROWD_FAULT_S[kind]
            fault = _draw_lasting_fault(rng, deployment, kind, shortest_s, longest_s)
            if kind is FaultKind.ENTRIES_KILL and crashes:
                crash = rng.choice(crashes)
                later_s = rng.uniform(MIN_KNOWN_S, max(MIN_KNOWN_S, crash.for_s - longest_s))
                fault = replace(fault, at_s=round(crash.at_s + later_s, 2))
            faults.append(fault)
    return [fault for fault in faults if fault.kind in wanted]


def _draw_lasting_fault(
    rng: random.Random,
    deployment: Deployment,
    kind: FaultKind,
    shortest_s: float,
    longest_s: float,
) -> Fault:
    """Draw a fault that lasts for some time and ends before the load does."""
    latest_s = deployment.load_s - HEALTHY_END_S
    at_s = rng.uniform(HEALTHY_START_S, max(HEALTHY_START_S, latest_s - shortest_s))
    return Fault(
        at_s=round(at_s, 2),
        kind=kind,
        subject=_draw_subject(rng, deployment, kind, None),
        for_s=round(min(latest_s - at_s, rng.uniform(shortest_s, longest_s)), 2),
    )


def _draw_answer_faults(
    rng: random.Random, deployment: Deployment, wanted: frozenset[FaultKind]
) -> list[Fault]:
    """Draw the faults of answers.

    Targets whose answers do not name their requests go on until entries must have taken them out,
    and targets that repeat answers until some prompts had reservations.
    """
    faults = []
    for kind in ANSWER_FAULTS:
        is_long = kind in LONG_ANSWER_FAULTS
        shortest_s = MIN_LONG_S if is_long else MIN_ANSWER_FAULT_S
        longest_s = MAX_LONG_S if is_long else MAX_ANSWER_FAULT_S
        for _ in range(rng.randint(0, MAX_ANSWER_FAULTS)):
            faults.append(_draw_lasting_fault(rng, deployment, kind, shortest_s, longest_s))
    return [fault for fault in faults if fault.kind in wanted]


def _draw_fault(
    rng: random.Random,
    deployment: Deployment,
    allowed: list[FaultKind],
    previous: Fault | None,
) -> Fault:
    """Draw a fault; one that follows another closely may strike the same subject again."""
    kind = rng.choice(allowed)
    latest_s = deployment.load_s - HEALTHY_END_S
    at_s = rng.uniform(HEALTHY_START_S, latest_s)
    if previous is not None:
        at_s = min(latest_s, previous.at_s + rng.uniform(0.0, MAX_SERIES_GAP_S))
    longest_s = MAX_SILENCE_S if kind is FaultKind.TARGET_SILENT else MAX_DURATION_S
    return Fault(
        at_s=round(at_s, 2),
        kind=kind,
        subject=_draw_subject(rng, deployment, kind, previous),
        for_s=round(rng.uniform(MIN_DURATION_S, longest_s), 2),
    )


def _draw_subject(
    rng: random.Random, deployment: Deployment, kind: FaultKind, previous: Fault | None
) -> int:
    for group, size in (
        ({FaultKind.ZONE_EVACUATE, FaultKind.ZONE_COLD}, len(ZONES)),
        (ENTRY_FAULTS, deployment.entries),
        (TARGET_FAULTS, deployment.engines + 2 * deployment.services),
    ):
        if kind not in group:
            continue
        if previous is not None and previous.kind in group and rng.random() < SERIES_SHARE:
            return previous.subject
        return rng.randrange(size)
    return 0
