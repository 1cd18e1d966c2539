"""Schedules of the wire fuzzer: what callers and the entry send, and how targets answer it."""

from dataclasses import dataclass, field

from hypothesis import strategies as st

LAST_EVENT = 5
MAX_STEPS = 10

# What one step sends. The calls of callers come first.
CALLS = ("safe", "unsafe", "stream", "head", "upload", "resume")
EXCHANGES = ("reserve", "release", "report", "current report")

# What an answer says: whether the target runs the request, and with which status it answers.
RUNS = {
    "sound": 200,
    "missing": 404,
    "error": 500,
    "late": 504,
    "unsure": 503,
    "busy": 429,
    "slow": 408,
    "garbage": 0,
    "status 000": 0,
    "status 099": 99,
    "status 600": 600,
}
REFUSALS = {"refuse": 503, "blame": 503, "limit": 429, "mistake": 421}
# What a stream bears: those of which one target's answer alone may be forwarded, and the others.
COHERENT_STREAMS = (
    "sound",
    "comment",
    "unnumbered",
    "unnumbered end",
    "text",
    "error event",
    "empty",
    "only a comment",
    "other type",
)
INCOHERENT_STREAMS = ("gap", "overlap")
# Bytes after a complete response that belong to no request.
NOISE = ("unmatched answer", "unmatched 404", "unmatched 421", "unmatched refusal", "garbage")
ELSEWHERE = "elsewhere"


@dataclass(frozen=True, kw_only=True)
class Surplus:
    """A response, or noise, beside the one that is due.

    Attributes:
        source: How many responses back on the connection it was sent first, a kind of `NOISE`, or
            `ELSEWHERE` for a response to another request on another connection.
        delay_s: The time between it and the response that is due.
        splits: The bytes at which it is split into several reads, if it fills up a cut response.
    """

    source: int | str = 0
    delay_s: float = 0.0
    splits: tuple[int, ...] = ()


@dataclass(frozen=True, kw_only=True)
class Cut:
    """Where a response ends early.

    Attributes:
        at_byte: How many bytes are sent; from the end if negative.
        by: "close", "reset", "silence", or "half-close": the sending side only, and a reset later.
        filler: What is sent behind it on the connection first; None for nothing.
    """

    at_byte: int = 0
    by: str = "reset"
    filler: Surplus | None = None


@dataclass(frozen=True, kw_only=True)
class Answer:
    """How a target answers one exchange.

    Attributes:
        form: A key of `RUNS` or `REFUSALS`.
        bears: Whose id the response bears: "own", "none" or "other".
        is_signed: Whether it bears the signature.
        framing: "usual", "length", "chunked" or "none"; without a length the connection ends it.
        stream: What it bears in answer to a stream.
        interims: The number of interim responses before it.
        before: What is sent in its place first; only after an earlier response of the connection.
        after: What is sent after it.
        cut: Where it ends early.
        splits: The bytes at which it is split into several reads.
        wait_s: The time before it.
        is_early: Whether it is sent before the body of the request is read.
        padding_bytes: The size of what is added to its body, but for a stream.
    """

    form: str = "sound"
    bears: str = "own"
    is_signed: bool = True
    framing: str = "usual"
    stream: str = "sound"
    interims: int = 0
    before: Surplus | None = None
    after: Surplus | None = None
    cut: Cut | None = None
    splits: tuple[int, ...] = ()
    wait_s: float = 0.0
    is_early: bool = False
    padding_bytes: int = 0


@dataclass(frozen=True, kw_only=True)
class Step:
    """One request of a caller, or one order or report of the entry.

    Attributes:
        kind: One of `CALLS` or `EXCHANGES`.
        answers: The answers to its successive sends; sound ones after that.
        after_s: The time before it.
        overlaps: Whether it does not wait for the end of the steps before it.
        caller: The number of the caller's connection, which is used again if it is idle.
        leaves_after_s: The time after which the caller leaves; None if it stays.
        target: The number of the target of an order or report.
    """

    kind: str = "safe"
    answers: tuple[Answer, ...] = ()
    after_s: float = 0.0
    overlaps: bool = False
    caller: int = 0
    leaves_after_s: float | None = None
    target: int = 0


@dataclass(frozen=True, kw_only=True)
class Schedule:
    """What one example plays.

    Attributes:
        steps: The steps in the order of their start.
        pools: The number of targets of calls.
        engines: The number of targets of streams.
    """

    steps: tuple[Step, ...] = field(default=())
    pools: int = 1
    engines: int = 1


def _surpluses(*sources: int | str) -> st.SearchStrategy[Surplus]:
    delays_s = st.sampled_from([0.02, 0.02, 0.0, 0.2])
    return st.builds(Surplus, source=st.sampled_from(sources), delay_s=delays_s)


