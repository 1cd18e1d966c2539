"""Computes an upper bound on a scheduler's score for a day of the platform's benchmark.

Run from the root of the repository: `python -m bench.day_bound SITE REPORT...`, where SITE is a
site file and each REPORT was written by `fleetbench run SITE DAY --report REPORT`. It prints a
table.

The bound accounts for losses that no scheduler can avoid: requests in progress at entries that lose
power are late, and so are all that arrive while no entry is up. All others are assumed to be on
time, and the prices of the day to be paid as reported. If the engines cannot carry the load, the
bound is too high; the column `slots` shows the share of the engines' time that the load needs.
"""

import json
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import typer

WINDOW_S = 2.0
WORST_WINDOWS = 2
# From the return of power until the first entry responds.
START_S = 0.4
# From the end of all entry processes until the first new one responds.
RESTART_S = 1.0
POWER_LOSS_WORDS = ("kill", "power")


@dataclass(frozen=True, kw_only=True)
class Loss:
    """A period in which a share of the requests is late, whatever the scheduler does.

    Attributes:
        from_s: Start of the period.
        until_s: End of the period.
        share: Share of the requests arriving in the period that are late.
    """

    from_s: float
    until_s: float
    share: float

    def in_window(self, begin_s: float) -> float:
        """Return the share of a window's requests that are late."""
        overlap_s = min(self.until_s, begin_s + WINDOW_S) - max(self.from_s, begin_s)
        return self.share * max(0.0, overlap_s) / WINDOW_S


@dataclass(frozen=True, kw_only=True)
class SiteFacts:
    """The values of a site file that the bound depends on.

    Attributes:
        entries: Number of entries.
        down_s: Duration of the power cut of all entries at the end of each day, by day name.
        late_share: Share of its worth that a late request still earns.
        stream_s: Duration of a stream on an otherwise idle engine.
        slot_s: Time that a request occupies a slot of a full engine, by request class.
        slots: Number of slots of all engines.
    """

    entries: int
    down_s: dict[str, float]
    late_share: float
    stream_s: float
    slot_s: dict[str, float]
    slots: int


def read_site(path: Path, *, thin: float | None = None) -> SiteFacts:
    """Read a site file.

    Args:
        path: The site file.
        thin: Share of each engine's slots that is emulated; None for the file's value.
    """
    site = tomllib.loads(path.read_text())
    share = site.get("thin", 1.0) if thin is None else thin
    kinds = site["classes"]
    engines = {service["name"]: service for service in site["services"] if "llm" in service}
    streams = [kind for kind in kinds if kind["service"] in engines]
    rates = _rates(site)
    total = sum(rates.values())
    late = sum(rates[k["name"]] * k["late_worth"] / k["worth"] for k in kinds) / total
    stream_s = sum(
        rates[kind["name"]] * _stream_s(kind, engines[kind["service"]]["llm"], decoding_streams=1)
        for kind in streams
    ) / sum(rates[kind["name"]] for kind in streams)
    machines = [m for m in site["machines"] if m["class"] == "front"]
    return SiteFacts(
        entries=sum(m["count"] for m in machines),
        down_s={day["name"]: _down_s(day) for day in site["day"]},
        late_share=late,
        stream_s=stream_s,
        slot_s={
            kind["name"]: _stream_s(
                kind,
                engines[kind["service"]]["llm"],
                decoding_streams=engines[kind["service"]]["llm"]["batch"],
            )
            for kind in streams
        },
        slots=sum(
            int(share * service["llm"]["batch"])
            * sum(group["count"] for group in service["servers"])
            for service in engines.values()
        ),
    )


def _rates(site: dict[str, Any]) -> dict[str, float]:
    rates: dict[str, float] = {}
    for source in site["traffic"]:
        total = sum(source["mix"].values())
        for name, weight in source["mix"].items():
            rates[name] = rates.get(name, 0.0) + source["per_s"] * weight / total
    return rates


