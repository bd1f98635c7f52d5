"""Day-to-day operation: the door under load, figures, settings that change, new versions, long values.

Every part runs real processes on loopback. Figures: the worst answer of the door with the loop saturated and
a population connected; figures against the ledger; CPU a request beside an older checkout, alternating in one
run; memory of many long values at slow clients against the limit; upgrades under load, judged.
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
BEFORE = "dc2d7c6"  # what `cpu_ratio_short` compares with: the last commit without a door
CROWD, HOLDERS = 120, 60  # connections that stop half way, callers of the door that hold on
ASKERS = 32  # clients that ask without a pause
LIMIT_MB, LONG, SLOW = 64, 4 << 20, 40  # memory limit, bytes of a value, slow clients at once
LOAD = 0.35  # of what the stand-ins' nodes can do


def _settings(classes: list[dict[str, Any]]) -> dict[str, Any]:
    return nested_settings(classes, [plan_settings("wide", 1e6, 1e6)], 0, 1, zones=("a", "b", "c"))


def _class(name: str = "rate-lookup", repeat: str = "free") -> dict[str, Any]:
    return class_settings(name, repeat, "all", SECOND, 3 * SECOND, SECOND)


class One:
    """One gateway with a door before some backends."""

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
        self.made = UpgradableGateway("n0", at, config, self.folder, self.ledger, 512, self.ports)
        await self.made.start()
        return self.made

    async def __aexit__(self, *_: object) -> None:
        await self.made.kill()
        self.agent.close()


async def door_under_load(folder: Path, span: float) -> float:
    """Worst ms of /stats while all connections ask without a pause, a crowd rests and callers hold on."""
    process, nodes = await spawn("nodes", "9")
    loop, counts, one, worst = asyncio.get_running_loop(), ReplyCounts(), commands(200), 0.0
    try:
        async with One(folder, nodes) as made:
            asking = [
                await loop.create_connection(lambda: ClosedLoopClient(one, counts, SERVED), *made.address)
                for _ in range(ASKERS)
            ]
            held = [await asyncio.open_connection(*made.address) for _ in range(CROWD)]
            held += [await asyncio.open_connection(*made.control_address) for _ in range(HOLDERS)]
            for _, writer in held:
                writer.write(b"*4\r\n$8\r\nCALL")
            end = loop.time() + span
            while loop.time() < end:
                began = loop.time()
                await gateway_stats(made.control_address)
                worst = max(worst, loop.time() - began)
                await asyncio.sleep(0.05)
            counts.is_sending = False
            for transport, _ in asking:
                transport.close()
            for _, writer in held:
                writer.close()
    finally:
        process.kill()
        await process.wait()
    return 1000 * worst


async def reloads(folder: Path, rounds: int) -> int:
    """Calls that met other rules than those that the settings then had."""
    process, nodes = await spawn("nodes", "3")
    wrong = 0

    async def said(made: UpgradableGateway, cls: str, safe: bool) -> bytes:
        reader, writer = await asyncio.open_connection(*made.address)
        pairs = f"c={cls},t=wide,d=2000,units=1,spread=1,first=0".encode()
        words = [b"CALL.GET" if safe else b"CALL.POST", b"%016x" % 7, os.urandom(8).hex().encode(), pairs]
        words += [] if safe else [b"body"]
        writer.write(b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(w), w) for w in words))
        line = await reader.readline()
        writer.close()
        return line[:1]

    try:
        async with One(folder, nodes) as made:
            for number in range(rounds):
                repeat = "free" if number % 2 else "single_shot"
                made.config["settings"] = _settings([_class(f"new-{number}", repeat), _class()])
                made.write_config()
                made.signal(signal.SIGHUP)
                while (await gateway_stats(made.control_address))["reloads_ok"] <= number:
                    await asyncio.sleep(0.01)
                safe = repeat == "free"
                wrong += await said(made, f"new-{number}", safe) != b"$"
                wrong += await said(made, f"new-{number}", not safe) != b"-"
                wrong += await said(made, f"new-{number - 1}", not safe) != b"-"
    finally:
        process.kill()
        await process.wait()
    return wrong


class _Long(asyncio.Protocol):
    """A backend whose every answer is long."""

    ANSWER = b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (LONG, bytes(LONG))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self._transport.write(self.ANSWER)


async def _take(address: Address, pause: float) -> tuple[float, int]:
    """Seconds to the first byte of a long value, and the bytes that came; `pause` s after each piece."""
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
    """Peak memory over the limit, first byte through the gateway over direct, values that were not whole."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(_Long, own_address(), 0, backlog=256)
    at: Address = server.sockets[0].getsockname()[:2]
    try:
        async with One(folder, [at]) as made:
            direct = statistics.median([(await _take(at, 0.0))[0] for _ in range(15)])
            through = statistics.median([(await _take(made.address, 0.0))[0] for _ in range(15)])
            came = await asyncio.gather(*(_take(made.address, 0.05) for _ in range(SLOW)))
            made.record_usage()
            return (
                made.peak_memory_bytes / (LIMIT_MB << 20),
                through / direct,
                sum(size < LONG for _, size in came),
            )
    finally:
        server.close()


