"""Tests that a waiting request is never sent on after its client has left, wherever it waits.

Each test causes the critical order of events over sockets, without relying on time.
"""

from __future__ import annotations

import asyncio
import select
import socket
import struct
from collections import Counter
from typing import Any, cast

import pytest

from trackspread.config.operator import DEFAULTS, ClientBounds, Operator
from trackspread.decide.actions import Fail, StartAttempt
from trackspread.decide.events import AttemptEnded, ClientDisconnected, Outcome, RequestArrived
from trackspread.fronts.client import ClientConnection

from ..backends.test_backends import connection_is_up
from ..fakes import LOCAL, Connection, World, busy_listener, call, host, listing, run, soon, until, world
from .test_clients import Script, only_backend, script

HOW = ["end", "reset"]
SENT_BYTES = 600_000


def leave(client: Connection, how: str) -> None:
    raw_socket = client.writer.get_extra_info("socket")
    raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", how == "reset", 0))
    client.writer.close()


async def move_backend(w: World, port: int) -> int:
    """Moves the only backend to another address; returns its number."""
    pools, backend = w.node.backends, only_backend(w)
    before = pools._pools[backend]
    w.agent.tell(listing(2, host("s-1", port)))
    await until(lambda: pools._pools[backend] is not before)
    return backend


@pytest.mark.parametrize("how", HOW)
def test_late_connection_gets_no_request_after_client_left(how: str) -> None:
    async def test() -> None:
        with busy_listener() as full:
            async with world() as w:
                backend = await move_backend(w, full.getsockname()[1])
                s = script(w, lambda a: [StartAttempt(a.request, backend, 0)])
                client = await w.client()
                client.send(call("charge", body=b"B"))
                await until(lambda: w.node.backends.open_connections == 1)
                leave(client, how)
                await until(lambda: bool(s.of(ClientDisconnected)))
                # The backend accepts connections now: the gateway's is established if it is still wanted.
                loop = asyncio.get_running_loop()
                full.setblocking(False)
                received: list[bytes] = []

                async def accept() -> None:
                    while True:
                        taken, _ = await loop.sock_accept(full)
                        taken.setblocking(False)
                        received.append(await loop.sock_recv(taken, 1 << 16))

                accepting = asyncio.create_task(accept())
                await until(lambda: w.node.backends.open_connections == 0 or any(received))
                accepting.cancel()
                assert not any(received)
                (ended,) = s.of(AttemptEnded)
                assert (ended.outcome, ended.request_finished) == (Outcome.NOT_SENT, True)
                assert not w.node.requests and not w.node.open_request_ids

    run(test)


@pytest.mark.parametrize("how", HOW)
def test_partly_written_request_is_aborted_after_client_left(how: str) -> None:
    async def test() -> None:
        with socket.create_server((LOCAL, 0)) as server:
            async with world() as w:
                backend = await move_backend(w, server.getsockname()[1])
                s = script(w, lambda a: [StartAttempt(a.request, backend, 0)])
                client = await w.client()
                body = b"x" * (4 << 20)  # more than both sockets hold: some of it stays behind
                server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                client.send(call("charge", body=body))
                server.setblocking(False)
                taken, _ = await soon(asyncio.get_running_loop().sock_accept(server))
                await until(lambda: bool(s.events) and bool(w.node.requests))
                (request,) = w.node.requests.values()
                (attempt,) = request.attempts_in_flight.values()
                await until(lambda: connection_is_up(attempt))
                assert not attempt.is_written
                leave(client, how)
                await until(lambda: bool(s.of(ClientDisconnected)))
                (ended,) = s.of(AttemptEnded)
                assert (ended.outcome, ended.request_finished) == (Outcome.NOT_SENT, True)
                taken.setblocking(False)
                got = 0
                try:
                    while piece := await soon(asyncio.get_running_loop().sock_recv(taken, 1 << 16)):
                        got += len(piece)
                except ConnectionResetError:
                    pass
                assert got < len(body)
                taken.close()

    run(test)


PIPELINE = DEFAULTS.clients.pipeline


async def client_with_held_commands(w: World) -> tuple[Script, Connection]:
    """Opens a client with a full pipeline of commands, which never time out, and as many held back."""
    s = script(w, *[lambda a: []] * (2 * PIPELINE))
    w.node.deadline_reached = lambda number: None  # type: ignore[method-assign]
    client = await w.client()
    client.send(b"".join(call(number=n) for n in range(2 * PIPELINE)))
    await until(lambda: len(w.node.requests) == PIPELINE and w.node.clients.unprocessed_bytes > 0)
    return s, client


@pytest.mark.parametrize("how", HOW)
def test_held_commands_are_dropped_after_client_left(how: str) -> None:
    """A client with as many commands open as the pipeline allows is not read, so the loop does not report its
    end.
    """

    async def test() -> None:
        async with world() as w:
            s, client = await client_with_held_commands(w)
            leave(client, how)
            await until(lambda: len(s.of(ClientDisconnected)) == PIPELINE)
            assert not w.node.requests and not w.node.clients.count() and not w.node.clients.unprocessed_bytes

    run(test)


