"""The command line programs `cicadatiller` and `cicadatiller-demo`."""

from ._app import app, main
from ._demo import demo_main

__all__ = ["app", "demo_main", "main"]
