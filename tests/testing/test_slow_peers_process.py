"""Plays peers that pause and then go on, or hang, on real gateway processes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import replace

import pytest
import uvloop

from trackspread.testing.harness.fleet import Fleet
from trackspread.testing.standins.pausing_client import read_after_pause
from trackspread.testing.judge.verdict import Verdict
from trackspread.testing.standins.scenario import CLASSES, Scenario

pytestmark = pytest.mark.processes

SCENARIO = Scenario(gateways=2, nodes=6, load=0.1)
CLIENTS = 3
REQUESTS = 12
PAUSE_S = 3.0  # peers take seconds to read

SECOND = 1_000_000_000
LONG_CLASSES = tuple(replace(each, deadline_ns=5 * SECOND) for each in CLASSES)
RESTART = Scenario(gateways=2, nodes=6, load=0.3, greedy_share=0.0, classes=LONG_CLASSES)
COPIES = Scenario(gateways=2, nodes=6, load=0.5, greedy_share=0.0)
HANGING_NODES = 3
HANG_S = 0.3  # before SIGTERM
KILL_S = 3.7  # after SIGTERM, at the earliest: it waits for 3 s of the longest deadline
COPY_CHANCE, COPY_S = 0.2, 0.005
COPIES_S = 8.0
MAX_RUNS = 4  # a run whose stand-ins lagged has no verdict and is repeated


def judged(play: Callable[[int], Coroutine[None, None, Verdict]], seed: int) -> Verdict:
    """Returns the verdict on the first run in which the stand-ins did not lag, or on the last one."""
    for _ in range(MAX_RUNS):
        verdict = uvloop.run(play(seed))
        if verdict.state != "void":
            break
    return verdict


async def answers_after_pause() -> list[list[object]]:
    async with Fleet(SCENARIO, memory_mb=96) as fleet:
        numbers = [range(REQUESTS * client, REQUESTS * (client + 1)) for client in range(CLIENTS)]
        reads = [read_after_pause(fleet.gateways[0].address, each, PAUSE_S) for each in numbers]
        return list(await asyncio.gather(*reads))


async def restart_while_nodes_hang(seed: int) -> Verdict:
    """Stops a gateway while nodes hang, kills it at the earliest, and judges it all."""
    async with Fleet(RESTART.changed(seed=seed)) as fleet:
        fleet.start_clients()
        while fleet.clients.outcome_counts["served"] < 40:
            await asyncio.sleep(0.01)
        hanging = fleet.nodes_in_service()[:HANGING_NODES]
        for node in hanging:
            node.unresponsive = True
        await asyncio.sleep(HANG_S)
        fleet.clients.closing_gateways.add(0)
        await fleet.gateways[0].end(KILL_S)
        for node in hanging:
            node.unresponsive = False
        await fleet.settle()
        return fleet.verdict()


@pytest.mark.parametrize("seed", [1, 2])
def test_sigkill_at_the_earliest_finds_no_request_unanswered_while_nodes_hang(seed: int) -> None:
    """Guards against requests whose deadline, or place behind another, outlasts the process."""
    assert judged(restart_while_nodes_hang, seed).violations == ()


async def second_copies(seed: int) -> Verdict:
    """Lets answers be followed by a copy that the node's system holds back, and judges it all."""
    async with Fleet(COPIES.changed(seed=seed)) as fleet:
        for node in fleet.nodes.values():
            node.holds_small_writes = True
            node.second_copy_chance, node.second_copy_s = COPY_CHANCE, COPY_S
        fleet.start_clients()
        await asyncio.sleep(COPIES_S)
        await fleet.settle()
        return fleet.verdict()


@pytest.mark.parametrize("seed", [1, 2])
def test_late_second_copies_of_nodes_without_nodelay_reach_no_client(seed: int) -> None:
    """Guards against a value for another request, where a copy waits for the gateway's acknowledgement."""
    verdict = judged(second_copies, seed)
    assert verdict.violations == ()
    assert verdict.summary.served >= 100


def test_clients_that_pause_for_seconds_get_all_answers_of_their_pipelines() -> None:
    """Guards against a connection that the gateway ends while its client is merely slow to read."""
    for answers in uvloop.run(answers_after_pause()):
        assert [type(answer) for answer in answers] == [bytes] * REQUESTS
