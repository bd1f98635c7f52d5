"""Tests with a gateway process that a client that has left gets no further attempt.

This holds wherever its request waits.

The order of events is forced by stopping the process: the event that the request waits for, and then its
client's end, are in the kernel when the process continues. The event is checked to have arrived, and the
process is shut down gracefully before attempts are counted, so that none can follow.
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

from trackspread.backends.connection import REUSE_DELAY_S
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
from ..backends.test_endings_attempts import write_to_socket
from ..node.test_gateway_process import Process, started

pytestmark = pytest.mark.processes

HOW = ["end", "reset"]
OWN_TENANT, OTHER_TENANT = 2, 1  # whose quota owner is this gateway, or the other one
HELD_ANSWER_S = 3600.0  # delay of the counter's answers; a test writes them itself
PIPELINE = DEFAULTS.clients.pipeline
OWNER_TIMEOUT_S = 4 * TICK / 1e9  # longer than a request waits for its quota owner


class BlockingClient:
    """Sends on a blocking socket, so that its bytes are in the gateway's kernel when a call returns."""

    def __init__(self, port: int) -> None:
        self.socket = socket.create_connection((LOCAL, port))

    def send(self, data: bytes) -> None:
        self.socket.sendall(data)

    def leave(self, how: str) -> None:
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", how == "reset", 0))
        self.socket.close()


@contextmanager
def stopped(process: Process) -> Iterator[None]:
    """Stops the gateway's process for the time of the block."""
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
    """Runs a gateway with `backends` backends, which are all one server, and others at the ports `more`.

    `keys` are keys of its configuration; `operator` is the text of the operator's file.
    """
    agent, backend = Agent(), Backend()
    async with listening(agent), listening(backend):
        ports = [backend.port] * backends + list(more)
        agent.first = listing(1, *(host(f"s-{n}", port) for n, port in enumerate(ports)))
        config = raw_config(agent.port, **settings) | (keys or {})
        async with started(folder, agent, config, operator) as (process, path):
            running = Process(process, 0, backend, path)
            assert process.stderr is not None
            while b"listening on" not in (line := await soon(process.stderr.readline())):
                assert line, "the gateway ended before it listened"
            running.port = int(line.rsplit(b":", 1)[1])
            yield running


async def stop(process: Process) -> int:
    """Shuts the gateway down; returns how many more complete commands reached the backends."""
    process.process.send_signal(signal.SIGTERM)
    assert await soon(process.process.wait()) == 0
    return process.backend.commands.qsize()


async def open_idle_connections(process: Process, count: int, customer: bytes = CUSTOMER) -> None:
    """Opens `count` connections to backends and leaves them idle, so that an attempt is written at once."""
    client = Connection(*await soon(asyncio.open_connection(LOCAL, process.port)))
    client.send(b"".join(call(number=1000 + n, customer=customer) for n in range(count)))
    for connection, _ in [await process.backend.command() for _ in range(count)]:
        connection.send(served(b"v"))
    assert [await client.next() for _ in range(count)] == [b"v"] * count
    await asyncio.sleep(2 * REUSE_DELAY_S)


ANSWERS = {"refused": b"-BUSY\r\n", "failed": b"-ERR failed\r\n", "spoilt": b"+junk\r\n"}


@pytest.mark.parametrize("how", HOW)
@pytest.mark.parametrize("answer", ANSWERS)
def test_failed_attempt_is_not_retried_after_client_left(tmp_path: Path, answer: str, how: str) -> None:
    async def test() -> None:
        async with gateway(tmp_path) as process:
            await open_idle_connections(process, 2)
            client = BlockingClient(process.port)
            client.send(call())
            first, _ = await process.backend.command()
            with stopped(process):
                write_to_socket(first, ANSWERS[answer])
                client.leave(how)
            assert await stop(process) == 0

    run(test)


def test_unread_command_of_a_client_that_left_is_dropped(tmp_path: Path) -> None:
    async def test() -> None:
        async with gateway(tmp_path) as process:
            await open_idle_connections(process, 3)
            client = BlockingClient(process.port)
            client.send(call(number=1))
            await process.backend.command()
            with stopped(process):
                client.send(call(number=2) + call("charge", 3, body=b"B"))
                client.leave("end")
            assert await stop(process) == 0

    run(test)


@pytest.mark.parametrize("how", HOW)
def test_nothing_is_written_when_client_left_during_connect(tmp_path: Path, how: str) -> None:
    """The backend's connection is established in the same turn in which the client's end arrives."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        with busy_listener() as full:
            full.setblocking(False)
            async with gateway(tmp_path, 0, (full.getsockname()[1],)) as process:
                client = BlockingClient(process.port)
                client.send(call("charge", body=b"B"))
                await wait_for_connect(process, full.getsockname()[1])
                with stopped(process):
                    taken = await accept_connection(full, process)
                    client.leave(how)
                assert await soon(loop.sock_recv(taken, 1 << 16)) == b""
                taken.close()

    run(test)


def local_addresses(process: Process, port: int) -> list[str]:
    """Returns the local addresses, in hexadecimal, of the process's connections to a port."""
    rows = [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:]]
    own = {os.readlink(path) for path in Path(f"/proc/{process.process.pid}/fd").iterdir()}
    return [row[1] for row in rows if row[2].endswith(f":{port:04X}") and f"socket:[{row[9]}]" in own]


