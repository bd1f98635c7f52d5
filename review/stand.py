"""Small stand-ins of the platform for the cases of the review, by the pages of the operators.

One event loop holds the clients, the rating nodes and the discovery agents of a run. The gateways are
processes of their own, started with the `run` command of the deploy file. All addresses are loopback ones.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import tempfile
import time
import tomllib
from collections import deque
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
MS = 1_000_000
SECOND = 1_000_000_000
SAME_HALL_S, CROSS_HALL_S = (0.00012, 0.00031), (0.0014, 0.0026)  # one way, from the site file
CROSSING_S = 0.5  # after its last byte a request can still have crossed the close of its connection
ACCEPT_FD = 3  # the descriptor under which a process inherits the clients' listening socket
READY_S = 25.0  # a gateway has 30 s to become ready
HELD, BROKEN, NOT_RUN = 0, 1, 2


class Setup(Exception):
    """Says why a case could not run."""


def has_trouble() -> bool:
    """Returns whether the disruption is on."""
    return os.environ.get("TROUBLE", "1") != "0"


def own_host() -> str:
    """Returns a loopback address that most likely nobody else uses."""
    return f"127.{random.randint(16, 250)}.{random.randint(1, 250)}.{random.randint(1, 250)}"


def free_address(kind: int = socket.SOCK_STREAM) -> tuple[str, int]:
    """Returns a loopback address with a port that is free now."""
    host = own_host()
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((host, 0))
        return host, int(probe.getsockname()[1])


def text(address: tuple[str, int]) -> str:
    """Returns an address as the configuration has it."""
    return f"{address[0]}:{address[1]}"


class Record:
    """Writes `record.txt`: what was sent, answered and run, with seconds since the beginning."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", buffering=1 << 16)
        self._began = time.monotonic()
        self.broken: list[str] = []

    def now(self) -> float:
        """Returns the seconds since the beginning."""
        return time.monotonic() - self._began

    def line(self, what: str, *words: object) -> None:
        """Writes one line."""
        self._file.write(f"{self.now():9.4f} {what} {' '.join(map(str, words))}\n")

    def breaks(self, why: str) -> None:
        """Notes that the rule was broken."""
        self.broken.append(why)
        self.line("BROKEN", why)

    def close(self) -> None:
        """Writes the end of the file."""
        self._file.close()


def request_class(name: str, aim: float, deadline: float, effect: str, group: str) -> dict[str, Any]:
    """Returns a class of the settings; times are in seconds."""
    return {
        "name": name,
        "aim": int(aim * SECOND),
        "deadline": int(deadline * SECOND),
        "points": 5.0 if effect == "single_shot" else 3.0,
        "lateWorth": 0.0,
        "idempotency": effect,
        "group": group,
        "streaming": False,
        "window": 5 * SECOND,
    }


# The classes of the site `zagreb-rating`.
CLASSES = (
    request_class("rate-lookup", 0.8, 2.0, "free", "all"),
    request_class("usage-submit", 1.2, 5.0, "guarded", "cell"),
    request_class("charge-post", 0.8, 2.5, "single_shot", "all"),
)


def plan(name: str, rate: float, burst: float, price: float, cost: float, ceiling: float) -> dict[str, Any]:
    """Returns a plan; `ceiling` is a multiple of rate and burst, 0 for none; its slack is 10% of it."""
    return {
        "name": name,
        "quotaRate": rate,
        "mostAtOnce": burst,
        "parallel": 0,
        "worthFactor": price,
        "beyondEarns": 0.0,
        "excessCost": cost,
        "ceilingRate": rate * ceiling,
        "hardBurst": burst * ceiling,
        "ceilingSlack": max(1.0, 0.1 * burst * ceiling) if ceiling else 0.0,
    }


def settings(position: int, gateways: int, plans: list[dict[str, Any]]) -> dict[str, Any]:
    """Returns the settings of one gateway, with the figures of the site `zagreb-rating`."""
    return {
        "classes": list(CLASSES),
        "clients": {"marksRetry": True},
        "discovery": "pushed",
        "familyInfo": {
            "counter": False,
            "counterTimeout": 0,
            "countFee": 0.0,
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
            "cpuUsPerS": 400_000,
            "maxAttempts": 4,
            "maxOpen": 20_000,
            "maxRetryAfter": SECOND,
            "maxStreams": 32,
            "peerMessages": True,
            "probes": True,
            "retryAfter": True,
            "secondCopies": True,
        },
        "packages": plans,
        "position": position,
        "prices": {"crossZone": 0.01, "lateFail": 0.05, "peer": 0.01, "probe": 0.01, "waste": 0.03},
        "replicasOfMe": gateways,
        "report": {"how": "answers", "names": ["load_share", "mean_ms", "concurrent"]},
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
        "zone": position % 3,
        "zones": ["hall-a", "hall-b", "hall-c"],
    }


