"""Cold targets: those that have just started, or turned cold, take few requests for some time."""

from ._tracker import ColdAllowance, ColdTargets

__all__ = ["ColdAllowance", "ColdTargets"]
