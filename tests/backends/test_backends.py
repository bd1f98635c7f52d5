"""Tests the outcomes of attempts, and which connection they use, over loopback sockets."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, closing
from typing import Any

import pytest

from trackspread.backends import connection as connections
from trackspread.backends import connection_pool
from trackspread.backends.attempt import Attempt
from trackspread.backends.connection import BackendConnection
from trackspread.backends.connection import REUSE_DELAY_S
from trackspread.backends.pools import ConnectionPools
from trackspread.backends.resp import RespAdapter
from trackspread.backends.adapter import LoadReport
from trackspread.call import Call
from trackspread.call import PausableSource
from trackspread.clock import Clock
from trackspread.memory.account import MemoryAccount
from trackspread.decide.events import Outcome
from trackspread.framing.resp import LONG_VALUE_BYTES, AnswerScanner, CommandWords

from ..fakes import LOCAL, Backend, listening, run, served, soon, until

SECOND = 1_000_000_000
CLOCK = Clock()
Ended = tuple[int, Outcome, bytes | None, LoadReport]


class Bench:
    """Holds the pools with one fake backend, number 7, and records how attempts ended."""

    def __init__(self, max_connections: int, connect: float, idle: float, grace: float) -> None:
        self.ends: asyncio.Queue[Ended] = asyncio.Queue()
        self.written = 0
        self.pools = ConnectionPools(
            max_connections,
            connect,
            idle,
            grace,
            CLOCK,
            RespAdapter(),
            self,
            MemoryAccount(64 << 20),
        )

    def attempt_ended(self, attempt: Attempt, *end: Any) -> None:
        self.ends.put_nowait((attempt.request, *end))

    def is_wanted(self, attempt: Attempt) -> bool:
        return True

    def attempt_written(self) -> None:
        self.written += 1

    def value_begins(self, attempt: Attempt, length: int, source: PausableSource) -> bool:
        return False

    def value_piece(self, attempt: Attempt, data: bytes) -> None:
        raise AssertionError("not wanted")

    def start(
        self,
        request: int,
        body: bytes = b"B",
        timeout: float | None = None,
        backend: int = 7,
        until: int = 0,
    ) -> Attempt:
        now = CLOCK()
        words = CommandWords((b"CALL.POST", b"c", b"i"), b"c=x,", b",k=y", (body,))
        call = Call(words, b"i", 0, 0, 1, 3000, 1.0, 1, 0, 0)
        attempt = Attempt(request, 0, backend, now, now + 3 * SECOND, call, until)
        self.pools.start(attempt, timeout)
        return attempt

    async def end(self) -> Ended:
        return await soon(self.ends.get())


def connection_is_up(attempt: Attempt) -> bool:
    """Returns whether the attempt's connection is established."""
    return isinstance(attempt.connection, BackendConnection) and attempt.connection.transport is not None


@asynccontextmanager
async def bench(
    backend: Backend | None = None,
    max_connections: int = 100,
    connect: float = 20.0,
    idle: float = 30.0,
    grace: float = 20.0,
    port: int = 0,
) -> AsyncIterator[Bench]:
    pools_bench = Bench(max_connections, connect, idle, grace)
    try:
        if backend is None:
            pools_bench.pools.update_backend(7, (LOCAL, port))
            yield pools_bench
        else:
            async with listening(backend):
                pools_bench.pools.update_backend(7, (LOCAL, backend.port))
                yield pools_bench
    finally:
        pools_bench.pools.close()


