"""The explorer, and planning's smallest world under it."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Self

import pytest

from trackspread.testing.virtual.explorer import explore
from trackspread.testing.virtual.patches import applied
from trackspread.testing.virtual.planning.mutants import MUTANTS
from trackspread.testing.virtual.planning.small import SmallWorld, elected, one_slot

STATES = 2500  # in CI; benchmarks.convict goes further
SHORTEST = {  # each mutant's trace is no longer than this
    "entire-limit-for-each": (elected, 1),
    "no-waiting-time": (elected, 5),
    "outstanding-time-too-short": (elected, 5),
    "minority-elects": (SmallWorld, 6),
}


class Jugs:
    """Three and five units; four are wanted. The shortest way takes six pourings."""

    def __init__(self) -> None:
        self.held = [0, 0]

    def events(self) -> Iterable[str]:
        return "fill 0", "fill 1", "empty 0", "empty 1", "pour 0", "pour 1"

    def apply(self, event: str) -> None:
        what, which = event.split()[0], int(event.split()[1])
        most, other = (3, 5), 1 - which
        if what == "fill":
            self.held[which] = most[which]
        elif what == "empty":
            self.held[which] = 0
        else:
            moved = min(self.held[which], most[other] - self.held[other])
            self.held[which], self.held[other] = self.held[which] - moved, self.held[other] + moved

    def violation(self) -> str:
        return "four units" if self.held[1] == 4 else ""

    def normalized(self) -> Self:
        return self


class Calm(Jugs):
    def violation(self) -> str:
        return ""


def test_a_violation_is_told_by_a_shortest_trace_and_a_small_world_is_seen_whole() -> None:
    found = explore(Jugs, 10, 1000)
    assert found.violation == "four units" and len(found.trace) == found.depth == 6
    world = Jugs()
    for name in found.trace:
        world.apply(name)
    assert world.held[1] == 4
    whole = explore(Calm, 50, 1000)
    assert whole.is_complete and whole.states == 16 and not whole.trace
    assert not explore(Calm, 50, 10).is_complete and explore(Calm, 2, 1000).depth == 2


@pytest.mark.parametrize("start", [SmallWorld, elected])
def test_nothing_is_wrong_in_the_smallest_world_of_planning(start: type[SmallWorld]) -> None:
    with one_slot():
        found = explore(start, 20, STATES)
    assert found.states == STATES and found.violation == "", found.trace


@pytest.mark.parametrize("name", SHORTEST)
def test_mutants_of_planning_are_told_by_traces(name: str) -> None:
    start, length = SHORTEST[name]
    with one_slot(), applied(MUTANTS[name]()):
        found = explore(start, length, 20_000)
    assert found.violation and len(found.trace) <= length
    with one_slot():
        world = start()
        for step in found.trace:  # and without the mutant the same happenings are harmless
            if step in set(world.events()):
                world.apply(step)
            assert world.violation() == ""
