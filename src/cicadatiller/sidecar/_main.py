"""The `cicadatiller-sidecar` program."""

import asyncio
import sys

from ..backing import instance_list_registry, log_registry, weight_store_registry
from ..channels import open_transport
from ..startup import run_from_command_line
from ..targets import engine_registry, service_registry
from ._options import SidecarOptions
from ._process import Sidecar
from ._settings import SidecarSettings, TargetKind


async def serve(settings: SidecarSettings, stopping: asyncio.Event) -> None:
    """Run a sidecar until `stopping` is set, then drain and close it."""
    log = settings.log.open(log_registry)
    instances = settings.instances.open(instance_list_registry)
    weights = settings.weights.open(weight_store_registry)
    target = settings.target
    is_engine = target.kind is TargetKind.ENGINE
    sidecar = Sidecar(
        options=_options(settings),
        transport=open_transport(settings.transport, settings.peer_tls),
        log=log,
        instances=instances,
        weights=weights,
        engine=target.endpoint.open(engine_registry) if is_engine else None,
        service=None if is_engine else target.endpoint.open(service_registry),
    )
    try:
        await sidecar.start()
        await stopping.wait()
        await sidecar.drain()
    finally:
        await sidecar.close()
        for client in (log, instances, weights):
            await client.close()


def _options(settings: SidecarSettings) -> SidecarOptions:
    return SidecarOptions(
        name=settings.name,
        address=settings.address,
        deployment=settings.deployment,
        peer_secret=settings.peer_secret.read(),
        replay_bytes=settings.replay_bytes,
        orphan_grace_s=settings.orphan_grace_s,
        linger_s=settings.linger_s,
        drain_timeout_s=settings.drain_timeout_s,
        timing=settings.timing,
    )


def main() -> None:
    """Run `cicadatiller-sidecar`."""
    sys.exit(
        run_from_command_line(
            description="Serve one target until SIGTERM, then finish running requests and exit.",
            settings_type=SidecarSettings,
            serve=serve,
        )
    )