async def upgrades(span: float, rounds: int) -> dict[str, float]:
    """Each gateway is replaced by a new process under load, `rounds` times."""
    scenario = Scenario(load=LOAD, seed=7)
    async with Fleet(scenario, upgradable=True) as fleet:
        held = [each for each in fleet.gateways if isinstance(each, UpgradableGateway)]
        again = 0
        resend = fleet.clients.resend

        def counted(request: ClientRequest, request_id: str) -> None:
            nonlocal again
            again += 1
            resend(request, request_id)

        fleet.clients.resend = counted  # type: ignore[method-assign]
        fleet.start_clients()
        await asyncio.sleep(span)
        told = [await gateway_stats(each.control_address) for each in held]
        served = sum(v for one in told for k, v in one.items() if k.startswith("served."))
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
            "upgrade_crossed": round(again / count, 3),
            "upgrade_ready_s": round(max(waits), 2),
            "quota_over": round(verdict.summary.over_quota_share, 4),
            "violations": len(verdict.violations),
        }


class Older(GatewayProcess):
    """A gateway of another checkout."""

    checkout = Path()

    @classmethod
    def check_out(cls, commit: str, folder: Path) -> None:
        folder.mkdir()
        archive = subprocess.run(["git", "archive", commit], capture_output=True, check=True)
        subprocess.run(["tar", "-x", "-C", str(folder)], input=archive.stdout, check=True)
        cls.checkout = folder

    async def start(self) -> None:
        here = os.getcwd()
        os.chdir(self.checkout)
        try:
            await super().start()
        finally:
            os.chdir(here)


async def cpu_ratio(folder: Path, span: float, rounds: int, commit: str = BEFORE) -> float:
    """CPU a request, short values, over that of `commit`, taken in turn. Single turns differ by a half on a
    noisy machine, in either direction: all turns of each count together."""
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
    made: dict[str, float] = {}
    with tempfile.TemporaryDirectory() as name:
        for part in ("door", "reload", "long", "cpu"):
            (folder := Path(name) / part).mkdir()
            began = time.monotonic()
            match part:
                case "door":
                    made["stats_worst_ms"] = round(await door_under_load(folder, 3.0 if quick else 15.0), 1)
                case "reload":
                    made["reload_wrong"] = await reloads(folder, 8 if quick else 60)
                case "long":
                    peak, first, short = await long_values(folder)
                    made |= {
                        "peak_memory_ratio": round(peak, 3),
                        "first_byte_ratio": round(first, 2),
                        "long_short": short,
                    }
                case _:
                    ratio = await cpu_ratio(folder, 1.0 if quick else 3.0, 5 if quick else 12)
                    made["cpu_ratio_short"] = round(ratio, 3)
            print(f"{part}: {time.monotonic() - began:.1f} s", file=sys.stderr, flush=True)
    made |= await upgrades(1.5 if quick else 5.0, 1 if quick else 3)
    return made


if __name__ == "__main__":
    sys.exit(run_command(__doc__, measure))
