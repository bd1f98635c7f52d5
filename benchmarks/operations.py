"""Measures daily operation: admin server under load, counters, reloads, upgrades and long values.

Every part runs real processes on loopback. The figures are the slowest answer of the admin server with a
saturated event loop and many connections, the counters compared with the ledger, the CPU per request relative
to an older checkout in alternating turns of one run, the memory of many long values for slow clients relative
to the limit, and upgrades under load with the oracle's verdict.
"""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any, cast

from trackspread.testing.harness.fleet import Fleet
from trackspread.testing.harness.gateway_process import GatewayProcess
from trackspread.testing.harness.upgradable_gateway import UpgradableGateway, gateway_stats
from trackspread.testing.judge.ledger import Ledger
from trackspread.testing.standins.client_population import ClientRequest
from trackspread.testing.standins.backend_list import BackendList, ListedBackend
from trackspread.testing.standins.discovery_agent import DiscoveryAgent
from trackspread.testing.standins.loopback import Address, Ports, own_address
from trackspread.testing.standins.scenario import Scenario
from trackspread.testing.standins.settings import class_settings, nested_settings, plan_settings

from .closed_loop import ClosedLoopClient, ReplyCounts, commands
from .common import run_command
from .cost import SERVED, WORKS, gateway, spawn

SECOND = 1_000_000_000
BEFORE = "dc2d7c6"  # Commit that `cpu_ratio_short` compares with, the last one without an admin server.
INCOMPLETE, HOLDERS = 120, 60  # Connections with half a command; open connections to the admin server.
CLIENTS = 32  # Clients that send without a pause.
LIMIT_MB, LONG, SLOW = 64, 4 << 20, 40  # Memory limit, bytes of a value, and number of slow clients.
LOAD = 0.35  # Part of the capacity of the stand-in nodes.


def _settings(classes: list[dict[str, Any]]) -> dict[str, Any]:
    """Returns settings with these classes and one plan without effective quota."""
    return nested_settings(classes, [plan_settings("wide", 1e6, 1e6)], 0, 1, zones=("a", "b", "c"))


def _class(name: str = "rate-lookup", repeat: str = "free") -> dict[str, Any]:
    """Returns the settings of one class."""
    return class_settings(name, repeat, "all", SECOND, 3 * SECOND, SECOND)


class SingleGateway:
    """Runs one gateway with an admin server and the given backends."""

    def __init__(self, folder: Path, backends: list[Address]) -> None:
        listed, self.ledger, self.ports = BackendList(), Ledger(), Ports()
        for number, address in enumerate(backends):
            listed.put(ListedBackend(f"s-{number}", (address,), "a", "m1", number, "in_service", 0))
        self.agent = DiscoveryAgent(listed, 0, self.ledger)
        self.folder, self.listed = folder, listed

    async def __aenter__(self) -> UpgradableGateway:
        await self.agent.start()
        at = self.ports.tcp()
        config = {
            "name": "n0",
            "listen": f"{at[0]}:{at[1]}",
            "discovery": f"{self.agent.address[0]}:{self.agent.address[1]}",
            "limits": {"memory_mb": LIMIT_MB, "sockets": 512},
            "known": self.listed.snapshot(0),
            "peers": [],
            "settings": _settings([_class(), _class("charge-post", "single_shot")]),
        }
        self.gateway = UpgradableGateway("n0", at, config, self.folder, self.ledger, 512, self.ports)
        await self.gateway.start()
        return self.gateway

    async def __aexit__(self, *_: object) -> None:
        await self.gateway.kill()
        self.agent.close()


async def admin_server_under_load(folder: Path, span: float) -> float:
    """Returns the longest milliseconds for /stats under load and with many open connections."""
    process, nodes = await spawn("nodes", "9")
    loop, counts, next_command, worst = asyncio.get_running_loop(), ReplyCounts(), commands(200), 0.0
    try:
        async with SingleGateway(folder, nodes) as running:
            clients = [
                await loop.create_connection(
                    lambda: ClosedLoopClient(next_command, counts, SERVED), *running.address
                )
                for _ in range(CLIENTS)
            ]
            held = [await asyncio.open_connection(*running.address) for _ in range(INCOMPLETE)]
            held += [await asyncio.open_connection(*running.control_address) for _ in range(HOLDERS)]
            for _, writer in held:
                writer.write(b"*4\r\n$8\r\nCALL")
            end = loop.time() + span
            while loop.time() < end:
                began = loop.time()
                await gateway_stats(running.control_address)
                worst = max(worst, loop.time() - began)
                await asyncio.sleep(0.05)
            counts.is_sending = False
            for transport, _ in clients:
                transport.close()
            for _, writer in held:
                writer.close()
    finally:
        process.kill()
        await process.wait()
    return 1000 * worst


