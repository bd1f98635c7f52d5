"""Seeded schedules for the view: the same faults that are played on processes, in virtual time.

What goes wrong and when hangs on the seed alone; a failing one replays by it. Beside the faults, gateways
join at any time, some go for good, and clocks run fast or slow. After all faults have ended, everybody who
runs has to hold one view of just them within `SETTLED`, and together the whole.
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
from .world import KEEP, InvariantViolated, Process, World

SETTLED = 8 * SECOND  # ns from the last fault's end: a term, an election, the longest look for those gone
LEAD = 6.0  # s for a fleet to start and settle before anything goes wrong
SPAN, TAIL = 12.0, 3.0  # s that follow, and the calm end of them
LARGE = 40  # every so many schedules one is of 40 gateways or more


@dataclass(frozen=True, slots=True)
class MemberedSchedule:
    """`faults`: between gateways n0, n1, ...; `joins`: (s, number) of those that come later; `goes`: of those
    that go for good, and whether in good order."""

    seed: int
    seeds: int
    drift: float
    faults: Schedule
    joins: tuple[tuple[float, int], ...] = ()
    goes: tuple[tuple[float, int, bool], ...] = ()
    keep: int = KEEP  # ns that a silent member keeps its part for

    def __str__(self) -> str:
        told = ", ".join(
            f"{f.kind} at {f.start_s:.2f} s for {f.duration_s:.2f} s" for f in self.faults.faults
        )
        return (
            f"seed {self.seed}: {self.faults.gateways} gateways, {self.seeds} seeds, clocks off by "
            f"{self.drift:.1%}, parts kept for {self.keep / SECOND:.0f} s; {told}; "
            f"joins {self.joins}, goes {self.goes}"
        )


def make(seed: int, least: int = 2, most: int = 12) -> MemberedSchedule:
    rng = random.Random(f"membered:{seed}")
    gateways = rng.randint(40, 60) if seed % LARGE == LARGE - 1 else rng.randint(least, most)
    seeds = rng.choice([n for n in (1, 2, 3, 3, 3, 5) if n <= gateways])
    faults = draw(seed, gateways, LEAD + SPAN, LEAD, TAIL)
    busy = {n for f in faults.faults for n in _chosen(f)}
    # Whoever goes for good is no seed: a majority of these has to come back, as the pages say.
    free = [n for n in range(seeds, gateways) if n not in busy]
    rng.shuffle(free)
    goes = tuple((rng.uniform(LEAD, LEAD + 9.0), n, rng.random() < 0.5) for n in free[: rng.randint(0, 2)])
    joins = tuple((rng.uniform(LEAD, LEAD + 9.0), gateways + n) for n in range(rng.choice([0, 0, 1, 3])))
    drift = rng.choice([0.0, 0.01])
    return MemberedSchedule(seed, seeds, drift, faults, joins, goes, rng.choice([KEEP, KEEP, 3 * KEEP]))


def _chosen(fault: Fault) -> tuple[int, ...]:
    match fault:
        case Pause() | PauseCycle() | Restart():
            return fault.gateways
        case CrashLoop():
            return (fault.gateway,)
    return ()


class Player:
    """Faults as a world has them."""

    def __init__(self, world: World, schedule: MemberedSchedule) -> None:
        self._world = world
        self._schedule = schedule

    def arrange(self) -> None:
        """All of it, at its time."""
        for fault in self._schedule.faults.faults:
            self._world.at(_ns(fault.start_s), partial(self._begin, fault))
        for when, number in self._schedule.joins:
            self._world.at(_ns(when), partial(self._join, number))
        for when, number, orderly in self._schedule.goes:
            self._world.at(_ns(when), partial(self._go, number, orderly))

    def _join(self, number: int) -> None:
        self._world.start(self._world.add(number))

    def _go(self, number: int, orderly: bool) -> None:
        (self._world.leave if orderly else self._world.kill)(self._process(number))

    def _process(self, number: int) -> Process:
        return self._world.processes[f"n{number}"]

    def _begin(self, fault: Fault) -> None:
        world, span = self._world, _ns(fault.duration_s)
        match fault:
            case NoFault():
                pass
            case Cut():
                for way in fault.directions:
                    world.severed_links[way] = world.severed_links.get(way, 0) + 1
                world.clock.after(span, partial(world.heal, fault.directions))
            case DegradedNetwork():
                conditions = world.conditions
                conditions.loss = fault.loss
                conditions.duplication = fault.duplication
                conditions.jitter_ns = _ns(fault.delay_s + fault.jitter_s)
                world.clock.after(span, self._calm)
            case Pause():
                for number in fault.gateways:
                    world.pause(self._process(number), span)
            case PauseCycle():
                self._duty(fault, world.clock.now + span)
            case Restart():
                for number in fault.gateways:
                    process = self._process(number)
                    (world.kill if fault.kill else world.leave)(process)
                    world.clock.after(span, partial(world.start, process))
            case CrashLoop():
                self._loop(fault, world.clock.now + span)

    def _calm(self) -> None:
        conditions = self._world.conditions
        conditions.loss = 0.0
        conditions.duplication = 0.0
        conditions.jitter_ns = 0

    def _duty(self, fault: PauseCycle, end: int) -> None:
        if self._world.clock.now < end:
            for number in fault.gateways:
                self._world.pause(self._process(number), _ns(fault.paused_share * fault.period_s))
            self._world.clock.after(_ns(fault.period_s), partial(self._duty, fault, end))

    def _loop(self, fault: CrashLoop, end: int) -> None:
        world, process = self._world, self._process(fault.gateway)
        if world.clock.now < end:
            world.kill(process)
            world.clock.after(_ns(CRASH_LOOP_DOWNTIME_S), partial(world.start, process))
            world.clock.after(_ns(CRASH_LOOP_DOWNTIME_S + fault.interval_s), partial(self._loop, fault, end))


def _ns(seconds: float) -> int:
    return int(seconds * SECOND)


def play(schedule: MemberedSchedule) -> tuple[World, int]:
    """Raises `InvariantViolated`; the world at its end, and the ns that it took to settle."""
    world = World(
        schedule.seed,
        schedule.faults.gateways,
        schedule.seeds,
        schedule.drift,
        {"lease_duration_ns": schedule.keep},
    )
    for process in list(world.processes.values()):
        world.at(world.rng.randint(0, 500 * MS), partial(world.start, process))
    Player(world, schedule).arrange()
    end = _ns(schedule.faults.duration_s - TAIL) + _ns(CRASH_LOOP_DOWNTIME_S)
    while world.elapsed_ns < end:
        world.run_until(world.elapsed_ns + 20 * MS)
        world.rights()
        world.leaders()
    return world, world.until_settled(SETTLED + schedule.keep - KEEP)


def first_broken(seeds: Iterator[int] | None = None, most: int = 400) -> int | None:
    """The first seed whose schedule breaks an invariant."""
    for tried, seed in enumerate(seeds or count(1)):
        if tried >= most:
            return None
        try:
            play(make(seed))
        except InvariantViolated:
            return seed
    return None
