"""Compares the gateway's CPU per request with that of a plain uvloop relay under the same closed-loop load.

Both are measured in one run. Figures are ratios to the relay, which parses and decides nothing: with 9 nodes
and 200 tenants, with 100 and 500 nodes, and with 10,000 tenants. Nodes answer at once, so that all CPU is the
gateway's own.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import tempfile
from asyncio.subprocess import DEVNULL, PIPE, Process, create_subprocess_exec
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import uvloop

from trackspread.testing.harness.gateway_process import GatewayProcess
from trackspread.testing.harness.limited_process import cpu_seconds
from trackspread.testing.judge.ledger import Ledger
from trackspread.testing.standins.backend_list import BackendList, ListedBackend
from trackspread.testing.standins.discovery_agent import DiscoveryAgent
from trackspread.testing.standins.loopback import Ports
from trackspread.testing.standins.settings import class_settings, nested_settings, plan_settings

from .closed_loop import ANSWER, Address, ClosedLoopClient, ReplyCounts, commands

CONNECTIONS = 32  # Requests in flight at any time.
WARM, SPAN, SPAN_QUICK = 1.0, 10.0, 3.5  # Seconds.
QUOTA = 60.0  # Rate per second and burst of each tenant, several times the requests that it sends.
SECOND = 1_000_000_000
SERVED = b"$5\r\nvalue\r\n"


@dataclass(frozen=True)
class Work:
    """Holds the size of one measurement; `name` is its key in the figures."""

    name: str
    nodes: int
    customers: int


WORKS = (
    Work("ratio", 9, 200),
    Work("ratio_100", 100, 200),
    Work("ratio_500", 500, 200),
    Work("ratio_10k_customers", 9, 10_000),
)


async def spawn(*words: str) -> tuple[Process, list[Address]]:
    """Starts a process of `benchmarks.closed_loop` and returns it with the addresses on which it listens."""
    process = await create_subprocess_exec(
        sys.executable, "-m", "benchmarks.closed_loop", *words, stdin=PIPE, stdout=PIPE, stderr=DEVNULL
    )
    assert process.stdout is not None
    line = await process.stdout.readline()
    return process, [(host, port) for host, port in json.loads(line)]


async def _drive(address: Address, pid: int, customers: int, end: bytes, span: float) -> tuple[float, float]:
    """Returns CPU milliseconds per request and requests per second while all connections send.

    Raises RuntimeError if a request was refused or lost, as the load would not be comparable.
    """
    loop, counts, next_command = asyncio.get_running_loop(), ReplyCounts(), commands(customers)
    made = [
        await loop.create_connection(lambda: ClosedLoopClient(next_command, counts, end), *address)
        for _ in range(CONNECTIONS)
    ]
    await asyncio.sleep(WARM)
    before, served, began = cpu_seconds(pid), counts.served, loop.time()
    await asyncio.sleep(span)
    used, count, took = cpu_seconds(pid) - before, counts.served - served, loop.time() - began
    counts.is_sending = False
    for transport, _ in made:
        transport.close()
    if counts.refused or counts.lost or not count:
        raise RuntimeError(
            f"{counts.refused} refused, {counts.lost} lost, {count} served: the load is not comparable"
        )
    return 1000 * used / count, count / took


async def _relay(nodes: list[Address], span: float) -> tuple[float, float]:
    """Returns CPU milliseconds per request and requests per second of the relay."""
    process, (address,) = await spawn("relay", ",".join(f"{host}:{port}" for host, port in nodes))
    try:
        return await _drive(address, process.pid, 200, ANSWER, span)
    finally:
        process.kill()
        await process.wait()


def _settings(quota: float, gateways: int) -> dict[str, Any]:
    """Returns settings with one class and one plan."""
    classes = [class_settings("rate-lookup", "free", "all", SECOND, 1500_000_000, SECOND)]
    wide = plan_settings("wide", quota, quota)
    return nested_settings(classes, [wide], 0, gateways, zones=("a", "b", "c"))


async def gateway(
    work: Work,
    nodes: list[Address],
    folder: Path,
    span: float,
    own: str = "",
    quota: float = QUOTA,
    gateways: int = 1,
    kind: type[GatewayProcess] = GatewayProcess,
) -> tuple[float, float]:
    """Returns CPU milliseconds per request and requests per second of one gateway.

    The gateway belongs to a fleet of `gateways`. `own` is its operator's file, and `kind` is the class that
    starts its process.
    """
    listed, ledger = BackendList(), Ledger()
    for number, address in enumerate(nodes):
        listed.put(
            ListedBackend(
                f"s-{number}", (address,), "abc"[number // 3 % 3], "m1", number // 3, "in_service", 0
            )
        )
    agent = DiscoveryAgent(listed, 0, ledger)
    await agent.start()
    ports = Ports()
    at, peers = ports.tcp(), ["{}:{}".format(*ports.udp()) for _ in range(gateways)]
    config = {
        "name": "n0",
        "listen": f"{at[0]}:{at[1]}",
        "discovery": f"{agent.address[0]}:{agent.address[1]}",
        "limits": {"memory_mb": 192, "sockets": 2048},
        "known": listed.snapshot(0),
        "peers": peers,
        "peer_listen": peers[0],
        "settings": _settings(quota, gateways),
    }
    process = kind("n0", at, config, folder, ledger, max_descriptors=2048, operator_file=own)
    await process.start()
    try:
        return await _drive(at, process.pid, work.customers, SERVED, span)
    finally:
        await process.kill()
        agent.close()


async def measure(span: float) -> dict[str, float]:
    """Returns the figures of all measurements; prints progress to standard error."""
    figures: dict[str, float] = {}
    with tempfile.TemporaryDirectory() as folder:
        for work in WORKS:
            process, nodes = await spawn("nodes", str(work.nodes))
            try:
                if work is WORKS[0]:
                    relay_ms, rate = await _relay(nodes, span)
                    figures["relay_ms"] = round(relay_ms, 4)
                    print(
                        f"relay: {relay_ms:.4f} ms CPU per request, {rate:.0f} requests per second",
                        file=sys.stderr,
                    )
                cost, rate = await gateway(work, nodes, Path(folder), span)
            finally:
                process.kill()
                await process.wait()
            figures[work.name] = round(cost / relay_ms, 2)
            print(
                f"{work.name}: {work.nodes} nodes, {work.customers} tenants: {cost:.4f} ms CPU per request, "
                f"{rate:.0f} requests per second, {cost / relay_ms:.1f} times the relay",
                file=sys.stderr,
                flush=True,
            )
    return figures


def main() -> int:
    """Prints the figures as JSON and returns the exit status."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--quick", action="store_true", help="take less than 50 s")
    given = parser.parse_args()
    print(json.dumps(uvloop.run(measure(SPAN_QUICK if given.quick else SPAN))))
    return 0


if __name__ == "__main__":
    sys.exit(main())
