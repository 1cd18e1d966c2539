"""What still runs at the targets of evacuated data centres."""

from collections.abc import Iterable

from ..fleet import Target
from ..placement import LoadBoard


def count_requests(targets: Iterable[Target], board: LoadBoard, owner: str) -> int:
    """Return how many requests of an entry run on some targets; parts of prompts don't count."""
    loads = (board.load(target.instance_id) for target in targets)
    return sum(
        work.owner == owner and work.writes for load in loads for work in load.works.values()
    )
