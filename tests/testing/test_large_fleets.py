"""Tests in virtual time that a large fleet keeps the rules under faults and serves most requests."""

from __future__ import annotations

import pytest

from trackspread.testing.virtual.large_fleets import FAULTS, play


# Without the margin for randomness, a quota owner's first hard limit and its last message, the served shares
# are 0.42, 0.67 and 0.77.
SERVED = {"release": 0.5, "zone": 0.75, "join": 0.9}


@pytest.mark.parametrize("name", FAULTS)
def test_large_fleet_keeps_rules_and_serves_most_requests(name: str) -> None:
    run = play(name, 1)
    assert run.violations == 0
    assert run.first_second_peak < 1.0
    assert run.served_share > SERVED[name]
