"""Tracks which targets are cold, from registrations, responses, peers and evacuations."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ..fleet import ColdLimits, Target, TargetDirectory, TargetRecord
from ..kernel import Event, log_event
from ..placement import LoadBoard
from ..routes import Service

# The slowdown that placement expects of a cold target until its own report or a call shows it.
EXPECTED_SLOWDOWN = 1.5


class ColdListener(Protocol):
    """Receives what this entry was the first to learn."""

    def target_cold(self, target: Target, remaining_s: float) -> None:
        """Handle a target that stated in a response that it is cold."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ColdAllowance:
    """What targets tolerate beyond their stated rate in any second while they are cold.

    Attributes:
        overshoot: The factor on the rate.
        slack: The number of requests in addition.
    """

    overshoot: float = 1.0
    slack: float = 1.0

    def limits(self, service: Service) -> ColdLimits:
        """Return the limits of a cold target of a service."""
        extra = max(0.0, self.overshoot - 1) * service.cold_rate_per_s + self.slack
        return ColdLimits(rate_per_s=service.cold_rate_per_s, burst=extra)


class ColdTargets:
    """Marks targets as cold, so that all entries together keep to the rate that they tolerate.

    A service whose configuration states no rate has no cold targets.

    Args:
        directory: The known targets.
        board: Gets the expected slowdown of targets that turn cold.
        services: Looks up a service by name in the current configuration.
        count_users: Returns how many connected entries use a target, and how many entries do, from
            the target's id.
        allowance: Returns what cold targets tolerate beyond their rate.
        listener: Receives what the peers have to know.
    """

    def __init__(
        self,
        *,
        directory: TargetDirectory,
        board: LoadBoard,
        services: Callable[[str], Service | None],
        count_users: Callable[[str], tuple[int, int]],
        allowance: Callable[[], ColdAllowance],
        listener: ColdListener,
    ) -> None:
        self._directory = directory
        self._board = board
        self._services = services
        self._count_users = count_users
        self._allowance = allowance
        self._listener = listener
        self._loop = asyncio.get_running_loop()
        self._evacuated: frozenset[str] = frozenset()
        # The start and sequence of the registration of each target that was applied last.
        self._applied: dict[str, tuple[int, int]] = {}

    def record_registration(self, record: TargetRecord) -> None:
        """Apply a registration, unless it was applied before."""
        is_known = self._applied.get(record.instance_id) == record.age_order
        if is_known or self._services(record.service) is None:
            return
        self._applied[record.instance_id] = record.age_order
        target = self._directory.find(record.instance_id)
        if target is not None and record.slow_start_s > 0:
            self._record(target, record.slow_start_s, source="registration")

    def forget(self, instance_id: str) -> None:
        """Forget the registrations of a target that was removed, or of its earlier run."""
        self._applied.pop(instance_id, None)

    def record_statement(self, target: Target, remaining_s: float) -> None:
        """Apply what a target states in a response, and tell the peers if it is news."""
        if self._record(target, remaining_s, source="response"):
            self._listener.target_cold(target, remaining_s)

    def apply_peer(self, peer: str, target: Target, remaining_s: float) -> None:
        """Apply what a peer learnt."""
        self._record(target, remaining_s, source=peer)

    def set_evacuated(self, data_centres: frozenset[str]) -> None:
        """Handle a change of the evacuated data centres.

        The targets of one that is taken back had no requests, and count as cold as after a start:
        their registrations may say so only later.
        """
        for target in self._directory.targets():
            if target.record.data_centre in self._evacuated - data_centres:
                service = self._services(target.record.service)
                if service is not None and service.cold_start_s > 0:
                    self._record(target, service.cold_start_s, source="evacuation")
        self._evacuated = data_centres

    def share(self) -> None:
        """Leave to the entries that are not connected their part of what cold targets take."""
        for target in self.cold():
            self._share(target)

    def cold(self) -> list[Target]:
        """Return the targets that are cold."""
        now_s = self._loop.time()
        return [t for t in self._directory.targets() if t.availability.is_cold(now_s)]

    def gauges(self) -> dict[str, float]:
        """Return the number of cold targets."""
        return {"targets_cold": len(self.cold())}

    def _record(self, target: Target, remaining_s: float, *, source: str) -> bool:
        service = self._services(target.record.service)
        if service is None or service.cold_rate_per_s <= 0:
            return False
        cold_start = target.availability.cold_start
        limits = self._allowance().limits(service)
        if not cold_start.record(remaining_s, limits, self._loop.time()):
            return False
        self._share(target)
        load = self._board.load(target.instance_id)
        load.record_pace(max(load.pace, EXPECTED_SLOWDOWN))
        log_event(
            Event.TARGET_COLD,
            target=target.instance_id,
            remaining_s=round(remaining_s, 3),
            rate_per_s=limits.rate_per_s,
            source=source,
        )
        return True

    def _share(self, target: Target) -> None:
        connected, users = self._count_users(target.instance_id)
        target.availability.cold_start.set_users(
            connected=connected, users=users, now_s=self._loop.time()
        )