async def wait_for_connect(process: Process, port: int) -> None:
    while not local_addresses(process, port):
        await asyncio.sleep(0.001)


async def accept_connection(full: socket.socket, process: Process) -> socket.socket:
    """Returns the gateway's connection from an accept queue that was full of others."""
    loop, port = asyncio.get_running_loop(), full.getsockname()[1]
    (wanted,) = local_addresses(process, port)
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
            client = BlockingClient(process.port)
            client.send(b"".join(call(number=n) for n in range(2 * PIPELINE)))
            firsts = [(await process.backend.command())[0] for _ in range(PIPELINE)]
            with stopped(process):
                client.leave(how)
                for first in firsts:
                    write_to_socket(first, ANSWERS["refused"])
            assert await stop(process) == 0

    run(test)


@pytest.mark.parametrize("how", HOW)
def test_held_command_is_dropped_when_client_left(tmp_path: Path, how: str) -> None:
    """An answer makes place in the pipeline in the same turn in which the client's end arrives."""

    async def test() -> None:
        async with gateway(tmp_path) as process:
            client = BlockingClient(process.port)
            client.send(b"".join(call(number=n) for n in range(2 * PIPELINE)))
            firsts = [(await process.backend.command())[0] for _ in range(PIPELINE)]
            with stopped(process):
                client.leave(how)
                for first in firsts:
                    write_to_socket(first, served(b"v"))
            assert await stop(process) == 0

    run(test)


def next_quota_request(owner: socket.socket, customer: int) -> tuple[QuotaMessage, Any]:
    """Returns the next quota request of a tenant that reaches its owner, and the sender's address."""
    while True:
        data, address = owner.recvfrom(MAX_MESSAGE_BYTES)
        quota_request = unpack_quota_message(data)
        if (
            quota_request is not None
            and quota_request.kind == QuotaMessageKind.REQUEST
            and quota_request.tenant == customer
        ):
            return quota_request, address


def grant(owner: socket.socket, quota_request: QuotaMessage, address: Any) -> None:
    owner.sendto(
        pack_quota_message(
            QuotaMessage(
                QuotaMessageKind.GRANT,
                quota_request.tenant,
                quota_request.plan,
                100.0,
                quota_request.query,
                10,
                in_flight=1,
            )
        ),
        address,
    )


@pytest.mark.parametrize("how", HOW)
@pytest.mark.parametrize("granted", [True, False], ids=["granted", "no answer"])
def test_quota_owner_reply_starts_nothing_after_client_left(tmp_path: Path, granted: bool, how: str) -> None:
    """The request waits for a grant of its quota owner, which arrives or times out after the client left."""

    async def test() -> None:
        own, owner = (socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(2))
        for end in (own, owner):
            end.settimeout(WAIT)
            end.bind((LOCAL, 0))
        ports = ["{}:{}".format(*end.getsockname()) for end in (own, owner)]
        own.close()
        plan = plan_settings("team", 1000.0, 1000.0) | {"parallel": 8}
        async with gateway(
            tmp_path, keys={"peer_listen": ports[0], "peers": ports}, packages=[plan]
        ) as process:
            await open_idle_connections(process, 1, b"%016x" % OWN_TENANT)
            client = BlockingClient(process.port)
            client.send(call(customer=b"%016x" % OTHER_TENANT))
            quota_request, address = next_quota_request(owner, OTHER_TENANT)
            with stopped(process):
                if granted:
                    grant(owner, quota_request, address)
                client.leave(how)
                if not granted:
                    time.sleep(OWNER_TIMEOUT_S)
            assert await stop(process) == 0
        owner.close()

    run(test)


async def wait_for_counter(process: Process) -> None:
    """Waits until the gateway has had an answer of its counter, and a connection to a backend is idle."""
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
def test_counter_reply_starts_nothing_after_client_left(tmp_path: Path, how: str) -> None:
    """The request waits for the shared counter, whose answer arrives after the client left."""

    async def test() -> None:
        server = CounterServer([Shard(0)], 2)
        await server.start()
        own = f'[counter]\nservers = ["{server.server_texts(0)[0]}"]\npartitions = 1\n'
        plan = plan_settings("team", 10.0, 2.0)  # none of it is kept here before the counter answers
        async with gateway(tmp_path, operator=own, packages=[plan]) as process:
            await wait_for_counter(process)
            (shard,), counter_key = server.shards, key_of("ts", 0, OTHER_TENANT)
            execute = shard.execute

            def execute_and_delay(
                gateway: int, words: tuple[bytes, ...], now: int, asking: bool = False
            ) -> Any:
                if counter_key in words:
                    server.delay_s = HELD_ANSWER_S
                return execute(gateway, words, now, asking)

            shard.execute = execute_and_delay  # type: ignore[method-assign]
            client = BlockingClient(process.port)
            client.send(call(customer=b"%016x" % OTHER_TENANT))
            while not (waiting := [line for line in server.connections if line._delayed]):
                await asyncio.sleep(0)
            with stopped(process):
                (transport,) = [line._transport for line in waiting if line._transport is not None]
                descriptor = transport.get_extra_info("socket").fileno()
                os.write(descriptor, b"".join(waiting[0]._delayed))
                client.leave(how)
            assert await stop(process) == 0
        server.close()

    run(test)