@pytest.mark.parametrize("how", HOW)
def test_held_commands_are_dropped_when_the_pipeline_frees(how: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """The periodic check for clients that left is switched off: the end is seen before the next command is
    processed.
    """

    monkeypatch.setattr("trackspread.fronts.connections.END_CHECK_S", 60.0, raising=False)

    async def test() -> None:
        async with world() as w:
            s, client = await client_with_held_commands(w)
            (server,) = w.node.clients._active
            leave(client, how)
            left = select.poll()
            transport = cast(asyncio.Transport, server._transport)
            left.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
            await until(lambda: bool(left.poll(0)))
            w.node.execute(Fail(min(w.node.requests)))
            await until(lambda: not w.node.clients.count())
            assert len(s.of(RequestArrived)) == PIPELINE
            assert not w.node.requests and not w.node.clients.unprocessed_bytes

    run(test)


def server_side(w: World) -> tuple[Any, asyncio.Transport]:
    """Returns the gateway's side of its only client connection."""
    (server,) = [*w.node.clients._active, *w.node.clients._unused]
    return server, cast(asyncio.Transport, server._transport)


async def client_with_unread_answers(w: World) -> Connection:
    """Opens a client whose requests are all answered, but which has not read its answers.

    Some of them are in the gateway's own buffer, too few for the gateway to stop reading.
    """
    script(w, *[lambda a: []] * 200)
    client = await w.client()
    client.writer.transport.pause_reading()  # type: ignore[attr-defined]
    number = 0
    while not w.node.clients.count():
        await asyncio.sleep(0)
    server, transport = server_side(w)
    while not transport.get_write_buffer_size():
        client.send(call(number=number))
        await until(lambda: len(server.slots) == 1)
        w.node.requests[server.slots[0].request].slot.send_value(call_of(w), b"v" * 60_000)
        w.node.requests.clear()
        w.node.open_request_ids.clear()
        number += 1
        await asyncio.sleep(0)
    assert not server._is_blocked and not server.slots
    return client


def call_of(w: World) -> Any:
    return next(iter(w.node.requests.values())).call


def test_client_with_unread_answers_is_not_evicted() -> None:
    """After a close its descriptor would stay open until the answers are read, and would not be counted."""

    async def test() -> None:
        async with world() as w:
            client = await client_with_unread_answers(w)
            w.node.clients.max_connections = 1
            newcomer = await w.client()
            assert await newcomer.next() is None
            assert w.node.clients.count() == 1
            _, transport = server_side(w)
            assert not transport.is_closing()
            client.abort()

    run(test)


def test_closed_connection_with_unread_answers_ends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The client never reads them, so the connection ends by its timeout."""

    monkeypatch.setattr("trackspread.fronts.connections.TIMEOUT_CHECK_S", 0.01)

    async def test() -> None:
        async with world(Operator(clients=ClientBounds(idle_s=0.05, unread_s=0.05))) as w:
            client = await client_with_unread_answers(w)
            _, transport = server_side(w)
            await until(transport.is_closing)
            await until(lambda: w.node.clients.count() == 0)
            client.abort()

    run(test)


def test_client_end_is_reported_before_answers_are_sent() -> None:
    """Its transport closes only after its answers are sent; until then a waiting request could be sent on."""

    async def test() -> None:
        async with world(Operator(clients=ClientBounds(unread_s=3600.0))) as w:
            client = await client_with_unread_answers(w)
            s = script(w, lambda a: [])
            w.node.deadline_reached = lambda number: None  # type: ignore[method-assign]
            client.send(call(number=999))
            await until(lambda: len(s.of(RequestArrived)) == 1)
            client.writer.write_eof()
            await until(lambda: len(s.of(ClientDisconnected)) == 1)
            _, transport = server_side(w)
            assert transport.get_write_buffer_size() and not w.node.requests
            client.abort()

    run(test)


@pytest.mark.parametrize("how", HOW)
def test_paused_body_is_dropped_with_its_client(how: str) -> None:
    """A connection whose body is paused is not read, so the loop does not report that its client has left."""

    async def test() -> None:
        async with world() as w:
            s = script(w, *[lambda a: []] * 2)
            w.node.clients.bodies.limit_bytes = 1 << 20
            first, second = await w.client(), await w.client()
            first.send(call("charge", 1, body=b"x" * 1_500_000))
            await until(lambda: len(s.of(RequestArrived)) == 1)
            # The rest is still at the client: an end behind unread input could not be seen.
            second.send(call("charge", 2, body=b"y" * 1_500_000)[:200_000])
            await until(lambda: any(c.is_body_paused for c in w.node.clients._unused))
            leave(second, how)
            await until(lambda: w.node.clients.count() == 1)
            w.node.execute(Fail(min(w.node.requests)))  # makes memory for the whole second body
            assert str(await first.next()) == "ERR failed"
            assert len(s.of(RequestArrived)) == 1 and w.node.clients.bodies.used_bytes == 0

    run(test)


def test_input_of_ending_connections_is_discarded_in_small_parts(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against turns of the loop that read all that hundreds of ending clients still send."""

    async def test() -> None:
        async with world() as w:
            client = await w.client()
            await until(lambda: w.node.clients.count() == 1)
            server, _ = server_side(w)
            turn, reads = 0, list[tuple[int, int]]()
            real = ClientConnection.data_received

            def data_received(self: ClientConnection, data: bytes) -> None:
                reads.append((turn, len(data)))
                real(self, data)

            monkeypatch.setattr(ClientConnection, "data_received", data_received)
            server.close()
            client.send(bytes(SENT_BYTES))
            while sum(size for _, size in reads) < SENT_BYTES and turn < 10_000:
                turn += 1
                await asyncio.sleep(0)
            assert sum(size for _, size in reads) == SENT_BYTES
            assert max(Counter(number for number, _ in reads).values()) <= 2
            assert await client.next() is None

    run(test)
