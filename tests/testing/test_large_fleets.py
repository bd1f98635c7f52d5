"""A large fleet's bad days in virtual time: the rules hold, and most of what has room is served."""

from __future__ import annotations

import pytest

from trackspread.testing.virtual.large_fleets import FAULTS, play


# Without room for chance, a home's first ceiling and its last word: 0.42, 0.67 and 0.77 are served.
SERVED = {"release": 0.5, "zone": 0.75, "join": 0.9}


@pytest.mark.parametrize("name", FAULTS)
def test_rules_hold_and_most_is_served_on_a_large_fleets_bad_day(name: str) -> None:
    day = play(name, 1)
    assert day.violations == 0
    assert day.first_second_peak < 1.0
    assert day.served_share > SERVED[name]