def _down_s(day: dict[str, Any]) -> float:
    closing = day.get("closing")
    return float(closing["down_s"]) if closing else 0.0


def _stream_s(kind: dict[str, Any], engine: dict[str, Any], *, decoding_streams: int) -> float:
    step_s = (engine["step_ms"] + decoding_streams * engine["step_ms_per_slot"]) / 1000
    return float(kind["stream"]["pieces"]["mean"] * engine["stride"] * step_s)


def losses(report: dict[str, Any], site: SiteFacts, day: str) -> list[Loss]:
    """Return the periods in which requests are late, whatever the scheduler does."""
    found = []
    for event in report["events"]:
        kind, at_s = event["kind"], event["at_s"]
        if kind.startswith("closing"):
            keeps_power = "kill_all" in kind
            outage_s = RESTART_S if keeps_power else site.down_s.get(day, 0.0) + START_S
            until_s = at_s + outage_s
            found.append(Loss(from_s=at_s - site.stream_s, until_s=until_s, share=1.0))
        elif not event["planned"] and any(word in kind for word in POWER_LOSS_WORDS):
            lost = sum(name.strip().startswith("front-") for name in event["what"].split(","))
            share = min(1.0, lost / site.entries)
            found.append(Loss(from_s=at_s - site.stream_s, until_s=at_s, share=share))
    return found


@dataclass(frozen=True, kw_only=True)
class Row:
    """The row of one day in the table."""

    day: str
    credit: float
    worth: float
    bound: float
    slots: float
    missed: str

    def render(self) -> str:
        """Return the row in Markdown."""
        gap = self.bound - self.worth
        return (
            f"| {self.day} | {self.credit:.3f} | {self.worth:.3f} | {self.bound:.3f} | {gap:.3f} "
            f"| {self.slots:.2f} | {self.missed} |"
        )


def bound_day(report: dict[str, Any], site: SiteFacts, day: str) -> Row:
    """Compute the bound of a day and compare the day's score with it."""
    found = losses(report, site, day)
    windows = report["windows"]
    shares = [
        1
        - (1 - site.late_share) * min(1.0, sum(loss.in_window(float(w["name"])) for loss in found))
        for w in windows
    ]
    owed = [w["n"] - w["not_owed"] for w in windows]
    whole = sum(n * share for n, share in zip(owed, shares, strict=True)) / max(1, sum(owed))
    worst = sorted(shares)[:WORST_WINDOWS]
    bounds = {"worst windows": sum(worst) / len(worst)}
    prices = sum(price for _, _, price in report["prices"])
    bound = sum(weight * bounds.get(name, whole) for name, weight, _ in report["parts"]) - prices
    return Row(
        day=day,
        credit=report["parts"][0][2],
        worth=report["G"],
        bound=bound,
        slots=_slot_utilisation(report, site, len(windows)),
        missed=_missed(report["classes"]),
    )


def _slot_utilisation(report: dict[str, Any], site: SiteFacts, windows: int) -> float:
    requested = {kind["name"]: kind["n"] for kind in report["classes"]}
    needed_s = sum(requested.get(name, 0) * slot_s for name, slot_s in site.slot_s.items())
    return needed_s / (site.slots * WINDOW_S * windows)


def _missed(kinds: list[dict[str, Any]]) -> str:
    parts = [
        f"{kind['name']} {kind['late']}/{kind['refused']}/{kind['failed']}"
        for kind in kinds
        if kind["late"] or kind["refused"] or kind["failed"]
    ]
    return ", ".join(parts)


def main(
    site: Annotated[Path, typer.Argument(help="The site file.")],
    reports: Annotated[list[Path], typer.Argument(help="Report files, each named after its day.")],
) -> None:
    """Print the score of each day and its upper bound."""
    facts = read_site(site)
    print("| day | credit | worth | bound | gap | slots | late/refused/failed |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for path in reports:
        print(bound_day(json.loads(path.read_text()), facts, path.stem).render())


if __name__ == "__main__":
    typer.run(main)