_REPEATS = _surpluses(0, 0, 0, 1, 2, ELSEWHERE)
_NOISES = _surpluses(*NOISE)
_CUTS = st.builds(
    Cut,
    at_byte=st.one_of(st.integers(0, 250), st.integers(-12, -1), st.just(100_000)),
    by=st.sampled_from(["reset", "close", "silence"]),
)
_SPLITS = st.lists(st.integers(1, 250), min_size=1, max_size=4).map(lambda at: tuple(sorted(at)))
_FORMS = st.sampled_from([*RUNS, *REFUSALS])
_STREAMS = st.sampled_from([*COHERENT_STREAMS, *INCOHERENT_STREAMS])
# One departure each, so that an answer with few of them is likely.
_DEPARTURES = st.one_of(
    st.fixed_dictionaries({"form": _FORMS}),
    st.fixed_dictionaries({"form": st.sampled_from(["refuse", "blame", "blame"])}),
    st.fixed_dictionaries({"form": _FORMS, "bears": st.just("none")}),
    st.fixed_dictionaries({"stream": _STREAMS}),
    st.fixed_dictionaries({"stream": _STREAMS}),
    st.fixed_dictionaries({"before": _NOISES}),
    st.fixed_dictionaries({"before": _REPEATS}),
    st.fixed_dictionaries({"before": _REPEATS}),
    st.fixed_dictionaries({"after": st.one_of(_REPEATS, _NOISES)}),
    st.fixed_dictionaries({"cut": _CUTS}),
    st.fixed_dictionaries({"cut": _CUTS}),
    st.fixed_dictionaries({"bears": st.sampled_from(["none", "other"])}),
    st.fixed_dictionaries({"is_signed": st.just(False)}),
    st.fixed_dictionaries({"framing": st.sampled_from(["length", "chunked", "none"])}),
    st.fixed_dictionaries({"interims": st.integers(1, 2)}),
    st.fixed_dictionaries({"splits": _SPLITS}),
    st.fixed_dictionaries({"wait_s": st.sampled_from([0.05, 0.4, 0.9, 1.6])}),
    st.fixed_dictionaries({"is_early": st.just(True)}),
)
# An answer without a length to an upload that is not read whole, and that breaks off.
_EARLY_PARTS = st.builds(
    Answer,
    framing=st.just("none"),
    is_early=st.just(True),
    cut=st.builds(
        Cut, at_byte=st.sampled_from([100_000, -3]), by=st.sampled_from(["half-close", "close"])
    ),
)


def _merge(departures: list[dict[str, object]], **fixed: object) -> Answer:
    merged: dict[str, object] = {}
    for departure in departures:
        merged.update(departure)
    return Answer(**(merged | fixed))


ANSWERS = st.lists(_DEPARTURES, max_size=3).map(_merge)
_FEW = st.lists(_DEPARTURES, max_size=1)
# A refusal, and the next send's answer after a repeated response or noise.
_REPEATED_REFUSALS = st.tuples(
    st.builds(lambda few, form: _merge(few, form=form), _FEW, st.sampled_from(["blame", "refuse"])),
    st.builds(lambda few, before: _merge(few, before=before), _FEW, _REPEATS | _NOISES),
)
# A stream that breaks off, mostly after its head, and what it would go on with.
_RESUMED_STREAMS = st.tuples(
    st.builds(
        lambda few, at_byte, by: _merge(few, cut=Cut(at_byte=at_byte, by=by)),
        _FEW,
        st.integers(120, 230),
        st.sampled_from(["reset", "close", "silence"]),
    ),
    st.builds(lambda few, stream: _merge(few, stream=stream), _FEW, _STREAMS),
)
# An order or report after a repeated response or noise, or answered in any way.
_EXCHANGE_ANSWERS = st.one_of(
    st.builds(lambda few, before: _merge(few, before=before), _FEW, _REPEATS | _NOISES),
    ANSWERS,
)
# An answer that is cut and filled up by an earlier or its own one, or by noise.
_FILLERS = st.builds(
    Surplus,
    source=st.sampled_from([0, 0, 1, ELSEWHERE, *NOISE]),
    delay_s=st.sampled_from([0.0, 0.02]),
    splits=st.one_of(st.just(()), _SPLITS),
)
_FILLED_ANSWERS = st.builds(
    lambda few, cut, padding_bytes: _merge(few, cut=cut, padding_bytes=padding_bytes),
    _FEW,
    st.builds(
        Cut,
        at_byte=st.one_of(st.integers(-100, -1), st.integers(0, 100)),
        by=st.sampled_from(["silence", "silence", "close", "reset"]),
        filler=_FILLERS,
    ),
    st.sampled_from([0, 60, 200]),
)
_AFTER_S = st.sampled_from([0.0, 0.0, 0.01, 0.05, 0.3])
_OVERLAPS = st.sampled_from([False, False, True])


def _call_steps(
    kinds: tuple[str, ...], answers: st.SearchStrategy[tuple[Answer, ...]]
) -> st.SearchStrategy[Step]:
    return st.builds(
        Step,
        kind=st.sampled_from(kinds),
        answers=answers,
        after_s=_AFTER_S,
        overlaps=_OVERLAPS,
        caller=st.integers(0, 2),
        leaves_after_s=st.sampled_from([*[None] * 12, 0.0, 0.004, 0.05, 0.5]),
    )


_EXCHANGE_STEPS = st.builds(
    Step,
    kind=st.sampled_from(EXCHANGES),
    answers=st.lists(_EXCHANGE_ANSWERS, max_size=1).map(tuple),
    after_s=_AFTER_S,
    overlaps=_OVERLAPS,
    target=st.integers(0, 3),
)
_ANY_STEPS = _call_steps(CALLS, st.lists(ANSWERS, max_size=3).map(tuple))
STEPS = st.one_of(
    _ANY_STEPS,
    _ANY_STEPS,
    _call_steps(("unsafe", "safe", "upload", "head"), _REPEATED_REFUSALS),
    _call_steps(("stream", "resume"), _RESUMED_STREAMS),
    _call_steps(CALLS, st.lists(_FILLED_ANSWERS, min_size=1, max_size=2).map(tuple)),
    _call_steps(("upload",), st.lists(_EARLY_PARTS, min_size=1, max_size=2).map(tuple)),
    _EXCHANGE_STEPS,
)
SCHEDULES = st.builds(
    Schedule,
    steps=st.lists(STEPS, min_size=1, max_size=MAX_STEPS).map(tuple),
    pools=st.integers(1, 2),
    engines=st.sampled_from([2, 2, 1]),
)
