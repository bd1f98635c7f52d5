"""Makes seeded schedules of faults for the shared counter; the seed alone determines the faults and times.

The counter is cut off, split, promoted, replaced, slow, or evicts keys, while gateways are killed or paused
and tenants move their traffic.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from ....decide.time_units import MILLISECOND, SECOND
from ..clock import START
from .world import COUNTER_START_MS, World, WorldSettings

SPAN = 24 * SECOND  # time of a schedule: faults of up to 8 s and recovery, many times as long as any burst
CALM_NS = 8 * SECOND  # time without faults before tenants move, and again from when the leases have followed
# Time from a move until the leases have followed it: demand is claimed, other gateways release their shares,
# two raises are proven, and token buckets refill.
FOLLOW_NS = 4 * SECOND
# Largest part of requests forwarded beyond the quota. A gateway may spend a quarter of the burst before it
# reports that, within a fifth of a second; the others' tokens are reduced afterwards.
MAX_BEYOND_PART = 0.1
MIN_SERVED_PART = 0.85  # the rest is use that was reported too late to be refilled
UNREACHABLE_NS = 8 * SECOND  # time without the counter, 16 times as long as a burst lasts
CONCENTRATION_NS = 6 * SECOND  # time until one gateway holds all shares of a tenant whose traffic it has
LARGE_INTERVAL = 100  # one in so many schedules has a hundred gateways
Fault = Callable[[World, random.Random], None]


@dataclass(frozen=True, slots=True)
class CounterSchedule:
    """Holds a world's settings and its faults, by time in ns from the start and name."""

    settings: WorldSettings
    faults: tuple[tuple[int, str], ...]

    def __str__(self) -> str:
        faults = ", ".join(f"{name} at {at / SECOND:.2f} s" for at, name in self.faults)
        s = self.settings
        sizes = f"{s.gateways} gateways, {s.tenants} tenants, {s.gateways_per_tenant} gateways per tenant"
        return f"seed {s.seed}: {sizes}; {faults}"


def _draw_duration_ns(rng: random.Random) -> int:
    return rng.randint(200 * MILLISECOND, 8 * SECOND)


def _counter_clock_ms(world: World) -> int:
    return COUNTER_START_MS + (world.clock.now - START) // MILLISECOND


def _some_gateways(world: World, rng: random.Random) -> set[int]:
    return set(rng.sample(range(world.settings.gateways), rng.randint(1, world.settings.gateways)))


def cut_off_gateways(world: World, rng: random.Random) -> None:
    """Cuts some or all gateways off the counter; their calls are lost, or only the replies are."""
    gateways = _some_gateways(world, rng)
    world.cut_loses_calls = rng.random() < 0.5
    world.cut_off |= gateways
    world.clock.after(_draw_duration_ns(rng), partial(world.cut_off.difference_update, gateways))


def split(world: World, rng: random.Random) -> None:
    """Promotes a lagging replica while the old server still runs; each part of the gateways reaches one."""
    for shard in world.shards:
        shard.split(_some_gateways(world, rng), _counter_clock_ms(world), rng.randint(0, 2000))
        world.clock.after(_draw_duration_ns(rng), partial(shard.heal, rng.randint(0, 1)))


def split_and_cross(world: World, rng: random.Random) -> None:
    """Splits the counter; meanwhile gateways change sides, and tenants move to other gateways."""
    split(world, rng)
    shard = world.shards[0]
    for _ in range(3):

        def change(
            number: int = rng.randrange(world.settings.gateways), side: int = rng.randint(0, 1)
        ) -> None:
            if len(shard.states) > 1:
                shard.state_by_gateway[number] = side

        world.clock.after(rng.randint(0, 4 * SECOND), change)
    world.clock.after(rng.randint(0, 4 * SECOND), partial(move_traffic, world, rng))


def promote(world: World, rng: random.Random) -> None:
    """Promotes a replica that lacks the last writes and has a different clock."""
    for shard in world.shards:
        shard.promote(_counter_clock_ms(world), rng.randint(0, 3000), rng.randint(-3000, 3000))


