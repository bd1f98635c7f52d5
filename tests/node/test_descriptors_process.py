"""Idle clients fill a process's descriptors while discovery is down: what the process itself needs is kept
free."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path

import pytest
import uvloop

from trackspread.testing.harness.gateway_process import GatewayProcess
from trackspread.testing.harness.upgradable_gateway import http_get
from trackspread.testing.judge.ledger import Ledger
from trackspread.testing.standins.backend_list import BackendList, ListedBackend
from trackspread.testing.standins.discovery_agent import DiscoveryAgent
from trackspread.testing.standins.loopback import Address, Ports

from ..fakes import Backend, Connection, call, listening, raw_config, served, soon

pytestmark = pytest.mark.processes

SOCKETS = 160  # descriptors that the system grants the process
NAMED = {"as granted": SOCKETS, "more than granted": 1024}  # those that the configuration names
CROWD = 600  # idle connections, several times as many as there are descriptors
AT_ONCE = 1.0  # s in which a call comes that finds its descriptor: a process that starts beside others lags
SECOND = 1_000_000_000


@dataclass
class Filled:
    """A gateway whose descriptors idle clients fill, and what it is seen to do."""

    gateway: GatewayProcess
    at: Address
    door: Address
    agent: DiscoveryAgent
    listed: BackendList
    backend: Backend
    population: list[socket.socket] = field(default_factory=list)
    most: int = 0  # descriptors that were open at once

    def tell(self, health: str) -> None:
        self.listed.put(ListedBackend("s-1", (("127.0.0.1", self.backend.port),), "a", "m1", 0, health, 0))

    def knock(self, count: int, words: bytes = b"") -> None:
        """So many more idle connections, at once; most may be shut unread."""
        for _ in range(count):
            made = socket.socket()
            made.setblocking(False)
            made.connect_ex(self.at)
            self.population.append(made)
        if words:
            for made in self.population[-count:]:
                with suppress(OSError):
                    made.send(words)

    async def fill(self) -> None:
        """What waits is taken in one turn of a process that stood still, and then more comes all the time."""
        self.gateway.signal(signal.SIGSTOP)
        self.knock(CROWD)
        await asyncio.sleep(0.2)
        self.gateway.signal(signal.SIGCONT)

    async def keep_full(self) -> None:
        while True:
            self.knock(10, b"*1\r\n$4\r\nPING\r\n" if len(self.population) % 20 else b"")
            await asyncio.sleep(0.02)
            for made in self.population[:-CROWD]:
                made.close()
            del self.population[:-CROWD]

    async def refused(self) -> bool:
        """Whether a request is refused, as no backend takes any. Its connection may make room for another."""
        answer = None
        while answer is None:
            client = Connection(*await asyncio.open_connection(*self.at))
            client.send(call())
            answer = await client.next()
        return str(answer).startswith("BUSY")

    async def watch(self) -> None:
        while True:
            self.most = max(self.most, len(os.listdir(f"/proc/{self.gateway.pid}/fd")))
            await asyncio.sleep(0.002)


@asynccontextmanager
async def filled(folder: Path, named: int) -> AsyncIterator[Filled]:
    listed, ports, backend = BackendList(), Ports(), Backend()
    agent = DiscoveryAgent(listed, 0, Ledger())
    await agent.start()
    async with listening(backend):
        at, control = ports.tcp(), ports.tcp()
        config = raw_config(agent.address[1])
        config["discovery"], config["listen"] = "{}:{}".format(*agent.address), "{}:{}".format(*at)
        config["control"], config["limits"] = "{}:{}".format(*control), {"sockets": named}
        gateway = GatewayProcess("n0", at, config, folder, Ledger(), max_descriptors=SOCKETS)
        made = Filled(gateway, at, control, agent, listed, backend)
        made.tell("in_service")
        await gateway.start()
        tasks = [asyncio.create_task(made.watch())]
        try:
            agent.stop_listening()
            agent.abort_watches()
            await made.fill()
            tasks.append(asyncio.create_task(made.keep_full()))
            yield made
        finally:
            for task in tasks:
                task.cancel()
            for each in made.population:
                each.close()
            print(f"descriptors open at once: {made.most} of {SOCKETS}; log: {gateway.log_tail(3)}")
            await gateway.kill()
            agent.close()
            ports.close()


@pytest.mark.parametrize("named", NAMED.values(), ids=NAMED)
def test_the_operators_door_and_attempts_find_descriptors_while_idle_clients_fill_the_rest(
    tmp_path: Path, named: int
) -> None:
    async def test() -> None:
        async with filled(tmp_path, named) as f:
            for number in range(20):
                client = Connection(*await soon(asyncio.open_connection(*f.at)))
                client.send(call(number=number))
                connection, _ = await asyncio.wait_for(f.backend.command(), AT_ONCE)
                connection.send(served(b"v"))
                assert await client.next() == b"v"
                connection.abort()  # the next attempt needs a descriptor of its own
                client.abort()
                status, _ = await asyncio.wait_for(http_get(f.door, "/stats"), AT_ONCE)
                assert status == 200
                await asyncio.sleep(0.1)
            assert f.most < SOCKETS

    uvloop.run(asyncio.wait_for(test(), 60.0))


@pytest.mark.parametrize("named", NAMED.values(), ids=NAMED)
def test_the_call_to_discovery_finds_a_descriptor_and_the_drain_told_at_its_return_is_acted_on(
    tmp_path: Path, named: int
) -> None:
    async def test() -> None:
        async with filled(tmp_path, named) as f:
            await asyncio.sleep(2.0)
            f.agent.call_times_ns.clear()
            await f.agent.start()
            f.tell("terminating")
            back = time.monotonic_ns()
            while not f.agent.call_times_ns:
                assert time.monotonic_ns() - back < AT_ONCE * SECOND
                await asyncio.sleep(0.01)
            acted = asyncio.create_task(f.refused())
            assert await asyncio.wait_for(acted, AT_ONCE), "sent on"
            assert f.most < SOCKETS
            print(f"discovery was called {(f.agent.call_times_ns[0] - back) / SECOND:.2f} s after its return")

    uvloop.run(asyncio.wait_for(test(), 60.0))
