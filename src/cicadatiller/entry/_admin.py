"""The operations that an entry serves to operators."""

import asyncio
from dataclasses import dataclass

from returns.result import Success

from ..backing import LogRecord
from ..config import (
    MAX_RECORD_BYTES,
    AuditEntry,
    ChangeRecord,
    ConfigState,
    ConfigStore,
    ConfigTail,
    Publisher,
    check_operator,
    encode_record,
    fold,
    hash_key,
    parse_edits,
    parse_object,
)
from ..kernel import ErrorKind, Event, fail, log_event
from ..membership import InstanceView, Target
from ..peer import Drain, PeerLostError
from ._commands import ASK_TIMEOUT_S
from ._peers import PeerPool
from ._target_checks import last_target_problem, unserved_problem

BOOTSTRAP_OPERATOR = "bootstrap"
MAX_HISTORY_WAIT_S = 5.0
PREVIEW_TIMEOUT_S = 2.0


@dataclass(frozen=True, kw_only=True)
class Preview:
    """The result that a configuration change would have.

    Attributes:
        entry: The verdict and the differences.
        offset: Offset of the configuration that the change was evaluated against.
        is_fresh: Whether that configuration was the newest on the log.
    """

    entry: AuditEntry
    offset: int
    is_fresh: bool


class AdminService:
    """Publishes and previews configuration changes, reads the configuration and drains targets.

    Args:
        store: The current configuration.
        tail: Follows the configuration on the log.
        publisher: Appends changes to the log.
        view: The instances that this entry knows.
        pool: The connections to sidecars.
        bootstrap_key_hash: Hash of a key that is valid while no operator is configured.
        data_centre: Data centre of this entry.
    """

    def __init__(
        self,
        *,
        store: ConfigStore,
        tail: ConfigTail,
        publisher: Publisher,
        view: InstanceView,
        pool: PeerPool,
        bootstrap_key_hash: str,
        data_centre: str = "",
    ) -> None:
        self._store = store
        self._tail = tail
        self._publisher = publisher
        self._view = view
        self._pool = pool
        self._bootstrap_key_hash = bootstrap_key_hash
        self.data_centre = data_centre

    @property
    def state(self) -> ConfigState:
        """Return the current configuration of this entry."""
        return self._store.state

    @property
    def log_reachable(self) -> bool:
        """Return whether the last read of the log succeeded."""
        return self._tail.log_reachable

    @property
    def view(self) -> InstanceView:
        """Return the instances that this entry knows."""
        return self._view

    def lag_s(self) -> float:
        """Return the time since the configuration was last read from the log."""
        return asyncio.get_running_loop().time() - self._tail.last_read_s

    def authenticate(self, key: str) -> str:
        """Return the name of the operator that a key belongs to.

        Raises:
            FailureError: UNAUTHENTICATED if the key belongs to no operator.
        """
        state = self._store.state
        name = state.operator_of_key(key) if key else None
        if name is not None:
            return name
        if not state.has_operators() and key and hash_key(key) == self._bootstrap_key_hash:
            return BOOTSTRAP_OPERATOR
        raise fail(
            ErrorKind.UNAUTHENTICATED, "the operator key is missing or unknown; send a valid key"
        )

    async def preview(self, change: ChangeRecord, timeout_s: float) -> Preview:
        """Evaluate a change against the newest configuration without publishing it.

        If the log can't be read within `timeout_s`, at most `PREVIEW_TIMEOUT_S`, the current
        configuration of this entry is used.

        Raises:
            FailureError: If the change is refused before its evaluation.
        """
        is_fresh = await self._publisher.refresh(timeout_s=min(timeout_s, PREVIEW_TIMEOUT_S))
        if self._store.state.change(change.change_id) is None:
            self._check_early(change)
        state = self._store.state
        record = LogRecord(offset=state.offset + 1, time_ms=0, payload=encode_record(change))
        entry = fold(state, record).change(change.change_id)
        if entry is None:
            raise fail(
                ErrorKind.INTERNAL, f"no verdict was found for the change {change.change_id!r}"
            )
        return Preview(entry=entry, offset=state.offset, is_fresh=is_fresh)

    async def apply(self, change: ChangeRecord, timeout_s: float) -> AuditEntry:
        """Publish a change and return its verdict.

        Raises:
            FailureError: If the change is refused or its verdict is not known in time.
        """
        if not change.change_id:
            raise fail(ErrorKind.INVALID_REQUEST, "the change has no change_id; set one")
        if self._store.state.change(change.change_id) is None:
            self._check_early(change)
        return await self._publisher.apply(change, timeout_s=timeout_s)

    async def wait_for_history(self, from_offset: int, wait_s: float) -> None:
        """Wait until the audit trail reaches an offset.

        Returns after `wait_s`, at most `MAX_HISTORY_WAIT_S`, if it has not.
        """
        try:
            async with asyncio.timeout(min(wait_s, MAX_HISTORY_WAIT_S)):
                while self.state.newest_change_offset < from_offset:
                    await self._store.wait_for_change()
        except TimeoutError:
            return

    async def drain(self, name: str, *, operator: str = "", force: bool = False) -> None:
        """Stop a target from accepting new requests.

        Args:
            name: Name of the target's instance.
            operator: The operator that requests it; empty skips the check of its deployments.
            force: Whether to drain a target that is the last one of a model or service.

        Raises:
            FailureError: UNKNOWN_OBJECT, PERMISSION_DENIED, CHANGE_REJECTED or TARGET_LOST.
        """
        target = next((t for t in self._view.targets() if t.instance.name == name), None)
        if target is None:
            raise fail(
                ErrorKind.UNKNOWN_OBJECT, f"this entry knows no target {name!r}; check the name"
            )
        self._check_drain(target, operator, force)
        try:
            connection = await self._pool.get(target.address)
            await connection.ask(lambda call: Drain(call=call), timeout_s=ASK_TIMEOUT_S)
        except PeerLostError as error:
            raise fail(
                ErrorKind.TARGET_LOST, f"the sidecar of target {name!r} did not reply: {error}"
            ) from error

    def _check_early(self, change: ChangeRecord) -> None:
        """Refuse an invalid change before it is appended to the log.

        The fold of the log evaluates the rest.
        """
        size_bytes = len(encode_record(change))
        if size_bytes > MAX_RECORD_BYTES:
            raise fail(
                ErrorKind.TOO_LARGE,
                f"the change has {size_bytes} bytes, the limit is {MAX_RECORD_BYTES}; split it",
            )
        for edit in change.edits:
            parsed = parse_object(edit.kind, edit.body_json) if edit.body_json else Success(None)
            if not isinstance(parsed, Success):
                text = f"{edit.kind} {edit.name!r}: {parsed.failure()}"
                raise fail(ErrorKind.INVALID_REQUEST, text)
        state = self._store.state
        edits = parse_edits(state, change.edits)
        if not isinstance(edits, Success):
            return
        problem = check_operator(state, change, edits.unwrap())
        if problem:
            log_event(Event.CHANGE_REFUSED, change_id=change.change_id, verdict=problem)
            raise fail(ErrorKind.PERMISSION_DENIED, problem)
        problem = "" if change.force else unserved_problem(edits.unwrap(), self._view.targets())
        if problem:
            log_event(Event.CHANGE_REFUSED, change_id=change.change_id, verdict=problem)
            raise fail(ErrorKind.CHANGE_REJECTED, problem)

    def _check_drain(self, target: Target, operator: str, force: bool) -> None:
        known = self._store.state.operators.get(operator)
        deployment = target.instance.deployment
        if known is not None and known.deployments and deployment not in known.deployments:
            text = f"operator {operator!r} may not drain targets of {deployment!r}"
            raise fail(ErrorKind.PERMISSION_DENIED, text)
        problem = "" if force else last_target_problem(target, self._view.targets())
        if problem:
            raise fail(ErrorKind.CHANGE_REJECTED, problem)
