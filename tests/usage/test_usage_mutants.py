"""Planted faults of the ledger of use records, put to its schedules."""

from __future__ import annotations

import pytest

from trackspread.testing.virtual.usage.mutants import MUTANTS, convict


@pytest.mark.parametrize("name", MUTANTS)
def test_schedules_convict_every_mutant(name: str) -> None:
    assert convict(name, iter(range(600))) is not None
