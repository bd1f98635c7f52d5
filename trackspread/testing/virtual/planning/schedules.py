"""Makes seeded schedules of faults for forwarders and planners.

The seed alone determines the faults and times, so a failure replays.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from ....decide.time_units import SECOND
from ....planning.limits import Limit
from ...standins.client_population import draw_weights
from .world import MS, World, WorldSettings

SPAN = 12 * SECOND  # time of a schedule: a term, the wait for earlier leases, faults, and recovery
LARGE_INTERVAL = 50  # one in so many schedules has the full size
Fault = Callable[[World, random.Random], None]


@dataclass(frozen=True, slots=True)
class PlanningSchedule:
    """Holds a world's settings and its faults, by time in ns from the start and name."""

    settings: WorldSettings
    faults: tuple[tuple[int, str], ...]

    def __str__(self) -> str:
        faults = ", ".join(f"{name} at {at / SECOND:.2f} s" for at, name in self.faults)
        s = self.settings
        return (
            f"seed {s.seed}: {s.forwarders} forwarders, {s.planners} planners, {s.tenants} tenants; {faults}"
        )


def _draw_duration_ns(rng: random.Random) -> int:
    return rng.randint(100 * MS, 4 * SECOND)


def kill_planner(world: World, rng: random.Random) -> None:
    """Kills one planner, which starts again."""
    process = rng.choice(world.planners)
    world.kill(process)
    world.clock.after(_draw_duration_ns(rng), partial(world.restart, process))


def kill_all_planners(world: World, rng: random.Random) -> None:
    """Kills all planners, which start again."""
    for process in world.planners:
        world.kill(process)
        world.clock.after(_draw_duration_ns(rng), partial(world.restart, process))


def pause_planner(world: World, rng: random.Random) -> None:
    """Pauses a planner, for up to longer than a term and a lease, as SIGSTOP does."""
    world.pause(rng.choice(world.planners), _draw_duration_ns(rng))


def kill_forwarder(world: World, rng: random.Random) -> None:
    """Kills one forwarder, which starts again."""
    process = rng.choice(world.forwarders)
    world.kill(process)
    world.clock.after(rng.randint(1 * MS, SECOND), partial(world.restart, process))


def pause_forwarder(world: World, rng: random.Random) -> None:
    """Pauses one forwarder."""
    world.pause(rng.choice(world.forwarders), _draw_duration_ns(rng))


def partition(world: World, rng: random.Random) -> None:
    """Partitions all processes into two random sides."""
    names = [p.name for p in (*world.planners, *world.forwarders)]
    side = {name for name in names if rng.random() < 0.5}
    pairs = {frozenset((a, b)) for a in side for b in names if b not in side}
    world.severed_links |= pairs
    world.clock.after(_draw_duration_ns(rng), partial(world.severed_links.difference_update, pairs))


def isolate_planner(world: World, rng: random.Random) -> None:
    """Severs a planner's links to the other planners, while forwarders still reach it."""
    isolated = rng.choice(world.planners).name
    pairs = {frozenset((isolated, p.name)) for p in world.planners if p.name != isolated}
    world.severed_links |= pairs
    world.clock.after(_draw_duration_ns(rng), partial(world.severed_links.difference_update, pairs))


def lossy_network(world: World, rng: random.Random) -> None:
    """Loses and duplicates messages."""
    world.conditions.loss, world.conditions.duplication = rng.uniform(0.05, 0.5), rng.uniform(0.0, 0.4)


def late_messages(world: World, rng: random.Random) -> None:
    """Makes some messages late."""
    world.conditions.late_chance = rng.uniform(0.02, 0.4)


def late_messages_and_isolation(world: World, rng: random.Random) -> None:
    """Makes each message late by up to a heartbeat, and then isolates a forwarder from all planners."""
    world.conditions.late_chance = 1.0
    world.conditions.max_late_ns = 390 * MS
    isolated = rng.choice(world.forwarders).name
    pairs = {frozenset((isolated, p.name)) for p in world.planners}
    wait_ns = rng.randint(SECOND, 2 * SECOND)
    world.clock.after(wait_ns, partial(world.severed_links.update, pairs))
    world.clock.after(wait_ns + 3 * SECOND, partial(world.severed_links.difference_update, pairs))


def pause_after_request(world: World, rng: random.Random) -> None:
    """Pauses some forwarders right after their requests, so that the answers are deferred."""
    for process in rng.sample(world.forwarders, rng.randint(1, len(world.forwarders))):
        process.pause_after_request_ns = rng.randint(SECOND, 4 * SECOND)


def pause_planners_in_turn(world: World, rng: random.Random) -> None:
    """Pauses the planners one after the other, twice, so that the slots change owners and return."""
    order = rng.sample(world.planners, len(world.planners))
    for number, process in enumerate(order * 2):
        span = rng.randint(1400 * MS, 2 * SECOND)
        world.clock.after(number * 1700 * MS, partial(world.pause, process, span))


def move_traffic(world: World, rng: random.Random) -> None:
    """Sends nearly all traffic of each tenant to one forwarder."""
    for weights in world.weights:
        fresh = draw_weights(rng, len(weights))
        top = rng.randrange(len(weights))
        weights[:] = [w * (20.0 if i == top else 0.05) for i, w in enumerate(fresh)]


# Seeds draw from this order, so a change of it changes the schedules.
FAULTS: dict[str, Fault] = {
    each.__name__: each
    for each in (
        kill_planner,
        kill_all_planners,
        pause_planner,
        kill_forwarder,
        pause_forwarder,
        partition,
        isolate_planner,
        lossy_network,
        late_messages,
        late_messages_and_isolation,
        pause_after_request,
        pause_planners_in_turn,
        move_traffic,
    )
}
LIMITS = (Limit(20.0, 40.0), Limit(5.0, 10.0), Limit(60.0, 30.0))


def make(seed: int) -> PlanningSchedule:
    """Returns the schedule of a seed."""
    rng = random.Random(f"planned schedule:{seed}")
    is_large = seed % LARGE_INTERVAL == LARGE_INTERVAL - 1
    forwarders = 40 if is_large else rng.randint(2, 6)
    settings = WorldSettings(
        seed,
        forwarders,
        5 if is_large else rng.choice((3, 3, 5)),
        12 if is_large else rng.randint(1, 3),
        rng.choice(LIMITS),
        forwarders if is_large else rng.randint(1, forwarders),
        rng.uniform(0.5, 3.5),
        rng.choice((0.2, 0.5, 0.95)),
    )
    names = rng.choices(list(FAULTS), k=rng.randint(2, 6))
    faults = tuple(sorted((rng.randint(SECOND, SPAN - 3 * SECOND), name) for name in names))
    return PlanningSchedule(settings, faults)


def prepare(schedule: PlanningSchedule, label: str) -> World:
    """Returns a world whose clock will inject the schedule's faults at their times.

    Each fault gets a random generator seeded with the label, the schedule's seed and the fault's index.
    """
    world = World(schedule.settings)
    start = world.clock.now
    for number, (at, name) in enumerate(schedule.faults):
        rng = random.Random(f"{label}:{schedule.settings.seed}:{number}")
        world.clock.at(start + at, partial(FAULTS[name], world, rng))
    return world


def play(schedule: PlanningSchedule) -> World:
    """Plays a schedule and returns the world, whose `violations` are empty if all conditions held."""
    world = prepare(schedule, "planned fault")
    world.run(SPAN)
    return world
