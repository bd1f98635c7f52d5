"""Tests how fast processes are ready that all restart within a second, while discovery is down for 6 s.

All are configured as part of 200 gateways; a few of these run. Each has an agent of its own, and all agents
have the same fault.
"""

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
PROCESSES = 10
RESTART_SPAN_S = 1.0  # within which all restart
OUTAGE_S = 6.0  # of discovery, from the first restart
READY_WITHIN_S = 10.0  # from its own start, for nine in ten processes
CASE_TIMEOUT_S = 40.0  # of a whole case: only a hang reaches it
# The value None means that connections are refused.
FAULTS = {
    "refused": None,
    "error": AgentFault.ERROR,
    "kept waiting": AgentFault.CLOSED_LATE,
    "reset": AgentFault.RESET,
    "ended": AgentFault.EMPTY_ANSWER,
    "silent": AgentFault.UNRESPONSIVE,
    "trickle": AgentFault.TRICKLE,
}
LISTS = ("with the list last known", "without a list")


async def startup_times(known: bool, fault: AgentFault | None) -> list[float]:
    """Returns the times, in s, that the processes took from start to ready, in rising order."""
    loop, ports, listed = asyncio.get_running_loop(), Ports(), BackendList()
    listed.put(ListedBackend("s-1", (("127.0.0.1", 1),) * PROCESSES, "a", "m1", 0, "in_service", 0))
    agents = [DiscoveryAgent(listed, number, Ledger()) for number in range(PROCESSES)]
    with TemporaryDirectory() as folder:
        gateways = []
        for number, agent in enumerate(agents):
            await agent.start()
            agent.fault = fault
            if fault is None:
                agent.stop_listening()
            at = ports.tcp()
            last = listed.snapshot(number) if known else None
            config = raw_config(agent.address[1], last, replicasOfMe=GATEWAYS)
            config["discovery"], config["listen"] = "{}:{}".format(*agent.address), "{}:{}".format(*at)
            gateways.append(GatewayProcess(f"n{number}", at, config, Path(folder), Ledger()))

        async def start(number: int) -> float:
            await asyncio.sleep(RESTART_SPAN_S * number / PROCESSES)
            began = loop.time()
            await gateways[number].start()
            return loop.time() - began

        async def end_outage() -> None:
            await asyncio.sleep(OUTAGE_S)
            for agent in agents:
                agent.fault = None
                if fault is None:
                    await agent.start()

        outage_end = asyncio.create_task(end_outage())
        try:
            return sorted(await asyncio.gather(*map(start, range(PROCESSES))))
        finally:
            outage_end.cancel()
            for gateway in gateways:
                await gateway.kill()
            for agent in agents:
                agent.close()
            ports.close()


@cache
def cached_startup_times(known: bool, fault: AgentFault | None) -> list[float]:
    return uvloop.run(asyncio.wait_for(startup_times(known, fault), CASE_TIMEOUT_S))


@pytest.mark.parametrize("name", FAULTS)
@pytest.mark.parametrize("lists", LISTS)
def test_nine_in_ten_gateways_are_ready_within_10_s(name: str, lists: str) -> None:
    times = cached_startup_times(lists == LISTS[0], FAULTS[name])
    nine = times[-(-len(times) * 9 // 10) - 1]
    print(f"{name}, {lists}: nine in ten ready after {nine:.2f} s, the last after {times[-1]:.2f} s")
    assert nine <= READY_WITHIN_S
