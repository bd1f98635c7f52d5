"""A change is acted on within 6 s of the moment at which discovery had it and could be reached, whatever
became of the calls before: one process of a gateway in each case, at an agent of its own."""

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
TOLD = 6.0  # s after which a change counts as told
ASKED = 0.02  # s between requests
PATIENCE = 40.0  # s for a case to come to its drain: several calls that are turned away late
MOST = 90.0  # s for a case in all: only a hang reaches it
AFTER = 8.0  # s that requests go on after the drain began
GATEWAYS = 200


@dataclass(frozen=True, slots=True)
class Case:
    """What becomes of the calls of one gateway: so many of each kind; discovery is reached again, and has a
    drain, in the moment in which the last of them has come to its trouble."""

    name: str
    troubles: tuple[tuple[AgentFault, int], ...]
    grace: int = SECOND  # ns of a drain
    gateways: int = GATEWAYS


CASES = (
    Case("reset", ((AgentFault.RESET, 8),)),
    Case("reset, long grace", ((AgentFault.RESET, 8),), 10 * SECOND),
    Case("ended", ((AgentFault.EMPTY_ANSWER, 8),)),
    Case("ended, long grace", ((AgentFault.EMPTY_ANSWER, 8),), 10 * SECOND),
    # The wait is drawn: more than one, so that one that is too long shows.
    *(Case(f"error {number}", ((AgentFault.ERROR, 2),)) for number in range(5)),
    *(Case(f"kept waiting {number}", ((AgentFault.CLOSED_LATE, 2),)) for number in range(5)),
    Case("error, few gateways", ((AgentFault.ERROR, 8),), 10 * SECOND, 4),
    Case("silent", ((AgentFault.UNRESPONSIVE, 1),)),
    Case("silent after resets", ((AgentFault.RESET, 8), (AgentFault.UNRESPONSIVE, 1)), 10 * SECOND),
    Case("trickle", ((AgentFault.TRICKLE, 1),)),
)


class Stage:
    """One gateway with one backend, an agent, and a client that asks again and again."""

    def __init__(
        self, gateway: GatewayProcess, agent: DiscoveryAgent, listed: BackendList, backend: Address
    ) -> None:
        self.gateway, self.agent = gateway, agent
        self.begun = 0  # ns of the monotonic clock at which the drain began
        self.sent: list[int] = []  # of the same, at which each request came to the backend
        self.drained = asyncio.Event()
        self.back: asyncio.Task[None] | None = None  # has discovery return
        self._listed, self._backend = listed, backend
        self.tell("in_service")

    def tell(self, health: str) -> None:
        self._listed.put(ListedBackend("s-1", (self._backend,), "a", "m1", 0, health, 0))

    def drain(self) -> None:
        """Discovery can be reached, and has a drain."""
        self.agent.fault, self.begun = None, time.monotonic_ns()
        self.tell("terminating")
        self.drained.set()

    def last(self) -> float:
        """s after the drain's beginning at which the last request came to the backend."""
        assert self.sent and self.sent[-1] >= self.begun - SECOND, "nothing was sent before the drain"
        return (self.sent[-1] - self.begun) / SECOND


async def serve(stage: Stage, backend: Backend) -> None:
    while True:
        connection, _ = await backend.commands.get()
        stage.sent.append(time.monotonic_ns())
        connection.send(served(b"v"))


async def ask(gateway: Address) -> None:
    """Until the gateway has ended."""
    client, number = Connection(*await asyncio.open_connection(*gateway)), 0
    answer: Any = b""
    while answer is not None:
        number += 1
        client.send(call(number=number))
        answer = await client.next()
        await asyncio.sleep(ASKED)


async def staged(trouble: Callable[[Stage], object], grace: int, gateways: int) -> float:
    """Plays a case; s from the drain's beginning to the last request that came to the backend."""
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
            tasks = [asyncio.create_task(serve(stage, backend)), asyncio.create_task(ask(at))]
            try:
                await asyncio.sleep(0.5)
                trouble(stage)
                async with asyncio.timeout(PATIENCE):
                    await stage.drained.wait()
                await asyncio.sleep(AFTER)
                return stage.last()
            finally:
                # First the process: a client that waits for its answer with a limit may miss its cancelling.
                await gateway.kill()
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
                agent.close()
                ports.close()


def in_turn(case: Case) -> Callable[[Stage], None]:
    """Each call comes to its trouble, and the drain begins with the last of them."""

    def begin(stage: Stage) -> None:
        left = [trouble for trouble, count in case.troubles for _ in range(count)]

        def troubled() -> None:
            left.pop(0)
            if left:
                stage.agent.fault = left[0]
            else:
                stage.agent.on_fault = lambda: None
                stage.drain()

        stage.agent.fault, stage.agent.on_fault = left[0], troubled
        stage.agent.abort_watches()

    return begin


def silent_watch(stage: Stage) -> None:
    stage.agent.stop_updates()
    stage.drain()


def refused(stage: Stage) -> None:
    """Long enough for the waits between calls to be at their longest."""
    stage.agent.stop_listening()
    stage.agent.abort_watches()
    stage.back = asyncio.create_task(again(stage, 5.0))


def never_comes_up(stage: Stage) -> None:
    stage.agent.stop_listening()
    stage.agent.abort_watches()
    stage.back = asyncio.create_task(crowded(stage))


async def again(stage: Stage, away: float) -> None:
    await asyncio.sleep(away)
    await stage.agent.start()
    stage.drain()


async def crowded(stage: Stage) -> None:
    with busy_listener(stage.agent.address):
        await asyncio.sleep(5.0)
    await again(stage, 0.0)


OTHERS: dict[str, Callable[[Stage], None]] = {
    "silent watch": silent_watch,
    "refused": refused,
    "never comes up": never_comes_up,
}


@cache
def measured() -> dict[str, float | BaseException]:
    """All cases, side by side: each is little work and much waiting."""
    plays = {case.name: (in_turn(case), case.grace, case.gateways) for case in CASES}
    plays |= {name: (trouble, SECOND, GATEWAYS) for name, trouble in OTHERS.items()}

    async def play() -> dict[str, float | BaseException]:
        cases = (asyncio.wait_for(staged(*how), MOST) for how in plays.values())
        made = await asyncio.gather(*cases, return_exceptions=True)
        return dict(zip(plays, made, strict=True))

    return uvloop.run(play())


@pytest.mark.parametrize("name", [*(case.name for case in CASES), *OTHERS])
def test_drain_takes_effect_within_6_s(name: str) -> None:
    took = measured()[name]
    if isinstance(took, BaseException):
        raise took
    print(f"{name}: the last request was sent {took:.2f} s after the drain began")
    assert took <= TOLD
