"""Implements a client that sends several requests at once and reads nothing for some seconds."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import cast

import hiredis

from .loopback import Address
from .memory_load import SHORT_ANSWER_BYTES, lookup

FIRST_TENANT = 1 << 32  # of clients that are of no tenant of a scenario


async def read_after_pause(address: Address, requests: Sequence[int], pause_s: float) -> list[object]:
    """Sends the requests with these numbers, reads from `pause_s` on, and returns the complete answers."""
    reader, writer = await asyncio.open_connection(*address)
    transport = cast(asyncio.ReadTransport, writer.transport)
    transport.pause_reading()
    for number in requests:
        writer.write(lookup(FIRST_TENANT + number, number, SHORT_ANSWER_BYTES))
    await asyncio.sleep(pause_s)
    transport.resume_reading()
    try:
        return await _read_answers(reader, len(requests))
    finally:
        writer.close()


async def _read_answers(reader: asyncio.StreamReader, expected: int) -> list[object]:
    """Returns the answers that are complete before the connection ends."""
    parser = hiredis.Reader()
    answers: list[object] = []
    while len(answers) < expected:
        try:
            data = await reader.read(SHORT_ANSWER_BYTES)
        except ConnectionError:
            break
        if not data:
            break
        parser.feed(data)
        while (answer := parser.gets()) is not False:
            answers.append(answer)
    return answers
