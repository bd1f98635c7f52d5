"""Makes seeded schedules of faults of control machines, gateways, zones and regions.

The seed alone determines the faults and times, so a failure replays. Within `SETTLE_LIMIT_NS` of the end of
all faults, every running gateway must be in a cell whose view has exactly the cell's gateways and seeds, and
these gateways must use all slots. Later no gateway may move for `CALM_NS`.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from functools import partial

from ....cells.actions import CellLeft
from ....cells.topology import CellPolicy
from ....membership.identifiers import MS, SECOND
from ..processes import InvariantViolated
from .world import LEASE_DURATION_NS, CellsWorld, Process

# Time from the last fault's end for elections, a rebuild, and the longest backoff of a gateway.
SETTLE_LIMIT_NS = 30 * SECOND
CALM_NS = 10 * SECOND  # time without any move at the end
MERGE_NS = 40 * SECOND  # time after which all cells that were to be merged have been merged
START_NS = 16 * SECOND  # time in which the fleet starts and settles before any fault
SPAN = 24 * SECOND  # time in which faults occur
# With this policy a few processes split and merge cells as a large fleet does.
SMALL_POLICY = CellPolicy(6, 8, 2, 4, 4_096, 5 * SECOND, 8 * SECOND, 5 * SECOND)


class Player:
    """Injects faults into a world at random times."""

    def __init__(self, world: CellsWorld, rng: random.Random) -> None:
        self._world = world
        self._rng = rng

    def schedule_faults(self, count: int) -> None:
        """Schedules this number of faults, which start after `START_NS` and end within `SPAN`."""
        for _ in range(count):
            fault = self._rng.choice(FAULTS)
            at = START_NS + self._rng.randint(0, SPAN - 8 * SECOND)
            self._world.at(at, partial(fault, self, self._rng.randint(500 * MS, 8 * SECOND)))

    def _some(self, processes: list[Process], limit: int) -> list[Process]:
        return self._rng.sample(processes, min(len(processes), self._rng.randint(1, limit)))

    def _restart(self, processes: Iterable[Process], span: int) -> None:
        world = self._world
        for process in processes:
            if process.core is not None:
                world.kill(process)
                world.clock.after(span + self._rng.randint(0, 300 * MS), partial(self._start_again, process))

    def _start_again(self, process: Process) -> None:
        if process.core is None:
            self._world.start(process)

    def control_killed(self, span: int) -> None:
        """Kills one or two control machines, which start again."""
        self._restart(self._some(self._world.processes_of("c"), 2), span)

    def leader_killed(self, span: int) -> None:
        """Kills the leader, which starts again."""
        leader = self._world.leader()
        self._restart([leader] if leader is not None else [], span)

    def all_control_killed(self, span: int) -> None:
        """Kills all control machines, so that no process knows the directory."""
        self._restart(self._world.processes_of("c"), span // 4)

    def leader_paused(self, span: int) -> None:
        """Pauses the leader, which resumes with an old lease."""
        if (leader := self._world.leader()) is not None:
            self._world.pause(leader, span)

    def some_paused(self, span: int) -> None:
        """Pauses up to four processes."""
        for process in self._some(list(self._world.processes.values()), 4):
            self._world.pause(process, span // 2)

    def region_cut_off(self, span: int) -> None:
        """Cuts one region off from the others."""
        regions = sorted({zone.region for zone in self._world.zones})
        region = self._rng.choice(regions)
        self._world.cut_off(region, [other for other in regions if other != region])
        self._world.clock.after(span, self._world.heal_regions)

    def links_severed_one_way(self, span: int) -> None:
        """Severs the links from some processes to others, but not the links back."""
        processes = list(self._world.processes)
        some, others = self._rng.sample(processes, 4), self._rng.sample(processes, len(processes) // 2)
        links = self._world.partition(some, others, both=False)
        self._world.clock.after(span, partial(self._world.heal, links))

    def zone_killed(self, span: int) -> None:
        """Kills all processes of a zone, which start again."""
        zone = self._rng.choice(self._world.zones)
        self._restart(self._world.processes_of("g", zone) + self._world.processes_of("c", zone), span)

    def half_restarted(self, span: int) -> None:
        """Kills half of the gateways, which start again."""
        gateways = self._world.processes_of("g")
        self._restart(self._rng.sample(gateways, len(gateways) // 2), span // 8)

    def network_degraded(self, span: int) -> None:
        """Loses, duplicates and delays messages."""
        conditions = self._world.conditions
        conditions.loss = 0.1
        conditions.duplication = 0.1
        conditions.jitter_ns = 50 * MS
        self._world.clock.after(span, self._end_degradation)

    def _end_degradation(self) -> None:
        conditions = self._world.conditions
        conditions.loss = 0.0
        conditions.duplication = 0.0
        conditions.jitter_ns = 0

    def gateways_added(self, span: int) -> None:
        """Starts up to nine gateways in one zone, which can be more than a cell accepts."""
        zone = self._rng.choice(self._world.zones)
        for _ in range(self._rng.randint(1, 9)):
            self._world.start(self._world.add(zone))

    def gateways_removed(self, span: int) -> None:
        """Ends some gateways for good; each leaves or is killed."""
        for process in self._some(self._world.processes_of("g"), 5):
            (self._world.leave if self._rng.random() < 0.5 else self._world.kill)(process)


# Seeds draw from this order, so a change of it changes the schedules.
FAULTS: tuple[Callable[[Player, int], None], ...] = (
    Player.control_killed,
    Player.leader_killed,
    Player.all_control_killed,
    Player.leader_paused,
    Player.some_paused,
    Player.region_cut_off,
    Player.links_severed_one_way,
    Player.zone_killed,
    Player.half_restarted,
    Player.network_degraded,
    Player.gateways_added,
    Player.gateways_removed,
)


def play(seed: int) -> tuple[CellsWorld, int]:
    """Plays the schedule of a seed; returns the world at its end and the ns that it took to settle.

    Raises `InvariantViolated` if an invariant does not hold.
    """
    rng = random.Random(f"celled:{seed}")
    regions = rng.choice([1, 2, 3])
    machines = rng.choice([3, 5, 7]) if regions < 3 else 9
    drift, duration_ns = rng.choice([0.0, 0.01]), rng.choice([LEASE_DURATION_NS, 3 * LEASE_DURATION_NS])
    world = CellsWorld(seed, regions, machines, 2, drift, SMALL_POLICY, duration_ns)
    world.populate(rng.randint(1, 8))
    for process in list(world.processes.values()):
        world.at(rng.randint(0, 500 * MS), partial(world.start, process))
    Player(world, rng).schedule_faults(rng.randint(1, 6))
    world.run(START_NS + SPAN + SECOND)
    took_ns = world.until_settled(SETTLE_LIMIT_NS)
    world.run(MERGE_NS)
    since = world.elapsed_ns
    world.run(CALM_NS)
    moved = [event for at, _, event in world.events if at > since and isinstance(event, CellLeft)]
    if moved:
        raise InvariantViolated(f"seed {seed}: {len(moved)} gateways moved without a fault")
    if reason := world.unsettled_reason():
        raise InvariantViolated(f"seed {seed}: not settled any more: {reason}")
    return world, took_ns
