"""Processes that all restart within a second, while discovery is down for 6 s: nine in ten are ready within
10 s.

All count themselves among 200 gateways; a few of these are played. Each has an agent of its own, and all
agents are in the same trouble."""

from __future__ import annotations

import asyncio
from functools import cache
from pathlib import Path
from tempfile import TemporaryDirectory

import pytest
import uvloop

from trackspread.testing.harness.gateway_process import GatewayProcess
from trackspread.testing.judge.ledger import Ledger
from trackspread.testing.standins.backend_list import BackendList, ListedBackend
from trackspread.testing.standins.discovery_agent import AgentFault, DiscoveryAgent
from trackspread.testing.standins.loopback import Ports

from ..fakes import raw_config

pytestmark = pytest.mark.processes

GATEWAYS = 200
PLAYED = 10
TOGETHER = 1.0  # s within which all restart
DOWN = 6.0  # s from the first restart on for which discovery is down
READY = 10.0  # s from its own start within which nine in ten are ready
MOST = 40.0  # s for a case in all: only a hang reaches it
# None: connections are refused.
TROUBLES = {
    "refused": None,
    "error": AgentFault.ERROR,
    "kept waiting": AgentFault.CLOSED_LATE,
    "reset": AgentFault.RESET,
    "ended": AgentFault.EMPTY_ANSWER,
    "silent": AgentFault.UNRESPONSIVE,
    "trickle": AgentFault.TRICKLE,
}
LISTS = ("with the list last known", "without a list")


async def took(known: bool, trouble: AgentFault | None) -> list[float]:
    """s from its start that each process took until it answered a ping as one that can serve."""
    loop, ports, listed = asyncio.get_running_loop(), Ports(), BackendList()
    listed.put(ListedBackend("s-1", (("127.0.0.1", 1),) * PLAYED, "a", "m1", 0, "in_service", 0))
    agents = [DiscoveryAgent(listed, number, Ledger()) for number in range(PLAYED)]
    with TemporaryDirectory() as folder:
        gateways = []
        for number, agent in enumerate(agents):
            await agent.start()
            agent.fault = trouble
            if trouble is None:
                agent.stop_listening()
            at = ports.tcp()
            last = listed.snapshot(number) if known else None
            config = raw_config(agent.address[1], last, replicasOfMe=GATEWAYS)
            config["discovery"], config["listen"] = "{}:{}".format(*agent.address), "{}:{}".format(*at)
            gateways.append(GatewayProcess(f"n{number}", at, config, Path(folder), Ledger()))

        async def start(number: int) -> float:
            await asyncio.sleep(TOGETHER * number / PLAYED)
            began = loop.time()
            await gateways[number].start()
            return loop.time() - began

        async def back() -> None:
            await asyncio.sleep(DOWN)
            for agent in agents:
                agent.fault = None
                if trouble is None:
                    await agent.start()

        returns = asyncio.create_task(back())
        try:
            return sorted(await asyncio.gather(*map(start, range(PLAYED))))
        finally:
            returns.cancel()
            for gateway in gateways:
                await gateway.kill()
            for agent in agents:
                agent.close()
            ports.close()


@cache
def measured(known: bool, trouble: AgentFault | None) -> list[float]:
    return uvloop.run(asyncio.wait_for(took(known, trouble), MOST))


@pytest.mark.parametrize("name", TROUBLES)
@pytest.mark.parametrize("lists", LISTS)
def test_nine_in_ten_gateways_are_ready_within_10_s(name: str, lists: str) -> None:
    times = measured(lists == LISTS[0], TROUBLES[name])
    nine = times[-(-len(times) * 9 // 10) - 1]
    print(f"{name}, {lists}: nine in ten ready after {nine:.2f} s, the last after {times[-1]:.2f} s")
    assert nine <= READY
