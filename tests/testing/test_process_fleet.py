"""Tests real gateway processes under faults with the judge, and that no process or file remains."""

from __future__ import annotations

import asyncio
import signal
import subprocess
import sys
from pathlib import Path

import pytest
import uvloop

from trackspread.testing.harness import mutant_gateway
from trackspread.testing.harness.fleet import Fleet
from trackspread.testing.judge.ledger import AttemptReceived, GatewayExited, GatewayKilled
from trackspread.testing.judge.verdict import Verdict
from trackspread.testing.standins.scenario import Scenario

pytestmark = pytest.mark.processes

SMALL = Scenario(gateways=2, nodes=3, load=0.6, seed=7)
MAX_RUNS = 4  # a run whose stand-ins lagged has no verdict and is repeated
TIMEOUT_S = 60.0  # only a hang reaches it


async def served(fleet: Fleet, more: int) -> None:
    """Waits until `more` further requests were served, whatever other outcomes there were."""
    kinds = fleet.clients.outcome_counts
    goal = kinds["served"] + more
    while kinds["served"] < goal:
        await asyncio.sleep(0.01)


def alive(pid: int) -> bool:
    try:
        return "Z" not in Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0]
    except OSError:
        return False


async def kill_and_partition() -> tuple[Verdict, list[int]]:
    async with Fleet(SMALL) as fleet:
        fleet.start_clients()
        await served(fleet, 30)
        pids = [gateway.pid for gateway in fleet.gateways]
        fleet.network.partition(["n0"], ["n1"])
        await fleet.restart([0], 0.2)
        await served(fleet, 30)
        fleet.network.heal()
        node = fleet.nodes_in_service()[0]
        await fleet.replace(node, 0.3)
        await served(fleet, 30)
        pids += [gateway.pid for gateway in fleet.gateways]
        await fleet.settle()
        return fleet.verdict(), pids


@pytest.mark.parametrize("planted", mutant_gateway.PROCESSES)
def test_mutant_gateway_starts_and_sends_attempts(planted: str) -> None:
    """A gateway that did not start would count as a detected mutant."""

    async def start() -> bool:
        async with Fleet(SMALL.changed(gateways=1, nodes=3), mutant_gateway.command(planted)) as fleet:
            fleet.start_clients()
            while not any(isinstance(entry, AttemptReceived) for entry in fleet.ledger.entries):
                await asyncio.sleep(0.01)
            return fleet.gateways[0].running

    assert uvloop.run(asyncio.wait_for(start(), TIMEOUT_S))


def test_rules_hold_with_kill_partition_and_replaced_node() -> None:
    for _ in range(MAX_RUNS):
        verdict, pids = uvloop.run(asyncio.wait_for(kill_and_partition(), TIMEOUT_S))
        assert not any(alive(pid) for pid in pids)
        if verdict.state != "void":
            break
    assert verdict.violations == ()
    assert verdict.summary.served >= 90 and verdict.summary.requests > verdict.summary.served


async def planted(name: str) -> Verdict:
    async with Fleet(SMALL.changed(load=0.8), mutant_gateway.command(name)) as fleet:
        for node in fleet.nodes_in_service():
            node.reset_chance = 0.2
        fleet.start_clients()
        await served(fleet, 60)
        await fleet.settle()
        return fleet.verdict()


@pytest.mark.parametrize("name", ["execution-forgotten", "socket-answers-lost", "socket-answers-twice"])
def test_judge_detects_a_mutant_gateway(name: str) -> None:
    verdict = uvloop.run(asyncio.wait_for(planted(name), TIMEOUT_S))
    assert mutant_gateway.rule(name) in verdict.broken_rules() and verdict.state == "broken"


def test_exception_leaves_no_process_and_no_file() -> None:
    async def test() -> tuple[list[int], Path]:
        pids: list[int] = []
        with pytest.raises(KeyError):
            async with Fleet(SMALL) as fleet:
                pids += [gateway.pid for gateway in fleet.gateways]
                folder = fleet.folder
                raise KeyError
        return pids, folder

    pids, folder = uvloop.run(test())
    assert len(pids) == 2 and not any(alive(pid) for pid in pids) and not folder.exists()


def test_gateway_ends_with_its_parent() -> None:
    """A parent that is killed by SIGKILL cannot clean up, so the kernel has to end its gateways."""
    text = (
        "import asyncio, uvloop\n"
        "from tests.testing.test_process_fleet import SMALL, Fleet\n"
        "async def starter():\n"
        "    async with Fleet(SMALL) as fleet:\n"
        "        print(*[gateway.pid for gateway in fleet.gateways], flush=True)\n"
        "        await asyncio.sleep(60)\n"
        "uvloop.run(starter())\n"
    )
    with subprocess.Popen([sys.executable, "-c", text], stdout=subprocess.PIPE, text=True) as starter:
        assert starter.stdout is not None
        pids = [int(word) for word in starter.stdout.readline().split()]
        assert len(pids) == 2 and all(alive(pid) for pid in pids)
        starter.kill()

    async def all_ended() -> None:
        while any(alive(pid) for pid in pids):
            await asyncio.sleep(0.01)

    asyncio.run(asyncio.wait_for(all_ended(), TIMEOUT_S))


def test_ledger_records_unasked_exits_and_kills() -> None:
    async def test() -> None:
        async with Fleet(SMALL) as fleet:
            first, second = fleet.gateways
            first.signal(signal.SIGQUIT)
            await second.kill()
            while not any(isinstance(e, GatewayExited) and e.gateway == "n0" for e in fleet.ledger.entries):
                await asyncio.sleep(0.01)
            assert [e.gateway for e in fleet.ledger.entries if isinstance(e, GatewayKilled)] == ["n1"]
            assert fleet.verdict().broken_rules() == {"crash"}

    uvloop.run(asyncio.wait_for(test(), TIMEOUT_S))