class Agent:
    """Serves the list of rating nodes to one gateway, as discovery's agent on its machine."""

    def __init__(self, hosts: list[dict[str, Any]]) -> None:
        self.hosts = {each["host"]: dict(each) for each in hosts}
        self.seq = 41
        self.address = ("", 0)
        self._watches: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Opens the agent's address."""
        host = own_host()
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = (host, int(self._server.sockets[0].getsockname()[1]))

    def whole(self) -> bytes:
        """Returns the whole list as a line."""
        listed = [each for each in self.hosts.values() if each["health"] != "terminated"]
        return json.dumps({"seq": self.seq, "whole": True, "hosts": listed}).encode() + b"\n"

    def tell(self, host: str, **changes: Any) -> None:
        """Changes one entry and tells the open watches."""
        self.seq += 1
        self.hosts[host].update(changes)
        line = json.dumps({"seq": self.seq, "whole": False, "hosts": [self.hosts[host]]}).encode() + b"\n"
        for writer in self._watches:
            writer.write(_chunk(line))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            is_watch = b"stream=1" in head.split(b"\r\n", 1)[0]
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n")
            if not is_watch:
                body = self.whole()
                writer.write(b"Content-Length: %d\r\nConnection: close\r\n\r\n%b" % (len(body), body))
                return
            writer.write(b"Transfer-Encoding: chunked\r\n\r\n" + _chunk(self.whole()))
            self._watches.add(writer)
            while True:
                await asyncio.sleep(2.0)
                writer.write(_chunk(b"\n"))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._watches.discard(writer)
            writer.close()

    def close(self) -> None:
        """Closes the address and the watches."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._watches):
            writer.transport.abort()


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


class Gateway:
    """Runs one gateway with the deploy file's `run`, with a private and empty `$TMPDIR`."""

    def __init__(self, name: str, folder: Path, config: dict[str, Any], holds_socket: bool) -> None:
        self.name = name
        self.config = config
        host, _, port = config["listen"].rpartition(":")
        self.listen = (host, int(port))
        self._folder = folder / name
        self._folder.mkdir()
        self.process: asyncio.subprocess.Process | None = None
        self.predecessor: asyncio.subprocess.Process | None = None
        self._socket: socket.socket | None = None  # the clients' listening socket, if the platform holds it
        if holds_socket:
            self._socket = socket.create_server(self.listen, backlog=1024)

    async def start(self) -> None:
        """Starts the process; returns once it has answered `PING` with `+PONG`."""
        await self._spawn()
        deadline = time.monotonic() + READY_S
        while not await self._is_ready():
            self._check(deadline)
            await asyncio.sleep(0.05)

    async def upgrade(self, yes_within_s: float = 6.0) -> None:
        """Starts a new process beside the old one; returns once it has said yes at its own `control`."""
        host, port = free_address()
        self.predecessor = self.process
        self.config["control"] = text((host, port))
        await self._spawn()
        deadline = time.monotonic() + yes_within_s
        while not await self._says_yes(host, port):
            self._check(deadline)
            await asyncio.sleep(0.05)

    def _check(self, deadline: float) -> None:
        if self.process is None or self.process.returncode is not None or time.monotonic() > deadline:
            raise Setup(f"{self.name} did not become ready: {self.log()[-300:]}")

    async def _says_yes(self, host: str, port: int) -> bool:
        try:
            reader, writer = await asyncio.open_connection(host, port)
        except OSError:
            return False
        try:
            writer.write(b"GET /healthcheck HTTP/1.1\r\nHost: %b\r\n\r\n" % host.encode())
            return b" 200 " in await asyncio.wait_for(reader.readline(), 1.0)
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    async def _spawn(self) -> None:
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        path = self._folder / "config.json"
        path.write_text(json.dumps(self.config))
        scratch = self._folder / "tmp"
        scratch.mkdir(exist_ok=True)
        kept = {key: value for key, value in os.environ.items() if not key.startswith("ROUTER_")}
        environment = kept | {
            "ROUTER_NAME": self.name,
            "ROUTER_LISTEN": self.config["listen"],
            "ROUTER_DISCOVERY": self.config["discovery"],
            "ROUTER_CONFIG": str(path),
            "TMPDIR": str(scratch),
        }
        descriptors: tuple[int, ...] = ()
        if self._socket is not None:
            environment["ROUTER_ACCEPT_FD"] = str(ACCEPT_FD)
            os.dup2(self._socket.fileno(), ACCEPT_FD)
            descriptors = (ACCEPT_FD,)
        with (self._folder / "log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                command,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                pass_fds=descriptors,
            )

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(*self.listen)
        except OSError:
            return False
        try:
            writer.write(b"*1\r\n$4\r\nPING\r\n")
            return await asyncio.wait_for(reader.readline(), 1.0) == b"+PONG\r\n"
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    def log(self) -> str:
        """Returns its log."""
        return (self._folder / "log").read_text(errors="replace")

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """Ends its processes at once."""
        for process in (self.process, self.predecessor):
            if process is not None:
                if process.returncode is None:
                    process.kill()
                await process.wait()
        if self._socket is not None:
            self._socket.close()


