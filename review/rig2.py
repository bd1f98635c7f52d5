"""Stand-ins for the cases of the second review: platform, discovery agent, backends and clients.

Everything runs on loopback addresses and free ports. The gateways are the project's own program, started as
separate processes by the deploy file's `run`; they end with the script. The stand-ins run in this process.
They follow the operators' pages and behave soundly unless a case says otherwise.
"""

from __future__ import annotations

import asyncio
import copy
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
MS = 1_000_000
SECOND = 1_000_000_000
BROKEN, HELD, UNABLE = 10, 0, 2  # `run.sh` makes 1 of the first
LONG_BYTES = 64 << 10
PIECE_BYTES = 16 << 10


def request_class(
    name: str, idempotency: str, group: str, aim_ms: int, deadline_ms: int, points: float, late: float = 0.0
) -> dict[str, Any]:
    """Returns one class of the settings, in the wire's names."""
    return {
        "name": name,
        "aim": aim_ms * MS,
        "deadline": deadline_ms * MS,
        "points": points,
        "lateWorth": late,
        "idempotency": idempotency,
        "group": group,
        "streaming": False,
        "window": 5 * SECOND,
    }


def plan(
    name: str, rate: float, burst: float, price: float, excess: float, ceiling: tuple[float, float, float]
) -> dict[str, Any]:
    """Returns one plan of the settings; `ceiling` has rate, burst and slack."""
    return {
        "name": name,
        "quotaRate": rate,
        "mostAtOnce": burst,
        "parallel": 0,
        "worthFactor": price,
        "beyondEarns": 0.0,
        "excessCost": excess,
        "ceilingRate": ceiling[0],
        "hardBurst": ceiling[1],
        "ceilingSlack": ceiling[2],
    }


def settings(gateways: int, plans: list[dict[str, Any]] | None = None) -> dict[str, Any]:
    """Returns the settings of a small deployment like the operators' own, for gateway 0 of `gateways`."""
    return {
        "classes": [
            request_class("rate-lookup", "free", "all", 800, 2000, 3.0),
            request_class("usage-submit", "guarded", "cell", 1200, 5000, 3.0, 0.2),
            request_class("charge-post", "single_shot", "all", 800, 2500, 5.0),
        ],
        "clients": {"marksRetry": True},
        "discovery": "pushed",
        "familyInfo": {
            "countFee": 0.0,
            "counter": False,
            "counterTimeout": 0,
            "largest": 1,
            "mailPerS": 40.0,
            "truedUp": False,
            "usePeriod": 0,
        },
        "goal": {"whole": 0.55, "worstClass": 0.0, "worstTenant": 0.25, "worstWindow": 0.2},
        "kindOfService": "gate",
        "kinds": ["std-2c"],
        "layer": 0,
        "limits": {
            "cancel": True,
            "connIdle": 30 * SECOND,
            "connectTimeout": 250 * MS,
            "cpuUsPerRequest": 0.0,
            "cpuUsPerS": 400000,
            "maxAttempts": 4,
            "maxOpen": 20000,
            "maxRetryAfter": SECOND,
            "maxStreams": 32,
            "peerMessages": True,
            "probes": True,
            "retryAfter": True,
            "secondCopies": True,
        },
        "packages": plans
        or [
            plan("basic", 0.98, 5.0, 1.2, 1.0, (0.0, 0.0, 0.0)),
            plan("full", 6.1, 8.0, 1.6, 0.8, (11.0, 15.0, 2.0)),
        ],
        "position": 0,
        "prices": {"crossZone": 0.01},
        "replicasOfMe": gateways,
        "report": {"how": "answers", "names": ["util", "latency_ms", "inflight"]},
        "rules": {
            "answerSlack": 8 * MS,
            "askWithin": 10 * SECOND,
            "drainGrace": SECOND,
            "fall": 3 * SECOND,
            "fallMultiple": 3.0,
            "startCapacity": 0.23,
            "warmUp": 18 * SECOND,
        },
        "stages": ["rating-fleet"],
        "tick": 2 * MS,
        "weightKind": "none",
        "zone": 0,
        "zones": ["hall-a", "hall-b", "hall-c"],
    }


class Record:
    """Writes what was sent, answered and run, one line an event, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._start = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the start."""
        return time.monotonic() - self._start

    def __call__(self, *words: object) -> None:
        self._file.write(f"{self.now():9.4f} {' '.join(str(word) for word in words)}\n")
        self._file.flush()


