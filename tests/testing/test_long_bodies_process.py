"""Plays long requests on real gateway processes: clients that stop half way, and upgrades, with the judge."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest
import uvloop

from trackspread.testing.harness import mutant_gateway
from trackspread.testing.harness.fault_scenarios import SCENARIOS, run
from trackspread.testing.harness.fleet import Fleet
from trackspread.testing.harness.gateway_process import RUN_COMMAND
from trackspread.testing.harness.upgradable_gateway import UpgradableGateway
from trackspread.testing.judge.verdict import Verdict
from trackspread.testing.standins.scenario import Scenario

pytestmark = pytest.mark.processes

SLOW_WRITERS = Scenario(gateways=2, nodes=6, load=0.4, seed=9, long_body_share=0.3, long_body_write_s=2.0)
MAX_RUNS = 4  # a run whose stand-ins lagged has no verdict and is repeated
TIMEOUT_S = 60.0  # only a hang reaches it


async def stopped_clients(command: tuple[str, ...]) -> Verdict:
    return (await run(SCENARIOS["stopped-clients"], 3, command)).verdict


async def upgraded(command: tuple[str, ...]) -> Verdict:
    """Upgrades each gateway while clients write long requests to it."""
    async with Fleet(SLOW_WRITERS, command, upgradable=True) as fleet:
        fleet.start_clients()
        while fleet.clients.outcome_counts["served"] < 60:
            await asyncio.sleep(0.01)
        for gateway in fleet.gateways:
            assert isinstance(gateway, UpgradableGateway)
            await gateway.upgrade()
        await fleet.settle()
        return fleet.verdict()


Play = Callable[[tuple[str, ...]], Awaitable[Verdict]]


def judged(play: Play, command: tuple[str, ...]) -> Verdict:
    for _ in range(MAX_RUNS):
        verdict = uvloop.run(asyncio.wait_for(play(command), TIMEOUT_S))
        if verdict.state != "void":
            break
    return verdict


@pytest.mark.parametrize("play", [stopped_clients, upgraded])
def test_rules_hold_for_long_requests(play: Play) -> None:
    """Guards against long requests without an answer, beside stopped clients and across an upgrade."""
    verdict = judged(play, RUN_COMMAND)
    assert verdict.violations == ()
    assert verdict.summary.served >= 60  # most of the others ask beyond their quota


@pytest.mark.parametrize(
    ("play", "name"), [(stopped_clients, "socket-bodies-wait"), (upgraded, "socket-long-input-stays")]
)
def test_judge_detects_long_requests_without_an_answer(play: Play, name: str) -> None:
    verdict = judged(play, mutant_gateway.command(name))
    assert mutant_gateway.rule(name) in verdict.broken_rules()
