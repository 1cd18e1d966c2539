"""The seeds that ever failed."""

from dataclasses import dataclass
from pathlib import Path

import cattrs
import yaml

REGRESSIONS = Path(__file__).with_name("regressions.yaml")


@dataclass(frozen=True, kw_only=True)
class Regression:
    """A seed that failed once.

    Attributes:
        seed: The seed.
        cause: Why it failed.
    """

    seed: int
    cause: str


def load_regressions() -> tuple[Regression, ...]:
    """Return all seeds that ever failed."""
    return cattrs.structure(yaml.safe_load(REGRESSIONS.read_text()) or [], tuple[Regression, ...])
