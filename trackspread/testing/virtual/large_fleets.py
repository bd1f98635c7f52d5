"""The shapes of a large fleet's bad days in virtual time, and what was served through them.

May know: the virtual fleet's handles, the ledger. May not know: what the module decides or why. Connections
and calls to discovery are no part of this world: their own tests and the running program show those.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial

import msgspec

from ..judge.judge import judge
from ..judge.ledger import AttemptReceived, BackendStarted
from ..standins.rating_node import SECOND
from ..standins.scenario import MILLISECOND, Scenario
from .fleet import Node, VirtualFleet

GATEWAYS, NODES = 40, 60
SPAN = 5 * SECOND  # of happenings; the trouble starts after one, so that cold starts lie within
TROUBLE = SECOND
MOST = 0.7  # of the gateways that are killed at once
REPLACED = 0.6  # of the nodes that a join replaces
LATE = 2 * SECOND  # by which the list lags on these days


class LoadShape(msgspec.Struct, frozen=True):
    """What came of one shape; shares from 0 to 1, the peak in times of a cold node's budget."""

    served_share: float  # served, of what was served, refused with room, failed or left unanswered
    refused_with_room_share: float  # of the tries
    retry_share: float  # further attempts for each request sent on
    first_second_peak: float  # work for a cold node in the second from its first request, over its budget
    violations: int


def _successor(fleet: VirtualFleet, node: Node) -> None:
    fleet.boot(fleet.scenario.successor(node.spec), True)


def release(fleet: VirtualFleet, rng: random.Random) -> None:
    """Most gateways die at once while nodes are replaced and the list lags."""
    join(fleet, rng)
    for position in rng.sample(range(GATEWAYS), int(MOST * GATEWAYS)):
        fleet.kill(position)
        fleet.clock.after(rng.randint(800, 2000) * MILLISECOND, partial(fleet.start, position))


def zone(fleet: VirtualFleet, rng: random.Random) -> None:
    """All nodes of a zone die without a word, and come back cold under new ids."""
    for node in [n for n in fleet.nodes.values() if n.spec.zone == "b"]:
        fleet.down(node)
        fleet.clock.after(rng.randint(1500, 2000) * MILLISECOND, partial(_successor, fleet, node))
        fleet.clock.after(2 * SECOND, partial(fleet.remove, node))


def join(fleet: VirtualFleet, rng: random.Random) -> None:
    """Six in ten nodes drain and are replaced by cold ones."""
    nodes = rng.sample(list(fleet.nodes.values()), int(REPLACED * NODES))
    for number, node in enumerate(nodes):
        at = number * 2 * SECOND // len(nodes)
        fleet.clock.after(at, partial(fleet.drain, node))
        fleet.clock.after(at + rng.randint(0, 500) * MILLISECOND, partial(_successor, fleet, node))
        fleet.clock.after(at + 1500 * MILLISECOND, partial(fleet.remove, node))


SHAPES: dict[str, Callable[[VirtualFleet, random.Random], None]] = {
    "release": release,
    "zone": zone,
    "join": join,
}


def play(name: str, seed: int) -> LoadShape:
    """One day of the shape; the same seed gives the same day."""
    scenario = Scenario(gateways=GATEWAYS, nodes=NODES, load=0.5, greedy_share=0.2, seed=seed)
    fleet = VirtualFleet(scenario, seed)
    fleet.conditions.peer_loss = 0.05
    fleet.conditions.list_delay = LATE
    fleet.clock.after(TROUBLE, partial(SHAPES[name], fleet, random.Random(f"vast:{seed}")))
    fleet.run(SPAN)
    verdict = judge(scenario.world(), fleet.ledger.entries)
    told, sent = verdict.figures, [e for e in fleet.ledger.entries if isinstance(e, AttemptReceived)]
    due = told.served + told.refused_with_room + told.failed + told.unanswered
    return LoadShape(
        told.served / max(1, due),
        told.refused_with_room / max(1, told.tries),
        len(sent) / max(1, len({e.request for e in sent})) - 1.0,
        _peak(scenario, fleet, sent),
        len(verdict.violations),
    )


def _peak(scenario: Scenario, fleet: VirtualFleet, sent: list[AttemptReceived]) -> float:
    cold = {e.backend: e for e in fleet.ledger.entries if isinstance(e, BackendStarted) and e.start < 1.0}
    work = dict.fromkeys(cold, 0.0)
    first: dict[str, int] = {}
    for each in sorted(sent, key=lambda e: e.at):
        if each.backend in cold and each.at - first.setdefault(each.backend, each.at) < SECOND:
            work[each.backend] += each.work / SECOND
    return max(
        (work[b] / (scenario.overload_multiple * e.start * e.cores) for b, e in cold.items()), default=0.0
    )
