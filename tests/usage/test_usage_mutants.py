"""Tests that the simulated schedules detect mutants of the ledger of usage records."""

from __future__ import annotations

import pytest

from trackspread.testing.virtual.usage.mutants import MUTANTS, first_detecting_seed


@pytest.mark.parametrize("name", MUTANTS)
def test_schedules_detect_every_mutant(name: str) -> None:
    """Guards against schedules that no longer detect a broken rule of the ledger."""
    assert first_detecting_seed(name, iter(range(600))) is not None