async def reloads(folder: Path, rounds: int) -> int:
    """Reloads settings; returns the number of requests that were not treated by the settings in force."""
    process, nodes = await spawn("nodes", "3")
    wrong = 0

    async def first_byte(running: UpgradableGateway, cls: str, safe: bool) -> bytes:
        reader, writer = await asyncio.open_connection(*running.address)
        pairs = f"c={cls},t=wide,d=2000,units=1,spread=1,first=0".encode()
        words = [b"CALL.GET" if safe else b"CALL.POST", b"%016x" % 7, os.urandom(8).hex().encode(), pairs]
        words += [] if safe else [b"body"]
        writer.write(b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(w), w) for w in words))
        line = await reader.readline()
        writer.close()
        return line[:1]

    try:
        async with SingleGateway(folder, nodes) as running:
            for number in range(rounds):
                repeat = "free" if number % 2 else "single_shot"
                running.config["settings"] = _settings([_class(f"new-{number}", repeat), _class()])
                running.write_config()
                running.signal(signal.SIGHUP)
                while (await gateway_stats(running.control_address))["reloads_ok"] <= number:
                    await asyncio.sleep(0.01)
                safe = repeat == "free"
                wrong += await first_byte(running, f"new-{number}", safe) != b"$"
                wrong += await first_byte(running, f"new-{number}", not safe) != b"-"
                wrong += await first_byte(running, f"new-{number - 1}", not safe) != b"-"
    finally:
        process.kill()
        await process.wait()
    return wrong


class _Long(asyncio.Protocol):
    """Answers every command of a connection with a long value."""

    ANSWER = b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (LONG, bytes(LONG))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self._transport.write(self.ANSWER)


