"""One attempt to reserve several engines and to run a prompt on them."""

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass

from ..kernel import ErrorKind, Event, FailureError, log_event
from ..peer import GenerateWork, Prefill, SegmentRef, TargetEndedError
from ._gang_handles import MemberHandle
from ._segments import PromptShare

HOLD_TTL_S = 6.0
RENEW_INTERVAL_S = 1.0
RESERVE_RETRY_DELAY_S = 0.1
NO_EXCHANGE = 0


class GangLostError(Exception):
    """A member of the gang was lost.

    Attributes:
        ended: The end of the engine that ran the prompt at the member; None if none is known.
        address: The address of the member.
    """

    def __init__(
        self, message: str, *, ended: TargetEndedError | None = None, address: str = ""
    ) -> None:
        super().__init__(message)
        self.ended = ended
        self.address = address


class ReservationError(Exception):
    """The memory of the gang could not be reserved."""


@dataclass(frozen=True, kw_only=True)
class GangMemberShare:
    """A member of a gang and its share of the prompt.

    Attributes:
        handle: The member.
        share: Its share of the prompt and the memory for it.
    """

    handle: MemberHandle
    share: PromptShare


class Gang:
    """One attempt to reserve engines and to run a prompt on them.

    Args:
        gang_id: The id of the holds; unique to this attempt.
        members: In the order of the prompt; the last one is the host, which is the coordinator's
            own engine.
    """

    def __init__(self, *, gang_id: str, members: tuple[GangMemberShare, ...]) -> None:
        self._gang_id = gang_id
        self._members = members
        self._engine_addresses: dict[str, str] = {}

    async def reserve(self, timeout_s: float) -> None:
        """Reserve the members one after the other, in the order of their addresses.

        All coordinators use this order and hold nothing at a later address while they wait at an
        earlier one, which rules out a deadlock between them.

        Raises:
            ReservationError: If a member fails or the timeout passes.
        """
        deadline_s = asyncio.get_running_loop().time() + timeout_s
        for member in sorted(self._members, key=lambda item: item.share.address):
            await self._reserve_one(member, deadline_s)
        log_event(Event.GANG_RESERVED, gang_id=self._gang_id, members=len(self._members))

    async def renew_holds(self) -> None:
        """Renew the holds until cancelled; raises `GangLostError`."""
        while True:
            await asyncio.sleep(RENEW_INTERVAL_S)
            held = [item for item in self._members if item.share.address in self._engine_addresses]
            renewals = [self._renew(member) for member in held]
            await asyncio.gather(*renewals)

    async def prefill(self, work: GenerateWork, deadline_s: float) -> tuple[SegmentRef, ...]:
        """Prefill the segments of all members but the last; raises `GangLostError`."""
        done: list[SegmentRef] = []
        for number, member in enumerate(self._members[:-1]):
            segment = SegmentRef(
                engine_address=self._engine_addresses[member.share.address],
                export_id=f"{self._gang_id}/{number}",
                first_token=member.share.first_token,
                token_count=member.share.token_count,
            )
            order = Prefill(
                call=NO_EXCHANGE,
                hold_id=self._gang_id,
                work=work,
                segment=segment,
                before=tuple(done),
                budget_s=max(0.0, deadline_s - asyncio.get_running_loop().time()),
            )
            try:
                await member.handle.prefill(order)
            except TargetEndedError as error:
                raise GangLostError(
                    str(error), ended=error, address=member.share.address
                ) from error
            except FailureError as error:
                raise GangLostError(str(error)) from error
            done.append(segment)
        return tuple(done)

    async def release(self) -> None:
        """End all holds and claims; those of unreachable members expire."""
        await asyncio.gather(*(self._release_one(member) for member in self._members))
        log_event(Event.GANG_RELEASED, gang_id=self._gang_id)

    @property
    def last_share(self) -> PromptShare:
        """Return the share of the host."""
        return self._members[-1].share

    async def _reserve_one(self, member: GangMemberShare, deadline_s: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < deadline_s:
            try:
                self._engine_addresses[member.share.address] = await self._request_hold(member)
                return
            except FailureError as error:
                if error.failure.kind is not ErrorKind.OVERLOADED:
                    raise ReservationError(str(error)) from error
            await asyncio.sleep(RESERVE_RETRY_DELAY_S)
        raise ReservationError(f"the memory at {member.share.address} did not become free in time")

    async def _renew(self, member: GangMemberShare) -> None:
        try:
            await self._request_hold(member)
        except FailureError as error:
            raise GangLostError(str(error)) from error

    async def _request_hold(self, member: GangMemberShare) -> str:
        return await member.handle.reserve(self._gang_id, member.share.kv_tokens, HOLD_TTL_S)

    async def _release_one(self, member: GangMemberShare) -> None:
        try:
            await member.handle.release(self._gang_id)
        except FailureError:
            return


async def run_with_renewal(gang: Gang, work: Coroutine[object, object, None]) -> None:
    """Run a coroutine while renewing the gang's holds; cancels it if a hold is lost."""
    loop = asyncio.get_running_loop()
    main = loop.create_task(work)
    renewal = loop.create_task(gang.renew_holds())
    try:
        await asyncio.wait((main, renewal), return_when=asyncio.FIRST_COMPLETED)
        if not main.done():
            renewal.result()
        main.result()
    finally:
        main.cancel()
        renewal.cancel()
        await asyncio.gather(main, renewal, return_exceptions=True)
