"""A client that has left gets no further attempt, wherever its request waits: the program in a process.

The order is forced by a process that is stopped: what the request waits for and its client's end lie in the
kernel when it goes on, the former first. What ends the wait is checked to have come, and the process is ended
in good order before its attempts are counted, so nothing can follow.
"""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import struct
import time
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from pathlib import Path
from typing import Any

import pytest

from trackspread.backends.connection_pool import REUSE_DELAY_S
from trackspread.config.operator import DEFAULTS
from trackspread.counter.commands import key_of
from trackspread.decide.peer_messages import (
    MAX_MESSAGE_BYTES,
    QuotaMessage,
    QuotaMessageKind,
    pack_quota_message,
    unpack_quota_message,
)
from trackspread.decide.time_units import TICK
from trackspread.testing.standins.counter import Shard
from trackspread.testing.standins.counter_server import CounterServer
from trackspread.testing.standins.settings import plan_settings

from ..fakes import (
    CUSTOMER,
    LOCAL,
    WAIT,
    Agent,
    Backend,
    Connection,
    busy_listener,
    call,
    host,
    listening,
    listing,
    raw_config,
    run,
    served,
    soon,
)
from ..backends.test_endings_attempts import at_once
from ..node.test_gateway_process import Process, started

pytestmark = pytest.mark.processes

HOW = ["end", "reset"]
HERE, ELSEWHERE = 2, 1  # customers by their homes, of two gateways
HELD = 3600.0  # s that the counter would keep its answers: a test says them
PIPELINE = DEFAULTS.clients.pipeline
WAITED = 4 * TICK / 1e9  # s, over the time for which a request waits for a home


class Customer:
    """A client on a blocking socket: what it does has come to the gateway's kernel when the call returns."""

    def __init__(self, port: int) -> None:
        self.socket = socket.create_connection((LOCAL, port))

    def send(self, data: bytes) -> None:
        self.socket.sendall(data)

    def leave(self, how: str) -> None:
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", how == "reset", 0))
        self.socket.close()


@contextmanager
def stopped(process: Process) -> Iterator[None]:
    """The gateway stands still meanwhile."""
    pid = process.process.pid
    os.kill(pid, signal.SIGSTOP)
    while Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "T":
        pass
    try:
        yield
    finally:
        os.kill(pid, signal.SIGCONT)


@asynccontextmanager
async def gateway(
    folder: Path,
    backends: int = 1,
    more: tuple[int, ...] = (),
    keys: dict[str, Any] | None = None,
    operator: str = "",
    **settings: Any,
) -> AsyncIterator[Process]:
    """A gateway with so many backends that are one server in truth, and others at the ports `more`.
    `keys`: of its configuration; `operator`: the text of the operator's file."""
    agent, backend = Agent(), Backend()
    async with listening(agent), listening(backend):
        ports = [backend.port] * backends + list(more)
        agent.first = listing(1, *(host(f"s-{n}", port) for n, port in enumerate(ports)))
        config = raw_config(agent.port, **settings) | (keys or {})
        async with started(folder, agent, config, operator) as (process, path):
            made = Process(process, 0, backend, path)
            assert process.stderr is not None
            while b"listening on" not in (line := await soon(process.stderr.readline())):
                assert line, "ended before it listened"
            made.port = int(line.rsplit(b":", 1)[1])
            yield made


async def ended(process: Process) -> int:
    """Ends the gateway in good order; how many more commands came whole to the backends."""
    process.process.send_signal(signal.SIGTERM)
    assert await soon(process.process.wait()) == 0
    return process.backend.commands.qsize()


async def rested(process: Process, count: int, customer: bytes = CUSTOMER) -> None:
    """So many connections to backends are up and at rest: an attempt is written at once."""
    client = Connection(*await soon(asyncio.open_connection(LOCAL, process.port)))
    client.send(b"".join(call(number=1000 + n, customer=customer) for n in range(count)))
    for connection, _ in [await process.backend.command() for _ in range(count)]:
        connection.send(served(b"v"))
    assert [await client.next() for _ in range(count)] == [b"v"] * count
    await asyncio.sleep(2 * REUSE_DELAY_S)