def replace(world: World, rng: random.Random) -> None:
    """Replaces each server with an empty one that has a different clock."""
    for shard in world.shards:
        shard.replace(rng.randint(-3000, 3000))


def cut_off_and_replace(world: World, rng: random.Random) -> None:
    """Cuts all gateways off the counter and replaces its servers meanwhile."""
    gateways = set(range(world.settings.gateways))
    world.cut_off |= gateways
    wait_ns = _draw_duration_ns(rng)
    world.clock.after(wait_ns, partial(replace, world, rng))
    world.clock.after(wait_ns + rng.randint(0, SECOND), partial(world.cut_off.difference_update, gateways))


def evict_tenants(world: World, rng: random.Random) -> None:
    """Evicts the keys of many tenants again and again, while the heartbeats stay."""
    for number in range(6):
        for shard in world.shards:
            world.clock.after(number * 700 * MILLISECOND, partial(shard.evict, rng, 0.7, False))


def evict_heartbeats(world: World, rng: random.Random) -> None:
    """Evicts all heartbeats."""
    for shard in world.shards:
        shard.evict(rng, 1.0, True)


def slow_counter(world: World, rng: random.Random) -> None:
    """Delays replies by up to twice a call's timeout, and calls in queues before they are executed."""
    reply_ms, call_ms = rng.choice(((500, 0), (0, 500), (200, 200), (0, 3000)))
    world.max_reply_delay_ns = reply_ms * MILLISECOND
    world.max_call_delay_ns = call_ms * MILLISECOND

    def end() -> None:
        world.max_reply_delay_ns = 0
        world.max_call_delay_ns = 0

    world.clock.after(_draw_duration_ns(rng), end)


def lossy_network(world: World, rng: random.Random) -> None:
    """Loses a part of calls and replies."""
    world.request_loss, world.reply_loss = rng.uniform(0.0, 0.3), rng.uniform(0.0, 0.3)


def end_loss(world: World, rng: random.Random) -> None:
    """Ends the loss of calls and replies."""
    world.request_loss = 0.0
    world.reply_loss = 0.0


def error_replies(world: World, rng: random.Random) -> None:
    """Makes the counter reply with errors to all commands, or to those that write."""
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

    def end() -> None:
        for shard in world.shards:
            shard.error = ""
            shard.write_error = ""

    world.clock.after(_draw_duration_ns(rng), end)


def kill_gateway(world: World, rng: random.Random) -> None:
    """Kills one gateway, which starts again."""
    number = rng.randrange(world.settings.gateways)
    world.kill(number)
    world.clock.after(rng.randint(MILLISECOND, 8 * SECOND), partial(world.restart, number))


def kill_some_gateways(world: World, rng: random.Random) -> None:
    """Kills some or all gateways, which start again."""
    for number in _some_gateways(world, rng):
        world.kill(number)
        world.clock.after(rng.randint(MILLISECOND, 4 * SECOND), partial(world.restart, number))


def pause_gateway(world: World, rng: random.Random) -> None:
    """Pauses one gateway."""
    world.pause(rng.randrange(world.settings.gateways), _draw_duration_ns(rng))


def move_traffic(world: World, rng: random.Random) -> None:
    """Sends nearly all traffic of each tenant to one gateway."""
    for weights in world.weights:
        top = rng.randrange(len(weights))
        weights[:] = [20.0 if i == top else 0.05 for i in range(len(weights))]


# Seeds draw from this order. The names stay too, because tests seed their random draws with them.
FAULTS: dict[str, Fault] = {
    "cut": cut_off_gateways,
    "split": split,
    "split_and_cross": split_and_cross,
    "promote": promote,
    "replace": replace,
    "cut_and_replace": cut_off_and_replace,
    "evict": evict_tenants,
    "evict_beats": evict_heartbeats,
    "slow": slow_counter,
    "lossy": lossy_network,
    "calm": end_loss,
    "errors": error_replies,
    "kill": kill_gateway,
    "kill_many": kill_some_gateways,
    "pause": pause_gateway,
    "move": move_traffic,
}


