"""Runs an entry on the platform: `python -m cicadatiller.platform`."""

import asyncio
import os
import signal
import sys
from pathlib import Path

from eliot import to_file

from ..egress import ConnectionPool
from ..gateway import Gateway
from ..peer import open_transport
from ._documents import PlatformDocuments
from ._headers import PlatformHeaders
from ._log import PlatformLog
from ._orders import PlatformOrders
from ._settings import SETTINGS_PATH_VARIABLE, load_node_settings


async def serve() -> None:
    """Serve until SIGTERM."""
    node = load_node_settings(Path(os.environ[SETTINGS_PATH_VARIABLE]))
    stopping = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopping.set)
    pool = ConnectionPool()
    gateway = Gateway(
        node=node,
        log=PlatformLog(address=node.store_address),
        codec=PlatformHeaders(),
        decoder=PlatformDocuments(),
        pool=pool,
        orders=PlatformOrders(pool=pool),
        transport=open_transport("websocket", None),
    )
    await gateway.run(stopping)


def main() -> None:
    """Run the program."""
    to_file(sys.stdout)
    asyncio.run(serve())


main()
