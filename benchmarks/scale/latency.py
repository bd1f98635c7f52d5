"""Measures the latency that a gateway adds to a request, compared with direct requests in the same run.

A real gateway process serves 67 requests per second (480,000 over 7,200 gateways), while a full list of all
backends of its services arrives every second. The same number of requests goes directly to the same nodes,
which answer at once. The added latency is the difference of the percentiles. It does not include the view of
the fleet and messages to quota owners. `python -m benchmarks.scale.latency [--quick]` stores the result in
docs/capacity/latency.json.
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
RATE = 67.0  # Requests per second on each path.
BACKENDS = 16 * SERVICE_BACKENDS  # Of the services of a gateway.
LIST_INTERVAL_S = 1.0  # Between full lists: much shorter than in any fleet.
SPAN, SPAN_QUICK = 60.0, 15.0  # Seconds.
WARM_UP_S = 2.0  # Before the span.
CUSTOMERS = 200
QUOTA = 60.0  # Requests per second of each customer: much more than its demand.
CHECK_INTERVAL_S = 0.01  # Between two checks of this loop's own lag.
MAX_LAG_S = 0.002  # The 99th percentile; a run with more is void.
LIMIT = 0.0043  # s; the most that may be added at the 99th percentile.


class Latency(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Holds the results of one run. Times are in seconds."""

    run: Run
    void: bool
    requests: int  # On each path.
    backends: int
    lists: int
    direct: tuple[float, float]  # p50, p99
    gateway: tuple[float, float]
    lag_p99: float  # Of the measuring loop.
    load: float

    @property
    def added_p99(self) -> float:
        """Returns the difference of the 99th percentiles."""
        return self.gateway[1] - self.direct[1]

    def rows(self) -> list[tuple[str, tuple[float, float]]]:
        """Returns each name with its p50 and p99."""
        added = self.gateway[0] - self.direct[0], self.added_p99
        return [("direct", self.direct), ("by the gateway", self.gateway), ("added", added)]

    def text(self) -> str:
        """Describes the measurement for the page."""
        return (
            f"{self.requests} requests on each way at {RATE:g} a second, {self.backends} backends, "
            f"{self.lists} full lists meanwhile, load {self.load:.1f} on {os.cpu_count()} cores, the "
            f"measuring loop's lag {1000 * self.lag_p99:.1f} ms for 99 in 100."
        )


