"""Which build of the program runs, and on what."""

import os
import sys
from dataclasses import dataclass
from pathlib import Path

DIGEST_FILE = Path(__file__).resolve().parents[1] / "build-digest.txt"
NOT_BUILT = "source"


@dataclass(frozen=True, kw_only=True, slots=True)
class Build:
    """What tells one build of the program from another.

    Attributes:
        digest: The digest of its sources that the build wrote; `NOT_BUILT` if it runs from them.
        python: The version of the interpreter.
        machine: The kind of machine.
    """

    digest: str
    python: str
    machine: str


def read_build(digest_file: Path = DIGEST_FILE) -> Build:
    """Return the build that runs."""
    try:
        digest = digest_file.read_text(encoding="ascii").strip()
    except FileNotFoundError:
        digest = NOT_BUILT
    python = ".".join(str(number) for number in sys.version_info[:3])
    return Build(digest=digest, python=python, machine=os.uname().machine)
