"""Serves the messages of entries and other sidecars."""

import asyncio
from typing import Protocol

from ..config import ConfigStore
from ..kernel import ErrorKind, Event, RequestState, RunState, TaskSet, fail, failure, log_event
from ..peer import (
    Attach,
    Cancel,
    ConfigRecords,
    Drain,
    Drained,
    EvidenceRows,
    EvidenceSpread,
    GetState,
    LoadReport,
    Open,
    Opened,
    PeerLink,
    Prefill,
    Release,
    Reserve,
    StateReply,
    Submit,
    Tombstone,
    WorkspaceUse,
)
from ._config_exchange import ConfigExchange
from ._gang_member import GangMember
from ._ledger import Ledger
from ._ledger_entry import LedgerEntry
from ._response_sender import ResponseSender
from ._runner import Runner, run_to_end
from ._use import UseMeter

STOPPING_RETRY_S = 1.0
IDLE_POLL_S = 0.05
SUBMISSION_WAIT_S = 2.0
LATE_SUBMISSION_GRACE_S = 2.0


class LoadSource(Protocol):
    """Reports the load of the target."""

    def report(self, *, leaving: bool) -> LoadReport:
        """Return the current load."""


class SidecarService:
    """Serves peers from the ledger and starts the requests that may run.

    Args:
        incarnation: The id of this run of the sidecar.
        ledger: The requests of this run.
        runner: Runs requests on the target.
        load: Reports the load of the target.
        store: The current configuration.
        orphan_grace_s: How long a repeatable request runs on after its last reader has left.
        gang_member: Serves the gangs of other sidecars; None if the target can't join gangs.

    Attributes:
        leaving: Whether new requests are refused.
    """

    def __init__(
        self,
        *,
        incarnation: str,
        ledger: Ledger,
        runner: Runner,
        load: LoadSource,
        store: ConfigStore,
        orphan_grace_s: float,
        gang_member: GangMember | None = None,
    ) -> None:
        self._incarnation = incarnation
        self._ledger = ledger
        self._runner = runner
        self._load = load
        self._orphan_grace_s = orphan_grace_s
        self._gang_member = gang_member
        self._config = ConfigExchange(
            node_id=ledger.address, store=store, load_report=self.load_report
        )
        self._sender = ResponseSender(
            load_report=self.load_report, on_reader_left=self._watch_orphan
        )
        self._evidence = EvidenceSpread()
        self._use = UseMeter()
        self._tasks = TaskSet()
        self._running: dict[str, asyncio.Task[None]] = {}
        self.leaving = False
        self._late_submission_end_s = 0.0

    @property
    def incarnation(self) -> str:
        """Return the id of this run of the sidecar."""
        return self._incarnation

    def load_report(self) -> LoadReport:
        """Return the current load."""
        return self._load.report(leaving=self.leaving)

    def start_leaving(self) -> None:
        """Refuse new requests, and after `LATE_SUBMISSION_GRACE_S` submissions under issued ids."""
        if not self.leaving:
            self.leaving = True
            self._late_submission_end_s = (
                asyncio.get_running_loop().time() + LATE_SUBMISSION_GRACE_S
            )
            log_event(Event.TARGET_LEAVING)

    def refuse_late_submissions(self) -> None:
        """Refuse to run further submissions, also those under ids that were issued before."""
        self._late_submission_end_s = 0.0

    async def wait_until_idle(self) -> None:
        """Wait until no request runs and no response is being read."""
        while self._running or self._sender.active_readers:
            await asyncio.sleep(IDLE_POLL_S)

    async def close(self) -> None:
        """Cancel the running requests."""
        for task in list(self._running.values()):
            task.cancel()
        await self._tasks.close()
        await self._config.close()
        await self._evidence.close()

    def on_peer_config(self, link: PeerLink, records: ConfigRecords | None) -> None:
        """Called when a peer connects or reports its configuration offset, or with its records."""
        self._use.record_connection(link.name, asyncio.get_running_loop().time())
        if records is None:
            self._config.handle_offset(link)
        else:
            self._config.apply_records(link, records)

    def on_peer_evidence(self, link: PeerLink, message: EvidenceRows | None) -> None:
        """Called when a peer connects, or with what it learnt of what crashes targets."""
        if message is None:
            self._evidence.add_peer(link)
        else:
            self._evidence.receive(link.name, message)

    async def handle(self, message: object, link: PeerLink) -> None:
        """Handle one message that opens an exchange."""
        match message:
            case Open():
                await self._open(message, link)
            case Submit():
                await self._submit(message, link)
            case Attach():
                await self._attach(message, link)
            case Cancel():
                await self._cancel(message, link)
            case Tombstone():
                entry = self._ledger.tombstone(message.request_id, message.workspace)
                self.stop(entry)
                await link.send(self._state_reply(message.call, entry))
            case GetState():
                entry = self._ledger.find(message.request_id, message.workspace)
                await link.send(self._state_reply(message.call, entry))
            case Drain():
                self.start_leaving()
                await link.send(Drained(call=message.call, load=self.load_report()))
            case Reserve() | Prefill() | Release() if self._gang_member is not None:
                await link.send(await self._gang_member.handle(message, self.load_report))
            case _:
                raise fail(
                    ErrorKind.PEER_PROTOCOL,
                    f"this sidecar does not serve {type(message).__name__} messages",
                )

    async def _open(self, message: Open, link: PeerLink) -> None:
        self._refuse_if_leaving()
        entry = self._ledger.open(message.workspace)
        reply = Opened(call=message.call, request_id=entry.request_id, load=self.load_report())
        await link.send(reply)

    async def _submit(self, message: Submit, link: PeerLink) -> None:
        if not message.request_id:
            self._refuse_if_leaving()
        deadline_s = asyncio.get_running_loop().time() + message.budget_s
        entry, run_now = self._ledger.submit(message, deadline_s)
        use = None
        if run_now:
            self._start(entry)
            use = self._record_use(message, link)
        await self._sender.send(
            entry, link=link, call=message.call, next_index=message.next_index, use=use
        )

    def _record_use(self, message: Submit, link: PeerLink) -> WorkspaceUse:
        prompt_tokens = 0 if message.generate is None else message.generate.prompt_tokens
        now_s = asyncio.get_running_loop().time()
        return self._use.record(message.workspace, link.name, prompt_tokens, now_s)

    async def _attach(self, message: Attach, link: PeerLink) -> None:
        entry = self._ledger.find(message.request_id, message.workspace)
        if entry.state is RequestState.OPENED:
            await self._wait_for_submission(entry)
        await self._sender.send(entry, link=link, call=message.call, next_index=message.next_index)

    async def _wait_for_submission(self, entry: LedgerEntry) -> None:
        try:
            async with asyncio.timeout(SUBMISSION_WAIT_S):
                while entry.state is RequestState.OPENED:
                    await entry.wait_for_change()
        except TimeoutError as error:
            raise fail(
                ErrorKind.UNKNOWN_REQUEST,
                "nothing was submitted under this request id yet; submit the request under it",
                run_state=RunState.OUTCOME_UNKNOWN,
            ) from error

    async def _cancel(self, message: Cancel, link: PeerLink) -> None:
        entry = self._ledger.find(message.request_id, message.workspace)
        task = self._running.get(entry.request_id)
        self.stop(entry)
        if task is not None:
            await asyncio.wait([task])
        if entry.run_state is RunState.NOT_RUN:
            entry = self._ledger.tombstone(message.request_id, message.workspace)
        await link.send(self._state_reply(message.call, entry))

    def _refuse_if_leaving(self) -> None:
        if self.leaving:
            raise fail(
                ErrorKind.TARGET_LEAVING,
                "the target is leaving and accepts no new requests",
                retry_after_s=STOPPING_RETRY_S,
            )

    def _start(self, entry: LedgerEntry) -> None:
        if self.leaving and asyncio.get_running_loop().time() >= self._late_submission_end_s:
            entry.end(
                failure(
                    ErrorKind.TARGET_LEAVING,
                    "the target is leaving and accepts no new requests",
                    retry_after_s=STOPPING_RETRY_S,
                )
            )
            self._ledger.record_end(entry)
            return
        task = self._tasks.start(self._run(entry), name=f"run {entry.request_id}")
        self._running[entry.request_id] = task

    def stop(self, entry: LedgerEntry) -> None:
        """Cancel a request that runs or waits; do nothing if it does neither."""
        task = self._running.get(entry.request_id)
        if task is not None:
            task.cancel()

    async def _run(self, entry: LedgerEntry) -> None:
        try:
            await run_to_end(self._runner, entry)
        finally:
            self._running.pop(entry.request_id, None)
            self._log_outcome(entry)
            self._ledger.record_end(entry)

    def _log_outcome(self, entry: LedgerEntry) -> None:
        event = Event.REQUEST_FINISHED if entry.failure is None else entry.failure.rule.event
        log_event(event, request_id=entry.request_id, state=entry.state.value)

    def _watch_orphan(self, entry: LedgerEntry) -> None:
        if entry.readers == 0 and entry.repeatable and not entry.is_final:
            self._tasks.start(self._cancel_orphan(entry), name=f"grace {entry.request_id}")

    async def _cancel_orphan(self, entry: LedgerEntry) -> None:
        left_s = entry.reader_left_s
        await asyncio.sleep(self._orphan_grace_s)
        if entry.readers == 0 and entry.reader_left_s == left_s and not entry.is_final:
            entry.abandoned = True
            self.stop(entry)

    def _state_reply(self, call: int, entry: LedgerEntry) -> StateReply:
        return StateReply(
            call=call,
            state=entry.state.value,
            run_state=entry.run_state.value,
            token_count=len(entry.texts),
            load=self.load_report(),
        )
