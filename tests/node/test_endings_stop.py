"""What ends with a gateway that is told to stop: everything taken is answered before it may be killed."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import cast

import pytest

from trackspread.fronts import connections

from ..fakes import call, run, served, soon, until, world

SECOND = 1_000_000_000
KILLED = 0.7  # s over the longest deadline after SIGTERM from which on SIGKILL may come


@pytest.mark.parametrize("kept", ["behind another", "held back"])
def test_request_taken_late_in_the_drain_is_answered_before_the_gateway_may_be_killed(
    kept: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Seen on the bench: taken 0.78 s after SIGTERM, on a connection that was kept, sent to a backend that
    hung for all of its time, and unanswered when the process was killed."""
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
            # As if the drain had lasted until all but 0.3 s of what is left until SIGKILL.
            w.node.now.base_ns += longest + int((KILLED - 0.4) * SECOND)
            number = 2 if kept == "behind another" else 2 * w.node.clients.bounds.pipeline
            client.send(b"".join(call(number=2 + n) for n in range(number - 1)))
            await until(lambda: len(w.node.requests) > 1)
            first.send(served(b"one"))
            assert await client.next() == b"one"
            for _ in range(number - 1):
                assert str(await client.next()).split()[0] in ("ERR", "BUSY")
                assert w.node.now() <= stopped + longest + int(KILLED * SECOND)
            assert await client.next() is None
            await soon(stopping)
            assert not w.node.requests and not w.node.clients.count()

    run(test)


def test_a_request_in_the_drain_has_no_more_time_than_sigkill_leaves_where_deadlines_are_long() -> None:
    """Another customer's classes have deadlines of 12 s; SIGKILL waits for 3 s and 0.7 s at most."""

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
            assert [request.expires_at_ns > stopped + 11 * SECOND for _, request in open_now] == [True, False]
            assert open_now[1][1].expires_at_ns <= stopped + int((3 + KILLED) * SECOND)
            before.send(served(b"one"))
            after.send(served(b"two"))
            assert [await client.next(), await client.next()] == [b"one", b"two"]
            stopping.cancel()

    run(test)


def test_an_answer_that_is_not_written_out_yet_still_goes_out_before_the_gateway_ends() -> None:
    """Its client reads slowly: what waits for it lies in the gateway when nothing else is owed any more."""

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
