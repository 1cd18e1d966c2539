"""The program `cicadatiller-entry`."""

import asyncio
import sys
import threading

from ..backing import instance_list_registry, log_registry
from ..channels import open_transport
from ..entry import Entry, EntryOptions, EntrySettings
from ..kernel import Event, LoopBridge, log_event
from ..startup import run_from_command_line
from ._http import RpcServer


async def serve(settings: EntrySettings, stopping: asyncio.Event) -> None:
    """Run one entry until the event is set, then shut down gracefully."""
    log = settings.log.open(log_registry)
    instances = settings.instances.open(instance_list_registry)
    entry = Entry(
        options=_options(settings),
        transport=open_transport(settings.transport, settings.peer_tls),
        log=log,
        instances=instances,
    )
    server = RpcServer(
        options=settings.http,
        entry=entry,
        bridge=LoopBridge(asyncio.get_running_loop()),
        entry_name=settings.name,
    )
    try:
        server.start()
        await entry.start()
        threading.Thread(target=server.serve, daemon=True, name="http server").start()
        await stopping.wait()
        await _stop_gracefully(settings, server, entry)
    finally:
        await entry.close()
        await log.close()
        await instances.close()


async def _stop_gracefully(settings: EntrySettings, server: RpcServer, entry: Entry) -> None:
    log_event(Event.PROCESS_STOPPING, name=settings.name)
    server.start_draining()
    entry.service.stopping = True
    await asyncio.sleep(settings.balancer_delay_s)
    await asyncio.to_thread(server.stop, settings.drain_timeout_s)


def _options(settings: EntrySettings) -> EntryOptions:
    return EntryOptions(
        name=settings.name,
        data_centre=settings.data_centre,
        peer_secret=settings.peer_secret.read(),
        bootstrap_key_hash=settings.bootstrap_key_hash,
        seed=settings.seed,
        timing=settings.timing,
        log_retention_s=settings.log_retention_s,
    )


def main() -> None:
    """Run `cicadatiller-entry`."""
    sys.exit(
        run_from_command_line(
            description="Serve callers and operators until SIGTERM, then shut down gracefully.",
            settings_type=EntrySettings,
            serve=serve,
        )
    )
