"""Seeded schedules for the shared counter: it is cut, split, promoted, replaced, evicted from, slow, while
gateways die, stop and members move their traffic. What goes wrong and when hangs on the seed alone.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from ....decide.time_units import MILLISECOND, SECOND
from ..clock import START
from .world import TOLD_MS, Plant, World

SPAN = 24 * SECOND  # of a schedule: trouble of up to 8 s, and time to be back, many times any burst
CALM = 8 * SECOND  # of a calm world, before members move and again from when they are to be followed
FOLLOWED = 4 * SECOND  # from a move: demand is told, others let go, two raises are proven, stores fill
# Each may spend a quarter of the burst before it tells, within a fifth of a second; then it is taken off.
BEYOND = 0.1
SERVED = 0.85  # the rest is what was told too late to be refilled
DEAF = 8 * SECOND  # 16 times what a burst lasts
HELD = 6 * SECOND  # until one gateway holds all of a member whose traffic it has
LARGE = 100  # every so many schedules one has a hundred gateways
Fault = Callable[[World, random.Random], None]


@dataclass(frozen=True, slots=True)
class CountedSchedule:
    """A world and the faults in it, by time (ns from the start) and name."""

    plant: Plant
    faults: tuple[tuple[int, str], ...]

    def __str__(self) -> str:
        told = ", ".join(f"{name} at {at / SECOND:.2f} s" for at, name in self.faults)
        p = self.plant
        return f"seed {p.seed}: {p.gateways} gateways, {p.members} members, spread {p.spread}; {told}"


def _away(rng: random.Random) -> int:
    return rng.randint(200 * MILLISECOND, 8 * SECOND)


def _now_ms(world: World) -> int:
    return TOLD_MS + (world.clock.now - START) // MILLISECOND


def _some(world: World, rng: random.Random) -> set[int]:
    return set(rng.sample(range(world.plant.gateways), rng.randint(1, world.plant.gateways)))


def cut(world: World, rng: random.Random) -> None:
    """Some gateways, or all, reach no counter; or their calls arrive and no answer comes back."""
    behind = _some(world, rng)
    world.cuts_asks = rng.random() < 0.5
    world.cut |= behind
    world.clock.after(_away(rng), partial(world.cut.difference_update, behind))


def split(world: World, rng: random.Random) -> None:
    """A lagging replica is promoted beside the old server, and each half of the gateways finds one."""
    for shard in world.shards:
        shard.split(_some(world, rng), _now_ms(world), rng.randint(0, 2000))
        world.clock.after(_away(rng), partial(shard.heal, rng.randint(0, 1)))


def split_and_cross(world: World, rng: random.Random) -> None:
    """While it is split gateways change sides, and members go where they were not."""
    split(world, rng)
    shard = world.shards[0]
    for _ in range(3):

        def change(number: int = rng.randrange(world.plant.gateways), side: int = rng.randint(0, 1)) -> None:
            if len(shard.states) > 1:
                shard.state_by_gateway[number] = side

        world.clock.after(rng.randint(0, 4 * SECOND), change)
    world.clock.after(rng.randint(0, 4 * SECOND), partial(move, world, rng))


def promote(world: World, rng: random.Random) -> None:
    """The last writes are lost; the new server's clock is another."""
    for shard in world.shards:
        shard.promote(_now_ms(world), rng.randint(0, 3000), rng.randint(-3000, 3000))


def replace(world: World, rng: random.Random) -> None:
    for shard in world.shards:
        shard.replace(rng.randint(-3000, 3000))


def cut_and_replace(world: World, rng: random.Random) -> None:
    behind = set(range(world.plant.gateways))
    world.cut |= behind
    wait = _away(rng)
    world.clock.after(wait, partial(replace, world, rng))
    world.clock.after(wait + rng.randint(0, SECOND), partial(world.cut.difference_update, behind))


def evict(world: World, rng: random.Random) -> None:
    """Members' names go, again and again, while the beats stay."""
    for number in range(6):
        for shard in world.shards:
            world.clock.after(number * 700 * MILLISECOND, partial(shard.evict, rng, 0.7, False))


def evict_beats(world: World, rng: random.Random) -> None:
    for shard in world.shards:
        shard.evict(rng, 1.0, True)


def slow(world: World, rng: random.Random) -> None:
    """Answers take up to twice a call's time, and calls lie in queues before they are carried out."""
    world.slow, world.apply_late = rng.choice(((500, 0), (0, 500), (200, 200), (0, 3000)))
    world.slow = world.slow * MILLISECOND
    world.apply_late = world.apply_late * MILLISECOND

    def over() -> None:
        world.slow = 0
        world.apply_late = 0

    world.clock.after(_away(rng), over)