async def _take(address: Address, pause: float) -> tuple[float, int]:
    """Returns the seconds to the first byte of a long value, and the bytes received.

    The client waits `pause` seconds after each piece.
    """
    loop = asyncio.get_running_loop()
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 << 10)
    client.setblocking(False)
    try:
        await loop.sock_connect(client, address)
        words = [
            b"CALL.GET",
            b"%016x" % 9,
            os.urandom(8).hex().encode(),
            b"c=rate-lookup,t=wide,d=3000,units=1,spread=1,first=0",
        ]
        await loop.sock_sendall(client, b"*4\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(w), w) for w in words))
        began, first, came = loop.time(), 0.0, 0
        while came < LONG:
            data = await asyncio.wait_for(loop.sock_recv(client, 1 << 18), 30)
            if not data:
                break
            first = first or loop.time() - began
            came += len(data)
            await asyncio.sleep(pause)
        return first, came
    finally:
        client.close()


async def long_values(folder: Path) -> tuple[float, float, int]:
    """Returns peak memory over the limit, first byte time over a direct one, and incomplete values."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(_Long, own_address(), 0, backlog=256)
    at: Address = server.sockets[0].getsockname()[:2]
    try:
        async with SingleGateway(folder, [at]) as running:
            direct = statistics.median([(await _take(at, 0.0))[0] for _ in range(15)])
            through = statistics.median([(await _take(running.address, 0.0))[0] for _ in range(15)])
            came = await asyncio.gather(*(_take(running.address, 0.05) for _ in range(SLOW)))
            running.record_usage()
            return (
                running.peak_memory_bytes / (LIMIT_MB << 20),
                through / direct,
                sum(size < LONG for _, size in came),
            )
    finally:
        server.close()


async def upgrades(span: float, rounds: int) -> dict[str, float]:
    """Replaces each gateway by a new process under load, `rounds` times, and returns the figures."""
    scenario = Scenario(load=LOAD, seed=7, long_body_share=0.1, long_body_write_s=2.0)
    async with Fleet(scenario, upgradable=True) as fleet:
        held = [each for each in fleet.gateways if isinstance(each, UpgradableGateway)]
        resent = 0
        resend = fleet.clients.resend

        def counted(request: ClientRequest, request_id: str) -> None:
            nonlocal resent
            resent += 1
            resend(request, request_id)

        fleet.clients.resend = counted  # type: ignore[method-assign]
        fleet.start_clients()
        await asyncio.sleep(span)
        stats = [await gateway_stats(each.control_address) for each in held]
        served = sum(v for each in stats for k, v in each.items() if k.startswith("served."))
        error = abs(served - fleet.clients.outcome_counts["served"]) / max(1, served)
        waits = [await each.upgrade() for _ in range(rounds) for each in held]
        await asyncio.sleep(span)
        await fleet.settle()
        verdict, count = fleet.verdict(), rounds * len(held)
        for each in verdict.violations:
            print(f"{each.rule}: {each.text}", file=sys.stderr)
        return {
            "figures_error": round(error, 4),
            "upgrade_lost": fleet.clients.outcome_counts["cut"] + verdict.summary.unanswered,
            "upgrade_crossed": round(resent / count, 3),
            "upgrade_ready_s": round(max(waits), 2),
            "quota_over": round(verdict.summary.over_quota_share, 4),
            "violations": len(verdict.violations),
        }


class Older(GatewayProcess):
    """Runs a gateway of another checkout."""

    checkout = Path()

    @classmethod
    def check_out(cls, commit: str, folder: Path) -> None:
        """Extracts a commit into a folder, which later processes run."""
        folder.mkdir()
        archive = subprocess.run(["git", "archive", commit], capture_output=True, check=True)
        subprocess.run(["tar", "-x", "-C", str(folder)], input=archive.stdout, check=True)
        cls.checkout = folder

    async def start(self) -> None:
        """Starts the process in the folder of the checkout."""
        here = os.getcwd()
        os.chdir(self.checkout)
        try:
            await super().start()
        finally:
            os.chdir(here)


async def cpu_ratio(folder: Path, span: float, rounds: int, commit: str = BEFORE) -> float:
    """Returns CPU per request for short values relative to that of `commit`, measured in alternating turns.

    Single turns differ by a half on a noisy machine, in either direction, so all turns of each are added up.
    """
    Older.check_out(commit, folder / "before")
    process, nodes = await spawn("nodes", "9")
    spent = {Older: 0.0, GatewayProcess: 0.0}
    try:
        for _ in range(rounds):
            for kind in spent:
                spent[kind] += (await gateway(WORKS[0], nodes, folder, span, kind=kind))[0]
    finally:
        process.kill()
        await process.wait()
    return spent[GatewayProcess] / spent[Older]


async def measure(quick: bool) -> dict[str, float]:
    """Returns all figures; prints progress to standard error."""
    figures: dict[str, float] = {}
    with tempfile.TemporaryDirectory() as name:
        for part in ("admin", "reload", "long", "cpu"):
            (folder := Path(name) / part).mkdir()
            began = time.monotonic()
            match part:
                case "admin":
                    figures["stats_worst_ms"] = round(
                        await admin_server_under_load(folder, 3.0 if quick else 15.0), 1
                    )
                case "reload":
                    figures["reload_wrong"] = await reloads(folder, 8 if quick else 60)
                case "long":
                    peak, first, short = await long_values(folder)
                    figures |= {
                        "peak_memory_ratio": round(peak, 3),
                        "first_byte_ratio": round(first, 2),
                        "long_short": short,
                    }
                case _:
                    ratio = await cpu_ratio(folder, 1.0 if quick else 3.0, 5 if quick else 12)
                    figures["cpu_ratio_short"] = round(ratio, 3)
            print(f"{part}: {time.monotonic() - began:.1f} s", file=sys.stderr, flush=True)
    figures |= await upgrades(1.5 if quick else 5.0, 1 if quick else 3)
    return figures


if __name__ == "__main__":
    sys.exit(run_command(__doc__, measure))