class Platform:
    """Holds the agents, the gateways and the temporary folder of a run."""

    def __init__(self) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.agents: list[Agent] = []
        self.gateways: list[Gateway] = []

    async def start(
        self,
        count: int,
        nodes: list[Node],
        plans: list[dict[str, Any]],
        memory_mb: int = 192,
        sockets: int = 1024,
        holds_sockets: bool = False,
    ) -> None:
        """Starts `count` gateways, each with an agent of its own.

        With `holds_sockets` the platform holds the clients' listening sockets, as on days with upgrades.
        """
        peers = [text(free_address(socket.SOCK_DGRAM)) for _ in range(count)]
        for position in range(count):
            agent = Agent([node.entry(position) for node in nodes])
            await agent.start()
            self.agents.append(agent)
            name = f"n{position}"
            config = {
                "name": name,
                "listen": text(free_address()),
                "discovery": text(agent.address),
                "seed": f"{random.getrandbits(64):016x}",
                "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
                "peer_listen": peers[position],
                "peers": peers,
                "known": json.loads(agent.whole()),
                "settings": settings(position, count, plans),
            }
            self.gateways.append(Gateway(name, self.folder, config, holds_sockets))
        for gateway in self.gateways:
            await gateway.start()

    async def close(self) -> None:
        """Ends all processes and removes the temporary folder."""
        for gateway in self.gateways:
            await gateway.end()
        for agent in self.agents:
            agent.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def command(*words: bytes) -> bytes:
    """Returns a command in RESP2."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


class Request(dict[str, Any]):
    """Holds one request of a client with its name, class, customer, `d` in ms and wire form."""


def make_request(
    rng: random.Random, cls: str, customer: int, plan_name: str, d: int, spread: int, first: int, body: bytes
) -> Request:
    """Returns a request in the form of the protocol page."""
    name = f"{rng.getrandbits(64):016x}"
    options = [f"c={cls}", f"t={plan_name}", f"d={d}"]
    if cls == "usage-submit":
        options.append(f"k={rng.getrandbits(64):016x}")
    options += ["units=1", f"spread={spread}", f"first={first}"]
    verb = b"CALL.GET" if cls == "rate-lookup" else b"CALL.POST"
    words = [verb, b"%016x" % customer, name.encode(), ",".join(options).encode()]
    if verb == b"CALL.POST":
        words.append(body)
    return Request(name=name, cls=cls, customer=customer, d=d, wire=command(*words))


class Front:
    """Sends requests to one gateway: one at a time on a connection, and more connections when all are busy.

    It keeps a connection for 2 s at rest, as a gateway closes one between requests at any time it likes.
    """

    def __init__(self, gateway: Gateway) -> None:
        self._address = gateway.listen
        self._idle: deque[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = deque()

    async def send(
        self,
        request: Request,
        patience_s: float,
        on_sent: Callable[[], None] = lambda: None,
        pieces: tuple[int, float] = (1, 0.0),
    ) -> tuple[str, bytes]:
        """Returns how the request ended and its value: served, refused, failed, closed or silent.

        `patience_s` is how long the client waits from when it wrote the request's last byte, after which it
        closes its connection. `pieces` is in how many pieces, and in how many seconds, it writes the request.
        """
        loop = asyncio.get_running_loop()
        is_new = not self._idle
        if is_new:
            reader, writer = await asyncio.open_connection(*self._address, limit=1 << 23)
        else:
            reader, writer = self._idle.pop()
        raw = writer.get_extra_info("socket")
        try:
            count, write_s = pieces
            size = -(-len(request["wire"]) // count)
            for number in range(count):
                writer.write(request["wire"][number * size : (number + 1) * size])
                await asyncio.sleep(write_s / count if number < count - 1 else 0.0)
            while writer.transport.get_write_buffer_size():
                await asyncio.sleep(0.002)
            on_sent()
            request["sent_at"] = loop.time()
            async with asyncio.timeout(patience_s):
                ending, value = await _read_answer(reader)
        except TimeoutError:
            writer.transport.abort()
            return "silent", b""
        except (OSError, asyncio.IncompleteReadError, ValueError):
            writer.transport.abort()
            if is_new or ("sent_at" in request and loop.time() - request["sent_at"] > CROSSING_S):
                return "closed", b""
            # A close that crossed the request: the client sends it once more, on a new connection.
            self._idle.clear()
            return await self.send(request, patience_s, on_sent, pieces)
        if raw.fileno() >= 0:
            self._idle.append((reader, writer))
        return ending, value

    def close(self) -> None:
        """Closes all resting connections."""
        while self._idle:
            self._idle.pop()[1].transport.abort()


async def _read_answer(reader: asyncio.StreamReader) -> tuple[str, bytes]:
    line = await reader.readuntil(b"\r\n")
    if line.startswith(b"$") and line != b"$-1\r\n":
        value = await reader.readexactly(int(line[1:]) + 2)
        return "served", value[:-2]
    return ("refused" if line.startswith(b"-BUSY") else "failed"), line.strip()


class Node:
    """Serves as one rating node: two cores, one queue, answers in order on each connection.

    `on_run` is told of each request that it begins. `late_copy` gives, for an answer, after how many seconds
    a second copy of it follows, or 0 for none; no copy is sent while another request waits on the connection.
    """

    def __init__(self, number: int, rng: random.Random, on_run: Callable[[Node, bytes, bytes], None]) -> None:
        self.name = f"s-{number:08x}"
        self.number = number
        self.rng = rng
        self.on_run = on_run
        self.work_s: Callable[[bytes], float] = lambda cls: 0.1
        self.late_copy: Callable[[], float] = lambda: 0.0
        self.on_copy: Callable[[bytes], None] = lambda value: None
        self.hangs = False
        self.read_pause_s = 0.0  # between the reads of 64 KiB of a request, for peers that are slow to read
        self.addresses: list[tuple[str, int]] = []  # one for each gateway
        self.cores = [0.0, 0.0]
        self.in_hand = 0
        self.held: list[Callable[[], None]] = []
        self.connections: set[NodeConnection] = set()
        self._servers: list[asyncio.Server] = []

    async def start(self, gateways: int, has_network: bool = False) -> None:
        """Opens an address for each gateway; with `has_network` bytes take the site's times between halls."""
        loop = asyncio.get_running_loop()
        for gateway in range(gateways):
            is_near = gateway % 3 == self.number % 3
            delay_s = self.rng.uniform(*(SAME_HALL_S if is_near else CROSS_HALL_S)) if has_network else 0.0
            host, accept = own_host(), partial(NodeConnection, self, delay_s)
            server = await loop.create_server(accept, host, 0, backlog=512)
            self._servers.append(server)
            self.addresses.append((host, int(server.sockets[0].getsockname()[1])))

    def entry(self, gateway: int) -> dict[str, Any]:
        """Returns its entry in discovery's list for a gateway."""
        return {
            "host": self.name,
            "dial": text(self.addresses[gateway]),
            "site": ("hall-a", "hall-b", "hall-c")[self.number % 3],
            "class": "std-2c",
            "block": self.number % 3,
            "health": "in_service",
            "share": 1.0,
            "born_ms": 0,
        }

    def done_in(self, cls: bytes) -> float:
        """Takes a core for a request's work; returns the seconds until it is done."""
        now = asyncio.get_running_loop().time()
        core = self.cores.index(min(self.cores))
        self.cores[core] = max(now, self.cores[core]) + self.work_s(cls)
        return self.cores[core] - now

    def go_on(self) -> None:
        """Ends a hang: what was held back is answered now."""
        self.hangs = False
        held, self.held = self.held, []
        for answer in held:
            answer()

    def report(self) -> bytes:
        """Returns its load report."""
        now = asyncio.get_running_loop().time()
        busy = sum(core > now for core in self.cores) / 2
        return f"load_share={busy:.2f},mean_ms=20.0,concurrent={self.in_hand}".encode()

    def close(self) -> None:
        """Closes its addresses and its connections."""
        for server in self._servers:
            server.close()
        for connection in list(self.connections):
            connection.transport.abort()


