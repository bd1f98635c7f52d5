"""Clients that leave a gateway under load while their requests wait: how many are sent on all the same.

Most backends let connections come up late (their accept queue is full for up to 0.9 s), and some
clients write more commands than are worked on at once; they leave by FIN or RST at any moment. Beside them
others ask without a pause. The record is of departures (by the clients) and of commands that came whole (by
the backends). Figures: of those that still waited when their client left, the share sent on later than 0.3 s
and the latest, the same of the last checkout before this was asked for, and CPU a request beside that one.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import socket
import struct
import sys
import tempfile
import time
from pathlib import Path
from typing import Any, cast

import hiredis

from trackspread.testing.harness.gateway_process import GatewayProcess
from trackspread.testing.judge.ledger import Ledger
from trackspread.testing.standins.backend_list import BackendList, ListedBackend
from trackspread.testing.standins.discovery_agent import DiscoveryAgent
from trackspread.testing.standins.loopback import Ports, own_address
from trackspread.testing.standins.settings import class_settings, nested_settings, plan_settings

from .closed_loop import ClosedLoopClient, ReplyCounts
from .common import run_command, say
from .cost import SERVED
from .operations import Older, cpu_ratio

SECOND = 1_000_000_000
BEFORE = "60af5cc"  # the last commit before requests whose client has left were withdrawn
LAST_DATA_RECV = 52  # where the kernel's tcp_info has the ms since data last came
BEAT = 0.01  # s between looks at the own lag
LATE = 0.3  # s after a departure from which a send counts against the gateway
FAST, SLOW = 0.02, 0.4  # s that a backend takes for a class
QUICK, FULL = 8.0, 40.0  # s of departures
RATE = 60  # departures a second
HELD = 48  # commands of a client that has more open than are worked on at once
ASKERS = 16  # clients that ask without a pause beside them
SHUT, OPEN = (0.3, 0.9), 0.05  # s for which a late backend takes no connections, and takes them


class Record:
    """When each request came whole to a backend, and when its client left without an answer to it."""

    def __init__(self) -> None:
        self.sent: dict[str, float] = {}
        self.left: dict[str, float] = {}
        self.lag = 0.0  # s, the worst of this process, whose clock both are read from

    async def watch(self) -> None:
        while True:
            due = time.monotonic() + BEAT
            await asyncio.sleep(BEAT)
            self.lag = max(self.lag, time.monotonic() - due)

    def waited(self) -> list[str]:
        """Those that were not sent on yet when their client left."""
        return [r for r, left in self.left.items() if self.sent.get(r, left + 1.0) > left]

    def late(self) -> list[float]:
        """s after the departure, of those that waited and were sent on."""
        return [self.sent[r] - self.left[r] for r in self.waited() if r in self.sent]


class _Line(asyncio.Protocol):
    """One connection to a backend: answers in order, after the time of the class."""

    def __init__(self, record: Record) -> None:
        self._record, self._reader = record, hiredis.Reader()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def _came_at(self) -> float:
        """By the kernel's word: it may have lain there since before this connection was accepted."""
        info = self._transport.get_extra_info("socket").getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 64)
        ago: int = struct.unpack_from("I", info, LAST_DATA_RECV)[0]
        return time.monotonic() - ago / 1000

    def data_received(self, data: bytes) -> None:
        self._reader.feed(data)
        while (words := self._reader.gets()) is not False:
            if not isinstance(words, list) or words[0] != b"CALL.GET":
                self._transport.write(b"+OK\r\n")
                continue
            self._record.sent.setdefault(words[2].decode(), self._came_at())
            wait = SLOW if b"c=slow" in words[3] else FAST
            asyncio.get_running_loop().call_later(wait, self._answer)

    def _answer(self) -> None:
        if not self._transport.is_closing():
            self._transport.write(b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n")


class LateBackend:
    """Its listener's accept queue is full most of the time: who connects then comes up a second later."""

    def __init__(self, record: Record, rng: random.Random) -> None:
        self._record, self._rng = record, rng
        self.socket = socket.socket()
        self.socket.bind((own_address(), 0))
        self.socket.listen(0)
        self.socket.setblocking(False)
        self._fill: list[socket.socket] = []

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            for _ in range(2):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex(self.socket.getsockname())
                self._fill.append(filler)
            await asyncio.sleep(self._rng.uniform(*SHUT))
            ours = {each.getsockname() for each in self._fill}
            end = loop.time() + OPEN
            while loop.time() < end:
                try:
                    taken, peer = self.socket.accept()
                except BlockingIOError:
                    await asyncio.sleep(0.005)
                    continue
                if peer in ours:
                    taken.close()
                else:
                    await loop.connect_accepted_socket(lambda: _Line(self._record), taken)
            for filler in self._fill:
                filler.close()
            self._fill.clear()


def _command(cls: str, request: str, customer: int) -> bytes:
    pairs = f"c={cls},t=wide,d=3000,units=1,spread=1,first=0"
    words = (b"CALL.GET", b"%016x" % customer, request.encode(), pairs.encode())
    return hiredis.pack_command(words)  # type: ignore[no-any-return,arg-type]


async def _depart(record: Record, rng: random.Random, at: tuple[str, int], number: int) -> None:
    """One client, with one request or with more than are worked on at once, and its end."""
    many = number % 8 == 0
    names = [f"d{number}-{n}" for n in range(HELD if many else 1)]
    reader, writer = await asyncio.open_connection(*at)
    writer.write(b"".join(_command("slow" if many else "quick", name, 1 + number % 500) for name in names))
    answers = hiredis.Reader()
    try:
        async with asyncio.timeout(rng.uniform(0.005, 0.9)):
            while data := await reader.read(1 << 16):
                answers.feed(data)
    except TimeoutError:
        pass
    while answers.gets() is not False:
        names.pop(0)
    made = writer.get_extra_info("socket")
    made.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", number % 2, 0))
    record.left.update(dict.fromkeys(names, time.monotonic()))
    writer.close()


def _settings() -> dict[str, Any]:
    classes = [class_settings(name, "free", "all", SECOND, 3 * SECOND, SECOND) for name in ("quick", "slow")]
    made = nested_settings(classes, [plan_settings("wide", 200.0, 200.0)], 0, 1, zones=("a",))
    made["limits"].update(connectTimeout=3 * SECOND, cancel=False)
    return made


async def departures(folder: Path, span: float, kind: type[GatewayProcess] = GatewayProcess) -> Record:
    """Plays them on one gateway process; `kind`: what starts it."""
    loop, rng, record = asyncio.get_running_loop(), random.Random(1), Record()
    listed, ports, ledger = BackendList(), Ports(), Ledger()
    servers = [await loop.create_server(lambda: _Line(record), own_address(), 0) for _ in range(2)]
    lates = [LateBackend(record, rng) for _ in range(8)]
    tasks = [loop.create_task(record.watch()), *(loop.create_task(late.run()) for late in lates)]
    sockets = [server.sockets[0] for server in servers] + [late.socket for late in lates]
    for number, made in enumerate(sockets):
        host, port = made.getsockname()
        listed.put(ListedBackend(f"s-{number}", ((host, port),), "a", "m1", number, "in_service", 0))
    agent, at = DiscoveryAgent(listed, 0, ledger), ports.tcp()
    await agent.start()
    config = {
        "name": "n0",
        "listen": f"{at[0]}:{at[1]}",
        "discovery": f"{agent.address[0]}:{agent.address[1]}",
        "limits": {"memory_mb": 128, "sockets": 2048},
        "known": listed.snapshot(0),
        "peers": [],
        "settings": _settings(),
    }
    process = kind("n0", at, config, folder, ledger, max_descriptors=2048)
    await process.start()
    try:
        counts, numbers = ReplyCounts(), itertools.count()

        def one() -> bytes:
            return _command("quick", f"load-{(n := next(numbers))}", 1000 + n % 200)

        asking = [
            await loop.create_connection(lambda: ClosedLoopClient(one, counts, SERVED), *at)
            for _ in range(ASKERS)
        ]
        leaving = []
        for number in range(int(RATE * span)):
            leaving.append(loop.create_task(_depart(record, rng, at, number)))
            await asyncio.sleep(1.0 / RATE)
        await asyncio.gather(*leaving)
        await asyncio.sleep(3.0)  # the longest that any of them could still be sent on in
        counts.is_sending = False
        for transport, _ in asking:
            transport.close()
        if not process.running:
            raise RuntimeError(f"the gateway ended: {process.log_tail()}")
        say(f"{len(record.left)} requests left behind, {counts.served} served beside, lag {record.lag:.3f} s")
        for name in record.waited():
            if (after := record.sent.get(name, 0.0) - record.left[name]) > 0.0:
                say(f"{name}: sent on {after:.3f} s after its client left")
    finally:
        await process.kill()
        for task in tasks:
            task.cancel()
        for server in servers:
            server.close()
        for late in lates:
            late.socket.close()
        agent.close()
    return record


def told(record: Record) -> dict[str, float]:
    waited, late = record.waited(), record.late()
    return {
        "waited": len(waited),
        "sent_on_after": len(late),
        "latest_s": round(max(late, default=0.0), 3),
        "sent_on_late": round(sum(s > LATE for s in late) / max(1, len(waited)), 5),
        "lag_s": round(record.lag, 3),
    }


async def measure(quick: bool) -> dict[str, float]:
    with tempfile.TemporaryDirectory() as name:
        folders = [Path(name) / part for part in ("now", "before", "cpu")]
        for folder in folders:
            folder.mkdir()
        Older.check_out(BEFORE, folders[1] / "checkout")
        now = told(await departures(folders[0], QUICK if quick else FULL))
        before = told(await departures(folders[1], QUICK if quick else FULL, Older))
        ratio = await cpu_ratio(folders[2], 1.0 if quick else 3.0, 3 if quick else 12, BEFORE)
    older = {f"{key}_before": value for key, value in before.items()}
    return now | older | {"cpu_ratio": round(ratio, 3)}


if __name__ == "__main__":
    sys.exit(run_command(__doc__, measure))
