"""Makes seeded schedules for membership: the faults that tests inject into processes, in virtual time.

The seed alone determines the faults and times, so a failure replays. In addition, gateways join at any time,
some end for good, and clocks run fast or slow. Within `SETTLE_LIMIT_NS` of the end of all faults, all running
gateways must hold one view of exactly these gateways, and together use all slots.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass
from functools import partial
from itertools import count

from ....membership.identifiers import MS, SECOND
from ...standins.fault_schedule import (
    CRASH_LOOP_DOWNTIME_S,
    NoFault,
    Cut,
    PauseCycle,
    Fault,
    Pause,
    CrashLoop,
    Restart,
    DegradedNetwork,
    Schedule,
    draw,
)
from .world import LEASE_DURATION_NS, InvariantViolated, Process, World

# Time from the last fault's end for a lease term, an election, and the longest search for lost members.
SETTLE_LIMIT_NS = 8 * SECOND
START_S = 6.0  # time in which a fleet starts and settles before any fault
FAULTS_S, CALM_S = 12.0, 3.0  # time that follows, and the part without faults at its end
LARGE_INTERVAL = 40  # one in so many schedules has 40 gateways or more


@dataclass(frozen=True, slots=True)
class MembershipSchedule:
    """Holds the faults between gateways n0, n1, ..., and the gateways that join or end.

    `joins` has the time in s and the number of each gateway that joins later. `ends` has the same of each
    gateway that ends for good, and whether it announces that.
    """

    seed: int
    seeds: int
    drift: float
    faults: Schedule
    joins: tuple[tuple[float, int], ...] = ()
    ends: tuple[tuple[float, int, bool], ...] = ()
    lease_duration_ns: int = LEASE_DURATION_NS

    def __str__(self) -> str:
        faults = ", ".join(
            f"{f.kind} at {f.start_s:.2f} s for {f.duration_s:.2f} s" for f in self.faults.faults
        )
        return (
            f"seed {self.seed}: {self.faults.gateways} gateways, {self.seeds} seeds, clocks off by "
            f"{self.drift:.1%}, leases of {self.lease_duration_ns / SECOND:.0f} s; {faults}; "
            f"joins {self.joins}, ends {self.ends}"
        )


def make(seed: int, min_gateways: int = 2, max_gateways: int = 12) -> MembershipSchedule:
    """Returns the schedule of a seed."""
    rng = random.Random(f"membered:{seed}")
    is_large = seed % LARGE_INTERVAL == LARGE_INTERVAL - 1
    gateways = rng.randint(40, 60) if is_large else rng.randint(min_gateways, max_gateways)
    seeds = rng.choice([n for n in (1, 2, 3, 3, 3, 5) if n <= gateways])
    faults = draw(seed, gateways, START_S + FAULTS_S, START_S, CALM_S)
    affected = {n for f in faults.faults for n in _affected_gateways(f)}
    # Seeds do not end for good, because a majority of them has to return, as the documentation says.
    free = [n for n in range(seeds, gateways) if n not in affected]
    rng.shuffle(free)
    latest_s = START_S + 9.0
    ends = tuple((rng.uniform(START_S, latest_s), n, rng.random() < 0.5) for n in free[: rng.randint(0, 2)])
    joins = tuple((rng.uniform(START_S, latest_s), gateways + n) for n in range(rng.choice([0, 0, 1, 3])))
    drift = rng.choice([0.0, 0.01])
    duration_ns = rng.choice([LEASE_DURATION_NS, LEASE_DURATION_NS, 3 * LEASE_DURATION_NS])
    return MembershipSchedule(seed, seeds, drift, faults, joins, ends, duration_ns)


def _affected_gateways(fault: Fault) -> tuple[int, ...]:
    match fault:
        case Pause() | PauseCycle() | Restart():
            return fault.gateways
        case CrashLoop():
            return (fault.gateway,)
    return ()


class Player:
    """Injects the faults of a schedule into a world."""

    def __init__(self, world: World, schedule: MembershipSchedule) -> None:
        self._world = world
        self._schedule = schedule

    def schedule_all(self) -> None:
        """Schedules all faults, joins and ends."""
        for fault in self._schedule.faults.faults:
            self._world.at(_ns(fault.start_s), partial(self._inject, fault))
        for at_s, number in self._schedule.joins:
            self._world.at(_ns(at_s), partial(self._join, number))
        for at_s, number, announced in self._schedule.ends:
            self._world.at(_ns(at_s), partial(self._end, number, announced))

    def _join(self, number: int) -> None:
        self._world.start(self._world.add(number))

    def _end(self, number: int, announced: bool) -> None:
        (self._world.leave if announced else self._world.kill)(self._process(number))

    def _process(self, number: int) -> Process:
        return self._world.processes[f"n{number}"]

    def _inject(self, fault: Fault) -> None:
        world, span_ns = self._world, _ns(fault.duration_s)
        match fault:
            case NoFault():
                pass
            case Cut():
                for link in fault.directions:
                    world.severed_links[link] = world.severed_links.get(link, 0) + 1
                world.clock.after(span_ns, partial(world.heal, fault.directions))
            case DegradedNetwork():
                conditions = world.conditions
                conditions.loss = fault.loss
                conditions.duplication = fault.duplication
                conditions.jitter_ns = _ns(fault.delay_s + fault.jitter_s)
                world.clock.after(span_ns, self._end_network_faults)
            case Pause():
                for number in fault.gateways:
                    world.pause(self._process(number), span_ns)
            case PauseCycle():
                self._repeat_pause(fault, world.clock.now + span_ns)
            case Restart():
                for number in fault.gateways:
                    process = self._process(number)
                    (world.kill if fault.kill else world.leave)(process)
                    world.clock.after(span_ns, partial(world.start, process))
            case CrashLoop():
                self._repeat_crash(fault, world.clock.now + span_ns)

    def _end_network_faults(self) -> None:
        conditions = self._world.conditions
        conditions.loss = 0.0
        conditions.duplication = 0.0
        conditions.jitter_ns = 0

    def _repeat_pause(self, fault: PauseCycle, end: int) -> None:
        if self._world.clock.now < end:
            for number in fault.gateways:
                self._world.pause(self._process(number), _ns(fault.paused_share * fault.period_s))
            self._world.clock.after(_ns(fault.period_s), partial(self._repeat_pause, fault, end))

    def _repeat_crash(self, fault: CrashLoop, end: int) -> None:
        world, process = self._world, self._process(fault.gateway)
        if world.clock.now < end:
            world.kill(process)
            world.clock.after(_ns(CRASH_LOOP_DOWNTIME_S), partial(world.start, process))
            wait_ns = _ns(CRASH_LOOP_DOWNTIME_S + fault.interval_s)
            world.clock.after(wait_ns, partial(self._repeat_crash, fault, end))


def _ns(seconds: float) -> int:
    return int(seconds * SECOND)


def play(schedule: MembershipSchedule) -> tuple[World, int]:
    """Plays a schedule; returns the world at its end and the ns that it took to settle.

    Raises `InvariantViolated` if an invariant does not hold.
    """
    world = World(
        schedule.seed,
        schedule.faults.gateways,
        schedule.seeds,
        schedule.drift,
        {"lease_duration_ns": schedule.lease_duration_ns},
    )
    for process in list(world.processes.values()):
        world.at(world.rng.randint(0, 500 * MS), partial(world.start, process))
    Player(world, schedule).schedule_all()
    end = _ns(schedule.faults.duration_s - CALM_S) + _ns(CRASH_LOOP_DOWNTIME_S)
    while world.elapsed_ns < end:
        world.run_until(world.elapsed_ns + 20 * MS)
        world.used_slots()
        world.check_coordinators()
    return world, world.until_settled(SETTLE_LIMIT_NS + schedule.lease_duration_ns - LEASE_DURATION_NS)


def first_violating_seed(seeds: Iterator[int] | None = None, max_seeds: int = 400) -> int | None:
    """Returns the first seed whose schedule violates an invariant, or None if none of `max_seeds` does."""
    for tried, seed in enumerate(seeds or count(1)):
        if tried >= max_seeds:
            return None
        try:
            play(make(seed))
        except InvariantViolated:
            return seed
    return None
