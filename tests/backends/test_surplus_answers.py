"""Tests what becomes of second copies of answers, on sockets with the options of real backends."""

from __future__ import annotations

import asyncio
import socket

import pytest

from trackspread.backends.connection import REUSE_DELAY_S
from trackspread.backends.surplus_answers import SurplusAge

from ..fakes import Connection, World, call, run, served, soon, until, world

ROUNDS = 3
USES = 12  # of a connection before a copy: a young one acknowledges at once
VALUE_BYTES = 300
REST_S = 1.25 * REUSE_DELAY_S  # between an answer and the next request


async def exchange(w: World, number: int, client: Connection, copy_after_s: float, has_delay: bool) -> bytes:
    """Plays one request, whose answer is followed by a second copy unless `copy_after_s` is 0."""
    client.send(call(number=number))
    connection, words = await w.backend.command()
    raw = connection.writer.get_extra_info("socket")
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, not has_delay)
    answer = served(words[2].ljust(VALUE_BYTES, b"."))
    connection.send(answer)
    if copy_after_s:
        asyncio.get_running_loop().call_later(copy_after_s, connection.send, answer)
    value = await soon(client.next())
    assert isinstance(value, bytes)
    return value


@pytest.mark.parametrize("has_delay", [True, False])
@pytest.mark.parametrize("copy_after_s", [0.002, 0.005, 0.015])
def test_second_copy_held_back_by_nagle_is_not_taken_for_the_next_answer(
    copy_after_s: float, has_delay: bool
) -> None:
    """Guards against a value for another request: the copy waits at the backend for our acknowledgement."""

    async def test() -> None:
        async with world() as w:
            client = await w.client()
            for first in range(0, ROUNDS * USES, USES):
                for number in range(first, first + USES):
                    is_last = number == first + USES - 1
                    value = await exchange(w, number, client, is_last * copy_after_s, has_delay)
                    assert int(value.rstrip(b"."), 16) == number
                    await asyncio.sleep(REST_S)
            counts = w.node.backends.context.surplus_answers.counts
            await until(lambda: sum(counts.values()) == ROUNDS)
            assert counts[SurplusAge.WRITING] == 0

    run(test)
