"""Seeded schedules of faults: what goes wrong and when hangs on the seed alone, and a failing one replays.

May know: the virtual fleet's handles. May not know: what the module decides or what the judge looks for.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from ...decide.backends import Health
from ..judge.judge import judge
from ..judge.verdict import Verdict
from ..standins.client_population import ClientBehavior
from ..standins.rating_node import SECOND
from ..standins.scenario import MILLISECOND, Scenario
from .fleet import Node, VirtualFleet

SPAN = 4 * SECOND  # of happenings; long enough for a drain with its grace, and a cold start after it
BEYOND_MOST = 0.15  # of what a calm fleet sends on, beyond quotas: 1.3% on average, 9% at worst of 250
CALM = 8  # every so many schedules one is calm, and held to the quotas as well
Fault = Callable[[VirtualFleet, random.Random], None]


@dataclass(frozen=True, slots=True)
class Schedule:
    """A scenario and the faults in it, by name and time (ns from the start)."""

    seed: int
    scenario: Scenario
    faults: tuple[tuple[int, str], ...]

    def __str__(self) -> str:
        told = ", ".join(f"{name} at {at / SECOND:.2f} s" for at, name in self.faults)
        sizes = f"{self.scenario.gateways} gateways, {self.scenario.nodes} nodes"
        return f"seed {self.seed}: {sizes}; {told or 'calm'}"


def _someone(fleet: VirtualFleet, rng: random.Random) -> int:
    return rng.randrange(fleet.scenario.gateways)


def _restart(fleet: VirtualFleet, rng: random.Random, position: int) -> None:
    fleet.kill(position)
    wait = rng.randint(100 * MILLISECOND, 1500 * MILLISECOND)
    fleet.clock.after(wait, partial(fleet.start, position))


def kill_one(fleet: VirtualFleet, rng: random.Random) -> None:
    _restart(fleet, rng, _someone(fleet, rng))


def kill_half(fleet: VirtualFleet, rng: random.Random) -> None:
    for position in rng.sample(range(fleet.scenario.gateways), max(1, fleet.scenario.gateways // 2)):
        _restart(fleet, rng, position)


def roll(fleet: VirtualFleet, rng: random.Random) -> None:
    for number, position in enumerate(rng.sample(range(fleet.scenario.gateways), fleet.scenario.gateways)):
        fleet.clock.after(number * 700 * MILLISECOND, partial(_restart, fleet, rng, position))


def _up(fleet: VirtualFleet) -> list[Node]:
    return [n for n in fleet.nodes.values() if n.up and n.entry.health is Health.READY]


def drain(fleet: VirtualFleet, rng: random.Random) -> None:
    """One node drains, ends, and has a cold successor."""
    if len(nodes := _up(fleet)) > 2:
        _deploy(fleet, rng, rng.choice(nodes))


def deploy(fleet: VirtualFleet, rng: random.Random) -> None:
    """Most nodes do, one after the other."""
    nodes = _up(fleet)
    for number, node in enumerate(rng.sample(nodes, len(nodes) // 2)):
        fleet.clock.after(number * 400 * MILLISECOND, partial(_deploy, fleet, rng, node))


def _deploy(fleet: VirtualFleet, rng: random.Random, node: Node) -> None:
    if not node.up or node.entry.health is not Health.READY:
        return
    fleet.drain(node)
    spec = fleet.scenario.successor(node.spec)
    fleet.clock.after(rng.randint(SECOND, 2 * SECOND), partial(fleet.remove, node))
    fleet.clock.after(rng.randint(0, SECOND), partial(fleet.boot, spec, True))


def undrain(fleet: VirtualFleet, rng: random.Random) -> None:
    """One node drains and is wanted again soon after."""
    if nodes := _up(fleet):
        node = rng.choice(nodes)
        fleet.drain(node)

        def back() -> None:
            if node.up and node.entry.health is Health.DRAINING:
                node.model.draining = False
                fleet._change(node, Health.READY)

        fleet.clock.after(rng.randint(200 * MILLISECOND, 1800 * MILLISECOND), back)


def node_dies(fleet: VirtualFleet, rng: random.Random) -> None:
    """The list hears of it late."""
    if len(nodes := _up(fleet)) > 2:
        node = rng.choice(nodes)
        fleet.down(node)
        fleet.clock.after(rng.randint(SECOND // 2, 2 * SECOND), partial(fleet.remove, node))


def node_silent(fleet: VirtualFleet, rng: random.Random) -> None:
    if nodes := _up(fleet):
        node = rng.choice(nodes)
        node.silent = True
        fleet.clock.after(rng.randint(SECOND // 2, 2 * SECOND), partial(setattr, node, "silent", False))


def node_freezes(fleet: VirtualFleet, rng: random.Random) -> None:
    """A node says nothing more, and resets all that it holds when it dies at last."""
    if len(nodes := _up(fleet)) > 2:
        node = rng.choice(nodes)
        node.silent = True
        wait = rng.randint(SECOND // 2, 3 * SECOND // 2)
        fleet.clock.after(wait, partial(fleet.down, node))
        fleet.clock.after(wait + SECOND, partial(fleet.remove, node))


def node_slow(fleet: VirtualFleet, rng: random.Random) -> None:
    if nodes := _up(fleet):
        rng.choice(nodes).model.slowdown = rng.uniform(3.0, 20.0)


def resets(fleet: VirtualFleet, rng: random.Random) -> None:
    fleet.conditions.reset, fleet.conditions.unwritten = rng.uniform(0.02, 0.3), rng.uniform(0.0, 0.1)
    fleet.conditions.late_up = rng.uniform(0.0, 0.5)


def apart(fleet: VirtualFleet, rng: random.Random) -> None:
    """Some gateways don't hear the others for a while."""
    n = fleet.scenario.gateways
    some = set(rng.sample(range(n), rng.randint(1, n - 1)))
    fleet.apart = {frozenset((a, b)) for a in some for b in range(n) if b not in some}
    fleet.clock.after(rng.randint(SECOND, 4 * SECOND), partial(setattr, fleet, "apart", set()))


