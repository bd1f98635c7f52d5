"""Tests that long values are forwarded while they arrive, at the pace of the slower side.

A value that is incomplete must never look complete to the client.
"""

from __future__ import annotations

import asyncio
import random
import socket

import pytest

from trackspread.backends.connection import STALL_TIMEOUT_S
from trackspread.backends.connection import REUSE_DELAY_S
from trackspread.call import Call
from trackspread.decide.broker import Broker
from trackspread.decide.actions import StartAttempt
from trackspread.decide.events import AttemptEnded, Outcome, ResponseStarted
from trackspread.fronts.client import LONG_VALUE_UNREAD_S
from trackspread.framing.resp import LONG_BODY_BYTES, LONG_VALUE_BYTES, MAX_LONG_VALUE_BYTES, CommandWords

from ..helpers import MS, SECOND, arrival, backend, full_list, settings
from ..fakes import LOCAL, Connection, World, call, run, served, soon, until, world

VALUE = random.Random(1).randbytes(MAX_LONG_VALUE_BYTES)
TAIL = served(b"")[len(b"*3\r\n$0\r\n") :]


def head(size: int) -> bytes:
    return b"*3\r\n$%d\r\n" % size


async def connect_raw(w: World, size: int = 0) -> socket.socket:
    """Connects a client that reads only on request; `size` is that of its receive buffer."""
    client = socket.socket()
    if size:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
    client.setblocking(False)
    await asyncio.get_running_loop().sock_connect(client, (LOCAL, w.node.clients.port))
    return client


async def read_exactly(client: socket.socket, size: int) -> bytes:
    loop, parts = asyncio.get_running_loop(), []
    while size:
        data = await soon(loop.sock_recv(client, min(size, 1 << 16)))
        assert data
        parts.append(data)
        size -= len(data)
    return b"".join(parts)


@pytest.mark.parametrize("size", [LONG_VALUE_BYTES, LONG_VALUE_BYTES + 1, MAX_LONG_VALUE_BYTES])
@pytest.mark.parametrize("piece", [1000, 70_000, MAX_LONG_VALUE_BYTES + 100])
def test_values_arrive_complete_in_pieces_of_any_size(size: int, piece: int) -> None:
    async def test() -> None:
        async with world() as w:
            client = await w.client()
            for number in (1, 2):  # the connections can be used again after the value
                client.send(call(number=number))
                connection, _ = await w.backend.command()
                encoded = served(VALUE[:size])
                # No buffer takes 4 MiB for a client that does not read meanwhile.
                answer = asyncio.ensure_future(client.next())
                for at in range(0, len(encoded), piece):
                    connection.send(encoded[at : at + piece])
                    await connection.writer.drain()
                assert await answer == VALUE[:size]
                await asyncio.sleep(2 * REUSE_DELAY_S)
            assert len(w.backend.connections) == 1

    run(test)


def test_long_value_is_forwarded_at_once_without_a_timeout() -> None:
    """No deadline cuts off a value that is still arriving."""

    async def test() -> None:
        async with world() as w:
            client = await connect_raw(w)
            await asyncio.get_running_loop().sock_sendall(client, call(number=1, wait_ms=300))
            connection, _ = await w.backend.command()
            connection.send(head(100_000) + VALUE[:10])
            assert await read_exactly(client, 19) == b"$100000\r\n" + VALUE[:10]
            await asyncio.sleep(0.8)  # over the client's deadline and the timeout of a short answer
            connection.send(VALUE[10:100_000] + TAIL)
            assert await read_exactly(client, 99_992) == VALUE[10:100_000] + b"\r\n"
            assert w.node.counters.lines(0, 0, 0).startswith("router.served.look up=1\n")
            client.close()

    run(test)