def load(path: Path = LATENCY) -> Latency | None:
    """Reads the last stored run; returns None if there is none. Raises SlopesError."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=Latency)
    except FileNotFoundError:
        return None
    except (OSError, msgspec.DecodeError) as error:
        raise SlopesError(path, "file", str(error)) from error


class FullListAgent(DiscoveryAgent):
    """Is a discovery agent that sends the full list on demand."""

    def send_full_list(self) -> None:
        """Sends the full list to every watch."""
        for watch in self._watches:
            watch.send_update(self.backend_list.snapshot(self.gateway))


class Caller(asyncio.Protocol):
    """Holds one reused connection with one call at a time."""

    def __init__(self, end: bytes, done: Callable[[Caller, float], None]) -> None:
        self._end, self._done, self._began = end, done, 0.0
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    @property
    def open(self) -> bool:
        """Returns whether it can be used again: a gateway closes connections that are idle for long."""
        return self._transport is not None and not self._transport.is_closing()

    def ask(self, command: bytes) -> None:
        """Sends one call; `done` is called at its end."""
        self._began = time.perf_counter()  # The loop's own clock counts whole ms.
        cast(asyncio.Transport, self._transport).write(command)

    def data_received(self, data: bytes) -> None:
        if not data.endswith(self._end):
            raise RuntimeError(f"answer: must end with {self._end!r}, got {data[:80]!r}")
        self._done(self, time.perf_counter() - self._began)


class CallPath:
    """Sends calls to some addresses on reused connections; `times` holds the durations within the span."""

    def __init__(self, addresses: list[Address], end: bytes, seed: int) -> None:
        self._addresses, self._end, self._rng = addresses, end, random.Random(seed)
        self._idle: list[Caller] = []
        self._one = commands(CUSTOMERS)
        self.times: list[float] = []
        self.counting = False

    async def call(self) -> None:
        """Sends one call on an idle or a new connection."""
        while self._idle and not self._idle[-1].open:
            self._idle.pop()
        if not self._idle:
            at = self._rng.choice(self._addresses)
            loop = asyncio.get_running_loop()
            _, caller = await loop.create_connection(lambda: Caller(self._end, self._on_end), *at)
            self._idle.append(caller)
        self._idle.pop().ask(self._one())

    def _on_end(self, caller: Caller, duration: float) -> None:
        self._idle.append(caller)
        if self.counting:
            self.times.append(duration)

    async def run(self, span: float) -> None:
        """Sends `RATE` calls per second at random times, independent of the duration of the answers."""
        loop = asyncio.get_running_loop()
        due, end = loop.time(), loop.time() + WARM_UP_S + span
        counted = due + WARM_UP_S
        async with asyncio.TaskGroup() as group:
            while due < end:
                due += self._rng.expovariate(RATE)
                await asyncio.sleep(max(0.0, due - loop.time()))
                self.counting = due >= counted
                group.create_task(self.call())
        await asyncio.sleep(0.5)


async def record_lag(lags: list[float]) -> None:
    """Appends the lag of this loop at each check."""
    while True:
        due = time.perf_counter() + CHECK_INTERVAL_S
        await asyncio.sleep(CHECK_INTERVAL_S)
        lags.append(max(0.0, time.perf_counter() - due))


async def send_lists(agent: FullListAgent, sent: list[int]) -> None:
    """Sends a full list at each interval, and counts them in `sent`."""
    while True:
        await asyncio.sleep(LIST_INTERVAL_S)
        agent.send_full_list()
        sent.append(1)


def percentiles(times: list[float]) -> tuple[float, float]:
    """Returns p50 and p99."""
    cuts = quantiles(times, n=100, method="inclusive")
    return cuts[49], cuts[98]


async def measure(span: float) -> Latency:
    """Runs for `span` seconds. Raises RuntimeError if a request was not served."""
    process, nodes = await spawn("nodes", str(BACKENDS))
    try:
        with tempfile.TemporaryDirectory() as folder:
            return await _measure_with_gateway(nodes, Path(folder), span)
    finally:
        process.kill()
        await process.wait()


async def _measure_with_gateway(nodes: list[Address], folder: Path, span: float) -> Latency:
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
    agent = FullListAgent(listed, 0, ledger)
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
        return await _measure_both_paths(nodes, at, agent, span)
    finally:
        await gateway.kill()
        agent.close()
        ports.close()


async def _measure_both_paths(
    nodes: list[Address], at: Address, agent: FullListAgent, span: float
) -> Latency:
    direct, by_gateway = CallPath(nodes, ANSWER, 1), CallPath([at], SERVED, 2)
    lags, sent = list[float](), list[int]()
    loop = asyncio.get_running_loop()
    tasks = [loop.create_task(record_lag(lags)), loop.create_task(send_lists(agent, sent))]
    try:
        await asyncio.gather(direct.run(span), by_gateway.run(span))
    finally:
        for task in tasks:
            task.cancel()
    late = percentiles(lags)[1]
    return Latency(
        run=this_run("python -m benchmarks.scale.latency"),
        void=late > MAX_LAG_S,
        requests=min(len(direct.times), len(by_gateway.times)),
        backends=BACKENDS,
        lists=len(sent),
        direct=percentiles(direct.times),
        gateway=percentiles(by_gateway.times),
        lag_p99=late,
        load=os.getloadavg()[0],
    )


def main() -> int:
    """Runs the command; returns exit status 1 for a void run."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--quick", action="store_true", help="runs for 15 s and stores nothing")
    quick = parser.parse_args().quick
    made = uvloop.run(measure(SPAN_QUICK if quick else SPAN))
    say(made.text())
    stored = None if quick else load()
    if not quick and not (made.void and stored is not None and not stored.void):
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
