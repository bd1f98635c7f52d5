"""Makes seeded schedules of faults; the seed alone determines the faults and times, so a failure replays.

A schedule uses the controls of the virtual fleet; it depends neither on what the decision module decides nor
on what the judge looks for.
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

SPAN = 4 * SECOND  # time of load, enough for a drain with its grace period and a slow start after it
MAX_OVER_QUOTA_SHARE = 0.15  # part of the units that a fleet without faults forwards
CALM = 8  # every eighth schedule has no faults, and must also keep to the quotas
MIN_NODES_LEFT = 2  # number of ready nodes that a fault leaves
RESTART_INTERVAL_NS = 700 * MILLISECOND  # of a rolling restart of gateways
REPLACEMENT_INTERVAL_NS = 400 * MILLISECOND  # of a rolling replacement of nodes
Fault = Callable[[VirtualFleet, random.Random], None]


@dataclass(frozen=True, slots=True)
class Schedule:
    """Holds a scenario and its faults, by time in ns from the start and name."""

    seed: int
    scenario: Scenario
    faults: tuple[tuple[int, str], ...]

    def __str__(self) -> str:
        faults = ", ".join(f"{name} at {at / SECOND:.2f} s" for at, name in self.faults)
        sizes = f"{self.scenario.gateways} gateways, {self.scenario.nodes} nodes"
        return f"seed {self.seed}: {sizes}; {faults or 'calm'}"


def _restart(fleet: VirtualFleet, rng: random.Random, position: int) -> None:
    fleet.kill_gateway(position)
    wait_ns = rng.randint(100 * MILLISECOND, 1500 * MILLISECOND)
    fleet.clock.after(wait_ns, partial(fleet.start_gateway, position))


def restart_gateway(fleet: VirtualFleet, rng: random.Random) -> None:
    """Kills one gateway, which starts again."""
    _restart(fleet, rng, rng.randrange(fleet.scenario.gateways))


def restart_half_of_gateways(fleet: VirtualFleet, rng: random.Random) -> None:
    """Kills half of the gateways at once, which start again."""
    for position in rng.sample(range(fleet.scenario.gateways), max(1, fleet.scenario.gateways // 2)):
        _restart(fleet, rng, position)


def rolling_restart(fleet: VirtualFleet, rng: random.Random) -> None:
    """Restarts all gateways, one after the other."""
    for number, position in enumerate(rng.sample(range(fleet.scenario.gateways), fleet.scenario.gateways)):
        fleet.clock.after(number * RESTART_INTERVAL_NS, partial(_restart, fleet, rng, position))


def _ready_nodes(fleet: VirtualFleet) -> list[Node]:
    return [node for node in fleet.nodes.values() if node.is_ready]


def replace_node(fleet: VirtualFleet, rng: random.Random) -> None:
    """Drains and ends one node, which has a successor that warms up."""
    nodes = _ready_nodes(fleet)
    if len(nodes) > MIN_NODES_LEFT:
        _replace(fleet, rng, rng.choice(nodes))


def rolling_replacement(fleet: VirtualFleet, rng: random.Random) -> None:
    """Replaces half of the nodes, one after the other."""
    nodes = _ready_nodes(fleet)
    for number, node in enumerate(rng.sample(nodes, len(nodes) // 2)):
        fleet.clock.after(number * REPLACEMENT_INTERVAL_NS, partial(_replace, fleet, rng, node))


def _replace(fleet: VirtualFleet, rng: random.Random, node: Node) -> None:
    if not node.is_ready:
        return
    fleet.drain_node(node)
    spec = fleet.scenario.successor(node.spec)
    fleet.clock.after(rng.randint(SECOND, 2 * SECOND), partial(fleet.remove_node, node))
    fleet.clock.after(rng.randint(0, SECOND), partial(fleet.start_node, spec, True))


def cancel_drain(fleet: VirtualFleet, rng: random.Random) -> None:
    """Drains one node, which is ready again soon after."""
    if nodes := _ready_nodes(fleet):
        node = rng.choice(nodes)
        fleet.drain_node(node)
        wait_ns = rng.randint(200 * MILLISECOND, 1800 * MILLISECOND)
        fleet.clock.after(wait_ns, partial(_set_ready, fleet, node))


def _set_ready(fleet: VirtualFleet, node: Node) -> None:
    if node.running and node.entry.health is Health.DRAINING:
        node.model.draining = False
        fleet.set_health(node, Health.READY)


def node_crashes(fleet: VirtualFleet, rng: random.Random) -> None:
    """Crashes a node; the endpoint list is updated later."""
    nodes = _ready_nodes(fleet)
    if len(nodes) > MIN_NODES_LEFT:
        node = rng.choice(nodes)
        fleet.crash_node(node)
        fleet.clock.after(rng.randint(SECOND // 2, 2 * SECOND), partial(fleet.remove_node, node))


def node_unresponsive(fleet: VirtualFleet, rng: random.Random) -> None:
    """Makes a node unresponsive for some time."""
    if nodes := _ready_nodes(fleet):
        node = rng.choice(nodes)
        node.unresponsive = True
        wait_ns = rng.randint(SECOND // 2, 2 * SECOND)
        fleet.clock.after(wait_ns, partial(setattr, node, "unresponsive", False))


def node_hangs_and_crashes(fleet: VirtualFleet, rng: random.Random) -> None:
    """Makes a node unresponsive until it crashes and resets all of its connections."""
    nodes = _ready_nodes(fleet)
    if len(nodes) > MIN_NODES_LEFT:
        node = rng.choice(nodes)
        node.unresponsive = True
        wait_ns = rng.randint(SECOND // 2, 3 * SECOND // 2)
        fleet.clock.after(wait_ns, partial(fleet.crash_node, node))
        fleet.clock.after(wait_ns + SECOND, partial(fleet.remove_node, node))


def node_slow(fleet: VirtualFleet, rng: random.Random) -> None:
    """Makes a node take several times as long for each request, to the end."""
    if nodes := _ready_nodes(fleet):
        rng.choice(nodes).model.slowdown = rng.uniform(3.0, 20.0)


def connection_faults(fleet: VirtualFleet, rng: random.Random) -> None:
    """Makes connections to nodes reset, break while a request is written, or connect slowly."""
    fleet.conditions.reset_chance = rng.uniform(0.02, 0.3)
    fleet.conditions.broken_write_chance = rng.uniform(0.0, 0.1)
    fleet.conditions.slow_connect_chance = rng.uniform(0.0, 0.5)


def partition_gateways(fleet: VirtualFleet, rng: random.Random) -> None:
    """Partitions some gateways from the others for some time."""
    gateways = range(fleet.scenario.gateways)
    some = set(rng.sample(gateways, rng.randint(1, len(gateways) - 1)))
    fleet.partitioned = {frozenset((one, other)) for one in some for other in gateways if other not in some}
    fleet.clock.after(rng.randint(SECOND, 4 * SECOND), partial(setattr, fleet, "partitioned", set()))


def lossy_peer_network(fleet: VirtualFleet, rng: random.Random) -> None:
    """Loses, duplicates and delays messages between gateways."""
    fleet.conditions.peer_loss = rng.uniform(0.2, 0.9)
    fleet.conditions.peer_duplication = rng.uniform(0.0, 0.3)
    fleet.conditions.max_peer_delay_ns = rng.randint(0, SECOND // 2)


def migrate_clients(fleet: VirtualFleet, rng: random.Random) -> None:
    """Makes many tenants change the gateways that they use."""
    fleet.population.move(rng.uniform(0.3, 1.0))


def surge(fleet: VirtualFleet, rng: random.Random) -> None:
    """Makes clients send more requests, to the end."""
    fleet.population.rate_multiple = rng.uniform(1.5, 3.0)


def late_endpoint_updates(fleet: VirtualFleet, rng: random.Random) -> None:
    """Delays updates of the endpoint list."""
    fleet.conditions.max_list_delay_ns = rng.randint(SECOND // 2, 3 * SECOND)


# Seeds draw from this order, so a change of it changes the schedules.
FAULTS: dict[str, Fault] = {
    fault.__name__: fault
    for fault in (
        restart_gateway,
        restart_half_of_gateways,
        rolling_restart,
        replace_node,
        rolling_replacement,
        cancel_drain,
        node_crashes,
        node_unresponsive,
        node_hangs_and_crashes,
        node_slow,
        connection_faults,
        partition_gateways,
        lossy_peer_network,
        migrate_clients,
        surge,
        late_endpoint_updates,
    )
}


def make(seed: int) -> Schedule:
    """Returns the schedule of a seed; one in `CALM` has no faults."""
    rng = random.Random(f"schedule:{seed}")
    is_calm = seed % CALM == 0
    scenario = Scenario(
        gateways=3 if is_calm else rng.randint(2, 4),
        nodes=rng.randint(3, 7),
        load=rng.uniform(0.2, 0.7),
        greedy_share=rng.choice((0.1, 0.5)),
        seed=seed,
        deduplication_window_ns=rng.choice((SECOND // 2, 5 * SECOND)),
        initial_capacity=rng.choice((0.1, 0.25)),
        warm_up_ns=rng.randint(4 * SECOND, 10 * SECOND),
        behavior=ClientBehavior(rng.randint(0, 2), rng.uniform(0.3, 1.0)),
        max_excess_share=MAX_OVER_QUOTA_SHARE if is_calm else 1.0,
    )
    names = [] if is_calm else rng.choices(list(FAULTS), k=rng.randint(1, 4))
    faults = tuple(sorted((rng.randint(SECOND // 4, SPAN * 3 // 4), name) for name in names))
    return Schedule(seed, scenario, faults)


def play(schedule: Schedule) -> tuple[Verdict, VirtualFleet]:
    """Plays a schedule and returns the verdict and the fleet.

    The same schedule gives the same ledger, to the last entry.
    """
    fleet = VirtualFleet(schedule.scenario, schedule.seed)
    start = fleet.clock.now
    for number, (at, name) in enumerate(schedule.faults):
        rng = random.Random(f"fault:{schedule.seed}:{number}")
        fleet.clock.at(start + at, partial(FAULTS[name], fleet, rng))
    fleet.run(SPAN)
    return judge(schedule.scenario.rule_parameters(), fleet.ledger.entries), fleet