def test_slow_client_slows_its_backend_within_its_memory() -> None:
    """The rest of the value stays at the backend, and the gateway keeps no more than four receive buffers."""

    async def test() -> None:
        async with world() as w:
            client = await connect_raw(w, 4096)
            await asyncio.get_running_loop().sock_sendall(client, call(number=1) + call(number=2))
            held_at: dict[int, Connection] = {}
            for _ in range(2):
                connection, words = await w.backend.command()
                held_at[int(words[2], 16)] = connection
                sending = connection.writer.get_extra_info("socket")
                sending.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 16)
                connection.send(served(VALUE))

            def unsent() -> list[int]:
                return [held_at[n].writer.transport.get_write_buffer_size() for n in (1, 2)]

            before: list[int] = []
            while before != unsent():  # until no more bytes are sent
                before = unsent()
                await asyncio.sleep(0.2)
            (server,) = w.node.clients._active
            assert server._transport is not None
            waiting = sum(len(part) for slot in server.slots for part in slot.waiting or [])
            assert (
                server._transport.get_write_buffer_size() + waiting
                <= 4 * w.node.backends.context.receive_buffer_bytes
            )
            assert sum(before) > 0  # the rest stays at the backend
            encoded = b"$%d\r\n%b\r\n" % (len(VALUE), VALUE)
            assert await read_exactly(client, 2 * len(encoded)) == 2 * encoded
            client.close()

    run(test)


class RecordingSource:
    """Provides a long value, and records whether it is paused."""

    def __init__(self) -> None:
        self.paused = False

    def pause(self) -> None:
        self.paused = True

    def resume(self) -> None:
        self.paused = False


def test_slow_client_keeps_its_timeout_after_the_value_ended() -> None:
    """The longer timeout for a long value also holds for the bytes that are unsent when the backend has sent
    all of it.
    """

    async def test() -> None:
        async with world() as w:
            client = await w.client()
            client.send(call(number=1))
            await w.backend.command()
            (server,) = w.node.clients._active
            slot, source, now = server.slots[0], RecordingSource(), w.node.clients.time
            asked = next(iter(w.node.requests.values())).call
            slot.begin_value(asked, 100_000, source)
            server.pause_writing()
            assert source.paused
            slot.add_piece(VALUE[:100_000])
            slot.end_value(asked)
            server.check_timeouts(now() + w.node.clients.bounds.unread_s + 1.0, False)
            assert server._transport is not None and not server._transport.is_closing()
            server.check_timeouts(now() + LONG_VALUE_UNREAD_S + 1.0, False)
            assert server._transport.is_closing()

    run(test)


@pytest.mark.parametrize("what", ["reset", "garbage"])
def test_incomplete_value_ends_the_connection(what: str) -> None:
    """Nothing follows the incomplete value on the connection, and no attempt is repeated."""

    async def test() -> None:
        async with world() as w:
            client = await connect_raw(w)
            await asyncio.get_running_loop().sock_sendall(client, call(number=1))
            connection, _ = await w.backend.command()
            connection.send(head(100_000) + VALUE[:50_000])
            await read_exactly(client, 50_009)
            if what == "reset":
                connection.abort()
            else:
                connection.send(VALUE[50_000:100_000] + b"no end of line")
            received = b""
            try:
                while data := await soon(asyncio.get_running_loop().sock_recv(client, 1 << 16)):
                    received += data
            except ConnectionError:
                pass
            assert len(received) <= 50_000  # at least two bytes short: the client sees that it is incomplete
            assert w.backend.commands.empty() and not w.node.requests
            assert "router.failed.look up=1\n" in w.node.counters.lines(0, 0, 0)
            client.close()

    run(test)


@pytest.mark.parametrize("misses_beginning", [False, True])
def test_no_retry_after_an_answer_has_begun(misses_beginning: bool) -> None:
    """`misses_beginning` plants the fault: without the notice of the beginning, the module retries."""
    module, now = Broker(settings(max_attempts=4), 1, 0), SECOND
    module.handle(now, full_list(*(backend(n) for n in range(4))))
    (sent,) = [a for a in module.handle(now, arrival(1, now)) if isinstance(a, StartAttempt)]
    if not misses_beginning:
        module.handle(now, ResponseStarted(1, 5 * MS, 0, sent.backend))
    end = AttemptEnded(1, False, 0, sent.backend, 0, Outcome.RESET, 900 * MS, 0, ())
    after = module.handle(now + 900 * MS, end)
    assert any(isinstance(action, StartAttempt) for action in after) is misses_beginning