def lossy(world: World, rng: random.Random) -> None:
    world.lost_asks, world.lost_answers = rng.uniform(0.0, 0.3), rng.uniform(0.0, 0.3)


def calm(world: World, rng: random.Random) -> None:
    world.lost_asks = 0.0
    world.lost_answers = 0.0


def errors(world: World, rng: random.Random) -> None:
    """It answers, with errors: to everything, or to what writes."""
    text = rng.choice(
        (
            "LOADING Redis is loading the dataset in memory",
            "CLUSTERDOWN The cluster is down",
            "TRYAGAIN Multiple keys request during rehashing of slot",
        )
    )
    for shard in world.shards:
        if rng.random() < 0.5:
            shard.error = text
        else:
            shard.write_error = rng.choice(
                (
                    "OOM command not allowed when used memory > 'maxmemory'.",
                    "READONLY You can't write against a read only replica.",
                )
            )

    def over() -> None:
        for shard in world.shards:
            shard.error = ""
            shard.write_error = ""

    world.clock.after(_away(rng), over)


def kill(world: World, rng: random.Random) -> None:
    number = rng.randrange(world.plant.gateways)
    world.kill(number)
    world.clock.after(rng.randint(MILLISECOND, 8 * SECOND), partial(world.revive, number))


def kill_many(world: World, rng: random.Random) -> None:
    for number in _some(world, rng):
        world.kill(number)
        world.clock.after(rng.randint(MILLISECOND, 4 * SECOND), partial(world.revive, number))


def pause(world: World, rng: random.Random) -> None:
    world.pause(rng.randrange(world.plant.gateways), _away(rng))


def move(world: World, rng: random.Random) -> None:
    """All of a member's traffic goes to one gateway."""
    for weights in world.weights:
        top = rng.randrange(len(weights))
        weights[:] = [20.0 if i == top else 0.05 for i in range(len(weights))]


FAULTS: dict[str, Fault] = {
    each.__name__: each
    for each in (
        cut,
        split,
        split_and_cross,
        promote,
        replace,
        cut_and_replace,
        evict,
        evict_beats,
        slow,
        lossy,
        calm,
        errors,
        kill,
        kill_many,
        pause,
        move,
    )
}


def make(seed: int) -> CountedSchedule:
    """The schedule of a seed."""
    rng = random.Random(f"counted schedule:{seed}")
    large = seed % LARGE == LARGE - 1
    gateways = 100 if large else rng.randint(1, 8)
    # Ceilings bind: over what is asked, or far below it; some hold a request or two only.
    rate, burst = rng.choice(((10.0, 10.0), (6.0, 12.0), (30.0, 15.0), (4.0, 3.0), (50.0, 60.0)))
    over = rng.choice((0.5, 1.0, 2.0)) if burst > 3.0 else rng.choice((1.0, 2.0))
    plant = Plant(
        seed,
        gateways,
        2 if large else rng.randint(1, 3),
        rng.choice((1, 1, 2)),
        rng.choice((1, 2, 4)),
        rate,
        burst,
        over,
        rng.randint(1, gateways),
        rng.uniform(0.5, 6.0),
    )
    names = rng.choices(list(FAULTS), k=rng.randint(2, 6))
    faults = tuple(sorted((rng.randint(SECOND, SPAN - 8 * SECOND), name) for name in names))
    return CountedSchedule(plant, faults)


def play(schedule: CountedSchedule) -> World:
    """`broken` of what comes back is empty where invariant and account held at every step."""
    world = World(schedule.plant)
    for number, (at, name) in enumerate(schedule.faults):
        rng = random.Random(f"counted fault:{schedule.plant.seed}:{number}")
        world.clock.at(START + at, partial(FAULTS[name], world, rng))
    world.run(SPAN)
    return world


def play_seed(seed: int) -> list[str]:
    return play(make(seed)).broken