ANSWERS = {"refused": b"-BUSY\r\n", "failed": b"-ERR failed\r\n", "spoilt": b"+junk\r\n"}


@pytest.mark.parametrize("how", HOW)
@pytest.mark.parametrize("answer", ANSWERS)
def test_failed_attempt_is_not_retried_after_client_left(
    tmp_path: Path, answer: str, how: str
) -> None:
    async def test() -> None:
        async with gateway(tmp_path) as process:
            await rested(process, 2)
            client = Customer(process.port)
            client.send(call())
            first, _ = await process.backend.command()
            with stopped(process):
                at_once(first, ANSWERS[answer])
                client.leave(how)
            assert await ended(process) == 0

    run(test)


def test_unread_command_of_a_client_that_left_is_dropped(tmp_path: Path) -> None:
    async def test() -> None:
        async with gateway(tmp_path) as process:
            await rested(process, 3)
            client = Customer(process.port)
            client.send(call(number=1))
            await process.backend.command()
            with stopped(process):
                client.send(call(number=2) + call("charge", 3, body=b"B"))
                client.leave("end")
            assert await ended(process) == 0

    run(test)


@pytest.mark.parametrize("how", HOW)
def test_nothing_is_written_when_client_left_during_connect(
    tmp_path: Path, how: str
) -> None:
    """The backend's connection is established in the same turn in which the client's end arrives."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        with busy_listener() as full:
            full.setblocking(False)
            async with gateway(tmp_path, 0, (full.getsockname()[1],)) as process:
                client = Customer(process.port)
                client.send(call("charge", body=b"B"))
                await connecting(process, full.getsockname()[1])
                with stopped(process):
                    taken = await accepted(full, process)
                    client.leave(how)
                assert await soon(loop.sock_recv(taken, 1 << 16)) == b""
                taken.close()

    run(test)


def sockets_of(process: Process, port: int) -> list[str]:
    """Local addresses, in hexadecimal, of connections from here to the port in the kernel's table."""
    rows = [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:]]
    own = {os.readlink(path) for path in Path(f"/proc/{process.process.pid}/fd").iterdir()}
    return [row[1] for row in rows if row[2].endswith(f":{port:04X}") and f"socket:[{row[9]}]" in own]


async def connecting(process: Process, port: int) -> None:
    while not sockets_of(process, port):
        await asyncio.sleep(0.001)


async def accepted(full: socket.socket, process: Process) -> socket.socket:
    """The gateway's connection, out of a queue that was full of others."""
    loop, port = asyncio.get_running_loop(), full.getsockname()[1]
    (wanted,) = sockets_of(process, port)
    while True:
        taken, (_, theirs) = await soon(loop.sock_accept(full))
        if wanted.endswith(f":{theirs:04X}"):
            taken.setblocking(False)
            return taken
        taken.close()


@pytest.mark.parametrize("how", HOW)
def test_unread_client_that_left_gets_no_retry(tmp_path: Path, how: str) -> None:
    """The client has as many commands open as the pipeline allows, so it is not read, and the loop does not
    report its end.
    """

    async def test() -> None:
        async with gateway(tmp_path, 2) as process:
            client = Customer(process.port)
            client.send(b"".join(call(number=n) for n in range(2 * PIPELINE)))
            firsts = [(await process.backend.command())[0] for _ in range(PIPELINE)]
            with stopped(process):
                client.leave(how)
                for first in firsts:
                    at_once(first, ANSWERS["refused"])
            assert await ended(process) == 0

    run(test)


@pytest.mark.parametrize("how", HOW)
def test_held_command_is_dropped_when_client_left(
    tmp_path: Path, how: str
) -> None:
    """An answer makes place in the pipeline in the same turn in which the client's end arrives."""

    async def test() -> None:
        async with gateway(tmp_path) as process:
            client = Customer(process.port)
            client.send(b"".join(call(number=n) for n in range(2 * PIPELINE)))
            firsts = [(await process.backend.command())[0] for _ in range(PIPELINE)]
            with stopped(process):
                client.leave(how)
                for first in firsts:
                    at_once(first, served(b"v"))
            assert await ended(process) == 0

    run(test)


