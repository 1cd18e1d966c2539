"""Coordinates a gang of engines for a prompt that exceeds the memory of one engine."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace

from ..config import ConfigStore
from ..kernel import ErrorKind, FailureError, RequestState, RunState, TaskSet, fail
from ..peer import GenerateWork
from ..targets import StreamSpec
from ._engine_driver import EngineDriver
from ._gang import Gang, GangLostError, GangMemberShare, ReservationError, run_with_renewal
from ._gang_handles import LocalMember, MemberHandle, RemoteMember
from ._gang_member import GangMember
from ._ledger_entry import LedgerEntry
from ._peers import SidecarPeers
from ._scheduler import Scheduler
from ._segments import MemberMemory, PromptShare, export_ref, split_prompt

FIRST_RESERVE_TIMEOUT_S = 10.0
BACKOFF_S = 0.5

RunStream = Callable[[LedgerEntry, StreamSpec], Awaitable[None]]


class GangCoordinator:
    """Runs prompts that need the memory of several engines.

    Args:
        address: This sidecar's address; reservations are made in the order of addresses.
        member: The holds on this sidecar's engine, which is the host.
        peers: The connections to other sidecars.
        driver: Runs streams on this sidecar's engine.
        scheduler: The memory and prefill of this sidecar's engine.
        store: The current configuration.
        seed: Seeds the jitter of backoffs.
    """

    def __init__(
        self,
        *,
        address: str,
        member: GangMember,
        peers: SidecarPeers,
        driver: EngineDriver,
        scheduler: Scheduler,
        store: ConfigStore,
        seed: str,
    ) -> None:
        self._address = address
        self._member = member
        self._peers = peers
        self._driver = driver
        self._scheduler = scheduler
        self._store = store
        self._random = random.Random(seed)
        self._tasks = TaskSet()

    async def run(self, entry: LedgerEntry, spec: StreamSpec, run_stream: RunStream) -> None:
        """Reserve a gang and run the prompt on it.

        Restarts with a new gang if the reservation fails or a member is lost, but not if its engine
        ended.

        Args:
            entry: The request.
            spec: The stream as a single engine would run it.
            run_stream: Runs the decoding stream on the host.

        Raises:
            FailureError: TOO_LARGE if the engines together are too small, or no gang is allowed or
                supported; NO_TARGET if too few engines are reachable; TARGET_LOST if a member was
                lost and the request must not be restarted.
        """
        try:
            await self._run(entry, spec, run_stream)
        except FailureError as error:
            if entry.sent and error.failure.run_state is RunState.NOT_RUN:
                raise FailureError(
                    error.failure.with_run_state(RunState.OUTCOME_UNKNOWN)
                ) from error
            raise

    async def close(self) -> None:
        """Stop; holds that are not yet released expire."""
        await self._tasks.close()

    async def _run(self, entry: LedgerEntry, spec: StreamSpec, run_stream: RunStream) -> None:
        if entry.submit is None or entry.submit.generate is None:
            raise fail(
                ErrorKind.INVALID_REQUEST,
                "the target is an engine and runs generation requests only",
            )
        attempt = 0
        while True:
            attempt += 1
            self._check_gang_allowed(entry.submit.deployment)
            gang = await self._form_gang(f"{spec.stream_id}/gang-{attempt}", entry.submit.generate)
            try:
                timeout_s = FIRST_RESERVE_TIMEOUT_S * attempt
                await run_with_renewal(
                    gang, self._run_on_gang(gang, timeout_s, entry, spec, run_stream)
                )
                return
            except ReservationError:
                pass
            except (GangLostError, FailureError) as error:
                _record_ended(entry, error)
                _raise_unless_restartable(entry, error)
            finally:
                self._tasks.start(gang.release(), name="release gang")
            await asyncio.sleep(BACKOFF_S * (1 + self._random.random()))

    async def _run_on_gang(
        self,
        gang: Gang,
        timeout_s: float,
        entry: LedgerEntry,
        spec: StreamSpec,
        run_stream: RunStream,
    ) -> None:
        if entry.submit is None or entry.submit.generate is None:
            return
        await gang.reserve(timeout_s)
        # Set before the prefill: a request that must not be repeated is never prefilled twice.
        entry.sent = True
        entry.state = RequestState.RUNNING
        segments = await gang.prefill(entry.submit.generate, entry.deadline_s)
        stream = replace(
            spec,
            stream_id=f"{segments[0].export_id}/decode" if segments else spec.stream_id,
            delivered=tuple(entry.texts),
            first_token=gang.last_share.first_token,
            remote_segments=tuple(export_ref(segment) for segment in segments),
        )
        self._scheduler.prefill_started(entry.request_id, gang.last_share.token_count)
        try:
            await run_stream(entry, stream)
        finally:
            self._driver.cancel(stream.stream_id)
            self._scheduler.prefill_ended(entry.request_id, finished=False)

    def _check_gang_allowed(self, deployment: str) -> None:
        settings = self._store.state.deployment(deployment)
        if settings is not None and not settings.allow_gangs:
            raise fail(
                ErrorKind.TOO_LARGE,
                "the prompt exceeds the memory of one engine and the deployment allows no gangs",
            )
        info = self._driver.info
        if info is None or not self._driver.reachable:
            raise fail(ErrorKind.NO_TARGET, "the engine is unreachable", retry_after_s=1.0)
        if not info.supports_gang:
            raise fail(
                ErrorKind.TOO_LARGE,
                "the prompt exceeds the memory of one engine and the engine does not support gangs",
            )

    async def _form_gang(self, gang_id: str, work: GenerateWork) -> Gang:
        host = MemberMemory(address=self._address, capacity_tokens=self._capacity())
        found = _FoundMembers()
        shares: tuple[PromptShare, ...] | None = None
        for batch in self._peers.batches():
            await self._query_members(batch, _model_name(work), found)
            found.ready.sort(key=lambda member: -member.free_tokens)
            shares = _split(work, host, found.ready)
            if shares is not None and _have_free_memory(shares, found.ready):
                break
        if shares is not None:
            return self._make_gang(gang_id, shares)
        may_fit_soon = _split(work, host, found.ready + found.pending) is not None
        if found.unknown or may_fit_soon or not self._peers.has_list:
            raise fail(
                ErrorKind.NO_TARGET,
                f"too few engines are available for a prompt of {work.prompt_tokens} tokens",
                retry_after_s=1.0,
            )
        raise fail(
            ErrorKind.TOO_LARGE,
            f"the prompt of {work.prompt_tokens} tokens exceeds the memory of all engines together",
        )

    async def _query_members(
        self, batch: tuple[str, ...], model: str, found: "_FoundMembers"
    ) -> None:
        """Add the engines of a batch of sidecars to those found."""
        loads = await asyncio.gather(*(self._peers.load(address) for address in batch))
        for address, load in zip(batch, loads, strict=True):
            if load is None or load.kv_capacity_tokens == 0:
                found.unknown += 1
            elif load.supports_gang and not load.leaving:
                member = MemberMemory(
                    address=address,
                    capacity_tokens=load.kv_capacity_tokens,
                    free_tokens=load.kv_capacity_tokens - load.kv_used_tokens,
                )
                (found.ready if model in load.loaded else found.pending).append(member)

    def _make_gang(self, gang_id: str, shares: tuple[PromptShare, ...]) -> Gang:
        return Gang(
            gang_id=gang_id,
            members=tuple(
                GangMemberShare(handle=self._make_handle(share.address), share=share)
                for share in shares
            ),
        )

    def _make_handle(self, address: str) -> MemberHandle:
        if address == self._address:
            return LocalMember(member=self._member)
        return RemoteMember(address=address, peers=self._peers)

    def _capacity(self) -> int:
        return 0 if self._driver.info is None else self._driver.info.kv_capacity_tokens


@dataclass
class _FoundMembers:
    """What a search for members found.

    Attributes:
        ready: The engines that serve the model.
        pending: The engines that do not serve it now, such as one that was restarted.
        unknown: The number of engines whose sidecar did not reply or lacks its engine.
    """

    ready: list[MemberMemory] = field(default_factory=list)
    pending: list[MemberMemory] = field(default_factory=list)
    unknown: int = 0


def _split(
    work: GenerateWork, host: MemberMemory, members: list[MemberMemory]
) -> tuple[PromptShare, ...] | None:
    return split_prompt(work.prompt_tokens, work.max_output_tokens, host, tuple(members))


def _have_free_memory(shares: tuple[PromptShare, ...], members: list[MemberMemory]) -> bool:
    """Return whether each member has enough free memory for its share."""
    free = {member.address: member.free_tokens for member in members}
    return all(share.kv_tokens <= free.get(share.address, share.kv_tokens) for share in shares)


def _model_name(work: GenerateWork) -> str:
    adapter = f"+{work.adapter}" if work.adapter else ""
    return f"{work.model}@{work.version}{adapter}"


def _record_ended(entry: LedgerEntry, error: Exception) -> None:
    """Record which engine ended, if the one of a member did."""
    if isinstance(error, GangLostError) and error.ended is not None:
        entry.record_ended_run(error.ended.run, error.ended.ended_s, address=error.address)


def _raise_unless_restartable(entry: LedgerEntry, error: Exception) -> None:
    """Raise unless the request may be restarted here.

    If an engine ended, only the entry knows whether others ended under the request, too.
    """
    if isinstance(error, FailureError) and error.failure.kind is not ErrorKind.TARGET_LOST:
        raise error
    if isinstance(error, FailureError) and entry.ended_run:
        raise error
    repeatable = entry.submit is not None and entry.submit.repeatable
    if entry.sent and (entry.ended_run or not repeatable):
        raise fail(
            ErrorKind.TARGET_LOST,
            f"a member of the gang was lost: {error}",
            run_state=RunState.OUTCOME_UNKNOWN,
        ) from error
