"""Runs an entry on the platform: `python -m cicadatiller.platform`."""

import argparse
import asyncio
import os
import signal
import sys
from pathlib import Path

from eliot import add_destinations

from ..channels import open_transport
from ..egress import ConnectionPool
from ..gateway import Gateway, GatewaySettings, NodeSettings, SettingsWatch
from ..kernel import EXIT_BAD_SETTINGS, LogOutput, map_large_blocks
from ._documents import PlatformDocuments
from ._headers import PlatformHeaders
from ._log import PlatformLog
from ._orders import PlatformEngineClient
from ._settings import SETTINGS_PATH_VARIABLE, PlatformSettingsError, load_node_settings


async def serve(path: Path, node: NodeSettings, settings: GatewaySettings) -> None:
    """Serve until SIGTERM.

    Args:
        path: The platform's settings file, which is reloaded when it changes.
        node: The settings loaded from that file.
        settings: The project's own settings.
    """
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    pool = ConnectionPool()
    gateway = Gateway(
        node=node,
        settings=settings,
        log=PlatformLog(address=node.store_address),
        codec=PlatformHeaders(),
        decoder=PlatformDocuments(),
        pool=pool,
        orders=PlatformEngineClient(pool=pool),
        transport=open_transport("websocket", None),
    )
    watch = SettingsWatch(
        path=path, load=load_node_settings, current=node, on_change=gateway.apply_node_settings
    )
    gateway.settings_revision = watch.revision
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, watch.reload)
    watch_task = loop.create_task(watch.run())
    try:
        await gateway.run(stopping)
    finally:
        watch_task.cancel()


def main() -> int:
    """Run the program and return the exit code."""
    parser = argparse.ArgumentParser(description="Serve HTTP callers until SIGTERM.")
    parser.add_argument("--settings", type=Path, help="the project's own settings, a YAML file")
    arguments = parser.parse_args()
    settings: GatewaySettings | None = GatewaySettings()
    if arguments.settings is not None:
        # Imported on first use, as an entry without a file of its own starts sooner without it.
        from ..startup import load_or_report

        settings = load_or_report(arguments.settings, GatewaySettings)
    path = Path(os.environ.get(SETTINGS_PATH_VARIABLE, "/etc/cicadatiller/boot.toml"))
    try:
        node = load_node_settings(path)
    except PlatformSettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if settings is None:
        return EXIT_BAD_SETTINGS
    map_large_blocks()
    add_destinations(LogOutput(fd=sys.stdout.fileno()))
    asyncio.run(serve(path, node, settings))
    return 0


if __name__ == "__main__":
    sys.exit(main())
