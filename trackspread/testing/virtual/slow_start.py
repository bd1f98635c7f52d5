"""Simulates backends that warm up behind many gateways, and measures the load that they all send to each.

The module uses the controls of the virtual fleet and the ledger, and does not depend on what the decision
module decides.
"""

from __future__ import annotations

import random
from collections import defaultdict, deque
from collections.abc import Callable, Iterator
from functools import partial
from math import inf, sqrt

import msgspec

from ..judge.judge import judge
from ..judge.ledger import AttemptReceived, BackendStarted, Ledger, EndpointAnnounced
from ..standins.rating_node import SECOND, NodeSpec, IdempotencyCache, RatingNode
from ..standins.scenario import MILLISECOND, Scenario
from .fleet import Node, VirtualFleet

NODES = 9
REPLACED = 2  # number of nodes that drain and have a successor under another name
RETURNED = 2  # number of nodes that crash and restart under the same name
MIN_GATEWAYS, MAX_GATEWAYS = 20, 32
CALM_NS = 3 * SECOND  # time before any fault, in which gateways learn the capacity of warm backends
WARMUP_NS = 6 * SECOND
SPAN = CALM_NS + WARMUP_NS + SECOND
LOAD_FACTOR = 1.5  # factor of the load while backends warm up
Faults = Callable[[VirtualFleet, random.Random], None]


class SlowStartRun(msgspec.Struct, frozen=True):
    """Holds the result of one run.

    `worst_excess` is the largest value of `overload_excess`. `relative_load` is the load of backends that are
    warming up, relative to their capacity, over that of the others. `served_share` is of all requests but
    those rejected while the quota was used up. `violations` names the other rules that were violated; the
    judge makes no allowance for chance at backends that warm up.
    """

    gateways: int
    worst_excess: float
    relative_load: float
    served_share: float
    violations: frozenset[str]


class UncrashableScenario(Scenario):
    """Defines a scenario whose backends never crash, so that all requests that gateways send are counted."""

    def rating_node(
        self, spec: NodeSpec, pods: dict[int, IdempotencyCache], now: int, cold: bool
    ) -> RatingNode:
        """Returns a rating node without a limit on its load."""
        node = super().rating_node(spec, pods, now, cold)
        node.overload_multiple = inf
        return node


