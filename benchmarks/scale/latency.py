"""Latency that a gateway adds to a request, beside a direct call, both in one run.

A real gateway process serves 67 requests a second (480,000 over 7,200 gateways) while a full list of all its
services' backends arrives every second; as many go straight to the same nodes, which answer at once. What is
added is the difference of the percentiles. The fleet's view and asks to customers' homes are not in it.
`python -m benchmarks.scale.latency [--quick]` keeps the result in docs/capacity/latency.json.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from statistics import quantiles
from typing import cast

import msgspec
import uvloop

from benchmarks.closed_loop import ANSWER, Address, commands
from benchmarks.common import say
from benchmarks.cost import SERVED, _settings, spawn
from trackspread.testing.harness.gateway_process import GatewayProcess
from trackspread.testing.judge.ledger import Ledger
from trackspread.testing.standins.backend_list import BackendList, ListedBackend
from trackspread.testing.standins.discovery_agent import DiscoveryAgent
from trackspread.testing.standins.loopback import Ports

from .module import SERVICE_BACKENDS, this_run
from .slopes import SLOPES, Run, SlopesError

LATENCY = SLOPES.with_name("latency.json")
RATE = 67.0  # requests a second, on each way
BACKENDS = 16 * SERVICE_BACKENDS  # of the services that a gateway carries
LIST_EVERY = 1.0  # s between full lists: far more often than any fleet brings them
SPAN, SPAN_QUICK = 60.0, 15.0  # s
WARM = 2.0  # s before the span
CUSTOMERS = 200
QUOTA = 60.0  # requests a second of each customer: far over what it asks for
BEAT = 0.01  # s between looks at this loop's own lag
LAG_MOST = 0.002  # s for 99 in 100 of them; over it the run is void
LIMIT = 0.0043  # s that may be added for 99 in 100


class Latency(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One run. Times in s."""

    run: Run
    void: bool
    requests: int  # on each way
    backends: int
    lists: int
    direct: tuple[float, float]  # p50, p99
    gateway: tuple[float, float]
    lag_p99: float  # of the measuring loop
    load: float

    @property
    def added_p99(self) -> float:
        """The difference of the 99th percentiles."""
        return self.gateway[1] - self.direct[1]

    def rows(self) -> list[tuple[str, tuple[float, float]]]:
        """Name, and p50 and p99."""
        added = self.gateway[0] - self.direct[0], self.added_p99
        return [("direct", self.direct), ("by the gateway", self.gateway), ("added", added)]

    def text(self) -> str:
        """How it was measured, for people."""
        return (
            f"{self.requests} requests on each way at {RATE:g} a second, {self.backends} backends, "
            f"{self.lists} full lists meanwhile, load {self.load:.1f} on {os.cpu_count()} cores, the "
            f"measuring loop's lag {1000 * self.lag_p99:.1f} ms for 99 in 100."
        )


