"""Makes seeded schedules for the distribution of configuration, and worlds for its hard cases.

The seed alone determines the faults and times, so a failure replays. Changes are made all the time. After the
end of all faults, all running processes must have the same configuration, with all changes that were reported
as committed. Names of the worlds' functions stay, because kept digests of worlds are found by them.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from ....distribution.replica import Replica
from ....decide.time_units import MILLISECOND, SECOND
from ....distribution.messages import BeginHistory
from .invariants import IN_FORCE_NS, InvariantViolated
from .world import Process, World, version_in_use

SPAN = 30 * SECOND  # time in which faults occur
# Largest number of datagrams of a replica per second, of which 150 may have entries; all gateways poll then.
MAX_SENT_PER_S = 300


def schedule_changes(world: World, span_ns: int, interval_ns: int) -> None:
    """Schedules changes at random intervals with the mean `interval_ns`."""

    def put() -> None:
        value = world.rng.choice([None, b"v" * world.rng.randint(0, 600)])
        world.put(world.rng.choice(world.services), f"key-{world.rng.randint(0, 9)}", value)

    at = 0
    while at < span_ns:
        at += world.rng.randint(1, 2 * interval_ns)
        world.after(at, put)


def complete_replicas(world: World) -> list[Process]:
    """Returns the replicas that count toward a majority."""
    return [p for p in world.replicas if isinstance(p.core, Replica) and p.core.is_complete]


def crash(world: World, process: Process, downtime_ns: int) -> None:
    """Kills a process, which starts again, unless too few complete replicas for a majority would remain."""
    if process.number >= 0:
        remaining = [p for p in complete_replicas(world) if p is not process]
        if len(remaining) <= len(world.replicas) // 2:
            return
    world.kill(process)
    world.after(downtime_ns, partial(_start_again, world, process))


def _start_again(world: World, process: Process) -> None:
    if process.core is None:
        world.start(process)


def cut_region(world: World, region: int, both: bool = True) -> list[tuple[str, str]]:
    """Cuts a region off from all others; messages from it still arrive unless `both`."""
    inside = [p.name for p in world.processes.values() if p.region == region]
    others = [p.name for p in world.processes.values() if p.region != region]
    return world.partition(others, inside, both)


def inject_fault(world: World) -> None:
    """Injects a random fault, which ends by itself."""
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
            world.pause(some, span)
        case 3:
            world.pause(replica, span)
        case 4:
            world.after(span, partial(world.heal, cut_region(world, some.region, rng.random() < 0.6)))
        case 5:
            names = list(world.processes)
            links = world.partition([replica.name], rng.sample(names, len(names) // 2), rng.random() < 0.5)
            world.after(span, partial(world.heal, links))
        case 6 | 7:
            world.appoint(replica.number, former=rng.random() < 0.5)
        case 8:
            for process in rng.sample(world.gateways, len(world.gateways) // 2):
                crash(world, process, rng.randint(0, SECOND))


def drawn(seed: int) -> World:
    """Plays a random schedule of all kinds of faults."""
    world = World(
        seed,
        replicas=[3, 5, 5, 4, 1][seed % 5],
        gateways=6 + seed % 5,
        regions=1 + seed % 3,
        recent_entries=[8, 30, 200][seed % 3],
    )
    world.start_all()
    conditions, rng = world.conditions, world.rng
    conditions.loss, conditions.duplication = rng.choice([0.0, 0.02, 0.2]), rng.choice([0.0, 0.1])
    conditions.jitter_ns = rng.choice([0, 0, 300 * MILLISECOND])
    schedule_changes(world, SPAN, rng.choice([30 * MILLISECOND, 300 * MILLISECOND, 2 * SECOND]))
    for _ in range(rng.randint(3, 14)):
        world.after(rng.randint(0, SPAN), partial(inject_fault, world))
    world.run(SPAN + 7 * SECOND)
    settle(world)
    return world


def settle(world: World) -> None:
    """Ends all faults with a complete replica as leader; all processes must have the same configuration."""
    for process in world.processes.values():
        process.paused_until = min(process.paused_until, world.clock.now)
    world.appoint(world.rng.choice(complete_replicas(world) or world.replicas).number)
    world.end_faults()


def leader_dies(seed: int) -> World:
    """Kills the leader while it distributes a burst of changes; another one is elected."""
    world = World(seed, replicas=5, gateways=10)
    world.start_all()
    schedule_changes(world, SECOND, 10 * MILLISECOND)
    world.run(world.rng.randint(1, SECOND))
    crash(world, world.replicas[0], 4 * SECOND)
    world.run(world.rng.randint(500 * MILLISECOND, 2 * SECOND))
    world.appoint(1 + seed % 4)
    world.run(6 * SECOND)
    schedule_changes(world, SECOND, 100 * MILLISECOND)
    world.end_faults()
    if len(world.done) < 5:
        raise InvariantViolated(f"only {len(world.done)} changes were committed, must be 5 or more")
    return world


def two_lead(seed: int) -> World:
    """Lets two leaders accept changes at the same time.

    The links between them are severed or not, or only those from the newer leader to the older one are.
    """
    world = World(seed, replicas=5, gateways=10)
    world.start_all()
    if seed % 2:
        links = world.partition(["r2"], ["r0"], both=False)
    else:
        links = world.partition(["r0"], [f"r{n}" for n in (1, 2, 3)[: seed % 4]])
    schedule_changes(world, 8 * SECOND, 40 * MILLISECOND)
    world.run(SECOND)
    world.appoint(2, former=False)
    world.run(3 * SECOND)
    world.heal(links)
    world.run(4 * SECOND)
    world.appoint(2)
    world.end_faults()
    return world


def dies_while_adopted(seed: int) -> World:
    """Kills the replica whose log a new leader adopts before that is done.

    The changes that both had must stay committed.
    """
    world = World(seed, replicas=3, gateways=4)
    world.start_all()
    links = world.partition(["r2"], ["r0", "r1"])
    schedule_changes(world, 2 * SECOND, 10 * MILLISECOND)
    world.run(SECOND)
    world.appoint(1, former=False)
    world.run(world.rng.randint(60 * MILLISECOND, 350 * MILLISECOND))
    crash(world, world.replicas[0], SECOND)
    world.heal(links)
    world.appoint(2)
    world.end_faults()
    return world


def minority_goes_on(seed: int) -> World:
    """Separates the leader and one follower from the other replicas, but not from gateways.

    Another leader is elected meanwhile.
    """
    world = World(seed, replicas=5, gateways=20, regions=1 + seed % 2)
    world.start_all()
    links = world.partition(["r0", "r1"], ["r2", "r3", "r4"])
    world.appoint(2, former=False)
    schedule_changes(world, 15 * SECOND, 100 * MILLISECOND)
    world.run(20 * SECOND)
    if reason := world.checker.overdue_reason(world.now, [p.name for p in world.gateways]):
        raise InvariantViolated(f"while a minority is separated, {reason}")
    world.heal(links)
    world.end_faults()
    return world


def forgotten_promise(seed: int) -> World:
    """Kills replicas right after they promise or accept; they restart without state while leaders change."""
    world = World(seed, replicas=[3, 5][seed % 2], gateways=4)
    world.start_all()
    world.conditions.jitter_ns = 200 * MILLISECOND
    schedule_changes(world, 20 * SECOND, 50 * MILLISECOND)
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
    """Pauses a leader; another one is elected, and the first resumes with its old lease."""
    world = World(seed, replicas=3 + 2 * (seed % 2), gateways=6)
    world.start_all()
    schedule_changes(world, 12 * SECOND, 30 * MILLISECOND)
    world.run(SECOND)
    world.pause(world.replicas[0], 4 * SECOND)
    world.run(world.rng.randint(0, SECOND))
    world.appoint(1, former=False)
    world.run(8 * SECOND)
    world.appoint(1)
    world.end_faults()
    return world


def region_cut(seed: int) -> World:
    """Cuts a region off for minutes.

    Its gateways keep their configuration, and after the heal there is no burst of messages.
    """
    world = World(seed, replicas=5, gateways=60, regions=2, pieces_per_s=200, recent_entries=20)
    world.start_all()
    schedule_changes(world, 5 * SECOND, 50 * MILLISECOND)
    world.run(7 * SECOND)
    links = cut_region(world, 1)
    inside = [p for p in world.gateways if p.region == 1]
    before = {p.name: version_in_use(p) for p in inside}
    schedule_changes(world, 100 * SECOND, SECOND)
    world.run(130 * SECOND)
    if any(version_in_use(p) != before[p.name] for p in inside):
        raise InvariantViolated("a gateway that is cut off did not keep its configuration")
    world.heal(links)
    sent = dict(world.sent)
    world.run(IN_FORCE_NS)
    if reason := world.checker.overdue_reason(world.now, [p.name for p in world.gateways]):
        raise InvariantViolated(f"after the heal, {reason}")
    most = max(world.sent[p.name] - sent[p.name] for p in inside)
    if most > 60:
        raise InvariantViolated(f"a gateway sent {most} datagrams in the 9 s after the heal")
    world.end_faults()
    return world


def half_restarted(seed: int) -> World:
    """Restarts half of the gateways at once; the replicas send few snapshot pieces per second."""
    world = World(
        seed,
        replicas=5,
        gateways=80,
        regions=2,
        pieces_per_s=150,
        services=40,
        services_per_gateway=10,
        recent_entries=500,
    )
    world.start_all()
    for number in range(400):
        world.put(world.services[number % 40], f"key-{number // 40}", b"v" * 300)
        world.run(5 * MILLISECOND)
    world.run(5 * SECOND)
    restarted = world.rng.sample(world.gateways, 40)
    for process in restarted:
        crash(world, process, 500 * MILLISECOND)
    others = [process.name for process in world.gateways if process not in restarted]
    schedule_changes(world, 5 * SECOND, 500 * MILLISECOND)
    for _ in range(14):
        sent = dict(world.sent)
        world.run(SECOND)
        most = max(world.sent[replica.name] - sent[replica.name] for replica in world.replicas)
        if most > MAX_SENT_PER_S:
            raise InvariantViolated(f"a replica sent {most} datagrams in a second")
        if reason := world.checker.overdue_reason(world.now, others):
            raise InvariantViolated(f"while half of the gateways restart, {reason}")
    if reason := world.checker.overdue_reason(world.now, [p.name for p in world.gateways]):
        raise InvariantViolated(f"after the restart, {reason}")
    world.end_faults()
    return world


def burst(seed: int) -> World:
    """Makes 100 changes at once while a tenth of the messages is lost.

    All gateways must use them within 9 s.
    """
    world = World(seed, replicas=5, gateways=40, regions=2)
    world.start_all()
    world.conditions.loss = 0.1
    for number in range(100):
        world.put(world.rng.choice(world.services), f"key-{number}", b"v" * 100)
    world.run(IN_FORCE_NS)
    if len(world.done) < 100 or any(version_in_use(p) < world.checker.newest for p in world.gateways):
        raise InvariantViolated(
            f"{len(world.done)} of 100 changes are committed within 9 s, or some gateways do not use them"
        )
    world.end_faults()
    return world


def one_way(seed: int) -> World:
    """Severs the links to or from two replicas, or only those from other replicas to them.

    The others must continue.
    """
    world = World(seed, replicas=5, gateways=20)
    world.start_all()
    schedule_changes(world, 20 * SECOND, 100 * MILLISECOND)
    some = [f"r{n}" for n in (1, 2)]
    names = [p.name for p in (world.replicas if seed % 3 == 2 else world.processes.values())]
    names = [name for name in names if name not in some]
    links = (
        world.partition(some, names, both=False)
        if seed % 3 == 1
        else world.partition(names, some, both=False)
    )
    world.run(20 * SECOND)
    if reason := world.checker.overdue_reason(world.now, [p.name for p in world.gateways]):
        raise InvariantViolated(f"while links of two replicas are severed one way, {reason}")
    world.heal(links)
    world.end_faults()
    return world


def majority_lost(seed: int) -> World:
    """Restarts a majority of the replicas without state.

    Nothing is committed and nothing is forgotten until an operator begins a new history.
    """
    world = World(seed, replicas=5, gateways=10)
    world.start_all()
    schedule_changes(world, 3 * SECOND, 50 * MILLISECOND)
    world.run(5 * SECOND)
    before, survivors = (
        {p.name: version_in_use(p) for p in world.gateways},
        world.rng.sample(world.replicas, 2),
    )
    for process in world.replicas:
        if process not in survivors:
            world.kill(process)
            world.start(process)
    world.appoint(world.rng.randrange(5))
    schedule_changes(world, 3 * SECOND, 50 * MILLISECOND)
    world.run(15 * SECOND)
    if world.leader() is not None or any(version_in_use(p) != before[p.name] for p in world.gateways):
        raise InvariantViolated("there is a leader or a new version without a majority")
    leader = next(p for p in world.replicas if p.epoch is not None)
    world.command(leader.number, BeginHistory(0))
    world.run(10 * SECOND)
    if world.checker.newest.history <= before["g0"].history:
        raise InvariantViolated(f"no new history has begun after {before['g0'].history}")
    schedule_changes(world, 3 * SECOND, 50 * MILLISECOND)
    world.end_faults()
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