class NodeConnection(asyncio.Protocol):
    """Handles one connection of a rating node."""

    transport: asyncio.Transport

    def __init__(self, node: Node, delay_s: float) -> None:
        self.node = node
        self._delay_s = delay_s  # of the network, one way
        self._data = bytearray()
        self._slots: deque[list[bytes]] = deque()
        self._is_open = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.node.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._is_open = False
        self.node.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        loop = asyncio.get_running_loop()
        if self.node.read_pause_s and len(data) + len(self._data) > 1 << 16:
            self.transport.pause_reading()
            loop.call_later(self.node.read_pause_s, self._read_on)
        if self._delay_s:
            loop.call_later(self._delay_s, self._take, data)
        else:
            self._take(data)

    def _read_on(self) -> None:
        if self._is_open:
            self.transport.resume_reading()

    def _take(self, data: bytes) -> None:
        self._data += data
        while self._is_open and (words := _words(self._data)) is not None:
            self._command(words)

    def _command(self, words: list[bytes]) -> None:
        slot: list[bytes] = []
        self._slots.append(slot)
        if words[0].upper() not in (b"CALL.GET", b"CALL.POST"):
            self._answer(slot, b"+PONG\r\n" if words[0].upper() == b"PING" else b"+OK\r\n")
            return
        cls = next(word[2:] for word in words[3].split(b",") if word.startswith(b"c="))
        self.node.in_hand += 1
        self.node.on_run(self.node, words[2], cls)
        value = b"%b made by %b" % (words[2], self.node.name.encode())
        wait_s = self.node.done_in(cls)
        asyncio.get_running_loop().call_later(wait_s, self._done, slot, value)

    def _done(self, slot: list[bytes], value: bytes) -> None:
        if self.node.hangs:
            self.node.held.append(lambda: self._done(slot, value))
            return
        self.node.in_hand -= 1
        answer = b"*3\r\n$%d\r\n%b\r\n$-1\r\n" % (len(value), value)
        report = self.node.report()
        answer += b"$%d\r\n%b\r\n" % (len(report), report)
        self._answer(slot, answer)
        if copy_s := self.node.late_copy():
            asyncio.get_running_loop().call_later(copy_s, self._second_copy, answer, value)

    def _second_copy(self, answer: bytes, value: bytes) -> None:
        if self._is_open and not self._slots and not self._data:
            self.node.on_copy(value)
            self._write(answer)

    def _answer(self, slot: list[bytes], answer: bytes) -> None:
        slot.append(answer)
        while self._slots and self._slots[0]:
            self._write(self._slots.popleft()[0])

    def _write(self, data: bytes) -> None:
        if self._delay_s:
            asyncio.get_running_loop().call_later(self._delay_s, self._write_now, data)
        else:
            self._write_now(data)

    def _write_now(self, data: bytes) -> None:
        if self._is_open and not self.transport.is_closing():
            self.transport.write(data)


