"""Pools and attempts over loopback sockets: what each happening means, and which connection is used."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, closing
from typing import Any

import pytest

from trackspread.backends import pools as backends
from trackspread.backends.ages import Ages
from trackspread.backends.pools import Attempt, Backends
from trackspread.backends.resp import RespDialect, read_answer, read_report
from trackspread.backends.seam import Report
from trackspread.call import Call, Source
from trackspread.clock import Clock
from trackspread.decide.interface import Outcome
from trackspread.framing.resp import AnswerFrames, Words

from .fakes import LOCAL, Backend, Connection, bulk, listening, run, served, soon, until

SECOND = 1_000_000_000
CLOCK = Clock()
Ended = tuple[int, Outcome, bytes | None, Report]


class Bench:
    """Pools to one fake backend (number 7), and how attempts ended."""

    def __init__(self, most: int, connect: float, idle: float, grace: float) -> None:
        self.ends: asyncio.Queue[Ended] = asyncio.Queue()
        self.written = 0
        self.pools = Backends(
            most, connect, idle, grace, CLOCK, RespDialect(), self, 64 << 20,
        )

    def attempt_ended(self, attempt: Attempt, *end: Any) -> None:
        self.ends.put_nowait((attempt.request, *end))

    def wanted(self, attempt: Attempt) -> bool:
        return True

    def attempt_written(self) -> None:
        self.written += 1

    def value_begins(self, attempt: Attempt, length: int, source: Source) -> bool:
        return False

    def value_piece(self, attempt: Attempt, data: bytes) -> None:
        raise AssertionError("not wanted")

    def start(
        self, request: int, body: bytes = b"B", timeout: float | None = None, backend: int = 7,
        until: int = 0,
    ) -> Attempt:
        now = CLOCK()
        words = Words((b"CALL.POST", b"c", b"i"), b"c=x,", b",k=y", (body,))
        call = Call(words, b"i", 0, 0, 1, 3000, 1.0, 1, 0, 0)
        attempt = Attempt(request, 0, backend, now, now + 3 * SECOND, call, until)
        self.pools.start(attempt, timeout)
        return attempt

    async def end(self) -> Ended:
        return await soon(self.ends.get())


@asynccontextmanager
async def bench(
    backend: Backend | None = None, most: int = 100, connect: float = 20.0, idle: float = 30.0,
    grace: float = 20.0, port: int = 0,
) -> AsyncIterator[Bench]:
    made = Bench(most, connect, idle, grace)
    try:
        if backend is None:
            made.pools.learn(7, (LOCAL, port))
            yield made
        else:
            async with listening(backend):
                made.pools.learn(7, (LOCAL, backend.port))
                yield made
    finally:
        made.pools.close()


@pytest.mark.parametrize(
    ("answer", "outcome", "value", "report"),
    [
        (served(b"\x00\r\n\xff"), Outcome.OK, b"\x00\r\n\xff", {"load_share": 0.5, "concurrent": 3.0}),
        (served(b"", None), Outcome.OK, b"", {}),
        (served(b"x" * (64 << 10), None), Outcome.OK, b"x" * (64 << 10), {}),
        (b"-ERR failed\r\n", Outcome.ERROR, None, {}),
        (b"-ERR failed util=0.9,inflight=2\r\n", Outcome.ERROR, None, {"util": 0.9, "inflight": 2.0}),
        (b"-BUSY\r\n", Outcome.FULL, None, {}),
        (b"-BUSY util=1\r\n", Outcome.FULL, None, {"util": 1.0}),
        # Good, with what can't be read where no value stands.
        (served(b"v", b"load_share=much"), Outcome.OK, b"v", {}),
        (served(b"v", b"\xff\x00,="), Outcome.OK, b"v", {}),
        (b"*3\r\n$1\r\nv\r\n*2\r\n:1\r\n$1\r\nx\r\n$-1\r\n", Outcome.OK, b"v", {}),
        (b"*3\r\n$1\r\nv\r\n-odd\r\n+odd\r\n", Outcome.OK, b"v", {}),
    ],
)
def test_outcome_of_each_answer(
    answer: bytes, outcome: Outcome, value: bytes | None, report: Report
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
        b"-SYNTAX\r\n", b"-ERRfailed\r\n", b"-BUSYBODY\r\n", b"-\r\n", b"-\xff\xfe\r\n",
        b"*3\r\n$-1\r\n$-1\r\n$-1\r\n", b"*3\r\n:1\r\n$-1\r\n$-1\r\n", b"*3\r\n*1\r\n$1\r\nv\r\n",
        b"*0\r\n", b"*-1\r\n", b"*2\r\n$1\r\nv\r\n$-1\r\n", b"*4\r\n$1\r\nv\r\n", b"*100000000\r\n",
        b"$1\r\nx\r\n", b"$-1\r\n", b"+OK\r\n", b":7\r\n", b"_\r\n", b"%1\r\n+a\r\n:1\r\n", b">3\r\n",
        b"!not resp\r\n", b"x" * 4096, b"-" + b"e" * 4096,
        b"*3\r\n$3000000000\r\n" + b"x" * 90_000, b"*3\r\n$4194305\r\n", b"*3\r\n$+1\r\nv\r\n",
        b"*3\r\n$1\r\nvXX$-1\r\n$-1\r\n", b"*3\r\n$4\r\nv\r\n$-1\r\n$-1\r\n", b"*3\n$1\nv\n$-1\n$-1\n",
        b"*3\r\n$1\r\nv\r\n*100000000\r\n", b"*3\r\n$1\r\nv\r\n*1\r\n*1\r\n*1\r\n",
        b"*3\r\n$1\r\nv\r\n$-1\r\n$70000\r\n", b"*3\r\n$5\r\nhal",
    ],
)
@pytest.mark.parametrize("pieces", [False, True])
def test_spoilt_answer_may_have_run_and_closes_the_connection(
    answer: bytes, pieces: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Half an answer, with nothing behind it, is spoilt once the rest has stayed away for a while.
    monkeypatch.setattr(backends, "STALL", 0.05)

    async def test() -> None:
        backend = Backend()
        async with bench(backend) as b:
            b.start(1)
            connection, _ = await backend.command()
            head = answer[:3] if pieces else b""
            connection.send(head)
            await asyncio.sleep(0)
            connection.send(answer[len(head):])
            assert await b.end() == (1, Outcome.RESET, None, {})
            await until(lambda: backend.ended == 1)
            assert b.pools.open == 0 and b.ends.empty()

    run(test)


def test_half_an_answer_that_breaks_off_ends_the_attempt_once(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(backends, "STALL", 0.02)

    async def test() -> None:
        faults: list[object] = []
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: faults.append(context))
        backend = Backend()
        async with bench(backend) as b:
            attempt = b.start(1)
            connection, _ = await backend.command()
            connection.send(b"*3\r\n$5\r\nhal")
            link = attempt.link
            assert link is not None
            await until(lambda: link.timer is not None)
            connection.abort()
            assert (await b.end())[:2] == (1, Outcome.RESET)
            assert link.timer is None
            await asyncio.sleep(2 * backends.STALL)  # nothing is left that could come then
            assert faults == [] and b.ends.empty()

    run(test)


@pytest.mark.parametrize("size", [1, 2, 3, 7])
def test_answer_in_pieces_is_read_whole(size: int) -> None:
    async def test() -> None:
        frames, whole = AnswerFrames(), served(b"\r\n$1\r\n" * 20)
        ends = [frames.scan(whole[at:at + size], 0) for at in range(0, len(whole), size)]
        assert ends[:-1] == [-1] * (len(ends) - 1) and ends[-1] == (len(whole) - 1) % size + 1
        assert not frames.midway

    run(test)


def test_no_answer_has_places_set_aside_before_its_elements_have_come(
    monkeypatch: pytest.MonkeyPatch
) -> None:
    """What hiredis is given is bounded: an array of a hundred million places stalls every collection."""
    fed: list[bytes] = []

    class Noted:
        def feed(self, data: bytes) -> None:
            fed.append(data)

    async def test() -> None:
        backend = Backend()
        async with bench(backend) as b:
            attempt = b.start(1)
            connection, _ = await backend.command()
            assert attempt.link is not None
            monkeypatch.setattr(attempt.link.answers, "_reader", Noted())
            connection.send(b"*3\r\n$1\r\nv\r\n*100000000\r\n")
            assert (await b.end())[1] is Outcome.RESET
            assert not any(b"00000" in data for data in fed)

    run(test)


def test_second_copy_in_a_later_packet_is_never_taken_for_the_next_answer(
    monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(backends, "SETTLE", 0.0)

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
                # Between two turns of the loop: in the socket, and not yet read, when the next one starts.
                taken.send(served(b"v"))
                b.start(2)
                other, _ = await soon(loop.sock_accept(server))
                assert await soon(loop.sock_recv(other, 4096))
                await soon(loop.sock_sendall(other, served(b"w")))
                assert (await b.end())[:3] == (2, Outcome.OK, b"w")

    run(test)


def test_connection_rests_after_an_answer_where_another_may_be_opened() -> None:
    async def test() -> None:
        backend = Backend()
        async with bench(backend) as b:
            clock = [100.0]
            b.pools.time = lambda: clock[0]
            b.start(1)
            connection, _ = await backend.command()
            connection.send(served(b"v"))
            await b.end()
            b.start(2)
            other, _ = await backend.command()
            assert other is not connection
            clock[0] += 0.01
            b.start(3)
            assert (await backend.command())[0] is connection

    run(test)


def test_refused_connect_never_ran() -> None:
    async def test() -> None:
        with closing(socket.create_server((LOCAL, 0))) as unused:
            port = unused.getsockname()[1]
        async with bench(port=port) as b:
            b.start(1)
            assert (await b.end())[:2] == (1, Outcome.CONNECT_FAILED)
            assert b.pools.open == 0

    run(test)


@pytest.mark.parametrize("given_up_by", ["connect time-out", "attempt time-out"])
def test_unfinished_connect_never_ran(given_up_by: str) -> None:
    async def test() -> None:
        # A full accept queue leaves a connect unanswered, as a vanished machine does.
        with closing(socket.socket()) as full:
            full.bind((LOCAL, 0))
            full.listen(0)
            address = full.getsockname()
            fill = [socket.socket() for _ in range(4)]
            for one in fill:
                one.setblocking(False)
                one.connect_ex(address)
            late = given_up_by == "connect time-out"
            async with bench(port=address[1], connect=0.05 if late else 20.0) as b:
                b.start(1, timeout=None if late else 0.05)
                assert (await b.end())[:2] == (1, Outcome.CONNECT_FAILED)
                assert b.pools.open == 0
            for one in fill:
                one.close()

    run(test)


@pytest.mark.parametrize("how", ["reset", "end", "time-out", "cancel"])
def test_after_the_last_byte_it_may_have_run(how: str) -> None:
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
            # The connection is closed too: an answer that still comes belongs to nobody.
            await until(lambda: backend.ended == 1)
            assert b.pools.open == 0 and b.ends.empty()

    run(test)


@pytest.mark.parametrize("how", ["reset", "time-out"])
def test_break_before_the_last_byte_never_ran(how: str) -> None:
    async def test() -> None:
        with closing(socket.create_server((LOCAL, 0))) as server:
            async with bench(port=server.getsockname()[1]) as b:
                # More than both socket buffers hold, so that some of it stays behind.
                attempt = b.start(1, body=b"x" * (32 << 20))
                loop = asyncio.get_running_loop()
                server.setblocking(False)
                taken, _ = await soon(loop.sock_accept(server))
                await until(lambda: attempt.link is not None and attempt.link.transport is not None)
                if how == "reset":
                    taken.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    taken.close()
                else:
                    b.pools.expire(attempt)
                    taken.close()
                assert (await b.end())[:2] == (1, Outcome.CONNECT_FAILED)

    run(test)


def test_pooled_connection_that_ended_unnoticed_is_not_written_to(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(backends, "SETTLE", 0.0)

    async def test() -> None:
        with closing(socket.create_server((LOCAL, 0))) as server:
            server.setblocking(False)
            loop = asyncio.get_running_loop()
            async with bench(port=server.getsockname()[1]) as b:
                b.start(1)
                for number in (1, 2, 3):
                    taken, _ = await soon(loop.sock_accept(server))
                    assert await soon(loop.sock_recv(taken, 4096))
                    await soon(loop.sock_sendall(taken, served(b"v")))
                    assert (await b.end())[:2] == (number, Outcome.OK)
                    # Reset or ended between two turns of the loop: the gateway has not heard of it.
                    if number == 1:
                        taken.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    taken.close()
                    if number < 3:
                        b.start(number + 1)

    run(test)


def test_a_backend_that_has_started_anew_has_none_of_the_connections_that_rest(
    monkeypatch: pytest.MonkeyPatch
) -> None:
    """A machine that vanished is back at its address: it never closed them, and a request that cannot be
    repeated would be written, reset and lost."""
    monkeypatch.setattr(backends, "SETTLE", 0.0)

    async def test() -> None:
        backend = Backend()
        async with bench(backend) as b:
            b.pools.learn(7, (LOCAL, backend.port), booted=1)
            b.start(1)
            first, _ = await backend.command()
            first.send(served(b"v"))
            assert (await b.end())[:2] == (1, Outcome.OK)
            b.pools.learn(7, (LOCAL, backend.port), booted=1)
            assert b.pools.idle() == 1
            b.start(2)
            out, _ = await backend.command()
            assert out is first
            b.pools.learn(7, (LOCAL, backend.port), booted=2)
            out.send(served(b"w"))  # what is out may still be answered
            assert (await b.end())[:2] == (2, Outcome.OK)
            assert b.pools.idle() == 0
            b.start(3)
            second, _ = await backend.command()
            assert second is not first
            second.send(served(b"x"))
            assert (await b.end())[:2] == (3, Outcome.OK)
            b.pools.learn(7, (LOCAL, backend.port), booted=3)
            assert b.pools.idle() == 0

    run(test)


def test_late_answer_is_never_taken_for_the_next_attempt() -> None:
    async def test() -> None:
        backend = Backend()
        async with bench(backend) as b:
            attempt = b.start(1)
            first, _ = await backend.command()
            b.pools.expire(attempt)
            assert (await b.end())[1] is Outcome.TIMEOUT
            b.start(2)
            second, _ = await backend.command()
            assert second is not first
            first.send(served(b"late"))
            second.send(served(b"own"))
            assert (await b.end())[:3] == (2, Outcome.OK, b"own")

    run(test)


def test_words_nobody_asked_for_close_the_connection() -> None:
    async def test() -> None:
        backend = Backend()
        async with bench(backend) as b:
            b.start(1)
            connection, _ = await backend.command()
            connection.send(served(b"v") + served(b"again"))
            assert (await b.end())[1] is Outcome.OK
            await until(lambda: backend.ended == 1)
            assert b.pools.open == 0

    run(test)


def test_connections_are_reused_last_in_first_out_with_one_request_each(
    monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(backends, "SETTLE", 0.0)

    async def test() -> None:
        backend = Backend()
        async with bench(backend) as b:
            b.start(1)
            b.start(2)
            held = [await backend.command() for _ in range(2)]
            assert held[0][0] is not held[1][0]
            for connection, _ in held:
                connection.send(served(b"v"))
                await b.end()
            for number in (3, 4):
                b.start(number)
                connection, _ = await backend.command()
                assert connection is held[1][0]
                connection.send(served(b"v"))
                await b.end()
            assert b.pools.open == 2

    run(test)


def test_idle_connections_are_retired_before_the_backend_closes_them() -> None:
    async def test() -> None:
        backend = Backend()
        async with bench(backend, idle=0.0) as b:
            b.start(1)
            connection, _ = await backend.command()
            connection.send(served(b"v"))
            await b.end()
            b.start(2)  # the old one is past its time, looked for or not
            other, _ = await backend.command()
            assert other is not connection
            other.send(served(b"v"))
            await b.end()
            await until(lambda: backend.ended == 2)  # the sweep finds the second

    run(test)


def test_connections_that_are_reset_after_a_rest_are_not_kept_so_long() -> None:
    async def test() -> None:
        backend = Backend()
        async with bench(backend) as b:
            clock = [100.0]
            b.pools.time = lambda: clock[0]

            async def rested(seconds: float, broken: bool) -> bool:
                """A good answer, then another request after that rest; whether it came on the same one."""
                b.start(1)
                first, _ = await backend.command()
                first.send(served(b"v"))
                await b.end()
                clock[0] += seconds
                b.start(2)
                second, _ = await backend.command()
                second.abort() if broken else second.send(served(b"v"))
                assert (await b.end())[1] is (Outcome.RESET if broken else Outcome.OK)
                clock[0] += 1000.0  # nothing of this round is used again
                return second is first

            for _ in range(3):
                assert await rested(0.3, True)
            assert not await rested(0.3, False)
            assert await rested(0.15, False)
            for _ in range(120):
                b.pools.ages.decay()
            assert await rested(0.3, False)  # after a while it is tried again

    run(test)


def test_breaks_that_come_at_any_age_or_seldom_shorten_no_rest() -> None:
    ages = Ages(15.0)
    for age in (0.01, 0.02) * 10:
        ages.tried(age)
        ages.broke(age)
    for _ in range(100):
        ages.tried(1.0)
    for _ in range(4):
        ages.broke(1.0)
    assert ages.limit == 15.0


def test_connections_are_bounded_and_idle_ones_give_way() -> None:
    async def test() -> None:
        one, two = Backend(), Backend()
        async with listening(two), bench(one, most=1) as b:
            b.pools.learn(8, (LOCAL, two.port))
            b.start(1)
            connection, _ = await one.command()
            b.start(2, backend=8)
            assert (await b.end())[:2] == (2, Outcome.CONNECT_FAILED)
            connection.send(served(b"v"))
            assert (await b.end())[:2] == (1, Outcome.OK)
            b.start(3, backend=8)
            connection, _ = await two.command()
            connection.send(served(b"v"))
            assert (await b.end())[:2] == (3, Outcome.OK)
            assert b.pools.open == 1

    run(test)


def test_backend_that_drains_loses_idle_connections_and_finishes_what_it_has() -> None:
    async def test() -> None:
        backend = Backend()
        async with bench(backend) as b:
            b.start(1)
            b.start(2)
            held = [await backend.command() for _ in range(2)]
            held[0][0].send(served(b"v"))
            await b.end()
            b.pools.learn(7, None)
            await until(lambda: backend.ended == 1)
            held[1][0].send(served(b"w"))
            assert (await b.end())[1:3] == (Outcome.OK, b"w")
            await until(lambda: backend.ended == 2)

    run(test)


@pytest.mark.parametrize(("grace", "old"), [(0.0, False), (20.0, True), (20.0, False)])
def test_nothing_still_connecting_is_written_past_the_drain_grace(grace: float, old: bool) -> None:
    """What a call's first line brings may have been told long ago: none of its grace is left."""

    async def test() -> None:
        backend = Backend()
        async with bench(backend, grace=grace) as b:
            b.start(1)
            b.pools.learn(7, None, old)
            if grace and not old:
                await backend.command()
                return
            assert (await b.end())[:2] == (1, Outcome.CONNECT_FAILED)
            assert backend.commands.empty() and b.pools.open == 0

    run(test)