def test_model_uses_the_first_byte_of_a_long_value() -> None:
    """The latency of a long value is that of its first byte, and it does not count for the cap afterwards."""

    module, now = Broker(settings(), 1, 0), SECOND
    module.handle(now, full_list(*(backend(n) for n in range(4))))
    (sent,) = [a for a in module.handle(now, arrival(1, now)) if isinstance(a, StartAttempt)]
    module.handle(now, ResponseStarted(1, 5 * MS, 0, sent.backend))
    commitment = module.commitments.by_tenant[1]
    assert (commitment.in_flight, commitment.streaming) == (1, 1)
    module.handle(now + 3 * SECOND, AttemptEnded(1, True, 0, sent.backend, 0, Outcome.OK, 3 * SECOND, 0, ()))
    assert (commitment.in_flight, commitment.streaming) == (0, 0)
    assert module.model.latency[0].value == 5 * MS


def test_attempt_is_repeated_before_its_first_forwarded_byte() -> None:
    async def test() -> None:
        async with world() as w:
            client = await w.client()
            client.send(call(number=1))
            connection, _ = await w.backend.command()
            connection.send(head(100_000)[:-2])
            await asyncio.sleep(0.01)
            connection.abort()
            connection, words = await w.backend.command()
            assert words[2] == b"%016x" % 1
            connection.send(served(VALUE[:100_000]))
            assert await client.next() == VALUE[:100_000]

    run(test)


def test_answers_keep_their_order_around_a_long_value() -> None:
    async def test() -> None:
        async with world() as w:
            client = await w.client()
            client.send(call(number=1) + call(number=2) + call(number=3))
            connections: dict[int, Connection] = {}
            for _ in range(3):
                connection, words = await w.backend.command()
                connections[int(words[2], 16)] = connection
            connections[2].send(served(VALUE[:500_000]))  # waits for the first, not in the gateway
            connections[3].send(served(b"three"))
            await asyncio.sleep(0.1)
            connections[1].send(served(b"one"))
            assert [await client.next() for _ in range(3)] == [b"one", VALUE[:500_000], b"three"]
            # A value that breaks off before its turn is replaced by an error, as none of it was sent.
            client.send(call(number=4) + call(number=5))
            for _ in range(2):
                connection, words = await w.backend.command()
                connections[int(words[2], 16)] = connection
            connections[5].send(head(100_000) + VALUE[:10])
            await until(lambda: any(r.forwarded_attempt for r in w.node.requests.values()))
            connections[5].abort()
            await until(lambda: len(w.node.requests) == 1)
            connections[4].send(served(b"four"))
            assert await client.next() == b"four"
            assert "failed" in str(await client.next())

    run(test)


def test_client_that_leaves_ends_its_attempt() -> None:
    async def test() -> None:
        async with world() as w:
            client = await w.client()
            client.send(call(number=1))
            connection, _ = await w.backend.command()
            connection.send(head(MAX_LONG_VALUE_BYTES) + VALUE[:100_000])
            await until(lambda: any(r.forwarded_attempt for r in w.node.requests.values()))
            client.abort()
            await until(lambda: not w.node.requests and w.backend.ended == 1)

    run(test)


def command_with_body(size: int) -> bytes:
    return call("charge", 1, body=VALUE[:size])


@pytest.mark.parametrize("piece", [1000, 70_000, MAX_LONG_VALUE_BYTES + 500])
@pytest.mark.parametrize(
    "size",
    [LONG_BODY_BYTES, LONG_BODY_BYTES + 1, LONG_VALUE_BYTES, LONG_VALUE_BYTES + 1, MAX_LONG_VALUE_BYTES],
)
def test_bodies_are_forwarded_unchanged_and_kept_for_retries(size: int, piece: int) -> None:
    async def test() -> None:
        async with world() as w:
            client, command = await w.client(), command_with_body(size)
            for at in range(0, len(command), piece):
                client.send(command[at : at + piece])
                await client.writer.drain()
            connection, words = await w.backend.command()
            assert words[4] == VALUE[:size] and words[2] == b"%016x" % 1
            connection.send(b"-BUSY\r\n")
            again, words = await w.backend.command()
            assert words[4] == VALUE[:size]
            assert w.node.clients.bodies.used_bytes == (size if size > LONG_BODY_BYTES else 0)
            again.send(served(b"v"))
            client.send(call(number=2))
            assert await client.next() == b"v"
            assert w.node.clients.bodies.used_bytes == 0
            connection, _ = await w.backend.command()
            connection.send(served(b"w"))
            assert await client.next() == b"w"

    run(test)


