"""The page of capacity, docs/CAPACITY.md: its tables worked out from the measured slopes.

Prints the tables; `--write` puts them into the page between its markers, `--check` fails when the page
differs; `--measure` measures the slopes of the decision module (some minutes) and keeps them in the file.
"""

from __future__ import annotations

import argparse
import sys

from .scale import module
from .scale.slopes import SLOPES, merge


def main() -> int:
    """Exit status."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--measure", nargs="*", metavar="SUBJECT", help="measure first: all, or those named")
    given = parser.parse_args()
    if given.measure is not None:
        merge(module.measure(given.measure), SLOPES)
    return 0


if __name__ == "__main__":
    sys.exit(main())
