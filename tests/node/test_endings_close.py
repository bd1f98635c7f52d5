"""Bytes that come in the very moment in which a connection is closed, and small writes: no answer goes with
the close, and nothing that is read after it is sent on.

The order is forced: the other side's bytes go into the socket between the last look at it and its close."""

from __future__ import annotations

import asyncio
import os
import socket
from typing import Any, cast

import pytest

from trackspread.backends import connection_pool
from trackspread.config.operator import ClientBounds, Operator
from trackspread.decide.events import Outcome
from trackspread.fronts import connections
from trackspread.fronts.client import ClientConnection

from ..fakes import LOCAL, Backend, World, call, run, served, soon, until, world
from ..backends.test_backends import bench


def crossing(monkeypatch: pytest.MonkeyPatch, client: socket.socket, data: bytes) -> None:
    """The client writes this just as the gateway closes its connection."""
    close = ClientConnection.close

    def crossed(self: ClientConnection) -> None:
        client.sendall(data)
        close(self)

    monkeypatch.setattr(ClientConnection, "close", crossed)


async def read_all(client: socket.socket) -> bytes:
    """Up to the end; raises `ConnectionResetError` where that is none."""
    client.setblocking(False)
    got = b""
    while data := await soon(asyncio.get_running_loop().sock_recv(client, 1 << 16)):
        got += data
    return got


def at_rest(w: World) -> bool:
    return bool(w.node.clients._active) and not w.node.requests


@pytest.mark.parametrize("why", ["idle", "stopping"])
def test_request_that_crosses_a_close_sees_an_end_and_is_not_sent_on(
    why: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The client reads nothing until then: its last answer is still on the way when the gateway closes."""
    monkeypatch.setattr(connections, "DRAIN_QUIET_S", 0.01)
    monkeypatch.setattr(connections, "TIMEOUT_CHECK_S", 0.01)

    async def test() -> None:
        bounds = ClientBounds(idle_s=0.05 if why == "idle" else 3600.0)
        async with world(Operator(clients=bounds)) as w:
            client = socket.create_connection((LOCAL, w.node.clients.port))
            crossing(monkeypatch, client, call(number=2))
            client.sendall(call(number=1))
            connection, _ = await w.backend.command()
            connection.send(served(b"v"))
            await until(lambda: at_rest(w))
            stopping = asyncio.create_task(w.node.stop()) if why == "stopping" else None
            assert await read_all(client) == b"$1\r\nv\r\n"
            assert w.backend.commands.empty() and not w.node.requests
            client.close()
            await until(lambda: not w.node.clients.count())
            if stopping is not None:
                await soon(stopping)

    run(test)


def test_answer_that_is_written_with_a_close_is_not_taken_along_by_a_request_that_crosses_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with world() as w:
            client = socket.create_connection((LOCAL, w.node.clients.port))
            crossing(monkeypatch, client, call(number=2))
            client.sendall(call(number=1))
            connection, _ = await w.backend.command()
            w.node.clients.is_closing = True
            connection.send(served(b"v" * 60_000))
            assert await read_all(client) == b"$60000\r\n" + b"v" * 60_000 + b"\r\n"
            assert w.backend.commands.empty()
            client.close()

    run(test)


def test_client_that_rests_on_after_the_end_of_its_connection_is_closed_all_the_same(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It never ends its own side."""
    monkeypatch.setattr(connections, "TIMEOUT_CHECK_S", 0.01)
    monkeypatch.setattr("trackspread.fronts.client.LINGER_S", 0.05)

    async def test() -> None:
        async with world(Operator(clients=ClientBounds(mute_s=0.05))) as w:
            client = socket.create_connection((LOCAL, w.node.clients.port))
            assert await read_all(client) == b""
            await until(lambda: not w.node.clients.count())
            client.close()

    run(test)


def test_connection_that_has_ended_but_for_its_clients_side_makes_room_for_a_newcomer() -> None:
    async def test() -> None:
        async with world() as w:
            client = await w.client()
            await until(lambda: w.node.clients.count() == 1)
            (server,) = w.node.clients._unused
            server.close()
            w.node.clients.max_connections = 1
            newcomer = await w.client()
            newcomer.send(call())
            connection, _ = await w.backend.command()
            connection.send(served(b"v"))
            assert await newcomer.next() == b"v"
            client.abort()

    run(test)


def no_delay(transport: Any) -> bool:
    made = cast(asyncio.Transport, transport).get_extra_info("socket")
    return bool(made.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))


def test_small_writes_are_not_held_back_on_either_side() -> None:
    async def test() -> None:
        async with world() as w:
            client = await w.client()
            client.send(call())
            connection, _ = await w.backend.command()
            (link,) = [link for pool in w.node.backends._pools.values() for link in pool.connections]
            (server,) = w.node.clients._active
            assert no_delay(link.transport) and no_delay(server._transport)
            connection.send(served(b"v"))
            assert await client.next() == b"v"

    run(test)


def test_a_second_copy_that_comes_with_the_time_out_of_another_attempt_answers_no_repeat(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """In one turn: the copy lies unread on a connection at rest when the repeat looks for one."""
    monkeypatch.setattr(connection_pool, "REUSE_DELAY_S", 0.0)

    async def test() -> None:
        backend = Backend()
        async with bench(backend) as b:
            b.start(1)
            first, _ = await backend.command()
            late = b.start(2)
            await backend.command()
            first.send(served(b"one"))
            assert (await b.end())[:3] == (1, Outcome.OK, b"one")
            assert b.pools.idle_connections() == 1
            made = first.writer.get_extra_info("socket")
            with socket.socket(fileno=os.dup(made.fileno())) as again:
                again.send(served(b"one"))
            b.pools.expire(late)
            b.start(3)
            assert (await b.end())[:2] == (2, Outcome.TIMEOUT)
            other, _ = await backend.command()
            assert other is not first
            other.send(served(b"three"))
            assert (await b.end())[:3] == (3, Outcome.OK, b"three")

    run(test)
