"""Tests that a change takes effect within 6 s after discovery has it and can be reached.

This holds whatever became of the calls before. Each case has one gateway process and one agent.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import cache
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import pytest
import uvloop

from trackspread.testing.harness.gateway_process import GatewayProcess
from trackspread.testing.judge.ledger import Ledger
from trackspread.testing.standins.backend_list import BackendList, ListedBackend
from trackspread.testing.standins.discovery_agent import AgentFault, DiscoveryAgent
from trackspread.testing.standins.loopback import Address, Ports

from ..fakes import Backend, Connection, busy_listener, call, listening, raw_config, served

pytestmark = pytest.mark.processes

SECOND = 1_000_000_000
NOTIFIED_AFTER_S = 6.0  # after which a change counts as notified
REQUEST_INTERVAL_S = 0.02
DRAIN_TIMEOUT_S = 40.0  # for a case to reach its drain, over several calls that are rejected late
CASE_TIMEOUT_S = 90.0  # of a whole case: only a hang reaches it
OBSERVED_S = 8.0  # for which requests continue after the drain began
GATEWAYS = 200


@dataclass(frozen=True, slots=True)
class Case:
    """Lists the faults of one gateway's calls, with the number of calls for each.

    Discovery can be reached again, and has a drain, as soon as the last of the calls has met its fault.
    """

    name: str
    faults: tuple[tuple[AgentFault, int], ...]
    grace: int = SECOND  # grace time of a drain, in ns
    gateways: int = GATEWAYS


CASES = (
    Case("reset", ((AgentFault.RESET, 8),)),
    Case("reset, long grace", ((AgentFault.RESET, 8),), 10 * SECOND),
    Case("ended", ((AgentFault.EMPTY_ANSWER, 8),)),
    Case("ended, long grace", ((AgentFault.EMPTY_ANSWER, 8),), 10 * SECOND),
    # The wait is random: several cases, so that one that is too long shows.
    *(Case(f"error {number}", ((AgentFault.ERROR, 2),)) for number in range(5)),
    *(Case(f"kept waiting {number}", ((AgentFault.CLOSED_LATE, 2),)) for number in range(5)),
    Case("error, few gateways", ((AgentFault.ERROR, 8),), 10 * SECOND, 4),
    Case("silent", ((AgentFault.UNRESPONSIVE, 1),)),
    Case("silent after resets", ((AgentFault.RESET, 8), (AgentFault.UNRESPONSIVE, 1)), 10 * SECOND),
    Case("trickle", ((AgentFault.TRICKLE, 1),)),
)


class Stage:
    """Holds one gateway with one backend, an agent, and a client that sends requests all the time."""

    def __init__(
        self, gateway: GatewayProcess, agent: DiscoveryAgent, listed: BackendList, backend: Address
    ) -> None:
        self.gateway, self.agent = gateway, agent
        self.begun = 0  # when the drain began, in ns of the monotonic clock
        self.sent: list[int] = []  # when each request reached the backend, in the same unit
        self.drained = asyncio.Event()
        self.outage_end: asyncio.Task[None] | None = None  # ends the outage of discovery
        self._listed, self._backend = listed, backend
        self.tell("in_service")

    def tell(self, health: str) -> None:
        self._listed.put(ListedBackend("s-1", (self._backend,), "a", "m1", 0, health, 0))

    def drain(self) -> None:
        """Ends the fault of discovery, and adds a drain to its list."""
        self.agent.fault, self.begun = None, time.monotonic_ns()
        self.tell("terminating")
        self.drained.set()

    def last(self) -> float:
        """Returns when the last request reached the backend, in s after the drain began."""
        assert self.sent and self.sent[-1] >= self.begun - SECOND, "nothing was sent before the drain"
        return (self.sent[-1] - self.begun) / SECOND


async def serve(stage: Stage, backend: Backend) -> None:
    while True:
        connection, _ = await backend.commands.get()
        stage.sent.append(time.monotonic_ns())
        connection.send(served(b"v"))


async def send_requests(gateway: Address) -> None:
    """Sends requests until the gateway has ended."""
    client, number = Connection(*await asyncio.open_connection(*gateway)), 0
    answer: Any = b""
    while answer is not None:
        number += 1
        client.send(call(number=number))
        answer = await client.next()
        await asyncio.sleep(REQUEST_INTERVAL_S)


async def run_case(cause_fault: Callable[[Stage], object], grace: int, gateways: int) -> float:
    """Runs a case; returns when the last request reached the backend, in s after the drain began."""
    listed, ports, backend = BackendList(), Ports(), Backend()
    agent = DiscoveryAgent(listed, 0, Ledger())
    await agent.start()
    with TemporaryDirectory() as folder:
        async with listening(backend):
            at = ports.tcp()
            settings = {"replicasOfMe": gateways, "rules__drainGrace": grace}
            config = raw_config(agent.address[1], None, **settings)
            config["discovery"], config["listen"] = "{}:{}".format(*agent.address), "{}:{}".format(*at)
            gateway = GatewayProcess("n0", at, config, Path(folder), Ledger())
            stage = Stage(gateway, agent, listed, ("127.0.0.1", backend.port))
            await gateway.start()
            tasks = [asyncio.create_task(serve(stage, backend)), asyncio.create_task(send_requests(at))]
            try:
                await asyncio.sleep(0.5)
                cause_fault(stage)
                async with asyncio.timeout(DRAIN_TIMEOUT_S):
                    await stage.drained.wait()
                await asyncio.sleep(OBSERVED_S)
                return stage.last()
            finally:
                # The process ends first: a client that waits with a timeout may miss its cancellation.
                await gateway.kill()
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
                agent.close()
                ports.close()


def faults_in_order(case: Case) -> Callable[[Stage], None]:
    """Returns a function that gives each call its fault, and begins the drain at the last one."""

    def begin(stage: Stage) -> None:
        left = [fault for fault, count in case.faults for _ in range(count)]

        def fault_met() -> None:
            left.pop(0)
            if left:
                stage.agent.fault = left[0]
            else:
                stage.agent.on_fault = lambda: None
                stage.drain()

        stage.agent.fault, stage.agent.on_fault = left[0], fault_met
        stage.agent.abort_watches()

    return begin


def silent_watch(stage: Stage) -> None:
    stage.agent.stop_updates()
    stage.drain()


def refused(stage: Stage) -> None:
    """Refuses connections for long enough that the waits between calls reach their maximum."""
    stage.agent.stop_listening()
    stage.agent.abort_watches()
    stage.outage_end = asyncio.create_task(end_outage(stage, 5.0))


def never_comes_up(stage: Stage) -> None:
    stage.agent.stop_listening()
    stage.agent.abort_watches()
    stage.outage_end = asyncio.create_task(end_outage_after_timeouts(stage))


async def end_outage(stage: Stage, delay_s: float) -> None:
    await asyncio.sleep(delay_s)
    await stage.agent.start()
    stage.drain()


async def end_outage_after_timeouts(stage: Stage) -> None:
    with busy_listener(stage.agent.address):
        await asyncio.sleep(5.0)
    await end_outage(stage, 0.0)


OTHERS: dict[str, Callable[[Stage], None]] = {
    "silent watch": silent_watch,
    "refused": refused,
    "never comes up": never_comes_up,
}


@cache
def results() -> dict[str, float | BaseException]:
    """Returns the results of all cases, which run concurrently as they mostly wait."""
    cases_by_name = {case.name: (faults_in_order(case), case.grace, case.gateways) for case in CASES}
    cases_by_name |= {name: (cause_fault, SECOND, GATEWAYS) for name, cause_fault in OTHERS.items()}

    async def run_all() -> dict[str, float | BaseException]:
        runs = (asyncio.wait_for(run_case(*case), CASE_TIMEOUT_S) for case in cases_by_name.values())
        outcomes = await asyncio.gather(*runs, return_exceptions=True)
        return dict(zip(cases_by_name, outcomes, strict=True))

    return uvloop.run(run_all())


@pytest.mark.parametrize("name", [*(case.name for case in CASES), *OTHERS])
def test_drain_takes_effect_within_6_s(name: str) -> None:
    drain_s = results()[name]
    if isinstance(drain_s, BaseException):
        raise drain_s
    print(f"{name}: the last request was sent {drain_s:.2f} s after the drain began")
    assert drain_s <= NOTIFIED_AFTER_S
