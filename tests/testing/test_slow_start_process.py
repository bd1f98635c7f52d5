"""Tests that many gateways that start while all backends warm up share and use their capacity."""

from __future__ import annotations

import asyncio

import pytest
import uvloop

from trackspread.testing.harness.fleet import Fleet
from trackspread.testing.judge.verdict import Verdict
from trackspread.testing.standins.rating_node import SECOND
from trackspread.testing.standins.scenario import Scenario
from trackspread.testing.virtual.slow_start import overload_excess

pytestmark = pytest.mark.processes

GATEWAYS = 20
SCENARIO = Scenario(
    gateways=GATEWAYS, nodes=3, load=0.5, seed=11, warm_up_ns=300 * SECOND, overload_multiple=2.0
)
SERVED = 20  # requests served by backends that warm up during the whole run
TIMEOUT_S = 100.0  # only a hang reaches it


async def all_warming_up() -> tuple[Verdict, float]:
    async with Fleet(SCENARIO) as fleet:
        for node in fleet.nodes_in_service():
            await fleet.replace(node, 0.0)
        await fleet.restart(range(GATEWAYS), 0.1)
        fleet.start_clients()
        while fleet.clients.outcome_counts["served"] < SERVED:
            await asyncio.sleep(0.05)
        await fleet.settle()
        return fleet.verdict(), max(overload_excess(SCENARIO, fleet.ledger))


def test_twenty_gateways_share_backends_that_all_warm_up() -> None:
    verdict, worst = uvloop.run(asyncio.wait_for(all_warming_up(), TIMEOUT_S))
    assert verdict.summary.served >= SERVED
    assert worst <= 0.0