def lossy(fleet: VirtualFleet, rng: random.Random) -> None:
    fleet.conditions.peer_loss, fleet.conditions.peer_twice = rng.uniform(0.2, 0.9), rng.uniform(0.0, 0.3)
    fleet.conditions.peer_delay = rng.randint(0, SECOND // 2)


def move(fleet: VirtualFleet, rng: random.Random) -> None:
    fleet.population.move(rng.uniform(0.3, 1.0))


def surge(fleet: VirtualFleet, rng: random.Random) -> None:
    fleet.population.rate_multiple = rng.uniform(1.5, 3.0)


def late_list(fleet: VirtualFleet, rng: random.Random) -> None:
    fleet.conditions.list_delay = rng.randint(SECOND // 2, 3 * SECOND)


FAULTS: dict[str, Fault] = {
    each.__name__: each
    for each in (
        kill_one,
        kill_half,
        roll,
        drain,
        deploy,
        undrain,
        node_dies,
        node_silent,
        node_freezes,
        node_slow,
        resets,
        apart,
        lossy,
        move,
        surge,
        late_list,
    )
}


def make(seed: int) -> Schedule:
    """The schedule of a seed. Every eighth is calm."""
    rng = random.Random(f"schedule:{seed}")
    calm = seed % CALM == 0
    scenario = Scenario(
        gateways=3 if calm else rng.randint(2, 4),
        nodes=rng.randint(3, 7),
        load=rng.uniform(0.2, 0.7),
        greedy_share=rng.choice((0.1, 0.5)),
        seed=seed,
        deduplication_window_ns=rng.choice((SECOND // 2, 5 * SECOND)),
        initial_capacity=rng.choice((0.1, 0.25)),
        warm_up_ns=rng.randint(4 * SECOND, 10 * SECOND),
        behavior=ClientBehavior(rng.randint(0, 2), rng.uniform(0.3, 1.0)),
        max_excess_share=BEYOND_MOST if calm else 1.0,
    )
    names = [] if calm else rng.choices(list(FAULTS), k=rng.randint(1, 4))
    faults = tuple(sorted((rng.randint(SECOND // 4, SPAN * 3 // 4), name) for name in names))
    return Schedule(seed, scenario, faults)


def play(schedule: Schedule) -> tuple[Verdict, VirtualFleet]:
    """The same schedule gives the same ledger, to the last entry."""
    fleet = VirtualFleet(schedule.scenario, schedule.seed)
    start = fleet.clock.now
    for number, (at, name) in enumerate(schedule.faults):
        rng = random.Random(f"fault:{schedule.seed}:{number}")
        fleet.clock.at(start + at, partial(FAULTS[name], fleet, rng))
    fleet.run(SPAN)
    return judge(schedule.scenario.world(), fleet.ledger.entries), fleet
