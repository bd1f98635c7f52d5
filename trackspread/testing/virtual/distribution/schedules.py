"""Seeded schedules for handing configuration down, and worlds for its hard cases.

What goes wrong and when hangs on the seed alone; a failing one replays by it. Changes come all along; after
the faults have ended, all that run have to hold the same, and all that was told to be committed.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from ....distribution.replica import Replica
from ....decide.time_units import MILLISECOND, SECOND
from ....distribution.messages import BeginHistory
from .invariants import IN_FORCE, InvariantViolated
from .world import Process, World, held

SPAN = 30 * SECOND  # ns of trouble
SENT_MOST = 300  # datagrams of a replica in a second where 150 may hold entries, and all poll


def changes(world: World, span: int, gap: int) -> None:
    """One about every `gap` ns from now on."""

    def one() -> None:
        value = world.rng.choice([None, b"v" * world.rng.randint(0, 600)])
        world.put(world.rng.choice(world.services), f"key-{world.rng.randint(0, 9)}", value)

    at = 0
    while at < span:
        at += world.rng.randint(1, 2 * gap)
        world.after(at, one)


def whole(world: World) -> list[Process]:
    """Replicas that count for a majority."""
    return [p for p in world.replicas if isinstance(p.core, Replica) and p.core.is_complete]


def crash(world: World, process: Process, away: int) -> None:
    """Dies and starts anew after `away`; never a replica without which no majority would be whole."""
    if process.number >= 0:
        left = [p for p in whole(world) if p is not process]
        if len(left) <= len(world.replicas) // 2:
            return
    world.kill(process)
    world.after(away, partial(_again, world, process))


def _again(world: World, process: Process) -> None:
    if process.core is None:
        world.start(process)


def cut_region(world: World, region: int, both: bool = True) -> list[tuple[str, str]]:
    """Off from all others; `both` False: what comes from it still gets through."""
    inside = [p.name for p in world.processes.values() if p.region == region]
    others = [p.name for p in world.processes.values() if p.region != region]
    return world.part(others, inside, both)


def trouble(world: World) -> None:
    """One fault, drawn, which ends by itself."""
    rng = world.rng
    span = rng.randint(100 * MILLISECOND, 6 * SECOND)
    some = rng.choice(list(world.processes.values()))
    replica = rng.choice(world.replicas)
    match rng.randrange(9):
        case 0:
            crash(world, some, span)
        case 1:
            crash(world, replica, span)
        case 2:
            world.halt(some, span)
        case 3:
            world.halt(replica, span)
        case 4:
            world.after(span, partial(world.heal, cut_region(world, some.region, rng.random() < 0.6)))
        case 5:
            names = list(world.processes)
            ways = world.part([replica.name], rng.sample(names, len(names) // 2), rng.random() < 0.5)
            world.after(span, partial(world.heal, ways))
        case 6 | 7:
            world.appoint(replica.number, former=rng.random() < 0.5)
        case 8:
            for process in rng.sample(world.gateways, len(world.gateways) // 2):
                crash(world, process, rng.randint(0, SECOND))


def drawn(seed: int) -> World:
    """A schedule of all kinds of trouble."""
    world = World(
        seed,
        replicas=[3, 5, 5, 4, 1][seed % 5],
        gateways=6 + seed % 5,
        regions=1 + seed % 3,
        recent=[8, 30, 200][seed % 3],
    )
    world.begin()
    conditions, rng = world.conditions, world.rng
    conditions.loss, conditions.duplication = rng.choice([0.0, 0.02, 0.2]), rng.choice([0.0, 0.1])
    conditions.jitter_ns = rng.choice([0, 0, 300 * MILLISECOND])
    changes(world, SPAN, rng.choice([30 * MILLISECOND, 300 * MILLISECOND, 2 * SECOND]))
    for _ in range(rng.randint(3, 14)):
        world.after(rng.randint(0, SPAN), partial(trouble, world))
    world.run(SPAN + 7 * SECOND)
    settle(world)
    return world


def settle(world: World) -> None:
    """All faults end; one of the whole replicas leads; all hold the same."""
    for process in world.processes.values():
        process.halted_until = min(process.halted_until, world.clock.now)
    world.appoint(world.rng.choice(whole(world) or world.replicas).number)
    world.calm()


def leader_dies(seed: int) -> World:
    """In the middle of handing a burst down, and another is elected."""
    world = World(seed, replicas=5, gateways=10)
    world.begin()
    changes(world, SECOND, 10 * MILLISECOND)
    world.run(world.rng.randint(1, SECOND))
    crash(world, world.replicas[0], 4 * SECOND)
    world.run(world.rng.randint(500 * MILLISECOND, 2 * SECOND))
    world.appoint(1 + seed % 4)
    world.run(6 * SECOND)
    changes(world, SECOND, 100 * MILLISECOND)
    world.calm()
    if len(world.done) < 5:
        raise InvariantViolated("hardly a change was committed")
    return world


def two_lead(seed: int) -> World:
    """Both believe it, with the network cut between them or not, or the newer one not heard by the older;
    both take changes."""
    world = World(seed, replicas=5, gateways=10)
    world.begin()
    if seed % 2:
        ways = world.part(["r2"], ["r0"], both=False)
    else:
        ways = world.part(["r0"], [f"r{n}" for n in (1, 2, 3)[: seed % 4]])
    changes(world, 8 * SECOND, 40 * MILLISECOND)
    world.run(SECOND)
    world.appoint(2, former=False)
    world.run(3 * SECOND)
    world.heal(ways)
    world.run(4 * SECOND)
    world.appoint(2)
    world.calm()
    return world


def dies_while_adopted(seed: int) -> World:
    """The one whose log a new leader takes over dies before that is done; what both had stays committed."""
    world = World(seed, replicas=3, gateways=4)
    world.begin()
    ways = world.part(["r2"], ["r0", "r1"])
    changes(world, 2 * SECOND, 10 * MILLISECOND)
    world.run(SECOND)
    world.appoint(1, former=False)
    world.run(world.rng.randint(60 * MILLISECOND, 350 * MILLISECOND))
    crash(world, world.replicas[0], SECOND)
    world.heal(ways)
    world.appoint(2)
    world.calm()
    return world


def minority_goes_on(seed: int) -> World:
    """A leader and one follower that hear nobody else but gateways, while another is elected."""
    world = World(seed, replicas=5, gateways=20, regions=1 + seed % 2)
    world.begin()
    ways = world.part(["r0", "r1"], ["r2", "r3", "r4"])
    world.appoint(2, former=False)
    changes(world, 15 * SECOND, 100 * MILLISECOND)
    world.run(20 * SECOND)
    if amiss := world.judged.missing(world.now, [p.name for p in world.gateways]):
        raise InvariantViolated(f"while a minority goes on by itself, {amiss}")
    world.heal(ways)
    world.calm()
    return world


def forgotten_promise(seed: int) -> World:
    """Replicas that promise, or accept, die at once and come back with nothing, while leaders change."""
    world = World(seed, replicas=[3, 5][seed % 2], gateways=4)
    world.begin()
    world.conditions.jitter_ns = 200 * MILLISECOND
    changes(world, 20 * SECOND, 50 * MILLISECOND)
    for turn in range(12):
        number = world.rng.randrange(len(world.replicas))
        world.appoint(number, former=False)
        world.run(world.rng.randint(1 * MILLISECOND, 400 * MILLISECOND))
        crash(world, world.rng.choice(world.replicas), world.rng.randint(0, 100 * MILLISECOND))
        if turn % 3 == 2:
            world.run(2 * SECOND)
    settle(world)
    return world


def wakes_late(seed: int) -> World:
    """A leader stands still, another is elected, and the first wakes with its old lease and goes on."""
    world = World(seed, replicas=3 + 2 * (seed % 2), gateways=6)
    world.begin()
    changes(world, 12 * SECOND, 30 * MILLISECOND)
    world.run(SECOND)
    world.halt(world.replicas[0], 4 * SECOND)
    world.run(world.rng.randint(0, SECOND))
    world.appoint(1, former=False)
    world.run(8 * SECOND)
    world.appoint(1)
    world.calm()
    return world


def region_cut(seed: int) -> World:
    """For minutes; it goes on by what it has, and its heal makes no storm."""
    world = World(seed, replicas=5, gateways=60, regions=2, pieces=200, recent=20)
    world.begin()
    changes(world, 5 * SECOND, 50 * MILLISECOND)
    world.run(7 * SECOND)
    ways = cut_region(world, 1)
    inside = [p for p in world.gateways if p.region == 1]
    before = {p.name: held(p) for p in inside}
    changes(world, 100 * SECOND, SECOND)
    world.run(130 * SECOND)
    if any(held(p) != before[p.name] for p in inside):
        raise InvariantViolated("a gateway that is cut off does not go on by what it had")
    world.heal(ways)
    sent = dict(world.sent)
    world.run(IN_FORCE)
    if amiss := world.judged.missing(world.now, [p.name for p in world.gateways]):
        raise InvariantViolated(f"after the heal {amiss}")
    most = max(world.sent[p.name] - sent[p.name] for p in inside)
    if most > 60:
        raise InvariantViolated(f"a gateway sent {most} datagrams in the 9 s after the heal")
    world.calm()
    return world


def half_restarted(seed: int) -> World:
    """Half of the gateways at once, and replicas that answer few pieces a second."""
    world = World(seed, replicas=5, gateways=80, regions=2, pieces=150, services=40, each=10, recent=500)
    world.begin()
    for number in range(400):
        world.put(world.services[number % 40], f"key-{number // 40}", b"v" * 300)
        world.run(5 * MILLISECOND)
    world.run(5 * SECOND)
    again = world.rng.sample(world.gateways, 40)
    for process in again:
        crash(world, process, 500 * MILLISECOND)
    others = [process.name for process in world.gateways if process not in again]
    changes(world, 5 * SECOND, 500 * MILLISECOND)
    for _ in range(14):
        sent = dict(world.sent)
        world.run(SECOND)
        most = max(world.sent[replica.name] - sent[replica.name] for replica in world.replicas)
        if most > SENT_MOST:
            raise InvariantViolated(f"a replica sent {most} datagrams in a second")
        if amiss := world.judged.missing(world.now, others):
            raise InvariantViolated(f"while half restart {amiss}")
    if amiss := world.judged.missing(world.now, [p.name for p in world.gateways]):
        raise InvariantViolated(f"after the restart {amiss}")
    world.calm()
    return world


def burst(seed: int) -> World:
    """100 changes at once on a network that loses a tenth: in force everywhere within 9 s."""
    world = World(seed, replicas=5, gateways=40, regions=2)
    world.begin()
    world.conditions.loss = 0.1
    for number in range(100):
        world.put(world.rng.choice(world.services), f"key-{number}", b"v" * 100)
    world.run(IN_FORCE)
    if len(world.done) < 100 or any(held(p) < world.judged.newest for p in world.gateways):
        raise InvariantViolated(
            f"{len(world.done)} of 100 are committed within 9 s, or not in force everywhere"
        )
    world.calm()
    return world


def one_way(seed: int) -> World:
    """Some replicas are heard by nobody, or hear nobody, or hear gateways alone, and the others go on."""
    world = World(seed, replicas=5, gateways=20)
    world.begin()
    changes(world, 20 * SECOND, 100 * MILLISECOND)
    some = [f"r{n}" for n in (1, 2)]
    names = [p.name for p in (world.replicas if seed % 3 == 2 else world.processes.values())]
    names = [name for name in names if name not in some]
    ways = world.part(some, names, both=False) if seed % 3 == 1 else world.part(names, some, both=False)
    world.run(20 * SECOND)
    if amiss := world.judged.missing(world.now, [p.name for p in world.gateways]):
        raise InvariantViolated(f"while some replicas hear one way only, {amiss}")
    world.heal(ways)
    world.calm()
    return world


def majority_lost(seed: int) -> World:
    """At once: nothing is committed and nothing forgotten, until an operator begins a new history."""
    world = World(seed, replicas=5, gateways=10)
    world.begin()
    changes(world, 3 * SECOND, 50 * MILLISECOND)
    world.run(5 * SECOND)
    before, survivors = {p.name: held(p) for p in world.gateways}, world.rng.sample(world.replicas, 2)
    for process in world.replicas:
        if process not in survivors:
            world.kill(process)
            world.start(process)
    world.appoint(world.rng.randrange(5))
    changes(world, 3 * SECOND, 50 * MILLISECOND)
    world.run(15 * SECOND)
    if world.leader() is not None or any(held(p) != before[p.name] for p in world.gateways):
        raise InvariantViolated("something was handed down without a majority")
    leads = next(p for p in world.replicas if p.epoch is not None)
    world.command(leads.number, BeginHistory(0))
    world.run(10 * SECOND)
    if world.judged.newest.history <= before["g0"].history:
        raise InvariantViolated("no new history has begun")
    changes(world, 3 * SECOND, 50 * MILLISECOND)
    world.calm()
    return world


SHORT: tuple[Callable[[int], World], ...] = (
    drawn,
    leader_dies,
    two_lead,
    dies_while_adopted,
    minority_goes_on,
    forgotten_promise,
    wakes_late,
    burst,
    one_way,
    majority_lost,
)
LONG: tuple[Callable[[int], World], ...] = (region_cut, half_restarted)
