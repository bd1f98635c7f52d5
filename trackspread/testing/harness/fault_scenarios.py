"""Scenarios on a fleet of real processes: what goes wrong, in a few lines each, and how it is judged.

Times are scaled down to what a person waits for; each scenario says what it stands for.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from ..judge.verdict import Verdict
from ..standins.rating_node import SECOND
from ..standins.scenario import Scenario
from .fleet import Fleet

Play = Callable[[Fleet, random.Random], Awaitable[None]]
BEYOND_CALM = 0.05  # of the units sent on that may lie beyond quotas on a calm fleet
LOAD = 0.35  # of what the nodes can do, asked; some 90 requests a second on nine nodes of two cores


@dataclass(frozen=True, slots=True)
class FaultScenario:
    """`play` lasts as long as it runs; before and after it nothing goes wrong for `lead` seconds."""

    name: str
    stands_for: str
    play: Play
    scenario: Scenario
    lead: float = 1.5
    relays: bool = False


@dataclass(frozen=True, slots=True)
class Outcome:
    """What came of one run."""

    fault_scenario: FaultScenario
    verdict: Verdict
    cpu_ms: float
    memory_mb: float


async def calm(fleet: Fleet, rng: random.Random) -> None:
    await asyncio.sleep(7.0)


async def half_killed(fleet: Fleet, rng: random.Random) -> None:
    count = fleet.scenario.gateways
    await fleet.restart(rng.sample(range(count), count // 2), rng.uniform(1.0, 2.0))
    await asyncio.sleep(3.0)


async def rolling_restart(fleet: Fleet, rng: random.Random) -> None:
    """By SIGTERM, one after the other: the next goes before the one before it has long been back."""
    for number in range(fleet.scenario.gateways):
        await fleet.restart([number], 0.3, outright=False)


async def rolling_deploy(fleet: Fleet, rng: random.Random) -> None:
    """Two thirds of the nodes are replaced by cold successors, one each 0.8 s."""
    nodes = rng.sample(fleet.listed(), fleet.scenario.nodes * 2 // 3)
    async with asyncio.TaskGroup() as group:
        for node in nodes:
            group.create_task(fleet.replace(node, rng.uniform(1.5, 2.5)))
            await asyncio.sleep(0.8)
    await asyncio.sleep(1.5)


async def moved(fleet: Fleet, rng: random.Random) -> None:
    for _ in range(3):
        await asyncio.sleep(2.0)
        fleet.clients.population.move(0.6)
    await asyncio.sleep(1.0)


async def partitioned(fleet: Fleet, rng: random.Random) -> None:
    fleet.wire.part(["n0"], [f"n{n}" for n in range(1, fleet.scenario.gateways)])
    await asyncio.sleep(5.0)
    fleet.wire.heal()
    await asyncio.sleep(2.0)


async def half_lost(fleet: Fleet, rng: random.Random) -> None:
    for path in fleet.wire.each(f"n{n}" for n in range(fleet.scenario.gateways)):
        path.loss = 0.5
        path.jitter = 0.05
    await asyncio.sleep(7.0)


async def rude_nodes(fleet: Fleet, rng: random.Random) -> None:
    """One node spoils answers, one resets, one says nothing for a while, one dies unheard of."""
    spoils, resets, silent, dies = rng.sample(fleet.listed(), 4)
    spoils.spoil = 0.2
    resets.reset = 0.2
    silent.silent = True
    dies.down()
    await asyncio.sleep(3.0)
    silent.silent = False
    fleet.told(dies, "terminated")
    await asyncio.sleep(3.0)


async def rough_wire(fleet: Fleet, rng: random.Random) -> None:
    """Ways to nodes are slow and cut, one node is out of reach for a while and tells nobody."""
    names = list(fleet.nodes)
    for number in range(fleet.scenario.gateways):
        for name in names:
            path = fleet.wire.between(f"n{number}", name, "tcp")
            path.delay = 0.005
            path.jitter = 0.01
    far = rng.choice(names)
    fleet.wire.part([f"n{n}" for n in range(fleet.scenario.gateways)], [far])
    for _ in range(10):
        await asyncio.sleep(0.3)
        for relay in fleet.wire.relays(f"n{rng.randrange(fleet.scenario.gateways)}", rng.choice(names)):
            relay.cut()
    fleet.wire.heal()
    await asyncio.sleep(2.0)


_SCENE = Scenario(load=LOAD, greedy=0.2, warm=6 * SECOND)
SCENARIOS: dict[str, FaultScenario] = {
    each.name: each
    for each in (
        FaultScenario("calm", "a calm minute", calm, _SCENE.changed(beyond_most=BEYOND_CALM)),
        FaultScenario(
            "half-killed", "half the gateways killed at once", half_killed, _SCENE.changed(gateways=4)
        ),
        FaultScenario("rolling-restart", "a rolling restart by SIGTERM", rolling_restart, _SCENE),
        FaultScenario("rolling-deploy", "a rolling deploy of cold nodes", rolling_deploy, _SCENE),
        FaultScenario("moved", "traffic moved between gateways at one stroke", moved, _SCENE),
        FaultScenario("partitioned", "peers partitioned for 5 s", partitioned, _SCENE),
        FaultScenario("half-lost", "half of the datagrams lost", half_lost, _SCENE.changed(gateways=4)),
        FaultScenario(
            "rough-wire", "connections to nodes slow, cut and silent", rough_wire, _SCENE, relays=True
        ),
        FaultScenario("rude-nodes", "spoilt, reset and missing answers", rude_nodes, _SCENE),
    )
}


async def run(
    fault_scenario: FaultScenario, seed: int, command: tuple[str, ...] = ("-m", "trackspread", "run")
) -> Outcome:
    """Play it once; the same seed gives the same plan, on a machine whose times are its own."""
    scenario = fault_scenario.scenario.changed(seed=seed)
    async with Fleet(scenario, command, relays=fault_scenario.relays) as fleet:
        fleet.ask()
        await asyncio.sleep(fault_scenario.lead)
        await fault_scenario.play(fleet, random.Random(f"{fault_scenario.name}:{seed}"))
        await asyncio.sleep(fault_scenario.lead)
        await fleet.settle()
        figures = fleet.figures()
        return Outcome(fault_scenario, fleet.verdict(), figures["cpu_ms"], figures["memory_mb"])
