"""Simulates faults of a large fleet, and measures how many requests are served through them.

The module uses the controls of the virtual fleet and the ledger, and does not depend on what the decision
module decides. Connections and calls to discovery are not simulated; tests on real sockets cover them.
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
SPAN = 5 * SECOND  # of load
FAULTS_AFTER_NS = SECOND  # early enough for backends to warm up within the span
KILLED_SHARE = 0.7  # of the gateways, at once
REPLACED_SHARE = 0.6  # of the nodes, within `REPLACEMENT_NS`
REPLACEMENT_NS = 2 * SECOND
MAX_LIST_DELAY_NS = 2 * SECOND
FAILED_ZONE = "b"


class LargeFleetRun(msgspec.Struct, frozen=True):
    """Holds the result of one run.

    `served_share` is of all requests but those rejected while the quota was used up, and `rejected_share` are
    those rejected while quota was left, of all requests. `retry_share` is the number of further attempts for
    each forwarded request. `first_second_peak` is the largest ratio of a node's work in the second from its
    first request to the work that it may get in that second.
    """

    served_share: float
    rejected_share: float
    retry_share: float
    first_second_peak: float
    violations: int


def _start_successor(fleet: VirtualFleet, node: Node) -> None:
    fleet.start_node(fleet.scenario.successor(node.spec), True)


def restart_gateways(fleet: VirtualFleet, rng: random.Random) -> None:
    """Kills most gateways at once while nodes are replaced and the endpoint list lags."""
    replace_nodes(fleet, rng)
    for position in rng.sample(range(GATEWAYS), int(KILLED_SHARE * GATEWAYS)):
        fleet.kill_gateway(position)
        wait_ns = rng.randint(800, 2000) * MILLISECOND
        fleet.clock.after(wait_ns, partial(fleet.start_gateway, position))


def crash_zone(fleet: VirtualFleet, rng: random.Random) -> None:
    """Crashes all nodes of a zone without notice; new ones with new ids replace them and warm up."""
    for node in [node for node in fleet.nodes.values() if node.spec.zone == FAILED_ZONE]:
        fleet.crash_node(node)
        wait_ns = rng.randint(1500, 2000) * MILLISECOND
        fleet.clock.after(wait_ns, partial(_start_successor, fleet, node))
        fleet.clock.after(2 * SECOND, partial(fleet.remove_node, node))


def replace_nodes(fleet: VirtualFleet, rng: random.Random) -> None:
    """Drains most nodes, one after the other; new ones replace them and warm up."""
    nodes = rng.sample(list(fleet.nodes.values()), int(REPLACED_SHARE * NODES))
    for number, node in enumerate(nodes):
        drained_after = number * REPLACEMENT_NS // len(nodes)
        fleet.clock.after(drained_after, partial(fleet.drain_node, node))
        started_after = drained_after + rng.randint(0, 500) * MILLISECOND
        fleet.clock.after(started_after, partial(_start_successor, fleet, node))
        fleet.clock.after(drained_after + 1500 * MILLISECOND, partial(fleet.remove_node, node))


FAULTS: dict[str, Callable[[VirtualFleet, random.Random], None]] = {
    "release": restart_gateways,
    "zone": crash_zone,
    "join": replace_nodes,
}


def play(name: str, seed: int) -> LargeFleetRun:
    """Runs the fault of this name; the same seed gives the same run."""
    scenario = Scenario(gateways=GATEWAYS, nodes=NODES, load=0.5, greedy_share=0.2, seed=seed)
    fleet = VirtualFleet(scenario, seed)
    fleet.conditions.peer_loss = 0.05
    fleet.conditions.max_list_delay_ns = MAX_LIST_DELAY_NS
    fleet.clock.after(FAULTS_AFTER_NS, partial(FAULTS[name], fleet, random.Random(f"vast:{seed}")))
    fleet.run(SPAN)
    verdict = judge(scenario.rule_parameters(), fleet.ledger.entries)
    summary = verdict.summary
    attempts = [entry for entry in fleet.ledger.entries if isinstance(entry, AttemptReceived)]
    forwarded = {attempt.request for attempt in attempts}
    return LargeFleetRun(
        summary.served_share,
        summary.rejected_with_quota_left / max(1, summary.requests),
        len(attempts) / max(1, len(forwarded)) - 1.0,
        _first_second_peak(scenario, fleet, attempts),
        len(verdict.violations),
    )


def _first_second_peak(scenario: Scenario, fleet: VirtualFleet, attempts: list[AttemptReceived]) -> float:
    starts = [entry for entry in fleet.ledger.entries if isinstance(entry, BackendStarted)]
    warming_up = {start.backend: start for start in starts if start.start_capacity < 1.0}
    work_s = dict.fromkeys(warming_up, 0.0)
    first_at: dict[str, int] = {}
    for attempt in sorted(attempts, key=lambda attempt: attempt.at):
        backend = attempt.backend
        if backend in warming_up and attempt.at - first_at.setdefault(backend, attempt.at) < SECOND:
            work_s[backend] += attempt.work_ns / SECOND
    return max(
        (
            work_s[backend] / (scenario.overload_multiple * start.start_capacity * start.cores)
            for backend, start in warming_up.items()
        ),
        default=0.0,
    )
