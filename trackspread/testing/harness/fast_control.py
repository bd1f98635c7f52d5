"""Runs a control machine whose cells are small, and are merged and replaced within seconds, so that a test
sees gateways move: `python -m trackspread.testing.harness.fast_control [FAULTS] control NAME --file FILE`.

`FAULTS`: planted ones by name, with commas between, or "none". A gateway runs with such faults by
`harness/mutant_gateway.py`. May know: the program's entries.
"""

from __future__ import annotations

import sys
from contextlib import ExitStack
from pathlib import Path
from typing import Any
from unittest.mock import patch

from ...cells.topology import CellPolicy
from ...membership.identifiers import SECOND
from ...node import control_machine
from ..virtual.cells import mutants as celled_mutants
from ..virtual.membership import mutants as membered_mutants
from ..virtual.patches import applied

NONE = "none"
TARGET, MOST, LEAST, MERGED = 2, 3, 1, 2  # gateways of a cell
IDLE = 60 * SECOND  # in place of the ten minutes
SOON = 4 * SECOND  # ns in place of the half minute and the two minutes


def faults(names: str) -> list[Any]:
    """The patches of all these."""
    known = {**membered_mutants.MUTANTS, **celled_mutants.MUTANTS}
    return [each for name in names.split(",") if name != NONE for each in known[name]()]


def _policy(max_fleet_gateways: int) -> CellPolicy:
    return CellPolicy(TARGET, MOST, LEAST, MERGED, max_fleet_gateways, SOON, SOON, IDLE)


def main(names: str, control: str, file: str) -> None:
    """In the foreground."""
    with ExitStack() as stack:
        stack.enter_context(patch.object(control_machine, "CellPolicy", _policy))
        stack.enter_context(applied(faults(names)))
        control_machine.run(control, Path(file))


if __name__ == "__main__":
    main(sys.argv[1], sys.argv[3], sys.argv[-1])
