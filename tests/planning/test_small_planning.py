"""Tests the state explorer, and planning with the smallest fleet under it."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Self

import pytest

from trackspread.testing.virtual.explorer import explore
from trackspread.testing.virtual.patches import applied
from trackspread.testing.virtual.planning.mutants import MUTANTS
from trackspread.testing.virtual.planning.small import SmallWorld, elected, one_slot

STATES = 2500  # in CI; benchmarks.convict explores more
SHORTEST = {  # by mutant, the start and the longest trace
    "entire-limit-for-each": (elected, 1),
    "no-waiting-time": (elected, 5),
    "outstanding-time-too-short": (elected, 5),
    "minority-elects": (SmallWorld, 6),
}


class Jugs:
    """Models jugs of three and five units, where four units are reached in six steps at least."""

    def __init__(self) -> None:
        self.held = [0, 0]

    def events(self) -> Iterable[str]:
        return "fill 0", "fill 1", "empty 0", "empty 1", "pour 0", "pour 1"

    def apply(self, event: str) -> None:
        action, jug = event.split()[0], int(event.split()[1])
        capacity, other = (3, 5), 1 - jug
        if action == "fill":
            self.held[jug] = capacity[jug]
        elif action == "empty":
            self.held[jug] = 0
        else:
            moved = min(self.held[jug], capacity[other] - self.held[other])
            self.held[jug], self.held[other] = self.held[jug] - moved, self.held[other] + moved

    def violation(self) -> str:
        return "four units" if self.held[1] == 4 else ""

    def normalized(self) -> Self:
        return self


class ValidJugs(Jugs):
    """Models the same puzzle without a violation."""

    def violation(self) -> str:
        return ""


def test_explorer_finds_shortest_traces_and_covers_small_models() -> None:
    """The jugs violate their invariant after six steps; without a violation all 16 states are explored."""
    found = explore(Jugs, 10, 1000)
    assert found.violation == "four units" and len(found.trace) == found.depth == 6
    world = Jugs()
    for event in found.trace:
        world.apply(event)
    assert world.held[1] == 4
    complete = explore(ValidJugs, 50, 1000)
    assert complete.is_complete and complete.states == 16 and not complete.trace
    assert not explore(ValidJugs, 50, 10).is_complete and explore(ValidJugs, 2, 1000).depth == 2


@pytest.mark.parametrize("start", [SmallWorld, elected])
def test_smallest_fleet_of_planning_has_no_violation(start: type[SmallWorld]) -> None:
    with one_slot():
        found = explore(start, 20, STATES)
    assert found.states == STATES and found.violation == "", found.trace


@pytest.mark.parametrize("name", SHORTEST)
def test_mutants_of_planning_are_detected_by_traces(name: str) -> None:
    start, length = SHORTEST[name]
    with one_slot(), applied(MUTANTS[name]()):
        found = explore(start, length, 20_000)
    assert found.violation and len(found.trace) <= length
    with one_slot():
        world = start()
        for event in found.trace:  # Without the mutant the same events cause no violation.
            if event in set(world.events()):
                world.apply(event)
            assert world.violation() == ""
