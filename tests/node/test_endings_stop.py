"""Tests that a gateway which stops answers everything it accepted before it may be killed."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import cast

import pytest

from trackspread.fronts import connections

from ..fakes import World, call, run, served, soon, until, world

SECOND = 1_000_000_000
KILL_MARGIN_S = 0.7  # after SIGTERM, SIGKILL may come this long after the longest deadline


@pytest.mark.parametrize("kept", ["behind another", "held back"])
def test_late_request_in_the_drain_is_answered_before_sigkill(
    kept: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an accepted request without an answer when the process is killed.

    A request that arrived 0.78 s after SIGTERM on a persistent connection was sent to a backend that hung for
    the request's whole time.
    """
    monkeypatch.setattr(connections, "DRAIN_QUIET_S", 0.01)

    async def test() -> None:
        async with world() as w:
            longest = max(rule.deadline_ns for rule in w.node.roster.rules)
            client = await w.client()
            client.send(call(number=1))
            first, _ = await w.backend.command()
            stopped = w.node.now()
            stopping = asyncio.create_task(w.node.stop())
            await until(lambda: w.node.clients.is_closing)
            # The clock is moved forward, as if the drain had lasted until 0.3 s after the longest deadline.
            w.node.now.base_ns += longest + int((KILL_MARGIN_S - 0.4) * SECOND)
            number = 2 if kept == "behind another" else 2 * w.node.clients.bounds.pipeline
            client.send(b"".join(call(number=2 + n) for n in range(number - 1)))
            await until(lambda: len(w.node.requests) > 1)
            first.send(served(b"one"))
            assert await client.next() == b"one"
            for _ in range(number - 1):
                assert str(await client.next()).split()[0] in ("ERR", "BUSY")
                assert w.node.now() <= stopped + longest + int(KILL_MARGIN_S * SECOND)
            assert await client.next() is None
            await soon(stopping)
            assert not w.node.requests and not w.node.clients.count()

    run(test)


def test_draining_limits_long_deadlines_to_the_time_before_sigkill() -> None:
    """Guards against requests that are still open when the process is killed.

    Another customer's classes have deadlines of 12 s, while SIGKILL comes at most 3.7 s after SIGTERM.
    """

    async def test() -> None:
        async with world() as w:
            w.node._longest_deadline_ns = lambda: 12 * SECOND  # type: ignore[method-assign]
            w.node.roster = replace(
                w.node.roster,
                rules=tuple(replace(rule, deadline_ns=12 * SECOND) for rule in w.node.roster.rules),
            )
            client = await w.client()
            client.send(call(number=1, wait_ms=12_000))
            before, _ = await w.backend.command()
            stopped = w.node.now()
            stopping = asyncio.create_task(w.node.stop())
            await until(lambda: w.node.answer_by_ns is not None)
            client.send(call(number=2, wait_ms=12_000))
            after, _ = await w.backend.command()
            open_now = sorted(w.node.requests.items())
            assert len(open_now) == 2
            for _, request in open_now:
                assert request.expires_at_ns <= stopped + int((3 + KILL_MARGIN_S) * SECOND)
            before.send(served(b"one"))
            after.send(served(b"two"))
            assert [await client.next(), await client.next()] == [b"one", b"two"]
            stopping.cancel()

    run(test)


@pytest.mark.parametrize("request_class", ["look up", "submit", "charge"])
@pytest.mark.parametrize("longest_s", [12.0, 1.0])
def test_request_open_at_sigterm_is_answered_before_sigkill_with_those_behind_it(
    request_class: str, longest_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against requests behind one that a hanging backend keeps open past SIGKILL.

    SIGKILL may come 0.7 s after the longest deadline, of which it waits for 3 s at most.
    """
    monkeypatch.setattr(connections, "DRAIN_QUIET_S", 0.01)

    async def test() -> None:
        async with world() as w:
            w.node.roster = replace(
                w.node.roster,
                rules=tuple(
                    replace(rule, deadline_ns=int(longest_s * SECOND)) for rule in w.node.roster.rules
                ),
            )
            client = await w.client()
            client.send(call(request_class, number=1, wait_ms=int(longest_s * 1000)))
            await w.backend.command()
            stopped = w.node.now()
            stopping = asyncio.create_task(w.node.stop())
            await until(lambda: w.node.clients.is_closing)
            client.send(call(number=2, wait_ms=1000))
            await until(lambda: len(w.node.requests) == 2)
            # The clock is moved forward, as if the drain had lasted until 0.1 s before the earliest SIGKILL.
            killed_at = stopped + int((min(longest_s, 3.0) + KILL_MARGIN_S) * SECOND)
            w.node.now.base_ns += killed_at - SECOND // 10 - w.node.now()
            for number in list(w.node.requests):
                w.node.deadline_reached(number)
            expected = ("ERR",) if request_class == "charge" else ("ERR", "BUSY")  # a charge may have run
            assert str(await client.next()).split()[0] in expected
            assert str(await client.next()).split()[0] in ("ERR", "BUSY")
            assert w.node.now() < killed_at
            assert await client.next() is None  # its connection does not stay open behind them
            await soon(stopping)
            assert not w.node.requests
            assert 1 not in await received(w)  # it got no further attempt

    run(test)


async def received(w: World) -> list[int]:
    """Returns the numbers of the requests that the backend has, and the test has not asked for."""
    numbers = []
    while not w.backend.commands.empty():
        _, words = await w.backend.command()
        numbers.append(int(words[2], 16))
    return numbers


def test_unwritten_answer_is_sent_before_the_gateway_ends() -> None:
    """Guards against a lost answer: a slow client's answer is still in the gateway's buffer at the end."""

    async def test() -> None:
        async with world() as w:
            client = await w.client()
            client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            number, sent = 0, 0
            (server,) = [*w.node.clients._active, *w.node.clients._unused]
            transport = cast(asyncio.Transport, server._transport)
            while not transport.get_write_buffer_size():
                client.send(call(number=number))
                connection, _ = await w.backend.command()
                connection.send(served(b"v" * 60_000))
                await until(lambda: not w.node.requests)
                number += 1
            stopping = asyncio.create_task(w.node.stop())
            await until(lambda: server._linger_until > 0.0)
            assert not stopping.done() and transport.get_write_buffer_size()
            client.writer.transport.resume_reading()  # type: ignore[attr-defined]
            while (answer := await client.next()) is not None:
                assert answer == b"v" * 60_000
                sent += 1
            assert sent == number
            await soon(stopping)

    run(test)
