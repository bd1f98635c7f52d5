"""Tests what connections take along to another process, with two gateways in one process."""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from trackspread.decide.events import RequestArrived
from trackspread.handover.wire import MAX_CLIENT_INPUT_BYTES, PIECE_BYTES

from ..fakes import LOCAL, World, call, run, served, until, world
from .test_clients import script

BODY = random.Random(1).randbytes(300_000)
COMMAND = call("charge", 1, body=BODY)
HEAD_BYTES = len(COMMAND) - len(BODY) - len(b"\r\n")
LENGTH_DIGITS = 5  # of a long body's length, which are not kept as text while it is read
PING = b"*1\r\n$4\r\nPING\r\n"


@asynccontextmanager
async def two_worlds() -> AsyncIterator[tuple[World, World]]:
    """Runs two gateways, of which the first one can hand its connections over to the second one."""
    async with world() as old, world() as new:
        yield old, new


def hand_over(old: World, new: World, max_input_bytes: int = MAX_CLIENT_INPUT_BYTES) -> None:
    """Lets the first gateway pass on its connections from now on."""

    def adopt(descriptor: int, passed_input: list[bytes]) -> None:
        tasks.append(asyncio.ensure_future(new.node.clients.adopt(descriptor, passed_input)))

    tasks: list[asyncio.Task[None]] = []
    old.node.clients.begin_handover()
    old.node.clients.pass_on(adopt, max_input_bytes)


def input_bytes(w: World) -> int:
    """Returns the size of the input that the gateway has read and not processed."""
    return sum(client.input_bytes for client in [*w.node.clients._unused, *w.node.clients._active])


@pytest.mark.parametrize(
    "cut", [10, HEAD_BYTES - 1, HEAD_BYTES, HEAD_BYTES + 1, 100_000, len(COMMAND) - 2, len(COMMAND) - 1]
)
def test_long_command_goes_on_at_any_byte(cut: int) -> None:
    """Guards against a request that its client writes during an upgrade and that nobody reads any more."""

    async def test() -> None:
        async with two_worlds() as (old, new):
            client = await old.client()
            client.send(PING)
            assert await client.next() == b"PONG"
            client.send(COMMAND[:cut])
            await until(lambda: input_bytes(old) >= cut - LENGTH_DIGITS)
            hand_over(old, new)
            await until(lambda: not old.node.clients.count() and new.node.clients.count() == 1)
            assert old.node.clients.bodies.used_bytes == 0
            client.send(COMMAND[cut:] + PING)
            connection, words = await new.backend.command()
            assert words[2] == b"%016x" % 1 and words[4] == BODY
            connection.send(served(b"v"))
            assert [await client.next(), await client.next()] == [b"v", b"PONG"]
            assert new.node.clients.bodies.used_bytes == 0

    run(test)


def test_short_input_does_not_wait_for_long_input() -> None:
    """Guards against short requests that are passed on behind long bodies."""

    async def test() -> None:
        async with world() as old:
            clients = [await old.client() for _ in range(3)]
            for client, cut in zip(clients, (200_000, 10, 100_000), strict=True):
                client.send(COMMAND[:cut])
            await until(lambda: input_bytes(old) >= 300_010 - 2 * LENGTH_DIGITS)
            sizes: list[int] = []
            old.node.clients.begin_handover()
            old.node.clients.pass_on(lambda _, passed: sizes.append(sum(map(len, passed))), 1 << 20)
            assert sizes == [10, 100_000, 200_000]  # as the client has written them

    run(test)


def test_discarded_body_is_rejected_before_handover() -> None:
    """Guards against a body that is neither kept nor read, so that its client waits in silence."""

    async def test() -> None:
        async with two_worlds() as (old, new):
            s = script(old, lambda a: [])
            old.node.clients.bodies.limit_bytes = 1 << 20
            first, second = await old.client(), await old.client()
            first.send(call("charge", 2, body=bytes(1 << 20 | 1)))
            await until(lambda: len(s.of(RequestArrived)) == 1)
            second.send(call("charge", 1, wait_ms=40, body=BODY)[:200_000])
            await until(lambda: any(c._reader.is_discarding for c in old.node.clients._unused))
            hand_over(old, new)
            second.send(call("charge", 1, wait_ms=40, body=BODY)[200_000:] + PING)
            assert str(await second.next()) == "BUSY"
            while not new.node.clients.count():
                old.node.clients.pass_on_all()  # the old process polls so until it is drained
                await asyncio.sleep(0.001)
            assert await second.next() == b"PONG"

    run(test)


def test_body_whose_wait_ends_during_a_handover_is_rejected() -> None:
    """Guards against a body that is dropped while its connection is not read."""

    async def test() -> None:
        async with world() as old:
            client = await old.client()
            client.send(COMMAND[:200_000])
            await until(lambda: input_bytes(old) >= 200_000 - LENGTH_DIGITS)
            old.node.clients.begin_handover()
            (connection,) = old.node.clients._unused
            connection.drop_body()
            old.node.clients.bodies.discard(connection)
            client.send(COMMAND[200_000:])
            assert str(await client.next()) == "BUSY"

    run(test)


def test_cancelled_handover_reads_on() -> None:
    """Guards against a half-written request that stays unread after a handover that did not take place."""

    async def test() -> None:
        async with world() as old:
            client = await old.client()
            client.send(COMMAND[:200_000])
            await until(lambda: input_bytes(old) >= 200_000 - LENGTH_DIGITS)
            old.node.clients.begin_handover()
            client.send(COMMAND[200_000:] + PING)
            await old.node.clients.cancel_handover()
            connection, words = await old.backend.command()
            assert words[4] == BODY
            connection.send(served(b"v"))
            assert [await client.next(), await client.next()] == [b"v", b"PONG"]

    run(test)


def test_too_long_input_for_older_process_ends_with_error() -> None:
    """Guards against silence where the new process is of a version that accepts one packet of input."""

    async def test() -> None:
        async with two_worlds() as (old, new):
            client, other = await old.client(), await old.client()
            client.send(COMMAND[:100_000])
            other.send(COMMAND[:10])
            await until(lambda: input_bytes(old) >= 100_010 - LENGTH_DIGITS)
            hand_over(old, new, PIECE_BYTES)
            assert "Protocol error" in str(await client.next())
            other.send(COMMAND[10:])
            connection, _ = await new.backend.command()
            connection.send(served(b"v"))
            assert await other.next() == b"v"

    run(test)


def test_adopted_connection_with_full_pipeline_is_not_read() -> None:
    """Guards against unbounded input: uvloop starts to read after `connection_made`, paused or not."""

    async def test() -> None:
        async with world() as w:
            s = script(w, *[lambda a: []] * 40)
            command = call()
            with socket.create_server((LOCAL, 0)) as listener:
                client = socket.create_connection(listener.getsockname())
                accepted = listener.accept()[0]
            client.setblocking(False)
            accepted.setblocking(False)
            commands = [command.replace(b"%016x" % 1, b"%016x" % number) for number in range(40)]
            await w.node.clients.adopt(accepted.detach(), commands)
            await until(lambda: len(s.of(RequestArrived)) == 32)
            with pytest.raises(BlockingIOError):
                while True:
                    client.send(bytes(1 << 16))
            for _ in range(20):
                await asyncio.sleep(0)
            (adopted,) = w.node.clients._active
            assert adopted.input_bytes == 8 * len(command)
            client.close()

    run(test)
