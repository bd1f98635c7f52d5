"""Tests for how long a client may leave its answers unread, over sockets."""

from __future__ import annotations

import asyncio
from typing import Any

from trackspread.config.operator import DEFAULTS
from trackspread.fronts.client import MEMORY_SHORT_UNREAD_S
from trackspread.fronts.close_reason import CloseReason
from trackspread.fronts.connections import TIMEOUT_CHECK_S
from trackspread.fronts.unread_output import UnreadOutput

from ..fakes import Connection, World, call, run, served, soon, until, world

ANSWERS = 12
ANSWER_BYTES = 60 << 10
PAUSE_S = 3.0  # of a client that is merely slow
BODY_BYTES = 32 << 10
USED_FRACTION = 0.8  # of the capacity, by the answers that are not read
MAX_TIMEOUT_S = 10.0  # in which a client that never reads has ended


async def paused_client(w: World, answers: int = ANSWERS) -> tuple[Connection, Any]:
    """Returns a client with unread answers, more than the kernel holds, and its connection at the gateway."""
    client = await w.client()
    client.writer.transport.pause_reading()  # type: ignore[attr-defined]
    client.send(b"".join(call(number=number) for number in range(answers)))
    for _ in range(answers):
        connection, _ = await w.backend.command()
        connection.send(served(bytes(ANSWER_BYTES)))
    server: Any = next(iter(w.node.clients._active))
    await until(lambda: not server.slots)
    assert server._transport.get_write_buffer_size() > 0
    return client, server


def play_checks(w: World, server: Any, seconds: float) -> float | None:
    """Plays the checks of the timeouts; returns when the connection was ended, or None."""
    start = w.node.clients.time()
    for number in range(int(seconds / TIMEOUT_CHECK_S) + 1):
        server.check_timeouts(start + number * TIMEOUT_CHECK_S, False)
        if server._transport.is_closing():
            return number * TIMEOUT_CHECK_S
    return None


def test_client_that_pauses_for_seconds_gets_all_its_answers() -> None:
    """Guards against answers lost to a client that reads nothing for 3 s, while memory is not short."""

    async def test() -> None:
        async with world() as w:
            client, server = await paused_client(w)
            assert play_checks(w, server, PAUSE_S + 2 * TIMEOUT_CHECK_S) is None
            client.writer.transport.resume_reading()  # type: ignore[attr-defined]
            for _ in range(ANSWERS):
                assert await soon(client.next()) == bytes(ANSWER_BYTES)

    run(test)


def test_client_that_never_reads_is_ended_in_bounded_time() -> None:
    """Guards against connections that stay for good, as nothing else ends them while memory is not short."""

    async def test() -> None:
        async with world() as w:
            client, server = await paused_client(w)
            ended_s = play_checks(w, server, MAX_TIMEOUT_S)
            assert ended_s is not None and ended_s >= DEFAULTS.clients.unread_s
            await until(lambda: w.node.clients.count() == 0)
            assert w.node.clients.closed[CloseReason.UNREAD] == 1
            client.abort()

    run(test)


def test_unread_answers_over_the_share_end_sooner_while_memory_is_short() -> None:
    """Guards against a long timeout that keeps memory which others need."""

    async def test() -> None:
        async with world() as w:
            client, server = await paused_client(w)
            other = await w.client()
            other.send(call("charge", 99, body=bytes(BODY_BYTES))[: BODY_BYTES // 2])
            account = w.node.account
            await until(lambda: account.owners() == 2)
            account.update(server)
            account.capacity_bytes = int(account.held_by(server) / USED_FRACTION)
            w.node.overload.update()
            ended_s = play_checks(w, server, DEFAULTS.clients.unread_s)
            assert ended_s is not None and abs(ended_s - MEMORY_SHORT_UNREAD_S) <= TIMEOUT_CHECK_S
            await until(lambda: w.node.clients.closed[CloseReason.MEMORY] == 1)
            client.abort()
            other.abort()

    run(test)


def test_client_that_reads_less_than_the_process_notices_is_not_ended() -> None:
    """Guards against a slow reader that is ended although its kernel takes bytes all the time."""
    output = UnreadOutput()
    kernel_bytes = 64 << 10
    for second in range(30):
        assert output.follow(float(second), ANSWER_BYTES + kernel_bytes - 100 * second) == 0.0
    assert output.follow(31.0, ANSWER_BYTES + kernel_bytes - 2900) == 2.0


def test_lingering_connection_waits_until_the_kernel_has_sent_its_answers() -> None:
    """Guards against a close while answers lie in the kernel: a request that crosses it resets them away."""

    async def test() -> None:
        async with world() as w:
            client = await w.client()
            client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            client.send(call(number=1) + call(number=2) + call(number=3))
            for _ in range(3):
                connection, _ = await w.backend.command()
                connection.send(served(bytes(ANSWER_BYTES)))
            (server,) = w.node.clients._active
            await until(lambda: not server.slots)
            server.close()
            await asyncio.sleep(0.01)
            assert server._bytes_before_client() > 0
            assert play_checks(w, server, PAUSE_S) is None
            client.writer.transport.resume_reading()  # type: ignore[attr-defined]
            for _ in range(3):
                assert await soon(client.next()) == bytes(ANSWER_BYTES)

    run(test)