@pytest.mark.parametrize(
    ("answer", "outcome", "value", "report"),
    [
        (served(b"\x00\r\n\xff"), Outcome.OK, b"\x00\r\n\xff", {"load_share": 0.5, "concurrent": 3.0}),
        (served(b"", None), Outcome.OK, b"", {}),
        (served(b"x" * (64 << 10), None), Outcome.OK, b"x" * (64 << 10), {}),
        (b"-ERR failed\r\n", Outcome.ERROR, None, {}),
        (b"-ERR failed util=0.9,inflight=2\r\n", Outcome.ERROR, None, {"util": 0.9, "inflight": 2.0}),
        (b"-BUSY\r\n", Outcome.REJECTED, None, {}),
        (b"-BUSY util=1\r\n", Outcome.REJECTED, None, {"util": 1.0}),
        # The value is valid; the load report or the usage figures cannot be read.
        (served(b"v", b"load_share=much"), Outcome.OK, b"v", {}),
        (served(b"v", b"\xff\x00,="), Outcome.OK, b"v", {}),
        (b"*3\r\n$1\r\nv\r\n*2\r\n:1\r\n$1\r\nx\r\n$-1\r\n", Outcome.OK, b"v", {}),
        (b"*3\r\n$1\r\nv\r\n-odd\r\n+odd\r\n", Outcome.OK, b"v", {}),
    ],
)
def test_outcome_of_each_answer(
    answer: bytes, outcome: Outcome, value: bytes | None, report: LoadReport
) -> None:
    async def test() -> None:
        backend = Backend()
        async with bench(backend) as b:
            b.start(1)
            connection, words = await backend.command()
            assert words[:3] == [b"CALL.POST", b"c", b"i"] and words[4] == b"B"
            left = words[3].removeprefix(b"c=x,d=").removesuffix(b",k=y")
            assert 0 < int(left) <= 3000
            connection.send(answer)
            assert await b.end() == (1, outcome, value, report)

    run(test)


@pytest.mark.parametrize(
    "answer",
    [
        b"-SYNTAX\r\n",
        b"-ERRfailed\r\n",
        b"-BUSYBODY\r\n",
        b"-\r\n",
        b"-\xff\xfe\r\n",
        b"*3\r\n$-1\r\n$-1\r\n$-1\r\n",
        b"*3\r\n:1\r\n$-1\r\n$-1\r\n",
        b"*3\r\n*1\r\n$1\r\nv\r\n",
        b"*0\r\n",
        b"*-1\r\n",
        b"*2\r\n$1\r\nv\r\n$-1\r\n",
        b"*4\r\n$1\r\nv\r\n",
        b"*100000000\r\n",
        b"$1\r\nx\r\n",
        b"$-1\r\n",
        b"+OK\r\n",
        b":7\r\n",
        b"_\r\n",
        b"%1\r\n+a\r\n:1\r\n",
        b">3\r\n",
        b"!not resp\r\n",
        b"x" * 4096,
        b"-" + b"e" * 4096,
        b"*3\r\n$3000000000\r\n" + b"x" * 90_000,
        b"*3\r\n$4194305\r\n",
        b"*3\r\n$+1\r\nv\r\n",
        b"*3\r\n$1\r\nvXX$-1\r\n$-1\r\n",
        b"*3\r\n$4\r\nv\r\n$-1\r\n$-1\r\n",
        b"*3\n$1\nv\n$-1\n$-1\n",
        b"*3\r\n$1\r\nv\r\n*100000000\r\n",
        b"*3\r\n$1\r\nv\r\n*1\r\n*1\r\n*1\r\n",
        b"*3\r\n$1\r\nv\r\n$-1\r\n$70000\r\n",
        b"*3\r\n$5\r\nhal",
    ],
)
@pytest.mark.parametrize("pieces", [False, True])
def test_invalid_answer_may_have_run_and_closes_its_connection(
    answer: bytes, pieces: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    # An incomplete answer is invalid once its rest has been missing for the timeout.
    monkeypatch.setattr(connections, "STALL_TIMEOUT_S", 0.05)

    async def test() -> None:
        backend = Backend()
        async with bench(backend) as b:
            b.start(1)
            connection, _ = await backend.command()
            head = answer[:3] if pieces else b""
            connection.send(head)
            await asyncio.sleep(0)
            connection.send(answer[len(head) :])
            assert await b.end() == (1, Outcome.RESET, None, {})
            await until(lambda: backend.ended == 1)
            assert b.pools.open_connections == 0 and b.ends.empty()

    run(test)


def test_incomplete_answer_ends_its_attempt_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """The reset arrives while the timeout for the rest of the answer runs."""

    monkeypatch.setattr(connections, "STALL_TIMEOUT_S", 0.02)

    async def test() -> None:
        faults: list[object] = []
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: faults.append(context))
        backend = Backend()
        async with bench(backend) as b:
            attempt = b.start(1)
            connection, _ = await backend.command()
            connection.send(b"*3\r\n$5\r\nhal")
            link = attempt.connection
            assert isinstance(link, BackendConnection)
            await until(lambda: link.timer is not None)
            connection.abort()
            assert (await b.end())[:2] == (1, Outcome.RESET)
            assert link.timer is None
            await asyncio.sleep(2 * connections.STALL_TIMEOUT_S)  # no timer is left that could expire then
            assert faults == [] and b.ends.empty()

    run(test)


