"""A child's side: one command a line from standard input, one answer a line to standard output.

May know: pipes. May not know: what is asked.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from .messages import Message

LINE_MOST = 64 << 20  # bytes of a command


async def answer_all(commands: Any, answer: Callable[[Any], Awaitable[Message]], last: type[Message]) -> None:
    """Until standard input ends, or a command of type `last` was answered. `commands`: their types."""
    reader = asyncio.StreamReader(limit=LINE_MOST)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    decoder = msgspec.json.Decoder(commands)
    while line := await reader.readline():
        command = decoder.decode(line)
        sys.stdout.buffer.write(msgspec.json.encode(await answer(command)) + b"\n")
        sys.stdout.buffer.flush()
        if isinstance(command, last):
            break
