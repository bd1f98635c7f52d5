"""Cold backends before many gateways in virtual time: what all of them together send to each one.

May know: the virtual fleet's handles, the ledger. May not know: what the module decides or why.
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
REPLACED = 2  # drain and have a successor under another name
RETURNED = 2  # die and come back under the same name
LEAST_GATEWAYS, MOST_GATEWAYS = 20, 32
CALM = 3 * SECOND  # before anything happens: gateways learn what warm backends carry
RAMP = 6 * SECOND  # from a start until the backend is warm
SPAN = CALM + RAMP + SECOND
BURST = 1.5  # times of the usual asking while backends are cold


class SlowStartRun(msgspec.Struct, frozen=True):
    """What came of one run. `worst_excess`: requests of mean work that one cold backend got in a window, less
    N + 2 x root of N + 2. `used`: load of cold backends for what they can do at the time, over the warm
    ones' load. `served`: of what was served, refused with room, failed or left unanswered. `violations`: of
    the other rules; the judge allows no chance at cold backends."""

    gateways: int
    worst_excess: float
    used: float
    served: float
    violations: frozenset[str]


class LastingScenario(Scenario):
    """A scenario whose backends never fall, so that all is counted that gateways send them."""

    def rating_node(
        self, spec: NodeSpec, pods: dict[int, IdempotencyCache], now: int, cold: bool
    ) -> RatingNode:
        node = super().rating_node(spec, pods, now, cold)
        node.overload_multiple = inf
        return node


def scenario(seed: int) -> Scenario:
    """Another fleet for each seed: its gateways, its window, its multiple, its start and its load."""
    rng = random.Random(f"ramp-scene:{seed}")
    return LastingScenario(
        gateways=rng.randint(LEAST_GATEWAYS, MOST_GATEWAYS),
        nodes=NODES,
        load=rng.uniform(0.5, 0.7),
        greedy_share=0.2,
        seed=seed,
        warm_up_ns=RAMP,
        initial_capacity=rng.uniform(0.15, 0.35),
        overload_window_ns=rng.choice([SECOND // 2, SECOND, 3 * SECOND]),
        overload_multiple=rng.choice([2.0, 3.0]),
    )


def play(seed: int) -> SlowStartRun:
    """Some backends are replaced and others come back cold, under a burst, while gateways die, start and are
    cut off from the others. The same seed gives the same run."""
    return _run(seed, _trouble)


def play_none_warm(seed: int) -> SlowStartRun:
    """All backends come back cold, one after the other, while half of the gateways start anew."""
    return _run(seed, _all_cold)


def _run(seed: int, trouble: Callable[[VirtualFleet, random.Random], None]) -> SlowStartRun:
    world = scenario(seed)
    fleet = VirtualFleet(world, seed)
    since = fleet.clock.now + CALM
    fleet.clock.at(since, partial(trouble, fleet, random.Random(f"ramp:{seed}")))
    fleet.run(SPAN)
    verdict = judge(world.world(), fleet.ledger.entries)
    figures = verdict.figures
    due = figures.served + figures.refused_with_room + figures.failed + figures.unanswered
    return SlowStartRun(
        world.gateways,
        max(excess(world, fleet.ledger), default=-inf),
        _used(fleet.ledger, since),
        figures.served / max(1, due),
        frozenset(verdict.broken() - {"cold"}),
    )


def _trouble(fleet: VirtualFleet, rng: random.Random) -> None:
    fleet.population.rate_multiple = BURST
    nodes = rng.sample(list(fleet.nodes.values()), REPLACED + RETURNED)
    for node in nodes[:REPLACED]:
        _replace(fleet, node)
    for node in nodes[REPLACED:]:
        fleet.down(node)
        fleet.clock.after(rng.randint(100, 500) * MILLISECOND, partial(fleet.boot, node.spec, True))
    positions = rng.sample(range(fleet.scenario.gateways), fleet.scenario.gateways // 2)
    third = len(positions) // 3
    for position in positions[:third]:
        at = rng.randint(0, 2000) * MILLISECOND
        fleet.clock.after(at, partial(fleet.kill, position))
        fleet.clock.after(at + rng.randint(300, 1500) * MILLISECOND, partial(fleet.start, position))
    for position in positions[third : 2 * third]:
        fleet.clock.after(rng.randint(0, 3000) * MILLISECOND, partial(fleet.kill, position))
    for position in positions[2 * third :]:
        fleet.clock.after(rng.randint(0, 2000) * MILLISECOND, partial(_cut_off, fleet, position))


def _all_cold(fleet: VirtualFleet, rng: random.Random) -> None:
    for node in list(fleet.nodes.values()):
        fleet.clock.after(rng.randint(0, 1000) * MILLISECOND, partial(_come_back, fleet, node))
    for position in rng.sample(range(fleet.scenario.gateways), fleet.scenario.gateways // 2):
        at = rng.randint(0, 1500) * MILLISECOND
        fleet.clock.after(at, partial(fleet.kill, position))
        fleet.clock.after(at + 500 * MILLISECOND, partial(fleet.start, position))


def _come_back(fleet: VirtualFleet, node: Node) -> None:
    fleet.down(node)
    fleet.clock.after(200 * MILLISECOND, partial(fleet.boot, node.spec, True))


def _replace(fleet: VirtualFleet, node: Node) -> None:
    fleet.boot(fleet.scenario.successor(node.spec), True)
    fleet.drain(node)
    fleet.clock.after(2 * SECOND, partial(fleet.remove, node))


def _cut_off(fleet: VirtualFleet, position: int) -> None:
    """No gateway hears it, nor it another; clients and backends reach it as before."""
    others = range(fleet.scenario.gateways)
    fleet.apart |= {frozenset((position, other)) for other in others if other != position}


def _cold_starts(ledger: Ledger) -> dict[str, BackendStarted]:
    return {e.backend: e for e in ledger.entries if isinstance(e, BackendStarted) and e.start < 1.0}


def _part(start: BackendStarted, at: int) -> float:
    return start.start + (1.0 - start.start) * min(1.0, (at - start.at) / start.warm)


def excess(world: Scenario, ledger: Ledger) -> Iterator[float]:
    """At each request for a cold backend: what came in the window that ends then, over what may come."""
    mean = sum(c.share * c.work_ns for c in world.classes) / sum(c.share for c in world.classes)
    starts = _cold_starts(ledger)
    recent: dict[str, deque[tuple[int, float]]] = {backend: deque() for backend in starts}
    sent = sorted((e for e in ledger.entries if isinstance(e, AttemptReceived)), key=lambda e: e.at)
    for each in sent:
        start = starts.get(each.backend)
        if start is None or not start.at <= each.at < start.at + start.warm:
            continue
        window = recent[each.backend]
        window.append((each.at, each.work / mean))
        while window[0][0] <= each.at - world.overload_window_ns:
            window.popleft()
        able = start.cores * _part(start, each.at) * world.overload_window_ns / mean
        allowed = world.overload_multiple * able
        yield sum(work for _, work in window) - (allowed + 2.0 * sqrt(allowed) + 2.0)


def _used(ledger: Ledger, since: int) -> float:
    """Load of cold backends for what they can do, as part of the warm ones' load, between a second after
    the trouble and its end."""
    starts = _cold_starts(ledger)
    first, last = since + SECOND, since + RAMP
    work: defaultdict[str, int] = defaultdict(int)
    for each in ledger.entries:
        if isinstance(each, AttemptReceived) and first <= each.at < last:
            work[each.backend] += each.work
    steady = {e.backend: e.cores for e in ledger.entries if isinstance(e, BackendStarted) and e.start >= 1.0}
    left = _left(ledger, since)
    steady = {backend: cores for backend, cores in steady.items() if backend not in starts.keys() | left}
    cold_able = sum(s.cores * (_part(s, first) + _part(s, last)) / 2.0 for s in starts.values())
    cold = sum(work[backend] for backend in starts) / cold_able
    if not steady:
        return cold / (last - first)
    return cold / max(1e-9, sum(work[backend] for backend in steady) / sum(steady.values()))


def _left(ledger: Ledger, since: int) -> set[str]:
    """Backends that were taken off the list since then."""
    return {
        e.backend for e in ledger.entries if isinstance(e, EndpointAnnounced) and e.at > since and not e.ready
    }
