"""Tests connections that close while bytes arrive: no answer is lost, and nothing read later is forwarded.

The tests force the order: the other side's bytes arrive between the gateway's last read and its close. Small
writes are tested as well.
"""

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


def write_before_close(monkeypatch: pytest.MonkeyPatch, client: socket.socket, data: bytes) -> None:
    """Has the client write `data` just before the gateway closes its connection."""
    close = ClientConnection.close

    def write_and_close(self: ClientConnection) -> None:
        client.sendall(data)
        close(self)

    monkeypatch.setattr(ClientConnection, "close", write_and_close)


async def read_all(client: socket.socket) -> bytes:
    """Returns all bytes up to the end; raises `ConnectionResetError` if the connection is reset instead."""
    client.setblocking(False)
    got = b""
    while data := await soon(asyncio.get_running_loop().sock_recv(client, 1 << 16)):
        got += data
    return got


def is_idle(w: World) -> bool:
    return bool(w.node.clients._active) and not w.node.requests


@pytest.mark.parametrize("why", ["idle", "stopping"])
def test_request_sent_during_a_close_is_not_forwarded(why: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a lost answer and a request that is processed without one.

    The client reads nothing before the close, so its last answer is still on its way when the gateway closes.
    """
    monkeypatch.setattr(connections, "DRAIN_QUIET_S", 0.01)
    monkeypatch.setattr(connections, "TIMEOUT_CHECK_S", 0.01)

    async def test() -> None:
        bounds = ClientBounds(idle_s=0.05 if why == "idle" else 3600.0)
        async with world(Operator(clients=bounds)) as w:
            client = socket.create_connection((LOCAL, w.node.clients.port))
            write_before_close(monkeypatch, client, call(number=2))
            client.sendall(call(number=1))
            connection, _ = await w.backend.command()
            connection.send(served(b"v"))
            await until(lambda: is_idle(w))
            stopping = asyncio.create_task(w.node.stop()) if why == "stopping" else None
            assert await read_all(client) == b"$1\r\nv\r\n"
            assert w.backend.commands.empty() and not w.node.requests
            client.close()
            await until(lambda: not w.node.clients.count())
            if stopping is not None:
                await soon(stopping)

    run(test)


def test_close_does_not_discard_the_answer_written_before_it(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a reset that discards an answer, because a request arrived unread before the close."""

    async def test() -> None:
        async with world() as w:
            client = socket.create_connection((LOCAL, w.node.clients.port))
            write_before_close(monkeypatch, client, call(number=2))
            client.sendall(call(number=1))
            connection, _ = await w.backend.command()
            w.node.clients.is_closing = True
            connection.send(served(b"v" * 60_000))
            assert await read_all(client) == b"$60000\r\n" + b"v" * 60_000 + b"\r\n"
            assert w.backend.commands.empty()
            client.close()

    run(test)


def test_client_that_never_closes_its_side_is_disconnected(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a connection that stays half closed because its client never ends its own side."""
    monkeypatch.setattr(connections, "TIMEOUT_CHECK_S", 0.01)
    monkeypatch.setattr("trackspread.fronts.client.LINGER_S", 0.05)

    async def test() -> None:
        async with world(Operator(clients=ClientBounds(mute_s=0.05))) as w:
            client = socket.create_connection((LOCAL, w.node.clients.port))
            assert await read_all(client) == b""
            await until(lambda: not w.node.clients.count())
            client.close()

    run(test)


def test_half_closed_connection_makes_room_for_a_new_one() -> None:
    """Guards against connections that only the client has not closed and that use up the limit."""

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
    raw_socket = cast(asyncio.Transport, transport).get_extra_info("socket")
    return bool(raw_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))


def test_small_writes_are_sent_without_delay_on_both_sides() -> None:
    """Guards against Nagle's algorithm, which delays small writes to clients and backends."""

    async def test() -> None:
        async with world() as w:
            client = await w.client()
            client.send(call())
            connection, _ = await w.backend.command()
            pools = w.node.backends._pools.values()
            (pooled,) = [each for pool in pools for each in pool.connections]
            (server,) = w.node.clients._active
            assert no_delay(pooled.transport) and no_delay(server._transport)
            connection.send(served(b"v"))
            assert await client.next() == b"v"

    run(test)


def test_late_duplicate_answer_is_not_used_for_another_attempt(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an answer that is taken for another attempt's.

    In one turn of the loop a duplicate answer arrives unread on an idle connection, another attempt times
    out, and a third attempt needs a connection.
    """
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
            backend_socket = first.writer.get_extra_info("socket")
            with socket.socket(fileno=os.dup(backend_socket.fileno())) as duplicate:
                duplicate.send(served(b"one"))
            b.pools.expire(late)
            b.start(3)
            assert (await b.end())[:2] == (2, Outcome.TIMEOUT)
            other, _ = await backend.command()
            assert other is not first
            other.send(served(b"three"))
            assert (await b.end())[:3] == (3, Outcome.OK, b"three")

    run(test)