def make(seed: int) -> CounterSchedule:
    """Returns the schedule of a seed."""
    rng = random.Random(f"counted schedule:{seed}")
    is_large = seed % LARGE_INTERVAL == LARGE_INTERVAL - 1
    gateways = 100 if is_large else rng.randint(1, 8)
    # Hard limits apply: they are above the requested rate or far below it; some hold a request or two only.
    rate, burst = rng.choice(((10.0, 10.0), (6.0, 12.0), (30.0, 15.0), (4.0, 3.0), (50.0, 60.0)))
    hard_limit_factor = rng.choice((0.5, 1.0, 2.0)) if burst > 3.0 else rng.choice((1.0, 2.0))
    settings = WorldSettings(
        seed,
        gateways,
        2 if is_large else rng.randint(1, 3),
        rng.choice((1, 1, 2)),
        rng.choice((1, 2, 4)),
        rate,
        burst,
        hard_limit_factor,
        rng.randint(1, gateways),
        rng.uniform(0.5, 6.0),
    )
    names = rng.choices(list(FAULTS), k=rng.randint(2, 6))
    faults = tuple(sorted((rng.randint(SECOND, SPAN - 8 * SECOND), name) for name in names))
    return CounterSchedule(settings, faults)


def play(schedule: CounterSchedule) -> World:
    """Plays a schedule and returns the world, whose `violations` are empty if all conditions held."""
    world = World(schedule.settings)
    for number, (at, name) in enumerate(schedule.faults):
        rng = random.Random(f"counted fault:{schedule.settings.seed}:{number}")
        world.clock.at(START + at, partial(FAULTS[name], world, rng))
    world.run(SPAN)
    return world


def play_seed(seed: int) -> list[str]:
    """Plays the schedule of a seed and returns its violations."""
    return play(make(seed)).violations


