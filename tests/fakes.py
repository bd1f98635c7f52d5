"""Provides small servers and clients on ephemeral loopback ports that tests drive event by event."""

from __future__ import annotations

import asyncio
import json
import socket
import sys
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine, Iterator
from contextlib import asynccontextmanager, contextmanager
from typing import Any, TypeVar

import hiredis
import uvloop

from trackspread.config.operator import DEFAULTS, Operator
from trackspread.config.platform import Config, parse
from trackspread.node.gateway import Gateway
from trackspread.testing.standins import settings
from trackspread.testing.standins.settings import class_settings, plan_settings

WAIT = 20.0  # Seconds. Only a test that hangs reaches this timeout; no assertion depends on it.
LOCAL = "127.0.0.1"
CUSTOMER = b"00000000b4d65521"
T = TypeVar("T")


def run(test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Runs a test's coroutine on the kind of event loop that the gateway uses."""
    uvloop.run(asyncio.wait_for(test(), 3 * WAIT))


async def soon(awaitable: Awaitable[T]) -> T:
    """Returns the result of an awaitable. Raises TimeoutError after `WAIT` seconds."""
    return await asyncio.wait_for(awaitable, WAIT)


async def until(holds: Callable[[], bool]) -> None:
    """Lets the event loop run until a condition holds. Raises TimeoutError after `WAIT` seconds."""
    async with asyncio.timeout(WAIT):
        while not holds():
            await asyncio.sleep(0.001)


def nested_settings(**changes: Any) -> dict[str, Any]:
    """Returns invented settings in the nested form of a real configuration.

    The name of a change within a part is `part__key`.
    """

    def a_class(name: str, repeat: str, group: str) -> dict[str, Any]:
        return class_settings(name, repeat, group, 800_000_000, 2_000_000_000, 5_000_000_000)

    classes = [
        a_class("look up", "free", "all"),
        a_class("submit", "guarded", "cell"),
        a_class("charge", "single_shot", "all"),
    ]
    plans = [plan_settings("team", 1000.0, 1000.0)]
    made = settings.nested_settings(classes, plans, 0, 2, report=("load_share", "concurrent"))
    for path, value in changes.items():
        part, _, key = path.partition("__")
        if key:
            made[part][key] = value
        else:
            made[part] = value
    return made


def host(
    name: str, port: int, health: str = "in_service", born_ms: int = 0, block: int = 0
) -> dict[str, Any]:
    """Returns one host of an endpoint list, as the discovery service sends it."""
    return {
        "host": name,
        "dial": f"{LOCAL}:{port}",
        "site": "a",
        "class": "m2",
        "block": block,
        "health": health,
        "share": 1.0,
        "born_ms": born_ms,
    }


def listing(seq: int, *hosts: dict[str, Any], whole: bool = True) -> dict[str, Any]:
    """Returns an update of the endpoint list; it is the full list unless `whole` is False."""
    return {"seq": seq, "whole": whole, "hosts": list(hosts)}


def raw_config(agent: int, known: dict[str, Any] | None = None, **changes: Any) -> dict[str, Any]:
    """Returns the platform's configuration as JSON objects; discovery listens on the port `agent`."""
    return {
        "name": "n0",
        "listen": f"{LOCAL}:0",
        "discovery": f"{LOCAL}:{agent}",
        "seed": "8c1f30d27a5be964",
        "limits": {"sockets": 1024},
        "peers": [],
        "known": known,
        "settings": nested_settings(**changes),
    }


def config(agent: int, known: dict[str, Any] | None = None, **changes: Any) -> Config:
    """Returns the platform's configuration, parsed."""
    return parse(raw_config(agent, known, **changes), {})


class Agent:
    """Stands in for the discovery service: records request lines and sends the updates that a test passes."""

    def __init__(self) -> None:
        self.asked: asyncio.Queue[bytes] = asyncio.Queue()
        self.writers: list[asyncio.StreamWriter] = []
        self.first: dict[str, Any] | None = None
        self.status = b"200 OK"
        self.port = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers one request with a chunked stream that starts with `first`, if that is set."""
        head = await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 %b\r\nTransfer-Encoding: chunked\r\n\r\n" % self.status)
        self.writers.append(writer)
        if self.first is not None:
            self.tell(self.first)
        self.asked.put_nowait(head.split(b"\r\n")[0])

    def tell(self, update: dict[str, Any]) -> None:
        """Sends an update on the newest connection."""
        self.raw(json.dumps(update).encode() + b"\n")

    def raw(self, data: bytes) -> None:
        """Sends bytes as one chunk on the newest connection."""
        self.writers[-1].write(b"%x\r\n%b\r\n" % (len(data), data))

    def hang_up(self) -> None:
        """Aborts the newest connection."""
        self.writers[-1].transport.abort()


class Connection:
    """Holds one end of a RESP connection and reads complete commands or answers from it."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self._parser = hiredis.Reader(notEnoughData=self)

    async def next(self) -> Any:
        """Returns the next command or answer, or None at the end of the connection."""
        while (message := self._parser.gets()) is self:
            try:
                data = await soon(self.reader.read(1 << 16))
            except ConnectionError:
                return None
            if not data:
                return None
            self._parser.feed(data)
        return message

    def send(self, data: bytes) -> None:
        """Writes bytes to the connection."""
        self.writer.write(data)

    def abort(self) -> None:
        """Closes the connection without sending what is still buffered."""
        self.writer.transport.abort()


class Backend:
    """Stands in for a backend and passes every command to the test as (connection, words)."""

    def __init__(self) -> None:
        self.commands: asyncio.Queue[tuple[Connection, list[bytes]]] = asyncio.Queue()
        self.connections: list[Connection] = []
        self.ended = 0
        self.port = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Queues each command of one connection until that connection ends."""
        connection = Connection(reader, writer)
        self.connections.append(connection)
        while (words := await connection.next()) is not None:
            self.commands.put_nowait((connection, words))
        self.ended += 1

    async def command(self) -> tuple[Connection, list[bytes]]:
        """Returns the next command of any connection. Raises TimeoutError after `WAIT` seconds."""
        return await soon(self.commands.get())


@asynccontextmanager
async def listening(served: Agent | Backend) -> AsyncIterator[None]:
    """Accepts connections for a stand-in server; on leaving, stops listening and cancels its connections."""
    tasks: set[asyncio.Task[None]] = set()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        tasks.add(task)
        try:
            await served.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, TimeoutError, asyncio.CancelledError):
            pass
        finally:
            tasks.discard(task)

    server = await asyncio.start_server(serve, LOCAL, 0)
    served.port = server.sockets[0].getsockname()[1]
    try:
        yield
    finally:
        server.close()
        for task in list(tasks):
            task.cancel()


@contextmanager
def busy_listener(at: tuple[str, int] = (LOCAL, 0)) -> Iterator[socket.socket]:
    """Yields a listener whose accept queue is full.

    A connect to it gets no answer, as from a server that comes up late.
    """
    with socket.socket() as full:
        full.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        full.bind(at)
        full.listen(0)
        connecting = [socket.socket() for _ in range(4)]
        for each in connecting:
            each.setblocking(False)
            each.connect_ex(full.getsockname())
        try:
            yield full
        finally:
            for each in connecting:
                each.close()


class World:
    """Holds a gateway with one backend and its discovery service, and opens client connections to it."""

    def __init__(self, node: Gateway, agent: Agent, backend: Backend) -> None:
        self.node, self.agent, self.backend = node, agent, backend

    async def client(self) -> Connection:
        """Returns a new client connection to the gateway."""
        return Connection(*await soon(asyncio.open_connection(LOCAL, self.node.clients.port)))


@asynccontextmanager
async def world(operator: Operator = DEFAULTS, **changes: Any) -> AsyncIterator[World]:
    """Runs a gateway with one backend and its discovery service; on leaving, closes them."""
    agent, backend = Agent(), Backend()
    async with listening(agent), listening(backend):
        agent.first = listing(1, host("s-1", backend.port))
        node = Gateway(config(agent.port, None, **changes), operator)
        await soon(node.start())
        try:
            yield World(node, agent, backend)
        finally:
            if node.parts.plan_registry is not None:
                node.parts.plan_registry.stop()
            await node.discovery.close()
            node.backends.close()
            node.peers.close()
            node.clients.close()


def call(
    cls: str = "look up",
    number: int = 1,
    wait_ms: int = 5000,
    body: bytes | None = None,
    extra: str = "",
    customer: bytes = CUSTOMER,
) -> bytes:
    """Returns a command as a client sends it."""
    name = b"CALL.GET" if cls == "look up" else b"CALL.POST"
    key = ",k=5c0f6e1a2b3d4c59" if cls == "submit" else ""
    pairs = f"c={cls},t=team,d={wait_ms}{key},units=1,spread=2,first=0{extra}"
    words = (name, customer, b"%016x" % number, pairs.encode()) + (() if body is None else (body,))
    return hiredis.pack_command(words)  # type: ignore[no-any-return,arg-type]


def bulk(value: bytes) -> bytes:
    """Returns a value as a RESP bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


def served(value: bytes, report: bytes | None = b"load_share=0.5,concurrent=3") -> bytes:
    """Returns a backend's successful answer with its load report, or without one for None."""
    return b"*3\r\n" + bulk(value) + b"$-1\r\n" + (b"$-1\r\n" if report is None else bulk(report))


async def command(*words: str) -> tuple[int | None, str]:
    """Runs one of the program's commands in its own process and returns its exit status and output."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "trackspread",
        *words,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.DEVNULL,
    )
    out, _ = await process.communicate()
    return process.returncode, out.decode()
