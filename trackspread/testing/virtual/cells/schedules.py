"""Seeded schedules for membership in levels: what goes wrong with control machines, zones and regions.

What goes wrong and when hangs on the seed alone; a failing one replays by it. After all faults have ended,
every gateway that runs has to be in a cell whose view is just its own, and hold its slots with the others,
within `SETTLED`; and then nobody moves for `CALM`.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from functools import partial

from ....cells.actions import CellLeft
from ....cells.topology import CellPolicy
from ....membership.identifiers import MS, SECOND
from ..processes import InvariantViolated
from .world import KEEP, CelledWorld, Process

SETTLED = 30 * SECOND  # ns from the last fault's end: elections, a rebuild, the longest wait of one that asks
CALM = 10 * SECOND  # ns without any move that follow
QUIET = 40 * SECOND  # ns after which cells that were to be merged are
LEAD = 16 * SECOND  # ns for all to start and settle before anything goes wrong
SPAN = 24 * SECOND  # ns in which it does
SMALL = CellPolicy(6, 8, 2, 4, 4_096, 5 * SECOND, 8 * SECOND, 5 * SECOND)  # as at size, with few processes


class Player:
    """Faults as a world has them, at times that are drawn."""

    def __init__(self, world: CelledWorld, rng: random.Random) -> None:
        self._world = world
        self._rng = rng

    def arrange(self, count: int) -> None:
        """So many faults between `LEAD` and the end of `SPAN`."""
        for _ in range(count):
            kind = self._rng.choice(KINDS)
            when = LEAD + self._rng.randint(0, SPAN - 8 * SECOND)
            self._world.at(when, partial(kind, self, self._rng.randint(500 * MS, 8 * SECOND)))

    def _some(self, processes: list[Process], most: int) -> list[Process]:
        return self._rng.sample(processes, min(len(processes), self._rng.randint(1, most)))

    def _restart(self, processes: Iterable[Process], span: int) -> None:
        world = self._world
        for process in processes:
            if process.core is not None:
                world.kill(process)
                world.clock.after(span + self._rng.randint(0, 300 * MS), partial(self._again, process))

    def _again(self, process: Process) -> None:
        if process.core is None:
            self._world.start(process)

    def control_killed(self, span: int) -> None:
        """One or two control machines; they start anew."""
        self._restart(self._some(self._world.among("c"), 2), span)

    def leader_killed(self, span: int) -> None:
        leader = self._world.leader()
        self._restart([leader] if leader is not None else [], span)

    def all_control_killed(self, span: int) -> None:
        """Nobody is left that knows the directory."""
        self._restart(self._world.among("c"), span // 4)

    def leader_stopped(self, span: int) -> None:
        """It wakes with an old lease."""
        if (leader := self._world.leader()) is not None:
            self._world.pause(leader, span)

    def some_stopped(self, span: int) -> None:
        for process in self._some(list(self._world.processes.values()), 4):
            self._world.pause(process, span // 2)

    def region_cut(self, span: int) -> None:
        regions = sorted({zone.region for zone in self._world.zones})
        one = self._rng.choice(regions)
        self._world.cut_off(one, [other for other in regions if other != one])
        self._world.clock.after(span, self._world.heal_regions)

    def one_way(self, span: int) -> None:
        """What some say to some others is lost, and what these say is not."""
        processes = list(self._world.processes)
        some, others = self._rng.sample(processes, 4), self._rng.sample(processes, len(processes) // 2)
        ways = self._world.partition(some, others, both=False)
        self._world.clock.after(span, partial(self._world.heal, ways))

    def zone_lost(self, span: int) -> None:
        zone = self._rng.choice(self._world.zones)
        self._restart(self._world.among("g", zone) + self._world.among("c", zone), span)

    def half_restarted(self, span: int) -> None:
        gateways = self._world.among("g")
        self._restart(self._rng.sample(gateways, len(gateways) // 2), span // 8)

    def rough(self, span: int) -> None:
        conditions = self._world.conditions
        conditions.loss = 0.1
        conditions.duplication = 0.1
        conditions.jitter_ns = 50 * MS
        self._world.clock.after(span, self._calm)

    def _calm(self) -> None:
        conditions = self._world.conditions
        conditions.loss = 0.0
        conditions.duplication = 0.0
        conditions.jitter_ns = 0

    def joined(self, span: int) -> None:
        """More than a cell takes, in one zone."""
        zone = self._rng.choice(self._world.zones)
        for _ in range(self._rng.randint(1, 9)):
            self._world.start(self._world.add(zone))

    def gone(self, span: int) -> None:
        """Some go for good, in good order or not."""
        for process in self._some(self._world.among("g"), 5):
            (self._world.leave if self._rng.random() < 0.5 else self._world.kill)(process)


KINDS: tuple[Callable[[Player, int], None], ...] = (
    Player.control_killed,
    Player.leader_killed,
    Player.all_control_killed,
    Player.leader_stopped,
    Player.some_stopped,
    Player.region_cut,
    Player.one_way,
    Player.zone_lost,
    Player.half_restarted,
    Player.rough,
    Player.joined,
    Player.gone,
)


def play(seed: int) -> tuple[CelledWorld, int]:
    """Raises `InvariantViolated`; the world at its end, and the ns that it took to settle."""
    rng = random.Random(f"celled:{seed}")
    regions = rng.choice([1, 2, 3])
    machines = rng.choice([3, 5, 7]) if regions < 3 else 9
    drift, keep = rng.choice([0.0, 0.01]), rng.choice([KEEP, 3 * KEEP])
    world = CelledWorld(seed, regions, machines, 2, drift, SMALL, keep)
    world.populate(rng.randint(1, 8))
    for process in list(world.processes.values()):
        world.at(rng.randint(0, 500 * MS), partial(world.start, process))
    Player(world, rng).arrange(rng.randint(1, 6))
    world.run(LEAD + SPAN + SECOND)
    took = world.until_settled(SETTLED)
    world.run(QUIET)
    since = world.elapsed_ns
    world.run(CALM)
    moved = [told for at, _, told in world.told if at > since and isinstance(told, CellLeft)]
    if moved:
        raise InvariantViolated(f"seed {seed}: {len(moved)} move without a cause")
    if amiss := world.settled():
        raise InvariantViolated(f"seed {seed}: settled no more: {amiss}")
    return world, took
