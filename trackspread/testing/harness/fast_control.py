"""Runs a control machine with small cells that are merged and replaced within seconds, for tests.

Usage: `python -m trackspread.testing.harness.fast_control FAULTS control NAME --file FILE`. `FAULTS` has the
names of planted faults, separated by commas, or "none". `harness/mutant_gateway.py` runs gateways with such
faults.
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

NO_FAULTS = "none"
CELL_TARGET, CELL_MAX, CELL_MIN, CELL_MERGED = 2, 3, 1, 2  # numbers of gateways in a cell
IDLE_NS = 60 * SECOND  # instead of ten minutes
CHANGE_DELAY_NS = 4 * SECOND  # instead of half a minute and two minutes


def fault_patches(names: str) -> list[Any]:
    """Returns the patches that plant the named faults."""
    known = {**membered_mutants.MUTANTS, **celled_mutants.MUTANTS}
    return [each for name in names.split(",") if name != NO_FAULTS for each in known[name]()]


def _policy(max_fleet_gateways: int) -> CellPolicy:
    return CellPolicy(
        CELL_TARGET,
        CELL_MAX,
        CELL_MIN,
        CELL_MERGED,
        max_fleet_gateways,
        CHANGE_DELAY_NS,
        CHANGE_DELAY_NS,
        IDLE_NS,
    )


def main(faults: str, control_name: str, file: str) -> None:
    """Runs the control machine in the foreground."""
    with ExitStack() as stack:
        stack.enter_context(patch.object(control_machine, "CellPolicy", _policy))
        stack.enter_context(applied(fault_patches(faults)))
        control_machine.run(control_name, Path(file))


if __name__ == "__main__":
    main(sys.argv[1], sys.argv[3], sys.argv[-1])
