"""Runs a stand-in: python -m cicadatiller.standins NAME --settings FILE."""

from ._programs import main

if __name__ == "__main__":
    main()
