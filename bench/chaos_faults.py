"""The faults that the chaos bench injects, one for each phase."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from bench.chaos_callers import Callers, Kind
from bench.chaos_fleet import ChaosFleet

PHASE_LOAD_S = 5.0
RESTART_DELAY_S = 1.5
SIDECAR_PAUSE_S = 16.0
ENTRY_PAUSE_S = 4.0
OUTAGE_S = 6.0
BALANCER_DELAY_S = 0.3
OVERLAP_S = 4.0

ALL_KINDS = frozenset(Kind)
ONE_TARGET = frozenset({Kind.GENERATION, Kind.VERDICT, Kind.ORDER})
REPEATABLE = frozenset({Kind.GENERATION})

FaultInjection = Callable[[ChaosFleet, Callers, list[str]], Awaitable[None]]


@dataclass(frozen=True, kw_only=True)
class Phase:
    """A fault under load.

    Attributes:
        name: Name of the fault.
        inject: Injects the fault and reverts it.
        whole: The kinds of requests that must all get a complete response.
        load_s: Period during which requests are sent.
    """

    name: str
    inject: FaultInjection
    whole: frozenset[Kind]
    load_s: float = PHASE_LOAD_S


async def no_fault(chaos: ChaosFleet, callers: Callers, prompts: list[str]) -> None:
    """Do nothing."""


async def kill_engine(chaos: ChaosFleet, callers: Callers, prompts: list[str]) -> None:
    """Kill an engine and start a new process in its place."""
    await chaos.save_executions("engine-0", prompts)
    chaos.kill("engine-0-target")
    await asyncio.sleep(RESTART_DELAY_S)
    chaos.restart("engine-0-target")


async def kill_sidecar(chaos: ChaosFleet, callers: Callers, prompts: list[str]) -> None:
    """Kill the sidecars of an engine and of the service and start new ones in their slots."""
    for name in ("engine-1", "service-0"):
        chaos.kill(name)
    await asyncio.sleep(RESTART_DELAY_S)
    for name in ("engine-1", "service-0"):
        chaos.restart(name)


async def kill_entry(chaos: ChaosFleet, callers: Callers, prompts: list[str]) -> None:
    """Kill an entry; the load balancer removes it, so that callers use the other one."""
    chaos.kill("entry-0")
    await asyncio.sleep(BALANCER_DELAY_S)
    callers.available_entries.remove(0)
    await asyncio.sleep(RESTART_DELAY_S)
    chaos.restart("entry-0")


async def pause_sidecar(chaos: ChaosFleet, callers: Callers, prompts: list[str]) -> None:
    """Pause the sidecar of an engine for longer than its lease for sending engine orders."""
    chaos.pause("engine-2")
    await asyncio.sleep(SIDECAR_PAUSE_S)
    chaos.resume("engine-2")


async def pause_entry(chaos: ChaosFleet, callers: Callers, prompts: list[str]) -> None:
    """Pause an entry for longer than the `silence_s` of its connections."""
    chaos.pause("entry-1")
    await asyncio.sleep(ENTRY_PAUSE_S)
    chaos.resume("entry-1")


async def two_sidecars(chaos: ChaosFleet, callers: Callers, prompts: list[str]) -> None:
    """Start a second sidecar on the slot of an engine, then stop the first.

    The second cancels the streams of the first; their requests fail or resume on other targets.
    """
    chaos.start_second("engine-3")
    await asyncio.sleep(OVERLAP_S)
    await chaos.terminate("engine-3")
    chaos.replace_first("engine-3")


async def drop_connection_data(chaos: ChaosFleet, callers: Callers, prompts: list[str]) -> None:
    """Stop forwarding data on all open connections to the sidecars of an engine and the service."""
    for name in ("engine-1", "service-0"):
        chaos.relays[name].drop_data()


async def platform_down(chaos: ChaosFleet, callers: Callers, prompts: list[str]) -> None:
    """Make the log and the instance list fail for `OUTAGE_S`."""
    await chaos.set_platform_down(True)
    await asyncio.sleep(OUTAGE_S)
    await chaos.set_platform_down(False)


async def stop_sidecar(chaos: ChaosFleet, callers: Callers, prompts: list[str]) -> None:
    """Shut down the sidecar of an engine, then start it again."""
    await chaos.terminate("engine-2")
    chaos.restart("engine-2")


async def stop_entry(chaos: ChaosFleet, callers: Callers, prompts: list[str]) -> None:
    """Shut down an entry while streams are open that outlast its drain timeout."""
    stopping = asyncio.ensure_future(chaos.terminate("entry-0"))
    await asyncio.sleep(BALANCER_DELAY_S)
    callers.available_entries.remove(0)
    await stopping
    chaos.restart("entry-0")


PHASES = (
    Phase(name="no fault", inject=no_fault, whole=ALL_KINDS, load_s=3.0),
    Phase(name="engine killed", inject=kill_engine, whole=REPEATABLE),
    Phase(name="sidecars killed", inject=kill_sidecar, whole=REPEATABLE),
    Phase(name="entry killed", inject=kill_entry, whole=REPEATABLE | {Kind.HUGE, Kind.ORDER}),
    Phase(name="sidecar paused past its lease", inject=pause_sidecar, whole=REPEATABLE),
    Phase(name="entry paused", inject=pause_entry, whole=ALL_KINDS),
    Phase(name="two sidecars on one slot", inject=two_sidecars, whole=REPEATABLE | {Kind.ORDER}),
    Phase(name="connections silent", inject=drop_connection_data, whole=ONE_TARGET),
    Phase(name="platform down", inject=platform_down, whole=ALL_KINDS, load_s=7.0),
    Phase(name="sidecar stopped as planned", inject=stop_sidecar, whole=ALL_KINDS),
    Phase(name="entry stopped as planned", inject=stop_entry, whole=ALL_KINDS),
)