def asked(home: socket.socket, customer: int) -> tuple[QuotaMessage, Any]:
    """The next ask that comes to the customer's home, and where from."""
    while True:
        data, address = home.recvfrom(MAX_MESSAGE_BYTES)
        draw = unpack_quota_message(data)
        if draw is not None and draw.kind == QuotaMessageKind.REQUEST and draw.tenant == customer:
            return draw, address


def grant(home: socket.socket, draw: QuotaMessage, address: Any) -> None:
    home.sendto(
        pack_quota_message(
            QuotaMessage(QuotaMessageKind.GRANT, draw.tenant, draw.plan, 100.0, draw.query, 10, in_flight=1)
        ),
        address,
    )


@pytest.mark.parametrize("how", HOW)
@pytest.mark.parametrize("granted", [True, False], ids=["granted", "no answer"])
def test_quota_owner_reply_starts_nothing_after_client_left(
    tmp_path: Path, granted: bool, how: str
) -> None:
    """The request waits for the grant of its quota owner, which arrives or times out after the client left.
    """

    async def test() -> None:
        own, home = (socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(2))
        for end in (own, home):
            end.settimeout(WAIT)
            end.bind((LOCAL, 0))
        ports = ["{}:{}".format(*end.getsockname()) for end in (own, home)]
        own.close()
        plan = plan_settings("team", 1000.0, 1000.0) | {"parallel": 8}
        async with gateway(
            tmp_path, keys={"peer_listen": ports[0], "peers": ports}, packages=[plan]
        ) as process:
            await rested(process, 1, b"%016x" % HERE)
            client = Customer(process.port)
            client.send(call(customer=b"%016x" % ELSEWHERE))
            draw, address = asked(home, ELSEWHERE)
            with stopped(process):
                if granted:
                    grant(home, draw, address)
                client.leave(how)
                if not granted:
                    time.sleep(WAITED)
            assert await ended(process) == 0
        home.close()

    run(test)


async def heard_counter(process: Process) -> None:
    """The gateway has had word from its counter, and a connection to a backend is at rest."""
    client, number = Connection(*await soon(asyncio.open_connection(LOCAL, process.port))), 1000
    while True:
        number += 1
        client.send(call(number=number))
        tasks = asyncio.create_task(client.next()), asyncio.create_task(process.backend.command())
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        answer, command = tasks
        if command.done():
            command.result()[0].send(served(b"v"))
            assert await answer == b"v"
            return
        command.cancel()


@pytest.mark.parametrize("how", HOW)
def test_counter_reply_starts_nothing_after_client_left(
    tmp_path: Path, how: str
) -> None:
    """The request waits for the shared counter, whose answer arrives after the client left."""

    async def test() -> None:
        server = CounterServer([Shard(0)], 2)
        await server.start()
        own = f'[counter]\nservers = ["{server.server_texts(0)[0]}"]\npartitions = 1\n'
        plan = plan_settings("team", 10.0, 2.0)  # none of it is kept here before a word comes
        async with gateway(tmp_path, operator=own, packages=[plan]) as process:
            await heard_counter(process)
            (shard,), asked_of = server.shards, key_of("ts", 0, ELSEWHERE)
            execute = shard.execute

            def held(gateway: int, words: tuple[bytes, ...], now: int, asking: bool = False) -> Any:
                if asked_of in words:
                    server.delay_s = HELD
                return execute(gateway, words, now, asking)

            shard.execute = held  # type: ignore[method-assign]
            client = Customer(process.port)
            client.send(call(customer=b"%016x" % ELSEWHERE))
            while not (asking := [line for line in server.connections if line._delayed]):
                await asyncio.sleep(0)
            with stopped(process):
                (transport,) = [line._transport for line in asking if line._transport is not None]
                descriptor = transport.get_extra_info("socket").fileno()
                os.write(descriptor, b"".join(asking[0]._delayed))
                client.leave(how)
            assert await ended(process) == 0
        server.close()

    run(test)