def test_unknown_backend_never_ran() -> None:
    async def test() -> None:
        async with bench(port=1) as b:
            b.start(1, backend=99)
            assert b.ends.empty()  # told in a turn of its own
            assert (await b.end())[:2] == (1, Outcome.CONNECT_FAILED)

    run(test)


@pytest.mark.parametrize("number", [b"much", b"nan", b"inf", b"-1", b"+1", b"1_0", b" 1", b"1e999", b""])
def test_report_must_be_finite_numbers_from_0_up(number: bytes) -> None:
    assert read_answer([b"v", None, b"util=" + number]) == (Outcome.OK, b"v", {})


def test_report_is_read_as_the_protocol_writes_it() -> None:
    assert read_report(b"inflight=7,util=0.61,tiny=1e-05") == {"inflight": 7.0, "util": 0.61, "tiny": 1e-05}


def test_connection_helper_reads_whole_answers() -> None:
    async def test() -> None:
        backend = Backend()
        async with listening(backend):
            client = Connection(*await asyncio.open_connection(LOCAL, backend.port))
            client.send(b"*1\r\n$4\r\nPI")
            client.send(b"NG\r\n")
            connection, words = await backend.command()
            assert words == [b"PING"]
            connection.send(bulk(b"x"))
            assert await client.next() == b"x"
            client.abort()

    run(test)
