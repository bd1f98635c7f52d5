"""Seeded schedules for forwarders and planners.

What goes wrong and when hangs on the seed alone; a failing one replays by it.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from ....decide.time_units import SECOND
from ....planning.limits import Limit
from ...standins.client_population import draw_weights
from .world import MS, Plan, World

SPAN = 12 * SECOND  # of a schedule: a term, the learning after it, faults, and time to be back
LARGE = 50  # every so many schedules one is of the full size
Fault = Callable[[World, random.Random], None]


@dataclass(frozen=True, slots=True)
class PlannedSchedule:
    """A world and the faults in it, by time (ns from the start) and name."""

    plan: Plan
    faults: tuple[tuple[int, str], ...]

    def __str__(self) -> str:
        told = ", ".join(f"{name} at {at / SECOND:.2f} s" for at, name in self.faults)
        p = self.plan
        return f"seed {p.seed}: {p.forwarders} forwarders, {p.planners} planners, {p.members} members; {told}"


def _away(rng: random.Random) -> int:
    return rng.randint(100 * MS, 4 * SECOND)


def kill_planner(world: World, rng: random.Random) -> None:
    process = rng.choice(world.planners)
    world.kill(process)
    world.clock.after(_away(rng), partial(world.revive, process))


def kill_all_planners(world: World, rng: random.Random) -> None:
    for process in world.planners:
        world.kill(process)
        world.clock.after(_away(rng), partial(world.revive, process))


def pause_planner(world: World, rng: random.Random) -> None:
    """SIGSTOP for up to longer than term and lease; it wakes in the middle of what it did."""
    world.pause(rng.choice(world.planners), _away(rng))


def kill_forwarder(world: World, rng: random.Random) -> None:
    process = rng.choice(world.forwarders)
    world.kill(process)
    world.clock.after(rng.randint(1 * MS, SECOND), partial(world.revive, process))


def pause_forwarder(world: World, rng: random.Random) -> None:
    world.pause(rng.choice(world.forwarders), _away(rng))


def part(world: World, rng: random.Random) -> None:
    """Any split of all processes into two sides."""
    names = [p.name for p in (*world.planners, *world.forwarders)]
    side = {name for name in names if rng.random() < 0.5}
    pairs = {frozenset((a, b)) for a in side for b in names if b not in side}
    world.apart |= pairs
    world.clock.after(_away(rng), partial(world.apart.difference_update, pairs))


def part_planners(world: World, rng: random.Random) -> None:
    """Planners among themselves alone: forwarders still reach one that no majority follows."""
    lonely = rng.choice(world.planners).name
    pairs = {frozenset((lonely, p.name)) for p in world.planners if p.name != lonely}
    world.apart |= pairs
    world.clock.after(_away(rng), partial(world.apart.difference_update, pairs))


def lossy(world: World, rng: random.Random) -> None:
    world.conditions.loss, world.conditions.twice = rng.uniform(0.05, 0.5), rng.uniform(0.0, 0.4)


def late(world: World, rng: random.Random) -> None:
    world.conditions.late = rng.uniform(0.02, 0.4)


def late_and_part(world: World, rng: random.Random) -> None:
    """Every word is late by up to a beat, and then some forwarder hears nobody any more."""
    world.conditions.late = 1.0
    world.conditions.later = 390 * MS
    lonely = rng.choice(world.forwarders).name
    pairs = {frozenset((lonely, p.name)) for p in world.planners}
    wait = rng.randint(SECOND, 2 * SECOND)
    world.clock.after(wait, partial(world.apart.update, pairs))
    world.clock.after(wait + 3 * SECOND, partial(world.apart.difference_update, pairs))


def pause_after_ask(world: World, rng: random.Random) -> None:
    """Some forwarders stop just as they have asked: the answers wait until they wake."""
    for process in rng.sample(world.forwarders, rng.randint(1, len(world.forwarders))):
        process.pauses_for = rng.randint(SECOND, 4 * SECOND)


def turns(world: World, rng: random.Random) -> None:
    """Planners stop one after the other, again and again: slots go from hand to hand and back."""
    order = rng.sample(world.planners, len(world.planners))
    for number, process in enumerate(order * 2):
        span = rng.randint(1400 * MS, 2 * SECOND)
        world.clock.after(number * 1700 * MS, partial(world.pause, process, span))


def move(world: World, rng: random.Random) -> None:
    """All of a member's traffic goes to one forwarder."""
    for weights in world.weights:
        fresh = draw_weights(rng, len(weights))
        top = rng.randrange(len(weights))
        weights[:] = [w * (20.0 if i == top else 0.05) for i, w in enumerate(fresh)]


FAULTS: dict[str, Fault] = {
    each.__name__: each
    for each in (
        kill_planner,
        kill_all_planners,
        pause_planner,
        kill_forwarder,
        pause_forwarder,
        part,
        part_planners,
        lossy,
        late,
        late_and_part,
        pause_after_ask,
        turns,
        move,
    )
}
LIMITS = (Limit(20.0, 40.0), Limit(5.0, 10.0), Limit(60.0, 30.0))


def make(seed: int) -> PlannedSchedule:
    """The schedule of a seed."""
    rng = random.Random(f"planned schedule:{seed}")
    large = seed % LARGE == LARGE - 1
    forwarders = 40 if large else rng.randint(2, 6)
    plan = Plan(
        seed,
        forwarders,
        5 if large else rng.choice((3, 3, 5)),
        12 if large else rng.randint(1, 3),
        rng.choice(LIMITS),
        forwarders if large else rng.randint(1, forwarders),
        rng.uniform(0.5, 3.5),
        rng.choice((0.2, 0.5, 0.95)),
    )
    names = rng.choices(list(FAULTS), k=rng.randint(2, 6))
    faults = tuple(sorted((rng.randint(SECOND, SPAN - 3 * SECOND), name) for name in names))
    return PlannedSchedule(plan, faults)


def begun(schedule: PlannedSchedule, label: str) -> World:
    """A world with the schedule's faults on its clock; each draws by the label, the seed and its place."""
    world = World(schedule.plan)
    start = world.clock.now
    for number, (at, name) in enumerate(schedule.faults):
        rng = random.Random(f"{label}:{schedule.plan.seed}:{number}")
        world.clock.at(start + at, partial(FAULTS[name], world, rng))
    return world


def play(schedule: PlannedSchedule) -> World:
    """`broken` of what comes back is empty where the invariant held at every step."""
    world = begun(schedule, "planned fault")
    world.run(SPAN)
    return world