def test_body_that_begins_with_its_own_segment_is_complete() -> None:
    """Guards against a command that never ends because one read ended between its head and its long body."""

    async def test() -> None:
        async with world() as w:
            reader = w.node._front.command_reader()
            command, following = command_with_body(100_000), call(number=2)
            head_bytes = len(command) - 100_000 - len(b"\r\n")
            assert reader.read(command[:head_bytes], 0) == (-1, None)
            rest = command[head_bytes:] + following
            end, item = reader.read(rest, 0)
            assert end == len(rest) - len(following) and reader.had_long_body
            assert isinstance(item, Call) and isinstance(item.raw_request, CommandWords)
            assert item.raw_request.body == (VALUE[:100_000],)
            end, item = reader.read(rest, end)
            assert end == len(rest) and isinstance(item, Call) and not reader.had_long_body

    run(test)


def test_bodies_over_the_memory_limit_wait_in_order() -> None:
    """Hardly one body fits, and still none waits forever."""

    async def test() -> None:
        async with world() as w:
            w.node.clients.bodies.limit_bytes = 1 << 20
            clients = [await w.client() for _ in range(6)]
            for number, client in enumerate(clients):
                client.send(call("charge", number + 1, body=VALUE[:1_500_000]))
            peak = 0
            for _ in clients:  # none waits forever, though hardly one fits
                connection, words = await w.backend.command()
                assert words[4] == VALUE[:1_500_000]
                await asyncio.sleep(0.02)
                peak = max(peak, w.node.clients.bodies.used_bytes)
                connection.send(served(words[2]))
            assert [await client.next() for client in clients] == [b"%016x" % (n + 1) for n in range(6)]
            assert peak <= (1 << 20) + 6 * (1 << 18) + 1_500_000 and w.node.clients.bodies.used_bytes == 0

    run(test)


@pytest.mark.parametrize(
    "data",
    [
        b"*5\r\n$9\r\nCALL.POST\r\n$100000\r\n",
        b"*5\r\n$9\r\nCALL.POST\r\n$1\r\nx\r\n$1\r\nx\r\n$1\r\nx\r\n$4194305\r\n",
    ],
)
def test_length_over_the_limit_closes_only_its_connection(data: bytes) -> None:
    async def test() -> None:
        async with world() as w:
            good, bad = await w.client(), await w.client()
            bad.send(data)
            assert "limit" in str(await bad.next())
            assert await bad.next() is None
            good.send(call(number=1))
            connection, _ = await w.backend.command()
            connection.send(served(b"v"))
            assert await good.next() == b"v"

    run(test)


def test_incomplete_body_frees_its_memory() -> None:
    async def test() -> None:
        async with world() as w:
            client = await w.client()
            client.send(command_with_body(MAX_LONG_VALUE_BYTES)[:300_000])
            await until(lambda: w.node.clients.bodies.used_bytes > 200_000)
            client.abort()
            await until(lambda: w.node.clients.bodies.used_bytes == 0)
            # A body of an unknown class is answered, and uses no memory either.
            other = await w.client()
            other.send(command_with_body(300_000).replace(b"c=charge", b"c=chargx"))
            assert "unknown class" in str(await other.next())
            assert w.node.clients.bodies.used_bytes == 0

    run(test)


@pytest.mark.parametrize("size", [1000, 2 * LONG_VALUE_BYTES])
def test_slow_answer_to_an_unsafe_request_is_complete(size: int) -> None:
    """Guards against a request that runs and is answered as failed, as its backend writes in slow pieces."""

    async def test() -> None:
        async with world() as w:
            client = await w.client()
            client.send(call("charge", wait_ms=5000, body=b"x"))
            connection, _ = await w.backend.command()
            encoded = served(VALUE[:size])
            for piece in (encoded[:5], encoded[5:9], encoded[9:]):
                connection.send(piece)
                await asyncio.sleep(1.2 * STALL_TIMEOUT_S)
            assert await client.next() == VALUE[:size]

    run(test)


def test_answer_that_never_ends_fails_at_the_deadline() -> None:
    async def test() -> None:
        async with world() as w:
            client = await w.client()
            client.send(call("charge", wait_ms=900, body=b"x"))
            connection, _ = await w.backend.command()
            began = asyncio.get_running_loop().time()
            connection.send(served(b"value")[:12])
            assert "ERR" in str(await client.next())
            assert STALL_TIMEOUT_S < asyncio.get_running_loop().time() - began < 1.4

    run(test)