@pytest.mark.parametrize("size", [1, 2, 3, 7])
def test_answer_in_pieces_is_read_completely(size: int) -> None:
    async def test() -> None:
        scanner, encoded = AnswerScanner(), served(b"\r\n$1\r\n" * 20)
        ends = [scanner.scan(encoded[at : at + size], 0) for at in range(0, len(encoded), size)]
        assert ends[:-1] == [-1] * (len(ends) - 1) and ends[-1] == (len(encoded) - 1) % size + 1
        assert not scanner.is_midway

    run(test)


def test_no_array_is_allocated_before_its_elements_arrive(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The input of hiredis is checked: an array of a hundred million elements would stall each garbage
    collection.
    """
    fed: list[bytes] = []

    async def test() -> None:
        backend = Backend()
        async with bench(backend) as b:
            attempt = b.start(1)
            connection, _ = await backend.command()
            assert isinstance(attempt.connection, BackendConnection)
            monkeypatch.setattr(attempt.connection.answers, "_parse_message", fed.extend)
            connection.send(b"*3\r\n$1\r\nv\r\n*100000000\r\n")
            assert (await b.end())[1] is Outcome.RESET
            assert not any(b"00000" in data for data in fed)

    run(test)


def test_duplicate_answer_is_not_taken_for_the_next(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The duplicate arrives in a later packet, and is unread when the next attempt starts."""

    monkeypatch.setattr(connection_pool, "REUSE_DELAY_S", 0.0)

    async def test() -> None:
        with closing(socket.create_server((LOCAL, 0))) as server:
            server.setblocking(False)
            loop = asyncio.get_running_loop()
            async with bench(port=server.getsockname()[1]) as b:
                b.start(1)
                taken, _ = await soon(loop.sock_accept(server))
                assert await soon(loop.sock_recv(taken, 4096))
                await soon(loop.sock_sendall(taken, served(b"v")))
                assert (await b.end())[1] is Outcome.OK
                # Sent between two turns of the loop: it is unread when the next attempt starts.
                taken.send(served(b"v"))
                b.start(2)
                other, _ = await soon(loop.sock_accept(server))
                assert await soon(loop.sock_recv(other, 4096))
                await soon(loop.sock_sendall(other, served(b"w")))
                assert (await b.end())[:3] == (2, Outcome.OK, b"w")

    run(test)


def test_connection_is_not_reused_right_after_an_answer() -> None:
    async def test() -> None:
        backend = Backend()
        async with bench(backend) as b:
            clock = [100.0]
            b.pools.context.time = lambda: clock[0]
            b.start(1)
            connection, _ = await backend.command()
            connection.send(served(b"v"))
            await b.end()
            b.start(2)
            other, _ = await backend.command()
            assert other is not connection
            clock[0] += 2 * REUSE_DELAY_S
            b.start(3)
            assert (await backend.command())[0] is connection

    run(test)


def test_attempt_with_a_refused_connection_never_ran() -> None:
    async def test() -> None:
        with closing(socket.create_server((LOCAL, 0))) as unused:
            port = unused.getsockname()[1]
        async with bench(port=port) as b:
            b.start(1)
            assert (await b.end())[:2] == (1, Outcome.CONNECT_FAILED)
            assert b.pools.open_connections == 0

    run(test)


@pytest.mark.parametrize("given_up_by", ["connect time-out", "attempt time-out"])
def test_attempt_with_an_unfinished_connection_never_ran(given_up_by: str) -> None:
    async def test() -> None:
        # A full accept queue leaves a connect unanswered, as a failed machine does.
        with closing(socket.socket()) as full:
            full.bind((LOCAL, 0))
            full.listen(0)
            address = full.getsockname()
            fillers = [socket.socket() for _ in range(4)]
            for filler in fillers:
                filler.setblocking(False)
                filler.connect_ex(address)
            is_connect_timeout = given_up_by == "connect time-out"
            async with bench(port=address[1], connect=0.05 if is_connect_timeout else 20.0) as b:
                b.start(1, timeout=None if is_connect_timeout else 0.05)
                assert (await b.end())[:2] == (1, Outcome.CONNECT_FAILED)
                assert b.pools.open_connections == 0
            for filler in fillers:
                filler.close()

    run(test)


@pytest.mark.parametrize("how", ["reset", "end", "time-out", "cancel"])
def test_completely_written_attempt_may_have_run(how: str) -> None:
    async def test() -> None:
        backend = Backend()
        async with bench(backend) as b:
            attempt = b.start(1)
            connection, _ = await backend.command()
            wanted = Outcome.RESET
            if how == "reset":
                connection.abort()
            elif how == "end":
                connection.writer.close()
            elif how == "time-out":
                b.pools.expire(attempt)
                wanted = Outcome.TIMEOUT
            else:
                b.pools.cancel(attempt)
                wanted = Outcome.CANCELLED
            assert await b.end() == (1, wanted, None, {})
            # The connection is closed too, as an answer that still arrives is not wanted.
            await until(lambda: backend.ended == 1)
            assert b.pools.open_connections == 0 and b.ends.empty()

    run(test)


@pytest.mark.parametrize("how", ["reset", "time-out"])
def test_partly_written_attempt_never_ran(how: str) -> None:
    async def test() -> None:
        with closing(socket.create_server((LOCAL, 0))) as server:
            async with bench(port=server.getsockname()[1]) as b:
                # The body is larger than both socket buffers, so that some of it stays behind.
                attempt = b.start(1, body=b"x" * (32 << 20))
                loop = asyncio.get_running_loop()
                server.setblocking(False)
                taken, _ = await soon(loop.sock_accept(server))
                await until(lambda: connection_is_up(attempt))
                if how == "reset":
                    taken.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    taken.close()
                else:
                    b.pools.expire(attempt)
                    taken.close()
                assert (await b.end())[:2] == (1, Outcome.CONNECT_FAILED)

    run(test)


def test_pause_with_the_last_bytes_of_a_value_does_not_last(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an idle connection that is not read, on which the next request is never answered."""
    value = bytes(LONG_VALUE_BYTES + 1)

    async def test() -> None:
        backend = Backend()
        async with bench(backend) as b:
            received = 0

            def value_piece(attempt: Attempt, data: bytes) -> None:
                nonlocal received
                received += len(data)
                if received == len(value):
                    assert isinstance(attempt.connection, BackendConnection)
                    attempt.connection.pause()

            monkeypatch.setattr(b, "value_begins", lambda attempt, length, source: True)
            monkeypatch.setattr(b, "value_piece", value_piece)
            b.start(1)
            connection, _ = await backend.command()
            connection.send(served(value))
            assert (await b.end())[1] is Outcome.OK
            await asyncio.sleep(2 * REUSE_DELAY_S)
            b.start(2)
            connection, _ = await backend.command()
            connection.send(served(b"v"))
            assert (await b.end())[:3] == (2, Outcome.OK, b"v")
            assert len(backend.connections) == 1

    run(test)