class Command:
    """Holds a command that a backend has received whole."""

    def __init__(self, words: list[bytes], arrived: float) -> None:
        self.words = words
        self.arrived = arrived
        self.id = words[2].decode() if len(words) > 2 else ""
        pairs = words[3].decode().split(",") if len(words) > 3 else []
        self.options = dict(pair.partition("=")[::2] for pair in pairs)


async def read_words(reader: asyncio.StreamReader, pause: Callable[[float], Awaitable[None]]) -> list[bytes]:
    """Reads one command, an array of bulk strings.

    A long word is read in pieces; `pause` is awaited before each with the part of the word that was read.
    """
    count = int((await reader.readuntil(b"\r\n"))[1:-2])
    words = []
    for _ in range(count):
        size = int((await reader.readuntil(b"\r\n"))[1:-2])
        word = b""
        while size > LONG_BYTES and len(word) < size:
            await pause(len(word) / size)
            word += await reader.readexactly(min(PIECE_BYTES, size - len(word)))
        words.append((word + await reader.readexactly(size - len(word) + 2))[:-2])
    return words


def bulk(data: bytes) -> bytes:
    """Returns a bulk string."""
    return b"$%d\r\n%b\r\n" % (len(data), data)


def pack(*words: bytes) -> bytes:
    """Returns a command."""
    return b"*%d\r\n" % len(words) + b"".join(map(bulk, words))


def served(value: bytes) -> bytes:
    """Returns a backend's answer with a value and a load report."""
    return b"*3\r\n" + bulk(value) + b"$-1\r\n" + bulk(b"util=0.40,latency_ms=90.0,inflight=2")


class Backend:
    """Stands in for a rating node; `serve` decides when and how a command is answered.

    `serve` gets the command and the connection's writer, and returns the bytes of the answer, or None to say
    nothing. A command is begun, and counted as run, when its last byte has come. `pause` is awaited before
    each piece of a long body, for a node that reads slowly.
    """

    def __init__(self, case: Case, name: str, cell: int) -> None:
        self.case = case
        self.name = name
        self.cell = cell
        self.port = 0
        self.serve: Callable[[Command, asyncio.StreamWriter], Awaitable[bytes | None]] = self.serve_soon
        self.delay_s = 0.1
        self.limit_bytes = 1 << 23
        self.receive_buffer = 0
        self.holds_small_writes = False  # as sockets do without TCP_NODELAY, which is the system's default
        self.pause: Callable[[float], Awaitable[None]] | None = None
        self.commands: list[Command] = []

    async def start(self) -> None:
        """Begins to listen."""
        listener = socket.socket()
        if self.receive_buffer:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
        listener.bind(("127.0.0.1", 0))
        self.port = listener.getsockname()[1]
        limit = self.limit_bytes if not self.receive_buffer else self.receive_buffer
        self.case.servers.append(await asyncio.start_server(self._connected, sock=listener, limit=limit))

    def entry(self, health: str = "in_service") -> dict[str, Any]:
        """Returns the backend's entry in discovery's list."""
        return {
            "host": self.name,
            "dial": f"127.0.0.1:{self.port}",
            "site": "hall-a",
            "class": "std-2c",
            "block": self.cell,
            "health": health,
            "share": 1.0,
            "born_ms": 0,
        }

    async def serve_soon(self, command: Command, writer: asyncio.StreamWriter) -> bytes | None:
        """Answers as a sound node does."""
        await asyncio.sleep(self.delay_s)
        return served(f"{self.name}/{command.id}".encode())

    async def _pause(self, part: float) -> None:
        """Waits before a piece of a long word, if the node reads slowly."""
        if self.pause is not None:
            await self.pause(part)

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.case.writers.add(writer)
        raw = writer.get_extra_info("socket")
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, not self.holds_small_writes)
        try:
            while True:
                words = await read_words(reader, self._pause)
                name = words[0].upper()
                if name == b"PING":
                    writer.write(b"+PONG\r\n")
                elif name == b"INFO":
                    writer.write(bulk(b"util=0.40,latency_ms=90.0,inflight=2"))
                elif name in (b"CALL.GET", b"CALL.POST"):
                    command = Command(words, self.case.record.now())
                    self.commands.append(command)
                    self.case.record("run", self.name, command.id, words[3].decode())
                    answer = await self.serve(command, writer)
                    if answer is not None:
                        self.case.record("node-answer", self.name, command.id, answer[:40])
                        writer.write(answer)
                else:
                    writer.write(b"+OK\r\n")
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.case.writers.discard(writer)
            writer.close()


