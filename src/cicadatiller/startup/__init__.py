"""Start-up code that the programs share."""

from ._program import load_or_report, run_from_command_line, run_program

__all__ = [
    "load_or_report",
    "run_from_command_line",
    "run_program",
]
