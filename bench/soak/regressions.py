"""The seeds that ever failed, with the schedules that they stood for then."""

from dataclasses import dataclass
from pathlib import Path

import cattrs
import yaml

from bench.soak.schedule import Schedule, load

DIRECTORY = Path(__file__).with_name("regressions")
LIST = DIRECTORY / "list.yaml"


@dataclass(frozen=True, kw_only=True)
class Regression:
    """A seed that failed once.

    Attributes:
        seed: The seed.
        rule: The check that failed.
        cause: Why it failed.
    """

    seed: int
    rule: str
    cause: str

    @property
    def schedule(self) -> Schedule:
        """Return what the seed stood for, or the smallest part of it that failed."""
        return load(DIRECTORY / f"seed-{self.seed}.json")


def load_regressions() -> tuple[Regression, ...]:
    """Return all seeds that ever failed."""
    return cattrs.structure(yaml.safe_load(LIST.read_text()) or [], tuple[Regression, ...])