class Agent:
    """Stands in for one gateway's discovery agent: the list, and a watch with changes, one object a line."""

    def __init__(self, case: Case) -> None:
        self.case = case
        self.port = 0
        self.seq = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self._watches: set[asyncio.StreamWriter] = set()
        self._changes: list[dict[str, Any]] = []

    async def start(self) -> None:
        """Begins to listen."""
        server = await asyncio.start_server(self._connected, "127.0.0.1", 0)
        self.case.servers.append(server)
        self.port = server.sockets[0].getsockname()[1]

    def change(self, *entries: dict[str, Any]) -> None:
        """Tells changes to all watches."""
        self.seq += 1
        update = {"seq": self.seq, "whole": False, "hosts": list(entries)}
        for entry in entries:
            self.entries[entry["host"]] = entry
        self._changes.append(update)
        self.case.record("told", json.dumps(update))
        for watch in list(self._watches):
            self._line(watch, json.dumps(update).encode())

    @staticmethod
    def _line(writer: asyncio.StreamWriter, line: bytes) -> None:
        data = line + b"\n"
        writer.write(b"%x\r\n%b\r\n" % (len(data), data))

    def whole(self) -> dict[str, Any]:
        """Returns the whole list."""
        listed = [entry for entry in self.entries.values() if entry["health"] != "terminated"]
        return {"seq": self.seq, "whole": True, "hosts": listed}

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.case.writers.add(writer)
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            if b"stream=1" not in head.split(b"\r\n")[0]:
                body = json.dumps(self.whole()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._line(writer, json.dumps(self.whole()).encode())
            self._watches.add(writer)
            while True:
                await asyncio.sleep(2.0)
                self._line(writer, b"")
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self._watches.discard(writer)
            self.case.writers.discard(writer)
            writer.close()


class Gateway:
    """Holds one process of the project's gateway."""

    def __init__(self, case: Case, number: int, agent: Agent) -> None:
        self.case = case
        self.name = f"n{number}"
        self.number = number
        self.agent = agent
        self.port = free_port()
        self.folder = case.folder / self.name
        self.folder.mkdir()
        self.process: asyncio.subprocess.Process | None = None
        self._starts = 0

    def write_config(self, nested: dict[str, Any], peers: list[str], sockets: int, memory_mb: int) -> None:
        """Writes the platform's configuration."""
        nested = copy.deepcopy(nested)
        nested["position"] = self.number
        config = {
            "name": self.name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{self.agent.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "peer_listen": peers[self.number],
            "peers": peers,
            "known": self.agent.whole(),
            "settings": nested,
        }
        (self.folder / "config.json").write_text(json.dumps(config))

    async def start(self) -> None:
        """Starts the process by the deploy file's `run`, and waits until it answers PING with PONG."""
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        self._starts += 1
        scratch = self.folder / f"tmp-{self._starts}"
        scratch.mkdir()
        environment = {
            key: value for key, value in os.environ.items() if not key.startswith(("ROUTER_", "PYTHON"))
        }
        environment |= {"ROUTER_CONFIG": str(self.folder / "config.json"), "TMPDIR": str(scratch)}
        environment |= {"ROUTER_NAME": self.name, "PYTHONDONTWRITEBYTECODE": "1"}
        with (self.folder / "log.txt").open("a") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", deploy["run"], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.case.record("start", self.name, "pid", self.process.pid)
        for _ in range(300):
            if self.process.returncode is not None:
                raise Unable(f"{self.name} ended at its start")
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(pack(b"PING"))
                answer = await asyncio.wait_for(reader.readline(), 1.0)
                writer.close()
                if answer == b"+PONG\r\n":
                    self.case.record("ready", self.name)
                    return
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.1)
        raise Unable(f"{self.name} was not ready within 30 s")

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        process = self.process
        if process is not None and process.returncode is None:
            self.case.record("signal", number.name, self.name)
            process.send_signal(number)


class Client:
    """Holds one connection of the platform's front to a gateway; answers come in the commands' order."""

    def __init__(self, case: Case, gateway: Gateway) -> None:
        self.case = case
        self.gateway = gateway

    async def open(self) -> Client:
        """Connects."""
        self.reader, self.writer = await asyncio.open_connection(
            "127.0.0.1", self.gateway.port, limit=1 << 23
        )
        self.case.writers.add(self.writer)
        return self

    def send(self, command: bytes, number: str) -> None:
        """Sends a command; `number` is its id."""
        self.case.record("sent", number, "to", self.gateway.name)
        self.writer.write(command)

    async def answer(self, number: str) -> bytes | None:
        """Returns the next whole answer, or None if the connection ends before it is whole."""
        try:
            line = await self.reader.readuntil(b"\r\n")
            answer = line
            if line[:1] == b"$" and line != b"$-1\r\n":
                answer = (await self.reader.readexactly(int(line[1:-2]) + 2))[:-2]
                answer = b"$" + answer
        except (asyncio.IncompleteReadError, OSError) as error:
            self.case.record("ended", number, "no whole answer:", type(error).__name__)
            return None
        self.case.record("answered", number, answer[:60])
        return answer


class Unable(Exception):
    """Reports that the case couldn't run."""


def free_port() -> int:
    """Returns a port that is free now, for TCP and UDP."""
    for _ in range(50):
        with socket.socket() as stream, socket.socket(type=socket.SOCK_DGRAM) as datagram:
            stream.bind(("127.0.0.1", 0))
            port = stream.getsockname()[1]
            try:
                datagram.bind(("127.0.0.1", port))
            except OSError:
                continue
            return int(port)
    raise Unable("no free port")


def reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection."""
    raw = writer.get_extra_info("socket")
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Case:
    """Runs one case: a small fleet on loopback, and all of it ended afterwards."""

    def __init__(self, file: str, limit_s: float = 100.0) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.limit_s = limit_s
        self.record = Record(Path(file).resolve().parent / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.servers: list[asyncio.Server] = []
        self.writers: set[asyncio.StreamWriter] = set()
        self.gateways: list[Gateway] = []
        self.agents: list[Agent] = []
        self.backends: list[Backend] = []
        self.tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, work: Any) -> asyncio.Task[Any]:
        """Runs a coroutine beside the case."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def fleet(
        self,
        gateways: int,
        backends: int,
        cells: int = 3,
        nested: dict[str, Any] | None = None,
        prepare: Callable[[Backend], None] = lambda backend: None,
        sockets: int = 512,
        memory_mb: int = 96,
    ) -> None:
        """Starts backends, one agent for each gateway, and the gateways."""
        for number in range(backends):
            backend = Backend(self, f"s-{number:08x}", number % cells)
            prepare(backend)
            await backend.start()
            self.backends.append(backend)
        for number in range(gateways):
            agent = Agent(self)
            agent.entries = {backend.name: backend.entry() for backend in self.backends}
            await agent.start()
            self.agents.append(agent)
            self.gateways.append(Gateway(self, number, agent))
        peers = [f"127.0.0.1:{free_port()}" for _ in self.gateways]
        for gateway in self.gateways:
            gateway.write_config(nested or settings(gateways), peers, sockets, memory_mb)
        await asyncio.gather(*(gateway.start() for gateway in self.gateways))

    async def _end(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        for gateway in self.gateways:
            if gateway.process is not None and gateway.process.returncode is None:
                gateway.process.kill()
                await gateway.process.wait()
        for writer in list(self.writers):
            writer.transport.abort()
        for server in self.servers:
            server.close()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await asyncio.sleep(0.05)

    def run(self, body: Callable[[Case], Awaitable[list[str]]]) -> None:
        """Runs the case and exits: BROKEN if `body` returns breaks of the rule, HELD if it returns none."""

        async def whole() -> int:
            main = asyncio.current_task()
            assert main is not None
            asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, main.cancel)
            try:
                async with asyncio.timeout(self.limit_s):
                    broken = await body(self)
            except (Unable, OSError, TimeoutError, asyncio.CancelledError) as error:
                self.record("unable", type(error).__name__, error)
                return UNABLE
            finally:
                await self._end()
            for line in broken:
                self.record("BROKEN", line)
            self.record("result", "broken" if broken else "held")
            return BROKEN if broken else HELD

        try:
            status = asyncio.run(whole())
        except Exception as error:
            self.record("unable", type(error).__name__, error)
            status = UNABLE
        finally:
            for gateway in self.gateways:
                log = gateway.folder / "log.txt"
                if log.exists():
                    for line in log.read_text(errors="replace").splitlines():
                        self.record("log", gateway.name, line)
            shutil.rmtree(self.folder, ignore_errors=True)
        print({HELD: "held", BROKEN: "broken", UNABLE: "could not run"}[status])
        sys.exit(status)


def call(
    name: str, number: str, tenant: int, wait_ms: int, plan_name: str, spread: int, body: bytes | None = None
) -> bytes:
    """Returns a client's command for a class of `settings`; `number` is the request's id."""
    options = f"c={name},t={plan_name},d={wait_ms}"
    if name == "usage-submit":
        options += f",k=key-{number}"
    options += f",units=1,spread={spread},first=0"
    words = [f"{tenant:016x}".encode(), number.encode(), options.encode()]
    if name == "rate-lookup":
        return pack(b"CALL.GET", *words)
    return pack(b"CALL.POST", *words, body if body is not None else b"BODY")
