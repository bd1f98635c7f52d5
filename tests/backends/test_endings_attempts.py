"""Tests that an attempt ends once, and that input which arrived in time counts although the process lagged.

Another end may fall into the same turn of the loop. A lag is forced: the loop blocks in a socket's callback
until the timer is due, so that input of other sockets is processed after the timers.
"""

from __future__ import annotations

import asyncio
import os
import socket
import time
from collections.abc import Callable

import pytest

from trackspread.backends import connection
from trackspread.config.operator import ClientBounds, Operator
from trackspread.decide.events import Outcome

from ..fakes import LOCAL, Backend, Connection, call, run, served, soon, world
from .test_backends import CLOCK, bench

TIMER_S = 1.0  # of each timer here: long enough for the loop to block before it is due


@pytest.mark.parametrize("how", ["time-out", "cancel", "withdrawn"])
def test_deferred_end_is_not_reported_after_another(how: str) -> None:
    """An attempt at an unknown backend, or without a free descriptor, ends in the next turn of the loop."""

    async def test() -> None:
        async with bench(port=1) as b:
            attempt = b.start(1, backend=99)  # its end is deferred to the next turn
            ends = {"time-out": b.pools.expire, "cancel": b.pools.cancel, "withdrawn": b.pools.withdraw}
            ends[how](attempt)
            first = await b.end()
            b.start(2, backend=99)
            assert (await b.end())[:2] == (2, Outcome.CONNECT_FAILED)
            assert first[0] == 1 and b.ends.empty()

    run(test)


def write_to_socket(connection: Connection, data: bytes) -> None:
    """Writes to the socket directly, without a turn of the loop."""
    descriptor = connection.writer.get_extra_info("socket").fileno()
    assert os.write(descriptor, data) == len(data)


async def block_until_due(began: float, act: Callable[[], object]) -> None:
    """Blocks the loop in a socket's callback until the timer that started at `began` is due.

    `act` is what the other side does meanwhile.
    """
    loop, (ours, theirs) = asyncio.get_running_loop(), socket.socketpair()
    blocked = loop.create_future()

    def block() -> None:
        loop.remove_reader(ours)
        act()
        time.sleep(max(0.0, began + 1.1 * TIMER_S - time.monotonic()))
        blocked.set_result(None)

    with ours, theirs:
        theirs.send(b"x")
        loop.add_reader(ours, block)
        await soon(blocked)


def test_unread_answer_wins_over_the_attempt_timeout() -> None:
    async def test() -> None:
        backend = Backend()
        async with bench(backend) as b:
            began = time.monotonic()
            b.start(1, timeout=TIMER_S)
            connection, _ = await backend.command()
            await block_until_due(began, lambda: write_to_socket(connection, served(b"v")))
            assert (await b.end())[:3] == (1, Outcome.OK, b"v")

    run(test)


def test_unread_answer_wins_over_the_request_deadline() -> None:
    async def test() -> None:
        async with world() as w:
            client, began = await w.client(), time.monotonic()
            client.send(call(wait_ms=int(TIMER_S * 1000)))
            connection, _ = await w.backend.command()
            await block_until_due(began, lambda: write_to_socket(connection, served(b"v")))
            assert await client.next() == b"v"

    run(test)


def test_unread_rest_of_an_answer_is_not_missed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection, "STALL_TIMEOUT_S", TIMER_S)

    async def test() -> None:
        backend = Backend()
        async with bench(backend) as b:
            b.start(1)
            connection, _ = await backend.command()
            encoded = served(b"v" * 100)
            write_to_socket(connection, encoded[:50])
            began = time.monotonic()
            while not any(link.timer for link in b.pools._pools[7].connections):
                await asyncio.sleep(0)
            await block_until_due(began + 0.1, lambda: write_to_socket(connection, encoded[50:]))
            assert (await b.end())[:3] == (1, Outcome.OK, b"v" * 100)

    run(test)


def test_established_connection_wins_over_the_connect_timeout() -> None:
    async def test() -> None:
        with socket.create_server((LOCAL, 0)) as server:
            server.setblocking(False)
            async with bench(port=server.getsockname()[1], connect=TIMER_S) as b:
                began = time.monotonic()
                b.start(1)
                await asyncio.sleep(0)  # the connect is sent, and the kernel answers it
                await block_until_due(began, lambda: None)
                loop = asyncio.get_running_loop()
                taken, _ = await soon(loop.sock_accept(server))
                assert await soon(loop.sock_recv(taken, 4096))
                await soon(loop.sock_sendall(taken, served(b"v")))
                assert (await b.end())[:2] == (1, Outcome.OK)
                taken.close()

    run(test)


def test_unread_rest_of_a_command_keeps_its_client(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("trackspread.fronts.connections.TIMEOUT_CHECK_S", TIMER_S / 2)

    async def test() -> None:
        async with world(Operator(clients=ClientBounds(mute_s=TIMER_S))) as w:
            client, began = await w.client(), time.monotonic()
            command = call()
            write_to_socket(client, command[:20])
            while not any(each._incomplete_since for each in w.node.clients._unused):
                await asyncio.sleep(0)
            await block_until_due(began + 0.1, lambda: write_to_socket(client, command[20:]))
            connection, _ = await w.backend.command()
            connection.send(served(b"v"))
            assert await client.next() == b"v"

    run(test)


@pytest.mark.parametrize("late", ["to come up", "to go out"])
def test_retry_after_its_deduplication_window_is_not_written(late: str) -> None:
    """A retry was decided 0.99 s after the first attempt and written 0.2 s later, as its connection was
    established late; the window was 1 s.
    """

    async def test() -> None:
        with socket.create_server((LOCAL, 0)) as server:
            server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            server.setblocking(False)
            async with bench(port=server.getsockname()[1]) as b:
                body = b"x" * (4 << 20)  # more than both sockets hold
                wait = 1 if late == "to come up" else 300_000_000
                attempt = b.start(1, body=body, until=CLOCK() + wait)
                loop = asyncio.get_running_loop()
                taken, _ = await soon(loop.sock_accept(server))
                assert (await b.end())[:2] == (1, Outcome.NOT_SENT)
                assert not attempt.is_written and CLOCK() >= attempt.not_after_ns
                got = 0
                try:
                    while piece := await soon(loop.sock_recv(taken, 1 << 16)):
                        got += len(piece)
                except ConnectionResetError:
                    pass
                assert got == 0 if late == "to come up" else got < len(body)
                taken.close()
                assert b.pools.open_connections == 0

    run(test)