def load(path: Path = LATENCY) -> Latency | None:
    """The last run that was kept; None without one. Raises SlopesError."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=Latency)
    except FileNotFoundError:
        return None
    except (OSError, msgspec.DecodeError) as error:
        raise SlopesError(path, "file", str(error)) from error


class WholeAgent(DiscoveryAgent):
    """An agent that tells the whole list whenever it is asked to."""

    def whole(self) -> None:
        """To every watch."""
        for watch in self._watches:
            watch.send_update(self.backend_list.snapshot(self.gateway))


class Caller(asyncio.Protocol):
    """One kept connection, one call at a time."""

    def __init__(self, end: bytes, done: Callable[[Caller, float], None]) -> None:
        self._end, self._done, self._began = end, done, 0.0
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    @property
    def open(self) -> bool:
        """Whether it can be used again: a gateway closes connections that rest for long."""
        return self._transport is not None and not self._transport.is_closing()

    def ask(self, command: bytes) -> None:
        """One call; `done` is told of its end."""
        self._began = time.perf_counter()  # the loop's own clock counts whole ms
        cast(asyncio.Transport, self._transport).write(command)

    def data_received(self, data: bytes) -> None:
        if not data.endswith(self._end):
            raise RuntimeError(f"found {data[:80]!r}, wanted a served answer: no fair work")
        self._done(self, time.perf_counter() - self._began)


class Way:
    """Calls to one of some addresses, each on a kept connection; `times` are those of the span."""

    def __init__(self, addresses: list[Address], end: bytes, seed: int) -> None:
        self._addresses, self._end, self._rng = addresses, end, random.Random(seed)
        self._idle: list[Caller] = []
        self._one = commands(CUSTOMERS)
        self.times: list[float] = []
        self.counting = False

    async def call(self) -> None:
        """One call, on a connection that rests or a new one."""
        while self._idle and not self._idle[-1].open:
            self._idle.pop()
        if not self._idle:
            at = self._rng.choice(self._addresses)
            loop = asyncio.get_running_loop()
            _, caller = await loop.create_connection(lambda: Caller(self._end, self._ended), *at)
            self._idle.append(caller)
        self._idle.pop().ask(self._one())

    def _ended(self, caller: Caller, took: float) -> None:
        self._idle.append(caller)
        if self.counting:
            self.times.append(took)

    async def run(self, span: float) -> None:
        """Calls at chance moments, `RATE` a second, whatever the answers take."""
        loop = asyncio.get_running_loop()
        due, end = loop.time(), loop.time() + WARM + span
        counted = due + WARM
        async with asyncio.TaskGroup() as group:
            while due < end:
                due += self._rng.expovariate(RATE)
                await asyncio.sleep(max(0.0, due - loop.time()))
                self.counting = due >= counted
                group.create_task(self.call())
        await asyncio.sleep(0.5)


async def lag(lags: list[float]) -> None:
    """Notes how late this loop is at each beat."""
    while True:
        due = time.perf_counter() + BEAT
        await asyncio.sleep(BEAT)
        lags.append(max(0.0, time.perf_counter() - due))


async def lists(agent: WholeAgent, told: list[int]) -> None:
    """A full list every so often."""
    while True:
        await asyncio.sleep(LIST_EVERY)
        agent.whole()
        told.append(1)


def percentiles(times: list[float]) -> tuple[float, float]:
    """p50 and p99."""
    cuts = quantiles(times, n=100, method="inclusive")
    return cuts[49], cuts[98]


async def measure(span: float) -> Latency:
    """One run of so many s. Raises RuntimeError where a request was not served."""
    process, nodes = await spawn("nodes", str(BACKENDS))
    try:
        with tempfile.TemporaryDirectory() as folder:
            return await _beside(nodes, Path(folder), span)
    finally:
        process.kill()
        await process.wait()


async def _beside(nodes: list[Address], folder: Path, span: float) -> Latency:
    listed, ledger, ports = BackendList(), Ledger(), Ports()
    for number, address in enumerate(nodes):
        listed.put(
            ListedBackend(
                f"s-{number}",
                (address,),
                "abc"[number % 3],
                "m1",
                number // SERVICE_BACKENDS,
                "in_service",
                0,
            )
        )
    agent = WholeAgent(listed, 0, ledger)
    await agent.start()
    at, peer = ports.tcp(), "{}:{}".format(*ports.udp())
    config = {
        "name": "n0",
        "listen": f"{at[0]}:{at[1]}",
        "discovery": f"{agent.address[0]}:{agent.address[1]}",
        "limits": {"memory_mb": 192, "sockets": 1024},
        "known": listed.snapshot(0),
        "peers": [peer],
        "peer_listen": peer,
        "settings": _settings(QUOTA, 1),
    }
    gateway = GatewayProcess("n0", at, config, folder, ledger, max_descriptors=1024)
    await gateway.start()
    try:
        return await _both(nodes, at, agent, span)
    finally:
        await gateway.kill()
        agent.close()
        ports.close()


async def _both(nodes: list[Address], at: Address, agent: WholeAgent, span: float) -> Latency:
    direct, by_gateway = Way(nodes, ANSWER, 1), Way([at], SERVED, 2)
    lags, told = list[float](), list[int]()
    loop = asyncio.get_running_loop()
    beside = [loop.create_task(lag(lags)), loop.create_task(lists(agent, told))]
    try:
        await asyncio.gather(direct.run(span), by_gateway.run(span))
    finally:
        for task in beside:
            task.cancel()
    late = percentiles(lags)[1]
    return Latency(
        run=this_run("python -m benchmarks.scale.latency"),
        void=late > LAG_MOST,
        requests=min(len(direct.times), len(by_gateway.times)),
        backends=BACKENDS,
        lists=len(told),
        direct=percentiles(direct.times),
        gateway=percentiles(by_gateway.times),
        lag_p99=late,
        load=os.getloadavg()[0],
    )


def main() -> int:
    """Exit status: 1 for a run that is void."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--quick", action="store_true", help="15 s, and nothing is kept")
    quick = parser.parse_args().quick
    made = uvloop.run(measure(SPAN_QUICK if quick else SPAN))
    say(made.text())
    kept = None if quick else load()
    if not quick and not (made.void and kept is not None and not kept.void):
        LATENCY.write_bytes(msgspec.json.format(msgspec.json.encode(made), indent=2) + b"\n")
    print(
        json.dumps(
            {
                "added_p99_ms": round(1000 * made.added_p99, 3),
                "void": made.void,
                **{name: [round(1000 * value, 3) for value in pair] for name, pair in made.rows()},
            }
        )
    )
    return int(made.void)


if __name__ == "__main__":
    sys.exit(main())
