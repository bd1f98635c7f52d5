"""Measures how many waiting requests a gateway forwards although their clients have disconnected.

Most backends accept connections late, as their accept queue is full for up to 0.9 s. Some clients write more
commands than the gateway handles at once. Clients disconnect by FIN or RST at any time, while other clients
send without a pause. The record has the disconnections, noted by the clients, and the complete commands,
noted by the backends. Of the requests that still waited when their client disconnected, the figures give the
share forwarded later than 0.3 s and the latest one. The same figures come from the last checkout before this
requirement, and the CPU per request is compared with that checkout.
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
BEFORE = "60af5cc"  # Last commit that did not withdraw the requests of disconnected clients.
LAST_DATA_RECV = 52  # Offset in the kernel's tcp_info of the milliseconds since the last data arrived.
LAG_INTERVAL = 0.01  # Seconds between measurements of the lag of this process.
LATE = 0.3  # Seconds after a disconnection from which a forwarded request counts as late.
FAST, SLOW = 0.02, 0.4  # Seconds that a backend takes for a request of a class.
QUICK, FULL = 8.0, 40.0  # Seconds during which clients disconnect.
RATE = 60  # Disconnecting clients per second.
HELD = 48  # Commands of a client that has more open than the gateway handles at once.
CLIENTS = 16  # Clients that send without a pause.
SHUT, OPEN = (0.3, 0.9), 0.05  # Seconds for which a late backend accepts no connections, and accepts them.


class Record:
    """Holds when each request reached a backend, and when its client disconnected without an answer."""

    def __init__(self) -> None:
        self.sent: dict[str, float] = {}
        self.left: dict[str, float] = {}
        self.lag = 0.0  # Seconds, the longest lag of this process, whose clock gives both times.

    async def watch(self) -> None:
        """Records the lag of the event loop until it is cancelled."""
        while True:
            due = time.monotonic() + LAG_INTERVAL
            await asyncio.sleep(LAG_INTERVAL)
            self.lag = max(self.lag, time.monotonic() - due)

    def waited(self) -> list[str]:
        """Returns the requests that were not forwarded yet when their client disconnected."""
        return [r for r, left in self.left.items() if self.sent.get(r, left + 1.0) > left]

    def late(self) -> list[float]:
        """Returns the seconds after the disconnection of the waiting requests that were forwarded."""
        return [self.sent[r] - self.left[r] for r in self.waited() if r in self.sent]


class _BackendConnection(asyncio.Protocol):
    """Answers the commands of one connection to a backend, each after the time of its class."""

    def __init__(self, record: Record) -> None:
        self._record, self._reader = record, hiredis.Reader()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def _arrived_at(self) -> float:
        """Returns when data arrived, from the kernel, as it may precede the accept of this connection."""
        info = self._transport.get_extra_info("socket").getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 64)
        ago: int = struct.unpack_from("I", info, LAST_DATA_RECV)[0]
        return time.monotonic() - ago / 1000

    def data_received(self, data: bytes) -> None:
        self._reader.feed(data)
        while (words := self._reader.gets()) is not False:
            if not isinstance(words, list) or words[0] != b"CALL.GET":
                self._transport.write(b"+OK\r\n")
                continue
            self._record.sent.setdefault(words[2].decode(), self._arrived_at())
            wait = SLOW if b"c=slow" in words[3] else FAST
            asyncio.get_running_loop().call_later(wait, self._answer)

    def _answer(self) -> None:
        if not self._transport.is_closing():
            self._transport.write(b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n")


class LateBackend:
    """Holds a listener whose accept queue is full most of the time.

    A connection that begins then is established a second later.
    """

    def __init__(self, record: Record, rng: random.Random) -> None:
        self._record, self._rng = record, rng
        self.socket = socket.socket()
        self.socket.bind((own_address(), 0))
        self.socket.listen(0)
        self.socket.setblocking(False)
        self._fill: list[socket.socket] = []

    async def run(self) -> None:
        """Alternates between a full accept queue and accepting connections until it is cancelled."""
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
                    await loop.connect_accepted_socket(lambda: _BackendConnection(self._record), taken)
            for filler in self._fill:
                filler.close()
            self._fill.clear()


def _command(cls: str, request: str, customer: int) -> bytes:
    """Returns a command as a client sends it."""
    pairs = f"c={cls},t=wide,d=3000,units=1,spread=1,first=0"
    words = (b"CALL.GET", b"%016x" % customer, request.encode(), pairs.encode())
    return hiredis.pack_command(words)  # type: ignore[no-any-return,arg-type]


async def _disconnect(record: Record, rng: random.Random, at: tuple[str, int], number: int) -> None:
    """Connects a client, sends one request or more than the gateway handles at once, and disconnects."""
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
    client_socket = writer.get_extra_info("socket")
    client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", number % 2, 0))
    record.left.update(dict.fromkeys(names, time.monotonic()))
    writer.close()


def _settings() -> dict[str, Any]:
    """Returns settings with a long connect timeout and without cancellation of attempts."""
    classes = [class_settings(name, "free", "all", SECOND, 3 * SECOND, SECOND) for name in ("quick", "slow")]
    made = nested_settings(classes, [plan_settings("wide", 200.0, 200.0)], 0, 1, zones=("a",))
    made["limits"].update(connectTimeout=3 * SECOND, cancel=False)
    return made


async def disconnections(folder: Path, span: float, kind: type[GatewayProcess] = GatewayProcess) -> Record:
    """Runs the clients on one gateway process that the class `kind` starts, and returns the record."""
    loop, rng, record = asyncio.get_running_loop(), random.Random(1), Record()
    listed, ports, ledger = BackendList(), Ports(), Ledger()
    servers = [
        await loop.create_server(lambda: _BackendConnection(record), own_address(), 0) for _ in range(2)
    ]
    lates = [LateBackend(record, rng) for _ in range(8)]
    tasks = [loop.create_task(record.watch()), *(loop.create_task(late.run()) for late in lates)]
    sockets = [server.sockets[0] for server in servers] + [late.socket for late in lates]
    for number, listener in enumerate(sockets):
        host, port = listener.getsockname()
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

        def next_command() -> bytes:
            return _command("quick", f"load-{(n := next(numbers))}", 1000 + n % 200)

        clients = [
            await loop.create_connection(lambda: ClosedLoopClient(next_command, counts, SERVED), *at)
            for _ in range(CLIENTS)
        ]
        leaving = []
        for number in range(int(RATE * span)):
            leaving.append(loop.create_task(_disconnect(record, rng, at, number)))
            await asyncio.sleep(1.0 / RATE)
        await asyncio.gather(*leaving)
        await asyncio.sleep(3.0)  # Longest time in which a waiting request could still be forwarded.
        counts.is_sending = False
        for transport, _ in clients:
            transport.close()
        if not process.running:
            raise RuntimeError(f"the gateway ended: {process.log_tail()}")
        say(
            f"{len(record.left)} requests of disconnected clients, {counts.served} others served, "
            f"lag {record.lag:.3f} s"
        )
        for name in record.waited():
            if (after := record.sent.get(name, 0.0) - record.left[name]) > 0.0:
                say(f"{name}: forwarded {after:.3f} s after its client disconnected")
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


def summarize(record: Record) -> dict[str, float]:
    """Returns the figures of a record."""
    waited, late = record.waited(), record.late()
    return {
        "waited": len(waited),
        "sent_on_after": len(late),
        "latest_s": round(max(late, default=0.0), 3),
        "sent_on_late": round(sum(s > LATE for s in late) / max(1, len(waited)), 5),
        "lag_s": round(record.lag, 3),
    }


async def measure(quick: bool) -> dict[str, float]:
    """Returns the figures of this checkout and of the older one."""
    with tempfile.TemporaryDirectory() as name:
        folders = [Path(name) / part for part in ("now", "before", "cpu")]
        for folder in folders:
            folder.mkdir()
        Older.check_out(BEFORE, folders[1] / "checkout")
        now = summarize(await disconnections(folders[0], QUICK if quick else FULL))
        before = summarize(await disconnections(folders[1], QUICK if quick else FULL, Older))
        ratio = await cpu_ratio(folders[2], 1.0 if quick else 3.0, 3 if quick else 12, BEFORE)
    older = {f"{key}_before": value for key, value in before.items()}
    return now | older | {"cpu_ratio": round(ratio, 3)}


if __name__ == "__main__":
    sys.exit(run_command(__doc__, measure))
