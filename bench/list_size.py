"""Measures the plain and the compressed size of the instance list at the target size.

`python -m bench.list_size` writes `bench/results/list_size.json`.
"""

import gzip
import json
from pathlib import Path

import cattrs

from bench.capacity import TARGET_SIZE
from cicadatiller.backing import Instance, InstanceKind

RESULTS = Path(__file__).parent / "results" / "list_size.json"
DATA_CENTRES = 6


def main() -> None:
    """Measure the sizes and write them."""
    rows = [cattrs.unstructure(_row(n)) for n in range(TARGET_SIZE.entries + TARGET_SIZE.workers)]
    body = json.dumps({"instances": rows}).encode()
    compressed_bytes = len(gzip.compress(body))
    result = {"instances": len(rows), "plain_bytes": len(body), "gzip_bytes": compressed_bytes}
    RESULTS.write_text(json.dumps(result, indent=1) + "\n")


def _row(number: int) -> Instance:
    is_entry = number < TARGET_SIZE.entries
    return Instance(
        name=f"{'entry' if is_entry else 'engine'}-{number:04}",
        kind=InstanceKind.ENTRY if is_entry else InstanceKind.ENGINE,
        data_centre=f"hall-{number % DATA_CENTRES}",
        deployment="" if is_entry else "north",
        address=f"10.{number % DATA_CENTRES}.{number // 250}.{number % 250}:7400",
    )


if __name__ == "__main__":
    main()