def play_without_faults(seed: int) -> list[str]:
    """Plays a world without faults in which tenants move, and returns its violations.

    Admissible requests must be served, quotas must be kept but for use that is reported late, and the leases
    must follow a tenant that moves.
    """
    rng = random.Random(f"calm counted:{seed}")
    rate, burst = rng.choice(((10.0, 10.0), (30.0, 15.0), (50.0, 60.0)))
    gateways = rng.randint(2, 6)
    gateways_per_tenant, load = rng.randint(2, gateways), rng.choice((0.7, 4.0))
    world = World(WorldSettings(seed, gateways, 2, 1, 2, rate, burst, 2.0, gateways_per_tenant, load))
    if seed % 2:  # the other gateways see the tenants for the first time when these move
        for weights in world.weights:
            weights[:] = [float(offset == 0) for offset in range(len(weights))]
    world.run(CALM_NS // 2)
    after_first_burst = {tenant: (c.forwarded, c.beyond) for tenant, c in world.counts.items()}
    world.run(CALM_NS // 2)
    move_traffic(world, rng)
    world.run(FOLLOW_NS)
    after_move = {tenant: (c.forwarded, c.admissible) for tenant, c in world.counts.items()}
    world.run(CALM_NS)
    violations = list(world.violations)
    for tenant, count in world.counts.items():
        forwarded = count.forwarded - after_move[tenant][0]
        admissible = count.admissible - after_move[tenant][1]
        all_forwarded = count.forwarded - after_first_burst[tenant][0]
        beyond = count.beyond - after_first_burst[tenant][1]
        if beyond > MAX_BEYOND_PART * all_forwarded + 1:
            violations.append(
                f"tenant {tenant:x}: {beyond} of {all_forwarded} requests were forwarded beyond the quota"
            )
        if forwarded < MIN_SERVED_PART * admissible - 1:
            violations.append(
                f"tenant {tenant:x}: {forwarded} requests were forwarded of {admissible} that one token "
                "bucket would have admitted"
            )
    return violations


def play_without_counter(seed: int) -> list[str]:
    """Plays a world in which no gateway reaches the counter for many bursts, and returns its violations.

    Each gateway receives more requests than the quota admits. The shares by last demand sum to 1, so the
    units beyond a quota are at most the tokens that each gateway knew of, once.
    """
    rng = random.Random(f"deaf counted:{seed}")
    gateways = rng.randint(2, 5)
    rate, burst = rng.choice(((30.0, 15.0), (20.0, 10.0)))
    world = World(WorldSettings(seed, gateways, 1, 1, 1, rate, burst, 4.0, gateways, 6.0))
    world.run(CONCENTRATION_NS)
    count = world.counts[world.tenants[0]]
    before = count.beyond
    world.cut_loses_calls = rng.random() < 0.5
    world.cut_off = set(range(gateways))
    world.run(UNREACHABLE_NS)
    beyond, limit = count.beyond - before, gateways * burst
    text = f"without the counter: {beyond} requests beyond the quota, at most {limit:g} are allowed"
    return [text] * (beyond > limit) + world.violations


def play_moved_traffic(seed: int) -> list[str]:
    """Plays a world in which a fault and a move of traffic coincide, and returns its violations.

    One gateway holds all shares of a tenant, or no gateway holds any, when the fault occurs. The traffic then
    moves, also to gateways that the tenant has not used. A share that one gateway releases too late, or that
    another one uses too early, exceeds the limit at once.
    """
    rng = random.Random(f"tight counted:{seed}")
    gateways = rng.randint(2, 4)
    rate, burst = rng.choice(((30.0, 15.0), (50.0, 60.0)))
    hard_limit_factor = rng.choice((0.5, 1.0, 2.0))
    world = World(WorldSettings(seed, gateways, 1, 1, 1, rate, burst, hard_limit_factor, gateways, 6.0))
    weights, is_idle = world.weights[0], rng.random() < 0.3
    holder = rng.randrange(gateways)
    holder_offset = (holder - world.first_gateways[0]) % gateways
    weights[:] = [float(offset == holder_offset) for offset in range(gateways)]
    world.has_load = not is_idle
    world.run(CONCENTRATION_NS)
    # The fault affects the holder of all shares, or another gateway whose static share the holder must leave.
    affected = rng.choice((holder, rng.randrange(gateways)))
    shard, now = world.shards[0], _counter_clock_ms(world)
    fault = rng.choice(
        (
            "calls lost",
            "replies lost",
            "split",
            "others cut off",
            "promote",
            "replace",
            "evict",
            "restart",
            "split and cross",
            "calls late",
        )
    )
    if fault in ("calls lost", "replies lost"):
        world.cut_loses_calls = fault == "calls lost"
        world.cut_off = {affected}
    elif fault in ("split", "split and cross"):
        shard.split({affected}, now, rng.randint(0, 1500))
        if fault == "split and cross":
            other = rng.choice([g for g in range(gateways) if g != affected])
            world.clock.after(
                rng.randint(0, 5 * SECOND), partial(shard.state_by_gateway.__setitem__, other, 1)
            )
    elif fault == "others cut off":
        world.cut_off = set(range(gateways)) - {affected}
    elif fault == "promote":
        shard.promote(now, rng.randint(500, 3500))
    elif fault == "replace":
        shard.replace()
    elif fault == "evict":
        for number in range(12):
            world.clock.after(number * 300 * MILLISECOND, partial(shard.evict, rng, 1.0, False))
    elif fault == "calls late":
        world.max_call_delay_ns = rng.randint(1, 4) * SECOND
        world.cut_off = {affected}
        world.cut_loses_calls = False
    else:
        world.kill(affected)
        world.clock.after(rng.randint(MILLISECOND, SECOND), partial(world.restart, affected))
    if is_idle:
        world.has_load = True
        world.start_load()
    if is_idle or rng.random() < 0.7:
        weights[:] = [1.0 + 9.0 * (offset != holder_offset) for offset in range(gateways)]
    world.run(rng.randint(2, 7) * SECOND)
    world.cut_off.clear()
    world.max_call_delay_ns = 0
    if len(shard.states) > 1:
        shard.heal(rng.randint(0, 1))
    world.run(5 * SECOND)
    return [f"moved traffic, {fault}: {text}" for text in world.violations]