def _words(data: bytearray) -> list[bytes] | None:
    """Takes one whole command off the front of `data`; returns None if there is none yet."""
    at = data.find(b"\r\n")
    if at < 0:
        return None
    count = int(data[1:at])
    at += 2
    words = []
    for _ in range(count):
        end = data.find(b"\r\n", at)
        if end < 0:
            return None
        size = int(data[at + 1 : end])
        if len(data) < end + 4 + size:
            return None
        words.append(bytes(data[end + 2 : end + 2 + size]))
        at = end + 4 + size
    del data[:at]
    return words


def run(folder: Path, case: Callable[[Record, Platform], Any], limit_s: float = 100.0) -> int:
    """Runs a case; returns its exit status."""

    async def guarded() -> int:
        record, platform = Record(folder / "record.txt"), Platform()
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)  # type: ignore[union-attr]
        try:
            async with asyncio.timeout(limit_s):
                summary = await case(record, platform)
            record.line("SUMMARY", summary)
            print(summary)
            return BROKEN if record.broken else HELD
        except (Setup, OSError, TimeoutError, asyncio.CancelledError) as error:
            record.line("NOT RUN", type(error).__name__, error)
            print(f"not run: {type(error).__name__}: {error}")
            return NOT_RUN
        finally:
            await platform.close()
            record.close()

    _reserve(ACCEPT_FD)
    return asyncio.run(guarded())


def _reserve(number: int) -> None:
    """Keeps a descriptor's number free for the listening sockets, before the event loop takes it."""
    while (descriptor := os.open("/dev/null", os.O_RDONLY)) < number:
        pass
    if descriptor > number:
        os.close(descriptor)