def draw_scenario(seed: int) -> Scenario:
    """Draws a fleet by the seed: its gateways, overload window and multiple, start capacity and load."""
    rng = random.Random(f"ramp-scene:{seed}")
    return UncrashableScenario(
        gateways=rng.randint(MIN_GATEWAYS, MAX_GATEWAYS),
        nodes=NODES,
        load=rng.uniform(0.5, 0.7),
        greedy_share=0.2,
        seed=seed,
        warm_up_ns=WARMUP_NS,
        initial_capacity=rng.uniform(0.15, 0.35),
        overload_window_ns=rng.choice([SECOND // 2, SECOND, 3 * SECOND]),
        overload_multiple=rng.choice([2.0, 3.0]),
    )


def play(seed: int) -> SlowStartRun:
    """Replaces some backends and restarts others under high load, while gateways fail.

    The gateways are killed, restarted and partitioned. The same seed gives the same run.
    """
    return _run(seed, _replace_and_return)


def play_none_warm(seed: int) -> SlowStartRun:
    """Restarts all backends, which warm up, one after the other, while half of the gateways restart."""
    return _run(seed, _return_all)


def _run(seed: int, faults: Faults) -> SlowStartRun:
    scenario = draw_scenario(seed)
    fleet = VirtualFleet(scenario, seed)
    faults_at = fleet.clock.now + CALM_NS
    fleet.clock.at(faults_at, partial(faults, fleet, random.Random(f"ramp:{seed}")))
    fleet.run(SPAN)
    verdict = judge(scenario.rule_parameters(), fleet.ledger.entries)
    summary = verdict.summary
    return SlowStartRun(
        scenario.gateways,
        max(overload_excess(scenario, fleet.ledger), default=-inf),
        _relative_load(fleet.ledger, faults_at),
        summary.served_share,
        frozenset(verdict.broken_rules() - {"cold"}),
    )


def _replace_and_return(fleet: VirtualFleet, rng: random.Random) -> None:
    fleet.population.rate_multiple = LOAD_FACTOR
    nodes = rng.sample(list(fleet.nodes.values()), REPLACED + RETURNED)
    for node in nodes[:REPLACED]:
        _replace(fleet, node)
    for node in nodes[REPLACED:]:
        fleet.crash_node(node)
        restart = partial(fleet.start_node, node.spec, True)
        fleet.clock.after(rng.randint(100, 500) * MILLISECOND, restart)
    positions = rng.sample(range(fleet.scenario.gateways), fleet.scenario.gateways // 2)
    third = len(positions) // 3
    for position in positions[:third]:
        killed_after = rng.randint(0, 2000) * MILLISECOND
        fleet.clock.after(killed_after, partial(fleet.kill_gateway, position))
        started_after = killed_after + rng.randint(300, 1500) * MILLISECOND
        fleet.clock.after(started_after, partial(fleet.start_gateway, position))
    for position in positions[third : 2 * third]:
        fleet.clock.after(rng.randint(0, 3000) * MILLISECOND, partial(fleet.kill_gateway, position))
    for position in positions[2 * third :]:
        fleet.clock.after(rng.randint(0, 2000) * MILLISECOND, partial(_isolate, fleet, position))


def _return_all(fleet: VirtualFleet, rng: random.Random) -> None:
    for node in list(fleet.nodes.values()):
        fleet.clock.after(rng.randint(0, 1000) * MILLISECOND, partial(_crash_and_return, fleet, node))
    for position in rng.sample(range(fleet.scenario.gateways), fleet.scenario.gateways // 2):
        killed_after = rng.randint(0, 1500) * MILLISECOND
        fleet.clock.after(killed_after, partial(fleet.kill_gateway, position))
        fleet.clock.after(killed_after + 500 * MILLISECOND, partial(fleet.start_gateway, position))


def _crash_and_return(fleet: VirtualFleet, node: Node) -> None:
    fleet.crash_node(node)
    fleet.clock.after(200 * MILLISECOND, partial(fleet.start_node, node.spec, True))


def _replace(fleet: VirtualFleet, node: Node) -> None:
    fleet.start_node(fleet.scenario.successor(node.spec), True)
    fleet.drain_node(node)
    fleet.clock.after(2 * SECOND, partial(fleet.remove_node, node))


def _isolate(fleet: VirtualFleet, position: int) -> None:
    """Partitions a gateway from all others; it still has its clients and backends."""
    others = range(fleet.scenario.gateways)
    fleet.partitioned |= {frozenset((position, other)) for other in others if other != position}


def _slow_starts(ledger: Ledger) -> dict[str, BackendStarted]:
    """Returns the last start of each backend that had to warm up."""
    starts = (entry for entry in ledger.entries if isinstance(entry, BackendStarted))
    return {start.backend: start for start in starts if start.start_capacity < 1.0}


def _capacity(start: BackendStarted, at: int) -> float:
    """Returns the share of its full capacity that a backend has at a time."""
    progress = min(1.0, (at - start.at) / start.warmup_ns)
    return start.start_capacity + (1.0 - start.start_capacity) * progress


def overload_excess(scenario: Scenario, ledger: Ledger) -> Iterator[float]:
    """Yields the excess of work over the limit for each request to a backend that warms up.

    The work is that of the window that ends with the request. The excess is in requests of mean work and is
    negative below the limit. The limit is N + 2 sqrt(N) + 2, which allows for chance, where N is the overload
    multiple of the work that the backend can do in the window.
    """
    mean_work = sum(c.share * c.work_ns for c in scenario.classes) / sum(c.share for c in scenario.classes)
    starts = _slow_starts(ledger)
    recent: dict[str, deque[tuple[int, float]]] = {backend: deque() for backend in starts}
    attempts = [entry for entry in ledger.entries if isinstance(entry, AttemptReceived)]
    for attempt in sorted(attempts, key=lambda attempt: attempt.at):
        start = starts.get(attempt.backend)
        if start is None or not start.at <= attempt.at < start.at + start.warmup_ns:
            continue
        window = recent[attempt.backend]
        window.append((attempt.at, attempt.work_ns / mean_work))
        while window[0][0] <= attempt.at - scenario.overload_window_ns:
            window.popleft()
        able = start.cores * _capacity(start, attempt.at) * scenario.overload_window_ns / mean_work
        allowed = scenario.overload_multiple * able
        yield sum(work for _, work in window) - (allowed + 2.0 * sqrt(allowed) + 2.0)


def _relative_load(ledger: Ledger, faults_at: int) -> float:
    """Returns the load of backends that warm up, relative to their capacity, over that of the others.

    It is measured from a second after the faults until all backends are warm. If there are no others, the
    result is the load divided by the capacity.
    """
    warming_up = _slow_starts(ledger)
    first, last = faults_at + SECOND, faults_at + WARMUP_NS
    work: defaultdict[str, int] = defaultdict(int)
    for entry in ledger.entries:
        if isinstance(entry, AttemptReceived) and first <= entry.at < last:
            work[entry.backend] += entry.work_ns
    slow_capacity = sum(
        start.cores * (_capacity(start, first) + _capacity(start, last)) / 2.0
        for start in warming_up.values()
    )
    slow_load = sum(work[backend] for backend in warming_up) / slow_capacity
    warm_cores = _warm_cores(ledger, warming_up.keys() | _drained(ledger, faults_at))
    if not warm_cores:
        return slow_load / (last - first)
    warm_load = sum(work[backend] for backend in warm_cores) / sum(warm_cores.values())
    return slow_load / max(1e-9, warm_load)


def _warm_cores(ledger: Ledger, excluded: set[str]) -> dict[str, float]:
    """Returns the cores of the backends that started at full capacity."""
    starts = (entry for entry in ledger.entries if isinstance(entry, BackendStarted))
    warm = {start.backend: start.cores for start in starts if start.start_capacity >= 1.0}
    return {backend: cores for backend, cores in warm.items() if backend not in excluded}


def _drained(ledger: Ledger, since: int) -> set[str]:
    """Returns the backends that were announced as not ready to some gateway after a time."""
    updates = (entry for entry in ledger.entries if isinstance(entry, EndpointAnnounced))
    return {update.backend for update in updates if update.at > since and not update.ready}