def calm_world(seed: int) -> list[str]:
    """No faults: what is due is served, quotas are kept to within what is told late, and a member that moves
    is followed."""
    rng = random.Random(f"calm counted:{seed}")
    rate, burst = rng.choice(((10.0, 10.0), (30.0, 15.0), (50.0, 60.0)))
    gateways = rng.randint(2, 6)
    plant = Plant(seed, gateways, 2, 1, 2, rate, burst, 2.0, rng.randint(2, gateways), rng.choice((0.7, 4.0)))
    world = World(plant)
    if seed % 2:  # the others hear of the members when these move
        for weights in world.weights:
            weights[:] = [float(way == 0) for way in range(len(weights))]
    world.run(CALM // 2)
    filled = {member: (c.sent, c.beyond) for member, c in world.counts.items()}
    world.run(CALM // 2)
    move(world, rng)
    world.run(FOLLOWED)
    before = {member: (c.sent, c.inside) for member, c in world.counts.items()}
    world.run(CALM)
    wrong = list(world.broken)
    for member, count in world.counts.items():
        sent, inside = count.sent - before[member][0], count.inside - before[member][1]
        all_sent, beyond = count.sent - filled[member][0], count.beyond - filled[member][1]
        if beyond > BEYOND * all_sent + 1:
            wrong.append(f"{member:x}: {beyond} of {all_sent} sent on beyond the quota")
        if sent < SERVED * inside - 1:
            wrong.append(f"{member:x}: {sent} sent on of {inside} that one store would have let pass")
    return wrong


def deaf_world(seed: int) -> list[str]:
    """Nobody hears of anybody for many bursts, with more asked everywhere than there is. The parts by last
    wants sum to 1, so what goes beyond a quota is at most the store that each gateway knew of, once."""
    rng = random.Random(f"deaf counted:{seed}")
    gateways = rng.randint(2, 5)
    rate, burst = rng.choice(((30.0, 15.0), (20.0, 10.0)))
    world = World(Plant(seed, gateways, 1, 1, 1, rate, burst, 4.0, gateways, 6.0))
    world.run(HELD)
    count = world.counts[world.members[0]]
    before = count.beyond
    world.cuts_asks = rng.random() < 0.5
    world.cut = set(range(gateways))
    world.run(DEAF)
    beyond, most = count.beyond - before, gateways * burst
    return [f"deaf: {beyond} beyond the quota, {most:g} at most"] * (beyond > most) + world.broken


def tight_world(seed: int) -> list[str]:
    """All of a member lies at one gateway, or nothing of it anywhere, when something goes wrong; its traffic
    goes elsewhere at that moment, also to gateways that never heard of it. What one lets go too late, or
    another takes too soon, is over the limit at once."""
    rng = random.Random(f"tight counted:{seed}")
    gateways = rng.randint(2, 4)
    rate, burst = rng.choice(((30.0, 15.0), (50.0, 60.0)))
    plant = Plant(seed, gateways, 1, 1, 1, rate, burst, rng.choice((0.5, 1.0, 2.0)), gateways, 6.0)
    world = World(plant)
    weights, idle = world.weights[0], rng.random() < 0.3
    top = rng.randrange(gateways)
    here = (top - world.first[0]) % gateways
    weights[:] = [float(way == here) for way in range(gateways)]
    world.asking = not idle
    world.run(HELD)
    # Whose loss it is: who holds all, or one of the others, whose even slice the holder then has to leave.
    victim = rng.choice((top, rng.randrange(gateways)))
    shard, now = world.shards[0], _now_ms(world)
    fault = rng.choice(
        ("cut", "deaf", "split", "others", "promote", "replace", "evict", "restart", "cross", "late")
    )
    if fault in ("cut", "deaf"):
        world.cuts_asks = fault == "cut"
        world.cut = {victim}
    elif fault in ("split", "cross"):
        shard.split({victim}, now, rng.randint(0, 1500))
        if fault == "cross":
            other = rng.choice([g for g in range(gateways) if g != victim])
            world.clock.after(
                rng.randint(0, 5 * SECOND), partial(shard.state_by_gateway.__setitem__, other, 1)
            )
    elif fault == "others":
        world.cut = set(range(gateways)) - {victim}
    elif fault == "promote":
        shard.promote(now, rng.randint(500, 3500))
    elif fault == "replace":
        shard.replace()
    elif fault == "evict":
        for number in range(12):
            world.clock.after(number * 300 * MILLISECOND, partial(shard.evict, rng, 1.0, False))
    elif fault == "late":
        world.apply_late = rng.randint(1, 4) * SECOND
        world.cut = {victim}
        world.cuts_asks = False
    else:
        world.kill(victim)
        world.clock.after(rng.randint(MILLISECOND, SECOND), partial(world.revive, victim))
    if idle:
        world.asking = True
        world.wake()
    if idle or rng.random() < 0.7:
        weights[:] = [1.0 + 9.0 * (way != here) for way in range(gateways)]
    world.run(rng.randint(2, 7) * SECOND)
    world.cut.clear()
    world.apply_late = 0
    if len(shard.states) > 1:
        shard.heal(rng.randint(0, 1))
    world.run(5 * SECOND)
    return [f"tight, {fault}: {text}" for text in world.broken]
